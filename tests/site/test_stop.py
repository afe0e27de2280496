#!/usr/bin/env python3
"""Stops a gateway while upstreams are silent about requests that it has sent.

Guards against a gateway that ends with requests whose connections close without a response: their
callers cannot tell whether anything has happened. Usage: test_stop.py BUILD
"""
import asyncio
import pathlib
import signal
import sys

root = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(root / "tools"))
from soak import Soak  # noqa: E402
from soaklib.upstreams import http  # noqa: E402

SEED = 20261205
KEYS = range(0, 65536, 8192)  # of the orders that are open when the gateway stops
WAIT_S = 20.0  # until orders are served
SILENCE_S = 30.0  # longer than the deadline of an order and the grace period of the gateway


async def send(site, gateway, request_id, key):
    """Sends an order whose caller waits longer than the gateway may take to stop."""
    status, _, _ = await http(
        "POST", f"{gateway.ip}:{site.ports['callers']}", "/order/x", "abc",
        {"X-Cassiaroad-Request-Id": request_id, "X-Cassiaroad-Shard-Key": str(key),
         "X-Cassiaroad-Deadline-Ms": "9000"}, 10.0)
    return status


async def wait_until_served(site, gateway):
    """Waits until orders of all keys are served."""
    for attempt in range(int(WAIT_S / 0.1)):
        statuses = [await send(site, gateway, f"early{attempt:04d}{key:05d}", key) for key in KEYS]
        if statuses == [200] * len(KEYS):
            return
        await asyncio.sleep(0.1)
    raise AssertionError("orders are not served")


async def check_stop(site):
    site.route_timeout_s = 9.0
    await site.start_site()
    gateway = site.gateways[0]
    await wait_until_served(site, gateway)
    for upstream in site.upstreams:
        upstream.service_time_s = (SILENCE_S, SILENCE_S)
    orders = [asyncio.create_task(send(site, gateway, f"late{key:05d}", key)) for key in KEYS]
    while not all(site.checks.runs.get(f"late{key:05d}") for key in KEYS):
        await asyncio.sleep(0.02)
    gateway.signal(signal.SIGTERM)
    statuses = await asyncio.gather(*orders)
    assert statuses == [502] * len(KEYS), statuses
    assert await gateway.ends_within(4.0), "the gateway exceeds its grace period"


async def run(site):
    try:
        await check_stop(site)
        print("1 passed, 0 failed")
    finally:
        await site.stop()


def main():
    asyncio.run(run(Soak(sys.argv[1], SEED, 0)))


if __name__ == "__main__":
    main()
