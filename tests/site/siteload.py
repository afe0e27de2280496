"""Callers at a site of the soak test without faults, for tests that change one thing."""
import asyncio
import pathlib
import sys
import time

root = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(root / "tools"))
from soak import CALLERS_PER_GATEWAY, Soak  # noqa: E402

WAIT_S = 20.0  # until requests are served
CALM_S = 1.5  # in which nothing but served requests must be seen before the test begins


class SiteLoad:
    """A site of real processes with callers at each gateway."""

    def __init__(self, build, seed, gateways, callers_per_gateway=CALLERS_PER_GATEWAY,
                 distant_s=0.0):
        self.site = Soak(build, seed, 0, gateways, distant_s=distant_s)
        self.callers_per_gateway = callers_per_gateway
        self.callers = []

    async def start(self):
        """Starts the site and the callers; returns when all requests are served."""
        await self.site.start_site()
        self.callers = [
            asyncio.create_task(self.site.call_forever(gateway, keeps_connection=i % 2 == 0))
            for gateway in self.site.gateways for i in range(self.callers_per_gateway)]
        end = time.monotonic() + WAIT_S
        while time.monotonic() < end:
            await asyncio.sleep(0.2)
            recent = self.outcomes_since(time.monotonic() - CALM_S)
            if len(recent) > self.callers_per_gateway and all(recent):
                return
        raise AssertionError("requests are not served")

    def outcomes_since(self, start):
        """Whether each request since a time was served."""
        return [served for at, served in self.site.outcomes if at >= start]

    def violations(self):
        return self.site.checks.violations

    async def run(self, play):
        """Starts the site, plays, and fails if a check has found a violation."""
        try:
            await self.start()
            await play(self)
            found = self.violations()
            assert not found, f"{len(found)} violations: " + "; ".join(found[:3])
            print("1 passed, 0 failed")
        finally:
            for task in self.callers:
                task.cancel()
            await self.site.stop()
