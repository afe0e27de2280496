#!/usr/bin/env python3
"""The largest request that a configuration allows, in calm, at a gateway with little memory.

Guards against a gateway that refuses a single request within the limits although nothing else needs its
memory, or that takes more memory for it than its host has. It checks no times.
Usage: test_largest_request.py BUILD FORM
"""
import asyncio
import pathlib
import sys

root = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(root / "tools"))
sys.path.insert(0, str(root / "tests/site"))
from soak import Soak  # noqa: E402
from soaklib.misbehaving import UPLOADS, head  # noqa: E402
from test_uncontrolled_clients import peak_bytes  # noqa: E402

SEED = 20261290
FORMS = ["pieces", "large_chunks", "small_chunks"]
MEMORY_MB = 112
BODY_BYTES = 64 << 20  # maxBodyBytes of a configuration
SMALL_CHUNKS_BYTES = 8 << 20  # six times as many on the wire
DEADLINE_S = 60  # so long that the speed of the machine does not matter
REQUESTS = 3  # one after another, on new connections


async def upload(site, gateway, form):
    """Sends one request; returns the status line of the response."""
    size = SMALL_CHUNKS_BYTES if form == "small_chunks" else BODY_BYTES
    lines, pieces, end = UPLOADS[form](size)
    reader, writer = await asyncio.open_connection(gateway.ip, site.ports["callers"])
    try:
        writer.write(head(site.checks, gateway, "POST", "/order/x", lines, DEADLINE_S * 1000))
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        writer.write(end)
        return (await reader.readline()).decode().strip()
    except OSError as error:
        return f"no response: {error}"
    finally:
        writer.close()


async def main(build, form):
    site = Soak(build, SEED + FORMS.index(form), 0, 1)
    site.route_timeout_s = float(DEADLINE_S)
    gateway = site.gateways[0]
    gateway.role_settings = f"memory-mb = {MEMORY_MB}\n"
    try:
        await site.start_site()
        responses = [await upload(site, gateway, form) for _ in range(REQUESTS)]
        peak = peak_bytes(gateway.process.pid)
        print(f"{responses}, at most {peak / 1e6:.0f} MB")
    finally:
        await site.stop()
    assert all(" 200 " in response for response in responses), responses
    assert peak <= MEMORY_MB * 1e6, f"{peak / 1e6:.0f} MB"
    print("1 passed, 0 failed")


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:3]))
