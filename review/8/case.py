"""A machine that is cut off from the store keeps its part of a tenant's allowance, when its peers are replaced.

front-1 is turned away by the store for 12 s. Half a second after that begins, front-2 and front-3 are removed, and
front-4 and front-5 are added at new addresses.
"""
import asyncio
import bisect
import os
import sys
import threading
import time
from collections import Counter

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import stage  # noqa: E402

RATE, BURST, KEY = 200.0, 5.0, "key-of-t1"
# Requests of the tenant at each machine, a second, and connections that carry them.
PER_S, CONNECTIONS = 300, 12
CUT_S, REPLACED_AFTER_S, ADDED_AFTER_S, AFTER_S = 12.0, 0.5, 1.0, 4.0
WINDOW_S = stage.BOUNDS["quotaWindowS"]
BOUND = (RATE * WINDOW_S + BURST) * (1 + stage.BOUNDS["quotaOverage"]) + stage.BOUNDS["quotaSlack"]


class Load:
    """Sends to one machine at an even rate, until it is told to stop."""

    def __init__(self, machine, notes):
        self.machine, self.notes, self.stopped = machine, notes, False
        self.thread = threading.Thread(target=lambda: asyncio.run(self.run()), daemon=True)
        self.thread.start()

    async def run(self):
        await asyncio.gather(*(self.send(n) for n in range(CONNECTIONS)))

    async def send(self, number):
        host, port = self.machine.front.split(":")
        gap, count, due = CONNECTIONS / PER_S, 0, stage.now() + number / PER_S
        while not self.stopped:
            writer = None
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
                while not self.stopped:
                    await asyncio.sleep(max(0, due - stage.now()))
                    due = max(due + gap, stage.now())
                    count += 1
                    ident = "%s-%d-%d" % (self.machine.name, number, count)
                    note = {"id": ident, "sent": stage.now(), "status": 0}
                    self.notes.append(note)
                    writer.write(stage.request("GET", "/reads/10-" + ident, ident, 3000, "Key: %s\r\n" % KEY, key=ident))
                    line, head = await asyncio.wait_for(stage.read_head(reader), 5)
                    await stage.read_body(reader, int(head.get("content-length", 0)))
                    note["status"] = int(line.split()[1])
            except (OSError, EOFError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
            if writer:
                writer.close()


def most_in_window(times):
    """Most runs in a window, and when it begins."""
    times = sorted(times)
    return max(((bisect.bisect_left(times, at + WINDOW_S) - i, at) for i, at in enumerate(times)), default=(0, 0.0))


def case(make, record):
    platform = make({"a-1": "a", "a-2": "a"})
    targets = stage.Targets(platform, "reads", 24, "a-1", slots=8, work_s=0.01)
    stage.write_manifest(platform.store, 1, [("/reads/", "safe", "reads", 3000, 500)],
                         tenants=[["t1", [KEY], None, RATE, BURST, []]])
    machines = [platform.add("front-%d" % i, "a-1") for i in (1, 2, 3)]
    for machine in machines:
        stage.wait_for(machine.is_ready, 8, "ready")
    stage.wait_for(lambda: all(len(m.lines("vm_joined")) >= 3 for m in machines), 10, "the list of machines")
    # The allowance is in use at all of them some seconds after the list has changed.
    time.sleep(4)
    notes = []
    loads = [Load(machine, notes) for machine in machines]
    time.sleep(7)
    cut = stage.now()
    if stage.TROUBLE:
        platform.store.modes[int(machines[0].door.split(":")[1])] = "hang"
        record("the store does not answer front-1 any more")
    time.sleep(REPLACED_AFTER_S)
    for load in loads[1:]:
        load.stopped = True
    for machine in machines[1:]:
        machine.kill()
        record("%s is removed" % machine.name)
    time.sleep(ADDED_AFTER_S)
    for i in (4, 5):
        machines.append(platform.add("front-%d" % i, "a-1"))
        record("%s is added" % machines[-1].name)
    for machine in machines[3:]:
        stage.wait_for(machine.is_ready, 8, "ready")
        loads.append(Load(machine, notes))
    time.sleep(max(0, cut + CUT_S - stage.now()))
    platform.store.modes.clear()
    record("the store answers front-1 again" if stage.TROUBLE else "no machine was turned away")
    time.sleep(AFTER_S)
    for load in loads:
        load.stopped = True
    time.sleep(0.5)
    ran = {ident: at for at, ident, _, _ in targets.runs}
    for note in list(notes):
        record("%s sent; %s; answered %d" % (
            note["id"], "ran at %.3f" % (ran[note["id"]] - record.began) if note["id"] in ran else "did not run",
            note["status"]), note["sent"])
    for machine in machines:
        for line in machine.lines("account_taken") + machine.lines("quota_refused")[:200:10]:
            record("log of %s: %s" % (machine.name, line.strip()))
    most, at = most_in_window([run[0] for run in targets.runs])
    by = Counter(run[1].rsplit("-", 2)[0] for run in targets.runs if at <= run[0] < at + WINDOW_S)
    record.say("%d requests, answers %s" % (len(notes), dict(Counter(n["status"] for n in notes))))
    record.say("tenant t1: at most %d runs in %d s, from %.1f s on (%s); allowed %.0f" % (
        most, WINDOW_S, at - record.began, ", ".join("%s %d" % x for x in sorted(by.items())), BOUND))
    if len(targets.runs) < RATE * WINDOW_S:
        raise stage.CannotRun("only %d requests ran" % len(targets.runs))
    return stage.BROKEN if most > BOUND else stage.HELD


stage.run_case(FOLDER, case)
