"""EXPOSURE: a version that was rolled back serves again as soon as the next version is ordered."""
import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from lab_2 import CannotRun, play  # noqa: E402

SERVICE = "huvo11a"
DURATION_S = 12.0  # As in the example of PROTOCOL.md.
PER_S, BURST_X, BURST_S = 145, 1.7, 5.0
BAD_ROUTE_SHARE = 0.15  # Of all requests; the bad version fails them, and no others.
DRAINS_AFTER_S = 6.0  # From the status rolled_back until the new upstreams drain.
EXPOSE_SHARE, EXPOSURE_SLACK = 0.1, 50
COLD_S = 3.0


async def answer_badly(upstream, message):
    """Answers as a version that is bad on one route."""
    await asyncio.sleep(upstream.work_s * random.uniform(0.7, 1.3))
    return (500, b"failed") if message.target.startswith("/xiro88/") else (200, b"answer")


class Load:
    """Requests through the machines of the old upstreams."""

    def __init__(self, lab, nodes):
        self.lab, self.nodes, self.factor = lab, nodes, 1.0

    async def run(self):
        while True:
            path = "/xiro88/2f" if random.random() < BAD_ROUTE_SHARE else "/lepu270/2f"
            asyncio.create_task(self.lab.request(random.choice(self.nodes), path))
            await asyncio.sleep(random.expovariate(PER_S * self.factor))

    async def burst(self):
        self.lab.note("burst begins")
        self.factor = BURST_X
        await asyncio.sleep(BURST_S)
        self.factor = 1.0
        self.lab.note("burst ends")


async def order(lab, version):
    """Orders a version and starts its upstreams alongside. Returns the time of the order and the machines."""
    lab.store.append("keyed.op", "rollout/" + SERVICE, json.dumps(
        {"service": SERVICE, "targetVersion": version, "duration": f"{DURATION_S:.0f}s"}).encode())
    at = lab.now()
    lab.note("order", version=version)
    nodes = [lab.add_node(SERVICE) for _ in range(3)]
    for node in nodes:
        await node.start(version, cold_s=COLD_S)
    return at, nodes


def status(lab):
    rows = [json.loads(value) for key, value in lab.store.topics.get("keyed.status", []) if key == "rollout/" + SERVICE]
    return (rows[-1]["targetVersion"], rows[-1]["state"]) if rows else None


async def scenario(lab):
    old = [lab.add_node(SERVICE) for _ in range(3)]
    lab.write_config([("r-1", "/lepu270/", "idempotent", SERVICE, 1200, 500),
                      ("r-2", "/xiro88/", "idempotent", SERVICE, 1200, 500)], [SERVICE])
    for node in old:
        node.first_start = True
        await node.start()
    await lab.wait_ready(old)
    await asyncio.sleep(4)
    load = Load(lab, old)
    asyncio.create_task(load.run())
    await asyncio.sleep(2)
    ordered_at, bad = await order(lab, "v2")
    for node in bad:
        node.upstream.answer = answer_badly
    while status(lab) != ("v2", "rolled_back"):
        if lab.now() > ordered_at + DURATION_S:
            raise CannotRun(f"v2 wasn't rolled back, but {status(lab)}")
        await asyncio.sleep(0.05)
    rolled_back_at = lab.now()
    lab.note("rolled back")
    asyncio.create_task(load.burst())
    if lab.trouble:
        await order(lab, "v3")
    await asyncio.sleep(rolled_back_at + DRAINS_AFTER_S - lab.now())
    await asyncio.gather(*[node.upstream.drain(3.0) for node in bad])
    await asyncio.sleep(max(0.0, ordered_at + DURATION_S + 1 - lab.now()))
    runs = [(at, node.upstream.version) for node in lab.nodes for at, _ in node.upstream.runs
            if ordered_at <= at <= ordered_at + DURATION_S]
    exposed = sum(version == "v2" for _, version in runs)
    again = sum(version == "v2" and at > rolled_back_at + 0.5 for at, version in runs)
    allowed = EXPOSE_SHARE * len(runs) + EXPOSURE_SLACK
    return exposed <= allowed, (f"the bad version got {exposed} of {len(runs)} requests between its order and its "
                                f"deadline, allowed {allowed:.0f}; {again} of them 0.5 s or more after rolled_back")


play(__file__, scenario)
