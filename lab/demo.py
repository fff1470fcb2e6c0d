"""The demo: a whole deployment, all kinds of work, one edit, a table of it."""
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import lab as labs  # noqa: E402
import works  # noqa: E402

SECONDS = {"conf/fund.yaml": 8, "conf/guild.yaml": 5}
RATES = {"get": 40, "book": 15}
SEED = 1


def edit(lab):
    service = next(iter(lab.conf["services"]))
    domain = lab.domains[0][0]
    began = time.monotonic()
    out = lab.pstctl("--wait", "--by=demo", "table", "set", service, "urgent", "weight." + domain, "80",
                     check=False)
    took = time.monotonic() - began
    print("edit of %s urgent weight.%s to 80: exit status %d after %.2f s; %s" % (
        service, domain, out.returncode, took, (out.stdout + out.stderr).strip()))
    return out.returncode


def demo(conf, full):
    with labs.Lab(conf, full=full) as lab:
        began = time.monotonic()
        lab.start()
        print("%s: %d entry VMs, %d upstreams, ready after %.1f s" % (
            lab.conf["name"], len(lab.entries), len(lab.upstreams), time.monotonic() - began))
        seconds = SECONDS.get(conf, 5)
        caller = works.Caller(lab, works.all_kinds(lab.conf, RATES), seconds, seed=SEED)
        time.sleep(seconds / 2)
        status = edit(lab)
        print("%d processes, %.0f MiB of memory" % (len(lab.procs), lab.memory_kib() / 1024))
        status = caller.wait() or status
        print(caller.report(), end="")
        return status


def main():
    full = "--full" in sys.argv
    confs = [a for a in sys.argv[1:] if not a.startswith("-")] or ["conf/fund.yaml", "conf/guild.yaml"]
    status = 0
    for conf in confs:
        status = demo(conf, full) or status
    sys.exit(status)


main()
