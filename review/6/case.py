"""DRAIN: an upstream whose leaving was acknowledged gets requests again after all processes were killed."""
import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab_2 import PORTS, encode, play, request_once  # noqa: E402

SERVICE = "wuno96b"
DRAIN_S, STABILITY_S = 2.0, 3.0
BEAT_GAP_S = 1.5
RESTART_S = 0.5  # From the kill to the start of the processes.
LATE_S = 3.2  # From the acknowledgement to the arrival of the late heartbeats.
SERVES_ON_S = 9.0  # From the acknowledgement to the exit of the upstream.


async def deliver(lab, upstream, what, data):
    """Delivers bytes of the upstream to the node beside it. Returns the status of the answer."""
    answer = await request_once((upstream.node.ip, PORTS["controlPlane"]), data, 1.0)
    lab.note(what, upstream=upstream.id, status=answer.status if answer else "none")
    return answer.status if answer else None


def make_heartbeat(upstream):
    upstream.sequence += 1
    body = {"born": upstream.born, "address": f"{upstream.node.ip}:{PORTS['application']}",
            "information": {"service": SERVICE, "version": "v1", "zone": upstream.node.zone, "slots": upstream.slots},
            "status": {"state": "ready", "sequence": upstream.sequence, "coldRemaining": "0ms"}}
    return encode(f"PUT /instances/{upstream.id} HTTP/1.1", {"Host": "node", "Content-Type": "application/json"},
                  json.dumps(body).encode())


async def load(lab, nodes, sent_at):
    """50 settlements a second through the other machines."""
    while True:
        async def send():
            at = lab.now()
            request_id, _ = await lab.request(random.choice(nodes), "/xapu221/ny95/2f", "POST", b"dues", 1500)
            sent_at[request_id] = at
        asyncio.create_task(send())
        await asyncio.sleep(random.expovariate(50))


async def scenario(lab):
    nodes = [lab.add_node(SERVICE) for _ in range(4)]
    lab.write_config([("r-s989anu", "/xapu221/", "non_idempotent", SERVICE, 1500, 600)], [SERVICE])
    for node in nodes:
        node.first_start = True
        await node.start(work_s=0.1)
        node.first_start = False
    await lab.wait_ready(nodes)
    await asyncio.sleep(STABILITY_S + 1)
    sent_at = {}
    asyncio.create_task(load(lab, nodes[1:], sent_at))
    await asyncio.sleep(3)
    # Two heartbeats of the upstream are on their way for some seconds.
    upstream = nodes[0].upstream
    upstream.beats.cancel()
    late = [make_heartbeat(upstream)]
    await asyncio.sleep(BEAT_GAP_S)
    late.append(make_heartbeat(upstream))
    await asyncio.sleep(0.5)
    # It never reports draining: it leaves, and serves on.
    leave = encode(f"DELETE /instances/{upstream.id} HTTP/1.1", {"Host": "node"},
                   json.dumps({"born": upstream.born}).encode())
    upstream.state = "draining"
    if await deliver(lab, upstream, "leave", leave) != 200:
        return True, "the leave was not acknowledged"
    acknowledged_at = lab.now()
    await asyncio.sleep(0.2)
    started_at = acknowledged_at - STABILITY_S
    if lab.trouble:
        lab.note("all processes are killed")
        for node in nodes:
            node.process.kill()
        for node in nodes:
            node.process.wait()
        await asyncio.sleep(RESTART_S)
        for node in nodes:
            node.spawn()
        started_at = lab.now()
        lab.note("all processes are started")
    await asyncio.sleep(acknowledged_at + LATE_S - lab.now())
    for data in late:
        await deliver(lab, upstream, "late heartbeat", data)
    await asyncio.sleep(acknowledged_at + SERVES_ON_S - lab.now())
    upstream.crash()
    lab.note("the upstream exits", upstream=upstream.id)
    await asyncio.sleep(2)
    served = sum("answered" in line and "status=200" in line for line in lab.lines)
    in_touch_at = started_at + STABILITY_S + 0.2
    broken = [request_id for at, request_id in upstream.runs
              if at > acknowledged_at + DRAIN_S and sent_at.get(request_id, 0) > in_touch_at]
    if served < 100:
        return True, f"only {served} requests were served"
    return not broken, (f"{len(broken)} requests reached the upstream later than drain ({DRAIN_S} s) after its leaving "
                        f"was acknowledged, sent by machines that had run for {STABILITY_S} s; {served} were served")


play(__file__, scenario)
