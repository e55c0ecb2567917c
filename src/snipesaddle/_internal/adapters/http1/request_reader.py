"""Parses the requests on one server connection, within size limits."""

from collections import deque
from dataclasses import dataclass

import httptools
from absl import logging

from snipesaddle._internal.adapters.http1.headers import Headers, find_header

_MAX_PIPELINED_REQUESTS = 16
# A chunk of one byte takes five more bytes on the wire, and twelve where its
# size is written with eight digits.
_MAX_FRAMING_BYTES_PER_BODY_BYTE = 16
# What a header takes in memory beyond its bytes.
_HEADER_OVERHEAD_BYTES = 160
# Longer numbers exceed any limit and are slow to convert.
_MAX_LENGTH_DIGITS = 18


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
      idle_timeout_s: for a connection without a request, and for a body or a
        response of which nothing more arrives.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request, and whether its client keeps the connection open."""

    request: HttpRequest
    keep_alive: bool
    held_bytes: int


@dataclass(frozen=True, slots=True)
class RequestError:
    """Why the requests of a connection cannot be read any further."""

    status: int
    detail: bytes


class RequestReader:
    """Collects the requests of one connection.

    Attributes:
      requests: the complete requests that have not been taken yet.
      error: the answer after them, and the end of the connection; None while
        more can be read.
      headers_done: the head of a request is complete and its body is not.
      expects_continue: the client waits with this body for an interim response.
      method: the method of the request that is being received.
      message_bytes: the bytes received since the last complete request.
    """

    def __init__(self) -> None:
        self.requests: deque[ReceivedRequest] = deque()
        self.error: RequestError | None = None
        self.headers_done = False
        self.expects_continue = False
        self.method = b""
        self.message_bytes = 0
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._limits = ServerLimits()
        self._in_message = False
        self._is_upgrade = False
        self._queued_bytes = 0
        self._messages = 0
        self._head_bytes = 0
        self._framing_bytes = 0
        self._hosts = 0
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()

    @property
    def is_empty(self) -> bool:
        """Returns whether no part of a request is held."""
        return not (self._in_message or self.message_bytes or self.requests)

    @property
    def in_message(self) -> bool:
        """Returns whether a request has begun and is not complete."""
        return self._in_message or bool(self.message_bytes)

    @property
    def is_ended(self) -> bool:
        """Returns whether nothing more can be read."""
        return self.error is not None or self._is_upgrade

    @property
    def buffered_bytes(self) -> int:
        """Returns what is held of the requests that have not been taken.

        Headers count with what they take besides; a body is held in one piece,
        so that tiny chunks take no more.
        """
        head_bytes = self._head_bytes
        if not self.headers_done:
            head_bytes = self.message_bytes
        return (
            self._queued_bytes
            + head_bytes
            + len(self._headers) * _HEADER_OVERHEAD_BYTES
            + len(self._body)
        )

    def feed(self, data: bytes | memoryview, limits: ServerLimits) -> None:
        """Parses received bytes; sets `error` if they cannot be read."""
        if self._parser is None or self.is_ended:
            return
        self._limits = limits
        messages, body_bytes = self._messages, len(self._body)
        was_in_body = self.headers_done
        self.message_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._on_upgrade()
        except httptools.HttpParserError as error:
            if self.error is None:
                logging.info("malformed request: %s", error)
                self._fail(400, b"the request is malformed")
        if not self.headers_done and self.message_bytes > (
            limits.max_header_bytes
        ):
            self._fail(431, b"the header is too large")
        if was_in_body and messages == self._messages and not self.error:
            received_bytes = len(self._body) - body_bytes
            self._check_framing(len(data) - received_bytes)

    def take(self) -> ReceivedRequest:
        """Removes and returns the oldest complete request."""
        received = self.requests.popleft()
        self._queued_bytes -= received.held_bytes
        return received

    def reject(self, status: int, detail: bytes) -> None:
        """Drops what has not been taken; the answer after it is an error."""
        self._fail(status, detail)
        self.requests.clear()
        self._queued_bytes = 0

    def discard(self) -> None:
        """Frees what was received; nothing can be read afterwards.

        The reader and its parser refer to each other, so their memory would be
        freed only by a garbage collection.
        """
        self.reject(400, b"discarded")
        self._in_message = False
        self._parser = None

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        self._in_message = True
        self.expects_continue = False
        self._framing_bytes = 0
        self._head_bytes = 0
        self._hosts = 0
        self._target = b""
        self.method = b""

    def on_url(self, url: bytes) -> None:
        assert self._parser is not None
        self._target += url
        self.method = self._parser.get_method()

    def on_header(self, name: bytes, value: bytes) -> None:
        # Drops the trailer fields of a chunked body.
        if self.headers_done or self.error is not None:
            return
        self._headers.append((name, value))
        self._head_bytes += len(name) + len(value) + 4
        lower = name.lower()
        if lower == b"host":
            self._hosts += 1
        elif lower == b"content-length":
            self._check_length(value)
        elif lower == b"expect":
            self.expects_continue = value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        self.headers_done = True
        self._head_bytes += len(self._target)
        if self._head_bytes > self._limits.max_header_bytes:
            self._fail(431, b"the header is too large")
        if self._hosts > 1:
            self._fail(400, b"the request has more than one Host")

    def on_body(self, body: bytes) -> None:
        if self.error is not None:
            return
        if len(self._body) + len(body) > self._limits.max_body_bytes:
            self._fail(413, b"the body is too large")
            return
        self._body += body

    def on_message_complete(self) -> None:
        assert self._parser is not None
        self._in_message = False
        self._messages += 1
        self.message_bytes = 0
        if len(self.requests) >= _MAX_PIPELINED_REQUESTS:
            self._fail(400, b"too many requests at once")
        if self.error is not None:
            return
        held_bytes = (
            self._head_bytes
            + len(self._headers) * _HEADER_OVERHEAD_BYTES
            + len(self._body)
        )
        request = HttpRequest(
            self.method, self._target, tuple(self._headers), bytes(self._body)
        )
        self._clear_message()
        self._queued_bytes += held_bytes
        self.requests.append(
            ReceivedRequest(
                request, self._parser.should_keep_alive(), held_bytes
            )
        )

    def _on_upgrade(self) -> None:
        # What follows is in another protocol, so nothing more is read.
        self._is_upgrade = True
        self.message_bytes = 0
        if not self.requests:
            return
        received = self.requests.pop()
        if received.request.method == b"CONNECT":
            self._fail(400, b"tunnels are not served")
            return
        self.requests.append(
            ReceivedRequest(received.request, False, received.held_bytes)
        )

    def _check_length(self, value: bytes) -> None:
        if len(value) > _MAX_LENGTH_DIGITS or (
            value.isdigit() and int(value) > self._limits.max_body_bytes
        ):
            self._fail(413, b"the body is too large")

    def _check_framing(self, framing_bytes: int) -> None:
        self._framing_bytes += framing_bytes
        max_framing_bytes = (
            self._limits.max_header_bytes
            + len(self._body) * _MAX_FRAMING_BYTES_PER_BODY_BYTE
        )
        if self._framing_bytes > max_framing_bytes:
            self._fail(413, b"the chunk headers are too large")

    def _fail(self, status: int, detail: bytes) -> None:
        if self.error is None:
            self.error = RequestError(status, detail)
        self._clear_message()

    def _clear_message(self) -> None:
        self.headers_done = False
        self.message_bytes = 0
        self._head_bytes = 0
        self._headers = []
        self._body = bytearray()
