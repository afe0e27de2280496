#!/usr/bin/env python3
"""A crowd of clients that respect no limit at a gateway with little memory.

Guards against a gateway that ends, holds more memory than its host has, runs out of descriptors, or
serves no other client while they stay. It checks no times and no shares of served requests.
Usage: test_uncontrolled_clients.py BUILD KIND
"""
import asyncio
import pathlib
import sys

root = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(root / "tools"))
from soak import Soak  # noqa: E402
from soaklib.misbehaving import UPLOADS, Crowd  # noqa: E402

SEED = 20261260
CLIENTS = 40
MEMORY_MB = 100  # the smallest that a gateway takes; 20 of them are for requests and answers
MAX_DESCRIPTORS = 400
BODY_BYTES = 4 << 20
SMALL_CHUNKS_BYTES = 256 << 10  # six times as many on the wire
OVERSIZED_BYTES = 80 << 20  # the limit is 64 MiB
EVERY_COMPLETE = 8  # of the uploads; the others stop just short of their end
ANSWER_BYTES = 1 << 20
ORDINARY_BODY = "o" * 100000
LARGER_BODY = "o" * 1000000  # of an ordinary request that has no part of the memory for itself
SETTLED_S = 5.0  # in which the crowd fills the memory
ATTEMPTS = 20  # of an ordinary request, with pauses between them
PAUSE_S = 0.25
UPLOAD_PAUSE_S = 0.1  # between uploads that have memory one after another

KINDS = list(UPLOADS) + ["oversized_declared", "oversized_chunks", "unread_lookups",
                         "whole_beside_larger_request", "followed_chunks", "http2_uploads",
                         "http2_heads", "whole_at_both_listeners"]


def behaviour(crowd, kind):
    """What a client of the crowd does on a connection."""
    if kind == "unread_lookups":
        return crowd.lookups()
    if kind == "followed_chunks":
        return crowd.followed_uploads("large_chunks", BODY_BYTES, UPLOAD_PAUSE_S)
    if kind == "http2_uploads":
        return crowd.http2_uploads(BODY_BYTES)
    if kind == "http2_heads":
        return crowd.http2_heads()
    if kind.startswith("oversized"):
        form = "pieces" if kind == "oversized_declared" else "large_chunks"
        return crowd.upload(form, OVERSIZED_BYTES, EVERY_COMPLETE)
    if kind in ("whole_beside_larger_request", "whole_at_both_listeners"):
        return crowd.upload("whole", BODY_BYTES, EVERY_COMPLETE)
    return crowd.upload(kind, SMALL_CHUNKS_BYTES if kind == "small_chunks" else BODY_BYTES,
                        EVERY_COMPLETE)


async def statuses_until_answered(site, gateway, method, body):
    """Sends an ordinary request until it is answered with 200; returns all statuses."""
    statuses = []
    while len(statuses) < ATTEMPTS and 200 not in statuses:
        connection = site.connect(gateway)
        _, status, _ = await site.send(connection, gateway, method, "/read/x" if method == "GET"
                                       else "/order/x", body if method == "POST" else "")
        connection.close()
        statuses.append(status)
        await asyncio.sleep(PAUSE_S)
    return statuses


def peak_bytes(pid):
    """Largest resident memory that the process has had."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM:"))


def check_processes(site, gateway):
    """Returns what is wrong with the processes of the site."""
    found = [f"{host.name} has ended" for host in site.controls + site.gateways
             if host.has_ended_by_itself()]
    if found:
        return found
    peak = peak_bytes(gateway.process.pid)
    descriptors = len(list(pathlib.Path(f"/proc/{gateway.process.pid}/fd").iterdir()))
    print(f"at most {peak / 1e6:.0f} MB, {descriptors} descriptors")
    if peak > MEMORY_MB * 1e6:
        found.append(f"{peak / 1e6:.0f} MB")
    if descriptors > MAX_DESCRIPTORS:
        found.append(f"{descriptors} descriptors")
    return found


async def play(site, kind):
    """Returns what is wrong."""
    gateway = site.gateways[0]
    gateway.role_settings = f"memory-mb = {MEMORY_MB}\n"
    await site.start_site()
    method = "GET" if kind == "unread_lookups" else "POST"
    body = LARGER_BODY if kind == "whole_beside_larger_request" else ORDINARY_BODY
    assert 200 in await statuses_until_answered(site, gateway, method, body), "nothing is served"
    for upstream in site.upstreams:
        upstream.answer_bytes = ANSWER_BYTES if kind == "unread_lookups" else 0
    crowds = [Crowd(site, gateway, "callers")]
    if kind == "whole_at_both_listeners":
        crowds.append(Crowd(site, gateway, "ready"))
    for crowd in crowds:
        crowd.start(CLIENTS, behaviour(crowd, kind))
    try:
        await asyncio.sleep(SETTLED_S)
        statuses = await statuses_until_answered(site, gateway, method, body)
        for crowd in crowds:
            print(f"{crowd.sent} sent all, {crowd.closed} closed")
        print(f"ordinary request: {statuses}")
    finally:
        for crowd in crowds:
            await crowd.stop()
    found = check_processes(site, gateway)
    return found if 200 in statuses else found + [f"an ordinary request got {statuses}"]


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
