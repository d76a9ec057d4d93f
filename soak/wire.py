"""Minimal HTTP/1.1 messages over asyncio streams, for the stand-ins."""
import asyncio


class Message:
    """A request or a response: start line, headers by lower-case name, and body."""

    def __init__(self, start_line, headers, body):
        self.start_line = start_line
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start_line.split(" ")[1])

    @property
    def method(self):
        return self.start_line.split(" ")[0]

    @property
    def target(self):
        return self.start_line.split(" ")[1]


async def read_message(reader):
    """Reads a whole message. Raises IncompleteReadError or ConnectionError if the connection ends first, and
    ValueError if the bytes are not an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if not (head[0].startswith("HTTP/1.") or head[0].endswith("HTTP/1.1")):
        raise ValueError("not an HTTP message: " + head[0][:60])
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


def encode(start_line, headers, body=b""):
    """Returns the bytes of a message, with Content-Length."""
    lines = [start_line] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def abort(writer):
    """Closes a connection with a reset."""
    if writer.transport is not None:
        writer.transport.abort()


async def request_once(address, data, timeout):
    """Sends one request on a new connection. Returns the response, or None if no complete one arrives."""
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
