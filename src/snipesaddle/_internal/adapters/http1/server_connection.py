"""One client connection of an HTTP/1.1 server."""

import abc
import asyncio
import itertools
import time
from http import HTTPStatus
from typing import cast

from snipesaddle._internal.adapters.http1.client_intake import (
    FIRST_READ_BYTES,
    READ_BYTES,
    ClientIntake,
    HoldingConnection,
)
from snipesaddle._internal.adapters.http1.connection_limit import (
    LimitedConnection,
)
from snipesaddle._internal.adapters.http1.headers import (
    NO_BODY_STATUSES,
    Headers,
)
from snipesaddle._internal.adapters.http1.read_pacer import PacedConnection
from snipesaddle._internal.adapters.http1.request_reader import (
    HttpRequest,
    RequestError,
    RequestReader,
    ServerLimits,
)

# After a final response, how long received bytes are dropped before the close,
# so that the client can read the response.
_LINGER_S = 1.0
_RETRY_AFTER_S = 1
# A client that has not taken so many bytes gets no further response yet.
_MAX_UNSENT_BYTES = 16_384
# A body that has taken less time to parse is read on without a pause.
_MAX_UNPACED_NS = 100_000
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

_client_ids = itertools.count(1)


class ConnectionOwner(abc.ABC):
    """Receives the requests and the end of each connection."""

    limits: ServerLimits
    intake: ClientIntake

    @abc.abstractmethod
    def add_connection(self, connection: "ServerConnection") -> None:
        """Registers a new connection; may close it or another one."""

    @abc.abstractmethod
    def handle_request(
        self, connection: "ServerConnection", request: HttpRequest
    ) -> None:
        """Handles the next request of a connection."""

    @abc.abstractmethod
    def remove_connection(self, connection: "ServerConnection") -> None:
        """Removes a lost connection and reports its pending request."""


class ServerConnection(
    asyncio.BufferedProtocol,
    PacedConnection,
    HoldingConnection,
    LimitedConnection,
):
    """A client connection; its requests are handled one at a time.

    Nothing is read while a complete request waits behind another, and no
    request is handled while the client has not read the response before it. A
    body that is long, or slow to parse, is read on in turn with the others.

    Attributes:
      client_id: the id of the request being handled; 0 for none.
      method: the method of that request, or of one that is rejected while it
        is being received.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self.client_id = 0
        self.method = b""
        self._owner = owner
        self._intake = owner.intake
        self._reader = RequestReader()
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._keep_alive = True
        self._awaits_turn = False
        self._is_read_paused = False
        self._is_write_blocked = False
        self._discarding_until_s = 0.0
        self._waiting_since_s = self._loop.time()
        self._progress_s = self._waiting_since_s
        self._spent_ns = 0
        self._held_bytes = 0
        self._running_bytes = 0
        self._unsent_bytes = 0
        self._unsent_since_s = 0.0

    @property
    def unsent_bytes(self) -> int:
        """Returns the response bytes that the client has not taken."""
        transport = self._transport
        return transport.get_write_buffer_size() if transport else 0

    # Callbacks of asyncio.BufferedProtocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=_MAX_UNSENT_BYTES)
        self._owner.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self._transport = None
        self._reader.discard()
        self._end_running()
        self._update_budget()
        self._update_unsent()
        self._owner.remove_connection(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        del sizehint
        buffer = self._intake.read_buffer
        is_first = not self._reader.message_bytes
        return buffer[:FIRST_READ_BYTES] if is_first else buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._discarding_until_s or self._reader.is_ended:
            return
        self._progress_s = self._loop.time()
        if self._reader.is_empty:
            self._begin_holding()
        started_ns = time.perf_counter_ns()
        self._reader.feed(self._intake.read_buffer[:nbytes], self._owner.limits)
        self._pace(time.perf_counter_ns() - started_ns)
        self._process_next()
        self._update_budget()

    def pause_writing(self) -> None:
        self._is_write_blocked = True

    def resume_writing(self) -> None:
        self._is_write_blocked = False
        self._update_unsent()
        self._process_next()

    # Called by ReadPacer.

    def resume_reading(self) -> bool:
        """Reads one piece; returns False if the connection does not read."""
        self._awaits_turn = False
        self._progress_s = self._loop.time()
        self._update_reading()
        return self._transport is not None and not self._is_read_paused

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
        self._end_running()
        self._waiting_since_s = self._progress_s = self._loop.time()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._intake.connections.set_waiting(self, True)
        close_connection = close_connection or not self._keep_alive
        # The client would read it as the beginning of its next response.
        if self.method == b"HEAD" or status in NO_BODY_STATUSES:
            body = b""
        head = _encode_head(status, reason, headers, close_connection)
        transport.write(head + body)
        if close_connection:
            self._close_gracefully()
            return
        self._process_next()

    def close_if_idle(self) -> None:
        """Closes the connection if it has no request in any state."""
        if not self.client_id and self._reader.is_empty:
            self.close()

    def close(self) -> None:
        """Closes the connection once written data is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def refuse_unfinished(self) -> None:
        """Refuses what has not been handled, and frees it."""
        self._reader.reject(503, b"too many unfinished requests")
        self._update_budget()
        self._process_next()

    def check_timeouts(self, now_s: float) -> None:
        """Enforces the time limits; called periodically."""
        self._update_unsent()
        limits = self._owner.limits
        if self._unsent_bytes and (
            now_s - self._unsent_since_s > limits.idle_timeout_s
        ):
            self._intake.counters.client_responses_dropped += 1
            self.abort()
        elif self._discarding_until_s:
            if now_s >= self._discarding_until_s:
                self.close()
        elif not self.client_id and not self._is_write_blocked:
            self._check_request_timeouts(now_s, limits)

    def _check_request_timeouts(
        self, now_s: float, limits: ServerLimits
    ) -> None:
        elapsed_s = now_s - self._waiting_since_s
        if self._reader.headers_done:
            is_stopped = now_s - self._progress_s > limits.idle_timeout_s
            if is_stopped and not self._is_read_paused:
                self._intake.counters.client_bodies_timed_out += 1
                self._reject(408, b"the body came too slowly")
        elif self._reader.in_message:
            if elapsed_s > limits.header_timeout_s:
                self._reject(408, b"the header came too slowly")
        elif elapsed_s > limits.idle_timeout_s:
            self.close()

    def _begin_holding(self) -> None:
        self.holding_since_s = time.monotonic()
        if not self.client_id:
            self._waiting_since_s = self._loop.time()

    def _process_next(self) -> None:
        reader = self._reader
        is_blocked = self.client_id or self._is_write_blocked
        if not is_blocked and not self._discarding_until_s:
            if reader.requests:
                self._handle_next()
            elif reader.error is not None:
                self._reject_error(reader.error)
            elif reader.expects_continue and reader.headers_done:
                reader.expects_continue = False
                self._write(_CONTINUE_RESPONSE)
        self._update_reading()

    def _handle_next(self) -> None:
        received = self._reader.take()
        if not self._intake.may_run(received.held_bytes):
            self._intake.counters.client_requests_dropped += 1
            self._reject(503, b"too many requests in progress")
            return
        self._running_bytes = received.held_bytes
        self._intake.running_bytes += received.held_bytes
        self._keep_alive = received.keep_alive
        self.client_id = next(_client_ids)
        self.method = received.request.method
        self.holding_since_s = time.monotonic()
        # May refuse what is left here: with a request being handled, the
        # refusal waits for its response.
        self._update_budget()
        self._intake.connections.set_waiting(self, False)
        self._owner.handle_request(self, received.request)

    def _end_running(self) -> None:
        self._intake.running_bytes -= self._running_bytes
        self._running_bytes = 0

    def _reject_error(self, error: RequestError) -> None:
        self._reject(error.status, error.detail)

    def _reject(self, status: int, detail: bytes) -> None:
        self._keep_alive = False
        self.method = self._reader.method
        self._reader.reject(status, detail)
        self._update_budget()
        headers: Headers = (
            (b"Content-Type", b"text/plain"),
            (b"Content-Length", b"%d" % len(detail)),
        )
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers = (*headers, (b"Retry-After", b"%d" % _RETRY_AFTER_S))
        self.respond(status, detail, headers, detail, close_connection=True)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _close_gracefully(self) -> None:
        # Closing a socket with unread input would reset the connection, and the
        # client could lose the response.
        self._discarding_until_s = self._loop.time() + _LINGER_S
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
        self._reader.discard()
        self._update_budget()
        self._update_reading()

    def _pace(self, spent_ns: int) -> None:
        """Lets a body that is long or slow to parse wait for its turn."""
        if not self._reader.headers_done:
            self._spent_ns = 0
            return
        self._spent_ns += spent_ns
        is_long = self._reader.message_bytes >= READ_BYTES
        if is_long or self._spent_ns > _MAX_UNPACED_NS:
            self._awaits_turn = True
            self._intake.pacer.wait_for_turn(self, spent_ns, self._spent_ns)

    def _update_reading(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        must_pause = not self._discarding_until_s and (
            self._awaits_turn or bool(self._reader.requests)
        )
        if must_pause == self._is_read_paused:
            return
        self._is_read_paused = must_pause
        if must_pause:
            transport.pause_reading()
        else:
            self._progress_s = self._loop.time()
            transport.resume_reading()

    def _update_budget(self) -> None:
        held_bytes = self._reader.buffered_bytes
        if held_bytes == self._held_bytes:
            return
        self._held_bytes = held_bytes
        worst = self._intake.requests.update(self, held_bytes)
        if isinstance(worst, ServerConnection):
            self._intake.counters.client_requests_dropped += 1
            worst.refuse_unfinished()

    def _update_unsent(self) -> None:
        unsent_bytes = self.unsent_bytes
        if unsent_bytes == self._unsent_bytes:
            return
        if unsent_bytes > self._unsent_bytes:
            self.holding_since_s = time.monotonic()
        self._unsent_bytes = unsent_bytes
        self._unsent_since_s = self._loop.time()
        worst = self._intake.responses.update(self, unsent_bytes)
        if isinstance(worst, ServerConnection):
            self._intake.counters.client_responses_dropped += 1
            worst.abort()


def _encode_head(
    status: int, reason: bytes, headers: Headers, close_connection: bool
) -> bytes:
    if status == HTTPStatus.NO_CONTENT:
        headers = tuple(
            (name, value)
            for name, value in headers
            if name.lower() != b"content-length"
        )
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, reason)]
    lines.extend(b"%b: %b\r\n" % header for header in headers)
    if close_connection:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    return b"".join(lines)
