"""A server that never stops sending."""

import asyncio

from tests.standins.fleet import free_ports


class EndlessServer:
    """Sends a start and then one piece over and over, until it is cut off."""

    def __init__(self, start: bytes, piece: bytes) -> None:
        self._start = start
        self._piece = piece
        self.sent_bytes = 0
        self.address = ""

    async def listen(self) -> str:
        port = free_ports(1)
        await asyncio.start_server(self._serve, "127.0.0.1", port)
        return f"127.0.0.1:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        writer.write(self._start)
        try:
            while True:
                writer.write(self._piece)
                await writer.drain()
                self.sent_bytes += len(self._piece)
        except ConnectionError:
            writer.close()
