#!/usr/bin/env python3
"""Soak of cold targets: real nodes, one target under load that starts anew or turns cold again, and faults around it.

Counts the calls that were sent and arrived within one second while the target is cold and the node beside it has been
told. Exits with 1 if a rule was violated. A seed repeats its rounds, up to the timing of the processes.
Usage: soak/cold_soak.py BUILD_DIR [--seed N] [--rounds N] [--nodes N] [--rate N] [--busy N] [--only FAULT,...] [--keep DIR]
"""
import asyncio
import random
import subprocess
import sys
import time

import soak
from checks import Ledger
from stand_ins import COLD_CALLS_PER_S, Target
from wire import abort, read_message

COLD_FOR_S = 4.0
CALM_S = 2.5  # After each round, with a warm target.
ALLOWED = COLD_CALLS_PER_S * soak.BOUNDS["coldRateFactor"] + soak.BOUNDS["coldSlack"]


class ColdLedger(Ledger):
    """Also records which calls arrived at a cold target."""

    def __init__(self, bounds, falsification):
        super().__init__(bounds, falsification)
        self.spans = []  # Of the cold times of the target: dicts.

    def check_cold(self, target, now):
        """Judged at the end: only then it is known when the node was told."""

    def record_cold_arrival(self, target, request_id, now):
        target.span["arrivals"].append((self.sent[request_id]["at"], now))

    def judge_span(self, span):
        """Returns the most calls that were sent and arrived within a second, after the node was told and at any time."""
        most = {}
        for name, begin in (("told", span["told"]), ("cold", span["from"])):
            calls = [] if begin is None else [call for call in span["arrivals"] if call[1] >= begin]
            most[name] = max((sum(1 for sent, at in calls if first <= sent and at < first + 1)
                              for first, _ in calls), default=0)
        return most

    def finish_cold(self):
        for span in self.spans:
            most = self.judge_span(span)
            lag = any(start - 1 < span["until"] and end > span["from"] for start, end in self.lag_spans)
            span.update(most_after_told=most["told"], most=most["cold"], lag=lag)
            if most["told"] > ALLOWED and not lag:
                told_after = span["told"] - span["from"]
                self.report_violation("FAILBACK", target=span["id"], calls=most["told"], round=span["round"],
                                      cold_from=round(span["from"] - self.started_at, 3), told_after=round(told_after, 3))


class ColdTarget(Target):
    """A target that can become cold again, keep its id when it starts anew, and stop reading for a while."""

    span = None
    reads_until = 0.0

    def start(self, version="v1", cold=True, keep_id=False):
        super().start(version, cold, keep_id)
        self.end_span()
        if cold:
            self.become_cold()

    def become_cold(self):
        self.end_span()
        now = time.monotonic()
        self.cold_until = now + COLD_FOR_S
        self.span = {"id": self.id, "from": now, "until": self.cold_until, "told": None, "arrivals": [],
                     "round": self.world.round_name}
        self.world.ledger.spans.append(self.span)

    def end_span(self):
        if self.span is not None:
            self.span["until"] = min(self.span["until"], time.monotonic())
            self.span = None

    def record_told_cold(self):
        if self.span is not None and self.span["told"] is None:
            self.span["told"] = time.monotonic()

    async def handle(self, message, writer):
        while time.monotonic() < self.reads_until:
            await asyncio.sleep(0.01)
        if message.target == "/health" and self.cold_ms() > 0:
            self.record_told_cold()
        return await super().handle(message, writer)


class ColdNode(soak.Node):
    """Node 0 has the target under test, of service a. The others have targets of service b."""

    def __init__(self, world, index):
        super().__init__(world, index)
        self.service = "b" if index else "a"
        self.target = ColdTarget(world, self.name, self.service, self.zone, self.target.address,
                                 self.target.control_address)


class ColdWorld(soak.World):
    """One target under load, and rounds of faults around its cold times."""

    node_type = ColdNode
    ledger_type = ColdLedger

    def __init__(self, args):
        super().__init__(args)
        self.round_name = "start"
        self.choice = None  # Of each round; not shared with the callers, so that a seed repeats its rounds.
        self.load = []

    def record_execution(self, target, request_id, message, cold):
        super().record_execution(target, request_id, message, cold)
        if cold and target.span is not None and request_id in self.ledger.sent:
            self.ledger.record_cold_arrival(target, request_id, time.monotonic())

    async def run_caller(self, node):
        """Sends calls for service a at a fixed rate, on kept connections."""
        count = len(self.nodes) - 1
        idle = []
        while not self.finished:
            await asyncio.sleep(self.random.expovariate(self.args.rate / count))
            if node.in_service:
                asyncio.create_task(self.call_once(node, idle))

    async def call_once(self, node, idle):
        request_id, data = self.new_request("/read/", "GET", "idempotent", "a", node)
        reader, writer = idle.pop() if idle else (None, None)
        response = None
        try:
            async with asyncio.timeout(soak.DEADLINE_MS / 1000 + 1):
                if writer is None:
                    reader, writer = await asyncio.open_connection(node.ip, soak.PORTS["outbound"])
                writer.write(data)
                response = await read_message(reader)
        except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
            pass
        self.ledger.record_answer(request_id, node.name, response)
        if response is None or response.headers.get("connection") == "close":
            if writer is not None:
                abort(writer)
        else:
            idle.append((reader, writer))

    # Faults of the host under test. Each takes the node and returns when it is over.

    async def fault_kill(self, node):
        await asyncio.sleep(self.choice.uniform(0, 1.2))
        await node.kill()

    async def fault_stop(self, node):
        await asyncio.sleep(self.choice.uniform(0, 1))
        await node.stop_gracefully()

    async def fault_pause(self, node):
        await asyncio.sleep(self.choice.uniform(0, 2))
        await self.pause_process(node, self.choice.uniform(0.2, 3.2))

    async def fault_short_pauses(self, node):
        for _ in range(self.choice.randint(6, 14)):
            await asyncio.sleep(self.choice.uniform(0.02, 0.5))
            await self.pause_process(node, self.choice.uniform(0.05, 0.6))

    async def fault_store_silent(self, node):
        await self.inject_link_fault(node.store_proxy, node, "silent", self.choice.uniform(2, 6))

    async def fault_store_refused(self, node):
        await self.inject_link_fault(node.store_proxy, node, "refuse", self.choice.uniform(2, 6))

    async def fault_peers_silent(self, node):
        await self.inject_link_fault(node.peer_proxy, node, "silent", self.choice.uniform(0.3, 1.5))

    async def fault_peers_reset(self, node):
        await self.inject_link_fault(node.peer_proxy, node, "reset", 0)

    async def fault_late_heartbeats(self, node):
        node.target.heartbeat_delay_s = self.choice.uniform(0.1, 2.5)
        await asyncio.sleep(self.choice.uniform(1, 4))
        node.target.heartbeat_delay_s = 0.0

    async def fault_slow_reads(self, node):
        for _ in range(3):
            node.target.reads_until = time.monotonic() + self.choice.uniform(0.2, 1.3)
            await asyncio.sleep(self.choice.uniform(0.5, 1.5))

    async def fault_connects(self, node):
        """Connections to the target are accepted late, and those that are open are reset."""
        await self.inject_link_fault(node.target_proxy, node, "delay", self.choice.uniform(0.5, 2))
        node.target_proxy.reset_all()

    async def fault_clock_back(self, node):
        node.target.clock_offset_ms = -self.choice.choice([2000, 20000, 60000])
        await asyncio.sleep(4)
        node.target.clock_offset_ms = 0

    async def fault_configs(self, node):
        for _ in range(4):
            self.write_config()
            await asyncio.sleep(0.3)

    async def fault_evacuate(self, node):
        """Evacuates the zone of the target, which is cold when that ends."""
        await self.evacuate(node.zone, self.choice.uniform(1.5, 3))
        if node.target.alive:
            node.target.become_cold()

    FAULTS = [name[6:] for name in list(locals()) if name.startswith("fault_")]

    # How the target turns cold.

    async def cold_new(self, node):
        await node.target.restart(self.choice.uniform(0.02, 1.5))

    async def cold_same_id(self, node):
        target = node.target
        target.stop()
        await asyncio.sleep(self.choice.uniform(0.02, 1.5))
        target.start(target.version, keep_id=True)

    async def cold_again(self, node):
        node.target.become_cold()

    COLD = [name[5:] for name in list(locals()) if name.startswith("cold_")]

    async def play_round(self, node):
        allowed = self.args.only.split(",") if self.args.only else self.FAULTS
        chosen = self.choice.sample(allowed, min(len(allowed), self.choice.randint(1, 3)))
        cold = self.choice.choice([name for name in self.COLD if name in allowed] or self.COLD)
        names = [name for name in chosen if name in self.FAULTS]
        self.round_name = "+".join([cold] + names)
        self.faults.append((time.monotonic(), self.round_name, node.name))
        tasks = [asyncio.create_task(getattr(self, "fault_" + name)(node)) for name in names]
        await asyncio.sleep(self.choice.uniform(0, 1.5))
        await getattr(self, "cold_" + cold)(node)
        await asyncio.gather(*tasks)
        await asyncio.sleep(COLD_FOR_S + CALM_S)

    async def run(self):
        asyncio.get_running_loop().set_exception_handler(self.handle_task_error)
        await self.store.start()
        self.write_config()
        for node in self.nodes:
            await node.start()
        tasks = [asyncio.create_task(self.watch_loop_lag())]
        tasks += [asyncio.create_task(node.poll_readiness()) for node in self.nodes]
        tasks += [asyncio.create_task(self.run_caller(node)) for node in self.nodes[1:]]
        self.load = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(self.args.busy)]
        await asyncio.sleep(4)
        for number in range(self.args.rounds):
            self.choice = random.Random(f"{self.args.seed}/{number}")
            await self.play_round(self.nodes[0])
        quiet_since = time.monotonic()
        await asyncio.sleep(soak.FINAL_QUIET_S / 2)
        self.finished = True
        self.ledger.finish(quiet_since)
        self.ledger.finish_cold()
        await asyncio.gather(*tasks, return_exceptions=True)

    def kill_nodes(self):
        super().kill_nodes()
        for process in self.load:
            process.kill()
            process.wait()

    def report(self):
        spans = [{"round": span["round"], "most": span["most"], "after_told": span["most_after_told"],
                  "lag": span["lag"],
                  "told_after_ms": None if span["told"] is None else round(1000 * (span["told"] - span["from"]))}
                 for span in self.ledger.spans]
        return super().report() | {"allowed": ALLOWED, "spans": spans}


def main():
    parser = soak.make_parser(nodes=4)
    parser.add_argument("--rounds", type=int, default=6)
    parser.add_argument("--rate", type=float, default=135.0)
    parser.add_argument("--busy", type=int, default=0, help="busy loops beside the soak")
    parser.add_argument("--only", default="", help="faults and ways to turn cold that are played")
    parser.set_defaults(broken="")
    return soak.play(ColdWorld(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
