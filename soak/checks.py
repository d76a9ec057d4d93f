"""What must hold, judged from what callers and targets have seen."""
import collections
import hashlib
import time

from stand_ins import COLD_CALLS_PER_S, answer_body

TOUCH_S = 3.0  # Time without unplanned faults after which bounds on time hold.
REFUSALS = (408, 421, 429, 503)
EDGE_S = 0.25  # Accuracy of the soak's own clock readings beside a bound.


class Ledger:
    """All requests, runs and faults of one soak. A distortion (see docs/soak.md) shows that a check can fail."""

    def __init__(self, bounds, distortion):
        self.bounds = bounds
        self.distortion = distortion
        self.begun = time.monotonic()
        self.sent = {}
        self.runs = collections.defaultdict(list)
        self.answers = {}
        self.leaves = {}
        self.configs = {}
        self.evacuations = []
        self.unplanned = []
        self.planned = collections.defaultdict(list)
        self.cold_runs = collections.defaultdict(list)
        self.arrivals = []
        self.lags = []
        self.broken = []
        self.counts = collections.Counter()

    def distorts(self, name, request_id):
        return self.distortion == name and int(request_id[:2], 16) < 32

    def fail(self, rule, **facts):
        self.broken.append({"rule": rule, "at": round(time.monotonic() - self.begun, 3), **facts})

    # Faults.

    def note_unplanned(self, node, start, end):
        self.unplanned.append((start, end))

    def note_store(self, start, end):
        self.unplanned.append((start, end))

    def note_planned(self, node, at):
        self.planned[node].append(at)

    def note_config(self, version, at):
        self.configs[version] = at

    def note_evacuation(self, zone, start, end):
        self.evacuations.append((zone, start, end))

    def note_lag(self, start, end):
        self.lags.append((start, end))

    def calm(self, start, end):
        """Returns whether no unplanned fault and no lag of the soak lies in a span or shortly before it."""
        return not any(a < end and b > start - TOUCH_S for a, b in self.unplanned + self.lags)

    # What callers see.

    def note_sent(self, request_id, method, target, body, kind, service, caller):
        self.sent[request_id] = {"at": time.monotonic(), "method": method, "target": target, "kind": kind,
                                 "digest": hashlib.sha256(body).digest(), "service": service, "caller": caller}

    def note_answer(self, request_id, node, response):
        if response is None:
            self.counts["no answer"] += 1
            return
        status = response.status
        if self.distorts("false refusal", request_id) and status == 200:
            status = 503
        body = response.body[1:] if self.distorts("cut answer", request_id) else response.body
        self.answers[request_id] = (status, time.monotonic(), node)
        self.counts[status] += 1
        if status == 200:
            if body != answer_body(request_id) or response.headers.get("response-signature") != "s-" + request_id:
                self.fail("MIXED", request=request_id, node=node)
        own = response.headers.get("request-id", request_id)
        if own != request_id:
            self.fail("MIXED", request=request_id, node=node, belongs_to=own)
        if status == 404 and not self.sent[request_id]["target"].startswith("/v"):
            self.fail("DENIED", request=request_id, node=node)

    def note_cut(self, request_id, node, sent_at, ended_at, kept, same_process):
        """A connection ended without an answer."""
        self.counts["cut"] += 1
        ran = self.runs.get(request_id)
        stopped = any(at - 0.05 < ended_at < at + self.bounds["gracePeriod"] + 1 for at in self.planned[node])
        stopped = stopped or self.distortion == "cut"
        if ran and stopped and self.calm(sent_at, ended_at):
            self.fail("LOST", request=request_id, node=node, kept=kept, same_process=same_process)

    def note_probe(self, node, number, status, sent_at):
        """A route that came with a version was asked for at a node."""
        if status == 404 and number in node.served_versions:
            self.fail("CONFIG", what="went back", node=node.name, version=number)
        if status == 200:
            node.served_versions.add(number)
        late = sent_at > self.configs[number] + self.bounds["configApply"] + EDGE_S
        if self.distortion == "old config":
            status, late = 404, True
        if status == 404 and late and self.calm(self.configs[number], sent_at):
            self.fail("CONFIG", what="not in force", node=node.name, version=number)

    # What targets see.

    def note_run(self, target, request_id, message, cold, now):
        self.arrivals.append((now, target.service, request_id))
        sent = self.sent.get(request_id)
        if sent is None:
            return self.fail("UNASKED", request=request_id, target=target.id)
        digest = hashlib.sha256(message.body + (b"x" if self.distorts("changed body", request_id) else b"")).digest()
        if (message.method, message.target, digest) != (sent["method"], sent["target"], sent["digest"]):
            self.fail("UNASKED", request=request_id, target=target.id, what="changed on the way")
        if message.headers.get("calling-service") != sent["caller"]:
            self.fail("UNASKED", request=request_id, target=target.id, what="wrong calling service")
        service = "b" if self.distorts("wrong service", request_id) else target.service
        if service != sent["service"]:
            self.fail("ROUTE", request=request_id, target=target.id)
        runs = self.runs[request_id]
        runs.append(now)
        if len(runs) > 1 and sent["kind"] != "idempotent":
            self.fail("TWICE", request=request_id, target=target.id)
        left = self.leaves.get(target.id)
        if self.distorts("drain", request_id):
            left = now - 10
        if left is not None and now > left + self.bounds["drain"] + EDGE_S and not self.lagging(now):
            self.fail("DRAIN", request=request_id, target=target.id, late_s=round(now - left, 2))
        self.check_zone(target, request_id, now)
        if cold:
            self.check_cold(target, now)

    def lagging(self, now):
        return any(start - 0.5 < now < end + 0.5 for start, end in self.lags)

    def check_zone(self, target, request_id, now):
        for zone, start, end in self.evacuations:
            due = start + self.bounds["evacuation"] + EDGE_S
            if zone == target.zone and due < now < end and self.calm(start, now):
                self.fail("EVAC", request=request_id, target=target.id)
        if self.distorts("evacuation", request_id):
            self.fail("EVAC", request=request_id, target=target.id)

    def check_cold(self, target, now):
        window = self.cold_runs[target.id]
        window.append(now)
        while window[0] < now - 1:
            window.pop(0)
        limit = COLD_CALLS_PER_S * self.bounds["coldRateFactor"] + self.bounds["coldSlack"]
        if self.distortion == "cold":
            limit = 0
        if len(window) > limit and not self.lagging(now):
            self.fail("FAILBACK", target=target.id, calls=len(window))

    # At the end.

    def finish(self, recovered_from):
        for request_id, (status, at, node) in self.answers.items():
            sent = self.sent[request_id]
            if status in REFUSALS and sent["kind"] != "idempotent" and self.runs.get(request_id):
                self.fail("REFUSED", request=request_id, node=node, status=status)
        self.check_budget()
        late = [request_id for request_id, sent in self.sent.items()
                if recovered_from < sent["at"] < time.monotonic() - 2 and not sent["target"].startswith("/v")]
        served = sum(1 for request_id in late if self.answers.get(request_id, (0,))[0] == 200)
        if self.distortion == "recovery":
            served = 0
        if late and served < 0.9 * len(late):
            self.fail("RECOVER", served=served, of=len(late))
        self.counts["served at the end, per cent"] = 100 * served // max(1, len(late))

    def check_budget(self):
        window = self.bounds["budgetWindow"]
        for service in "abc":
            arrivals = [(at, request_id) for at, name, request_id in self.arrivals if name == service]
            first = {}
            for at, request_id in arrivals:
                first.setdefault(request_id, at)
            again = [at for at, request_id in arrivals if at > first[request_id]]
            if self.distortion == "budget":
                again = [at for at, _ in arrivals] * 3
            for start in again:
                count = sum(1 for at in again if start <= at < start + window)
                asked = sum(1 for sent in self.sent.values()
                            if sent["service"] == service and start - window <= sent["at"] < start + window)
                if count > self.bounds["retryBudgetRatio"] * asked + self.bounds["retryBudgetSlack"]:
                    return self.fail("BUDGET", service=service, again=count, asked=asked)

    def report(self):
        return {"broken": self.broken[:20], "broken_rules": dict(collections.Counter(b["rule"] for b in self.broken)),
                "sent": len(self.sent), "runs": len(self.arrivals),
                "counts": {str(name): count for name, count in self.counts.items()},
                "lag_spans": len(self.lags)}
