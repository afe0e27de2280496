"""Loopback relay in front of a listener that delays, stalls, resets or refuses connections."""
import asyncio
import struct
import socket


class Relay:
    """Forwards connections to the target. `mode` applies to open and new connections."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.mode = "open"  # open, delay, silent (no bytes), half (no bytes to the client), refuse
        self.generation = 0  # connections of earlier generations are silent
        self.connections = set()
        self.server = None

    async def start(self):
        ip, port = self.listen.split(":")
        self.server = await asyncio.start_server(self.accept, ip, int(port), reuse_address=True)

    def stop(self):
        """Accepts no more connections and resets the open ones."""
        if self.server is not None:
            self.server.close()
        self.reset_all()

    def reset_all(self):
        """Resets every open connection."""
        for writer in list(self.connections):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def silence(self):
        """From now on no byte or end passes on the open connections; stop() closes them."""
        self.generation += 1

    async def accept(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        ip, port = self.target.split(":")
        generation = self.generation
        try:
            while self.mode == "silent":
                await asyncio.sleep(0.05)
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.connections |= {writer, target_writer}
        try:
            await asyncio.gather(self.forward(reader, target_writer, False, generation),
                                 self.forward(target_reader, writer, True, generation))
        except asyncio.CancelledError:
            pass  # the soak has ended
        if generation == self.generation:
            self.connections -= {writer, target_writer}

    async def forward(self, reader, writer, towards_client, generation):
        try:
            while data := await reader.read(65536):
                while self.mode == "silent" or (self.mode == "half" and towards_client):
                    await asyncio.sleep(0.05)
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                if generation == self.generation:
                    writer.write(data)
                    await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        if generation == self.generation:
            writer.close()
