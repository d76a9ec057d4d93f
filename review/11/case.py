"""A completed rollout is forgotten: the store comes back from an older copy while all processes are killed."""
import asyncio
import os
import time

from lab import TROUBLE, Lab, Message, Skipped, play

DURATION_S = 14.0
COPY_AGE_S = 4.0
RECOVERY_S = 15.0
KILL, REWIND = TROUBLE and os.environ.get("KILL", "1") != "0", TROUBLE and os.environ.get("REWIND", "1") != "0"


async def press(lab, results, stop):
    tasks = []

    async def send(index):
        at = time.monotonic()
        _, answer = await lab.call(index, "/main/x")
        results.append((at, answer.status if isinstance(answer, Message) else 0))

    while not stop.is_set():
        ready = [await lab.is_ready(index) for index in (0, 1)]
        for index in (0, 1):
            if ready[index]:
                tasks.append(asyncio.create_task(send(index)))
        await asyncio.sleep(0.04)
    await asyncio.gather(*tasks)


def crash(upstream):
    upstream.beats.cancel()
    upstream.server.close()
    upstream.lab.record.write("upstream", upstream.name, upstream.version, "stops")


async def case(lab):
    old = [upstream for upstream in lab.upstreams if upstream.service == "svc"]
    await lab.start(lab.config(3, {"r-main": {"pathPrefix": "/main/", "service": "svc"}}))
    results, stop = [], asyncio.Event()
    pressing = asyncio.create_task(press(lab, results, stop))
    await asyncio.sleep(1)
    lab.store.order("rollout/svc", {"service": "svc", "targetVersion": "v2", "duration": "%gs" % DURATION_S})
    ordered = time.monotonic()
    await asyncio.sleep(1)
    for _ in range(3):
        await lab.add("svc", "v2")
    while lab.status("rollout/svc").get("state") != "completed":
        if time.monotonic() > ordered + DURATION_S:
            raise Skipped("v2 isn't completed")
        await asyncio.sleep(0.05)
    lab.record.write("platform sees", lab.status("rollout/svc"), "%.2f s after the order" % (time.monotonic() - ordered))
    for upstream in old:
        crash(upstream)  # "At `completed`, the old upstreams stop immediately, without draining."
    await asyncio.sleep(1.5)
    fault = time.monotonic()
    lab.store.away = REWIND
    if KILL:
        for index, process in lab.processes.items():
            process.kill()
            process.wait()
            lab.record.write("process of n%d is killed" % index)
    await asyncio.sleep(0.5)
    lost = lab.store.come_back(fault - COPY_AGE_S) if REWIND else []
    if KILL:
        for index in list(lab.processes):
            lab.spawn(index, first_start=False)
            lab.record.write("process of n%d starts" % index)
    back = time.monotonic()
    await asyncio.sleep(1)
    for key, value in lost:
        lab.store.append("keyed.op", key, value)
    await asyncio.sleep(RECOVERY_S + 25)
    stop.set()
    await pressing
    before = [status == 200 for at, status in results if ordered < at < fault - 1]
    after = [status == 200 for at, status in results if at > back + RECOVERY_S]
    text = "before the fault %d of %d requests are served; of those sent later than %g s after the machines are back %d of " \
           "%d; status/rollout/svc is %s" % (sum(before), len(before), RECOVERY_S, sum(after), len(after),
                                             lab.status("rollout/svc"))
    print(text)
    lab.record.write(text)
    if not after or sum(before) < len(before) / 4:
        return None
    return sum(after) < len(after) / 4


play(lambda: Lab(["front", "front", "svc", "svc", "svc"]), case)
