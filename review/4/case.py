"""A zone loses power; the machine that is back first sends its cold server more than that tolerates."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lab as L  # noqa: E402

BOUND = L.COLD_PER_S * 1.5 + 5
OUTAGE_S = 5.5  # zone_loss of the site's list of troubles.
BACK_WITHIN_S = 1.2  # The zone's machines come back within 1.5 s.
SERVER_START_S = 0.15
REQUESTS_PER_S = 40  # On each of three machines.
CYCLES, CALM_S = 4, 9


def busiest_second(lab, server_id, cold_from, cold_to):
    """The most requests that were sent and arrived inside one second."""
    runs = []
    for at, run_by, _, _, request_id, _ in lab.runs:
        if run_by == server_id and cold_from <= at <= cold_to and request_id in lab.sent:
            runs.append((lab.sent[request_id][0], at))
    return max((sum(1 for sent, at in runs if begin <= sent and at < begin + 1)
                for begin in [sent for sent, _ in runs]), default=0)


async def scenario(lab, trouble):
    callers = [await lab.add(f"sidecar-patan-{i}", "patan", "front") for i in (1, 2, 3)]
    first = await lab.add("sidecar-kirtipur-1", "kirtipur", "back")
    later = [await lab.add(f"sidecar-kirtipur-{i}", "kirtipur", "front") for i in (2, 3)]
    lab.configure(3, [("read", "back", "idempotent", 1200)], ["front", "back"])
    for machine in lab.machines.values():
        machine.server.start(cold=False)
    if not await lab.start_all():
        return None
    await asyncio.sleep(3)
    end = lab.now() + 4 + CYCLES * (OUTAGE_S + SERVER_START_S + BACK_WITHIN_S + CALM_S)
    loads = [asyncio.create_task(lab.load(machine, "read", REQUESTS_PER_S, end)) for machine in callers]
    await asyncio.sleep(4)
    cold = []
    while trouble and len(cold) < CYCLES:
        lab.note("zone loses power", zone="kirtipur")
        for machine in (first, *later):
            machine.server.stop()
            machine.kill()
        await asyncio.sleep(OUTAGE_S)
        first.spawn()
        await asyncio.sleep(SERVER_START_S)
        first.server.start()
        cold.append((first.server.id, lab.now(), lab.now() + L.COLD_S))
        await asyncio.sleep(BACK_WITHIN_S - SERVER_START_S)
        for machine in later:
            machine.spawn()
            machine.server.start()
        await asyncio.sleep(CALM_S)
    await asyncio.gather(*loads)
    broken = []
    for server_id, begin, until in cold:
        most = busiest_second(lab, server_id, begin, until)
        lab.note("cold server", id=server_id, most_in_a_second=most)
        if most > BOUND:
            broken.append(f"FAILBACK: {server_id} got {most} requests in one second, at most {BOUND:.0f}")
    return broken


L.main(__file__, scenario)
