"""A leaf that breaks off each of its answers at a chosen byte."""

import asyncio
import socket
import struct
from dataclasses import dataclass
from enum import Enum


class Framing(Enum):
    """How an answer tells where its body ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclass
class CuttingLeaf:
    """Answers every request up to a byte, then closes or resets.

    Attributes:
      cut_after: the number of bytes that are sent.
      resets: whether the connection is reset instead of closed.
      answers_cut: how many answers were broken off.
    """

    signature: bytes
    body: bytes
    framing: Framing = Framing.LENGTH
    cut_after: int = 0
    resets: bool = False
    answers_cut: int = 0

    async def start(self, port: int) -> None:
        """Listens on a port of loopback until the loop ends."""
        await asyncio.start_server(self._serve, "127.0.0.1", port)

    def head(self, request_id: bytes) -> bytes:
        """Returns the status line and the headers of an answer."""
        fields = {
            Framing.LENGTH: b"Content-Length: %d\r\n" % len(self.body),
            Framing.CHUNKED: b"Transfer-Encoding: chunked\r\n",
            Framing.CLOSE: b"",
        }
        return (
            b"HTTP/1.1 200 OK\r\nServer-Stamp: %b\r\nRequest-Id: %b\r\n%b\r\n"
            % (self.signature, request_id, fields[self.framing])
        )

    def answer(self, request_id: bytes) -> bytes:
        """Returns a complete answer."""
        body = self.body
        if self.framing is Framing.CHUNKED:
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return self.head(request_id) + body

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1)
            for line in head.split(b"\r\n")[1:]
            if line
        )
        await reader.readexactly(int(fields.get(b"content-length", b"0")))
        self.answers_cut += 1
        answer = self.answer(fields[b"request-id"])
        writer.write(answer[: self.cut_after])
        await writer.drain()
        if self.resets:
            # Closing at once with no linger time sends a reset.
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await asyncio.sleep(0.002)
            writer.transport.abort()
            return
        writer.close()
