"""A loopback proxy whose connections can be delayed, reset, cut or silenced."""

import asyncio

from .http_text import reset

CHUNK_BYTES = 65536


class Relay:
    """Forwards connections to a port and injects faults into them."""

    def __init__(self, port, target):
        self.port = port
        self.target = target
        self.delay_s = 0.0
        self.cut = set()        # directions, "there" or "back", that are held
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.pairs = []         # (writer there, writer back) of each connection
        self.silenced = set()   # ids of pairs whose bytes are dropped for good
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.accept, "127.0.0.1", self.port)

    async def accept(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target)
        except OSError:
            reset(writer)
            return
        pair = (far_writer, writer)
        self.pairs.append(pair)
        await asyncio.gather(self.copy(reader, far_writer, "there", pair),
                             self.copy(far_reader, writer, "back", pair))
        self.pairs.remove(pair)
        self.silenced.discard(id(pair))

    async def copy(self, reader, writer, direction, pair):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if id(pair) in self.silenced:
                    continue
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while direction in self.cut:
                    await self.resumed.wait()
                writer.write(data)
                await writer.drain()
            if id(pair) not in self.silenced:
                writer.close()
        except (ConnectionError, OSError, asyncio.CancelledError):
            for each in pair:
                reset(each)

    def reset(self):
        for pair in list(self.pairs):
            for each in pair:
                reset(each)

    def lead_to(self, port):
        """Ends all connections; new ones lead to another port."""
        self.target = port
        self.reset()

    def silence(self):
        """Drops all further bytes of open connections; new connections work."""
        self.silenced.update(id(pair) for pair in self.pairs)

    def cut_off(self, directions):
        self.cut = set(directions)
        self.resumed.clear()

    def restore(self):
        self.cut = set()
        self.delay_s = 0.0
        self.resumed.set()

    async def stop(self):
        self.restore()
        self.server.close()
        self.reset()
