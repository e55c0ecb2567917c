"""An HTTP/1.1 client connection that carries one request at a time."""

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
    """A complete response."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; `name` is in lower case."""
        return find_header(self.headers, name)


class ResponseListener(abc.ABC):
    """Receives the events of client connections."""

    @abc.abstractmethod
    def matches_request(
        self, connection: "ClientConnection", response: HttpResponse
    ) -> bool:
        """Returns whether a response belongs to the outstanding request.

        A response that does not is dropped.
        """

    @abc.abstractmethod
    def on_response(
        self,
        connection: "ClientConnection",
        response: HttpResponse,
        reusable: bool,
    ) -> None:
        """Handles the response to the outstanding request.

        Args:
          connection: the connection that received it.
          response: the complete response.
          reusable: whether the connection can carry another request.
        """

    @abc.abstractmethod
    def on_closed(self, connection: "ClientConnection", detail: str) -> None:
        """Handles a connection that was lost or failed, with the cause."""


class ClientConnection(asyncio.Protocol):
    """A connection to a server.

    Bytes after a complete response, or a response to another request, make it
    unusable for further requests: its responses could be matched wrongly.
    """

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
        """Whether a request is outstanding."""
        return self._busy

    def socket_option(self, level: int, option: int) -> int:
        """Returns the value of an option of the socket."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        return int(sock.getsockopt(level, option))

    def send(self, data: bytes, is_head_request: bool = False) -> None:
        """Writes an encoded request; does nothing if the connection is lost."""
        self._busy = True
        self._is_head_request = is_head_request
        if self._transport is not None:
            self._transport.write(data)

    def close(self) -> None:
        """Aborts the connection; the listener is not called any more."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of asyncio.Protocol.

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

    # Callbacks of the httptools parser.

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

    Args:
      address: the server, as IP:PORT.
      connection: the protocol object to attach.
      timeout_s: the time limit.
      enable_keepalive: whether TCP keepalive closes the connection when the
        server stops responding, also while no request is outstanding.

    Raises:
      OSError: it could not be opened; TimeoutError if not in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        transport, _ = await loop.create_connection(
            lambda: connection, host, int(port)
        )
    if enable_keepalive:
        tcp_keepalive.enable(transport.get_extra_info("socket"))
