"""Runs a deployment on loopback: stand-ins and daemons as plain processes.

Every VM has an address of its own, 127.NET.DOMAIN.HOST; NET keeps labs that
run side by side apart.
"""
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# Settings, logs and journals of each run.
RUNS = os.path.join(ROOT, "build", "lab")

# Ports, the same on every VM; the defaults of conf/example.yaml.
ENTRY_PORT, ENTRY_ADMIN_PORT = 8080, 8082
CONTROL_ADMIN_PORT = 8084
LOOKUP_PORT, LOOKUP_ADMIN_PORT = 8085, 8086
PLATFORM_PORT = 2379
UPSTREAM_PORT = 9000
LINK_PORT = 7000
GUARD_PORT = 7999

# Requests that an upstream lets wait for a slot before it sheds.
UPSTREAM_QUEUE = 2

PLATFORM_DOMAIN = 100
LINK_DOMAIN = 200
FIRST_UPSTREAM_HOST = 101

READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20


def read_yaml(path):
    """Reads the subset of YAML that conf/*.yaml uses: nested scalars."""
    root = {}
    stack = [(-1, root)]
    with open(path) as f:
        for line in f:
            text = line.split("#")[0].rstrip()
            if not text:
                continue
            indent = len(text) - len(text.lstrip())
            key, _, value = text.strip().partition(":")
            while stack[-1][0] >= indent:
                stack.pop()
            if value.strip():
                stack[-1][1][key] = scalar(value.strip())
            else:
                child = {}
                stack[-1][1][key] = child
                stack.append((indent, child))
    return root


def scalar(text):
    try:
        return int(text)
    except ValueError:
        return text


def get(url, timeout=2):
    with urllib.request.urlopen(url, timeout=timeout) as r:
        return r.read()


def post(url, body, method="POST", timeout=5):
    data = json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as r:
        return r.read()


def wait_for(condition, timeout=READY_TIMEOUT_S, what="condition"):
    """Waits until condition() is true; returns the seconds it took."""
    began = time.monotonic()
    while time.monotonic() - began < timeout:
        try:
            if condition():
                return time.monotonic() - began
        except (OSError, ValueError):
            pass
        time.sleep(0.02)
    raise TimeoutError(what)


def reserve_net(wanted):
    """Takes a network for this lab alone; the socket keeps others off it."""
    first = wanted or 1 + os.getpid() % 250
    for net in [first] if wanted else [1 + (first + i) % 250 for i in range(250)]:
        guard = socket.socket()
        try:
            guard.bind(("127.%d.255.1" % net, GUARD_PORT))
            return net, guard
        except OSError:
            guard.close()
    raise OSError("no free loopback network")


class Vm:
    """An entry VM or an upstream."""

    def __init__(self, id, kind, region, domain, address, service=None, slots=0):
        self.id, self.kind, self.region, self.domain = id, kind, region, domain
        self.address, self.service, self.slots = address, service, slots
        self.state = "live"

    def listed(self):
        row = {"id": self.id, "kind": self.kind, "state": self.state, "region": self.region,
               "failure_domain": self.domain, "address": self.address}
        if self.kind == "upstream":
            row.update(port=UPSTREAM_PORT, service=self.service, slots=self.slots)
        return row

    def url(self, port, path=""):
        return "http://%s:%d%s" % (self.address, port, path)


class Lab:
    def __init__(self, conf, full=False, net=None, settings=None, bin_dir=None, vary=True,
                 row_cells=None, targets=None):
        """
        settings: {section: {key: value}} over every VM's settings file; vary:
        exponential running times; row_cells: {cell: value} over every row of
        the table; targets: number of upstreams of a service.
        """
        self.conf = read_yaml(os.path.join(ROOT, conf))
        self.full = full
        self.net, self._guard = reserve_net(net or int(os.environ.get("PST_LAB_NET", 0)))
        self.settings = settings or {}
        self.vary = vary
        self.targets = targets or {}
        self.row_cells = row_cells or {}
        self.bin = bin_dir or os.environ.get("PST_BIN", os.path.join(ROOT, "build/bin"))
        os.makedirs(RUNS, exist_ok=True)
        self.dir = tempfile.mkdtemp(prefix="%s-" % self.conf["name"], dir=RUNS)
        self.procs = {}
        self.entries, self.upstreams = [], []
        self._lay_out()

    def _lay_out(self):
        self.regions = self.conf["regions"].split()
        per = self.conf["domains_per_region"]
        self.domains = [("%s-%d" % (r, i + 1), r) for r in self.regions for i in range(per)]
        size = "" if self.full else "_small"
        for i in range(self.conf["entry_vms" + size]):
            self.entries.append(self._vm("entry-%d" % (i + 1), "entry", i, 1 + i // len(self.domains)))
        host = FIRST_UPSTREAM_HOST
        for name, service in self.conf["services"].items():
            count = self.targets.get(name, service["targets" + size])
            for i in range(count):
                self.upstreams.append(self._vm("%s-%d" % (name, i + 1), "upstream", i,
                                               host + i // len(self.domains), name, service["slots"]))
            host += 1 + count // len(self.domains)

    def _vm(self, id, kind, i, host, service=None, slots=0):
        d = i % len(self.domains)
        name, region = self.domains[d]
        return Vm(id, kind, region, name, "127.%d.%d.%d" % (self.net, d + 1, host), service, slots)

    @property
    def platform(self):
        return "http://127.%d.%d.1:%d" % (self.net, PLATFORM_DOMAIN, PLATFORM_PORT)

    def entry(self, id):
        return next(e for e in self.entries if e.id == id)

    def upstream(self, id):
        return next(u for u in self.upstreams if u.id == id)

    def path(self, name):
        return os.path.join(self.dir, name)

    # Processes

    def spawn(self, name, program, *args):
        log = open(self.path(name + ".log"), "ab")
        self.procs[name] = subprocess.Popen([os.path.join(self.bin, program), *args],
                                            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, name, number):
        self.procs[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.procs.pop(name).wait()

    def terminate(self, name, timeout=STOP_TIMEOUT_S):
        """Planned stop; returns the exit status."""
        self.signal(name, signal.SIGTERM)
        return self.procs.pop(name).wait(timeout)

    def log(self, name):
        with open(self.path(name + ".log"), errors="replace") as f:
            return f.read()

    def stop(self, keep=False):
        for p in self.procs.values():
            p.send_signal(signal.SIGCONT)
            p.kill()
        for p in self.procs.values():
            p.wait()
        self.procs = {}
        if not keep:
            shutil.rmtree(self.dir, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        self.stop(keep=exc[0] is not None)
        if exc[0] is not None:
            print("logs kept in", self.dir)

    # Start

    def proxies(self, region):
        """region -> address:port of the link's end for that region."""
        out = {}
        for i, (a, b) in enumerate(self.links()):
            if region in (a, b):
                end, other = (1, b) if region == a else (2, a)
                out[other] = "%s:%d" % (self._link_address(i + 1), LINK_PORT + end)
        return out

    def links(self):
        return [(a, b) for i, a in enumerate(self.regions) for b in self.regions[i + 1:]]

    def write_settings(self, vm):
        sections = {
            "vm": {"id": vm.id, "region": vm.region, "failure_domain": vm.domain, "address": vm.address},
            "platform": {"store_url": self.platform, "list_url": self.platform + "/v1/vms"},
            "net": {"peers": '["127.%d.*"]' % self.net,
                    "proxies": "[%s]" % ", ".join('"%s=%s"' % p for p in self.proxies(vm.region).items())},
        }
        for section, values in self.settings.items():
            sections.setdefault(section, {}).update(values)
        with open(self.path(vm.id + ".yaml"), "w") as f:
            for section, values in sections.items():
                f.write(section + ":\n")
                for key, value in values.items():
                    f.write("  %s: %s\n" % (key, value))

    def publish_vms(self):
        vms = [v.listed() for v in self.entries + self.upstreams if v.state != "gone"]
        post(self.platform + "/fake/vms", {"vms": vms}, method="PUT")

    def start_platform(self):
        self.spawn("platform", "fake-platform", "--address=127.%d.%d.1" % (self.net, PLATFORM_DOMAIN),
                   "--port=%d" % PLATFORM_PORT)
        wait_for(lambda: get(self.platform + "/v1/vms"), what="platform")

    def start_links(self, mbps=None):
        """mbps: rate of the links themselves, other than the deployment's."""
        args = ["--address=" + self._link_address(0), "--port=%d" % LINK_PORT]
        for i, (a, b) in enumerate(self.links()):
            address = self._link_address(i + 1)
            args.append("--link=a=%s,b=%s,listen_a=%s:%d,listen_b=%s:%d,delay_us=%d,mbps=%d" % (
                a, b, address, LINK_PORT + 1, address, LINK_PORT + 2,
                self.conf["region_delay_ms"] * 1000, mbps or self.conf["link_mbps"]))
        self.spawn("link", "fake-link", *args)
        wait_for(lambda: self.link_stats(), what="link")

    def _link_address(self, i):
        return "127.%d.%d.%d" % (self.net, LINK_DOMAIN, i + 1)

    @property
    def link(self):
        return "http://%s:%d" % (self._link_address(0), LINK_PORT)

    def link_stats(self):
        return json.loads(get(self.link + "/fake/stats"))["links"]

    def journal(self, u):
        return self.path(u.id + ".journal")

    def start_upstream(self, u, *options):
        service = self.conf["services"][u.service]
        self.spawn(u.id, "fake-upstream", "--id=" + u.id, "--service=" + u.service,
                   "--slots=%d" % u.slots, "--queue=%d" % UPSTREAM_QUEUE,
                   "--port=%d" % UPSTREAM_PORT, "--mean-ms=%d" % service["service_ms"], *(["--vary"] if self.vary else []),
                   "--seed=%d" % (1 + len(self.procs)), "--journal=" + self.journal(u),
                   "--address=" + u.address, *options)

    def start_daemon(self, vm, name):
        self.spawn("%s.%s" % (vm.id, name), "pst-" + name,
                   "--settings", self.path(vm.id + ".yaml"))

    def start_entry_vm(self, vm):
        self.write_settings(vm)
        for name in ("controld", "lookupd", "entryd"):
            self.start_daemon(vm, name)

    def pstctl(self, *args, vm=None, check=True):
        vm = vm or self.entries[0]
        return subprocess.run([os.path.join(self.bin, "pstctl"), "--settings", self.path(vm.id + ".yaml"), *args],
                              capture_output=True, text=True, timeout=60, check=check)

    def load_table(self):
        with open(os.path.join(ROOT, self.conf["table"])) as f:
            table = json.load(f)
        for service in table["services"].values():
            for row in service["rows"]:
                row.update(self.row_cells)
        path = self.path("table.json")
        with open(path, "w") as f:
            json.dump(table, f)
        return self.pstctl("table", "load", path)

    def serving(self, vm):
        service = next(iter(self.conf["services"]))
        return get(vm.url(LOOKUP_PORT, "/v1/lookup?service=%s&block=x" % service)) and \
            get(vm.url(ENTRY_PORT, "/s/%s/ready" % service))

    def start(self, link_mbps=None, upstream_options=()):
        self.start_platform()
        self.start_links(link_mbps)
        for u in self.upstreams:
            self.start_upstream(u, *upstream_options)
        self.publish_vms()
        for vm in self.entries:
            self.write_settings(vm)
        self.load_table()
        for vm in self.entries:
            self.start_entry_vm(vm)
        for vm in self.entries:
            wait_for(lambda: self.serving(vm), what=vm.id + " serving")

    # Orders to the stand-ins and questions to the daemons

    def fault(self, where, kind, **fields):
        """where: "platform", "link" or an upstream's name."""
        base = {"platform": self.platform, "link": self.link}.get(where) or self.upstream(where).url(UPSTREAM_PORT)
        post(base + "/fake/fault", dict(fields, kind=kind))

    def mark(self, id, state):
        """Changes a VM's state in the platform's list, where it shows after its lag."""
        post(self.platform + "/fake/vms/state", {"id": id, "state": state})

    def upstream_stats(self, id):
        return json.loads(get(self.upstream(id).url(UPSTREAM_PORT, "/fake/stats")))

    def admin(self, vm, port, path):
        """Asks a daemon's endpoint for operators, from the VM's own address."""
        conn = http.client.HTTPConnection(vm.address, port, timeout=3, source_address=(vm.address, 0))
        try:
            conn.request("GET", path)
            return conn.getresponse().read().decode()
        finally:
            conn.close()

    def metric(self, vm, port, name):
        """Sum of the metric over its labels."""
        total = 0.0
        for line in self.admin(vm, port, "/metrics").splitlines():
            if line.split("{")[0].split(" ")[0] == name:
                total += float(line.rsplit(" ", 1)[1])
        return total

    def status(self, vm=None):
        """pstctl status: VM name to its fields."""
        out = self.pstctl("--json", "status", vm=vm, check=False).stdout
        return {row["vm"]: row for row in map(json.loads, out.splitlines())}

    def wait_serving(self, vm, timeout=READY_TIMEOUT_S):
        return wait_for(lambda: self.serving(vm), timeout, vm.id + " serving")

    def restart_vm(self, vm):
        """A replacement of the VM: same address, nothing kept."""
        for name in ("controld", "lookupd", "entryd"):
            if "%s.%s" % (vm.id, name) not in self.procs:
                self.start_daemon(vm, name)
        return self.wait_serving(vm)

    # Measurement

    def memory_kib(self):
        total = 0
        for p in self.procs.values():
            with open("/proc/%d/statm" % p.pid) as f:
                total += int(f.read().split()[1]) * (os.sysconf("SC_PAGESIZE") // 1024)
        return total


def lookup_urls(lab):
    return [vm.url(LOOKUP_PORT) for vm in lab.entries]


def try_get(url):
    try:
        return get(url)
    except (OSError, urllib.error.HTTPError):
        return None
