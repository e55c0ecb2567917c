"""HTTP responses to callers, with problem details (RFC 9457) for errors."""

import math
from typing import Any

import msgspec
import pydantic
from starlette.requests import Request
from starlette.responses import Response

from snipesaddle._internal.tables.commands import (
    AnswerDirectory,
    AnswerExecution,
    AnswerSearch,
    RefuseRequest,
    SearchAnswer,
)
from snipesaddle._internal.tables.executions import Outcome

_PROBLEM_TYPE_PREFIX = "urn:snipesaddle:problem:"
# Nonstandard status of nginx; no caller is left to read it.
_CLIENT_CLOSED_REQUEST = 499
_STATUS_OF_REFUSAL = {
    "unknown_service": 404,
    "wrong_kind": 422,
    "bad_ticket": 422,
    "overload": 503,
    "not_ready": 503,
}
_TITLES = {
    "unknown_service": "No such service",
    "wrong_kind": "The service does not do this",
    "bad_ticket": "The ticket is malformed",
    "overload": "The node is at its limit",
    "not_ready": "The node is not ready",
}
_STATUS_OF_OUTCOME = {
    Outcome.DONE: 200,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
}


def json_response(body: object, status: int = 200) -> Response:
    """Returns a response with a JSON body."""
    return Response(
        msgspec.json.encode(body), status, media_type="application/json"
    )


def problem(
    kind: str, title: str, status: int, detail: str, **fields: Any
) -> Response:
    """Returns a response with problem details (RFC 9457).

    Args:
      kind: the last part of the problem's type URI.
      title: a summary, the same for all problems of a kind.
      status: the HTTP status.
      detail: what is wrong with this request.
      **fields: extension members; `retry_after_ms` also sets the Retry-After
        header, rounded up to seconds.
    """
    body = {
        "type": _PROBLEM_TYPE_PREFIX + kind,
        "title": title,
        "status": status,
        "detail": detail,
    } | fields
    response = Response(
        msgspec.json.encode(body), status, media_type="application/problem+json"
    )
    retry_after_ms = fields.get("retry_after_ms")
    if retry_after_ms:
        response.headers["retry-after"] = str(math.ceil(retry_after_ms / 1000))
    return response


def invalid(detail: str) -> Response:
    """Returns the problem response for an invalid request."""
    return problem("invalid", "Invalid request", 422, detail, not_run=True)


def malformed(detail: str) -> Response:
    """Returns the problem response for a body that is not JSON."""
    return problem("malformed", "Malformed JSON", 400, detail, not_run=True)


def too_large(limit_bytes: int) -> Response:
    """Returns the problem response for an oversized body."""
    detail = f"a body has at most {limit_bytes} bytes"
    return problem("too-large", "Body too large", 413, detail, not_run=True)


def invalid_fields(error: pydantic.ValidationError) -> Response:
    """Returns the problem response that lists all invalid fields of a body."""
    errors = [
        f"{'.'.join(str(part) for part in field_error['loc']) or 'body'}:"
        f" {field_error['msg']}"
        for field_error in error.errors()
    ]
    return invalid("; ".join(errors))


async def not_found(request: Request, error: Exception) -> Response:
    """Returns the problem response for an unknown path."""
    del error
    return problem("no-such-path", "No such path", 404, request.url.path)


async def wrong_method(request: Request, error: Exception) -> Response:
    """Returns the problem response for a method that the path lacks."""
    detail = f"{request.method} is not allowed for {request.url.path}"
    response = problem("wrong-method", "Wrong method", 405, detail)
    response.headers.update(getattr(error, "headers", None) or {})
    return response


def response_to(request_id: str, reply: object) -> Response:
    """Returns the HTTP response for a reply of the systems.

    None means that the caller disconnected.
    """
    if isinstance(reply, AnswerSearch):
        return _search_response(request_id, reply.answer)
    if isinstance(reply, AnswerExecution):
        return _execution_response(request_id, reply)
    if isinstance(reply, AnswerDirectory):
        return _directory_response(reply)
    if isinstance(reply, RefuseRequest):
        return _refusal_response(request_id, reply)
    return Response(status_code=_CLIENT_CLOSED_REQUEST)


def _coverage(answer: SearchAnswer) -> dict[str, Any]:
    return {
        "fraction": answer.coverage,
        "shards": answer.shards_total,
        "missing": [
            {
                "service": missing.shard.service,
                "shard": missing.shard.shard,
                "weight": missing.weight,
                "reason": missing.reason.value,
            }
            for missing in answer.missing
        ],
    }


def _search_response(request_id: str, answer: SearchAnswer) -> Response:
    coverage = _coverage(answer)
    if not answer.meets_min_coverage:
        return problem(
            "coverage",
            "Too little could be covered in time",
            504,
            f"{answer.coverage:.4f} of the data answered in time",
            request_id=request_id,
            snapshot=answer.snapshot,
            coverage=coverage,
        )
    return json_response(
        {
            "request_id": request_id,
            "snapshot": answer.snapshot,
            "coverage": coverage,
            "hits": answer.hits,
        }
    )


def _execution_response(request_id: str, reply: AnswerExecution) -> Response:
    answer = reply.answer
    if answer.conflict:
        detail = "the key was used before for another request"
        return problem(
            "key-reused", "Key reused", 422, detail, request_id=request_id
        )
    status = _STATUS_OF_OUTCOME[answer.outcome]
    if answer.outcome is Outcome.DONE:
        return json_response(
            {
                "request_id": request_id,
                "outcome": answer.outcome.value,
                "result": answer.result,
            }
        )
    title = "Not run"
    if answer.outcome is Outcome.UNKNOWN:
        title = "The outcome is unknown"
    return problem(
        answer.outcome.value.replace("_", "-"),
        title,
        status,
        answer.detail,
        request_id=request_id,
        outcome=answer.outcome.value,
        not_run=answer.outcome is Outcome.NOT_RUN,
    )


def _directory_response(reply: AnswerDirectory) -> Response:
    return json_response(
        {
            "nodes": [
                {
                    "node": node.node_id,
                    "address": node.address,
                    "zone": node.zone,
                }
                for node in reply.nodes
            ],
            "keep_ms": reply.keep_ms,
            "tickets": list(reply.tickets),
        }
    )


def _refusal_response(request_id: str, reply: RefuseRequest) -> Response:
    return problem(
        reply.reason.replace("_", "-"),
        _TITLES[reply.reason],
        _STATUS_OF_REFUSAL[reply.reason],
        reply.detail,
        request_id=request_id,
        not_run=True,
        retry_after_ms=reply.retry_after_ms,
    )
