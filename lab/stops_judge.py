"""What planned stops cost: the users' rule LOST with its excuses, from what callers and upstreams saw.

The processes' logs only tell whether an answer had been given, and whether a request that no upstream got was read."""
import collections
import re

# As in the users' rules and deployments.
AFTER_GRACE_S = 1.0
LOSS_SLACK_S = 0.2
LATE_PART, EARLY_SENT_S = 1 / 6, 3.0
SAME_MOMENT_S = 0.1
DONE = re.compile(r"req=(\S+) .*status=(\d+) why=(\w+)")
CLASSES = {
    "grace_end": "H1, cut when the grace period ended",
    "answer_lost": "H2, answered, and the answer lost in closing",
    "closed_running": "H3, connection closed while the request ran",
    "process_ended": "H4, the process ended before it meant to",
    "own_answer": "broken off at an upstream, and an answer of the VM's own given",
    "unanswered": "read and not passed on, connection ended late",
    "outside": "connection closed outside a stop",
}


class Stop:
    def __init__(self, vm, moment):
        self.vm, self.moment = vm, moment
        self.at = self.gone = 0.0
        self.status, self.announced = None, True

    def ended_early(self):
        return self.status != 0 or not self.announced


class Case:
    def __init__(self, request, stop, runs, what, excuse):
        self.request, self.stop, self.runs, self.what, self.excuse = request, stop, runs, what, excuse

    def line(self):
        r, at = self.request, self.stop.at if self.stop else 0.0
        return "%s SIGTERM%s sent=%+d end=%+d id=%s %s %s status=%d got=%d of %d%s ahead=%d [%s] %s%s" % (
            r.vm.name, " (%s)" % self.stop.moment if self.stop else " none",
            (r.sent - at) * 1000, (r.end - at) * 1000, r.id, r.kind, r.outcome, r.status, r.got, r.size,
            " reset" if r.reset else "", r.ahead,
            ", ".join("%s %s %+d..%+d" % (n.upstream, n.end, (n.at - at) * 1000, (n.ended - at) * 1000)
                      for n in self.runs), self.what, " excused: " + self.excuse if self.excuse else "")

    def as_json(self):
        return {"line": self.line(), "class": self.what, "excuse": self.excuse, "id": self.request.id}


class Judge:
    def __init__(self, args, requests, upstreams, stops, logs):
        self.args, self.stops = args, stops
        self.requests = [r for r in requests if r.outcome != "open"]
        self.runs = collections.defaultdict(list)
        for upstream in upstreams:
            for run in upstream.runs:
                self.runs[run.id].append(run)
        self.done = {}
        for log in logs:
            for match in DONE.finditer(log):
                self.done[match[1]] = (int(match[2]), match[3])

    def cases(self):
        return [case for case in map(self.judge, self.requests) if case]

    def stop_of(self, request):
        """The latest stop of the request's VM in whose time the request ended."""
        spans = [s for s in self.stops if s.vm == request.vm.name
                 and s.at <= request.end <= s.at + self.args.grace + AFTER_GRACE_S]
        return spans[-1] if spans else None

    def judge(self, request):
        if not request.sent or request.outcome == "left":
            return None
        runs, stop = self.runs[request.id], self.stop_of(request)
        if request.outcome == "answer":
            return self.judge_answer(request, runs, stop)
        if request.outcome != "closed":
            return None
        return Case(request, stop, runs, self.classify(request, runs, stop), self.excuse(request, runs, stop))

    def judge_answer(self, request, runs, stop):
        """An answer of the VM's own, in whose place it broke off an upstream at work; a success that is none."""
        if request.status < 300:
            name = request.mark.decode(errors="replace").split(":")[0]
            ran = any(n.upstream == name and n.end == "done" for n in runs)
            right = request.mark.startswith(("%s:%s;" % (name, request.path)).encode()[:80])
            if ran and right and request.whole() and request.head.get("response-seal") == "seal-" + name:
                return None
            return Case(request, stop, runs, "wrong_answer", "")
        cut = [n for n in runs if n.end in ("dropped", "broke")]
        if not stop or "response-seal" in request.head or not cut:
            return None
        return Case(request, stop, runs, "own_answer", self.excuse(request, runs, stop))

    def excuse(self, request, runs, stop):
        if request.end - request.began >= min(request.budget, self.args.timeout):
            return "time was up"
        if any(n.end == "broke" for n in runs):
            return "the upstream broke off"
        if not runs and (request.ahead or request.after_close):
            return "behind another and not passed on"
        if not runs and request.end - request.sent <= LOSS_SLACK_S:
            return "crossed the close"
        if not runs and request.id not in self.done:
            return "not read"
        late = stop and stop.at + self.args.grace * (1 - LATE_PART)
        if stop and request.sent <= stop.at + EARLY_SENT_S and any(
                n.begun and (n.end == "open" or n.ended >= late) for n in runs):
            return "upstream at work in the last sixth"
        return ""

    def classify(self, request, runs, stop):
        if not stop:
            return "outside"
        if not runs:
            return "unanswered"
        if stop.ended_early():
            return "process_ended"
        at_exit = stop.gone - request.end < SAME_MOMENT_S and stop.gone - stop.at > 0.9 * self.args.grace
        if at_exit and not request.got:
            return "grace_end"
        if request.got or self.done.get(request.id, (0, ""))[1] == "answered" or all(n.end == "done" for n in runs):
            return "answer_lost"
        return "closed_running"


def summary(cases):
    """Counts by class: not excused, and excused with the reason."""
    bad = collections.Counter(c.what for c in cases if not c.excuse)
    excused = collections.Counter((c.what, c.excuse) for c in cases if c.excuse)
    return bad, excused
