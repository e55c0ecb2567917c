"""A server that never stops sending.

Run as a program, it serves in a process of its own and prints its address.
"""

import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from tests.standins.ports import free_ports

_WRITE_BYTES = 50_000
_ROOT = Path(__file__).resolve().parent.parent.parent


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


@asynccontextmanager
async def endless_process(start: bytes, piece: bytes) -> AsyncIterator[str]:
    """Runs an endless server as a process and yields its address."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.standins.endless",
        start.hex(),
        piece.hex(),
        cwd=_ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    try:
        yield (await process.stdout.readline()).decode().strip()
    finally:
        process.kill()
        await process.wait()


async def _main() -> None:
    start, piece = (bytes.fromhex(text) for text in sys.argv[1:3])
    piece *= _WRITE_BYTES // len(piece)
    print(await EndlessServer(start, piece).listen(), flush=True)
    await asyncio.sleep(60)


if __name__ == "__main__":
    asyncio.run(_main())
