#!/usr/bin/env python3
"""Crowds that come through several entry nodes to the target of one node, against real processes on loopback.

What each entry node holds is within its limits; this test checks the places where it meets: the connections between
nodes, the node beside the target, the queue of the target, its answers, and the listeners that are not for callers. The
limits and the checks are those of crowd_test.py.
Usage: soak/mesh_crowd_test.py BUILD_DIR [--case NAME]... [--keep DIR]. Exits with 1 if a case fails. Cases in
KNOWN-RED.txt run only if they are named.
"""
import asyncio
import struct

import crowd_test
import soak
from crowd_test import BODY, MAX_BODY_BYTES, MIB, CrowdNode, CrowdTarget, CrowdWorld, chunks, pieces_of, run_cases
from soak import PORTS

ENTRY_NODES = 5
CALLERS_PER_ENTRY = 12  # Their bodies together are more than twice the memory of the node beside the target.
ROUNDS = 3  # Bodies that each caller sends, one after the other.
ROUND_S = 2.0
MEETING_S = 1.0  # Time after which the last byte of a whole body follows, so that the bodies of all callers end at once.
OVERSIZED_PER_ENTRY = 6
LARGE_ANSWER_BYTES = 16 * MIB
ANSWER_INTERVAL_S = 0.5
LISTENER_CALLERS = 110  # For each listener, more than the descriptors of the process.
LISTENER_BODY_BYTES = 256 * 1024
STRANGERS = 240
LARGEST_MESSAGE_BYTES = 72 * MIB
SLOW_READ_S = 0.05


class UploadTarget(CrowdTarget):
    """A target that works for a while on each upload."""

    work_s = 0.2

    async def handle(self, message, writer):
        if message.method == "POST":
            await asyncio.sleep(self.work_s)
        return await super().handle(message, writer)


class BusyTarget(UploadTarget):
    """A target that takes long for each upload, so that the others wait at its node."""

    work_s = 1.0


class AnswersTogether(CrowdTarget):
    """A target whose large answers to several calls come at once."""

    async def handle(self, message, writer):
        if "/large" in message.target:
            await asyncio.sleep(ANSWER_INTERVAL_S - asyncio.get_running_loop().time() % ANSWER_INTERVAL_S)
        return await super().handle(message, writer)


class SlowReader(CrowdTarget):
    """A target that reads large requests slowly, so that they wait in the output of its node."""

    async def listen(self):
        await asyncio.start_server(self.serve_slowly, *self.address, backlog=256, limit=1 << 16)

    async def serve_slowly(self, reader, writer):
        read_exactly = reader.readexactly

        async def read_slowly(count):
            data = b""
            while len(data) < count:
                data += await read_exactly(min(count - len(data), 1 << 16))
                if count > 1 << 16:
                    await asyncio.sleep(SLOW_READ_S)
            return data

        reader.readexactly = read_slowly
        await self.serve(reader, writer)


class MeshWorld(CrowdWorld):
    """Entry nodes beside targets of one service, and the node beside the only target of another one, the last."""

    def __init__(self, args, target_class, answer_bytes=crowd_test.ANSWER_BYTES):
        self.target_class, self.answer_bytes = target_class, answer_bytes
        super().__init__(args)

    def make_nodes(self):
        nodes = [CrowdNode(self, index, "a") for index in range(ENTRY_NODES)]
        return nodes + [CrowdNode(self, ENTRY_NODES, "b", self.target_class)]

    @property
    def entries(self):
        return self.nodes[:ENTRY_NODES]

    def ordinary_calls(self):
        return [(self.nodes[0], "a"), (self.nodes[0], "b"), (self.nodes[1], "b"), (self.nodes[-1], "b")]

    async def repeated(self, node, make_whole, make_last, delay_s=0.0):
        """Sends whole requests one after the other, each on a connection of its own, and then a last one that stays.

        Both functions return the pieces of a request; whole requests have two, and end together."""
        for _ in range(ROUNDS - 1):
            task = asyncio.create_task(self.unnoted_caller(make_whole(), node))
            await asyncio.sleep(ROUND_S)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        await self.caller(make_last(), delay_s, node=node)

    async def unnoted_caller(self, pieces, node):
        """Is a caller whose end is not waited for before the checks."""
        try:
            reader, writer = await asyncio.open_connection(node.ip, PORTS["outbound"], limit=1 << 16)
        except OSError:
            return
        reading = asyncio.create_task(self.drain(reader))
        try:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(MEETING_S)
            await asyncio.Event().wait()
        except OSError:
            pass
        finally:
            reading.cancel()
            writer.close()


def through_entries(world, make, count=CALLERS_PER_ENTRY):
    """Yields the callers make(node, index) at all entry nodes in turn."""
    for index in range(count):
        for node in world.entries:
            yield make(node, index)


def upload(world, index, framing, pieces):
    """Returns the pieces of a large request to the one target: of an upload, or of a call that may be repeated."""
    head = world.head("/bup/x" if index % 2 == 0 else "/b/x", framing)
    return [head + pieces[0]] + pieces[1:]


def whole_body(world, index):
    return upload(world, index, {"Content-Length": MAX_BODY_BYTES}, [BODY[:-1], BODY[-1:]])


def uploads(world):
    """Whole bodies of legal size, at once through all entry nodes."""
    def make(node, index):
        return world.repeated(node, lambda: whole_body(world, index), lambda: whole_body(world, index), MEETING_S)
    return through_entries(world, make)


def bodies_cut_short(world):
    """Whole bodies, then ones that stop just short of their end, at once or piece by piece, at all nodes."""
    def cut_short(index):
        pieces = pieces_of(BODY[:-1], 65536) if index % 3 == 0 else [BODY[:-1]]
        return upload(world, index, {"Content-Length": MAX_BODY_BYTES}, pieces)

    def make(node, index):
        return world.repeated(node, lambda: whole_body(world, index), lambda: cut_short(index),
                              0.01 if index % 3 == 0 else 0.0)
    yield from through_entries(world, make)
    for index in range(CALLERS_PER_ENTRY):
        yield world.caller(cut_short(index), node=world.nodes[-1])


def chunked(world):
    """Whole chunked bodies in large and in very small chunks, then ones that stop just short of their end."""
    framing, end = {"Transfer-Encoding": "chunked"}, b"0\r\n\r\n"
    forms = [chunks(MAX_BODY_BYTES, 1) + end, chunks(1, 200_000) + end, chunks(MAX_BODY_BYTES // 4, 4) + end,
             chunks(16, 200_000) + end]

    def make(node, index):
        body = forms[index % len(forms)]
        return world.repeated(node, lambda: upload(world, index, framing, [body[:-1], body[-1:]]),
                              lambda: upload(world, index, framing, pieces_of(body[:-1 - len(end)], 262_144)))
    return through_entries(world, make)


def oversized(world):
    """Bodies far over the limit, announced or just sent, beside those of legal size."""
    def make(node, index):
        if index % 2 == 0:
            return world.caller(upload(world, index, {"Content-Length": 400 * MIB}, [BODY] * 8), node=node)
        return world.caller(upload(world, index, {"Transfer-Encoding": "chunked"}, [chunks(65536, 16)] * 32), node=node)
    yield from uploads(world)
    yield from through_entries(world, make, OVERSIZED_PER_ENTRY)


def large_answers(world):
    """Calls with large answers through all entry nodes; half of the callers read them."""
    def make(node, index):
        pieces = [world.head("/b/large", {}, "GET") for _ in range(4)]
        return world.caller(pieces, 0.2, reads=index % 2 == 0, node=node)
    return through_entries(world, make)


def listeners(world):
    """Bodies that stop just short of their end, and connections without a byte, at the listeners for the platform."""
    for node in (world.nodes[0], world.nodes[-1]):
        for index in range(LISTENER_CALLERS):
            for port in (PORTS["controlPlane"], PORTS["readiness"], soak.METRICS_PORT):
                head = world.head("/instances/x", {"Content-Length": LISTENER_BODY_BYTES}, "PUT")
                yield world.caller([head + BODY[:LISTENER_BODY_BYTES - 1]] if index % 2 else [], node=node, port=port)


def strangers_at_peer_listener(world):
    """Connections to the listener for other nodes that announce the largest message and stop, or send nothing."""
    for node in (world.nodes[0], world.nodes[-1]):
        for index in range(STRANGERS):
            pieces = [struct.pack("<I", LARGEST_MESSAGE_BYTES)] + [BODY[:MIB]] * 2 if index % 2 else []
            yield world.caller(pieces, node=node, port=soak.PEER_PORT)


CASES = {"uploads": uploads, "uploads_to_busy_target": uploads, "uploads_to_slow_reader": uploads,
         "bodies_cut_short": bodies_cut_short, "chunked": chunked, "oversized": oversized,
         "large_answers": large_answers, "listeners": listeners,
         "strangers_at_peer_listener": strangers_at_peer_listener}
TARGETS = {"uploads_to_busy_target": BusyTarget, "uploads_to_slow_reader": SlowReader,
           "large_answers": AnswersTogether}


def make_world(args, name):
    answer_bytes = LARGE_ANSWER_BYTES if name == "large_answers" else crowd_test.ANSWER_BYTES
    return MeshWorld(args, TARGETS.get(name, UploadTarget), answer_bytes)


if __name__ == "__main__":
    run_cases("mesh_crowd", CASES, make_world)
