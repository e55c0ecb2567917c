"""An HTTP/1.1 server that reads whole requests, one at a time a connection."""

import abc
import asyncio
import itertools
from collections import deque
from dataclasses import dataclass
from typing import cast

import httptools
from absl import logging

from snipesaddle._internal.adapters.http1.headers import Headers, find_header

_SWEEP_INTERVAL_S = 0.5
_MAX_PIPELINED_REQUESTS = 16
# How long bytes are read and dropped after a refusal, so that the client can
# read it before the connection is closed.
_LINGER_S = 1.0
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that was read in whole."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, its name in lower case."""
        return find_header(self.headers, name)


@dataclass(slots=True)
class ServerLimits:
    """What a client may send, and how slowly."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class RequestHandler(abc.ABC):
    """Takes the requests of a server."""

    @abc.abstractmethod
    def on_request(self, client_id: int, request: HttpRequest) -> None:
        """Takes a request; the answer goes to HttpServer.respond."""

    @abc.abstractmethod
    def on_disconnect(self, client_id: int) -> None:
        """Takes notice that a client left before its answer."""


class HttpServer:
    """Listens at one address for one handler."""

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler
        self.limits = ServerLimits()
        self._pending: dict[int, _ServerConnection] = {}
        self._connections: set[_ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._closing_idle = False

    async def start(self, address: str) -> None:
        """Starts to listen.

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
        """Answers a waiting client; one that left gets nothing."""
        connection = self._pending.pop(client_id, None)
        if connection is not None:
            close_connection = close_connection or self._closing_idle
            connection.respond(status, reason, headers, body, close_connection)

    def close_idle(self) -> None:
        """Closes all connections without a request, now and later."""
        self._closing_idle = True
        for connection in list(self._connections):
            connection.close_if_idle()

    def stop(self) -> None:
        """Stops listening and ends all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def add_pending(
        self, client_id: int, connection: "_ServerConnection"
    ) -> None:
        """Notes that a client waits for an answer."""
        self._pending[client_id] = connection

    def add(self, connection: "_ServerConnection") -> None:
        """Notes a new connection."""
        self._connections.add(connection)

    def remove(self, connection: "_ServerConnection") -> None:
        """Forgets a connection, and tells the handler of a client that left."""
        self._connections.discard(connection)
        client_id = connection.client_id
        if client_id and self._pending.pop(client_id, None) is not None:
            self.handler.on_disconnect(client_id)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for connection in list(self._connections):
            connection.check_timeouts(now_s)
        self._sweeper = loop.call_later(_SWEEP_INTERVAL_S, self._sweep)


_client_ids = itertools.count(1)


class _ServerConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._loop = asyncio.get_running_loop()
        self._queued: deque[tuple[HttpRequest, bool]] = deque()
        self._keep_alive = True
        self._error: tuple[int, bytes] | None = None
        self._discarding_until_s = 0.0
        self._idle_since_s = self._loop.time()
        self._in_message = False
        self._headers_done = False
        self._header_bytes = 0
        self._body_bytes = 0
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self.client_id = 0

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._transport = None
        self._queued.clear()
        self._server.remove(self)

    def data_received(self, data: bytes) -> None:
        if self._discarding_until_s:
            return
        if not self._headers_done:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._error = (400, b"upgrades are not served")
        except httptools.HttpParserError as error:
            if self._error is None:
                logging.info("malformed request: %s", error)
                self._error = (400, b"the request is malformed")
        limit = self._server.limits.max_header_bytes
        if not self._headers_done and self._header_bytes > limit:
            self._error = (431, b"the header is too large")
        self._process_next()

    # What the parser calls.

    def on_message_begin(self) -> None:
        self._in_message = True
        self._headers_done = False
        self._idle_since_s = self._loop.time()
        self._body_bytes = 0
        self._target = b""
        self._headers = []
        self._body = []

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        # Headers that follow a chunked body are not passed on.
        if not self._headers_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._headers_done = True
        size = len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        if size > self._server.limits.max_header_bytes:
            self._error = (431, b"the header is too large")
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
        if self._error is not None:
            return
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            b"".join(self._body),
        )
        self._headers_done = False
        self._queued.append((request, self._parser.should_keep_alive()))

    # What the server calls.

    def respond(
        self,
        status: int,
        reason: bytes,
        headers: Headers,
        body: bytes,
        close_connection: bool,
    ) -> None:
        """Writes the answer to the request that waits."""
        self.client_id = 0
        self._idle_since_s = self._loop.time()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        close_connection = close_connection or not self._keep_alive
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
        lines.extend(b"%b: %b\r\n" % header for header in headers)
        if close_connection:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        lines.append(body)
        transport.write(b"".join(lines))
        if close_connection:
            self._close_gracefully()
            return
        self._process_next()

    def close_if_idle(self) -> None:
        """Closes the connection if it holds no request."""
        if not self.client_id and not self._in_message and not self._queued:
            self.close()

    def close(self) -> None:
        """Closes the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def check_timeouts(self, now_s: float) -> None:
        """Closes a connection that is idle or slow for too long."""
        if self._discarding_until_s:
            if now_s >= self._discarding_until_s:
                self.close()
            return
        if self.client_id:
            return
        limits = self._server.limits
        elapsed_s = now_s - self._idle_since_s
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
            self._server.add_pending(self.client_id, self)
            self._server.handler.on_request(self.client_id, request)
        elif self._error is not None:
            self._reject(*self._error)
        elif len(self._queued) > _MAX_PIPELINED_REQUESTS:
            self._reject(400, b"too many requests at once")

    def _reject(self, status: int, detail: bytes) -> None:
        self._keep_alive = False
        headers = (
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", b"%d" % len(detail)),
        )
        self.respond(status, detail, headers, detail, close_connection=True)

    def _close_gracefully(self) -> None:
        # A close with unread bytes would reset the answer just written.
        self._discarding_until_s = self._loop.time() + _LINGER_S
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
