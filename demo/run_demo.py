"""Runs the whole path of one deployment and checks each step. Usage: run_demo.py BUILD_DIR FOLDER"""

import json
import os
import signal
import sys
import tempfile
import threading
import time

from deployment import Deployment, request


class Load:
    """Open-loop load on the moved service through all nodes; counts what callers see."""

    def __init__(self, deployment, calls_per_second=150):
        self.deployment, self.period = deployment, 1.0 / calls_per_second
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.sent = 0
        self.failures = []
        self.latencies = []
        self.versions = {}
        self.excluded = set()
        self.threads = [threading.Thread(target=self.run, args=(index, 16)) for index in range(16)]
        for thread in self.threads:
            thread.start()

    def run(self, index, count):
        path = "/" + self.deployment.topology["moved_service"] + "/today"
        begin = time.monotonic() + index * self.period
        call = 0
        while not self.stopped.is_set():
            due = begin + call * count * self.period
            call += 1
            time.sleep(max(0.0, due - time.monotonic()))
            nodes = [node for node in self.deployment.nodes if node.name not in self.excluded]
            node = nodes[(call * count + index) % len(nodes)]
            self.one_call(node, path, due)

    def one_call(self, node, path, due):
        try:
            status, headers, _ = request(node.ports["caller_port"], "GET", path, timeout=5.0)
            failure = None if status == 200 else f"{node.name}: status {status} {headers}"
        except OSError as error:
            headers, failure = {}, f"{node.name}: {error!r}"
        with self.lock:
            self.sent += 1
            self.latencies.append(time.monotonic() - due)
            if failure:
                self.failures.append((round(time.monotonic(), 2), failure))

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def take(self):
        """Returns and resets the counts since the last call."""
        with self.lock:
            result = self.sent, self.failures, sorted(self.latencies)
            self.sent, self.failures, self.latencies = 0, [], []
        return result


class Demo:
    """The steps of the demo; a step that does not hold raises AssertionError."""

    def __init__(self, deployment):
        self.d = deployment
        self.load = None

    def report(self, step, **figures):
        print(json.dumps({"deployment": self.d.topology["region"], "step": step, **figures}))

    def expect(self, condition, message):
        if not condition:
            raise AssertionError(message)

    def start(self):
        begin = time.monotonic()
        self.d.start_log()
        for node in self.d.nodes:
            self.d.start_node(node)
        for node in self.d.nodes:
            self.d.wait_for(f"{node.name} answers", lambda n=node: request(
                n.ports["ops_port"], "GET", "/healthz")[0] == 200)
            self.d.start_upstream(node)
        for node in self.d.nodes:
            self.d.wait_for(f"{node.name} knows all upstreams", lambda n=node: sum(
                member["upstreams"] for member in self.d.dump(n)["members"]) == len(self.d.nodes))
        self.report("start", nodes=len(self.d.nodes), seconds=round(time.monotonic() - begin, 2))

    def refuse_bad(self):
        """A bad declaration is refused with its pointer, and nothing is published."""
        path = os.path.join(self.d.work, "bad.json")
        with open(os.path.join(self.d.folder, "declaration.json"), encoding="utf-8") as file:
            bad = json.load(file)
        bad["routes"][0]["service"] = "nowhere"
        bad["routes"][1]["timeout"] = 5
        with open(path, "w", encoding="utf-8") as file:
            json.dump(bad, file)
        code, text = self.d.cli("apply", path)
        self.expect(code == 1, f"a bad declaration was not refused: {code} {text}")
        self.expect("/routes/0/service" in text and "/routes/1/timeout" in text,
                    f"not all faults are listed: {text}")
        self.expect(self.d.dump(self.d.nodes[0])["config"]["version"] == 0, "something was published")
        self.report("refuse_bad", faults=len(text.strip().splitlines()))

    def apply(self):
        declaration = os.path.join(self.d.folder, "declaration.json")
        self.expect(self.d.cli("check", declaration)[0] == 0, "the declaration is not valid")
        begin = time.monotonic()
        code, text = self.d.cli("apply", declaration, "--wait", "--json")
        seconds = time.monotonic() - begin
        self.expect(code == 0, f"apply failed: {code} {text}")
        outcome = json.loads(text)
        self.expect(outcome["nodes_in_force"] == len(self.d.nodes), f"not on all nodes: {outcome}")
        for node in self.d.nodes:
            self.expect(self.d.dump(node)["config"]["version"] == outcome["version"],
                        f"{node.name} has another version")
        self.report("apply", in_force_on=outcome["nodes_in_force"], seconds=round(seconds, 3))

    def call_across_zones(self):
        """Calls each service through a node of a zone other than that of its first upstream."""
        for service, zones in self.d.topology["services"].items():
            entry = next(node for node in self.d.nodes if node.zone != zones[0])
            self.d.wait_for(f"{service} answers", lambda s=service, e=entry: request(
                e.ports["caller_port"], "GET", f"/{s}/today")[0] == 200, 10.0)
        self.report("call_across_zones", services=len(self.d.topology["services"]))

    def upload(self):
        """A large upload arrives byte for byte."""
        body = os.urandom(1 << 20) * 8
        service = list(self.d.topology["services"])[-1]
        status, headers, answer = request(
            self.d.nodes[0].ports["caller_port"], "POST", f"/{service}/photo", body=body, timeout=30.0)
        self.expect(status == 200, f"upload: status {status} {headers} {answer[:200]}")
        self.report("upload", bytes=len(body))

    def figures(self):
        sent, failures, latencies = self.load.take()
        if failures:
            print(json.dumps({"first_failures": failures[:5]}))
        middle = latencies[len(latencies) // 2] if latencies else 0
        tail = latencies[len(latencies) * 99 // 100] if latencies else 0
        return sent, failures, {"calls": sent, "failed": len(failures),
                                "p50_ms": round(middle * 1e3, 2), "p99_ms": round(tail * 1e3, 2)}

    def move(self):
        service = self.d.topology["moved_service"]
        for node in self.d.nodes:
            if node.service == service:
                self.d.start_upstream(node, "v2")
        time.sleep(1.0)
        self.load.take()
        begin = time.monotonic()
        code, text = self.d.cli("move", service, "--to=v2", "--by=+60s", "--wait")
        seconds = time.monotonic() - begin
        _, failures, figures = self.figures()
        self.expect(code == 0, f"the move was not done: {code} {text}")
        self.expect(not failures, "calls failed during the move")
        self.report("move", verdict=text.strip().splitlines()[-1], seconds=round(seconds, 1), **figures)

    def executions(self, zone):
        total = 0
        for node in self.d.nodes:
            if node.zone == zone:
                ports = [node.upstream_port]
                if node.service == self.d.topology["moved_service"]:
                    ports.append(node.upstream_v2_port)
                for port in ports:
                    total += json.loads(request(port, "GET", "/control/counters")[2])["started"]
        return total

    def zone_out_and_in(self):
        zone = self.d.topology["zone_out"]
        self.load.take()
        code, text = self.d.cli("zone", "out", zone, "--wait")
        self.expect(code == 0, f"zone out: {code} {text}")
        time.sleep(3.0)
        before = self.executions(zone)
        time.sleep(3.0)
        late = self.executions(zone) - before
        _, failures, figures = self.figures()
        self.expect(late == 0, f"{late} calls ran in the zone more than 3 s after it was taken out")
        self.expect(not failures, "calls failed while the zone was out")
        self.report("zone_out", late_calls=late, **figures)
        code, text = self.d.cli("zone", "in", zone, "--wait")
        self.expect(code == 0, f"zone in: {code} {text}")
        back = self.d.wait_for("the zone takes work again", lambda: self.executions(zone) > before, 15.0)
        time.sleep(3.0)
        _, failures, figures = self.figures()
        self.expect(not failures, "calls failed while the zone returned")
        self.report("zone_in", first_call_after_s=round(back, 2), **figures)

    def drain_node(self):
        """SIGTERM of a node under load cuts no request."""
        node = self.d.nodes[1]
        self.load.take()
        self.load.excluded.add(node.name)  # Its own callers move to another node first.
        time.sleep(0.3)
        node.process.send_signal(signal.SIGTERM)
        code = node.process.wait(timeout=40)
        time.sleep(1.0)
        _, failures, figures = self.figures()
        self.expect(code == 0, f"the node ended with {code}")
        self.expect(not failures, "calls failed while a node drained")
        self.report("drain_node", exit_code=code, **figures)

    def run(self):
        self.start()
        self.refuse_bad()
        self.apply()
        self.call_across_zones()
        self.upload()
        self.load = Load(self.d)
        time.sleep(2.0)
        self.move()
        self.zone_out_and_in()
        self.drain_node()


def main():
    build, folder = sys.argv[1], sys.argv[2].rstrip("/")
    work = tempfile.mkdtemp(prefix="sycamorelb-demo-")
    deployment = Deployment(os.path.abspath(build), folder, work)
    demo = Demo(deployment)
    try:
        demo.run()
        print(json.dumps({"deployment": deployment.topology["region"], "demo": "passed"}))
        return 0
    except AssertionError as error:
        print(json.dumps({"deployment": deployment.topology["region"], "demo": "failed",
                          "why": str(error), "logs": work}))
        return 1
    finally:
        if demo.load:
            demo.load.stop()
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main())
