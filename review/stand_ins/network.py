"""The network between workers and controllers: forwards connections, and falls silent towards a host that is gone."""

import asyncio


class Network:
    def __init__(self, nodes):
        self.nodes = nodes  # name -> address of the controller
        self.silent = set()
        self.addresses = {}

    async def start(self):
        for name in self.nodes:
            await self.add(name)

    async def add(self, name):
        server = await asyncio.start_server(lambda r, w: self.connect(name, r, w), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.addresses[name] = f"{host}:{port}"

    async def connect(self, name, reader, writer):
        if name in self.silent:
            return await self.swallow(name, reader, writer)
        host, port = self.nodes[name].rsplit(":", 1)
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return writer.close()
        connection = asyncio.gather(self.pump(name, reader, to_writer, writer), self.pump(name, to_reader, writer, to_writer))
        try:
            await connection
        except (OSError, asyncio.CancelledError):
            pass
        to_writer.close()
        if name in self.silent:
            await self.swallow(name, reader, writer)
        writer.close()

    async def pump(self, name, reader, writer, other):
        while True:
            data = await reader.read(65536)
            if name in self.silent:
                return
            if not data:
                writer.close()
                other.close()
                return
            writer.write(data)
            await writer.drain()

    async def swallow(self, name, reader, writer):
        """What is sent to a host that is silent gets no answer and no error, until the host is back and resets it."""

        async def read():
            while await reader.read(65536):
                pass

        reading = asyncio.ensure_future(read())
        try:
            while name in self.silent and not reading.done():
                await asyncio.sleep(0.05)
        except asyncio.CancelledError:
            pass
        reading.cancel()
        writer.close()
