#!/usr/bin/env python3
"""Fault soak: runs real nodes as separate processes on loopback and injects faults from outside.

Checks what callers and targets observe meanwhile; see docs/soak.md. Exits with 1 if a rule was violated.
Usage: soak/soak.py BUILD_DIR [--seed N] [--seconds S] [--nodes N] [--break NAME] [--keep DIR]
"""
import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from checks import Ledger
from stand_ins import Proxy, Store, Target
from wire import abort, encode, read_message, request_once

ZONES = ["z1", "z2", "z3"]
SERVICES = ["a", "b", "c"]
BOUNDS = {"drain": 2.0, "gracePeriod": 6.0, "configApply": 2.0, "evacuation": 5.0, "rollback": 5.0,
          "retryBudgetRatio": 0.2, "retryBudgetSlack": 60, "budgetWindow": 10, "coldRateFactor": 1.5, "coldSlack": 5,
          "recovery": 15}
PORTS = {"inbound": 8300, "application": 8301, "readiness": 8302, "outbound": 8304, "controlPlane": 8306}
STORE_PORT = 8309
PEER_PORT, METRICS_PORT, PROXY_PORT, TARGET_PORT = 7620, 7635, 7700, 8400
READINESS_INTERVAL_S = 1.0
DEADLINE_MS = 1500
FINAL_QUIET_S = 12.0  # Time without faults at the end, in which the nodes must recover.
REQUEST_KINDS = [("read", "GET", "a", "idempotent"), ("pay", "POST", "b", "non_idempotent"),
                 ("photo", "POST", "c", "upload")]


def find_free_network():
    """Returns a number N such that no other soak on this machine uses the addresses 127.0.N.x."""
    for net in random.SystemRandom().sample(range(10, 250), 240):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.0.{net}.250", STORE_PORT))
                return net
            except OSError:
                continue
    raise RuntimeError("no free network 127.0.N.0/24 for N from 10 to 249")


class Node:
    """One node: its process, its target, and the proxies through which faults are injected."""

    def __init__(self, world, index):
        self.world = world
        self.index = index
        self.name = f"n{index}"
        self.ip = f"127.0.{world.net}.{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.service = SERVICES[index // len(ZONES) % len(SERVICES)]
        self.peer_proxy = Proxy((self.ip, PROXY_PORT), (self.ip, PEER_PORT))
        self.target_proxy = Proxy((self.ip, PORTS["application"]), (self.ip, TARGET_PORT))
        self.store_proxy = Proxy((self.ip, PROXY_PORT + 1), world.store.address)
        self.target = Target(world, self.name, self.service, self.zone, (self.ip, TARGET_PORT),
                             (self.ip, PORTS["controlPlane"]))
        self.process = None
        self.incarnation = 0
        self.grace_period_ends_at = 0.0
        self.in_service = False
        self.served_versions = set()

    async def start(self):
        for proxy in (self.peer_proxy, self.target_proxy, self.store_proxy):
            await proxy.start()
        await self.target.listen()
        self.spawn()
        self.target.start(cold=False)

    def spawn(self):
        path = os.path.join(self.world.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        self.incarnation += 1
        self.served_versions = set()
        with open(os.path.join(self.world.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                [self.world.binary, "sidecar", f"--settings={path}", f"--advertise={self.ip}:{PROXY_PORT}"],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def settings(self):
        bounds = {name: f"{value}s" if name in ("drain", "gracePeriod", "budgetWindow", "configApply") else value
                  for name, value in BOUNDS.items()}
        return {"nodeName": self.name, "zone": self.zone, "service": self.service, "ipAddress": self.ip,
                "listenAddresses": {name: f"{self.ip}:{PORTS[name]}"
                                    for name in ("inbound", "outbound", "readiness", "controlPlane")},
                "internalPortRange": [PEER_PORT, METRICS_PORT], "heartbeatInterval": "1000ms",
                "limits": {"cpuShare": 0.5, "memoryMb": 260, "linkMbps": 1000.0}, "bounds": bounds,
                "application": f"{self.ip}:{PORTS['application']}",
                "platform": {"address": f"{self.ip}:{PROXY_PORT + 1}"}}

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    async def stop_gracefully(self):
        """Stops the node with SIGTERM, and with SIGKILL after the grace period, and starts a new process."""
        if not self.is_running() or self.grace_period_ends_at > time.monotonic():
            return
        old = self.process
        self.grace_period_ends_at = time.monotonic() + BOUNDS["gracePeriod"]
        self.world.ledger.record_planned_stop(self.name, time.monotonic())
        self.send_signal(signal.SIGTERM)
        while old.poll() is None and time.monotonic() < self.grace_period_ends_at:
            await asyncio.sleep(0.05)
        await self.replace_process(old)

    async def kill(self):
        if self.is_running():
            self.world.ledger.record_unplanned_fault(self.name, time.monotonic(), time.monotonic() + 1)
            await self.replace_process(self.process)

    async def replace_process(self, old):
        if old.poll() is None:
            old.kill()
        while old.poll() is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.world.random.uniform(0.1, 0.8))
        if self.process is old and not self.world.finished:
            self.spawn()

    async def poll_readiness(self):
        misses = 0
        while not self.world.finished:
            data = encode("GET /readiness HTTP/1.1", {"Host": "node"})
            response = await request_once((self.ip, PORTS["readiness"]), data, 1.0)
            misses = 0 if response is not None and response.status == 200 else misses + 1
            self.in_service = misses < 2
            await asyncio.sleep(READINESS_INTERVAL_S)


class World:
    """All components of a soak, and the ledger of its observations."""

    node_type = Node
    ledger_type = Ledger

    def __init__(self, args):
        self.args = args
        self.random = random.Random(args.seed)
        self.net = find_free_network()
        self.binary = os.path.abspath(os.path.join(args.build, "sycamorelb"))
        self.folder = args.keep or tempfile.mkdtemp(prefix="soak-")
        os.makedirs(self.folder, exist_ok=True)
        self.store = Store((f"127.0.{self.net}.250", STORE_PORT))
        self.store.era = 1
        self.ledger = self.ledger_type(BOUNDS, args.broken)
        self.left_at_by_target = self.ledger.left_at_by_target
        self.nodes = [self.node_type(self, index) for index in range(args.nodes)]
        self.finished = False
        self.version = 0
        self.faults = []
        self.evacuated = set()

    # Callers.

    def write_config(self):
        """Writes the next configuration version N, which adds the route /vN/ and keeps all others."""
        self.version += 1
        routes = [("/" + name + "/", service, kind) for name, _, service, kind in REQUEST_KINDS]
        routes += [("/call/", "b", "idempotent")]
        routes += [(f"/v{number}/", "a", "idempotent") for number in range(1, self.version + 1)]
        resources = [{"resourceType": "routes", "metadata": {"name": "r" + prefix.strip("/")}, "specification": {
            "host": "soak", "pathPrefix": prefix, "kind": kind, "timeout": "1500ms", "targetLatency": "500ms",
            "priority": 1, "attempts": 2, "service": service}} for prefix, service, kind in routes]
        resources += [{"resourceType": "services", "metadata": {"name": name}, "specification": {
            "healthCheckPath": "/health", "connectionLimit": 200, "protocol": "h1", "tls": False, "warmup": "3s",
            "coldPerS": 12.0}} for name in SERVICES]
        resources.append({"resourceType": "limits", "metadata": {}, "specification": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}})
        self.store.append("keyed.op", "config",
                          json.dumps({"version": f"r{self.version * 2}", "resources": resources}).encode())
        self.ledger.record_config(self.version, time.monotonic())

    def new_request(self, prefix, method, kind, service, caller, deadline_ms=DEADLINE_MS):
        request_id = f"{self.random.getrandbits(64):016x}"
        body = b"" if method == "GET" else self.random.randbytes(20000 if kind == "upload" else 300)
        target = f"{prefix}{request_id[:4]}?q={request_id[4:8]}"
        self.ledger.record_request(request_id, method, target, body, kind, service, caller.service, caller.name)
        return request_id, encode(f"{method} {target} HTTP/1.1", {
            "Host": "soak", "Request-Id": request_id, "Deadline-Milliseconds": deadline_ms}, body)

    async def nested_call(self, target):
        """Makes a call on behalf of a target that is executing another. Returns whether it succeeded."""
        node = next(node for node in self.nodes if node.target is target)
        request_id, data = self.new_request("/call/", "GET", "idempotent", "b", node, 800)
        response = await request_once((node.ip, PORTS["outbound"]), data, 0.8)
        self.ledger.record_answer(request_id, node.name, response)
        return response is not None and response.status == 200

    async def run_caller(self, node):
        """Sends requests on a keep-alive connection while the node is in service."""
        reader = writer = None
        while not self.finished:
            await asyncio.sleep(self.random.expovariate(2.5))
            if not node.in_service:
                continue
            name, method, service, kind = self.random.choices(REQUEST_KINDS, [5, 3, 1])[0]
            request_id, data = self.new_request(f"/{name}/", method, kind, service, node)
            incarnation, sent_at, kept = node.incarnation, time.monotonic(), writer is not None
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
                    if writer is None:
                        reader, writer = await asyncio.open_connection(node.ip, PORTS["outbound"])
                    if self.ledger.falsifies("twice", request_id):
                        writer.write(data)
                    writer.write(data)
                    response = await read_message(reader)
            except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
                response = None
            if self.ledger.falsifies("cut", request_id):
                response = None
            self.ledger.record_answer(request_id, node.name, response)
            if response is None:
                same_process = incarnation == node.incarnation
                self.ledger.record_lost_answer(request_id, node.name, sent_at, time.monotonic(), kept, same_process)
            if writer is not None and (response is None or response.headers.get("connection") == "close"):
                abort(writer)
                reader = writer = None

    async def probe_config(self, node):
        """Sends requests on the newest routes, to find out which configuration a node has."""
        while not self.finished:
            await asyncio.sleep(0.4)
            number = self.random.randint(max(1, self.version - 2), max(1, self.version))
            if not node.in_service or self.version == 0:
                continue
            incarnation = node.incarnation
            request_id, data = self.new_request(f"/v{number}/", "GET", "idempotent", "a", node)
            sent_at = time.monotonic()
            response = await request_once((node.ip, PORTS["outbound"]), data, 2.5)
            self.ledger.record_answer(request_id, node.name, response)
            if response is not None and incarnation == node.incarnation:
                self.ledger.record_config_probe(node, number, response.status, sent_at)

    def record_execution(self, target, request_id, message, cold):
        self.ledger.record_execution(target, request_id, message, cold, time.monotonic())

    # Faults.

    async def inject_link_fault(self, proxy, node, mode, seconds):
        self.ledger.record_unplanned_fault(node.name, time.monotonic(), time.monotonic() + seconds)
        if mode == "reset":
            return proxy.reset_all()
        proxy.mode = mode
        await asyncio.sleep(seconds)
        proxy.mode = "pass"
        if mode in ("silent", "one_way"):
            proxy.reset_all()

    async def pause_process(self, node, seconds):
        self.ledger.record_unplanned_fault(node.name, time.monotonic(), time.monotonic() + seconds)
        process = node.process
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGCONT)

    async def inject_store_fault(self, mode, seconds):
        self.ledger.record_store_fault(time.monotonic(), time.monotonic() + seconds)
        self.store.mode = mode
        await asyncio.sleep(seconds)
        self.store.mode = "ok"

    async def inject_target_fault(self, node, fault, seconds):
        self.ledger.record_unplanned_fault(node.name, time.monotonic(), time.monotonic() + seconds)
        if fault == "crash":
            return await node.target.restart(seconds)
        node.target.fault = fault
        await asyncio.sleep(seconds)
        node.target.fault = None

    async def evacuate(self, zone, seconds):
        """Evacuates a zone, unless it already is: the end of one evacuation would also revoke the other."""
        if zone in self.evacuated:
            return
        self.evacuated.add(zone)
        self.store.append("keyed.op", "evacuate/" + zone, b"{}")
        self.ledger.record_evacuation(zone, time.monotonic(), time.monotonic() + seconds)
        await asyncio.sleep(seconds)
        self.store.append("keyed.op", "evacuate/" + zone, b"")
        self.evacuated.discard(zone)

    async def send_sighups(self, node):
        for _ in range(self.random.randint(1, 4)):
            node.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)

    def planned_fault(self, node):
        draw = self.random.randrange(5)
        if draw == 0:
            return "stop", node.stop_gracefully()
        if draw == 1:
            return "drain", node.target.drain(BOUNDS["drain"])
        if draw == 2:
            return "hup", self.send_sighups(node)
        if draw == 3:
            return "evacuate", self.evacuate(self.random.choice(ZONES), self.random.uniform(6, 9))
        self.write_config()
        return "config", asyncio.sleep(0)

    def unplanned_fault(self, node):
        seconds = self.random.uniform(0.5, 4)
        draw = self.random.randrange(8)
        if draw == 0:
            return "kill", node.kill()
        if draw == 1:
            return "pause", self.pause_process(node, seconds)
        if draw == 2:
            fault = self.random.choice(["crash", "lose", "garbage", "slow"])
            return "target " + fault, self.inject_target_fault(node, fault, seconds)
        if draw == 3:
            mode = self.random.choice(["reject", "silent", "lost", "slow"])
            return "store " + mode, self.inject_store_fault(mode, seconds)
        proxy, link = self.random.choice([(node.peer_proxy, "peer"), (node.peer_proxy, "peer"),
                                          (node.target_proxy, "target"), (node.store_proxy, "store")])
        mode = self.random.choice(["delay", "reset", "silent", "one_way", "refuse"])
        return f"{link} link {mode}", self.inject_link_fault(proxy, node, mode, seconds)

    async def inject_faults(self, seconds):
        """Starts faults that may overlap; in every third interval of 8 s only planned ones."""
        end = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end:
            planned_only = int((end - time.monotonic()) / 8) % 3 == 0
            node = self.random.choice(self.nodes)
            choose = self.planned_fault if planned_only or self.random.random() < 0.3 else self.unplanned_fault
            name, work = choose(node)
            self.faults.append((time.monotonic(), name, node.name))
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(self.random.expovariate(0.9))
        await asyncio.gather(*tasks)

    async def limit_targets(self):
        """Lets one target after the other name a limit in its answers for a while."""
        choose = random.Random(self.args.seed + 1000)  # Leaves the sequence of the other faults as it is.
        while not self.finished:
            target = choose.choice(self.nodes).target
            self.ledger.record_limit(target.node, True)
            target.is_limited = True
            await asyncio.sleep(choose.uniform(5, 9))
            target.is_limited = False
            self.ledger.record_limit(target.node, False)
            await asyncio.sleep(choose.uniform(0, 2))

    async def let_targets_leave(self):
        """Lets targets leave that say so in their answers only."""
        choose = random.Random(self.args.seed + 2000)
        while not self.finished:
            await asyncio.sleep(choose.uniform(4, 9))
            await choose.choice(self.nodes).target.leave_by_answers(BOUNDS["drain"])

    async def rewind_store(self):
        """Lets the store come back from older copies; operators write again what it lost, in order."""
        choose = random.Random(self.args.seed + 3000)
        end = time.monotonic() + self.args.seconds
        while time.monotonic() < end:
            await asyncio.sleep(choose.uniform(5, 15))
            away, rewrite = choose.uniform(0.2, 1), choose.uniform(0.5, 3)
            now = time.monotonic()
            self.ledger.record_store_fault(now, now + away + rewrite)
            self.faults.append((now, "store rewind", ""))
            mode, self.store.mode = self.store.mode, "reject"
            await asyncio.sleep(away)
            self.store.mode = mode if self.store.mode == "reject" else self.store.mode
            lost = self.store.rewind(choose.uniform(1, 10))
            rewound_end = len(self.store.topics["keyed.op"])
            await asyncio.sleep(rewrite)
            # What operators have written since is newer than what was lost.
            written = {key for key, _ in self.store.topics["keyed.op"][rewound_end:]}
            for key, value in lost:
                if key not in written:
                    self.store.append("keyed.op", key, value)

    async def watch_loop_lag(self):
        """Records when the event loop of the soak itself was delayed; time bounds are not checked then."""
        while not self.finished:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            lag = time.monotonic() - before - 0.05
            if lag > 0.1:
                self.ledger.record_lag(before, time.monotonic())

    def handle_task_error(self, loop, context):
        """Reports errors of tasks, except those caused by the end of the soak."""
        if not self.finished:
            loop.default_exception_handler(context)

    async def run(self):
        asyncio.get_running_loop().set_exception_handler(self.handle_task_error)
        await self.store.start()
        self.write_config()
        for node in self.nodes:
            await node.start()
        tasks = [asyncio.create_task(self.watch_loop_lag()), asyncio.create_task(self.limit_targets()),
                 asyncio.create_task(self.let_targets_leave())]
        for node in self.nodes:
            tasks += [asyncio.create_task(node.poll_readiness()), asyncio.create_task(self.probe_config(node))]
            tasks += [asyncio.create_task(self.run_caller(node)) for _ in range(3)]
        await asyncio.sleep(4)
        await asyncio.gather(self.inject_faults(self.args.seconds), self.rewind_store())
        quiet_since = time.monotonic()
        await asyncio.sleep(FINAL_QUIET_S)
        self.finished = True
        self.ledger.finish(quiet_since + FINAL_QUIET_S / 2)
        await asyncio.gather(*tasks, return_exceptions=True)

    def kill_nodes(self):
        self.finished = True
        for node in self.nodes:
            if node.is_running():
                node.process.kill()
                node.process.wait()

    def report(self):
        return self.ledger.report() | {"seed": self.args.seed, "faults": len(self.faults), "folder": self.folder}


def make_parser(nodes):
    """Returns a parser of the options that all soaks have; nodes is the default number of nodes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=nodes)
    parser.add_argument("--keep", default="")
    return parser


def play(world):
    """Plays a soak and prints its report. Returns the exit code."""
    try:
        asyncio.run(world.run())
    finally:
        world.kill_nodes()
    report = world.report()
    print(json.dumps(report))
    if report["broken"]:
        with open(os.path.join(world.folder, "faults.json"), "w") as file:
            json.dump([[round(at - world.ledger.started_at, 3), name, node] for at, name, node in world.faults], file)
        return 1
    if not world.args.keep:
        shutil.rmtree(world.folder)
    return 0


def main():
    parser = make_parser(nodes=9)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--break", dest="broken", default="")
    return play(World(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
