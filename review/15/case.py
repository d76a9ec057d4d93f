"""A service has no real limit for cold upstreams; processes beside its cold upstreams need more memory than their machine has."""
import asyncio
import os
import time

from lab import TROUBLE, Lab, Message, play

COLD_CALLS_PER_S = float(os.environ.get("COLD", "20e6")) if TROUBLE else 12.0
MEMORY_MB = 260
WARMUP_S = 3.0


def used_mb(process):
    """The private memory of a process."""
    try:
        with open("/proc/%d/status" % process.pid) as file:
            return max((int(line.split()[1]) // 1024 for line in file if line.startswith("RssAnon")), default=0)
    except OSError:
        return 0


async def limit_memory(lab, ends, peak):
    """Kills what exceeds its memory and starts it again, as the platform does."""
    while True:
        for index, process in list(lab.processes.items()):
            used = used_mb(process)
            peak[index] = max(peak.get(index, 0), used)
            if used > MEMORY_MB or process.poll() is not None:
                process.kill()
                process.wait()
                ends[index] = ends.get(index, 0) + 1
                lab.record.write("process of n%d" % index, "has %d MB and is killed" % used)
                asyncio.get_running_loop().call_later(0.5, lab.spawn, index, False)
                del lab.processes[index]
        await asyncio.sleep(0.003)


async def case(lab):
    config = lab.config(3, {"r-main": {"pathPrefix": "/main/", "service": "svc"}})
    for resource in config["resources"]:
        if resource["resourceType"] == "services":
            resource["specification"]["coldPerS"] = COLD_CALLS_PER_S
    await lab.start(config)
    ends, peak, statuses, tasks = {}, {}, {}, []
    limiting = asyncio.create_task(limit_memory(lab, ends, peak))

    async def send(index):
        _, answer = await lab.call(index, "/main/x")
        status = answer.status if isinstance(answer, Message) else answer
        statuses[status] = statuses.get(status, 0) + 1

    begun = time.monotonic()
    turn = 0
    while time.monotonic() < begun + 40:
        if time.monotonic() > begun + 10 * turn:
            turn += 1
            for upstream in lab.upstreams:
                upstream.cold_s, upstream.started = WARMUP_S, time.monotonic()
            lab.record.write("the upstreams turn cold for %g s" % WARMUP_S)
        tasks.append(asyncio.create_task(send(0)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    limiting.cancel()
    text = "coldPerS %g: ends by memory by machine %s; peak MB %s; answers %s" % (COLD_CALLS_PER_S, ends, peak, statuses)
    print(text)
    lab.record.write(text)
    return sum(count >= 3 for count in ends.values()) >= 2


play(lambda: Lab(["front", "svc", "svc", "svc"]), case)
