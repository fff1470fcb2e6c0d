"""What a soak runs: a store, upstreams behind proxies, VMs, and the times at which something was wrong with each."""
import os
import signal
import threading
import time

from fix_steer import Steerd, Store, Upstream
from soak_proxy import Loop, Proxy

# As in the settings that fix_steer writes.
DOMAINS = {"d1": 3, "d2": 2, "d3": 2}
POSTS = [("s", d) for d in DOMAINS] * 3 + [("t", d) for d in DOMAINS] * 2
GRACE_S, LEAVE_S = 4.0, 2.5
BUDGET = {"ratio": 0.2, "extra": 20, "window_s": 10}
COLD_PER_S, COLD_MS = 5, 1500
KINDS = {"/a/": ("safe", "s"), "/o/": ("unsafe", "s"), "/u/": ("upload", "t")}
TRIES, TIMEOUT_MS = 2, 2000
# What a list that may lag lacks: the platform says "seconds".
LAG_S = 2
# Pages of a list of VMs, however many there are: each is a call to the stand-in, which is busy then.
MOST_PAGES = 10


def now():
    return time.monotonic()


class Troubles:
    """Spans of time in which something was wrong with a VM, an upstream or the store."""

    def __init__(self):
        self.spans = []

    def begin(self, who):
        span = [who, now(), float("inf")]
        self.spans.append(span)
        return span

    @staticmethod
    def end(span):
        span[2] = now()

    def calm(self, whose, since, until):
        return not any(who in whose and began <= until and ended >= since for who, began, ended in self.spans)


class Worker(Upstream):
    """One incarnation of an upstream; notes what arrives, and whether it runs it."""

    def __init__(self, post, number):
        self.post, self.service = post, post.service
        self.notes = []
        # (time, id of the request, seconds) of each refusal that asked for a time without requests.
        self.quiets = []
        super().__init__("i-%d-%d" % (post.index, number), work=post.work)
        self.began = now()

    def note_quiet(self, head):
        self.quiets.append((now(), head.get("attempt-id", ""), float(self.quiet)))

    def note(self, line, head, body, mode):
        method, path, _ = line.decode().split()
        known = head.get("expect-instance") == self.name
        self.notes.append({"at": now(), "id": head.get("attempt-id", ""), "method": method, "path": path,
                           "bytes": len(body), "known": known, "ran": known and mode not in ("shed", "quiet"),
                           "deadline": int(head.get("deadline-ms", -1)), "head": head, "mode": mode, "worker": self})


class Post:
    """An address at which upstreams come and go."""

    def __init__(self, stage, index, service, domain):
        self.stage, self.index, self.service, self.domain = stage, index, service, domain
        self.name, self.number, self.work = "post-%d" % index, 0, 0.01 + 0.01 * (index % 4)
        self.proxy = Proxy(stage.loop, "127.0.0.1:1")
        self.listed = False
        self.worker = None
        self.workers = []

    def arrive(self, cold_ms=0):
        self.number += 1
        self.worker = Worker(self, self.number)
        self.workers.append(self.worker)
        self.proxy.target = self.worker.addr
        self.worker.cold_ms = cold_ms
        self.enter()

    def enter(self, state="ready"):
        cold_left = max(0, int(self.worker.cold_ms - (now() - self.worker.began) * 1000))
        entry = self.worker.entry(self.service, self.domain, state, cold_left)
        entry["addr"] = self.proxy.addr
        self.stage.put("servers/" + self.worker.name, entry)
        self.listed = True

    def strike(self):
        """Takes the entry away, as a leaving upstream or the store does."""
        self.stage.store.delete("servers/" + self.worker.name)
        self.listed = False


class Stage:
    def __init__(self, folder, book=None, vms=0):
        """vms: VMs of each domain; 0: as in DOMAINS."""
        # Tenants of the manifests (soak_tenants.Book), or None.
        self.folder, self.book = folder, book
        self.counts = {domain: vms or count for domain, count in DOMAINS.items()}
        self.loop, self.store, self.troubles = Loop(), Store(), Troubles()
        self.store.lag_s = LAG_S
        self.store.page_items = max(self.store.page_items, sum(self.counts.values()) // MOST_PAGES)
        self.lock = threading.RLock()
        self.posts = [Post(self, i, *at) for i, at in enumerate(POSTS)]
        # Time of the store's answer and what holds since: versions, and (domain, on).
        self.versions, self.evacuations = [], []
        # (time, worker): a worker's leaving as the store took it.
        self.leavings = []
        # (VM, time of the order, time of the end, exit status).
        self.stops = []
        self.vms, self.doors = [], {}

    def put(self, key, value):
        self.store.put(key, value)

    def begin(self):
        for post in self.posts:
            post.arrive()
        self.new_version()
        bounds = "  retry_ratio: %(ratio)s\n  retry_extra: %(extra)s\n  retry_window_s: %(window_s)s\n" % BUDGET
        for domain, count in self.counts.items():
            for i in range(count):
                door = Proxy(self.loop, self.store.door())
                vm = Steerd(self.store, "vm-%s-%d" % (domain, i), domain, bounds, door.addr)
                vm.name, vm.domain, vm.number = "vm-%s-%d" % (domain, i), domain, 1
                vm.began, vm.killed = [now()], []
                self.doors[vm.name] = door
                self.vms.append(vm)
        for vm in self.vms:
            vm.wait_ready()

    def new_version(self):
        """Versions go up in uneven steps; each has one route of its own and moves /m/ to the other service."""
        number = (self.versions[-1][1] + 1 + len(self.versions) % 3) if self.versions else 1
        other = "st"[len(self.versions) % 2]
        routes = [{"prefix": p, "kind": k, "service": s, "tries": TRIES, "timeout": TIMEOUT_MS}
                  for p, (k, s) in KINDS.items()]
        routes += [{"prefix": "/m/", "service": other, "tries": TRIES, "timeout": TIMEOUT_MS},
                   {"prefix": "/r%d/" % number, "service": "s", "tries": TRIES, "timeout": TIMEOUT_MS}]
        if self.book:
            routes += [{"prefix": "/n/", "service": "s", "tries": TRIES, "timeout": TIMEOUT_MS, "homes": ["r2"]},
                       {"prefix": "/p/", "service": "s", "tries": TRIES, "timeout": TIMEOUT_MS, "public": True}]
        # Noted first: a VM may have it before this thread goes on.
        self.versions.append([now(), number, other])
        self.store.manifest(number, routes, tenants=self.book.next_rows() if self.book else None)
        self.versions[-1][0] = now()
        if self.book:
            self.book.accepted()

    def evacuate(self, domain, on):
        if on:
            self.put("op/evacuate/" + domain, {})
        else:
            self.store.delete("op/evacuate/" + domain)
        self.evacuations.append((now(), domain, on))

    def order_stop(self, vm):
        """SIGTERM; returns when the process has ended."""
        ordered = now()
        vm.process.send_signal(signal.SIGTERM)
        try:
            status = vm.process.wait(GRACE_S + 1)
        except Exception:
            vm.process.kill()
            status = vm.process.wait()
        self.stops.append((vm.name, ordered, now(), status))

    def kill(self, vm):
        vm.process.kill()
        vm.process.wait()
        vm.killed.append(now())

    @staticmethod
    def restart(vm):
        vm.number += 1
        vm.began.append(now())
        vm.start()

    def end(self):
        """Ends what it started; returns the exit status of each VM."""
        for vm in self.vms:
            vm.process.send_signal(signal.SIGCONT)
            vm.process.send_signal(signal.SIGTERM)
        status = {}
        for vm in self.vms:
            try:
                status[vm.name] = vm.process.wait(GRACE_S + 2)
            except Exception:
                vm.process.kill()
                status[vm.name] = "killed: %s" % vm.process.wait()
        return status

    def keep_logs(self):
        os.makedirs(self.folder, exist_ok=True)
        for vm in self.vms:
            with open(vm.log, errors="replace") as log, open(os.path.join(self.folder, vm.name + ".log"), "w") as to:
                to.write(log.read())
