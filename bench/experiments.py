"""Runs the experiments and prints one JSON line per case. Usage: experiments.py BUILD_DIR [NAME...]

Names: scale (convergence and control cost), latency, move, zone, outage; all of them by default.
"""

import json
import statistics
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager

from fleet import (IP, ZONES, Fleet, count_failed, cpu_seconds, declaration, linear_fit,
                   request, resident_kb, rpc_bytes, wait_for_load)

SEED = 42
SIZES = [12, 24, 48, 96]
TARGET_NODES = 880
CHANGES = 20
IDLE_SECONDS = 15
SETTLE_SECONDS = 80
LATENCY_ROUNDS = 5
BUILD = "build"


def report(experiment, case, nodes, **figures):
    print(json.dumps({"experiment": experiment, "case": case, "variant": "ours", "seed": SEED,
                      "nodes": nodes, **figures}), flush=True)


def log_progress(text):
    print(text, file=sys.stderr, flush=True)


# Convergence and control cost ---------------------------------------------------------------

def config_versions(fleet):
    return [fleet.dump(node)["config"]["version"] for node in fleet.nodes]


def apply_and_confirm(fleet, number):
    """Applies one change. Returns the seconds from the start of the command until it reports that
    the version is in force on all nodes, as an operator sees it, and the number of nodes whose
    state dump shows another version right afterwards."""
    fleet.declared["routes"][0]["timeout_ms"] = 2000 + number
    begin = time.monotonic()
    code, text = fleet.apply(fleet.declared)
    seconds = time.monotonic() - begin
    outcome = json.loads(text) if code == 0 else {}
    if outcome.get("nodes_in_force") != len(fleet.nodes):
        log_progress(f"apply {number}: exit {code}: {text.strip()[:300]}")
        return None, 0
    return seconds, sum(version != outcome["version"] for version in config_versions(fleet))


def apply_and_poll(fleet, number):
    """Applies one change. Returns the seconds from the start of the command until the state dumps
    of all nodes, read one after the other, have shown the version."""
    fleet.declared["routes"][0]["timeout_ms"] = 3000 + number
    begin = time.monotonic()
    code, text = fleet.apply(fleet.declared, wait=False)
    assert code == 0, text
    version = json.loads(text)["version"]
    for node in fleet.nodes:
        fleet.wait_for(f"{node.name} has {version}", lambda n=node: fleet.dump(
            n)["config"]["version"] >= version)
    return time.monotonic() - begin


def convergence(fleet, size):
    changes = [apply_and_confirm(fleet, number) for number in range(CHANGES)]
    confirmed = [seconds for seconds, _ in changes if seconds is not None]
    report("convergence", "reported_by_apply_wait", size, changes=CHANGES,
           not_confirmed=CHANGES - len(confirmed),
           nodes_wrongly_confirmed=sum(lagging for _, lagging in changes),
           median_s=round(statistics.median(confirmed), 4), max_s=round(max(confirmed), 4))
    seen = [apply_and_poll(fleet, number) for number in range(CHANGES)]
    report("convergence", "seen_in_state_dumps", size, changes=CHANGES,
           median_s=round(statistics.median(seen), 4), max_s=round(max(seen), 4))


def sample_counters(fleet):
    dumps = [fleet.dump(node)["datagrams"] for node in fleet.nodes]
    return {"time": time.monotonic(), "reads": fleet.log_stats()["reads"],
            "rpc": rpc_bytes(fleet),
            "bytes": [d["in_bytes"] + d["out_bytes"] for d in dumps],
            "datagrams": [d["in"] + d["out"] for d in dumps],
            "cpu": [cpu_seconds(node.process) for node in fleet.nodes]}


def control_cost(case, fleets):
    """Measures the control cost of nodes without traffic. State dumps are read only before and
    after the measurement, so that they do not add to it."""
    first = {size: sample_counters(fleet) for size, fleet in fleets.items()}
    time.sleep(IDLE_SECONDS)
    costs = {}
    for size, fleet in fleets.items():
        begin, last = first[size], sample_counters(fleet)
        seconds = last["time"] - begin["time"]

        def rates(key, begin=begin, last=last, seconds=seconds):
            return [(b - a) / seconds for a, b in zip(begin[key], last[key])]
        memory = [resident_kb(node.process) / 1024 for node in fleet.nodes]
        rpc = sum(count - begin["rpc"].get(key, 0) for key, count in last["rpc"].items())
        costs[size] = {
            "udp_bytes_per_s": statistics.mean(rates("bytes")), "udp_bytes_per_s_max": max(rates("bytes")),
            "udp_datagrams_per_s": statistics.mean(rates("datagrams")),
            # Each byte is sent by one node and received by another.
            "rpc_bytes_per_s": 2 * rpc / seconds / size,
            "cpu_percent": 100 * statistics.mean(rates("cpu")), "cpu_percent_max": 100 * max(rates("cpu")),
            "resident_mb": statistics.mean(memory), "resident_mb_max": max(memory),
            "log_reads_per_s": (last["reads"] - begin["reads"]) / seconds}
        report("control_cost", case, size, seconds=round(seconds, 1),
               **{key: round(value, 4) for key, value in costs[size].items()})
    for figure in costs[SIZES[0]]:
        slope, intercept, residual = linear_fit(SIZES, [costs[size][figure] for size in SIZES])
        report("control_cost", f"{case}_fit_{figure}", TARGET_NODES, slope_per_node=round(slope, 6),
               intercept=round(intercept, 4), max_residual=round(residual, 4),
               projected=round(slope * TARGET_NODES + intercept, 3))


def scale():
    """Measures all sizes in parallel, because after a simultaneous start it takes over a minute
    until membership records no longer travel in the datagrams."""
    bases = dict(zip(SIZES, [24801, 24501, 24001, 23001]))
    with ExitStack() as stack:
        fleets = {}
        for size in SIZES:
            services = {f"s{n}": [ZONES[(n + k) % 4] for k in range(4)] for n in range(size // 4)}
            fleet = fleets[size] = stack.enter_context(Fleet(BUILD, bases[size], services))
            fleet.start(upstreams=False)
            fleet.apply(declaration(list(services)))
        control_cost("joining", fleets)
        time.sleep(SETTLE_SECONDS)
        control_cost("idle", fleets)
        for size, fleet in fleets.items():
            convergence(fleet, size)


# Data path ----------------------------------------------------------------------------------

@contextmanager
def mesh(size, base_port, extra_routes=(), service_ms=4):
    """Starts a fleet of one service with one warm upstream per node, and configures it."""
    with Fleet(BUILD, base_port, {"shop": [ZONES[n % 4] for n in range(size)]}, service_ms) as fleet:
        fleet.start()
        code, text = fleet.apply(declaration(["shop"], extra_routes))
        assert code == 0, text
        fleet.wait_for("calls succeed", lambda: all(request(
            n.ports["caller_port"], "GET", "/shop/a")[0] == 200 for n in fleet.nodes))
        wait_for_load(fleet.load(150, 5, ["/shop/a"], SEED))
        yield fleet


def latency():
    # Each service has one upstream. The upstream of "near" is on the host of the entry node, so
    # that its calls take one hop.
    services = {"near": ["z1"], "far": ["z1"]}
    with Fleet(BUILD, 25001, services, service_ms=1, slots=100) as fleet:
        fleet.start()
        fleet.apply(declaration(list(services)))
        near, far = fleet.nodes
        fleet.wait_for("calls succeed", lambda: all(request(
            near.ports["caller_port"], "GET", f"/{s}/a")[0] == 200 for s in services))
        cases = {"direct": (f"{IP}:{near.upstream_port}", "/near/a"),
                 "one_hop": (f"{IP}:{near.ports['caller_port']}", "/near/a"),
                 "two_hops": (f"{IP}:{near.ports['caller_port']}", "/far/a")}
        for target, path in cases.values():
            wait_for_load(fleet.load(500, 3, [path], SEED, targets=[target]))
        # The cases alternate, so that load from other programs affects all of them.
        rounds = {case: [] for case in cases}
        for number in range(LATENCY_ROUNDS):
            for case, (target, path) in cases.items():
                cpu_before = [cpu_seconds(node.process) for node in fleet.nodes]
                result = wait_for_load(fleet.load(500, 4, [path], SEED + number, targets=[target]))
                result["cpu"] = [1e6 * (cpu_seconds(node.process) - before) / result["calls"]
                                 for node, before in zip(fleet.nodes, cpu_before)]
                rounds[case].append(result)
        for case, results in rounds.items():
            report_latency(case, results, rounds["direct"])


def report_latency(case, results, direct):
    def median(key):
        return statistics.median(result[key] for result in results)

    def differences(key):
        return [result[key] - base[key] for result, base in zip(results, direct)]
    report("added_latency", case, 2, rate_per_s=500, rounds=len(results),
           calls=sum(result["calls"] for result in results), failed=sum(map(count_failed, results)),
           p50_us=median("p50_us"), p99_us=median("p99_us"), p999_us=median("p999_us"),
           added_p50_us=statistics.median(differences("p50_us")),
           added_p99_us=statistics.median(differences("p99_us")),
           added_p99_min_us=min(differences("p99_us")), added_p99_max_us=max(differences("p99_us")), target_us=750,
           entry_cpu_us_per_call=round(statistics.median(r["cpu"][0] for r in results), 1),
           peer_cpu_us_per_call=round(statistics.median(r["cpu"][1] for r in results), 1))


FAULTS = {
    "good": ({}, 45),
    "fails_at_once": ({"fail_ratio": 1.0}, 30),
    "fails_20_percent": ({"fail_ratio": 0.2}, 30),
    "slow_x3": ({"slow_factor": 3.0}, 30),
    "fails_on_one_route": ({"fail_ratio": 1.0, "fault_route": "/shop/b"}, 30),
    "fails_late": ({"fail_ratio": 1.0, "fault_after_ms": 8000}, 45),
}


def move_phases(fleet):
    moves = fleet.dump(fleet.nodes[0])["config"]["moves"]
    return [(m["phase"], m["share_ppm"], m["reason"]) for m in moves.values()]


def run_move_case(case, changes, by_s, number):
    with mesh(6, 25401 + 100 * number, extra_routes=[("shop", "b")]) as fleet:
        for node in fleet.nodes:
            fleet.start_upstream(node, "v2", warm_ms=0)
        time.sleep(2.5)
        for node in fleet.nodes:
            fleet.control(node.upstream_v2_port, **changes)
        load = fleet.load(200, by_s, ["/shop/a", "/shop/b"], SEED)
        begin = time.monotonic()
        code, text = fleet.cli("move", "shop", "--to=v2", f"--by=+{by_s}s")
        assert code == 0, text
        try:
            seconds = fleet.wait_for("verdict", lambda: any(
                p in ("done", "taken_back") for p, _, _ in move_phases(fleet)), by_s + 10)
        except AssertionError:
            seconds = None
        phase = move_phases(fleet)[0]
        result = wait_for_load(load)
        on_v2 = sum(fleet.counters(n.upstream_v2_port)["started"] for n in fleet.nodes)
        report("move", case, 6, phase=phase[0], reason=phase[2], by_s=by_s,
               verdict_s=seconds and round(seconds, 2), load_calls=result["calls"],
               failed_calls=count_failed(result), outcomes=result["outcomes"], run_on_new_version=on_v2,
               p99_us=result["p99_us"], wall_s=round(time.monotonic() - begin, 1))


def move():
    """Runs three cases in parallel, each with its own processes and ports."""
    with ThreadPoolExecutor(3) as pool:
        runs = [pool.submit(run_move_case, case, changes, by_s, number)
                for number, (case, (changes, by_s)) in enumerate(FAULTS.items())]
    for run in runs:
        run.result()


def zone_executions(fleet, zone):
    return sum(fleet.counters(n.upstream_port)["started"] for n in fleet.nodes if n.zone == zone)


def zone():
    with mesh(8, 25101) as fleet:
        phases = {"before": wait_for_load(fleet.load(200, 6, ["/shop/a"], SEED))}
        load = fleet.load(200, 9, ["/shop/a"], SEED)
        code, text = fleet.cli("zone", "out", "z2")
        assert code == 0, text
        time.sleep(3.0)
        at_deadline = zone_executions(fleet, "z2")
        time.sleep(4.0)
        late_calls = zone_executions(fleet, "z2") - at_deadline
        phases["out"] = wait_for_load(load)
        load = fleet.load(200, 9, ["/shop/a"], SEED)
        code, text = fleet.cli("zone", "in", "z2")
        assert code == 0, text
        return_s = fleet.wait_for("work returns", lambda: zone_executions(fleet, "z2") > at_deadline + late_calls, 9)
        phases["in"] = wait_for_load(load)
        for case, result in phases.items():
            extra = {"out": {"late_calls_after_3_s": late_calls}, "in": {"first_call_s": round(return_s, 2)}}
            report("zone", case, 8, calls=result["calls"], failed_calls=count_failed(result),
                   outcomes=result["outcomes"], p50_us=result["p50_us"], p99_us=result["p99_us"],
                   **extra.get(case, {}))


def outage():
    with mesh(8, 25251) as fleet:
        phases = {"before": wait_for_load(fleet.load(200, 8, ["/shop/a"], SEED))}
        load = fleet.load(200, 10, ["/shop/a"], SEED)
        fleet.faults(down=True)
        before = config_versions(fleet)
        begin = time.monotonic()
        fleet.declared["routes"][0]["timeout_ms"] = 2222
        code, _ = fleet.apply(fleet.declared, wait=False)
        answer_s = time.monotonic() - begin
        time.sleep(max(0.0, 10 - answer_s))
        unchanged = config_versions(fleet) == before
        fleet.faults(down=False)
        phases["during"] = wait_for_load(load)
        load = fleet.load(200, 8, ["/shop/a"], SEED)
        time.sleep(3.0)
        later = config_versions(fleet)
        # Exit code 1 means that the change was not accepted, so no new version may appear later.
        is_code_correct = code == 3 or (code == 1 and later == before) or (code == 0 and later != before)
        apply_begin = time.monotonic()
        code_after, _ = fleet.apply(fleet.declared)
        apply_s = time.monotonic() - apply_begin
        phases["after"] = wait_for_load(load)
        extra = {"during": {"mutation_exit_code": code, "mutation_answer_s": round(answer_s, 2),
                            "mutation_truthful": is_code_correct, "versions_unchanged": unchanged},
                 "after": {"apply_exit_code": code_after, "apply_s": round(apply_s, 3)}}
        for case, result in phases.items():
            report("log_outage", case, 8, calls=result["calls"], failed_calls=count_failed(result),
                   outcomes=result["outcomes"], p50_us=result["p50_us"], p99_us=result["p99_us"],
                   **extra.get(case, {}))


EXPERIMENTS = {"latency": latency, "zone": zone, "outage": outage, "move": move, "scale": scale}


def main():
    global BUILD
    BUILD = sys.argv[1]
    failures = 0
    for name in sys.argv[2:] or EXPERIMENTS:
        begin = time.monotonic()
        try:
            EXPERIMENTS[name]()
        except Exception as error:  # A failure must not stop the other experiments.
            failures += 1
            log_progress(f"{name}: {error!r}")
        log_progress(f"{name}: {time.monotonic() - begin:.0f} s")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
