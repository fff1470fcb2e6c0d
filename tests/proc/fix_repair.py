"""A small lab and its load, for the tests of repair."""
from fix_proc import clean, expect, labs, works

# Callers keep look-ups for 1 s; then every fault must have been steered around.
SETTLE_S = 8.0
SETTINGS = {"lookup": {"ttl_ms": 1000}, "broker": {"ramp_ms": 1000}}


def small_lab():
    return labs.Lab("conf/fund.yaml", settings=SETTINGS, vary=False)


def load(lab, seconds, seed):
    out = [works.work("status", "get", rank, rate=10, deadline=4000) for rank in works.RANKS]
    out += [works.work("booking", "book", rank, rate=3, deadline=4000) for rank in works.RANKS]
    return works.Caller(lab, out, seconds, seed=seed)


def all_whole(lab, seed, what):
    """A load without fault, in which nothing may fail."""
    caller = load(lab, 3, seed)
    clean(caller)
    for row in caller.rows().values():
        expect(row["whole"] == row["sent"], "%s: not back to full work:\n%s" % (what, caller.report()))
