"""Stand-ins for the platform's store, targets and clients, and pst-steerd as separate processes, for the review.

All of them run on loopback addresses. The store, the targets and the clients share one event loop (asyncio)."""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
RUN = ["target/bin/pst-steerd", "--settings"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "jepu9.example"
BOUNDS = {"drainMs": 2500, "graceS": 6, "ttl_max_s": 5, "retryBudgetRatio": 0.2, "budgetExtra": 130,
          "budgetWindowS": 10, "maxShift": 0.15}
STABILITY_S, DRAIN_S = 4.0, 2.5
# A loopback network for each run, so that runs do not meet.
NET = "127.%d.%d." % (random.randrange(16, 224), random.randrange(1, 255))


class Unable(Exception):
    """The case could not run."""


class Record:
    """record.txt in the folder of the case: one line for each event, with seconds since the start."""

    def __init__(self, folder):
        self.file, self.begun = open(os.path.join(folder, "record.txt"), "w"), time.monotonic()

    def __call__(self, *words):
        print("%9.3f" % (time.monotonic() - self.begun), *words, file=self.file)

    def say(self, *words):
        self(*words)
        print(*words)


def free_ports(ip, count):
    socks = [socket.socket() for _ in range(count)]
    for s in socks:
        s.bind((ip, 0))
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


def render(text, fields):
    """Fills in the placeholders that deploy/settings.yaml.in uses."""

    def get(scope, name):
        for part in name.split("."):
            scope = scope[int(part)] if isinstance(scope, list) else scope[part]
        return scope

    def section(m):
        rows = list(get(fields, m[1]).items())
        return "".join(m[2].replace("{{@}}", k).replace("{{.}}", v).replace("{{,}}", "," if i + 1 < len(rows) else "")
                       for i, (k, v) in enumerate(rows))

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(get(fields, m[1])), text)


async def read_head(reader):
    """First line and headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    return lines[0], {k.strip().lower(): v.strip() for k, v in (x.split(":", 1) for x in lines[1:] if x)}


class Store:
    """The platform's store. lose(method, path, query) tells whether the answer of a call is lost: the call is carried
    out, and its connection stays open and returns nothing further."""

    def __init__(self, record):
        self.record, self.items, self.events, self.leases, self.rev = record, {}, [], {}, 10
        self.changed, self.lose = asyncio.Condition(), lambda method, path, query: False
        self.calls, self.lost = 0, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, NET + "1", 0, limit=1 << 22)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.expiry = asyncio.ensure_future(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [k for k, v in self.leases.items() if v[1] < time.monotonic()]:
                await self.end(lease)

    async def end(self, lease):
        known = self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            await self.delete(key)
        return known

    async def note(self, event):
        self.events.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value, lease=0):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rev += 1
        created = self.items.get(key, {}).get("created", self.rev)
        self.items[key] = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.rev,
                           "created": created, "lease": lease}
        await self.note(self.items[key])

    async def delete(self, key):
        if self.items.pop(key, None):
            self.rev += 1
            await self.note({"key": key, "revision": self.rev, "tombstone": True})

    async def call(self, method, path, query, body):
        if path == "/kv-watch":
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                found = [e for e in self.events
                         if e["key"].startswith(query["prefix"]) and e["revision"] > int(query["after"])]
                left = end - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "currentRev": self.rev}
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500,
                         "currentRev": self.rev}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, currentRev=self.rev)) if item else (404, {})
        if path == "/kv-lease":
            lease, ttl = 70000 + self.calls, max(1000, body["ttlMs"])
            self.leases[lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/kv-keep/"):
            held = self.leases.get(int(path.rsplit("/", 1)[1]))
            if not held:
                return 404, {}
            held[1] = time.monotonic() + held[0]
            return 200, {"ttlMs": int(held[0] * 1000)}
        if path.startswith("/kv-lease-end/"):
            return (200, {}) if await self.end(int(path.rsplit("/", 1)[1])) else (404, {})
        if path == "/kv-txn":
            stale = [r for r in body["expectedRev"]
                     if self.items.get(r["key"], {}).get("revision", 0) != r["revision"]]
            if stale:
                return 412, {"items": [self.items[r["key"]] for r in stale if r["key"] in self.items]}
            if any(p.get("lease") and p["lease"] not in self.leases for p in body["puts"]):
                return 404, {}
            for p in body["puts"]:
                await self.put(p["key"], base64.b64decode(p["value"]), p.get("lease", 0))
            for key in body["deletes"]:
                await self.delete(key)
            return 200, {"revision": self.rev}
        return 400, {}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)):
                method, target, _ = head[0].split(" ")
                data = await reader.readexactly(int(head[1].get("content-length", 0)))
                path, _, rest = target.partition("?")
                query = {k: v for k, _, v in (x.partition("=") for x in rest.split("&") if x)}
                self.calls += 1
                # The stand-in answers after 4 ms, as the store of the small sites does.
                await asyncio.sleep(0.004)
                status, answer = await self.call(method, path, query, json.loads(data or b"{}"))
                if self.lose(method, path, query):
                    self.lost += 1
                    self.record("store: the answer is lost of", method, target)
                    while await reader.read(4096):
                        pass
                    break
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (
                    status, len(text)) + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def manifest(self, version, routes, services):
        """routes: (prefix, kind, service, timeoutMs, sloMs, priority)."""
        cols = ["name", "host", "prefix", "kind", "timeoutMs", "sloMs", "priority", "backends", "maxAttempts",
                "sticky", "homeRegions", "service"]
        rows = [["r-" + p.strip("/"), HOST, p, kind, timeout, slo, rank, None, 2, True, [], service]
                for p, kind, service, timeout, slo, rank in routes]
        await self.put("op/config", {
            "version": "%08x" % version, "routes": {"cols": cols, "rows": rows},
            "services": {"cols": ["name", "healthPath", "maxConns", "protocol", "tls", "coldStartS", "coldPerS"],
                         "rows": [[n, "/healthz", 878, "h1", False, 3.0, 9.1] for n in services]},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        self.record("operator: manifest", version, "is acknowledged")


class Target:
    """A target: runs requests in its slots, queues some, rejects the rest with Not-Executed, and drops a request when
    its connection closes."""

    def __init__(self, store, service, zone, slots=4, work=0.15, queue=9):
        self.store, self.record, self.service, self.zone = store, store.record, service, zone
        self.id, self.slots, self.work, self.queue = "i-%010x" % random.getrandbits(40), slots, work, queue
        self.running, self.waiting, self.state, self.ran = 0, [], "ready", []
        self.born, self.open = int(time.time() * 1000), set()
        # Called with (time, Attempt-Id) for each request that arrives.
        self.arrived = lambda at, ident: None

    async def start(self, addr=None):
        self.server = await asyncio.start_server(self.serve, NET + "1", 0, limit=1 << 22)
        self.addr = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await self.register()

    async def register(self):
        await self.store.put("servers/" + self.id, {
            "addr": self.addr, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "seq": 1, "coldMs": 0}})
        self.record("target", self.id, self.service, self.state, "is acknowledged")

    async def drain(self):
        self.state = "draining"
        await self.register()
        return time.monotonic()

    async def slot(self):
        if self.running < self.slots:
            self.running += 1
            return True
        if len(self.waiting) >= self.queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self.waiting:
                self.waiting.remove(turn)
            elif turn.done() and not turn.cancelled():
                self.leave()
            raise
        return True

    def leave(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(True)
                return
        self.running -= 1

    async def run(self, ident):
        if not await self.slot():
            return False
        try:
            self.record("target", self.id, "runs", ident)
            self.ran.append(ident)
            await asyncio.sleep(self.work)
        finally:
            self.leave()
        return True

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while (head := await asyncio.wait_for(read_head(reader), 10)):
                method, target, _ = head[0].split(" ")
                fields, body = head[1], b""
                if "content-length" in fields:
                    body = await reader.readexactly(int(fields["content-length"]))
                ident, status, more, data = fields.get("attempt-id", ""), 200, "", b""
                if target == "/healthz":
                    status = 200 if self.state == "ready" else 503
                    more = "Instance-Id: %s\r\n" % self.id
                elif fields.get("expect-instance", self.id) != self.id:
                    status, more = 421, "Instance-Id: %s\r\n" % self.id
                elif not ident:
                    status, more = 400, "Not-Executed: 1\r\n"
                else:
                    self.arrived(time.monotonic(), ident)
                    work = asyncio.ensure_future(self.run(ident))
                    closed = asyncio.ensure_future(reader.read(1))
                    await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
                    if closed.done() and not work.done():
                        work.cancel()
                        self.record("target", self.id, "drops", ident)
                        return
                    closed.cancel()
                    if work.result():
                        data = ("%s %s %s %d" % (self.service, target, ident, len(body))).encode()
                        more = "Attempt-Id: %s\r\nResponse-Seal: %s.%s\r\n" % (ident, self.id, ident)
                    else:
                        status, more = 503, "Not-Executed: 1\r\n"
                last = self.state != "ready"
                more += "Server-Load: %d,%d,%d\r\n" % (self.running, len(self.waiting), self.slots)
                more += "Connection: close\r\n" if last else "Keep-Alive: timeout=10\r\n"
                writer.write(("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (status, more, len(data))).encode()
                             + data)
                await writer.drain()
                if last:
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def end(self):
        """The process ends: nothing listens, and all connections are closed."""
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


class Vm:
    """A pst-steerd process on an address of its own, with the rendered settings of the deploy folder."""

    count = 0

    def __init__(self, store, name, zone, region, zones, ports):
        Vm.count += 1
        self.name, self.ip = name, NET + str(10 + Vm.count)
        self.dir = tempfile.TemporaryDirectory(prefix="review-")
        front, ready, directory, peer = ports
        self.front, self.ready, self.directory = (
            "%s:%d" % (self.ip, p) for p in (front, ready, directory))
        fields = {"nodeName": name, "region": region, "zone": zone, "ip": self.ip, "portRange": [peer, peer + 15],
                  "listen": {"front": self.front, "ready": self.ready, "directory": self.directory},
                  "platform": {"addr": store.addr}, "zones": zones, "bounds": BOUNDS,
                  "limits": {"maxFds": 2870, "memoryMb": 182, "linkMbps": 700.0}}
        self.settings = os.path.join(self.dir.name, "settings.conf")
        with open(os.path.join(ROOT, "deploy/settings.yaml.in")) as f, open(self.settings, "w") as out:
            out.write(render(f.read(), fields))
        self.start()

    def start(self):
        with open(os.path.join(self.dir.name, "log"), "ab") as log:
            self.process = subprocess.Popen(
                RUN + [self.settings], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.dir.name,
                     "PISTACHIOSTAGE_CONFIG": self.settings})

    def log(self, *words):
        with open(os.path.join(self.dir.name, "log"), errors="replace") as f:
            return [x.rstrip() for x in f if all(w in x for w in words)]

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while True:
            try:
                if (await ask(self.ready, "GET", "/readyz"))[0] == 200:
                    return
            except OSError:
                pass
            if time.monotonic() > end or self.process.poll() is not None:
                raise Unable("%s is not ready: %s" % (self.name, self.log()[-3:]))
            await asyncio.sleep(0.05)

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(8)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.dir.cleanup()


def vm_ports():
    """Ports that all VMs of a run use, each at its own address."""
    return free_ports(NET + "10", 4)


def ident():
    return "%016x" % random.getrandbits(64)


def request(method, path, name, key, deadline_ms, body=b"", more=""):
    head = "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCookie: Affinity-Key=%s\r\nDeadline-Ms: %d\r\n%s" % (
        method, path, HOST, name, key, deadline_ms, more)
    if method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


async def read_answer(reader):
    """Status, headers and body; None if the connection ended before a whole answer."""
    head = await read_head(reader)
    if not head:
        return None
    try:
        body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return int(head[0].split(" ")[1]), head[1], body


async def ask(addr, method, path, name="", key="1", deadline_ms=3000, body=b""):
    """One request on a new connection. Status 0: the connection ended, or the time was over, without an answer."""
    host, port = addr.split(":")
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 22), 1)
    try:
        writer.write(request(method, path, name or ident(), key, deadline_ms, body))
        return await asyncio.wait_for(read_answer(reader), deadline_ms / 1000) or (0, {}, b"")
    except (asyncio.TimeoutError, OSError):
        return 0, {}, b""
    finally:
        writer.close()


async def resolve(vm, region, zone):
    status, _, body = await ask(vm.directory, "GET", "/resolve?name=%s&region=%s&zone=%s" % (HOST, region, zone))
    return json.loads(body)["addrs"] if status == 200 else []


def main(folder, case):
    """Runs the case: case(record) returns whether the rule held. Exits with 0, 1 or 2 (it could not run)."""
    record, vms = Record(os.path.dirname(os.path.abspath(folder))), []

    async def bounded():
        return await asyncio.wait_for(case(record, vms), 110)

    try:
        held = asyncio.run(bounded())
        status = 0 if held else 1
        record.say("result: the rule", "held" if held else "was broken", "(trouble %s)" % ("on" if TROUBLE else "off"))
    except (Unable, OSError, asyncio.TimeoutError) as e:
        record.say("result: could not run:", type(e).__name__, e)
        status = 2
    finally:
        for vm in vms:
            vm.stop()
    record.file.close()
    sys.stdout.flush()
    os._exit(status)
