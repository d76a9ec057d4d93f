"""Starts and stops a deployment on loopback: log service, nodes and upstreams."""

import http.client
import json
import os
import signal
import subprocess
import time

IP = "127.0.0.1"


class Node:
    """One node. Its ports are derived from its index."""

    def __init__(self, topology, index, service, zone, number):
        base = topology["base_port"] + 10 * index
        self.name = f"{zone}-{service}-{number}"
        self.service, self.zone = service, zone
        self.ports = {
            "caller_port": base, "peer_port": base + 1, "inner_port": base + 2,
            "admin_port": base + 3, "ops_port": base + 4,
        }
        self.upstream_port = base + 5
        self.upstream_v2_port = base + 6
        self.process = None


def list_nodes(topology):
    nodes = []
    for service, zones in topology["services"].items():
        for number, zone in enumerate(zones, 1):
            nodes.append(Node(topology, len(nodes), service, zone, number))
    return nodes


def node_settings(topology, nodes, node):
    """Returns the settings of a node. The first node of each zone is a seed."""
    seeds = {}
    for other in nodes:
        seeds.setdefault(other.zone, f"{IP}:{other.ports['inner_port']}")
    return {
        "id": node.name, "zone": node.zone, "region": topology["region"],
        "log_level": "info",
        "listen": {"ip": IP, **node.ports},
        "seeds": list(seeds.values()),
        "log": {"address": f"{IP}:{topology['base_port'] - 1}"},
        "inner_keys": [{"id": 1, "secret": "demo-inner-secret-1"}],
        "admin_keys": [{"id": 1, "secret": "demo-admin-secret-1"}],
    }


def request(port, method, path, body=None, headers=None, timeout=10.0):
    """Sends one HTTP request on a new connection. Returns status, headers and body."""
    connection = http.client.HTTPConnection(IP, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


class Deployment:
    """All processes of a deployment. stop() ends these only."""

    def __init__(self, build, folder, work):
        self.build, self.folder, self.work = build, folder, work
        with open(os.path.join(folder, "topology.json"), encoding="utf-8") as file:
            self.topology = json.load(file)
        self.nodes = list_nodes(self.topology)
        self.processes = []

    def settings_file(self, node):
        return os.path.join(self.folder, "settings", node.name + ".json")

    def spawn(self, name, command):
        with open(os.path.join(self.work, name + ".log"), "ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def start_log(self):
        port = self.topology["base_port"] - 1
        self.log_process = self.spawn("log-service", [f"{self.build}/log_service", f"--port={port}"])

    def start_node(self, node):
        node.process = self.spawn(node.name, [
            f"{self.build}/sycamorelb", "node", f"--settings={self.settings_file(node)}"])

    def start_upstream(self, node, version="v1", warm_ms=2000):
        port = node.upstream_port if version == "v1" else node.upstream_v2_port
        return self.spawn(f"{node.name}-upstream-{version}", [
            f"{self.build}/upstream", f"--port={port}", f"--service={node.service}",
            f"--version={version}", f"--slots={self.topology['slots']}",
            f"--connections={self.topology['connections']}",
            f"--service_ms={self.topology['service_ms']}", f"--warm_ms={warm_ms}",
            f"--announce=http://{IP}:{node.ports['ops_port']}"])

    def cli(self, *words, node=None):
        """Runs the command line against a node. Returns the exit code and standard output, and after a
        failure also standard error."""
        command = [f"{self.build}/sycamorelb", *words]
        if words[0] != "check":
            command.append(f"--settings={self.settings_file(node or self.nodes[0])}")
        process = subprocess.run(command, capture_output=True, text=True, timeout=180, check=False)
        return process.returncode, process.stdout + ("" if process.returncode == 0 else process.stderr)

    def dump(self, node):
        return json.loads(request(node.ports["ops_port"], "GET", "/dump")[2])

    def wait_for(self, description, check, seconds=30.0):
        """Polls until check() returns true. Returns the seconds that it took."""
        begin = time.monotonic()
        while time.monotonic() - begin < seconds:
            try:
                if check():
                    return time.monotonic() - begin
            except (OSError, ValueError, KeyError):
                pass
            time.sleep(0.02)
        raise AssertionError(f"{description}: not within {seconds} s")

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
