#!/usr/bin/env python3
"""A crowd of clients that respect no limit at the control listeners of all control hosts.

Guards against a control host that ends or holds more memory than its host has because of the
documents that clients send to it, and against one that serves no other client while they stay. It
checks no times and no shares of served requests. Usage: test_control_listener.py BUILD KIND
"""
import asyncio
import pathlib
import sys

from test_uncontrolled_clients import ATTEMPTS, MAX_DESCRIPTORS, ORDINARY_BODY, PAUSE_S, SETTLED_S
from test_uncontrolled_clients import peak_bytes, statuses_until_answered

root = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(root / "tools"))
from soak import Soak  # noqa: E402
from soaklib.misbehaving import Crowd  # noqa: E402

SEED = 20261295
CLIENTS = 8  # of each control host
MEMORY_MB = 256  # of a control host
EVERY_COMPLETE = 4  # of the documents; the others stop just short of their end
SIZES = {"large_documents": 16 << 20, "documents": 4 << 20}
KINDS = list(SIZES)


async def configuration_is_read(site):
    """Whether an operator can read the configuration."""
    for _ in range(ATTEMPTS):
        if await site.read_version(PAUSE_S) != 0:
            return True
    return False


def check_processes(site):
    """Returns what is wrong with the processes of the site."""
    found = [f"{host.name} has ended" for host in site.controls + site.gateways
             if host.has_ended_by_itself()]
    for host in site.controls if not found else []:
        peak = peak_bytes(host.process.pid)
        descriptors = len(list(pathlib.Path(f"/proc/{host.process.pid}/fd").iterdir()))
        print(f"{host.name}: at most {peak / 1e6:.0f} MB, {descriptors} descriptors")
        if peak > MEMORY_MB * 1e6:
            found.append(f"{host.name}: {peak / 1e6:.0f} MB")
        if descriptors > MAX_DESCRIPTORS:
            found.append(f"{host.name}: {descriptors} descriptors")
    return found


async def play(site, kind):
    """Returns what is wrong."""
    await site.start_site()
    crowds = [Crowd(site, host, "control") for host in site.controls]
    for crowd in crowds:
        crowd.start(CLIENTS, crowd.documents(SIZES[kind], EVERY_COMPLETE))
    try:
        await asyncio.sleep(SETTLED_S)
        statuses = await statuses_until_answered(site, site.gateways[0], "POST", ORDINARY_BODY)
        is_read = await configuration_is_read(site)
        print(f"ordinary request: {statuses}, configuration read: {is_read}")
    finally:
        for crowd in crowds:
            await crowd.stop()
    found = check_processes(site)
    if 200 not in statuses:
        found.append(f"an ordinary request got {statuses}")
    return found if is_read else found + ["an operator could not read the configuration"]


async def main(build, kind):
    site = Soak(build, SEED + KINDS.index(kind), 0, 1)
    try:
        found = await play(site, kind)
    finally:
        await site.stop()
    assert not found, "; ".join(found)
    print("1 passed, 0 failed")


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:3]))
