"""A small deployment on loopback: the project's programs as separate processes, with the stand-ins of
servers, clients and the platform that the cases need. Only the standard library is used.

The programs are started with the commands of deploy/system.toml. Their settings files are rendered
from the templates in deploy/, with the bounds of the site file that the cases name.
"""
import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from relay import Relay

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "rev.example"
HEARTBEAT_S = 0.87  # beat_ms of the site file
BOUNDS = {"retry-share": 0.2, "retry-slack": 60, "retry-window-s": 10, "hold-max-s": 10,
          "stop-grace-s": 6, "drain-s": 2.5, "configApplyS": 2.5, "contactS": 3}
REGIONS = {"etela-a": "etela", "etela-b": "etela", "pohjoinen-a": "pohjoinen",
           "pohjoinen-b": "pohjoinen"}
ZONES = list(REGIONS)
DEADLINE_MS = 1500


class CannotRun(Exception):
    """The case cannot be played here; the script exits with 2."""


class Record:
    """Writes record.txt: a line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        """A line of the record that is shown as well."""
        self.write(text)
        self.file.flush()
        print(text, flush=True)


def free_base_port(ips, count):
    """First of `count` successive ports that are free on all addresses, below the ephemeral range."""
    for _ in range(200):
        base = random.randrange(12000, 30000)
        sockets = []
        try:
            for ip in ips:
                for port in range(base, base + count):
                    sock = socket.socket()
                    sockets.append(sock)
                    sock.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRun("no free ports")


def render(template, fields):
    """Fills in a template of deploy/ as DEPLOY.md says, as far as the project's templates use it."""
    def section(match):
        table = fields[match.group(1)]
        line = match.group(2)
        return "".join(line.replace("{{@}}", str(k)).replace("{{.}}", str(v))
                       for k, v in table.items())
    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def value(match):
        found = fields
        for name in match.group(1).split("."):
            found = found[int(name)] if name.isdigit() else found[name]
        if isinstance(found, bool):
            return str(found).lower()
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Node:
    """One process of the system."""

    def __init__(self, site, role, number):
        self.site, self.role, self.number = site, role, number
        self.name = f"{'core' if role == 'registry' else 'front'}-{number}"
        self.ip = f"{site.net}.{1 if role == 'registry' else 2}.{number}"
        self.bind_ip = self.ip.replace(".1.", ".4.") if site.relayed and role == "registry" else self.ip
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.process = None
        self.settings = site.folder / f"{self.name}.ini"
        self.log = open(site.folder / f"{self.name}.log", "ab")
        self.ended_by_platform = 0

    def write_settings(self, bootstrap):
        site = self.site
        deploy = site.deploy["roles"][self.role]
        fields = {"nodeName": self.name, "ip": self.ip, "zone": self.zone,
                  "internalPortRange": [site.port("internal"), site.port("internal")],
                  "seeds": site.seeds()[:3], "faultTolerance": {"machines": site.tolerated},
                  "heartbeatS": HEARTBEAT_S, "dataDir": str(site.folder / f"{self.name}.data"),
                  "bootstrap": bootstrap, "inTolerance": True, "bounds": BOUNDS, "zones": REGIONS,
                  "limits": {"memoryMb": 260 if self.role == "gateway" else 256},
                  "listen": {"front": f"{self.ip}:{site.port('front')}",
                             "readiness": f"{self.ip}:{site.port('readiness')}",
                             "control": f"{self.ip}:{site.port('control')}"}}
        text = render((ROOT / deploy["template"]).read_text(), fields)
        # The metrics port is the same on all machines; here the machines share one.
        text = text.replace("metrics-port = 9464", f"metrics-port = {site.port('metrics')}")
        if self.bind_ip != self.ip:  # a relay listens at the address that the others know
            text = text.replace(f"ip = {self.ip}\n", f"ip = {self.ip}\nbind-ip = {self.bind_ip}\n", 1)
        self.settings.write_text(text)

    def start(self):
        words = self.site.deploy["roles"][self.role]["run"].split(" ")
        words = [str(self.settings) if word.startswith("/etc/") else word for word in words]
        words[0] = str(ROOT / words[0])
        self.process = subprocess.Popen(words, stdout=self.log, stderr=self.log,
                                        stdin=subprocess.DEVNULL, cwd=ROOT)

    def is_up(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_up():
            self.process.send_signal(number)

    def end(self):
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def rss_mb(self):
        """Resident memory of the process in units of 10^6 bytes; 0 if it is not running."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) * 1024 / 1e6 if found else 0.0


async def call(method, address, path, body="", headers=None, timeout=1.0):
    """One HTTP call on a new connection; status 0 if there was no complete response in time."""
    ip, port = address.split(":")
    data = body if isinstance(body, bytes) else body.encode()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = "".join(f"{n}: {v}\r\n" for n, v in (headers or {}).items())
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                         f"Content-Type: application/json\r\n"
                         f"Content-Length: {len(data)}\r\n{lines}\r\n".encode() + data)
            status, received, text = await read_response(reader)
            return status, received, text
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError, IndexError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


async def read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    received = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            received[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(received.get("content-length", "0")))
    return int(head[0].split(" ")[1]), received, body


class Server:
    """One life of a server, as PROTOCOL.md describes it: it heartbeats, holds keys by leases, runs
    a request only while it holds its key, and rejects what it does not run."""

    def __init__(self, site, number, service, sharded=True, work_s=(0.02, 0.06), slots=6):
        self.site, self.number, self.service, self.sharded = site, number, service, sharded
        self.id = f"i-{service}-{number}"
        self.ip = f"{site.net}.3.{number}"
        self.address = f"{self.ip}:{site.port('server')}"
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.work_s, self.slots = work_s, slots
        self.queue = 24
        self.running = asyncio.Semaphore(slots)
        self.at_work, self.waiting = 0, 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.holds = []  # [from, to, fence, end]
        self.freed = []
        self.held = []  # closed intervals of holds: (from, to, fence, since, until)
        self.since = {}  # open intervals: (from, to, fence) -> since
        self.seen_fence = []
        self.uri = None
        self.up = False
        self.draining = False
        self.runs = []  # (id, key, begun)
        self.on_run = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.ip, self.site.port("server"),
                                                 limit=2 ** 20, reuse_address=True)
        self.up = True
        self.task = asyncio.create_task(self.beat_forever())

    def stop(self):
        """Ends like a crash."""
        if not self.up:
            return
        self.up = False
        self.expire(final=True)
        self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    # Leases.

    def expire(self, final=False):
        now = time.monotonic()
        for row in list(self.holds):
            if final or now >= row[3]:
                self.holds.remove(row)
                since = self.since.pop(tuple(row[:3]), None)
                if since is not None:
                    self.held.append((*row[:3], since, min(now, row[3])))

    def holds_key(self, key):
        self.expire()
        return any(row[0] <= key <= row[1] for row in self.holds)

    def take(self, body, sent):
        """Applies the response to a heartbeat. Returns whether keys were released."""
        self.uri = body.get("heartbeatUri") or self.uri
        if "holds" not in body:
            return False
        now = time.monotonic()
        end = sent + min(body["holdS"], BOUNDS["hold-max-s"])
        self.expire()
        accepted = [row for row in body["holds"]
                    if not any(s[0] <= row[1] and row[0] <= s[1] and s[2] > row[2]
                               for s in self.seen_fence)]
        wanted = {tuple(row[:3]) for row in accepted}
        released = []
        for row in self.holds:
            if tuple(row[:3]) not in wanted:
                self.held.append((*row[:3], self.since.pop(tuple(row[:3])), now))
                released.append(row)
        self.holds = [list(row) + [end] for row in sorted(wanted)]
        for row in wanted:
            self.since.setdefault(row, now)
            if row not in self.seen_fence:
                self.seen_fence.append(row)
        self.freed = [[row[0], row[1], f"{random.getrandbits(64):016x}"] for row in released]
        return bool(released)

    def intervals(self):
        """All intervals in which the server held keys: (from, to, fence, since, until)."""
        now = time.monotonic()
        return self.held + [(*row[:3], self.since[tuple(row[:3])], min(now, row[3]))
                            for row in self.holds if tuple(row[:3]) in self.since]

    # Heartbeats.

    def report(self):
        self.sequence += 1
        beat = {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "maxConcurrency": self.slots},
                "status": {"state": "draining" if self.draining else "ready",
                           "sequence": self.sequence, "warmupLeftS": 0}}
        if self.sharded:
            self.expire()
            beat["holds"] = [row[:3] for row in self.holds]
            beat["freed"] = self.freed
        return beat

    async def beat_forever(self):
        wait = random.uniform(0, HEARTBEAT_S)
        while self.up:
            await asyncio.sleep(wait)
            wait = HEARTBEAT_S
            sent = time.monotonic()
            status, body = await self.site.control("POST", f"/-/Instances.Heartbeat/{self.id}",
                                                   json.dumps(self.report()), first=self.uri)
            if status != 200 or len(body) > 4096 or time.monotonic() - sent > 1.0:
                self.uri = None
                continue
            if self.take(json.loads(body or b"{}"), sent):
                wait = 0.05

    # Requests.

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.up:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path = head[0].split(" ")[:2]
                headers = {}
                for line in head[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await self.read_body(reader, length)
                await self.serve(method, path, headers, body, length, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def read_body(self, reader, length):
        kept, left = b"", length
        while left > 0:
            data = await reader.read(min(left, 65536))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(data)
            kept = (kept + data)[:64]
        return kept

    async def serve(self, method, path, headers, body, length, writer):
        request_id = headers.get("x-cassiaroad-request-id", "")
        if path == "/health":
            self.answer(writer, 503 if self.draining else 200, "", b"")
            return
        refusal = None
        key = int(headers.get("x-cassiaroad-shard-key", "-1"))
        if not request_id:
            refusal = 400
        elif headers.get("x-cassiaroad-expect-instance", self.id) != self.id:
            refusal = 421
        elif self.sharded and not self.holds_key(key):
            refusal = 421
        elif self.at_work >= self.slots and self.waiting >= self.queue:
            refusal = 503
        if refusal:
            self.site.record.write(f"server {self.id} rejects {request_id} with {refusal}")
            self.answer(writer, refusal, request_id, b"", refused=True)
            return
        self.waiting += 1
        async with self.running:
            self.waiting -= 1
            if not self.up:
                return
            self.at_work += 1
            self.runs.append((request_id, key, time.monotonic()))
            self.site.record.write(f"server {self.id} runs {request_id} {method} {path} key {key} "
                                   f"body {length}")
            if self.on_run:
                self.on_run(self, request_id, key)
            await asyncio.sleep(random.uniform(*self.work_s))
            self.at_work -= 1
        if self.up:
            self.answer(writer, 200, request_id, f"{request_id}:{length}".encode())
            await writer.drain()

    def answer(self, writer, status, request_id, body, refused=False):
        lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}",
                 f"X-Cassiaroad-Instance-Id: {self.id}",
                 f"X-Cassiaroad-Server-Load: {self.at_work},{self.waiting},{self.slots}"]
        if request_id:
            lines.append(f"X-Cassiaroad-Request-Id: {request_id}")
        if refused:
            lines.append("X-Cassiaroad-Not-Executed: 1")
        elif request_id:
            lines.append(f"X-Cassiaroad-Server-Seal: {self.id}.{request_id}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Client:
    """A caller that keeps its connection to one front machine."""

    def __init__(self, site, node):
        self.site, self.node = site, node
        self.reader = self.writer = None
        self.sent_before = 0  # requests on this connection

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, request_id, method, path, key=None, body=b"", deadline_ms=DEADLINE_MS,
                   bytes_per_s=None):
        """Sends one request, its body at the given pace. Returns (status, headers, body); the status is 0 if the client gave up
        at its deadline, and -1 if the connection ended without a complete answer."""
        begun = time.monotonic()
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.3):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(
                        self.node.ip, self.site.port("front"), limit=2 ** 20)
                    self.sent_before = 0
                lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                         f"X-Cassiaroad-Request-Id: {request_id}",
                         f"X-Cassiaroad-Deadline-Ms: {deadline_ms}"]
                if key is not None:
                    lines.append(f"X-Cassiaroad-Shard-Key: {key}")
                if method != "GET":
                    lines.append(f"Content-Length: {len(body)}")
                self.site.record.write(f"client sends {request_id} {method} {path} key {key} "
                                       f"body {len(body)} to {self.node.name}")
                self.sent_before += 1
                self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                for at in range(0, len(body), 262144):
                    self.writer.write(body[at:at + 262144])
                    await self.writer.drain()
                    if bytes_per_s:
                        due = begun + (at + 262144) / bytes_per_s
                        await asyncio.sleep(max(due - time.monotonic(), 0))
                status, headers, text = await read_response(self.reader)
                if headers.get("connection", "").lower() == "close":
                    self.close()
        except TimeoutError:
            self.close()
            status, headers, text = 0, {}, b""
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            self.close()
            status, headers, text = -1, {}, b""
        self.site.record.write(f"client gets {request_id} {status} "
                               f"{'sealed' if 'x-cassiaroad-server-seal' in headers else ''}")
        return status, headers, text


class Site:
    """The deployment: control and front machines, servers, clients and the operator."""

    PORTS = ("internal", "control", "front", "readiness", "metrics", "server")

    def __init__(self, record, cores=5, fronts=3, tolerated=2, relayed=False):
        self.record = record
        self.relayed = relayed  # the connections to the core go through relays
        self.relays = []
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        program = ROOT / self.deploy["roles"]["gateway"]["run"].split(" ")[0]
        if not program.exists():
            raise CannotRun(f"{program.relative_to(ROOT)} is not built")
        self.net = f"127.{random.randrange(20, 250)}"
        self.tolerated = tolerated
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cassiaroad-review-"))
        ips = [f"{self.net}.{a}.{n}" for a in (1, 2, 3, 4) for n in range(1, 9)]
        self.base = free_base_port(ips, len(self.PORTS))
        self.cores = [Node(self, "registry", n) for n in range(1, cores + 1)]
        self.fronts = [Node(self, "gateway", n) for n in range(1, fronts + 1)]
        self.servers = []
        self.version = 0
        self.tasks = []

    def port(self, name):
        return self.base + self.PORTS.index(name)

    def seeds(self):
        return [f"{node.ip}:{self.port('control')}" for node in self.cores]

    async def control(self, method, path, body="", headers=None, first=None, timeout=1.0):
        """A call to the nodes that serve control: another one after a failure; follows 307 twice."""
        targets = random.sample(self.seeds(), len(self.seeds()))
        for target in ([first] if first else []) + targets[:2]:
            for _ in range(3):
                status, received, text = await call(method, target, path, body, headers, timeout)
                if status != 307:
                    break
                target = received["location"].split("/")[2]
            if status == 200 or 400 <= status < 500 and status not in (408, 429):
                return status, text
        return 0, b""

    async def put(self, routes, services):
        """Sends a configuration until it is acknowledged."""
        version = self.version + 2
        document = json.dumps({
            "version": f"{version:08x}", "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
                       "idleTimeoutS": 15}})
        end = time.monotonic() + 20
        while time.monotonic() < end:
            status, _ = await self.control("POST", "/-/Config.Put", document, {
                "X-Cassiaroad-Base-Version": f"{self.version:08x}"})
            if status == 200:
                self.version = version
                self.record.say(f"configuration {version} is acknowledged")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    def start_nodes(self):
        for node in self.cores + self.fronts:
            node.write_settings(True)
            node.start()

    async def start_relays(self):
        """Puts a relay in front of each listener of the core. Before start_nodes()."""
        for node in self.cores:
            for port in (self.port("internal"), self.port("control")):
                relay = Relay(f"{node.ip}:{port}", f"{node.bind_ip}:{port}")
                await relay.start()
                self.relays.append(relay)

    async def settle(self):
        """Waits until the programs have started and are past their bootstrap."""
        await asyncio.sleep(1.5)
        for node in self.cores:
            node.write_settings(False)

    async def wait_until_ready(self, services):
        """Waits until the fronts are ready and all keys of the sharded services are held."""
        end = time.monotonic() + 30
        while time.monotonic() < end:
            ready = [(await call("GET", f"{n.ip}:{self.port('readiness')}", "/-/readiness"))[0]
                     for n in self.fronts]
            held = all(sum(row[1] - row[0] + 1 for s in self.servers if s.service == service
                           for row in s.holds) == 65536 for service in services)
            if all(status == 200 for status in ready) and held:
                await asyncio.sleep(3.0)  # contactS
                self.record.say("the deployment is ready, all keys are held")
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the deployment did not become ready")

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.stop()
        for relay in self.relays:
            relay.stop()
        for node in self.cores + self.fronts:
            node.end()
            node.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(prefix, kind, service, timeout_s=1.5, attempts=2):
    return {"host": HOST, "pathPrefix": prefix, "routeType": kind, "timeoutS": timeout_s,
            "targetLatencyS": 0.4, "priority": 1, "service": service, "attempts": attempts}


def service(sharded):
    value = {"healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}
    if sharded:
        value.update({"sharded": True, "warmS": 2.0, "grants": "heartbeat"})
    return value


def main(folder, play):
    """Runs `play(record)`, which returns whether the rule held, and exits as the issue says."""
    record = Record(pathlib.Path(folder) / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # play() ends what it has started
    try:
        held = asyncio.run(asyncio.wait_for(play(record), 110))
        code, text = (0, "the rule held") if held else (1, "the rule was broken")
    except Exception as error:  # pylint: disable=broad-except
        code, text = 2, f"cannot run: {error!r}"
    record.say(text)
    record.file.close()
    sys.stdout.flush()
    os._exit(code)  # without the complaints of connections that are open still
