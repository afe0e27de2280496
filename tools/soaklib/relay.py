"""Loopback relay before a listener: delays, cuts, resets or silences what passes."""
import asyncio
import struct
import socket


class Relay:
    """Passes connections on to the target. `mode` applies to open and new connections."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.mode = "open"  # open, delay, silent (both ways), half (no bytes back), refuse
        self.connections = set()
        self.server = None

    async def start(self):
        ip, port = self.listen.split(":")
        self.server = await asyncio.start_server(self.accept, ip, int(port), reuse_address=True)

    def reset_all(self):
        """Resets every open connection."""
        for writer in list(self.connections):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def accept(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        ip, port = self.target.split(":")
        try:
            while self.mode == "silent":
                await asyncio.sleep(0.05)
            back_reader, back_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.connections |= {writer, back_writer}
        try:
            await asyncio.gather(self.pass_on(reader, back_writer, False),
                                 self.pass_on(back_reader, writer, True))
        except asyncio.CancelledError:
            pass  # the run has ended
        self.connections -= {writer, back_writer}

    async def pass_on(self, reader, writer, is_back):
        try:
            while data := await reader.read(65536):
                while self.mode == "silent" or (self.mode == "half" and is_back):
                    await asyncio.sleep(0.05)
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()
