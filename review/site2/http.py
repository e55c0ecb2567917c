"""A small HTTP/1.1 server and client over asyncio, standard library only."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response.

    Attributes:
      first: the words of the first line.
      complete: the whole body arrived.
    """

    first: list[str]
    headers: list[tuple[str, str]]
    body: bytes = b""
    complete: bool = True

    def get(self, name: str, default: str = "") -> str:
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self) -> str:
        return self.first[0]

    @property
    def target(self) -> str:
        return self.first[1]

    @property
    def status(self) -> int:
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads a first line and headers; raises IncompleteReadError at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key.strip(), value.strip()))
    return Message(lines[0].split(" ", 2), headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, until_close: bool
) -> None:
    """Reads the body; `complete` is False if the connection ended early."""
    try:
        if "chunked" in message.get("Transfer-Encoding").lower():
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if not size:
                    return
                message.body += piece[:-2]
        elif message.get("Content-Length"):
            length = int(message.get("Content-Length"))
            while len(message.body) < length:
                piece = await reader.read(
                    min(65_536, length - len(message.body))
                )
                if not piece:
                    message.complete = False
                    return
                message.body += piece
        elif until_close:
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        message.complete = False


Reply = tuple[int, list[tuple[str, str]], bytes]
Handler = Callable[[Message], Awaitable[Reply | None]]
REASONS = {200: "OK", 404: "Not Found", 421: "Misdirected Request"}


def encode_reply(reply: Reply) -> bytes:
    status, headers, body = reply
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
    lines += [f"{key}: {value}" for key, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


@dataclass
class Server:
    """Serves one request at a time on each connection.

    A handler that returns None answers nothing; the connection stays open. A
    handler is cancelled when its connection ends.
    """

    handler: Handler
    address: str = ""
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20
        )
        name = self._server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request, False)
                if not request.complete:
                    return
                reply = await self._handle(reader, request)
                if reply is None:
                    await reader.read()
                    return
                writer.write(encode_reply(reply))
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, reader: asyncio.StreamReader, request: Message
    ) -> Reply | None:
        work = asyncio.ensure_future(self.handler(request))
        gone = asyncio.ensure_future(_closed(reader))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if not work.done():
            work.cancel()
            raise ConnectionResetError
        return work.result()


async def _closed(reader: asyncio.StreamReader) -> None:
    """Returns when the peer has closed; what it has sent stays unread."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


async def call(
    address: str,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Message | str:
    """Makes one call on a new connection; returns the cause if it fails."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{key}: {value}" for key, value in headers]
                if body or method == "POST":
                    lines.append(f"Content-Length: {len(body)}")
                head = "\r\n".join([*lines, "", ""]).encode("latin-1")
                writer.write(head + body)
                response = await read_head(reader)
                await read_body(reader, response, True)
                return response
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return type(error).__name__
