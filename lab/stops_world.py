"""What a run of planned stops has around the VMs: upstreams with slots, callers, and links between callers and VMs.

All of it runs on one event loop, on plain sockets: what a peer sent before it reset a connection is still read, and
a failed write ends no reading."""
import asyncio
import collections
import contextlib
import fcntl
import random
import socket
import struct
import termios
import time

HOST = "h.example"
PATHS = {"safe": "/a/", "unsafe": "/o/", "upload": "/u/"}
LINGER_RESET = struct.pack("ii", 1, 0)
# Requests that wait at an upstream, for each of its slots.
QUEUE_RATIO = 3
# How long after its time budget a caller leaves.
LEAVE_S = 0.2
READ_BYTES = 65536


def now():
    return time.monotonic()


def abort(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()


def unsent(sock):
    try:
        return struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, b"\0" * 4))[0]
    except OSError:
        return 0


class Run:
    """A request at an upstream, from its arrival to its end: answered, dropped by the VM, or broken off."""

    def __init__(self, upstream, ident):
        self.upstream, self.id = upstream, ident
        self.at, self.begun, self.ended, self.end = now(), 0.0, 0.0, "open"

    def __str__(self):
        return "%s %s %.3f..%.3f" % (self.upstream, self.end, self.at, self.ended)


class Upstream:
    """Runs as many requests at a time as it has slots; the others wait in order of arrival."""

    def __init__(self, name, service, slots, work, spread, answer_bytes, rng):
        self.name, self.service, self.slots, self.rng = name, service, slots, rng
        self.work, self.spread = work, spread
        self.answer_bytes = answer_bytes
        self.free, self.waiting, self.idle, self.closed = slots, collections.deque(), set(), set()
        self.runs, self.state = [], "ready"
        self.server = None

    async def begin(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.addr = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"addr": self.addr, "info": {"service": self.service, "version": "v1", "zone": "d1",
                                            "slots": self.slots},
                "status": {"state": self.state, "seq": 1, "coldMs": 0}, "born": 1700000000000}

    def close_idle(self):
        """Closes the kept connections that no request is on."""
        for writer in list(self.idle):
            self.closed.add(writer)
            writer.close()

    async def serve(self, reader, writer):
        try:
            while True:
                self.idle.add(writer)
                head = await reader.readuntil(b"\r\n\r\n")
                self.idle.discard(writer)
                line, *fields = head.decode().strip().split("\r\n")
                fields = {k.lower(): v.strip() for k, v in (f.split(":", 1) for f in fields)}
                await reader.readexactly(int(fields.get("content-length", 0)))
                if writer in self.closed:
                    # It came while the upstream closed, which has not run it.
                    self.note_end(self.new_run(fields.get("attempt-id", "")), "broke")
                    break
                if not await self.one(reader, writer, line.split()[1], fields):
                    break
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.idle.discard(writer)
            self.closed.discard(writer)
            writer.close()

    def new_run(self, ident):
        self.runs.append(Run(self.name, ident))
        return self.runs[-1]

    async def one(self, reader, writer, path, fields):
        """Answers a request; returns whether the connection goes on."""
        ident = fields.get("attempt-id", "")
        if fields.get("expect-instance", self.name) != self.name:
            writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return True
        if not ident:
            writer.write(("HTTP/1.1 200 X\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.name).encode())
            return True
        if not self.free and len(self.waiting) >= self.slots * QUEUE_RATIO:
            writer.write(("HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" %
                          ident).encode())
            return True
        run = self.new_run(ident)
        if not await self.work_on(run, reader):
            return False
        body = ("%s:%s;" % (self.name, path)).encode()
        body += b"." * (self.answer_bytes - len(body))
        load = "%d,%d,%d" % (self.slots - self.free, len(self.waiting), self.slots)
        writer.write(("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nServer-Load: %s\r\n"
                      "Content-Length: %d\r\n\r\n" % (ident, self.name, load, len(body))).encode() + body)
        await writer.drain()
        return True

    async def work_on(self, run, reader):
        """Waits for a slot and works; False when the VM closed the connection meanwhile."""
        left = asyncio.ensure_future(reader.read(1))
        try:
            if self.free:
                self.free -= 1
            else:
                slot = asyncio.get_running_loop().create_future()
                self.waiting.append(slot)
                await asyncio.wait({left, slot}, return_when=asyncio.FIRST_COMPLETED)
                if not slot.done():
                    self.waiting.remove(slot)
                    return self.note_end(run, "dropped")
            run.begun = now()
            await asyncio.wait({left}, timeout=self.work * (1 + self.rng.uniform(-self.spread, self.spread)))
            self.release()
            return self.note_end(run, "dropped" if left.done() else "done")
        finally:
            left.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await left

    def release(self):
        while self.waiting:
            slot = self.waiting.popleft()
            if not slot.done():
                slot.set_result(None)
                return
        self.free += 1

    @staticmethod
    def note_end(run, end):
        run.ended, run.end = now(), end
        return end == "done"


class Link:
    """A relay in front of a VM with a delay each way and small buffers. Ends and resets arrive behind what was sent
    before them."""

    def __init__(self, target, delay, window):
        self.target, self.delay, self.window = target, delay, window

    async def begin(self):
        self.listener = socket.socket()
        if self.window:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
        self.listener.setblocking(False)
        self.addr = "127.0.0.1:%d" % self.listener.getsockname()[1]
        asyncio.ensure_future(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            near, _ = await loop.sock_accept(self.listener)
            asyncio.ensure_future(self.join(near))

    async def join(self, near):
        far = socket.socket()
        for sock in (near, far):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.window:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.window)
        await asyncio.sleep(self.delay)
        host, port = self.target.split(":")
        try:
            await asyncio.get_running_loop().sock_connect(far, (host, int(port)))
        except OSError:
            abort(near)
            far.close()
            return
        resets = await asyncio.gather(self.pump(near, far), self.pump(far, near))
        for sock in (near, far):
            if any(resets):
                abort(sock)
            else:
                sock.close()

    async def pump(self, source, sink):
        """Returns whether the source reset its connection."""
        queue = asyncio.Queue(64)
        asyncio.ensure_future(self.fill(source, queue))
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(due - now(), 0))
            if isinstance(data, bytes) and data:
                with contextlib.suppress(OSError):
                    await loop.sock_sendall(sink, data)
                continue
            if data == b"":
                with contextlib.suppress(OSError):
                    sink.shutdown(socket.SHUT_WR)
                return False
            while unsent(sink):
                await asyncio.sleep(0.005)
            abort(sink)
            return True

    async def fill(self, source, queue):
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await loop.sock_recv(source, min(self.window or READ_BYTES, READ_BYTES))
            except OSError:
                data = None
            await queue.put((now() + self.delay, data))
            if not data:
                return


class Request:
    def __init__(self, ident, kind, vm, budget):
        self.id, self.kind, self.vm, self.budget = ident, kind, vm, budget
        self.path = PATHS[kind] + ident
        self.began = self.sent = self.end = 0.0
        # Outcome: answer, closed, left (by the caller) or open.
        self.outcome, self.status, self.head, self.got, self.size = "open", 0, {}, 0, -1
        self.ahead = 0
        # An answer before it on its connection said that the connection closes.
        self.after_close = False
        self.reset = False
        self.mark = b""

    def whole(self):
        return self.outcome == "answer" and self.size >= 0 and self.got == self.size


class Conn:
    """A caller's connection: sends requests, reads their answers in order, notes what became of each."""

    def __init__(self, world, vm, kind):
        self.world, self.vm, self.kind = world, vm, kind
        self.out, self.marks, self.taken = bytearray(), collections.deque(), 0
        self.open, self.data, self.reading = collections.deque(), bytearray(), None
        self.closing = self.over = False
        self.hold_until = 0.0
        self.changed = asyncio.Event()
        self.sock = socket.socket()
        if world.args.receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, world.args.receive_buffer)
        self.sock.setblocking(False)

    async def connect(self):
        """Returns whether the connection was made."""
        host, port = self.world.address(self.vm).split(":")
        self.loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(self.loop.sock_connect(self.sock, (host, int(port))), 1)
        except (OSError, asyncio.TimeoutError):
            self.sock.close()
            return False
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop.add_reader(self.sock, self.on_readable)
        self.world.conns.add(self)
        return True

    def send(self, body=b"", part=None):
        """Sends a request, or only its first part when one is given; the rest follows with send_rest()."""
        request = Request(self.world.new_id(), self.kind, self.vm, self.world.args.budget)
        request.began, request.ahead, request.after_close = now(), len(self.open), self.closing
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCookie: Affinity-Key=%d\r\n" % (
            "GET" if self.kind == "safe" else "POST", request.path, HOST, request.id, int(request.budget * 1000),
            self.world.rng.randint(1, 60))
        if self.kind == "upload" and self.world.rng.random() < 0.5:
            head += "Transfer-Encoding: chunked\r\n"
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        elif self.kind != "safe":
            head += "Content-Length: %d\r\n" % len(body)
        data = head.encode() + b"\r\n" + body
        first = data if part is None else data[:int(len(data) * part)]
        self.open.append(request)
        self.world.requests.append(request)
        self.rest = data[len(first):]
        self.put(first, request if part is None else None)
        return request

    def send_rest(self, request):
        self.put(self.rest, request)

    def put(self, data, request):
        self.out += data
        if request:
            self.marks.append((self.taken + len(self.out), request))
        self.write()

    def write(self):
        while self.out:
            try:
                count = self.sock.send(self.out)
            except BlockingIOError:
                self.loop.add_writer(self.sock, self.write)
                return
            except OSError:
                # What was sent before is answered, or the connection's end is read.
                self.out.clear()
                break
            del self.out[:count]
            self.taken += count
            while self.marks and self.marks[0][0] <= self.taken:
                self.marks.popleft()[1].sent = now()
        if not self.over:
            self.loop.remove_writer(self.sock)

    def on_readable(self):
        rate = self.world.args.read_rate
        try:
            data = self.sock.recv(min(READ_BYTES, max(rate // 20, 1)) if rate else READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.finish("closed", reset=True)
            return
        if not data:
            self.finish("closed")
            return
        self.data += data
        self.parse()
        if rate and not self.over:
            self.loop.remove_reader(self.sock)
            self.loop.call_later(len(data) / rate, self.read_on)

    def read_on(self):
        if not self.over:
            self.loop.add_reader(self.sock, self.on_readable)

    def parse(self):
        while self.data and not self.over:
            if not self.reading:
                if not self.open:
                    self.world.strays.append((self.vm.name, now(), bytes(self.data[:80])))
                    return self.finish("closed")
                cut = self.data.find(b"\r\n\r\n")
                if cut < 0:
                    return None
                self.read_head(bytes(self.data[:cut]))
                del self.data[:cut + 4]
            request = self.reading
            count = min(len(self.data), request.size - request.got)
            if len(request.mark) < 80:
                request.mark += bytes(self.data[:min(count, 80)])
            request.got += count
            del self.data[:count]
            if request.got < request.size:
                return None
            self.reading = None
            self.open.popleft()
            request.outcome, request.end = "answer", now()
            self.changed.set()
            if self.closing:
                return self.finish("closed")
        return None

    def read_head(self, text):
        request = self.reading = self.open[0]
        line, *fields = text.decode().split("\r\n")
        request.status = int(line.split()[1])
        request.head = {k.lower(): v.strip() for k, v in (f.split(":", 1) for f in fields)}
        request.size = int(request.head.get("content-length", 0))
        self.closing = request.head.get("connection") == "close"
        # A refused caller comes back no sooner than it was told, or a third of its time later.
        self.hold_until = now() + min(float(request.head.get("retry-after", 0)), request.budget / 3)

    def finish(self, outcome, reset=False):
        if self.over:
            return
        self.over = True
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        self.world.conns.discard(self)
        for request in self.open:
            request.outcome, request.end, request.reset = outcome, now(), reset
            if self.closing and request is not self.reading:
                request.after_close = True
        self.changed.set()

    def is_late(self):
        """Whether the first open request is past its budget, so that a caller leaves."""
        return bool(self.open) and now() > self.open[0].began + self.open[0].budget + LEAVE_S

    async def until_change(self, seconds):
        self.changed.clear()
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self.changed.wait(), seconds)
        if self.is_late():
            self.finish("left")


class World:
    """The callers, and what they and the upstreams have seen."""

    def __init__(self, args, vms, upstreams):
        self.args, self.vms, self.upstreams = args, vms, upstreams
        self.rng = random.Random(args.seed + 1)
        self.requests, self.conns, self.strays, self.over, self.count = [], set(), [], False, 0
        self.links, self.tasks = {}, []

    def new_id(self):
        self.count += 1
        return "s%d-%d" % (self.args.seed, self.count)

    def address(self, vm):
        return self.links[vm.name].addr if vm.name in self.links else vm.front

    async def begin(self):
        if self.args.delay or self.args.window:
            for vm in self.vms:
                self.links[vm.name] = Link(vm.front, self.args.delay, self.args.window)
                await self.links[vm.name].begin()
        for i in range(self.args.callers):
            self.tasks.append(asyncio.ensure_future(self.caller(self.keen, i)))
        for kind, count in (("unsafe", self.args.unsafe), ("upload", self.args.uploads)):
            for _ in range(count):
                self.tasks.append(asyncio.ensure_future(self.caller(self.single, kind)))

    async def end(self):
        """Lets the callers read what is still due."""
        self.over = True
        await asyncio.wait(self.tasks, timeout=self.args.budget + 2)

    async def caller(self, use, which):
        while not self.over:
            await use(self.rng.choice(self.vms), which)
            await asyncio.sleep(self.rng.uniform(0, 2 * self.args.pause))

    async def keen(self, vm, index):
        """Keeps safe requests ahead on a connection until it ends; connections differ in how many."""
        conn = Conn(self, vm, "safe")
        if not await conn.connect():
            return
        most = self.args.ahead
        ahead = 1 + (index * 7 + self.rng.randrange(3)) % most if self.args.mixed else most
        while not conn.over:
            while not self.over and len(conn.open) < ahead and not conn.over and now() >= conn.hold_until:
                conn.send()
            if self.over and not conn.open:
                return conn.finish("left")
            await conn.until_change(min(max(conn.hold_until - now(), 0.005), 0.1) if len(conn.open) < ahead else 0.1)
            if self.args.pause:
                await asyncio.sleep(self.rng.uniform(0, 2 * self.args.pause))
        return None

    async def single(self, vm, kind):
        """Unsafe requests each on a connection of its own; uploads some on one, now and then with a pause within."""
        conn = Conn(self, vm, kind)
        if not await conn.connect():
            return
        for _ in range(1 if kind == "unsafe" else self.rng.randint(2, 12)):
            size = self.rng.randint(20000, 150000) if kind == "upload" else 200
            slow = kind == "upload" and self.rng.random() < 0.3
            request = conn.send(b"x" * size, self.rng.uniform(0.1, 0.9) if slow else None)
            if slow:
                await asyncio.sleep(self.rng.uniform(0, 1.2))
                if not conn.over:
                    conn.send_rest(request)
            while conn.open and not conn.over:
                await conn.until_change(0.1)
            if conn.over or self.over:
                break
            await asyncio.sleep(self.rng.uniform(0, 2 * self.args.pause))
        conn.finish("left")

    # What comes right before a stop.

    async def burst(self, vm, count, kind="safe"):
        """New connections with a request each."""
        async def one():
            conn = Conn(self, vm, kind)
            if await conn.connect():
                conn.send(b"" if kind == "safe" else b"x" * 200)
                while conn.open and not conn.over:
                    await conn.until_change(0.1)
                conn.finish("left")
        for _ in range(count):
            self.tasks.append(asyncio.ensure_future(one()))

    async def half_sent(self, vm, count):
        """Requests whose rest comes after a stop has begun."""
        async def one(kind, wait):
            conn = Conn(self, vm, kind)
            if not await conn.connect():
                return
            request = conn.send(b"" if kind == "safe" else b"x" * 3000, self.rng.uniform(0.1, 0.9))
            await asyncio.sleep(wait)
            if not conn.over:
                conn.send_rest(request)
            while conn.open and not conn.over:
                await conn.until_change(0.1)
            conn.finish("left")
        for i in range(count):
            kind = ("safe", "unsafe", "upload")[i % 3]
            self.tasks.append(asyncio.ensure_future(one(kind, self.rng.uniform(0, self.args.late))))

    def in_answer(self, vm):
        """Whether a caller of the VM has read a part of an answer."""
        return any(c.vm is vm and c.reading for c in list(self.conns))
