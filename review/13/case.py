"""An upstream has left; all processes are killed and start again while its health check is good."""
import asyncio
import time

from lab import TROUBLE, Lab, Skipped, play

DRAIN_S, IN_TOUCH_S, SERVES_S, LIES_S = 2.0, 3.0, 11.0, 6.5


async def press(lab, sent, until):
    tasks = []

    async def send(index):
        at = time.monotonic()
        request_id, _ = await lab.call(index, "/main/x")
        sent[request_id] = at

    while time.monotonic() < until:
        ready = [await lab.is_ready(index) for index in (0, 1)]
        for index in (0, 1, 0, 1, 0, 1, 0, 1):
            if ready[index]:
                tasks.append(asyncio.create_task(send(index)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def lie(upstream):
    upstream.says_well, upstream.failing_share = True, 1.0
    upstream.lab.record.write("upstream", upstream.name, "says well and fails all")
    await asyncio.sleep(LIES_S)
    upstream.says_well, upstream.failing_share = False, 0.0
    upstream.lab.record.write("upstream", upstream.name, "says the truth and fails none")


async def case(lab):
    for upstream in lab.upstreams:
        upstream.work_s = 0.35
    await lab.start(lab.config(3, {"r-main": {"pathPrefix": "/main/", "service": "svc"}}))
    sent = {}
    pressing = asyncio.create_task(press(lab, sent, time.monotonic() + 1 + SERVES_S))
    await asyncio.sleep(1)
    leaver = lab.upstreams[-1]
    if TROUBLE:
        lying = asyncio.create_task(lie(leaver))
        await asyncio.sleep(0.3)
    acknowledged = await leaver.leave()
    if acknowledged is None:
        raise Skipped("the leave wasn't acknowledged")
    restarted = acknowledged
    if TROUBLE:
        await asyncio.sleep(0.2)
        for index, process in lab.processes.items():
            process.kill()
            process.wait()
            lab.record.write("process of n%d is killed" % index)
        await asyncio.sleep(0.5)
        for index in list(lab.processes):
            lab.spawn(index, first_start=False)
            lab.record.write("process of n%d starts" % index)
        restarted = time.monotonic()
    await pressing
    if TROUBLE:
        await lying
    late = [request_id for at, request_id, _ in leaver.runs
            if at > acknowledged + DRAIN_S and sent.get(request_id, 0) > restarted + IN_TOUCH_S + 0.2]
    text = "%d requests reached the upstream later than %g s after its leave was acknowledged and were sent later than " \
           "%.1f s after the processes started" % (len(late), DRAIN_S, IN_TOUCH_S + 0.2)
    print(text)
    lab.record.write(text)
    return bool(late)


play(lambda: Lab(["front", "front"] + ["svc"] * 10), case)
