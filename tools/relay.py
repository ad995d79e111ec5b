#!/usr/bin/env python3
"""Forwards TCP connections between failure domains, and cuts domains off.

Reads one JSON list of routes {"from", "to", "address"} from the first line of
its input, and prints one JSON list of the addresses that it listens on. Each
further line is the JSON list of the domains that are cut off: connections to
or from them stay open and carry nothing until the domain is reachable again.
"""

import asyncio
import json
import sys

CHUNK_BYTES = 1 << 18


class Relay:
    def __init__(self):
        self.cut = set()
        self.changed = asyncio.Condition()

    async def set_cut(self, domains):
        async with self.changed:
            self.cut = set(domains)
            self.changed.notify_all()

    async def wait_until_open(self, route):
        ends = {route["from"], route["to"]}
        if ends & self.cut:
            async with self.changed:
                await self.changed.wait_for(lambda: not ends & self.cut)

    async def copy(self, route, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self.wait_until_open(route)
                writer.write(data)
                await writer.drain()
            await self.wait_until_open(route)
            writer.write_eof()
        except OSError:
            # Either side is gone, so the other learns it, too.
            await self.wait_until_open(route)
            writer.close()

    async def serve(self, route, reader, writer):
        await self.wait_until_open(route)
        host, port = route["address"].rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(self.copy(route, reader, far_writer),
                                 self.copy(route, far_reader, writer))
        finally:
            writer.close()
            far_writer.close()

    async def listen(self, route):
        server = await asyncio.start_server(
            lambda reader, writer: self.serve(route, reader, writer), "127.0.0.1", 0)
        return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def main():
    loop = asyncio.get_running_loop()
    lines = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    relay = Relay()
    listening = [await relay.listen(route) for route in json.loads(await lines.readline())]
    print(json.dumps([address for _, address in listening]), flush=True)
    while line := await lines.readline():
        await relay.set_cut(json.loads(line))


if __name__ == "__main__":
    asyncio.run(main())
