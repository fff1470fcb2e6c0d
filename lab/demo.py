"""The demo: a whole deployment, all kinds of work, one edit, a table of it."""
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import lab as labs  # noqa: E402

SECONDS = 8
RATE = 120
UPLOAD_BYTES = 20000000


def run_caller(lab):
    csv = lab.path("caller.csv")
    command = [os.path.join(lab.bin, "fake-caller"), "--services=" + ",".join(lab.conf["services"]),
               "--rate=%d" % RATE, "--seconds=%d" % SECONDS, "--seed=1", "--csv=" + csv,
               "--upload-bytes=%d" % UPLOAD_BYTES]
    command += ["--lookup=" + url for url in labs.lookup_urls(lab)]
    return subprocess.Popen(command)


def edit(lab):
    service = next(iter(lab.conf["services"]))
    began = time.monotonic()
    out = lab.pstctl("table", "set", service, "urgent", "weight." + lab.domains[0][0], "80", "--wait", "--by", "demo")
    print("edit in force on every VM after %.2f s: %s" % (time.monotonic() - began, out.stdout.strip()))


def demo(conf, full):
    with labs.Lab(conf, full=full) as lab:
        began = time.monotonic()
        lab.start()
        print("%s: %d entry VMs, %d upstreams, %d processes, ready after %.1f s" % (
            lab.conf["name"], len(lab.entries), len(lab.upstreams), len(lab.procs), time.monotonic() - began))
        caller = run_caller(lab)
        time.sleep(SECONDS / 2)
        edit(lab)
        status = caller.wait(timeout=60)
        print("memory of all processes: %.1f MiB" % (lab.memory_kib() / 1024))
        return status


def main():
    full = "--full" in sys.argv
    confs = [a for a in sys.argv[1:] if not a.startswith("-")] or ["conf/fund.yaml", "conf/guild.yaml"]
    status = 0
    for conf in confs:
        status = demo(conf, full) or status
    sys.exit(status)


main()
