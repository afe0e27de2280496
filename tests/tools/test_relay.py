"""Tests of the relay of the soak and of what it reads in logs. Usage: test_relay.py BUILD_FOLDER"""
import asyncio
import os
import sys
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "tools"))
from soaklib.membership import MembershipLog, newest_voters  # noqa: E402
from soaklib.relay import Relay  # noqa: E402

LISTEN, TARGET = "127.0.9.1:19731", "127.0.9.2:19731"
DELAY_S = 0.2
BLOCKS, BLOCK_BYTES = 400, 50_000
MAX_TRANSFER_S = 10.0  # a queue of one chunk takes about 20 s


async def echo(reader, writer):
    try:
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass  # the relay resets connections when it stops
    writer.close()


async def with_relay(use):
    """Runs `use(reader, writer)` on a connection through a delaying relay to an echo server."""
    relay = Relay(LISTEN, TARGET, DELAY_S)
    server = await asyncio.start_server(echo, *TARGET.split(":"))
    await relay.start()
    reader, writer = await asyncio.open_connection(*LISTEN.split(":"))
    try:
        return await use(reader, writer)
    finally:
        writer.close()
        relay.stop()
        server.close()
        await asyncio.sleep(0.1)


class RelayTest(unittest.TestCase):
    # Guards against a relay that delays only one direction.
    def test_delays_both_directions(self):
        async def use(reader, writer):
            begun_at = time.monotonic()
            writer.write(b"ping")
            await reader.readexactly(4)
            return time.monotonic() - begun_at

        self.assertGreaterEqual(asyncio.run(with_relay(use)), 2 * DELAY_S)

    # Guards against a delay that reorders bytes, or that sleeps for each chunk and so limits the
    # throughput of a link.
    def test_keeps_order_and_throughput(self):
        blocks = [bytes([i % 251]) * BLOCK_BYTES for i in range(BLOCKS)]

        async def use(reader, writer):
            begun_at = time.monotonic()
            reading = asyncio.create_task(reader.readexactly(BLOCKS * BLOCK_BYTES))
            for block in blocks:
                writer.write(block)
                await writer.drain()
            return await reading, time.monotonic() - begun_at

        received, elapsed = asyncio.run(with_relay(use))
        self.assertTrue(received == b"".join(blocks))
        self.assertLess(elapsed, MAX_TRANSFER_S)


def log_of(*lines):
    return MembershipLog("\n".join(
        '{ "timestamp": "2026-12-06 14:00:5%d,000", "level": "INFO", "logger": "root", '
        '"message": "replica: %s" }' % (i, line) for i, line in enumerate(lines)))


class MembershipLogTest(unittest.TestCase):
    # Guards against a learner that counts as a voter.
    def test_tells_since_when_a_member_votes(self):
        lines = ["creates data folder of member 2, joins the group as learner",
                 "is learner in term 2, leader is member 1",
                 "voters are 1/a; this member does not vote; last entry 6"]
        self.assertIsNone(log_of(*lines).votes_since())
        self.assertFalse(log_of(*lines).takes_part())
        lines += ["is follower in term 2, leader is member 1",
                  "voters are 1/a 2/b; this member votes; last entry 8",
                  "voters are 1/a 2/b 3/c; this member votes; last entry 9"]
        self.assertEqual(log_of(*lines).votes_since(), "14:00:54,000")
        self.assertEqual(log_of(*lines).identity(), "2/b")
        self.assertTrue(log_of(*lines).takes_part())
        lines += ["creates data folder of member 3, joins the group as learner"]
        self.assertIsNone(log_of(*lines).votes_since())

    # Guards against a restarted member whose start nobody confirms and that counts as present.
    def test_an_unconfirmed_start_takes_no_part(self):
        log = log_of("voters are 1/a 2/b; this member votes; last entry 8",
                     "has waited 1000 ms for confirmations of its start: 2 needed")
        self.assertFalse(log.takes_part())

    # Guards against a host that counts as a voter after its slot was given to another one.
    def test_the_longest_log_tells_who_votes(self):
        older = log_of("voters are 1/a 2/b; this member votes; last entry 8")
        newer = log_of("voters are 1/a 2/d; this member votes; last entry 12")
        self.assertEqual(newest_voters([newer, older]), {"1/a", "2/d"})


if __name__ == "__main__":
    if len(sys.argv) > 1:
        sys.argv.pop()
    unittest.main()
