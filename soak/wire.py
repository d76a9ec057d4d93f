"""HTTP/1.1 messages over asyncio streams, as small as the stand-ins need them."""
import asyncio


class Message:
    """A request or a response: first line, headers by lower-case name, body."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]


async def read_message(reader):
    """Reads a whole message. Raises IncompleteReadError or ConnectionError where the connection ends before it does,
    ValueError for bytes that are no message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if not (head[0].startswith("HTTP/1.") or head[0].endswith("HTTP/1.1")):
        raise ValueError("no message: " + head[0][:60])
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(head[0], headers, body)


def encode(first, headers, body=b""):
    """Returns the bytes of a message with a length."""
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def abort(writer):
    """Ends a connection with a reset."""
    if writer.transport is not None:
        writer.transport.abort()


async def request_once(address, data, timeout):
    """Sends one request on a connection of its own. Returns the response, or None where there is no whole one."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            return await read_message(reader)
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            writer.close()
