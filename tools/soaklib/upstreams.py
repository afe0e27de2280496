"""Stand-in upstreams that hold key ranges, all in one process, and the promises they check.

They speak the platform's published protocol: heartbeats with holds, requests with an expected id.
"""
import asyncio
import json
import random
import time

HEARTBEAT_S = 0.5


class Checks:
    """What was seen of requests by callers and upstreams; every violation is a line."""

    def __init__(self):
        self.violations = []
        self.runs = {}  # request id -> number of runs
        self.refused = set()  # ids of requests whose answer said that they were not run

    def ran(self, request_id, idempotent):
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if not idempotent and self.runs[request_id] > 1:
            self.violations.append(f"request {request_id} ran twice")
        if request_id in self.refused:
            self.violations.append(f"request {request_id} ran after it was refused")

    def was_refused(self, request_id):
        self.refused.add(request_id)
        if self.runs.get(request_id):
            self.violations.append(f"request {request_id} was refused but has run")


class Upstream:
    """One life of an upstream."""

    def __init__(self, name, address, service, control, checks, peers):
        self.name = name
        self.address = address
        self.service = service
        self.control = control  # addresses of control hosts
        self.checks = checks
        self.peers = peers  # all upstreams, for the check of one owner
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.holds = []  # [from, to, fence, valid until]
        self.freed = []
        self.server = None
        self.task = None
        self.up = False
        self.draining = False
        self.next_address = None
        self.work_s = (0.005, 0.03)  # least and most time that a request takes
        self.cuts_answers = False  # runs requests and closes their connections

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port), reuse_address=True)
        self.up = True
        self.task = asyncio.create_task(self.beat())

    async def crash(self):
        """Ends without a word; its holds end with it."""
        self.up = False
        self.holds = []
        self.task.cancel()
        self.server.close()

    def held(self, key):
        now = time.monotonic()
        return any(row[0] <= key <= row[1] and now < row[3] for row in self.holds)

    def check_owner(self, key):
        holders = [peer.name for peer in self.peers if peer.up and peer.held(key)]
        if len(holders) > 1:
            self.checks.violations.append(f"key {key} is held by {holders}")

    async def serve(self, reader, writer):
        try:
            while self.up:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = dict(line.lower().split(": ", 1)
                               for line in head.decode().split("\r\n")[1:] if ": " in line)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, text = await self.handle(head.decode().split(" ", 1)[0], headers, body)
                if self.cuts_answers:
                    return
                extra = "" if status == 200 else "X-Cassiaroad-Not-Executed: 1\r\n"
                writer.write(f"HTTP/1.1 {status} S\r\nContent-Length: {len(text)}\r\n{extra}"
                             f"X-Cassiaroad-Instance-Id: {self.name}\r\n"
                             f"X-Cassiaroad-Server-Load: 1,0,6\r\nX-Cassiaroad-Request-Id: "
                             f"{headers.get('x-cassiaroad-request-id', '')}\r\n\r\n{text}".encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def handle(self, method, headers, body):
        key = int(headers.get("x-cassiaroad-shard-key", "-1"))
        if headers.get("x-cassiaroad-expect-instance") != self.name or not self.held(key):
            return 421, ""
        request_id = headers["x-cassiaroad-request-id"]
        self.checks.ran(request_id, method == "GET")
        self.check_owner(key)
        await asyncio.sleep(random.uniform(*self.work_s))
        return 200, f"{request_id}:{len(body)}"

    def expire(self):
        now = time.monotonic()
        self.holds = [row for row in self.holds if now < row[3]]

    async def beat(self):
        wait = random.uniform(0, HEARTBEAT_S)
        while True:
            await asyncio.sleep(wait)
            wait = HEARTBEAT_S
            sent = time.monotonic()
            self.expire()
            self.sequence += 1
            body = json.dumps({
                "address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": "a",
                         "maxConcurrency": 6},
                "status": {"state": "draining" if self.draining else "ready",
                           "sequence": self.sequence, "warmupLeftS": 0},
                "holds": [row[:3] for row in self.holds], "freed": self.freed})
            answer = await self.call(f"/-/Instances.Heartbeat/{self.name}", body)
            if answer is not None and "holds" in answer:
                if self.take(answer, sent):
                    wait = 0.05

    def take(self, answer, sent):
        """Applies a grant; returns whether something was released."""
        until = sent + answer["holdS"]
        granted = [row[:3] + [until] for row in answer["holds"]]
        released = [row for row in self.holds
                    if not any(new[0] <= row[0] and row[1] <= new[1] for new in granted)]
        self.freed = [[row[0], row[1], f"{random.getrandbits(64):016x}"] for row in released]
        self.holds = granted
        self.next_address = answer.get("heartbeatUri")
        return bool(released)

    async def call(self, path, body):
        targets = random.sample(self.control, len(self.control))
        if self.next_address:
            targets.insert(0, self.next_address)
        for target in targets[:3]:
            for _ in range(3):  # redirects
                status, headers, text = await http("POST", target, path, body, {}, 1.0)
                if status != 307:
                    break
                target = headers["location"].split("/")[2]
            if status == 200:
                return json.loads(text)
            self.next_address = None
        return None


async def http(method, address, path, body, headers, timeout):
    """One HTTP call on a new connection; status 0 if there was no whole answer."""
    ip, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: maps.example\r\nConnection: close\r\n"
                         f"Content-Length: {len(body)}\r\n{lines}\r\n{body}".encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            received = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
            text = await reader.readexactly(int(received.get("content-length", "0")))
            return int(head[0].split(" ")[1]), received, text.decode()
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError, IndexError):
        return 0, {}, ""
    finally:
        if writer is not None:
            writer.close()
