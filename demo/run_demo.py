"""Runs the demo of one deployment and checks each step. Usage: run_demo.py BUILD_DIR FOLDER"""

import json
import os
import signal
import sys
import tempfile
import threading
import time

from deployment import Deployment, request


class Load:
    """Open-loop load on the moved service through all nodes; counts the results that callers get."""

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
            self.make_call(node, path, due)

    def make_call(self, node, path, due):
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

    def take_counts(self):
        """Returns and resets the counts since the last call."""
        with self.lock:
            result = self.sent, self.failures, sorted(self.latencies)
            self.sent, self.failures, self.latencies = 0, [], []
        return result


class Demo:
    """The steps of the demo. A step raises AssertionError if one of its checks fails."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.load = None

    def report(self, step, **figures):
        print(json.dumps({"deployment": self.deployment.topology["region"], "step": step, **figures}))

    def expect(self, condition, message):
        if not condition:
            raise AssertionError(message)

    def start(self):
        begin = time.monotonic()
        self.deployment.start_log()
        for node in self.deployment.nodes:
            self.deployment.start_node(node)
        for node in self.deployment.nodes:
            self.deployment.wait_for(f"{node.name} answers", lambda n=node: request(
                n.ports["ops_port"], "GET", "/healthz")[0] == 200)
            self.deployment.start_upstream(node)
        for node in self.deployment.nodes:
            self.deployment.wait_for(f"{node.name} knows all upstreams", lambda n=node: sum(
                member["upstreams"] for member in self.deployment.dump(n)["members"]) == len(self.deployment.nodes))
        self.report("start", nodes=len(self.deployment.nodes), seconds=round(time.monotonic() - begin, 2))

    def refuse_invalid_declaration(self):
        """Checks that an invalid declaration is refused with the pointer of each error, and not published."""
        path = os.path.join(self.deployment.work, "bad.json")
        with open(os.path.join(self.deployment.folder, "declaration.json"), encoding="utf-8") as file:
            invalid = json.load(file)
        invalid["routes"][0]["service"] = "nowhere"
        invalid["routes"][1]["timeout"] = 5
        with open(path, "w", encoding="utf-8") as file:
            json.dump(invalid, file)
        code, text = self.deployment.cli("apply", path)
        self.expect(code == 1, f"an invalid declaration was not refused: {code} {text}")
        self.expect("/routes/0/service" in text and "/routes/1/timeout" in text,
                    f"the output does not list all errors: {text}")
        self.expect(self.deployment.dump(self.deployment.nodes[0])["config"]["version"] == 0,
                    "the invalid declaration was published")
        self.report("refuse_bad", faults=len(text.strip().splitlines()))

    def apply(self):
        declaration = os.path.join(self.deployment.folder, "declaration.json")
        self.expect(self.deployment.cli("check", declaration)[0] == 0, "the declaration is not valid")
        begin = time.monotonic()
        code, text = self.deployment.cli("apply", declaration, "--wait", "--json")
        seconds = time.monotonic() - begin
        self.expect(code == 0, f"apply failed: {code} {text}")
        outcome = json.loads(text)
        self.expect(outcome["nodes_in_force"] == len(self.deployment.nodes),
                    f"the version is not in force on all nodes: {outcome}")
        for node in self.deployment.nodes:
            self.expect(self.deployment.dump(node)["config"]["version"] == outcome["version"],
                        f"{node.name} has another version")
        self.report("apply", in_force_on=outcome["nodes_in_force"], seconds=round(seconds, 3))

    def call_across_zones(self):
        """Calls each service through a node of a zone other than that of its first upstream."""
        for service, zones in self.deployment.topology["services"].items():
            entry = next(node for node in self.deployment.nodes if node.zone != zones[0])
            self.deployment.wait_for(f"{service} answers", lambda s=service, e=entry: request(
                e.ports["caller_port"], "GET", f"/{s}/today")[0] == 200, 10.0)
        self.report("call_across_zones", services=len(self.deployment.topology["services"]))

    def upload(self):
        """Checks that a large upload succeeds."""
        body = os.urandom(1 << 20) * 8
        service = list(self.deployment.topology["services"])[-1]
        status, headers, answer = request(
            self.deployment.nodes[0].ports["caller_port"], "POST", f"/{service}/photo", body=body, timeout=30.0)
        self.expect(status == 200, f"upload: status {status} {headers} {answer[:200]}")
        self.report("upload", bytes=len(body))

    def take_figures(self):
        sent, failures, latencies = self.load.take_counts()
        if failures:
            print(json.dumps({"first_failures": failures[:5]}))
        p50 = latencies[len(latencies) // 2] if latencies else 0
        p99 = latencies[len(latencies) * 99 // 100] if latencies else 0
        return sent, failures, {"calls": sent, "failed": len(failures),
                                "p50_ms": round(p50 * 1e3, 2), "p99_ms": round(p99 * 1e3, 2)}

    def move(self):
        service = self.deployment.topology["moved_service"]
        for node in self.deployment.nodes:
            if node.service == service:
                self.deployment.start_upstream(node, "v2")
        time.sleep(1.0)
        self.load.take_counts()
        begin = time.monotonic()
        code, text = self.deployment.cli("move", service, "--to=v2", "--by=+60s", "--wait")
        seconds = time.monotonic() - begin
        _, failures, figures = self.take_figures()
        self.expect(code == 0, f"the move did not complete: {code} {text}")
        self.expect(not failures, "calls failed during the move")
        self.report("move", verdict=text.strip().splitlines()[-1], seconds=round(seconds, 1), **figures)

    def executions(self, zone):
        total = 0
        for node in self.deployment.nodes:
            if node.zone == zone:
                ports = [node.upstream_port]
                if node.service == self.deployment.topology["moved_service"]:
                    ports.append(node.upstream_v2_port)
                for port in ports:
                    total += json.loads(request(port, "GET", "/control/counters")[2])["started"]
        return total

    def zone_out_and_in(self):
        zone = self.deployment.topology["zone_out"]
        self.load.take_counts()
        code, text = self.deployment.cli("zone", "out", zone, "--wait")
        self.expect(code == 0, f"taking the zone out failed: {code} {text}")
        time.sleep(3.0)
        before = self.executions(zone)
        time.sleep(3.0)
        late_calls = self.executions(zone) - before
        _, failures, figures = self.take_figures()
        self.expect(late_calls == 0, f"{late_calls} calls ran in the zone more than 3 s after it was taken out")
        self.expect(not failures, "calls failed while the zone was out")
        self.report("zone_out", late_calls=late_calls, **figures)
        code, text = self.deployment.cli("zone", "in", zone, "--wait")
        self.expect(code == 0, f"taking the zone back in failed: {code} {text}")
        return_s = self.deployment.wait_for("the zone takes work again", lambda: self.executions(zone) > before, 15.0)
        time.sleep(3.0)
        _, failures, figures = self.take_figures()
        self.expect(not failures, "calls failed while the zone returned")
        self.report("zone_in", first_call_after_s=round(return_s, 2), **figures)

    def drain_node(self):
        """Checks that no request fails when a node under load is stopped with SIGTERM."""
        node = self.deployment.nodes[1]
        self.load.take_counts()
        self.load.excluded.add(node.name)  # Callers on its host switch to other nodes first.
        time.sleep(0.3)
        node.process.send_signal(signal.SIGTERM)
        code = node.process.wait(timeout=40)
        time.sleep(1.0)
        _, failures, figures = self.take_figures()
        self.expect(code == 0, f"the node exited with {code}")
        self.expect(not failures, "calls failed while a node drained")
        self.report("drain_node", exit_code=code, **figures)

    def run(self):
        self.start()
        self.refuse_invalid_declaration()
        self.apply()
        self.call_across_zones()
        self.upload()
        self.load = Load(self.deployment)
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
