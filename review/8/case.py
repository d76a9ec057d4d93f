"""DRAIN: the leave of an upstream is acknowledged and ignored, since its first heartbeats are still on their way."""
import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab_2 import PORTS, Upstream, encode, play, request_once  # noqa: E402

SERVICE = "wuno96b"
DRAIN_S = 2.0
BEAT_GAP_S = 1.5
LATE_S = 3.0  # Time for which each heartbeat of the new start is on its way.
RUNS_S = 2.0  # From the start of the upstream to its leave.
SERVES_ON_S = 7.0  # From the acknowledgement of the leave to its exit.


class LateUpstream(Upstream):
    """An upstream whose heartbeats arrive late; its other messages don't."""

    beat_delay_s = 0.0

    async def send_late(self):
        """Sends the heartbeats of the time until it leaves."""
        while self.alive and self.state == "ready":
            self.sequence += 1
            body = {"born": self.born, "address": f"{self.node.ip}:{PORTS['application']}",
                    "information": {"service": SERVICE, "version": "v1", "zone": self.node.zone, "slots": self.slots},
                    "status": {"state": "ready", "sequence": self.sequence, "coldRemaining": "0ms"}}
            data = encode(f"PUT /instances/{self.id} HTTP/1.1", {"Host": "node", "Content-Type": "application/json"},
                          json.dumps(body).encode())
            asyncio.create_task(self.deliver(f"heartbeat {self.sequence}", data, self.beat_delay_s))
            await asyncio.sleep(BEAT_GAP_S)

    async def deliver(self, what, data, delay_s=0.0):
        """Delivers bytes to the node beside it after a delay. Returns the status of the answer."""
        await asyncio.sleep(delay_s)
        answer = await request_once((self.node.ip, PORTS["controlPlane"]), data, 1.0)
        self.lab.note(what, upstream=self.id, status=answer.status if answer else "none")
        return answer.status if answer else None

    async def leave(self):
        self.state = "leaving"
        return await self.deliver("leave", encode(f"DELETE /instances/{self.id} HTTP/1.1", {"Host": "node"},
                                                  json.dumps({"born": self.born}).encode()))


async def load(lab, nodes):
    """50 settlements a second through the other machines."""
    while True:
        asyncio.create_task(lab.request(random.choice(nodes), "/xapu221/ny95/2f", "POST", b"dues", 1500))
        await asyncio.sleep(random.expovariate(50))


async def scenario(lab):
    nodes = [lab.add_node(SERVICE) for _ in range(4)]
    lab.write_config([("r-s989anu", "/xapu221/", "non_idempotent", SERVICE, 1500, 600)], [SERVICE])
    for node in nodes:
        node.first_start = True
        await node.start(work_s=0.1)
    await lab.wait_ready(nodes)
    await asyncio.sleep(4)
    asyncio.create_task(load(lab, nodes[1:]))
    await asyncio.sleep(3)
    # The upstream of one machine ends and starts anew, with another id.
    nodes[0].upstream.crash()
    lab.note("the upstream ends and starts anew")
    await asyncio.sleep(1)
    upstream = LateUpstream(nodes[0], work_s=0.1)
    upstream.beat_delay_s = LATE_S if lab.trouble else 0.0
    nodes[0].upstream = upstream
    upstream.server = await asyncio.start_server(upstream.serve, nodes[0].ip, PORTS["application"], backlog=256)
    upstream.beats = asyncio.create_task(upstream.send_late())
    await asyncio.sleep(RUNS_S)
    if await upstream.leave() != 200:
        return True, "the leave was not acknowledged"
    acknowledged_at = lab.now()
    await asyncio.sleep(SERVES_ON_S)
    upstream.crash()
    lab.note("the upstream exits", upstream=upstream.id)
    await asyncio.sleep(2)
    broken = sum(at > acknowledged_at + DRAIN_S for at, _ in upstream.runs)
    unanswered = sum("answered" in line and "status=200" not in line for line in lab.lines)
    return not broken, (f"{broken} requests reached the upstream later than drain ({DRAIN_S} s) after its leaving was "
                        f"acknowledged; {unanswered} of all {lab.counts['sent']} were not answered with success")


play(__file__, scenario)
