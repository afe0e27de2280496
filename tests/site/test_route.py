#!/usr/bin/env python3
"""Asks a gateway with the route command where requests would go.

Guards against an answer that names another upstream than the one that owns the key, and against a
command that sends the request. Usage: test_route.py BUILD
"""
import asyncio
import json
import pathlib
import subprocess
import sys

from siteload import SiteLoad

SEED = 20261297
KEYS = range(0, 65536, 4096)
ATTEMPTS = 50  # of a comparison with an owner that may be changing
PAUSE_S = 0.1


class RouteTest:
    """A site with callers, and the route command."""

    def __init__(self, build, load):
        self.binary = str(pathlib.Path(build) / "cassiaroad")
        self.load = load
        gateway = load.site.gateways[0]
        self.address = f"{gateway.ip}:{load.site.ports['ready']}"

    def run(self, *arguments):
        return subprocess.run([self.binary, "route", *arguments], capture_output=True, text=True,
                              check=False)

    def ask(self, path, *key):
        """Answer of the gateway as a document."""
        completed = self.run("--json", self.address, "maps.example", path, *key)
        assert completed.returncode == 0, completed.stderr
        return json.loads(completed.stdout)

    def owner(self, key):
        """Upstream with a lease on a key, or None."""
        return next((u.name for u in self.load.site.upstreams if u.up and u.has_lease(key)), None)

    async def names_the_owner(self, key):
        for _ in range(ATTEMPTS):
            service = self.ask("/order/x", str(key))["services"][0]
            if service["verdict"] == "send" and service["candidates"][0]["upstream"] == self.owner(key):
                return
            await asyncio.sleep(PAUSE_S)
        raise AssertionError(f"key {key}: {service}, owner {self.owner(key)}")

    async def play(self, load):
        for task in load.callers:
            task.cancel()
        await asyncio.sleep(PAUSE_S)
        arrivals = len(load.site.checks.arrivals)
        for key in KEYS:
            await self.names_the_owner(key)
        assert self.ask("/none/x")["reason"] == "no route"
        assert self.ask("/order/x")["services"][0]["reason"] == "no key"
        printed = self.run(self.address, "maps.example", "/order/x", "7").stdout
        assert "service orders, weight 1: " in printed, printed
        assert self.run("127.0.0.9:1", "maps.example", "/order/x").returncode == 1
        assert self.run("nowhere", "maps.example", "/order/x").returncode == 2
        assert len(load.site.checks.arrivals) == arrivals, "a request was sent"


async def main(build):
    load = SiteLoad(build, SEED, 1)
    await load.run(RouteTest(build, load).play)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
