"""A heartbeat of another writer, for a service that no configuration names, arrives at control."""
import asyncio
import json
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from fleet import Client, Server, Site, main, route, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_SHARED_S = 0.5


def shared_holds(servers):
    """Spans in which two servers that are up hold the same keys: (seconds, text), longest first."""
    rows = [(server, row) for server in servers for row in server.intervals()]
    found = []
    for at, (one, a) in enumerate(rows):
        for other, b in rows[at + 1:]:
            keys = max(a[0], b[0]), min(a[1], b[1])
            span = max(a[3], b[3]), min(a[4], b[4])
            if one is other or keys[0] > keys[1] or span[0] >= span[1]:
                continue
            begun = [sum(keys[0] <= run[1] <= keys[1] and span[0] <= run[2] <= span[1]
                         for run in server.runs) for server in (one, other)]
            found.append((span[1] - span[0],
                          f"keys {keys[0]}-{keys[1]}: {one.id} (fence {a[2]}) and {other.id} (fence "
                          f"{b[2]}) held them together for {span[1] - span[0]:.2f} s and began "
                          f"{begun[0]} and {begun[1]} requests on them"))
    return sorted(found, reverse=True)


async def order_forever(site, front, number):
    client = Client(site, front)
    at = 0
    while True:
        at += 1
        await client.send(f"order-{front.number}-{number}-{at}", "POST", "/order/x",
                          key=random.randrange(65536), body=b"o" * 300)
        await asyncio.sleep(0.02)


async def play(record):
    site = Site(record, cores=5, fronts=3, tolerated=2)
    try:
        site.start_nodes()
        await site.settle()
        for number in range(1, 6):
            site.servers.append(Server(site, number, "tilaus", work_s=(0.16, 0.26)))
            await site.servers[-1].start()
        await site.put({"r-order": route("/order/", "unsafe", "tilaus")},
                       {"tilaus": service(True)})
        await site.wait_until_ready(["tilaus"])
        for front in site.fronts:
            for number in range(8):
                site.tasks.append(asyncio.create_task(order_forever(site, front, number)))
        await asyncio.sleep(3.0)
        server = site.servers[1]
        if TROUBLE:
            beat = {"address": server.address, "born": int(time.time() * 1000),
                    "info": {"service": "mittari", "version": "v1", "zone": server.zone,
                             "maxConcurrency": 6},
                    "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0}}
            status, _ = await site.control("POST", "/-/Instances.Heartbeat/i-mittari-7",
                                           json.dumps(beat))
            record.say(f"a heartbeat of another writer names the address of {server.id} and the "
                       f"service mittari, which no configuration names; it is answered {status}")
        await asyncio.sleep(8.0)
        found = shared_holds(site.servers)
        for _, text in found[:10]:
            record.say(text)
        record.say(f"{server.id} was up all the while; it held "
                   f"{sum(row[1] - row[0] + 1 for row in server.holds)} keys at the end")
        return all(seconds <= MAX_SHARED_S for seconds, _ in found)
    finally:
        site.stop()


main(FOLDER, play)
