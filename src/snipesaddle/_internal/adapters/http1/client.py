"""An HTTP/1.1 client connection that carries one request at a time."""

import abc
import asyncio
import time
from typing import cast

from snipesaddle._internal.adapters import tcp_keepalive
from snipesaddle._internal.adapters.http1.read_pacer import (
    PacedConnection,
    ReadPacer,
)
from snipesaddle._internal.adapters.http1.receive_budget import ReceiveBudget
from snipesaddle._internal.adapters.http1.response_reader import (
    HttpResponse,
    ResponseReader,
)
from snipesaddle._internal.models.forwarding import ResponseSettings

# Parsing so many bytes takes at most about a millisecond, whatever they are.
READ_BYTES = 16_384


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


class ResponseIntake:
    """The limits that all connections to servers of one kind share.

    Attributes:
      settings: the limits on each response.
      budget: the limit on the incomplete responses together.
      pacer: the limit on the time that long responses take.
      read_buffer: what one connection has just read; parsed before the next one
        reads.
    """

    def __init__(self, settings: ResponseSettings) -> None:
        self.settings = settings
        self.budget = ReceiveBudget(settings.max_buffered_bytes)
        self.pacer = ReadPacer()
        self.read_buffer = memoryview(bytearray(READ_BYTES))


class ClientConnection(asyncio.BufferedProtocol, PacedConnection):
    """A connection to a server.

    A response that is longer than one read is read on in turn with the others.
    Bytes after a complete response, or a response to another request, make it
    unusable for further requests: its responses could be matched wrongly. A
    response over a limit ends it.

    Attributes:
      requests_sent: the number of requests written to it.
    """

    def __init__(
        self,
        connection_id: int,
        listener: ResponseListener,
        intake: ResponseIntake,
    ) -> None:
        self.connection_id = connection_id
        self.requests_sent = 0
        self._listener = listener
        self._budget = intake.budget
        self._pacer = intake.pacer
        self._read_buffer = intake.read_buffer
        self._reader = ResponseReader(intake.settings)
        self._transport: asyncio.Transport | None = None
        self._busy = False
        self._desynchronized = False
        self._closed = False
        self._held_bytes = 0
        self._spent_ns = 0

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
        self.requests_sent += 1
        self._spent_ns = 0
        self._reader.start_request(is_head_request)
        if self._transport is not None:
            self._transport.write(data)

    def close(self) -> None:
        """Aborts the connection; the listener is not called any more."""
        self._closed = True
        self._release_buffers()
        if self._transport is not None:
            self._transport.abort()

    def resume_reading(self) -> bool:
        """Reads one piece; returns False if the connection has ended."""
        transport = self._transport
        if self._closed or transport is None or transport.is_closing():
            return False
        transport.resume_reading()
        return True

    # Callbacks of asyncio.BufferedProtocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        if self._closed:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._notify_closed(str(exc) if exc else "closed by the server")

    def eof_received(self) -> bool:
        if self._busy:
            self._reader.feed_eof()
            self._deliver()
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        del sizehint
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._closed:
            return
        if not self._busy:
            self._fail("unexpected bytes")
            return
        is_long = self._reader.received_bytes + nbytes >= READ_BYTES
        started_ns = time.perf_counter_ns() if is_long else 0
        self._receive(self._read_buffer[:nbytes])
        if is_long and self._busy:
            self._pause(time.perf_counter_ns() - started_ns)

    def _pause(self, spent_ns: int) -> None:
        assert self._transport is not None
        self._transport.pause_reading()
        self._spent_ns += spent_ns
        self._pacer.wait_for_turn(self, spent_ns, self._spent_ns)

    def _receive(self, data: memoryview) -> None:
        self._reader.feed(data)
        if self._reader.failure:
            self._desynchronized = True
        self._deliver()
        if self._reader.failure and self._busy:
            self._fail(self._reader.failure)
            return
        self._update_budget()

    def _update_budget(self) -> None:
        held_bytes = self._reader.buffered_bytes
        if held_bytes == self._held_bytes:
            return
        self._held_bytes = held_bytes
        largest = self._budget.update(self, held_bytes)
        if isinstance(largest, ClientConnection):
            largest._fail("incomplete responses over the limit")

    def _release_buffers(self) -> None:
        self._reader.discard()
        if self._held_bytes:
            self._held_bytes = 0
            self._budget.update(self, 0)

    def _deliver(self) -> None:
        responses = self._reader.take()
        for position, received in enumerate(responses):
            if not self._listener.matches_request(self, received.response):
                self._desynchronized = True
                continue
            is_last = position == len(responses) - 1
            is_synchronized = (
                is_last
                and not self._reader.in_message
                and not self._desynchronized
            )
            self._busy = False
            reusable = (
                is_synchronized
                and received.keep_alive
                and self._is_write_buffer_empty()
            )
            self._listener.on_response(self, received.response, reusable)
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
        self._release_buffers()
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
