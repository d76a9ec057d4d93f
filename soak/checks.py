"""Checks of a soak: judges each rule by what callers and targets observed."""
import collections
import hashlib
import time

from stand_ins import COLD_CALLS_PER_S, NAMED_LIMIT, answer_body

TOLD_DELAY_S = 0.5  # Time after which a node is bound by an answer that it passed on.
LIMIT_WINDOW_S = 4.0
FAULT_SETTLE_S = 3.0  # Time after an unplanned fault before time bounds apply again.
REFUSAL_STATUSES = (408, 421, 429, 503)
TIMESTAMP_TOLERANCE_S = 0.25  # Added to time bounds, for the inaccuracy of the soak's own timestamps.


class Ledger:
    """All requests, executions and faults of one soak.

    A falsification (see docs/soak.md) changes the observations for one check, to show that the check can fail."""

    def __init__(self, bounds, falsification):
        self.bounds = bounds
        self.falsification = falsification
        self.started_at = time.monotonic()
        self.sent = {}
        self.executions = collections.defaultdict(list)
        self.answers = {}
        self.left_at_by_target = {}
        self.config_written_at = {}
        self.evacuations = []
        self.unplanned_faults = []
        self.planned_stops = collections.defaultdict(list)
        self.node_faults = collections.defaultdict(list)
        self.limited_nodes = set()  # Nodes whose target names a limit.
        self.limit_told_at = {}  # By target and node, the first answer with a limit that the node passed on.
        self.limit_named_at = {}  # By target, the first of these.
        self.limited_executions = collections.defaultdict(list)
        self.leave_told_at = {}
        self.cold_executions = collections.defaultdict(list)
        self.arrivals = []
        self.lag_spans = []
        self.violations = []
        self.counts = collections.Counter()

    def falsifies(self, name, request_id):
        return self.falsification == name and int(request_id[:2], 16) < 32

    def report_violation(self, rule, **details):
        self.violations.append({"rule": rule, "at": round(time.monotonic() - self.started_at, 3), **details})

    # Faults and changes.

    def record_unplanned_fault(self, node, start, end):
        self.unplanned_faults.append((start, end))
        self.node_faults[node].append((start, end))

    def record_store_fault(self, start, end):
        self.unplanned_faults.append((start, end))

    def record_planned_stop(self, node, at):
        self.planned_stops[node].append(at)
        self.node_faults[node].append((at, at + self.bounds["gracePeriod"] + 1))

    def record_config(self, version, at):
        self.config_written_at[version] = at

    def record_evacuation(self, zone, start, end):
        self.evacuations.append((zone, start, end))

    def record_lag(self, start, end):
        self.lag_spans.append((start, end))

    def is_undisturbed(self, start, end):
        """Returns whether a time span, and the time shortly before it, had no unplanned fault and no soak lag."""
        return not any(a < end and b > start - FAULT_SETTLE_S for a, b in self.unplanned_faults + self.lag_spans)

    # Observations of callers.

    def record_request(self, request_id, method, target, body, kind, service, caller, node):
        self.sent[request_id] = {"at": time.monotonic(), "method": method, "target": target, "kind": kind, "node": node,
                                 "digest": hashlib.sha256(body).digest(), "service": service, "caller": caller}

    def record_answer(self, request_id, node, response):
        if response is None:
            self.counts["no answer"] += 1
            return
        told = (response.headers.get("soak-target"), node)
        # An answer may arrive after the limit has ended.
        if "server-limit" in response.headers and self.node_of(told[0]) in self.limited_nodes:
            self.limit_told_at.setdefault(told, time.monotonic())
            self.limit_named_at.setdefault(told[0], time.monotonic())
        if "server-leaving" in response.headers:
            self.leave_told_at.setdefault(told, time.monotonic())
        status = response.status
        if self.falsifies("false refusal", request_id) and status == 200:
            status = 503
        body = response.body[1:] if self.falsifies("cut answer", request_id) else response.body
        self.answers[request_id] = (status, time.monotonic(), node)
        self.counts[status] += 1
        if status == 200:
            if body != answer_body(request_id) or response.headers.get("response-signature") != "s-" + request_id:
                self.report_violation("MIXED", request=request_id, node=node)
        answered_id = response.headers.get("request-id", request_id)
        if answered_id != request_id:
            self.report_violation("MIXED", request=request_id, node=node, belongs_to=answered_id)
        if status == 404 and not self.sent[request_id]["target"].startswith("/v"):
            self.report_violation("DENIED", request=request_id, node=node)

    def record_lost_answer(self, request_id, node, sent_at, ended_at, kept, same_process):
        """Records that a connection ended without an answer."""
        self.counts["cut"] += 1
        executed = self.executions.get(request_id)
        planned_stop = any(at - 0.05 < ended_at < at + self.bounds["gracePeriod"] + 1
                           for at in self.planned_stops[node])
        planned_stop = planned_stop or self.falsification == "cut"
        if executed and planned_stop and self.is_undisturbed(sent_at, ended_at):
            self.report_violation("LOST", request=request_id, node=node, kept=kept, same_process=same_process)

    def record_config_probe(self, node, number, status, sent_at):
        """Records the answer of a node to a request on the route that a configuration version added."""
        if status == 404 and number in node.served_versions:
            self.report_violation("CONFIG", what="went back", node=node.name, version=number)
        if status == 200:
            node.served_versions.add(number)
        overdue = sent_at > self.config_written_at[number] + self.bounds["configApply"] + TIMESTAMP_TOLERANCE_S
        if self.falsification == "old config":
            status, overdue = 404, True
        if status == 404 and overdue and self.is_undisturbed(self.config_written_at[number], sent_at):
            self.report_violation("CONFIG", what="not in force", node=node.name, version=number)

    # Observations of targets.

    def record_execution(self, target, request_id, message, cold, now):
        self.arrivals.append((now, target.service, request_id))
        sent = self.sent.get(request_id)
        if sent is None:
            return self.report_violation("UNASKED", request=request_id, target=target.id)
        digest = hashlib.sha256(message.body + (b"x" if self.falsifies("changed body", request_id) else b"")).digest()
        if (message.method, message.target, digest) != (sent["method"], sent["target"], sent["digest"]):
            self.report_violation("UNASKED", request=request_id, target=target.id, what="changed on the way")
        if message.headers.get("calling-service") != sent["caller"]:
            self.report_violation("UNASKED", request=request_id, target=target.id, what="wrong calling service")
        service = "b" if self.falsifies("wrong service", request_id) else target.service
        if service != sent["service"]:
            self.report_violation("ROUTE", request=request_id, target=target.id)
        runs = self.executions[request_id]
        runs.append(now)
        if len(runs) > 1 and sent["kind"] != "idempotent":
            self.report_violation("TWICE", request=request_id, target=target.id)
        left_at = self.left_at_by_target.get(target.id)
        if self.falsifies("drain", request_id):
            left_at = now - 10
        if (left_at is not None and now > left_at + self.bounds["drain"] + TIMESTAMP_TOLERANCE_S
                and not self.overlaps_lag(now)):
            self.report_violation("DRAIN", request=request_id, target=target.id, late_s=round(now - left_at, 2))
        self.check_notices(target, request_id, now)
        self.check_zone(target, request_id, now)
        if cold:
            self.check_cold(target, now)

    def overlaps_lag(self, now):
        return any(start - 0.5 < now < end + 0.5 for start, end in self.lag_spans)

    @staticmethod
    def node_of(target_id):
        return target_id.split("-")[1]

    def record_limit(self, node, is_limited):
        """Records that the target beside a node begins or ends to name a limit."""
        if is_limited:
            self.limited_nodes.add(node)
            return
        self.limited_nodes.discard(node)
        for values in (self.limit_named_at, self.limited_executions):
            for target_id in [target_id for target_id in values if self.node_of(target_id) == node]:
                del values[target_id]
        self.limit_told_at = {told: at for told, at in self.limit_told_at.items() if self.node_of(told[0]) != node}

    def is_bound(self, told_at, node, now):
        """Returns whether a node has passed on an answer, and had no fault of its own since."""
        return told_at is not None and not any(start < now and end > told_at for start, end in self.node_faults[node])

    def check_notices(self, target, request_id, now):
        """Checks the limit and the leave that a target names in its answers."""
        sent = self.sent[request_id]
        told_at = self.leave_told_at.get((target.id, sent["node"]))
        if self.falsifies("leave in answers", request_id):
            told_at = sent["at"] - 10
        if (self.is_bound(told_at, sent["node"], now) and not self.overlaps_lag(now)
                and sent["at"] > told_at + self.bounds["drain"] + TIMESTAMP_TOLERANCE_S):
            self.report_violation("DRAIN", request=request_id, target=target.id, what="said so in an answer")
        told_at = self.limit_told_at.get((target.id, sent["node"]))
        if not self.is_bound(told_at, sent["node"], now) or now < told_at + TOLD_DELAY_S:
            return
        window = self.limited_executions[target.id]
        window.append(now)
        while window[0] < now - LIMIT_WINDOW_S:
            window.pop(0)
        allowed = 1.5 * NAMED_LIMIT * LIMIT_WINDOW_S + 5
        if self.falsification == "limit":
            allowed = 3
        if (len(window) > allowed and now > self.limit_named_at[target.id] + FAULT_SETTLE_S
                and not self.overlaps_lag(now)):
            self.report_violation("LIMIT", target=target.id, requests=len(window))

    def check_zone(self, target, request_id, now):
        for zone, start, end in self.evacuations:
            deadline = start + self.bounds["evacuation"] + TIMESTAMP_TOLERANCE_S
            if zone == target.zone and deadline < now < end and self.is_undisturbed(start, now):
                self.report_violation("EVAC", request=request_id, target=target.id)
        if self.falsifies("evacuation", request_id):
            self.report_violation("EVAC", request=request_id, target=target.id)

    def check_cold(self, target, now):
        window = self.cold_executions[target.id]
        window.append(now)
        while window[0] < now - 1:
            window.pop(0)
        limit = COLD_CALLS_PER_S * self.bounds["coldRateFactor"] + self.bounds["coldSlack"]
        if self.falsification == "cold":
            limit = 0
        if len(window) > limit and not self.overlaps_lag(now):
            self.report_violation("FAILBACK", target=target.id, calls=len(window))

    # Checks at the end.

    def finish(self, recovered_from):
        for request_id, (status, at, node) in self.answers.items():
            sent = self.sent[request_id]
            if status in REFUSAL_STATUSES and sent["kind"] != "idempotent" and self.executions.get(request_id):
                self.report_violation("REFUSED", request=request_id, node=node, status=status)
        self.check_budget()
        final = [request_id for request_id, sent in self.sent.items()
                 if recovered_from < sent["at"] < time.monotonic() - 2 and not sent["target"].startswith("/v")]
        served = sum(1 for request_id in final if self.answers.get(request_id, (0,))[0] == 200)
        if self.falsification == "recovery":
            served = 0
        # Without a run at all, no other check can find anything.
        if not self.executions or (final and served < 0.9 * len(final)):
            self.report_violation("RECOVER", served=served, of=len(final))
        self.counts["served at the end, per cent"] = 100 * served // max(1, len(final))

    def check_budget(self):
        window = self.bounds["budgetWindow"]
        for service in "abc":
            arrivals = [(at, request_id) for at, name, request_id in self.arrivals if name == service]
            first_arrival = {}
            for at, request_id in arrivals:
                first_arrival.setdefault(request_id, at)
            repeats = [at for at, request_id in arrivals if at > first_arrival[request_id]]
            if self.falsification == "budget":
                repeats = [at for at, _ in arrivals] * 3
            for start in repeats:
                count = sum(1 for at in repeats if start <= at < start + window)
                requests = sum(1 for sent in self.sent.values()
                               if sent["service"] == service and start - window <= sent["at"] < start + window)
                if count > self.bounds["retryBudgetRatio"] * requests + self.bounds["retryBudgetSlack"]:
                    return self.report_violation("BUDGET", service=service, again=count, asked=requests)

    def report(self):
        return {"broken": self.violations[:20],
                "broken_rules": dict(collections.Counter(violation["rule"] for violation in self.violations)),
                "sent": len(self.sent), "runs": len(self.arrivals),
                "counts": {str(name): count for name, count in self.counts.items()},
                "lag_spans": len(self.lag_spans)}
