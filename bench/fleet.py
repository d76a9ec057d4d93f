"""Generated deployments for experiments, and functions that measure them."""

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "demo"))
from deployment import IP, Deployment, node_settings, request  # noqa: E402

ZONES = ["z1", "z2", "z3", "z4"]
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def declaration(services, extra_routes=(), timeout_ms=2000):
    routes = [{"name": f"{s}-read", "service": s, "path_prefix": f"/{s}", "methods": ["GET"],
               "timeout_ms": timeout_ms, "idempotent": True, "max_attempts": 3,
               "retry_budget_percent": 20} for s in services]
    for service, path in extra_routes:
        routes.append({"name": f"{service}-{path}", "service": service,
                       "path_prefix": f"/{service}/{path}", "methods": ["GET"],
                       "timeout_ms": timeout_ms, "idempotent": True, "max_attempts": 3,
                       "retry_budget_percent": 20})
    return {"zones": {zone: {"region": "bench"} for zone in ZONES},
            "services": {s: {"versions": ["v1", "v2"], "active_version": "v1"} for s in services},
            "routes": routes, "moves": []}


class Fleet(Deployment):
    """A deployment whose topology and settings are generated into a temporary folder."""

    def __init__(self, build, base_port, services, service_ms=4, slots=10):
        folder = tempfile.mkdtemp(prefix="sycamorelb-bench-")
        os.makedirs(os.path.join(folder, "settings"))
        topology = {"region": "bench", "base_port": base_port, "slots": slots, "connections": 120,
                    "service_ms": service_ms, "services": services}
        with open(os.path.join(folder, "topology.json"), "w", encoding="utf-8") as file:
            json.dump(topology, file)
        super().__init__(os.path.abspath(build), folder, folder)
        for node in self.nodes:
            with open(self.settings_file(node), "w", encoding="utf-8") as file:
                settings = node_settings(topology, self.nodes, node)
                # A distinct key keeps the fleet from joining another one on the same machine.
                settings["inner_keys"] = [{"id": 1, "secret": os.path.basename(folder)}]
                json.dump(settings, file)
        self.declared = None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self, upstreams=True, start_seconds=60.0):
        """Starts all processes and waits until each node knows all members. Returns the seconds of
        the longest wait."""
        self.start_log()
        for node in self.nodes:
            self.start_node(node)
        for node in self.nodes:
            self.wait_for(f"{node.name} answers", lambda n=node: request(
                n.ports["ops_port"], "GET", "/healthz")[0] == 200, start_seconds)
            if upstreams:
                node.upstream = self.start_upstream(node, warm_ms=0)
        return max(self.wait_for(f"{node.name} knows all members", lambda n=node: len(
            self.dump(n)["members"]) == len(self.nodes), start_seconds) for node in self.nodes)

    def apply(self, declared, wait=True):
        self.declared = declared
        path = os.path.join(self.work, "declaration.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(declared, file)
        words = ["apply", path, "--json"] + (["--wait"] if wait else [])
        return self.cli(*words)

    def faults(self, **changes):
        request(self.topology["base_port"] - 1, "POST", "/faults", json.dumps(changes),
                {"Content-Type": "application/json"})

    def log_stats(self):
        return json.loads(request(self.topology["base_port"] - 1, "GET", "/stats")[2])

    def control(self, port, **changes):
        status, _, body = request(port, "POST", "/control", json.dumps(changes),
                                  {"Content-Type": "application/json"})
        assert status == 200, body

    def counters(self, port):
        return json.loads(request(port, "GET", "/control/counters")[2])

    def load(self, rate, seconds, paths, seed, nodes=None, targets=None, workers=48):
        """Starts the load tool; wait_for_load() waits for its result."""
        targets = targets or [f"{IP}:{n.ports['caller_port']}" for n in nodes or self.nodes]
        process = subprocess.Popen(
            [f"{self.build}/sycamorelb-bench", "--targets=" + ",".join(targets),
             "--paths=" + ",".join(paths), f"--rate={rate}", f"--seconds={seconds}",
             f"--seed={seed}", f"--workers={workers}"], stdout=subprocess.PIPE, text=True)
        self.processes.append(process)
        return process


def wait_for_load(process):
    return json.loads(process.communicate(timeout=120)[0])


def count_failed(result):
    """Returns the number of calls without a 2xx answer, including those given up."""
    return result["calls"] - result["outcomes"].get("ok", 0)


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_kb(process):
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))


def rpc_bytes(fleet):
    """Returns the bytes sent and received on the open connections that the inner ports accepted,
    by connection. The state dump does not count them. Connections that were closed are missed."""
    first, last = (fleet.nodes[index].ports["inner_port"] for index in (0, -1))
    text = subprocess.run(["ss", "-tinOH", "state", "established",
                           f"( sport >= :{first} and sport <= :{last} )"],
                          capture_output=True, text=True, check=True).stdout
    inner = {node.ports["inner_port"] for node in fleet.nodes}
    found = {}
    for line in text.splitlines():
        words = line.split()
        if int(words[2].rsplit(":", 1)[1]) in inner:
            counts = dict(word.split(":", 1) for word in words[4:] if word.startswith("bytes_"))
            found[words[2], words[3]] = sum(
                int(counts.get(key, 0)) for key in ["bytes_sent", "bytes_received"])
    return found


def linear_fit(xs, ys):
    """Returns slope, intercept and the largest residual of a least-squares line."""
    slope, intercept = statistics.linear_regression(xs, ys)
    return slope, intercept, max(abs(y - slope * x - intercept) for x, y in zip(xs, ys))
