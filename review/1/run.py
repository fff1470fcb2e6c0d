"""A lost answer of the store to a watch; later, calm again, a target drains. Does a request still reach it too late?"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from stand import (DRAIN_S, STABILITY_S, TROUBLE, Store, Target, Vm, ask, ident, main, resolve, vm_ports)  # noqa: E402

ZONES = {"almaty-a": "almaty", "astana-a": "astana"}
ROUTES = [("/status/", "safe", "tool-ledger", 3000, 500, 0), ("/orders/", "unsafe", "order-desk", 4000, 600, 1)]


async def clients(record, vms, until, sent):
    """30 safe and 15 unsafe requests a second; each client takes its addresses from the directory."""
    fronts, looked_up, tasks, n = [], 0, set(), 0

    async def one(addr, method, path, key):
        name = ident()
        sent[name] = (time.monotonic(), method)
        try:
            status, _, _ = await ask(addr, method, path, name, key, 3000, b"order" if method == "POST" else b"")
        except (OSError, asyncio.TimeoutError):
            status = -1
        record("client", name, method, path, "by", addr, "is answered", status)

    while time.monotonic() < until():
        if time.monotonic() - looked_up > 5:
            # Every second client is in almaty, the others in astana.
            some = [await resolve(vms[0], region, zone) for zone, region in ZONES.items()]
            fronts, looked_up = [x for pair in zip(*some) for x in pair] or fronts, time.monotonic()
        n += 1
        method, path = ("POST", "/orders/x") if n % 3 == 0 else ("GET", "/status/x")
        task = asyncio.ensure_future(one(fronts[n % len(fronts)], method, path, str(n % 61)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / 45)
    await asyncio.gather(*tasks)


async def case(record, vms):
    store = Store(record)
    await store.start()
    targets = [Target(store, s, z) for s in ("tool-ledger", "order-desk") for z in ZONES for _ in range(3)]
    for t in targets:
        await t.start()
    await store.manifest(1, ROUTES, ["tool-ledger", "order-desk"])
    ports = vm_ports()
    for zone, region in ZONES.items():
        for i in (1, 2):
            vms.append(Vm(store, "front-%s-%d" % (zone, i), zone, region, ZONES, ports))
    for vm in vms:
        await vm.wait_ready()
    # Traffic starts 8 s after the machines do.
    await asyncio.sleep(8)
    sent, end = {}, [time.monotonic() + 60]
    load = asyncio.ensure_future(clients(record, vms, lambda: end[0], sent))
    await asyncio.sleep(2)

    # Two targets are added, one second apart. The answer that tells a VM of the second one is lost, once.
    lost_at = []

    def lose(method, path, query):
        # No other answer is lost: neither of other watches nor of renewals.
        if not TROUBLE or lost_at or path != "/kv-watch" or query["prefix"] != "servers/" or not second:
            return False
        lost_at.append(time.monotonic())
        return True

    second = []
    store.lose = lose
    added = [Target(store, "order-desk", "almaty-a") for _ in range(2)]
    await added[0].start()
    await asyncio.sleep(1)
    second.append(True)
    calls = store.calls
    await added[1].start()
    await asyncio.sleep(0.5)
    if TROUBLE and not lost_at:
        raise OSError("no watch was waiting")

    # The store answers everything from here on. Later than stabilityMs after, all is calm: four targets drain, two of each region.
    await asyncio.sleep(STABILITY_S + 0.3)
    record("calls of the store since the second target:", store.calls - calls, "answers lost:", store.lost)
    leaving = [targets[i] for i in (0, 3, 6, 9)]
    late, arrivals = [], []
    for t in leaving:
        acked = await t.drain()

        def arrived(at, name, t=t, acked=acked):
            arrivals.append(name)
            # Only requests that clients sent after the bound count here, so that none was on its way at it.
            if at > acked + DRAIN_S and sent.get(name, (0,))[0] > acked + DRAIN_S:
                late.append((at - acked, t.id, name))
                record("LATE: request", name, sent[name][1], "reaches", t.id, "%.3f s" % (at - acked),
                       "after its draining was acknowledged")

        t.arrived = arrived
    # They serve on for many seconds, as the pages allow, so that only the late arrival itself is judged.
    end[0] = time.monotonic() + 9
    await load
    for t in leaving:
        t.end()
    record.say("requests sent: %d; arrivals at the draining targets: %d, later than drainMs: %d (%d unsafe)" % (
        len(sent), len(arrivals), len(late), sum(sent[x[2]][1] == "POST" for x in late)))
    for vm in vms:
        for line in vm.log("feed") + vm.log("relay") + vm.log("upstream_listed", "draining=1"):
            record(vm.name, "log:", line)
    return not late


main(__file__, case)
