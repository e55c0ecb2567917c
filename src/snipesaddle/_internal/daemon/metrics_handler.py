"""Serves the metrics of a node, and explanations of routes, over HTTP."""

import dataclasses
from http import HTTPStatus
from typing import Any

import msgspec

from snipesaddle._internal.adapters.http1.client_intake import (
    RESERVED_CONNECTIONS,
    ClientIntake,
)
from snipesaddle._internal.adapters.http1.server import (
    HttpRequest,
    HttpServer,
    RequestHandler,
)
from snipesaddle._internal.daemon import forward_loop
from snipesaddle._internal.metrics.outcomes import OutcomeHistograms
from snipesaddle._internal.models import explaining as explaining_model
from snipesaddle._internal.systems.forwarding import explaining
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_EXPLAIN_PATH = b"/explain"
# Limits how long explanations block the event loop.
_MIN_EXPLAIN_INTERVAL_NS = 500_000_000
_REASONS = {
    HTTPStatus.OK: b"OK",
    HTTPStatus.BAD_REQUEST: b"Bad Request",
    HTTPStatus.SERVICE_UNAVAILABLE: b"Service Unavailable",
}


class MetricsHandler(RequestHandler):
    """Serves the metrics in the Prometheus text format.

    The path `/explain` answers where a request would go now, as JSON.
    """

    def __init__(
        self,
        world: ForwardWorld,
        histograms: OutcomeHistograms,
        intake: ClientIntake,
    ) -> None:
        self._world = world
        self._histograms = histograms
        self._intake = intake
        self._next_explain_ns = 0
        self.server = HttpServer(self, intake, RESERVED_CONNECTIONS)

    def on_request(self, client_id: int, request: HttpRequest) -> None:
        path, _, query = request.target.partition(b"?")
        if path == _EXPLAIN_PATH:
            self._explain(client_id, query)
            return
        text = self._histograms.text(self._world) + self._intake.metrics_text()
        self._respond(
            client_id,
            HTTPStatus.OK,
            b"text/plain; version=0.0.4",
            text.encode(),
        )

    def on_disconnect(self, client_id: int) -> None:
        del client_id

    def _explain(self, client_id: int, query: bytes) -> None:
        status, answer = self._explanation(query)
        body = msgspec.json.encode(answer)
        self._respond(client_id, status, b"application/json", body)

    def _explanation(self, query: bytes) -> tuple[HTTPStatus, dict[str, Any]]:
        try:
            asked = explaining_model.parse(query)
        except ValueError as error:
            return HTTPStatus.BAD_REQUEST, {"error": str(error)}
        now_ns = forward_loop.now_ns()
        if now_ns < self._next_explain_ns:
            busy = {"error": "a route was explained just now"}
            return HTTPStatus.SERVICE_UNAVAILABLE, busy
        self._next_explain_ns = now_ns + _MIN_EXPLAIN_INTERVAL_NS
        explanation = explaining.explain(
            self._world, asked.request(), asked.tenant, now_ns
        )
        return HTTPStatus.OK, dataclasses.asdict(explanation)

    def _respond(
        self, client_id: int, status: HTTPStatus, kind: bytes, body: bytes
    ) -> None:
        fields = (
            (b"Content-Type", kind),
            (b"Content-Length", b"%d" % len(body)),
        )
        reason = _REASONS[status]
        self.server.respond(client_id, status, reason, fields, body)
