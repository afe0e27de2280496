"""Plays the case of claim.txt: five registries, and as many servers as a deployment of 300 machines has,
each with one connection for its heartbeats. An operator changes the configuration and reads it back.
Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 there are
as many servers as at 30 machines."""
import asyncio
import json
import os
import pathlib
import random
import resource
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
from soaklib.upstreams import http  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = 45000 + os.getpid() % 400 * 5 + 4  # the ports follow from it
site_module.UPSTREAMS = 0  # the servers here send heartbeats only: no client sends anything
SERVERS = 3000 if TROUBLE else 300  # at 300 and at 30 machines of the sweep
HEARTBEAT_S = 3.0  # at least as long as in the deployments, so that the registry has less to do
STARTING_S = 8.0  # in which all servers send their first heartbeat
SETTLED_S = 10.0
READING_S = 12.0  # of the operator; the pages demand an answer within contactS
DESCRIPTORS = 4096  # of a process on a machine of the core


class Record:
    def __init__(self):
        self.file = open(FOLDER / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.beats = {"acknowledged": 0, "redirected": 0, "no connection": 0, "other": 0}
        self.reads = []  # (time, status)

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")


class Beater:
    """The heartbeats of one server, on one connection for as long as that works."""

    def __init__(self, number, seeds, record):
        self.name, self.seeds, self.record = f"s-{number}", seeds, record
        self.address = f"127.0.{3 + number // 250}.{1 + number % 250}:9000"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.reader = self.writer = None
        self.target = None

    def request(self):
        self.sequence += 1
        body = json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": "orders", "version": "v1", "zone": "a", "maxConcurrency": 6},
            "status": {"state": "ready", "sequence": self.sequence, "warmupLeftS": 0}})
        return (f"POST /-/Instances.Heartbeat/{self.name} HTTP/1.1\r\nHost: x\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode()

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def send(self):
        """Sends a heartbeat on the open connection, or a new one; returns status and headers."""
        if self.writer is None:
            ip, port = self.target.split(":")
            self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        self.writer.write(self.request())
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
        await self.reader.readexactly(int(headers.get("content-length", "0")))
        return int(head[0].split(" ")[1]), headers

    async def beat(self):
        """Sends one heartbeat and follows redirects twice."""
        self.target = self.target or random.choice(self.seeds)
        for _ in range(3):
            try:
                async with asyncio.timeout(1.0):
                    status, headers = await self.send()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.record.beats["no connection"] += 1
                self.close()
                self.target = None
                return
            if status == 200:
                self.record.beats["acknowledged"] += 1
                return
            self.close()
            if status != 307:
                self.record.beats["other"] += 1
                self.target = None
                return
            self.record.beats["redirected"] += 1
            self.target = headers["location"].split("/")[2]

    async def run(self, delay):
        await asyncio.sleep(delay)
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))


async def call(site, method, path, body="", headers=None):
    """One call of the operator: any of the nodes, a second for each, two redirects."""
    target = random.choice(site.seeds)
    for _ in range(3):
        status, received, text = await http(method, target, path, body, headers or {}, 1.0)
        if status != 307:
            break
        target = received["location"].split("/")[2]
    return status, text


async def operate(site, record):
    """Changes the configuration, and reads it back again and again."""
    version = site.version + 1
    until = time.monotonic() + READING_S
    acknowledged = False
    while time.monotonic() < until:
        if not acknowledged:
            status, _ = await call(site, "POST", "/-/Config.Put", site.configuration(version),
                                   {"X-Cassiaroad-Base-Version": f"{site.version:08x}"})
            record.write(f"change to {version}: {status}")
            acknowledged = status == 200
        status, _ = await call(site, "GET", "/-/Config.Get")
        record.write(f"read: {status}")
        record.reads.append((time.monotonic(), status))
        await asyncio.sleep(0.1)
    return acknowledged


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
    tasks, beaters = [], []
    try:
        await site.start_site()
        if site.version == 0:
            return None
        beaters = [Beater(number, site.seeds, record) for number in range(SERVERS)]
        tasks = [asyncio.create_task(beater.run(STARTING_S * number / SERVERS))
                 for number, beater in enumerate(beaters)]
        await asyncio.sleep(STARTING_S + SETTLED_S)
        record.write(f"heartbeats so far: {record.beats}")
        for name in record.beats:
            record.beats[name] = 0
        return await operate(site, record)
    finally:
        await end(tasks)
        for beater in beaters:
            beater.close()
        await site.stop()


def has_descriptors():
    """Whether this process and those that it starts have as many descriptors as the pages give them."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < DESCRIPTORS <= hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    return max(soft, hard) >= DESCRIPTORS


def main():
    if not has_descriptors():
        print("too few descriptors")
        return 2
    record = Record()
    site = Site(ROOT / "target", SEED, 1)
    kill_at_sigterm(site)
    for host in site.controls + site.gateways:  # no fault of the network: no relays before the listeners
        host.bind_ip, host.relays = host.ip, []
    try:
        acknowledged = asyncio.run(play(site, record))
    except Exception:
        record.write(traceback.format_exc())
        print(traceback.format_exc())
        return 2
    shutil.rmtree(site.folder, ignore_errors=True)
    if acknowledged is None or not record.reads:
        return 2
    good = sum(status == 200 for _, status in record.reads)
    text = (f"{SERVERS} servers, heartbeats meanwhile: {record.beats}; the change was "
            f"{'acknowledged' if acknowledged else 'never acknowledged'}; {good} of {len(record.reads)} "
            f"reads in {READING_S:.0f} s gave the configuration")
    record.write(text)
    print(text)
    return 1 if good == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
