"""Attempts sent to endpoints over the platform's HTTP protocol."""

import math
import re
import time
from collections.abc import Callable
from http import HTTPStatus

from snipesaddle._internal.adapters.http1.client import (
    ClientConnection,
    ResponseIntake,
    ResponseListener,
    connect,
)
from snipesaddle._internal.adapters.http1.response_reader import HttpResponse
from snipesaddle._internal.models.forwarding import ResponseSettings
from snipesaddle._internal.ports.forwarding import EndpointTransport
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.endpoints import ReportedLoad
from snipesaddle._internal.tables.forwarding.requests import (
    EndpointAnswer,
    Request,
)
from snipesaddle._internal.tables.inbox import Inbox
from snipesaddle.platform import headers, names

_CONNECT_TIMEOUT_S = 1.0
_MS_PER_S = 1_000
_REPLACED_HEADERS = frozenset({names.TIME_LIMIT, names.EXPECTED_ENDPOINT})
_TIMEOUT_PARAMETER = b"timeout="
# With few digits, so that a number is finite.
_COUNT = re.compile(rb"\d{1,6}")
_LOAD_COUNTS = 3
_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")


class PlatformEndpointTransport(EndpointTransport, ResponseListener):
    """Keeps one HTTP connection for each connection row of the tables.

    Results are put into the inbox as events.
    """

    def __init__(
        self,
        inbox: Inbox,
        settings: ResponseSettings,
        now_ns: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self._now_ns = now_ns
        self._inbox = inbox
        self._intake = ResponseIntake(settings)
        self._connections: dict[int, ClientConnection] = {}
        self._attempts: dict[int, tuple[int, bytes]] = {}

    async def open(self, command: commands.OpenConnection) -> None:
        """Opens a connection; the result is an event."""
        connection = ClientConnection(command.connection_id, self, self._intake)
        self._connections[command.connection_id] = connection
        try:
            await connect(command.address, connection, _CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            connection.close()
            self._report_closed(
                command.connection_id, False, str(error) or "connect timed out"
            )
            return
        if command.connection_id in self._connections:
            opened = events.ConnectionOpened(command.connection_id)
            self._inbox.put(opened)

    def close(self, connection_id: int) -> None:
        """Aborts a connection, and an attempt on it, without an event."""
        self._attempts.pop(connection_id, None)
        connection = self._connections.pop(connection_id, None)
        if connection is not None:
            connection.close()

    def send(self, command: commands.SendAttempt) -> None:
        """Writes a request; does nothing if the connection is closed."""
        connection = self._connections.get(command.connection_id)
        if connection is None:
            return
        arrived = command.request.arrived
        self._attempts[command.connection_id] = (
            command.attempt_id,
            arrived.client_request_id,
        )
        is_head = arrived.method == b"HEAD"
        connection.send(_encode(command, self._now_ns()), is_head)

    def matches_request(
        self, connection: ClientConnection, response: HttpResponse
    ) -> bool:
        """Returns whether a response belongs to the outstanding attempt.

        A response without a request id belongs to it only if nothing was sent
        on the connection before. On a reused connection it could be a late
        second copy of an earlier response.
        """
        attempt = self._attempts.get(connection.connection_id)
        if attempt is None:
            return False
        request_id = response.header(names.REQUEST_ID)
        if request_id is None:
            return connection.requests_sent == 1
        return request_id == attempt[1]

    def on_response(
        self,
        connection: ClientConnection,
        response: HttpResponse,
        reusable: bool,
    ) -> None:
        """Puts an event for the answered attempt."""
        attempt_id, _ = self._attempts.pop(connection.connection_id)
        # A late copy of a response without an id could not be told from the
        # next response.
        has_id = response.header(names.REQUEST_ID) is not None
        self._inbox.put(
            events.AttemptAnswered(
                connection_id=connection.connection_id,
                attempt_id=attempt_id,
                answer=_decode(response),
                reusable=reusable and has_id,
                keep_alive_ms=_keep_alive_ms(response),
            )
        )

    def on_closed(self, connection: ClientConnection, detail: str) -> None:
        """Puts an event for the closed connection."""
        self._report_closed(connection.connection_id, True, detail)

    def _report_closed(
        self, connection_id: int, opened: bool, detail: str
    ) -> None:
        self._attempts.pop(connection_id, None)
        if self._connections.pop(connection_id, None) is not None:
            ended = events.ConnectionEnded(connection_id, opened, detail)
            self._inbox.put(ended)


def _encode(command: commands.SendAttempt, now_ns: int = 0) -> bytes:
    head, body = _head_and_body(command.request)
    return b"%b%b: %d\r\n%b: %b\r\n\r\n%b" % (
        head,
        names.TIME_LIMIT_SENT,
        command.time_left_at_ms(now_ns),
        names.EXPECTED_ENDPOINT_SENT,
        command.endpoint_id.encode(),
        body,
    )


def _head_and_body(request: Request) -> tuple[bytes, bytes]:
    if isinstance(request.encoded_request, tuple):
        return request.encoded_request
    arrived = request.arrived
    lines = [b"%b %b HTTP/1.1\r\n" % (arrived.method, arrived.target)]
    forwarded = headers.end_to_end(request.headers, _REPLACED_HEADERS)
    lines.extend(b"%b: %b\r\n" % header for header in forwarded)
    if request.tenant is not None:
        tenant = request.tenant.name.encode()
        lines.append(b"%b: %b\r\n" % (names.TENANT_SENT, tenant))
    if arrived.body or arrived.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d\r\n" % len(arrived.body))
    request.encoded_request = (b"".join(lines), arrived.body)
    return request.encoded_request


def _decode(response: HttpResponse) -> EndpointAnswer:
    # Endpoints send bodies without a content encoding, so an encoded body was
    # not written by the endpoint: the answer counts as unsigned.
    encoded = response.header(b"content-encoding") is not None
    signature = response.header(names.SIGNATURE) or b""
    not_run = (
        response.header(names.NOT_RUN) is not None
        or response.status == HTTPStatus.MISDIRECTED_REQUEST
    )
    return EndpointAnswer(
        status=response.status,
        reason=response.reason,
        headers=response.headers,
        body=response.body,
        signature=b"" if encoded else signature,
        not_run=not_run,
        leaving=response.header(names.LEAVING) == b"1",
        max_requests_per_s=_decimal(response.header(names.RATE_LIMIT)),
        retry_after_ms=_retry_after_ms(response),
        load=_load(response.header(names.LOAD)),
    )


def _decimal(value: bytes | None) -> float | None:
    """Returns a header's decimal number; None if it is none."""
    if value is None or not _DECIMAL.fullmatch(value.strip()):
        return None
    return float(value)


def _load(value: bytes | None) -> ReportedLoad | None:
    """Returns the load that a header states; None if it is malformed.

    It names the requests running and waiting, the slots, and optionally how
    long work takes now, in per cent.
    """
    if value is None:
        return None
    parts = [part.strip() for part in value.split(b",")]
    counts, percents = parts[:_LOAD_COUNTS], parts[_LOAD_COUNTS:]
    if len(counts) < _LOAD_COUNTS or len(percents) > 1:
        return None
    if not all(map(_COUNT.fullmatch, counts)):
        return None
    running, waiting, slots = map(int, counts)
    percent = _decimal(percents[0]) if percents else None
    if not slots or (percents and not percent):
        return None
    return ReportedLoad(running, waiting, slots, percent)


def _retry_after_ms(response: HttpResponse) -> int:
    if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return 0
    seconds = _decimal(response.header(names.RETRY_AFTER))
    return math.ceil((seconds or 0.0) * _MS_PER_S)


def _keep_alive_ms(response: HttpResponse) -> int:
    value = response.header(b"keep-alive")
    if value is None:
        return 0
    for part in value.lower().split(b","):
        part = part.strip()
        if part.startswith(_TIMEOUT_PARAMETER):
            seconds = part.removeprefix(_TIMEOUT_PARAMETER)
            return int(seconds) * _MS_PER_S if seconds.isdigit() else 0
    return 0
