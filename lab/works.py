"""What fake-caller sends in the lab: its --work descriptions and its call."""
import csv
import os
import subprocess

import lab as labs

RANKS = ("urgent", "normal", "bulk")
UPLOAD_BYTES = 20000000

# Deadlines in milliseconds by rank; uploads take their time.
DEADLINE_MS = {"urgent": 2000, "normal": 4000, "bulk": 8000}
UPLOAD_DEADLINE_MS = 30000


def work(service, kind, rank, **fields):
    values = {"name": "%s.%s" % (service, rank), "service": service, "kind": kind, "rank": rank}
    values["deadline"] = UPLOAD_DEADLINE_MS if kind in ("upload", "blob") else DEADLINE_MS[rank]
    values.update(fields)
    return "--work=" + ",".join("%s=%s" % item for item in values.items())


def all_kinds(conf, rates, upload_bytes=UPLOAD_BYTES):
    """Every service in every rank; rates: requests a second by kind."""
    out = []
    for service, about in conf["services"].items():
        for rank in RANKS:
            kind = about["kind"]
            if kind == "upload":
                out.append(work(service, kind, rank, closed=1, bytes=upload_bytes))
            else:
                out.append(work(service, kind, rank, rate=rates[kind]))
    return out


def capacity(lab, service):
    """Requests a second that the service's slots carry."""
    about = lab.conf["services"][service]
    slots = sum(u.slots for u in lab.upstreams if u.service == service)
    return slots * 1000.0 / about["service_ms"]


class Caller:
    """One run of fake-caller against a lab."""

    def __init__(self, lab, works, seconds, seed=1, name="caller", lookups=None, extra=()):
        self.csv, self.trace = lab.path(name + ".csv"), lab.path(name + ".trace")
        self.out = lab.path(name + ".out")
        command = [os.path.join(lab.bin, "fake-caller"), "--seconds=%d" % seconds, "--seed=%d" % seed,
                   "--csv=" + self.csv, "--trace=" + self.trace, "--journals=" + lab.dir, *extra]
        command += ["--lookup=" + url for url in lookups or labs.lookup_urls(lab)]
        with open(self.out, "wb") as out:
            self.process = subprocess.Popen(command + works, stdout=out, stderr=out, stdin=subprocess.DEVNULL)
        lab.procs[name] = self.process

    def wait(self, timeout=110):
        """Returns the exit status: 0 when nothing was lost, doubled or mixed up."""
        return self.process.wait(timeout)

    def report(self):
        with open(self.out, errors="replace") as f:
            return f.read()

    def rows(self):
        with open(self.csv) as f:
            return {row["work"]: row for row in csv.DictReader(f)}

    def jobs(self):
        """Finished jobs so far, oldest first."""
        names = ("at_us", "work", "rank", "outcome", "took_us", "served_by", "entry", "request_id", "key",
                 "attempts", "reason")
        try:
            with open(self.trace) as f:
                return [dict(zip(names, line.rstrip("\n").split(","))) for line in f if line.endswith("\n")]
        except FileNotFoundError:
            return []

    def count(self, outcome, work=None):
        return sum(1 for j in self.jobs() if j["outcome"] == outcome and (work is None or j["work"] == work))
