"""One HTTP/1.1 connection to a server, with one request at a time."""

import abc
import asyncio
from dataclasses import dataclass
from typing import cast

import httptools

from snipesaddle._internal.adapters import keep_alive
from snipesaddle._internal.adapters.http1.fields import Headers, find_field

_NO_BODY = frozenset({204, 304})


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response that was read in whole."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, its name in lower case."""
        return find_field(self.headers, name)


class ResponseListener(abc.ABC):
    """Takes what happens on connections."""

    @abc.abstractmethod
    def is_expected(
        self, connection: "ClientConnection", response: HttpResponse
    ) -> bool:
        """Tells whether a response belongs to the request that waits."""

    @abc.abstractmethod
    def on_response(
        self,
        connection: "ClientConnection",
        response: HttpResponse,
        reusable: bool,
    ) -> None:
        """Takes the response to the request that waits."""

    @abc.abstractmethod
    def on_end(self, connection: "ClientConnection", detail: str) -> None:
        """Takes notice that the connection is gone."""


class ClientConnection(asyncio.Protocol):
    """A connection; bytes after a complete response make it unusable."""

    def __init__(self, connection_id: int, listener: ResponseListener) -> None:
        self.connection_id = connection_id
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._busy = False
        self._is_head = False
        self._spoiled = False
        self._ended = False
        self._complete: list[tuple[HttpResponse, bool]] = []
        self._in_message = False
        self._headers_done = False
        self._framed = False
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []

    @property
    def is_busy(self) -> bool:
        """Tells whether a request waits for its response."""
        return self._busy

    def option(self, level: int, option: int) -> int:
        """Returns an option of its socket."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        return int(sock.getsockopt(level, option))

    def send(self, data: bytes, is_head: bool = False) -> None:
        """Writes a request; nothing is sent on a connection that is gone."""
        self._busy = True
        self._is_head = is_head
        if self._transport is not None:
            self._transport.write(data)

    def close(self) -> None:
        """Ends the connection at once; the listener hears nothing more."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        if self._ended:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._end(str(exc) if exc else "closed by the server")

    def eof_received(self) -> bool:
        if self._busy and self._headers_done and not self._framed:
            self._finish_message(keep_alive=False)
            self._deliver()
        return False

    def data_received(self, data: bytes) -> None:
        if not self._busy:
            self._spoil("unexpected bytes")
            return
        malformed = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            malformed = self._spoiled = True
        self._deliver()
        if malformed and self._busy:
            self._spoil("malformed response")

    # What the parser calls.

    def on_message_begin(self) -> None:
        self._in_message = True
        self._headers_done = False
        self._framed = False
        self._reason = b""
        self._headers = []
        self._body = []

    def on_status(self, status: bytes) -> None:
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._headers_done:
            return
        self._headers.append((name, value))
        lower = name.lower()
        chunked = lower == b"transfer-encoding" and b"chunked" in value.lower()
        if chunked or lower == b"content-length":
            self._framed = True

    def on_headers_complete(self) -> None:
        self._headers_done = True
        if self._parser.get_status_code() in _NO_BODY:
            self._framed = True
        if self._is_head:
            self._finish_message(keep_alive=False)

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self._in_message:
            self._finish_message(self._parser.should_keep_alive())

    def _finish_message(self, keep_alive: bool) -> None:
        self._in_message = False
        self._headers_done = False
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        response = HttpResponse(
            status, self._reason, tuple(self._headers), b"".join(self._body)
        )
        self._complete.append((response, keep_alive))

    def _deliver(self) -> None:
        complete, self._complete = self._complete, []
        for position, (response, stays_open) in enumerate(complete):
            if not self._listener.is_expected(self, response):
                self._spoiled = True
                continue
            is_last = position == len(complete) - 1
            clean = is_last and not self._in_message and not self._spoiled
            self._busy = False
            reusable = clean and stays_open and self._is_drained()
            self._listener.on_response(self, response, reusable)
            return

    def _is_drained(self) -> bool:
        transport = self._transport
        return transport is not None and not transport.get_write_buffer_size()

    def _spoil(self, detail: str) -> None:
        transport = self._transport
        self._end(detail)
        if transport is not None:
            transport.abort()

    def _end(self, detail: str) -> None:
        if self._ended:
            return
        self._ended = True
        self._busy = False
        self._listener.on_end(self, detail)


async def connect(
    address: str,
    connection: ClientConnection,
    timeout_s: float,
    *,
    probed: bool = False,
) -> None:
    """Opens a connection.

    One that is `probed` ends when the server falls silent, also while nothing
    is sent.

    Raises:
      OSError: it could not be opened, or not in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        transport, _ = await loop.create_connection(
            lambda: connection, host, int(port)
        )
    if probed:
        keep_alive.enable(transport.get_extra_info("socket"))
