"""Plays the case of claim.txt: registries, gateways and servers on loopback, clients that send several
lookups before the first is answered, and gateways that are stopped and started in turn. Exits with 1 if
the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 no gateway is
stopped."""
import asyncio
import os
import pathlib
import random
import shutil
import signal
import sys
import time
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
sys.path.insert(0, str(ROOT / "tools"))
from soaklib import site as site_module  # noqa: E402
from soaklib.site import Site  # noqa: E402
from soaklib.upstreams import Upstream  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 45000 + os.getpid() % 400 * 5 + 3  # the ports follow from it
site_module.UPSTREAMS = 8
GATEWAYS = 3
STOPS = 5
STOP_INTERVAL_S = 8.0
GRACE_S = 4.0  # "stop-grace-s" of the settings that Host writes
WORK_S = (0.05, 0.3)
DEADLINE_S = 3.0
ROUTE_TIMEOUT_S = 3.0
CALLERS = 6  # at each gateway
LOOKUPS = 6  # that a client sends before the first is answered


class Record:
    def __init__(self):
        self.file = open(FOLDER / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.arrivals = {}  # request id -> time at which it reached a server
        self.stopped_at = {}  # gateway -> time of the latest SIGTERM
        self.answered = 0
        self.unanswered = 0  # behind a response that closes, and not passed on
        self.broken = []

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")

    def check_unanswered(self, request_id, gateway, sent_at):
        """The rule, for a request whose connection has ended without its answer."""
        now = time.monotonic()
        self.write(f"no answer {request_id} from {gateway}")
        stopped_at = self.stopped_at.get(gateway)
        if stopped_at is None or now > stopped_at + GRACE_S + 1 or now - sent_at > DEADLINE_S * 0.9:
            return
        if request_id not in self.arrivals:
            self.unanswered += 1
            return
        self.broken.append(f"{request_id} was passed on to a server "
                           f"{now - self.arrivals[request_id]:.3f} s ago, and {gateway} has ended the "
                           f"connection without its answer {now - stopped_at:.2f} s after SIGTERM")
        self.write(f"BROKEN {self.broken[-1]}")


class Server(Upstream):
    record = None

    async def handle(self, method, headers, body):
        key = int(headers["x-cassiaroad-shard-key"])
        request_id = headers["x-cassiaroad-request-id"]
        if headers["x-cassiaroad-expect-instance"] != self.name or not self.has_lease(key):
            return 421, ""
        self.record.arrivals[request_id] = time.monotonic()
        self.record.write(f"run {request_id} at {self.name}")
        await asyncio.sleep(random.uniform(*WORK_S))
        return 200, request_id


class CaseSite(Site):
    async def add_upstream(self, name, address):
        server = Server(name, address, "orders", self.seeds, self.checks, self.upstreams)
        await server.start()
        self.upstreams.append(server)


async def read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
    await reader.readexactly(int(headers.get("content-length", "0")))
    return int(head[0].split(" ")[1]), headers


async def look_up(site, record, gateway, prefix):
    """Sends lookups on one connection, and reads their answers in order."""
    reader, writer = await asyncio.open_connection(gateway.ip, site.ports["callers"])
    try:
        series = 0
        while True:
            series += 1
            ids = [f"{prefix}-{series}-{i}" for i in range(LOOKUPS)]
            sent_at = time.monotonic()
            writer.write(b"".join(
                f"GET /read/x HTTP/1.1\r\nHost: maps.example\r\nX-Cassiaroad-Request-Id: {i}\r\n"
                f"X-Cassiaroad-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
                f"X-Cassiaroad-Shard-Key: {random.randrange(65536)}\r\n\r\n".encode() for i in ids))
            record.write(f"send {ids[0]} to {ids[-1]} to {gateway.name}")
            unanswered = list(ids)
            closes = False
            try:
                while unanswered and not closes:
                    status, headers = await asyncio.wait_for(read_response(reader), DEADLINE_S + 1)
                    record.write(f"answer {unanswered.pop(0)} {status}")
                    record.answered += 1
                    closes = headers.get("connection") == "close"
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                closes = True
            for request_id in unanswered:
                record.check_unanswered(request_id, gateway.name, sent_at)
            if closes:
                return
            await asyncio.sleep(random.uniform(0.0, 0.1))
    finally:
        writer.close()


async def look_up_forever(site, record, number):
    turn = number
    while True:
        turn += 1
        gateway = site.gateways[turn % len(site.gateways)]
        try:
            await look_up(site, record, gateway, f"c{number}-{turn}")
        except OSError:
            pass  # the gateway is down
        await asyncio.sleep(0.05)


async def stop_in_turn(site, record):
    for number in range(STOPS):
        await asyncio.sleep(STOP_INTERVAL_S / 2)
        gateway = site.gateways[number % len(site.gateways)]
        if TROUBLE:
            record.write(f"SIGTERM {gateway.name}")
            record.stopped_at[gateway.name] = time.monotonic()
            gateway.signal(signal.SIGTERM)
            await gateway.ends_within(GRACE_S + 1)
            record.write(f"{gateway.name} has ended")
            gateway.start()
        await asyncio.sleep(STOP_INTERVAL_S / 2)


async def end(tasks):
    """Cancels tasks. One that misses its cancellation, as asyncio.wait_for() may, is cancelled again."""
    while tasks:
        for task in tasks:
            task.cancel()
        ended, tasks = await asyncio.wait(tasks, timeout=1.0)
        await asyncio.gather(*ended, return_exceptions=True)


def kill_at_sigterm(site):
    """Ends all processes of the site if this one is to end before it has done so."""
    def kill(*_):
        for host in site.controls + site.gateways:
            host.end()
        os._exit(2)
    signal.signal(signal.SIGTERM, kill)


async def play(site, record):
    tasks = []
    try:
        await site.start_site()
        if site.version == 0:
            return False
        tasks = [asyncio.create_task(look_up_forever(site, record, number))
                 for number in range(CALLERS * GATEWAYS)]
        await stop_in_turn(site, record)
        for task in tasks:
            if task.done():
                task.result()
        return True
    finally:
        await end(tasks)
        await site.stop()


def main():
    record = Record()
    Server.record = record
    site = CaseSite(ROOT / "target", SEED, GATEWAYS)
    kill_at_sigterm(site)
    site.route_timeout_s = ROUTE_TIMEOUT_S
    try:
        ran = asyncio.run(play(site, record))
    except Exception:
        record.write(traceback.format_exc())
        print(traceback.format_exc())
        return 2
    shutil.rmtree(site.folder, ignore_errors=True)
    if not ran or not record.answered:
        return 2
    print(f"{record.answered} answers; {record.unanswered} requests behind a response that closes, not "
          f"passed on; {len(record.broken)} requests that were passed on and got no answer",
          *record.broken[:3], sep="\n")
    return 1 if record.broken else 0


if __name__ == "__main__":
    sys.exit(main())
