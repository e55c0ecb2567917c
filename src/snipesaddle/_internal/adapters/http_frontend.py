"""The HTTP API for callers and operators."""

import hashlib
import uuid
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import anyio
import msgspec
import pydantic
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route

from snipesaddle._internal.adapters import http_responses as responses
from snipesaddle._internal.metrics.histograms import Histograms
from snipesaddle._internal.models.http import ExecuteBody, SearchBody
from snipesaddle._internal.status import metrics_of, status_of
from snipesaddle._internal.tables.commands import (
    AnswerDirectory,
    AnswerExecution,
    AnswerSearch,
    RefuseRequest,
)
from snipesaddle._internal.tables.events import (
    CallerDisconnected,
    DirectoryRequested,
    DrainRequested,
    ExecutionArrived,
    OpenRequestsReported,
    SearchArrived,
)
from snipesaddle._internal.tables.executions import ExecuteRequest
from snipesaddle._internal.tables.nodes import NodeState
from snipesaddle._internal.tables.queries import SearchRequest
from snipesaddle._internal.tables.world import World

Reply = AnswerSearch | AnswerExecution | AnswerDirectory | RefuseRequest
BodyT = TypeVar("BodyT", bound=pydantic.BaseModel)
Handler = Callable[[Request], Coroutine[Any, Any, Response]]

_MAX_KEY_CHARS = 200
_DISCONNECT_MESSAGE = "http.disconnect"


class BadRequestError(Exception):
    """A request rejected with problem details before it reaches the systems."""

    def __init__(self, response: Response) -> None:
        super().__init__(response.status_code)
        self.response = response


class _PendingRequest:
    """One HTTP request that waits for a reply of the systems."""

    def __init__(self) -> None:
        self.ready = anyio.Event()
        self.reply: Reply | None = None


class HttpFrontend:
    """Turns HTTP requests into events, and replies into HTTP responses.

    Attributes:
      app: the ASGI application.
    """

    def __init__(self, world: World, histograms: Histograms) -> None:
        self._world = world
        self._histograms = histograms
        self._pending: dict[str, _PendingRequest] = {}
        self._open_requests = 0
        self.app = Starlette(
            routes=[
                _route("/v1/entry-nodes", self._entry_nodes, "GET"),
                _route("/v1/search/{service}", self._search, "POST"),
                _route("/v1/execute/{service}", self._execute, "POST"),
                _route("/v1/status", self._status, "GET"),
                _route("/v1/metrics", self._metrics, "GET"),
                _route("/v1/drain", self._drain, "POST"),
                _route("/healthz", self._healthz, "GET"),
                _route("/readyz", self._readyz, "GET"),
            ],
            exception_handlers={
                404: responses.not_found,
                405: responses.wrong_method,
            },
        )

    def deliver(self, request_id: str, reply: Reply) -> None:
        """Completes a pending request; ignored if the caller disconnected."""
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            pending.reply = reply
            pending.ready.set()

    async def _entry_nodes(self, request: Request) -> Response:
        zone = request.query_params.get("zone", "")
        count = request.query_params.get("tickets", "1")
        if not count.isdigit():
            return responses.invalid("tickets must be a whole number from 0")
        request_id = _new_request_id()
        event = DirectoryRequested(request_id, zone, int(count))
        reply = await self._await_reply(request, request_id, event)
        return self._close_if_leaving(responses.response_to(request_id, reply))

    async def _search(self, request: Request) -> Response:
        try:
            body = await self._read_body(request, SearchBody)
        except BadRequestError as error:
            return error.response
        request_id = _new_request_id()
        search = SearchRequest(
            request_id=request_id,
            target=request.path_params["service"],
            services=tuple(body.services),
            query=body.query,
            tenant=body.tenant,
            deadline_ms=body.deadline_ms or 0,
        )
        reply = await self._await_reply(
            request, request_id, SearchArrived(search)
        )
        return self._close_if_leaving(responses.response_to(request_id, reply))

    async def _execute(self, request: Request) -> Response:
        try:
            body = await self._read_body(request, ExecuteBody)
            key = _execution_key(request, body)
        except BadRequestError as error:
            return error.response
        request_id = _new_request_id()
        service = request.path_params["service"]
        limit_ms = self._world.settings.admission.max_deadline_ms
        execution = ExecuteRequest(
            request_id=request_id,
            service=service,
            key=key,
            is_ticket=body.ticket is not None,
            body=body.body,
            fingerprint=_fingerprint(service, body.body),
            tenant=body.tenant,
            deadline_ms=min(body.deadline_ms, limit_ms),
        )
        event = ExecutionArrived(execution)
        reply = await self._await_reply(request, request_id, event)
        return self._close_if_leaving(responses.response_to(request_id, reply))

    async def _status(self, request: Request) -> Response:
        del request
        now_ns = int(anyio.current_time() * 1e9)
        return self._close_if_leaving(
            responses.json_response(status_of(self._world, now_ns))
        )

    async def _metrics(self, request: Request) -> Response:
        del request
        summary = metrics_of(self._world) | self._histograms.summary()
        return self._close_if_leaving(responses.json_response(summary))

    async def _drain(self, request: Request) -> Response:
        del request
        self._world.inbox.put(DrainRequested())
        return self._close_if_leaving(
            responses.json_response({"state": "leaving"}, 202)
        )

    async def _healthz(self, request: Request) -> Response:
        del request
        return responses.json_response({"live": True})

    async def _readyz(self, request: Request) -> Response:
        del request
        state = self._world.this_node.state
        ready = state is NodeState.SERVING
        body = {"ready": ready, "state": state.value}
        return self._close_if_leaving(
            responses.json_response(body, 200 if ready else 503)
        )

    async def _await_reply(
        self, request: Request, request_id: str, event: object
    ) -> Reply | None:
        pending = self._pending[request_id] = _PendingRequest()
        self._count_open_requests(1)
        try:
            self._world.inbox.put(event)
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._watch_disconnect, request, pending, request_id
                )
                await pending.ready.wait()
                group.cancel_scope.cancel()
        finally:
            self._pending.pop(request_id, None)
            self._count_open_requests(-1)
        return pending.reply

    async def _watch_disconnect(
        self, request: Request, pending: _PendingRequest, request_id: str
    ) -> None:
        while True:
            message = await request.receive()
            if message["type"] == _DISCONNECT_MESSAGE:
                self._world.inbox.put(CallerDisconnected(request_id))
                pending.ready.set()
                return

    def _count_open_requests(self, change: int) -> None:
        self._open_requests += change
        if self._world.this_node.state is not NodeState.SERVING:
            self._world.inbox.put(OpenRequestsReported(self._open_requests))

    def _close_if_leaving(self, response: Response) -> Response:
        # Makes callers close their keep-alive connections to a draining node.
        if self._world.this_node.state is NodeState.LEAVING:
            response.headers["connection"] = "close"
        return response

    async def _read_body(self, request: Request, model: type[BodyT]) -> BodyT:
        limit_bytes = self._world.settings.admission.max_body_bytes
        content = bytearray()
        try:
            async for chunk in request.stream():
                content += chunk
                if len(content) > limit_bytes:
                    raise BadRequestError(responses.too_large(limit_bytes))
        except ClientDisconnect:
            raise BadRequestError(
                responses.invalid("the body was cut")
            ) from None
        try:
            parsed = msgspec.json.decode(bytes(content))
        except msgspec.DecodeError as error:
            raise BadRequestError(responses.malformed(str(error))) from None
        try:
            return model.model_validate(parsed)
        except pydantic.ValidationError as error:
            raise BadRequestError(responses.invalid_fields(error)) from None


def _route(path: str, handler: Handler, method: str) -> Route:
    return Route(path, handler, methods=[method])


def _new_request_id() -> str:
    return uuid.uuid4().hex


def _fingerprint(service: str, body: object) -> str:
    content = msgspec.json.encode([service, body], order="deterministic")
    return hashlib.sha256(content).hexdigest()


def _execution_key(request: Request, body: ExecuteBody) -> str:
    key = request.headers.get("idempotency-key", "")
    if bool(key) == bool(body.ticket):
        detail = "give either a ticket or an Idempotency-Key header"
        raise BadRequestError(responses.invalid(detail))
    if body.ticket:
        return body.ticket
    if len(key) > _MAX_KEY_CHARS or not key.isprintable():
        detail = f"Idempotency-Key has at most {_MAX_KEY_CHARS} characters"
        raise BadRequestError(responses.invalid(detail))
    return key
