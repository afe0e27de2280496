"""Loopback relay in front of a listener that delays, stalls, resets or refuses connections."""
import asyncio
import struct
import socket
import time

MAX_QUEUED_CHUNKS = 1024  # of a direction of a connection; a chunk has at most 64 KiB


class Relay:
    """Forwards connections to the target. `mode` applies to open and new connections. With
    `delay_s` every byte arrives that much later, in each direction; the delay limits neither the
    order nor the throughput, since further bytes are read while earlier ones are on their way."""

    def __init__(self, listen, target, delay_s=0.0):
        self.listen = listen
        self.target = target
        self.delay_s = delay_s
        self.mode = "open"  # open, delay, silent (no bytes), half (no bytes to the client), refuse
        self.generation = 0  # connections of earlier generations are silent
        self.connections = set()
        self.server = None

    async def start(self):
        ip, port = self.listen.split(":")
        self.server = await asyncio.start_server(self.accept, ip, int(port), reuse_address=True)

    def stop(self):
        """Accepts no more connections and resets the open ones, also those that wait for the end of
        a fault: what is open while the event loop closes would leave errors behind (seed 37)."""
        self.mode = "refuse"
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
            if self.mode == "refuse":
                writer.transport.abort()
                return
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
        queue = asyncio.Queue(MAX_QUEUED_CHUNKS if self.delay_s > 0 else 1)
        reading = asyncio.create_task(self.read_chunks(reader, queue, towards_client))
        try:
            while data := await self.next_chunk(queue):
                if generation == self.generation:
                    writer.write(data)
                    await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            reading.cancel()
        if generation == self.generation:
            writer.close()

    async def read_chunks(self, reader, queue, towards_client):
        """Puts what arrives into the queue with the time at which it is due; the end of the
        connection is an empty chunk."""
        data = b"-"
        while data:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b""
            while data and (self.mode == "silent" or (self.mode == "half" and towards_client)):
                await asyncio.sleep(0.05)
            if data and self.mode == "delay":
                await asyncio.sleep(0.15)
            await queue.put((time.monotonic() + self.delay_s, data))

    async def next_chunk(self, queue):
        """The next chunk of the queue, at the time at which it is due."""
        due, data = await queue.get()
        left_s = due - time.monotonic()
        if left_s > 0:
            await asyncio.sleep(left_s)
        return data
