"""HTTP servers for clients and the platform: requests, directory, readiness."""

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from snipesaddle._internal.adapters.http1.client_intake import (
    RESERVED_CONNECTIONS,
    ClientIntake,
)
from snipesaddle._internal.adapters.http1.headers import (
    NO_BODY_STATUSES,
    find_header,
)
from snipesaddle._internal.adapters.http1.server import (
    HttpRequest,
    HttpServer,
    RequestHandler,
    ServerLimits,
)
from snipesaddle._internal.ports.forwarding import ClientFrontend
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.commands import ErrorKind
from snipesaddle._internal.tables.forwarding.requests import (
    ArrivedRequest,
    EndpointAnswer,
    Headers,
)
from snipesaddle._internal.tables.forwarding.routes import ClientLimits
from snipesaddle._internal.tables.inbox import Inbox
from snipesaddle.platform import headers, names

_MS_PER_S = 1_000
_MAX_TIME_LIMIT_DIGITS = 12
_NOTHING_EXCLUDED: frozenset[bytes] = frozenset()
_IDENTITY_HEADERS = frozenset({names.API_KEY, names.TENANT})
_STATUS_BY_ERROR_KIND = {
    ErrorKind.NO_ROUTE: (404, b"Not Found"),
    ErrorKind.UNAUTHORIZED: (401, b"Unauthorized"),
    ErrorKind.OVER_QUOTA: (429, b"Too Many Requests"),
    ErrorKind.BAD_REQUEST: (400, b"Bad Request"),
    ErrorKind.NOT_RUN: (503, b"Service Unavailable"),
    ErrorKind.FAILED: (502, b"Bad Gateway"),
    ErrorKind.TIMEOUT: (504, b"Gateway Timeout"),
}


class _ClientHandler(RequestHandler):
    """Turns client requests into events."""

    def __init__(self, inbox: Inbox, now_ns: Callable[[], int]) -> None:
        self._inbox = inbox
        self._now_ns = now_ns

    def on_request(self, client_id: int, request: HttpRequest) -> None:
        identity, others = headers.split(request.headers, _IDENTITY_HEADERS)
        arrived = ArrivedRequest(
            client_id=client_id,
            client_request_id=request.header(names.REQUEST_ID) or b"",
            method=request.method,
            host=_host(request),
            target=request.target,
            headers=others,
            body=request.body,
            time_limit_ms=_time_limit_ms(request),
            api_keys=tuple(
                value
                for name, value in identity
                if name.lower() == names.API_KEY
            ),
            identity_headers=identity,
        )
        self._inbox.put(events.RequestArrived(arrived, self._now_ns()))

    def on_disconnect(self, client_id: int) -> None:
        self._inbox.put(events.ClientDisconnected(client_id))


class _DirectoryHandler(RequestHandler):
    """Turns directory requests into events."""

    def __init__(self, inbox: Inbox, intake: ClientIntake) -> None:
        self._inbox = inbox
        self.server = HttpServer(self, intake, RESERVED_CONNECTIONS)

    def on_request(self, client_id: int, request: HttpRequest) -> None:
        path, _, query = request.target.partition(b"?")
        if path != names.DIRECTORY_PATH:
            self.server.respond(
                client_id, 404, b"Not Found", *_text_response(b"")
            )
            return
        fields = parse_qs(query.decode("latin-1"))
        name = fields.get("name", [""])[0]
        zone = fields.get("zone", [""])[0]
        try:
            host = name.encode("latin-1")
        except UnicodeEncodeError:
            detail = _text_response(b"name is not a host name")
            self.server.respond(client_id, 400, b"Bad Request", *detail)
            return
        self._inbox.put(events.DirectoryRequested(client_id, host, zone))

    def on_disconnect(self, client_id: int) -> None:
        del client_id


class _ReadinessHandler(RequestHandler):
    """Serves the readiness check of the platform."""

    def __init__(self, intake: ClientIntake) -> None:
        self.ready = False
        self.server = HttpServer(self, intake, RESERVED_CONNECTIONS)

    def on_request(self, client_id: int, request: HttpRequest) -> None:
        if request.target.partition(b"?")[0] != names.READINESS_PATH:
            self.server.respond(
                client_id, 404, b"Not Found", *_text_response(b"")
            )
        elif self.ready:
            self.server.respond(
                client_id, 200, b"OK", *_text_response(b"ready")
            )
        else:
            reason = b"Service Unavailable"
            self.server.respond(
                client_id, 503, reason, *_text_response(b"not ready")
            )

    def on_disconnect(self, client_id: int) -> None:
        del client_id


class PlatformFrontend(ClientFrontend):
    """The HTTP servers for the clients and the platform."""

    def __init__(
        self,
        inbox: Inbox,
        now_ns: Callable[[], int],
        intake: ClientIntake | None = None,
    ) -> None:
        self._intake = intake or ClientIntake()
        self._clients = _ClientHandler(inbox, now_ns)
        self._server = HttpServer(self._clients, self._intake)
        self._directory = _DirectoryHandler(inbox, self._intake)
        self._readiness = _ReadinessHandler(self._intake)

    async def start(self, front: str, directory: str, readiness: str) -> None:
        """Starts listening on the three addresses, each IP:PORT.

        Raises:
          OSError: an address cannot be used.
        """
        await self._server.start(front)
        await self._directory.server.start(directory)
        await self._readiness.server.start(readiness)

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        for server in (
            self._server,
            self._directory.server,
            self._readiness.server,
        ):
            server.stop()

    def send_endpoint_answer(
        self, command: commands.SendEndpointAnswer
    ) -> None:
        """Writes an endpoint's response, without its hop-by-hop headers."""
        answer = command.answer
        fields = headers.end_to_end(answer.headers, _NOTHING_EXCLUDED)
        is_head = self._server.is_head(command.client_id)
        length = _content_length(answer, is_head)
        if length is not None:
            fields = (*fields, (b"Content-Length", length))
        self._server.respond(
            command.client_id,
            answer.status,
            answer.reason,
            fields,
            answer.body,
            command.close_connection,
        )

    def send_merged_answer(self, command: commands.SendMergedAnswer) -> None:
        """Writes a merged answer with the signatures of its parts."""
        self._server.respond(
            command.client_id,
            200,
            b"OK",
            (
                (names.PART_SIGNATURES_SENT, b", ".join(command.signatures)),
                (names.MISSING_PARTS_SENT, b"%d" % command.missing),
                (b"Content-Type", b"application/octet-stream"),
                (b"Content-Length", b"%d" % len(command.body)),
            ),
            command.body,
            command.close_connection,
        )

    def send_error(self, command: commands.SendError) -> None:
        """Writes an error response of this node."""
        status, reason = _STATUS_BY_ERROR_KIND[command.error_kind]
        fields, body = _text_response(command.detail.encode())
        if command.retry_after_ms:
            seconds = command.retry_after_ms / _MS_PER_S
            fields = (*fields, (b"Retry-After", b"%g" % seconds))
        self._server.respond(
            command.client_id,
            status,
            reason,
            fields,
            body,
            command.close_connection,
        )

    def answer_directory(self, command: commands.AnswerDirectory) -> None:
        """Writes the addresses of the nodes that a client may use."""
        body = msgspec.json.encode(
            {
                "addrs": command.addresses,
                "ttl_s": command.keep_ms / _MS_PER_S,
            }
        )
        fields = (
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
        )
        server = self._directory.server
        if command.addresses:
            server.respond(command.client_id, 200, b"OK", fields, body)
        else:
            reason = b"Service Unavailable"
            server.respond(command.client_id, 503, reason, fields, body)

    def set_readiness(self, ready: bool) -> None:
        """Sets the result of the readiness check."""
        self._readiness.ready = ready

    def set_limits(self, limits: ClientLimits) -> None:
        """Sets the limits on what clients may send."""
        self._server.limits = ServerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=limits.idle_timeout_ms / _MS_PER_S,
        )
        self._intake.set_largest_request(
            limits.max_header_bytes + limits.max_body_bytes
        )

    def close_idle(self) -> None:
        """Closes idle client connections, now and after each later response."""
        self._server.close_idle()

    async def drain(self, timeout_s: float) -> None:
        """Stops listening and waits until all answers are sent."""
        await self._server.drain(timeout_s)


def _text_response(body: bytes) -> tuple[Headers, bytes]:
    fields = (
        (b"Content-Type", b"text/plain"),
        (b"Content-Length", b"%d" % len(body)),
    )
    return fields, body


def _content_length(answer: EndpointAnswer, is_head: bool) -> bytes | None:
    """Returns the Content-Length of a response; None for none.

    Where a response has no body, it is the length that the endpoint gives for
    the body that it left out.
    """
    if is_head or answer.status in NO_BODY_STATUSES:
        return find_header(answer.headers, b"content-length")
    return b"%d" % len(answer.body)


def _host(request: HttpRequest) -> bytes:
    host = request.header(b"host") or b""
    return host.partition(b":")[0]


def _time_limit_ms(request: HttpRequest) -> int | None:
    value = request.header(names.TIME_LIMIT)
    if (
        value is None
        or len(value) > _MAX_TIME_LIMIT_DIGITS
        or not value.isdigit()
    ):
        return None
    return int(value)
