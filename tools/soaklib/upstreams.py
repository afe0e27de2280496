"""Simulated upstreams with leases on key ranges, all in one process.

They use the published protocol of the platform: leases come in the responses to heartbeats
("holds") or by calls to the upstream, and requests name the id of the upstream that should run them.
"""
import asyncio
import json
import random
import time

from soaklib import endless

HEARTBEAT_S = 0.5
HEALTH_PATH = "/health"


class Upstream:
    """One incarnation of an upstream, from its start to its end."""

    def __init__(self, name, address, service, control, checks, peers):
        self.name = name
        self.address = address
        self.service = service
        self.zone = "a"
        self.control = control  # addresses of control hosts
        self.checks = checks
        self.peers = peers  # all upstreams, to check that a key has one owner
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.leases = []  # [first key, last key, fencing token, end on the monotonic clock]
        self.freed = []  # [first key, last key, random text] of the leases returned last
        self.server = None
        self.task = None
        self.up = False
        self.draining = False
        self.next_address = None
        self.service_time_s = (0.005, 0.03)  # shortest and longest time that a request takes
        self.drops_responses = False  # closes connections after a run, without response
        self.takes_calls = False  # leases come by calls; heartbeats carry none
        self.applies_late = False  # leaves some calls unanswered and applies them seconds later
        self.seen_fences = []  # [first key, last key, fencing token] of all grants
        self.running_keys = []  # of the requests in progress
        self.crashes_under = None  # bytes in the body of a request under which it crashes
        self.says_leaving = False  # says in each response that it leaves; heartbeats do not
        self.pause_s = None  # turns requests away and asks for a pause; 0: without a pause
        self.pause_share = 1.0  # of the requests that are turned away
        self.resets = False  # resets the connection of each request and runs none
        self.is_keyed = True  # its service has keys
        self.endless_part = None  # of its answers, from endless.PARTS
        self.answer_bytes = 0  # smallest size of its answers
        self.reports = True  # sends heartbeats
        self.arrived_at = 0.0  # time at which the last request reached it
        self.accepted_at = 0.0  # time at which it last got a request for a key that it had a lease on
        self.writers = set()  # of the open connections
        self.warm_at = 0.0  # time until which it is cold

    def warmup_left_s(self):
        """Time until the upstream is no longer cold."""
        return max(self.warm_at - time.monotonic(), 0.0)

    async def start(self):
        ip, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, ip, int(port), reuse_address=True)
        self.up = True
        self.task = asyncio.create_task(self.send_heartbeats())

    async def crash(self):
        """Stops without notice, drops the leases and resets the connections."""
        self.up = False
        self.leases = []
        self.task.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def is_serving(self):
        """Whether the upstream is up and stays."""
        return self.up and not self.draining and not self.says_leaving

    def behave(self):
        """Ends what the upstream does wrong while it serves."""
        self.applies_late = False
        self.pause_s = None
        self.pause_share = 1.0
        self.resets = False
        self.endless_part = None

    def has_lease(self, key):
        """Whether the upstream has a valid lease on a key."""
        now = time.monotonic()
        return any(row[0] <= key <= row[1] and now < row[3] for row in self.leases)

    def check_single_owner(self, key):
        """Records a violation if several upstreams have a lease on a key now."""
        leaseholders = [peer.name for peer in self.peers if peer.up and peer.has_lease(key)]
        if len(leaseholders) > 1:
            self.checks.violations.append(f"key {key} has several leaseholders: {leaseholders}")

    async def serve(self, reader, writer):
        """Serves the requests of one connection."""
        self.writers.add(writer)
        try:
            while self.up:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = dict(line.lower().split(": ", 1)
                               for line in head.decode().split("\r\n")[1:] if ": " in line)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, path = head.decode().split(" ", 2)[:2]
                if path == HEALTH_PATH:
                    writer.write(self.health())
                    await writer.drain()
                    continue
                if path in ("/-/grant", "/-/release"):
                    if not await self.answer_call(path, json.loads(body), writer):
                        return
                    continue
                status, text = await self.handle(method, headers, body)
                if self.resets:
                    writer.transport.abort()
                    return
                if self.drops_responses or not self.up:
                    return
                if status == 200 and self.endless_part is not None:
                    await endless.answer(writer, self.endless_part, self.head(200, headers))
                    return
                writer.write(self.head(status, headers)
                             + f"Content-Length: {len(text)}\r\n\r\n{text}".encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def health(self):
        """Response to a health check."""
        return (f"HTTP/1.1 200 OK\r\nX-Cassiaroad-Instance-Id: {self.name}\r\n"
                f"X-Cassiaroad-Warmup-Ms: {round(self.warmup_left_s() * 1000)}\r\n"
                "Content-Length: 0\r\n\r\n").encode()

    def head(self, status, headers):
        """Head of the response to a request with these headers, without its length and end."""
        extra = "" if status == 200 else "X-Cassiaroad-Not-Executed: 1\r\n"
        extra += "Server-Leaving: 1\r\n" if self.says_leaving else ""
        extra += f"Retry-After: {self.pause_s}\r\n" if status == 503 and self.pause_s else ""
        return (f"HTTP/1.1 {status} S\r\n{extra}X-Cassiaroad-Instance-Id: {self.name}\r\n"
                f"X-Cassiaroad-Server-Load: 1,0,6\r\nX-Cassiaroad-Request-Id: "
                f"{headers.get('x-cassiaroad-request-id', '')}\r\n").encode()

    async def answer_call(self, path, call, writer):
        """Applies a call that grants or releases a lease and answers it. Returns False if the call
        gets no answer; then it may be applied later."""
        arrived = time.monotonic()
        if self.applies_late and random.random() < 0.4:
            apply = self.grant if path == "/-/grant" else self.release
            asyncio.get_running_loop().call_later(random.uniform(1, 4), apply, call, arrived)
            await asyncio.sleep(5)
            return False
        status, handover = 200, ""
        if path == "/-/grant":
            status = self.grant(call, arrived)
        else:
            self.release(call, arrived)
            while any(call["from"] <= key <= call["targetVersion"] for key in self.running_keys):
                await asyncio.sleep(0.002)
            handover = f"X-Cassiaroad-Handover: {random.getrandbits(64):016x}\r\n"
        if not self.up:
            return False
        writer.write(f"HTTP/1.1 {status} S\r\nContent-Length: 0\r\n{handover}\r\n".encode())
        await writer.drain()
        return True

    def grant(self, call, arrived):
        """Takes a lease, whose time counts from the arrival of the call. Returns the status."""
        first, last, fence = call["from"], call["targetVersion"], call["fence"]
        if any(row[0] <= last and first <= row[1] and row[2] > fence for row in self.seen_fences):
            return 409
        self.seen_fences.append([first, last, fence])
        end = arrived + call["holdS"]
        if not any(row[0] <= first and last <= row[1] and row[2] == fence and row[3] >= end
                   for row in self.leases):
            self.cut_leases(first, last)
            self.leases.append([first, last, fence, end])
        return 200

    def release(self, call, _arrived):
        """Stops new requests for the keys of a lease, or of a part of one."""
        first, last = call["from"], call["targetVersion"]
        if any(row[2] == call["fence"] and row[0] <= last and first <= row[1]
               for row in self.leases):
            self.cut_leases(first, last)

    def cut_leases(self, first, last):
        """Removes keys from the leases."""
        rest = []
        for row in self.leases:
            if row[1] < first or last < row[0]:
                rest.append(row)
                continue
            if row[0] < first:
                rest.append([row[0], first - 1] + row[2:])
            if last < row[1]:
                rest.append([last + 1, row[1]] + row[2:])
        self.leases = rest

    async def handle(self, method, headers, body):
        """Runs a request, or refuses it if it is for another upstream or a key without a lease.
        Returns the status and the body of the response."""
        key = int(headers.get("x-cassiaroad-shard-key", "-1"))
        request_id = headers["x-cassiaroad-request-id"]
        is_misdirected = (headers.get("x-cassiaroad-expect-instance") != self.name
                          or self.is_keyed and not self.has_lease(key))
        self.arrived_at = time.monotonic()
        self.checks.record_arrival(request_id, self.name, is_misdirected)
        if is_misdirected:
            return 421, ""
        if self.warmup_left_s() > 0:
            self.checks.record_cold_arrival(self.name)
        self.accepted_at = time.monotonic()
        if self.resets:
            return 0, ""
        if self.pause_s is not None and random.random() < self.pause_share:
            self.checks.record_pause(request_id, self.name, self.pause_s)
            return 503, ""
        self.checks.record_run(request_id, method == "GET")
        self.check_single_owner(key)
        if self.crashes_under and self.crashes_under in body:
            self.checks.record_crash(body, self.name)
            await self.crash()
        self.running_keys.append(key)
        await asyncio.sleep(random.uniform(*self.service_time_s))
        self.running_keys.remove(key)
        return 200, f"{request_id}:{len(body)}".ljust(self.answer_bytes)

    def remove_expired_leases(self):
        now = time.monotonic()
        self.leases = [row for row in self.leases if now < row[3]]

    async def send_heartbeats(self):
        """Sends heartbeats until the upstream stops; the next one early after a lease was
        returned."""
        wait = random.uniform(0, HEARTBEAT_S)
        while True:
            await asyncio.sleep(wait)
            wait = HEARTBEAT_S
            sent = time.monotonic()
            self.remove_expired_leases()
            if not self.reports:
                continue
            self.sequence += 1
            report = {
                "address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "maxConcurrency": 6},
                "status": {"state": "draining" if self.draining else "ready",
                           "sequence": self.sequence, "warmupLeftS": self.warmup_left_s()}}
            if not self.takes_calls:
                report["holds"] = [row[:3] for row in self.leases]
                report["freed"] = self.freed
            response = await self.call(f"/-/Instances.Heartbeat/{self.name}", json.dumps(report))
            if response is not None and "holds" in response:
                if self.apply_response(response, sent):
                    wait = 0.05

    def apply_response(self, response, sent):
        """Replaces the leases by those of a heartbeat response; returns whether one was
        released."""
        lease_end = sent + response["holdS"]
        granted = [row[:3] + [lease_end] for row in response["holds"]]
        released = [row for row in self.leases
                    if not any(new[0] <= row[0] and row[1] <= new[1] for new in granted)]
        self.freed = [[row[0], row[1], f"{random.getrandbits(64):016x}"] for row in released]
        self.leases = granted
        self.next_address = response.get("heartbeatUri")
        return bool(released)

    async def call(self, path, body):
        """Sends a request to the control hosts and follows redirects. Returns the JSON of the
        response, or None if none of three hosts gave one."""
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
    """Sends one HTTP request on a new connection. Returns status, headers and body of the response;
    the status is 0 if there was no complete response."""
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
