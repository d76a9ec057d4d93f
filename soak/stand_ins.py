"""Stand-ins for the platform's store and for targets, and a proxy that injects faults into connections."""
import asyncio
import base64
import hashlib
import json
import struct
import time
from urllib.parse import parse_qs, unquote, urlsplit

from wire import abort, encode, read_message, request_once

COLD_CALLS_PER_S = 12
COLD_S = 3.0
SLOTS = 9
HEARTBEAT_S = 1.0
NAMED_LIMIT = 3.0  # Requests per second that a target in need takes.


def answer_body(request_id):
    """Returns the expected body of the answer to a request."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode() * 20


class Proxy:
    """Forwards connections to one address. The fault of its mode applies to existing and to new connections."""

    def __init__(self, address, upstream):
        self.address = address
        self.upstream = upstream
        self.mode = "pass"  # pass, delay, silent, one_way (nothing towards the client), refuse
        self.writers = set()

    async def start(self):
        await asyncio.start_server(self.serve, *self.address, backlog=256)

    def reset_all(self):
        for writer in list(self.writers):
            abort(writer)

    async def forward(self, reader, writer, to_client):
        try:
            while data := await reader.read(65536):
                while self.mode == "silent" or (self.mode == "one_way" and to_client):
                    await asyncio.sleep(0.05)
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            abort(writer)

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            return abort(writer)
        while self.mode == "silent":
            await asyncio.sleep(0.05)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.upstream)
        except OSError:
            return abort(writer)
        self.writers |= {writer, upstream_writer}
        await asyncio.gather(self.forward(reader, upstream_writer, False),
                             self.forward(upstream_reader, writer, True))
        self.writers -= {writer, upstream_writer}
        writer.close()
        upstream_writer.close()


class Store:
    """The platform's store: keyed topics with one partition.

    Modes: ok, reject, silent, lost (carries out the request, but closes the connection without an answer), slow."""

    def __init__(self, address):
        self.address = address
        self.mode = "ok"
        self.topics = {}
        self.times = {}  # By topic, when each record was appended.
        self.era = 0  # Of the header Store-Era; 0 for none.
        self.changed = asyncio.Event()

    async def start(self):
        await asyncio.start_server(self.serve, *self.address, backlog=256)

    def append(self, topic, key, value):
        """Appends a record; an empty value deletes the key. Returns the offset of the record."""
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self.times.setdefault(topic, []).append(time.monotonic())
        self.notify()
        return len(records) - 1

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def rewind(self, age_s):
        """Comes back from a copy that is age_s old, in a new era. Returns the lost records of operators."""
        lost = []
        for topic, records in self.topics.items():
            kept = sum(at < time.monotonic() - age_s for at in self.times[topic])
            if topic == "keyed.op":
                lost = records[kept:]
            del records[kept:], self.times[topic][kept:]
        self.era += 1
        self.notify()
        return lost

    def headers(self):
        return {"Store-Era": self.era} if self.era > 0 else {}

    def latest_by_key(self, topic):
        last = {key: (value, offset) for offset, (key, value) in enumerate(self.topics.get(topic, []))}
        return {key: entry for key, entry in sorted(last.items()) if entry[0]}

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                if self.mode == "slow":
                    await asyncio.sleep(0.5)
                if self.mode == "reject":
                    writer.write(encode("HTTP/1.1 503 Busy", self.headers()))
                    continue
                status, body = await self.answer(message)
                if self.mode == "lost":
                    return abort(writer)
                writer.write(encode("HTTP/1.1 " + status, self.headers(), body))
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            writer.close()

    async def answer(self, message):
        url = urlsplit(message.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        records = self.topics.get(topic, [])
        if url.path == "/log-append":
            if "at" in query and int(query["at"]) != len(records):
                return "412 Moved", json.dumps({"end": len(records)}).encode()
            size = struct.unpack(">I", message.body[:4])[0]
            content = message.body[4:4 + size]
            offset = self.append(topic, content[1:1 + content[0]].decode(), content[1 + content[0]:])
            return "200 OK", json.dumps({"offset": offset, "end": offset + 1}).encode()
        if url.path == "/log-newest":
            after = unquote(query.get("after", ""))
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in self.latest_by_key(topic).items() if key > after]
            return "200 OK", json.dumps({"items": items, "more": False, "end": len(records)}).encode()
        start = int(query.get("from", "0"))
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while len(self.topics.get(topic, [])) == start and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, until - time.monotonic()))
            except TimeoutError:
                break
        records = self.topics.get(topic, [])
        if start > len(records):
            return "410 Gone", b""
        out = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            out += struct.pack(">I", len(content)) + content
        return "200 OK", out


class Target:
    """The application on the host of a node. Each start is an incarnation with its own id."""

    def __init__(self, world, node, service, zone, address, control_address):
        self.world = world
        self.node = node
        self.service = service
        self.zone = zone
        self.address = address
        self.control_address = control_address
        self.running = 0
        self.writers = set()
        self.fault = None  # lose, garbage or slow
        self.is_limited = False  # Names a limit in its answers.
        self.says_leaving = False  # Says in its answers that it leaves.
        self.has_faulty_version = False
        self.alive = False
        self.leave_acknowledged_at = None
        self.incarnation = 0
        self.heartbeat_delay_s = 0.0  # Time for which heartbeats are held up on their way.
        self.clock_offset_ms = 0  # Of the time of day in its heartbeats.
        self.tasks = []

    async def listen(self):
        await asyncio.start_server(self.serve, *self.address, backlog=256)

    def start(self, version="v1", cold=True, keep_id=False):
        self.incarnation += 1
        if not keep_id:
            self.id = f"i-{self.node}-{self.incarnation}"
        self.version = version
        self.started_ms = int(time.time() * 1000) + self.clock_offset_ms
        self.cold_until = time.monotonic() + (COLD_S if cold else 0)
        self.state = "ready"
        self.says_leaving = False
        self.sequence = 0
        self.leave_acknowledged_at = None
        self.alive = True
        self.tasks = [asyncio.create_task(self.send_heartbeats())]

    def stop(self):
        self.alive = False
        for writer in list(self.writers):
            abort(writer)

    def cold_ms(self):
        return max(0, int((self.cold_until - time.monotonic()) * 1000))

    async def send_heartbeat(self):
        self.sequence += 1
        leaving = self.state == "draining"
        body = json.dumps({
            "born": self.started_ms, "address": "%s:%d" % self.address,
            "information": {"service": self.service, "version": self.version, "zone": self.zone, "slots": SLOTS},
            "status": {"state": self.state, "sequence": self.sequence, "coldRemaining": f"{self.cold_ms()}ms"}})
        target_id, incarnation, told_cold = self.id, self.incarnation, self.cold_ms() > 0
        data = encode(f"PUT /instances/{target_id} HTTP/1.1", {"Host": "node"}, body.encode())
        if self.heartbeat_delay_s > 0:
            await asyncio.sleep(self.heartbeat_delay_s)
        response = await request_once(self.control_address, data, 1.0)
        acknowledged = response is not None and response.status == 200
        if acknowledged and told_cold and self.incarnation == incarnation:
            self.record_told_cold()
        if acknowledged and leaving and self.id == target_id and self.leave_acknowledged_at is None:
            self.leave_acknowledged_at = time.monotonic()
            self.world.left_at_by_target[target_id] = self.leave_acknowledged_at
        return acknowledged

    def record_told_cold(self):
        """Called when the node has been told that the target is cold."""

    async def send_heartbeats(self):
        incarnation = self.incarnation
        while self.alive and self.incarnation == incarnation:
            # Heartbeats may overtake each other.
            self.tasks.append(asyncio.create_task(self.send_heartbeat()))
            self.tasks = [task for task in self.tasks if not task.done()]
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self, drain_s):
        """Drains as the platform requires: leaves, and returns as a new incarnation."""
        if not self.alive or self.state != "ready":
            return
        incarnation = self.incarnation
        self.state = "draining"
        self.says_leaving = True
        await self.send_heartbeat()
        await asyncio.sleep(drain_s + 1.5)
        if self.alive and self.incarnation == incarnation:
            await request_once(self.control_address,
                               encode(f"DELETE /instances/{self.id} HTTP/1.1", {"Host": "node"}), 1.0)
            await self.restart(2.0)

    async def leave_by_answers(self, drain_s):
        """Says in its answers only that it leaves, and returns later as a new incarnation."""
        if not self.alive or self.state != "ready" or self.says_leaving:
            return
        incarnation = self.incarnation
        self.says_leaving = True
        await asyncio.sleep(drain_s + 4)
        if self.alive and self.incarnation == incarnation:
            await self.restart(1.0)

    async def restart(self, down_s):
        incarnation = self.incarnation
        self.stop()
        await asyncio.sleep(down_s)
        if self.incarnation == incarnation:
            self.start(self.version)

    async def serve(self, reader, writer):
        if not self.alive:
            return abort(writer)
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not await self.handle(message, writer):
                    return abort(writer)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self.writers.discard(writer)

    async def handle(self, message, writer):
        if message.target == "/health":
            healthy = self.state == "ready"
            writer.write(encode("HTTP/1.1 200 OK" if healthy else "HTTP/1.1 503 Leaving",
                                {"Instance-Id": self.id, "Cold-Milliseconds": self.cold_ms()}))
            return True
        request_id = message.headers.get("request-id", "")
        expected = message.headers.get("expected-instance", self.id)
        if expected != self.id or self.running >= 4 * SLOTS:
            status = "421 Misdirected" if expected != self.id else "503 Full"
            writer.write(encode("HTTP/1.1 " + status, {"Not-Executed": "1", "Request-Id": request_id}))
            return True
        incarnation, fault = self.incarnation, self.fault
        self.world.record_execution(self, request_id, message, self.cold_ms() > 0)
        self.running += 1
        try:
            await asyncio.sleep(self.world.random.uniform(0.01, 0.05) * (10 if fault == "slow" else 1))
            status = "200 OK"
            if self.has_faulty_version and self.world.random.random() < 0.4:
                status = "500 Bad version"
            elif self.service == "a" and self.world.random.random() < 0.3:
                if not await self.world.nested_call(self):
                    status = "500 Call failed"
        finally:
            self.running -= 1
        if incarnation != self.incarnation or fault == "lose" and self.world.random.random() < 0.3:
            return False
        body = answer_body(request_id)
        headers = {"Request-Id": request_id, "Response-Signature": "s-" + request_id,
                   "Server-Load": f"{self.running},0,{SLOTS}", "Soak-Target": self.id}
        if self.is_limited:
            headers["Server-Limit"] = NAMED_LIMIT
        if self.says_leaving:
            headers["Server-Leaving"] = "1"
        writer.write(encode("HTTP/1.1 " + status, headers, body))
        if fault == "garbage" and self.world.random.random() < 0.3:
            writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nold")
        return True
