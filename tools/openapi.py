"""Writes docs/openapi.json from the models of the HTTP interface."""

import json
from pathlib import Path
from typing import Any

from pydantic.json_schema import models_json_schema

from snipesaddle._internal.models import http

_PATH = Path("docs/openapi.json")
_REFS = "#/components/schemas/{model}"
_MODELS = (
    http.SearchBody,
    http.ExecuteBody,
    http.SearchReply,
    http.ExecuteReply,
    http.DirectoryReply,
    http.Problem,
)


def document() -> dict[str, Any]:
    """Returns the OpenAPI document."""
    _, schemas = models_json_schema(
        [(model, "validation") for model in _MODELS], ref_template=_REFS
    )
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "snipesaddle",
            "version": "1",
            "description": "Searches and executions through an entry node.",
        },
        "paths": {
            "/v1/entry-nodes": {"get": _entry_nodes()},
            "/v1/search/{service}": {"post": _search()},
            "/v1/execute/{service}": {"post": _execute()},
            "/v1/status": {"get": _plain("The state of this node.")},
            "/v1/metrics": {
                "get": _plain("Counters, and histograms by class and tenant.")
            },
            "/v1/drain": {"post": _plain("Lets this node leave.", "202")},
            "/healthz": {"get": _plain("The process lives.")},
            "/readyz": {
                "get": _plain("The node serves.")
                | {"description": "503 while the node starts or leaves."}
            },
        },
        "components": {"schemas": schemas["$defs"]},
    }


def _entry_nodes() -> dict[str, Any]:
    return {
        "summary": "Which entry nodes to use, the nearest zone first.",
        "description": "Keep the answer for keep_ms, then ask again. Each"
        " ticket is the key of one execution.",
        "parameters": [
            _parameter("zone", "query", {"type": "string"}),
            _parameter("tickets", "query", {"type": "integer", "minimum": 0}),
        ],
        "responses": {"200": _json("The nodes.", "DirectoryReply")},
    }


def _search() -> dict[str, Any]:
    return {
        "summary": "Asks a workload, or one of its services.",
        "parameters": [_parameter("service", "path", {"type": "string"})],
        "requestBody": _body("SearchBody"),
        "responses": {
            "200": _json("An answer from one snapshot.", "SearchReply"),
            "504": _problem("Less was covered than the class allows."),
        }
        | _refusals(),
    }


def _execute() -> dict[str, Any]:
    key = _parameter("Idempotency-Key", "header", {"type": "string"})
    key["description"] = "In place of a ticket. Kept for 24 hours."
    return {
        "summary": "Runs work at most once.",
        "description": "Retry with the same key, at any node, until the"
        " outcome is done or not_run. not_run is final: use a new key.",
        "parameters": [_parameter("service", "path", {"type": "string"}), key],
        "requestBody": _body("ExecuteBody"),
        "responses": {
            "200": _json("Done.", "ExecuteReply"),
            "504": _problem("The outcome is unknown; the work may have run."),
        }
        | _refusals(),
    }


def _refusals() -> dict[str, Any]:
    return {
        "400": _problem("The body is not JSON."),
        "404": _problem("There is no such service."),
        "413": _problem("The body is too large."),
        "422": _problem("The request is invalid."),
        "503": _problem("Not run."),
    }


def _parameter(name: str, place: str, schema: dict[str, Any]) -> Any:
    return {
        "name": name,
        "in": place,
        "required": place == "path",
        "schema": schema,
    }


def _body(model: str) -> dict[str, Any]:
    schema = {"$ref": _REFS.format(model=model)}
    return {
        "required": True,
        "content": {"application/json": {"schema": schema}},
    }


def _json(description: str, model: str) -> dict[str, Any]:
    schema = {"$ref": _REFS.format(model=model)}
    return {
        "description": description,
        "content": {"application/json": {"schema": schema}},
    }


def _problem(description: str) -> dict[str, Any]:
    schema = {"$ref": _REFS.format(model="Problem")}
    return {
        "description": description,
        "content": {"application/problem+json": {"schema": schema}},
    }


def _plain(summary: str, status: str = "200") -> dict[str, Any]:
    return {"summary": summary, "responses": {status: {"description": "OK"}}}


def main() -> None:
    """Writes the document."""
    _PATH.write_text(json.dumps(document(), indent=2) + "\n")


if __name__ == "__main__":
    main()
