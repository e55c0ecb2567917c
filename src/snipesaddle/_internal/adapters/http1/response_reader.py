"""Parses the responses on one client connection, within size limits."""

from dataclasses import dataclass

import httptools

from snipesaddle._internal.adapters.http1.headers import (
    NO_BODY_STATUSES,
    Headers,
    find_header,
    is_final_status,
    is_interim_status,
)
from snipesaddle._internal.models.forwarding import ResponseSettings

# A chunk of one byte takes five more bytes on the wire.
_MAX_FRAMING_BYTES_PER_BODY_BYTE = 5
# What a header takes in memory beyond its bytes.
_HEADER_OVERHEAD_BYTES = 160
# Longer numbers exceed any limit and are slow to convert.
_MAX_LENGTH_DIGITS = 18


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


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """A complete response and whether the server keeps its connection open."""

    response: HttpResponse
    keep_alive: bool


class ResponseReader:
    """Collects the responses to the requests of one connection.

    Everything that the server sends is bounded: status lines, headers, interim
    responses, chunk headers and trailers together, and the body.

    Attributes:
      in_message: a response has begun and is not complete.
      failure: why no further response can be read; empty if none.
    """

    def __init__(self, settings: ResponseSettings) -> None:
        self.in_message = False
        self.failure = ""
        self._settings = settings
        self._parser = httptools.HttpResponseParser(self)
        self._is_head_request = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._headers_done = False
        self._has_known_length = False
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._responses: list[ReceivedResponse] = []

    @property
    def buffered_bytes(self) -> int:
        """What is held of the response that is not complete.

        The received bytes, and what the headers take besides; a body is held in
        one piece, so that tiny chunks take no more.
        """
        if not self.in_message:
            return 0
        return self._received_bytes + self._header_overhead_bytes

    @property
    def _header_overhead_bytes(self) -> int:
        return len(self._headers) * _HEADER_OVERHEAD_BYTES

    @property
    def received_bytes(self) -> int:
        """The bytes received since the request was sent."""
        return self._received_bytes

    def start_request(self, is_head_request: bool) -> None:
        """Prepares for the response to the next request."""
        self._is_head_request = is_head_request
        self._received_bytes = 0
        self._body_bytes = 0

    def feed(self, data: bytes | memoryview) -> None:
        """Parses received bytes; sets `failure` if they cannot be read."""
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("malformed response")
        framing_bytes = (
            self._received_bytes
            - self._body_bytes
            + self._header_overhead_bytes
        )
        max_framing_bytes = (
            self._settings.max_head_bytes
            + self._body_bytes * _MAX_FRAMING_BYTES_PER_BODY_BYTE
        )
        if framing_bytes > max_framing_bytes:
            self._fail("response head over the limit")

    def feed_eof(self) -> None:
        """Completes a response whose body ends with its connection."""
        if self._headers_done and not self._has_known_length:
            self._finish_message(keep_alive=False)

    def take(self) -> list[ReceivedResponse]:
        """Removes and returns the complete responses, oldest first."""
        responses, self._responses = self._responses, []
        return responses

    def discard(self) -> None:
        """Frees what was received; nothing can be read afterwards.

        The reader and its parser refer to each other, so their memory is freed
        only by a garbage collection.
        """
        self._fail("discarded")
        self._responses.clear()
        self.in_message = False

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        self.in_message = True
        self._headers_done = False
        self._has_known_length = False
        self._reason = b""
        self._headers = []
        self._body = bytearray()

    def on_status(self, status: bytes) -> None:
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._headers_done or self.failure:
            return
        self._headers.append((name, value))
        lower = name.lower()
        if lower == b"content-length":
            self._has_known_length = True
            self._check_length(value)
        elif lower == b"transfer-encoding" and b"chunked" in value.lower():
            self._has_known_length = True

    def on_headers_complete(self) -> None:
        self._headers_done = True
        status = self._parser.get_status_code()
        if not is_final_status(status) and not is_interim_status(status):
            self._fail(f"status {status:03} is no final status")
        if status in NO_BODY_STATUSES:
            self._has_known_length = True
        if self._is_head_request:
            self._finish_message(keep_alive=False)

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > self._settings.max_body_bytes:
            self._fail("response body over the limit")
        if not self.failure:
            self._body += body

    def on_message_complete(self) -> None:
        if self.in_message:
            self._finish_message(self._parser.should_keep_alive())

    def _check_length(self, value: bytes) -> None:
        if len(value) > _MAX_LENGTH_DIGITS or (
            value.isdigit()
            and not self._is_head_request
            and int(value) > self._settings.max_body_bytes
        ):
            self._fail("response body over the limit")

    def _finish_message(self, keep_alive: bool) -> None:
        self.in_message = False
        self._headers_done = False
        status = self._parser.get_status_code()
        if self.failure or is_interim_status(status):
            return
        response = HttpResponse(
            status, self._reason, tuple(self._headers), bytes(self._body)
        )
        self._responses.append(ReceivedResponse(response, keep_alive))

    def _fail(self, detail: str) -> None:
        self.failure = self.failure or detail
        self._headers.clear()
        self._body.clear()
