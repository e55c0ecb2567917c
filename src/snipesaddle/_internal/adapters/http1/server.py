"""An HTTP/1.1 server that passes on complete requests.

Pipelined requests of a connection are queued and handled one at a time.
"""

import abc
import asyncio
import itertools
from collections import deque
from dataclasses import dataclass
from http import HTTPStatus
from typing import cast

import anyio
import httptools
from absl import logging

from snipesaddle._internal.adapters.http1.headers import (
    NO_BODY_STATUSES,
    Headers,
    find_header,
)

_SWEEP_INTERVAL_S = 0.5
_MAX_PIPELINED_REQUESTS = 16
# After a final response, how long received bytes are dropped before the close,
# so that the client can read the response.
_LINGER_S = 1.0
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; `name` is in lower case."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class ServerLimits:
    """Limits on the size and the duration of what clients send.

    Attributes:
      max_header_bytes: for the request target with all headers.
      max_body_bytes: for the body.
      header_timeout_s: from the start of a request to the end of its headers.
      idle_timeout_s: for a connection without a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class RequestHandler(abc.ABC):
    """Handles the requests of a server."""

    @abc.abstractmethod
    def on_request(self, client_id: int, request: HttpRequest) -> None:
        """Handles a request, to be answered by HttpServer.respond."""

    @abc.abstractmethod
    def on_disconnect(self, client_id: int) -> None:
        """Handles a client that disconnected before it was answered."""


class HttpServer:
    """Listens on one address and passes requests to one handler."""

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler
        self.limits = ServerLimits()
        self._pending: dict[int, _ServerConnection] = {}
        self._connections: set[_ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._closing_idle = False
        self._all_closed = asyncio.Event()

    @property
    def connection_count(self) -> int:
        """Returns the connections that are open or have unsent bytes."""
        return len(self._connections)

    async def start(self, address: str) -> None:
        """Starts listening on an IP:PORT address.

        Raises:
          OSError: the address cannot be used.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), host, int(port), backlog=1_024
        )
        self._sweep()

    def respond(
        self,
        client_id: int,
        status: int,
        reason: bytes,
        headers: Headers,
        body: bytes,
        close_connection: bool = False,
    ) -> None:
        """Answers a pending request; ignored if the client disconnected.

        Args:
          client_id: the pending request.
          status: the status code.
          reason: the reason phrase.
          headers: the headers, with the Content-Length.
          body: left out if the method or the status allows none.
          close_connection: close the connection after the response.
        """
        connection = self._pending.pop(client_id, None)
        if connection is not None:
            close_connection = close_connection or self._closing_idle
            connection.respond(status, reason, headers, body, close_connection)

    def is_head(self, client_id: int) -> bool:
        """Returns whether a pending request has the method HEAD."""
        connection = self._pending.get(client_id)
        return connection is not None and connection.method == b"HEAD"

    def close_idle(self) -> None:
        """Closes idle connections, and later each one after its response."""
        self._closing_idle = True
        for connection in list(self._connections):
            connection.close_if_idle()

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self._connections):
            connection.close()

    async def drain(self, timeout_s: float) -> None:
        """Stops once all requests are answered, or after a time limit."""
        self._stop_listening()
        self.close_idle()
        if self._connections:
            self._all_closed.clear()
            with anyio.move_on_after(timeout_s):
                await self._all_closed.wait()
        self.stop()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    def add_pending(
        self, client_id: int, connection: "_ServerConnection"
    ) -> None:
        """Registers the connection of a pending request."""
        self._pending[client_id] = connection

    def add_connection(self, connection: "_ServerConnection") -> None:
        """Registers a new connection."""
        self._connections.add(connection)

    def remove_connection(self, connection: "_ServerConnection") -> None:
        """Removes a lost connection and reports its pending request."""
        self._connections.discard(connection)
        client_id = connection.client_id
        if client_id and self._pending.pop(client_id, None) is not None:
            self.handler.on_disconnect(client_id)
        if not self._connections:
            self._all_closed.set()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for connection in list(self._connections):
            connection.check_timeouts(now_s)
        self._sweeper = loop.call_later(_SWEEP_INTERVAL_S, self._sweep)


_client_ids = itertools.count(1)


class _ServerConnection(asyncio.Protocol):
    """One client connection.

    Attributes:
      client_id: the id of the request being handled; 0 for none.
      method: the method of that request, or of one that is rejected while it
        is being received.
    """

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._loop = asyncio.get_running_loop()
        self._queued: deque[tuple[HttpRequest, bool]] = deque()
        self._keep_alive = True
        self._error: tuple[int, bytes] | None = None
        self._upgrade_requested = False
        self._discarding_until_s = 0.0
        self._waiting_since_s = self._loop.time()
        self._in_message = False
        self._headers_done = False
        self._header_bytes = 0
        self._body_bytes = 0
        self._target = b""
        self._received_method = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self.client_id = 0
        self.method = b""

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._transport = None
        self._queued.clear()
        self._server.remove_connection(self)

    def data_received(self, data: bytes) -> None:
        if self._discarding_until_s or self._error or self._upgrade_requested:
            return
        if not self._headers_done:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._on_upgrade()
        except httptools.HttpParserError as error:
            if self._error is None:
                logging.info("malformed request: %s", error)
                self._error = (400, b"the request is malformed")
        limit = self._server.limits.max_header_bytes
        if not self._headers_done and self._header_bytes > limit:
            self._error = (431, b"the header is too large")
        self._process_next()

    def _on_upgrade(self) -> None:
        # What follows is in another protocol, so nothing more is read.
        self._upgrade_requested = True
        if not self._queued:
            return
        request, _ = self._queued.pop()
        if request.method == b"CONNECT":
            self._error = (400, b"tunnels are not served")
            return
        self._queued.append((request, False))

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        self._in_message = True
        self._headers_done = False
        self._waiting_since_s = self._loop.time()
        self._body_bytes = 0
        self._target = b""
        self._received_method = b""
        self._headers = []
        self._body = []

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._received_method = self._parser.get_method()

    def on_header(self, name: bytes, value: bytes) -> None:
        # Drops the trailer fields of a chunked body.
        if not self._headers_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._headers_done = True
        size = len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        if size > self._server.limits.max_header_bytes:
            self._error = (431, b"the header is too large")
        hosts = sum(name.lower() == b"host" for name, _ in self._headers)
        if hosts > 1:
            self._error = (400, b"the request has more than one Host")
        if not self.client_id and self._expects_continue():
            assert self._transport is not None
            self._transport.write(_CONTINUE_RESPONSE)

    def _expects_continue(self) -> bool:
        return any(
            name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in self._headers
        )

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._error = (413, b"the body is too large")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._in_message = False
        self._header_bytes = 0
        if len(self._queued) >= _MAX_PIPELINED_REQUESTS:
            self._error = self._error or (400, b"too many requests at once")
        if self._error is not None:
            return
        request = HttpRequest(
            self._received_method,
            self._target,
            tuple(self._headers),
            b"".join(self._body),
        )
        self._headers_done = False
        self._queued.append((request, self._parser.should_keep_alive()))

    # Called by HttpServer.

    def respond(
        self,
        status: int,
        reason: bytes,
        headers: Headers,
        body: bytes,
        close_connection: bool,
    ) -> None:
        """Writes the response to the pending request."""
        self.client_id = 0
        self._waiting_since_s = self._loop.time()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        close_connection = close_connection or not self._keep_alive
        if status == HTTPStatus.NO_CONTENT:
            headers = _without_length(headers)
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
        lines.extend(b"%b: %b\r\n" % header for header in headers)
        if close_connection:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        # The client would read it as the beginning of its next response.
        if self.method != b"HEAD" and status not in NO_BODY_STATUSES:
            lines.append(body)
        transport.write(b"".join(lines))
        if close_connection:
            self._close_gracefully()
            return
        self._process_next()

    def close_if_idle(self) -> None:
        """Closes the connection if it has no request in any state."""
        if not self.client_id and not self._in_message and not self._queued:
            self.close()

    def close(self) -> None:
        """Closes the connection once written data is sent."""
        if self._transport is not None:
            self._transport.close()

    def check_timeouts(self, now_s: float) -> None:
        """Enforces the time limits; called periodically."""
        if self._discarding_until_s:
            if now_s >= self._discarding_until_s:
                self.close()
            return
        if self.client_id:
            return
        limits = self._server.limits
        elapsed_s = now_s - self._waiting_since_s
        if self._in_message or self._header_bytes:
            if elapsed_s > limits.header_timeout_s and not self._headers_done:
                self._reject(408, b"the header came too slowly")
        elif elapsed_s > limits.idle_timeout_s:
            self.close()

    def _process_next(self) -> None:
        if self.client_id or self._discarding_until_s:
            return
        if self._queued:
            request, self._keep_alive = self._queued.popleft()
            self.client_id = next(_client_ids)
            self.method = request.method
            self._server.add_pending(self.client_id, self)
            self._server.handler.on_request(self.client_id, request)
        elif self._error is not None:
            self._reject(*self._error)

    def _reject(self, status: int, detail: bytes) -> None:
        self._keep_alive = False
        self.method = self._received_method
        headers = (
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", b"%d" % len(detail)),
        )
        self.respond(status, detail, headers, detail, close_connection=True)

    def _close_gracefully(self) -> None:
        # Closing a socket with unread input would reset the connection, and the
        # client could lose the response.
        self._discarding_until_s = self._loop.time() + _LINGER_S
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()


def _without_length(headers: Headers) -> Headers:
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() != b"content-length"
    )
