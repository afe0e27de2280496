"""Open connections to the core go silent for good, more than once, while new ones work."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from fleet import BOUNDS, Client, Server, Site, main, route, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENTS = 4
EVENT_INTERVAL_S = 9.0
OBSERVED_S = 12.0  # after the change


class Views:
    """Requests of the changed route, with the service that ran each."""

    def __init__(self, site):
        self.site = site
        self.rows = []  # (front, time sent, service that ran it or None)

    async def send_forever(self, front, number):
        client = Client(self.site, front)
        at = 0
        while True:
            at += 1
            request_id = f"view-{front.number}-{number}-{at}"
            sent = self.site.record.now()
            await client.send(request_id, "GET", "/proof/x", key=at % 65536)
            ran = [s.service for s in self.site.servers
                   if any(run[0] == request_id for run in s.runs)]
            self.rows.append((front.name, sent, ran[0] if ran else None))
            await asyncio.sleep(0.05)


def routes(target):
    return {"r-proof": route("/proof/", "safe", target), "r-order": route("/order/", "unsafe", "tilaus")}


async def play(record):
    site = Site(record, cores=5, fronts=4, tolerated=2, relayed=True)
    services = {"tilaus": service(True), "karttavarasto": service(False)}
    try:
        await site.start_relays()
        site.start_nodes()
        await site.settle()
        for number in range(1, 4):
            site.servers.append(Server(site, number, "tilaus"))
        for number in range(4, 6):
            site.servers.append(Server(site, number, "karttavarasto", sharded=False))
        for server in site.servers:
            await server.start()
        await site.put(routes("tilaus"), services)
        await site.wait_until_ready(["tilaus"])
        await asyncio.sleep(5.0)
        for number in range(EVENTS):
            if number:
                await asyncio.sleep(EVENT_INTERVAL_S)
            if TROUBLE:
                for relay in site.relays:
                    relay.silence()
                record.say(f"{record.now():6.2f} s: all open connections to the core go silent")
        # After contactS without a further event the core is stable and all machines are in touch.
        await asyncio.sleep(BOUNDS["contactS"] + 0.2)
        views = Views(site)
        for front in site.fronts:
            for number in range(2):
                site.tasks.append(asyncio.create_task(views.send_forever(front, number)))
        sent = record.now()
        await site.put(routes("karttavarasto"), services)
        acknowledged = record.now()
        record.say(f"{acknowledged:6.2f} s: acknowledged that /proof/ goes to karttavarasto, "
                   f"{acknowledged - sent:.2f} s after it was sent; in force "
                   f"{BOUNDS['configApplyS']} s later")
        await asyncio.sleep(OBSERVED_S)
        bound = acknowledged + BOUNDS["configApplyS"]
        late = [row for row in views.rows if row[1] > bound and row[2] == "tilaus"]
        for front in site.fronts:
            old = [row[1] for row in views.rows if row[0] == front.name and row[2] == "tilaus"]
            mine = [row for row in late if row[0] == front.name]
            record.say(f"{front.name}: the last request that the old service ran was sent "
                       f"{max(old, default=acknowledged) - acknowledged:5.2f} s after the "
                       f"acknowledgement; {len(mine)} were sent later than "
                       f"{BOUNDS['configApplyS']} s after it and run by the old service")
        return not late
    finally:
        site.stop()


main(FOLDER, play)
