"""A relay in front of a listener, whose open connections can go silent while new ones work."""
import asyncio


class Relay:
    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.generation = 0  # connections of earlier generations are silent
        self.writers = set()
        self.server = None

    async def start(self):
        ip, port = self.listen.split(":")
        self.server = await asyncio.start_server(self.accept, ip, int(port), reuse_address=True)

    def silence(self):
        """From now on no byte, end or reset passes on the open connections."""
        self.generation += 1

    async def accept(self, reader, writer):
        ip, port = self.target.split(":")
        generation = self.generation
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.forward(reader, far_writer, generation),
                             self.forward(far_reader, writer, generation))
        self.writers -= {writer, far_writer}

    async def forward(self, reader, writer, generation):
        try:
            while data := await reader.read(65536):
                if generation == self.generation:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if generation == self.generation:
            writer.close()

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
