"""Plays the case of claim.txt: registries, gateways and servers on loopback; a configuration adds a route,
a crowd asks for the new page at once, and one server crashes once. Exits with 1 if the rule was broken, 0
if it held and 2 if the case could not run. With TROUBLE=0 no server crashes."""
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
SEED = 45000 + os.getpid() % 400 * 5 + 2  # the ports follow from it
site_module.UPSTREAMS = 8  # one crashes, less than the share of 0.14 in the site file
GATEWAYS = 3
CROWD = 40  # clients that ask for the new page
OTHERS = 16  # clients of the routes that were there before
PAGE_KEY = 30000
PAGE_WORK_S = (0.3, 0.44)  # the longest is that of the site file
OTHER_WORK_S = (0.03, 0.1)
CRASH_AFTER_S = 0.2  # from the first request for the page
DOWN_S = 3.0
SETTLED_S = 15.0  # after the crash: the server is back, its keys have an owner, all is calm
MEASURED_S = 25.0
DEADLINE_S = 1.2
MIN_REQUESTS = 20  # of the rule
MIN_RATIO = 0.25  # of the rule


class Record:
    def __init__(self):
        self.file = open(FOLDER / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.outcomes = []  # (time sent, whether on the later route, status)
        self.crashes = 0

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")

    def share(self, since, until, later):
        """Requests of the routes in a span of time, and the share of them that was served."""
        found = [status == 200 for at, is_later, status in self.outcomes
                 if since <= at < until and is_later == later]
        return len(found), sum(found) / max(len(found), 1)


class Server(Upstream):
    record = None

    async def handle(self, method, headers, body):
        key = int(headers["x-cassiaroad-shard-key"])
        request_id = headers["x-cassiaroad-request-id"]
        if headers["x-cassiaroad-expect-instance"] != self.name or not self.has_lease(key):
            return 421, ""
        self.record.write(f"run {request_id} at {self.name}")
        await asyncio.sleep(random.uniform(*(PAGE_WORK_S if key == PAGE_KEY else OTHER_WORK_S)))
        return 200, request_id


class CaseSite(Site):
    async def add_upstream(self, name, address):
        server = Server(name, address, "orders", self.seeds, self.checks, self.upstreams)
        await server.start()
        self.upstreams[:] = [u for u in self.upstreams if u.address != address] + [server]


async def ask(site, record, number, path, key, later):
    site.next_id += 1
    request_id = f"r{site.next_id:06d}"
    gateway = site.gateways[number % len(site.gateways)]
    connection = site.connect(gateway)
    sent_at = time.monotonic()
    record.write(f"send {request_id} {path} to {gateway.name}")
    status, _, _ = await connection.send(
        "GET", path, "", {"X-Cassiaroad-Request-Id": request_id,
                          "X-Cassiaroad-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                          "X-Cassiaroad-Shard-Key": str(key)}, DEADLINE_S + 1)
    connection.close()
    site.connections.remove(connection)
    record.write(f"answer {request_id} {status}")
    record.outcomes.append((sent_at, later, status))


async def ask_for_page(site, record, number, path):
    await asyncio.sleep(random.uniform(0.0, 0.1))
    while True:
        await ask(site, record, number, path, PAGE_KEY, True)
        await asyncio.sleep(random.uniform(0.5, 1.5))


async def ask_for_others(site, record, number):
    count = 0
    while True:
        count += 1
        await ask(site, record, number, f"/read/{number}/{count}", random.randrange(65536), False)
        await asyncio.sleep(random.uniform(0.1, 0.3))


async def crash_owner(site, record):
    """Crashes the server that has the key of the page, and starts it again after some seconds."""
    owner = next(server for server in site.upstreams if server.has_lease(PAGE_KEY))
    record.write(f"crash {owner.name}")
    record.crashes += 1
    await owner.crash()
    await asyncio.sleep(DOWN_S)
    await site.add_upstream(owner.name, owner.address)
    record.write(f"{owner.name} is back")


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
            return None
        tasks = [asyncio.create_task(ask_for_others(site, record, number))
                 for number in range(OTHERS)]
        await asyncio.sleep(4.0)
        await site.put_configuration(10.0)
        path = f"/v{site.version}/start-list"
        record.write(f"configuration {site.version} is acknowledged, with the route /v{site.version}/")
        await asyncio.sleep(4.0)  # longer than configApplyS
        begun = time.monotonic()
        tasks += [asyncio.create_task(ask_for_page(site, record, number, path))
                  for number in range(CROWD)]
        await asyncio.sleep(CRASH_AFTER_S)
        if TROUBLE:
            await crash_owner(site, record)
        since = begun + SETTLED_S
        await asyncio.sleep(since + MEASURED_S - time.monotonic())
        for task in tasks:
            if task.done():
                task.result()
        return since, since + MEASURED_S - DEADLINE_S - 1
    finally:
        await end(tasks)
        await site.stop()


def main():
    record = Record()
    Server.record = record
    site = CaseSite(ROOT / "target", SEED, GATEWAYS)
    kill_at_sigterm(site)
    try:
        span = asyncio.run(play(site, record))
    except Exception:
        record.write(traceback.format_exc())
        print(traceback.format_exc())
        return 2
    shutil.rmtree(site.folder, ignore_errors=True)
    if span is None:
        return 2
    count, first = record.share(*span, later=False)
    later_count, later = record.share(*span, later=True)
    text = (f"{record.crashes} crashes; in calm, {first:.3f} of {count} requests on the first routes and "
            f"{later:.3f} of {later_count} on the route that was added later are served")
    record.write(text)
    print(text)
    if later_count < MIN_REQUESTS or first == 0.0:
        return 2
    return 1 if later < MIN_RATIO * first else 0


if __name__ == "__main__":
    sys.exit(main())
