"""A server that leaves without reporting `draining`: it deregisters, is acknowledged, goes on with its
heartbeats (`ready`) and its work, and exits 30 s later. Counts the requests that clients sent later than
drainS after the acknowledgement and that reached it (rule DRAIN; 421 doesn't count). Not a case: see
REPORT-2.md. Exits with 1 if there were any, 0 if not and 2 if it could not run. With TROUBLE=0 the server
exits after 8 s."""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))
from soaklib import site as site_module  # noqa: E402
from soaklib.site import Site  # noqa: E402
from soaklib.upstreams import Upstream  # noqa: E402

SEED = 45000 + os.getpid() % 400 * 5 + 4  # the ports follow from it
site_module.UPSTREAMS = 8
EXIT_S = 8.0 if os.environ.get("TROUBLE", "1") == "0" else 30.0  # after the acknowledgement
DRAIN_S = 2.5  # drainS of the site file
CALLERS = 8  # at each gateway
DEADLINE_S = 2.0


class Server(Upstream):
    """Keeps the requests that it ran: (id, time)."""

    def __init__(self, *args):
        super().__init__(*args)
        self.runs = []

    async def handle(self, method, headers, body):
        key = int(headers["x-cassiaroad-shard-key"])
        request_id = headers["x-cassiaroad-request-id"]
        if headers.get("x-cassiaroad-expect-instance") != self.name or not self.has_lease(key):
            return 421, ""
        self.runs.append((request_id, time.monotonic()))
        await asyncio.sleep(random.uniform(0.01, 0.05))
        return 200, request_id


class TriedSite(Site):
    """A site whose upstreams are of this module."""

    async def add_upstream(self, name, address):
        server = Server(name, address, "orders", self.seeds, self.checks, self.upstreams)
        await server.start()
        self.upstreams.append(server)


async def call_forever(site, gateway, sent):
    connection = site.connect(gateway)
    while True:
        await asyncio.sleep(random.uniform(0.0, 0.1))
        site.next_id += 1
        request_id = f"r{site.next_id:06d}"
        sent[request_id] = time.monotonic()
        await connection.send(
            "POST", "/order/x", "abc",
            {"X-Cassiaroad-Request-Id": request_id,
             "X-Cassiaroad-Deadline-Ms": str(int(DEADLINE_S * 1000)),
             "X-Cassiaroad-Shard-Key": str(random.randrange(65536))}, DEADLINE_S + 1)


async def leave(site, sent):
    """Returns when the requests that came too late were sent, in seconds after the acknowledgement."""
    server = site.upstreams[2]
    answer = await server.call(f"/-/Instances.Deregister/{server.name}",
                               json.dumps({"born": server.born}))
    if answer is None:
        return None
    acknowledged = time.monotonic()
    await asyncio.sleep(EXIT_S)
    await server.crash()
    times = [sent[request_id] - acknowledged for request_id, _ in server.runs]
    return sorted(time for time in times if time > DRAIN_S)


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


async def play(site):
    tasks, sent = [], {}
    try:
        await site.start_site()
        if site.version == 0:
            return None
        tasks = [asyncio.create_task(call_forever(site, gateway, sent))
                 for gateway in site.gateways for _ in range(CALLERS)]
        await asyncio.sleep(4.0)
        return await leave(site, sent)
    finally:
        await end(tasks)
        await site.stop()


def main():
    site = TriedSite(ROOT / "target", SEED)
    kill_at_sigterm(site)
    try:
        late = asyncio.run(play(site))
    except Exception:
        print(traceback.format_exc())
        return 2
    shutil.rmtree(site.folder, ignore_errors=True)
    if late is None:
        return 2
    print(f"{len(late)} requests reached it that were sent later than {DRAIN_S} s after the "
          f"acknowledgement" + (f", the first {late[0]:.1f} s after it" if late else ""))
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
