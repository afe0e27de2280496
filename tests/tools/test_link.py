"""Tests of the network link emulator. Usage: test_link.py BUILD_FOLDER"""
import os
import socket
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "tools"))
from testsite.link import Link  # noqa: E402

BUILD = "build"
SILENCE_TIMEOUT = 0.3  # seconds after which a connection counts as silent


class EchoServer:
    """Sends back what it receives."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            peer, _ = self.listener.accept()
            threading.Thread(target=self.echo, args=(peer,), daemon=True).start()

    @staticmethod
    def echo(peer):
        try:
            while data := peer.recv(65536):
                peer.sendall(data)
        except OSError:
            pass
        peer.close()


class LinkTest(unittest.TestCase):
    def setUp(self):
        self.link = Link(BUILD)
        self.server = EchoServer()
        self.address = self.link.add("a", self.server.address)

    def tearDown(self):
        self.link.stop()

    def connect(self):
        ip, port = self.address.split(":")
        peer = socket.create_connection((ip, int(port)), timeout=5)
        self.addCleanup(peer.close)
        return peer

    def echoes(self, peer, size=10, timeout=10.0):
        """Whether `size` bytes are sent back completely in time."""
        peer.settimeout(timeout)
        sender = threading.Thread(target=peer.sendall, args=(b"x" * size,), daemon=True)
        sender.start()
        received = 0
        try:
            while received < size:
                data = peer.recv(65536)
                if not data:
                    return False
                received += len(data)
        except TimeoutError:
            return False
        sender.join(timeout)
        return True

    def test_forwards_more_than_its_buffers(self):
        """Guards against bytes that are lost when one side is slower than the other."""
        self.assertTrue(self.echoes(self.connect(), 8_000_000))
        self.assertEqual(self.link.count("a")[:2], (8_000_000, 8_000_000))

    def test_delays_each_way(self):
        """Guards against a latency that is not applied in both directions."""
        self.link.command("latency a 30000")
        peer = self.connect()
        start = time.monotonic()
        self.assertTrue(self.echoes(peer))
        self.assertGreaterEqual(time.monotonic() - start, 0.06)

    def test_limits_the_rate(self):
        """Guards against relays that exceed the capacity of their line."""
        self.link.command("rate a 8000")
        peer = self.connect()
        start = time.monotonic()
        self.assertTrue(self.echoes(peer, 500_000))
        self.assertGreaterEqual(time.monotonic() - start, 0.45)

    def test_cut_refuses_and_resets(self):
        """Guards against a cut that leaves connections open or accepts new ones."""
        peer = self.connect()
        self.assertTrue(self.echoes(peer))
        self.link.command("cut a")
        self.assertRaises(ConnectionError, peer.recv, 1)
        self.assertRaises(ConnectionRefusedError, self.connect)
        self.link.command("heal a")
        self.assertTrue(self.echoes(self.connect()))

    def test_connections_stay_silent_after_swallow(self):
        """Guards against connections that lost bytes and work again after the fault."""
        old = self.connect()
        self.assertTrue(self.echoes(old))
        self.link.command("swallow a")
        self.assertFalse(self.echoes(old, timeout=SILENCE_TIMEOUT))
        self.assertFalse(self.echoes(self.connect(), timeout=SILENCE_TIMEOUT))
        self.link.command("heal a")
        self.assertFalse(self.echoes(old, timeout=SILENCE_TIMEOUT))
        self.assertTrue(self.echoes(self.connect()))

    def test_silence_does_not_affect_new_connections(self):
        """Guards against a "silence" command that also affects connections opened later."""
        old = self.connect()
        self.assertTrue(self.echoes(old))
        self.link.command("silence a")
        self.assertTrue(self.echoes(self.connect()))
        self.assertFalse(self.echoes(old, timeout=SILENCE_TIMEOUT))

    def test_hold_delays_bytes(self):
        """Guards against a "hold" command that drops bytes instead of delaying them."""
        peer = self.connect()
        self.assertTrue(self.echoes(peer))
        self.link.command("hold a")
        self.assertFalse(self.echoes(peer, timeout=SILENCE_TIMEOUT))
        self.link.command("heal a")
        peer.settimeout(10)
        self.assertTrue(peer.recv(10))


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main()
