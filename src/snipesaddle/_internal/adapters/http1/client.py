"""One HTTP/1.1 connection to a server, with one request at a time."""

import abc
import asyncio
from dataclasses import dataclass
from typing import cast

import httptools

from snipesaddle._internal.adapters import tcp_keepalive
from snipesaddle._internal.adapters.http1.headers import Headers, find_header

_NO_BODY_STATUSES = frozenset({204, 304})


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response that was read in whole."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, its name in lower case."""
        return find_header(self.headers, name)


class ResponseListener(abc.ABC):
    """Takes what happens on connections."""

    @abc.abstractmethod
    def matches_request(
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
    def on_closed(self, connection: "ClientConnection", detail: str) -> None:
        """Takes notice that the connection is gone."""


class ClientConnection(asyncio.Protocol):
    """A connection; bytes after a complete response make it unusable."""

    def __init__(self, connection_id: int, listener: ResponseListener) -> None:
        self.connection_id = connection_id
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._busy = False
        self._is_head_request = False
        self._desynchronized = False
        self._closed = False
        self._responses: list[tuple[HttpResponse, bool]] = []
        self._in_message = False
        self._headers_done = False
        self._has_known_length = False
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []

    @property
    def is_busy(self) -> bool:
        """Tells whether a request waits for its response."""
        return self._busy

    def socket_option(self, level: int, socket_option: int) -> int:
        """Returns an option of its socket."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        return int(sock.getsockopt(level, socket_option))

    def send(self, data: bytes, is_head_request: bool = False) -> None:
        """Writes a request; nothing is sent on a connection that is gone."""
        self._busy = True
        self._is_head_request = is_head_request
        if self._transport is not None:
            self._transport.write(data)

    def close(self) -> None:
        """Ends the connection at once; the listener hears nothing more."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        if self._closed:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._notify_closed(str(exc) if exc else "closed by the server")

    def eof_received(self) -> bool:
        if self._busy and self._headers_done and not self._has_known_length:
            self._finish_message(keep_alive=False)
            self._deliver()
        return False

    def data_received(self, data: bytes) -> None:
        if not self._busy:
            self._fail("unexpected bytes")
            return
        malformed = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            malformed = self._desynchronized = True
        self._deliver()
        if malformed and self._busy:
            self._fail("malformed response")

    # What the parser calls.

    def on_message_begin(self) -> None:
        self._in_message = True
        self._headers_done = False
        self._has_known_length = False
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
            self._has_known_length = True

    def on_headers_complete(self) -> None:
        self._headers_done = True
        if self._parser.get_status_code() in _NO_BODY_STATUSES:
            self._has_known_length = True
        if self._is_head_request:
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
        self._responses.append((response, keep_alive))

    def _deliver(self) -> None:
        responses, self._responses = self._responses, []
        for position, (response, server_keeps_open) in enumerate(responses):
            if not self._listener.matches_request(self, response):
                self._desynchronized = True
                continue
            is_last = position == len(responses) - 1
            is_synchronized = (
                is_last and not self._in_message and not self._desynchronized
            )
            self._busy = False
            reusable = (
                is_synchronized
                and server_keeps_open
                and self._is_write_buffer_empty()
            )
            self._listener.on_response(self, response, reusable)
            return

    def _is_write_buffer_empty(self) -> bool:
        transport = self._transport
        return transport is not None and not transport.get_write_buffer_size()

    def _fail(self, detail: str) -> None:
        transport = self._transport
        self._notify_closed(detail)
        if transport is not None:
            transport.abort()

    def _notify_closed(self, detail: str) -> None:
        if self._closed:
            return
        self._closed = True
        self._busy = False
        self._listener.on_closed(self, detail)


async def connect(
    address: str,
    connection: ClientConnection,
    timeout_s: float,
    *,
    enable_keepalive: bool = False,
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
    if enable_keepalive:
        tcp_keepalive.enable(transport.get_extra_info("socket"))
