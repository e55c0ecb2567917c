"""Commands that send requests to entry nodes."""

import json
from typing import Annotated, Any

import httpx
import typer

from snipesaddle._internal.cli import exit_codes
from snipesaddle._internal.cli.common import (
    JsonOption,
    NodeOption,
    open_client,
    run,
)
from snipesaddle._internal.cli.output import Output


def status(node: NodeOption, as_json: JsonOption = False) -> None:
    """Shows the status of every entry node."""
    out = Output(as_json)
    run(out, lambda: _status(out, node))


def query(
    service: Annotated[str, typer.Argument(help="A workload or service.")],
    text: Annotated[str, typer.Argument(help="The query, as JSON or text.")],
    node: NodeOption,
    tenant: str = "operator",
    deadline_ms: Annotated[int | None, typer.Option(min=1)] = None,
    only: Annotated[
        list[str] | None,
        typer.Option(help="Search only this service; can be repeated."),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Runs a search and shows the answer with its coverage."""
    out = Output(as_json)
    body: dict[str, Any] = {
        "query": _json_or_text(text),
        "tenant": tenant,
        "services": only or [],
    }
    if deadline_ms is not None:
        body["deadline_ms"] = deadline_ms
    path = f"/v1/search/{service}"
    run(out, lambda: _post_and_show(out, node, path, body, {}))


def execute(
    service: Annotated[str, typer.Argument(help="A service.")],
    body: Annotated[str, typer.Argument(help="The request, as JSON or text.")],
    node: NodeOption,
    key: Annotated[
        str,
        typer.Option(help="An idempotency key; without it, a ticket is used."),
    ] = "",
    ticket: Annotated[
        str,
        typer.Option(
            help="A ticket to reuse; without it, a new one is requested."
        ),
    ] = "",
    tenant: str = "operator",
    deadline_ms: Annotated[int, typer.Option(min=1)] = 2_000,
    as_json: JsonOption = False,
) -> None:
    """Runs a request at most once."""
    out = Output(as_json)
    request = {
        "body": _json_or_text(body),
        "tenant": tenant,
        "deadline_ms": deadline_ms,
    }
    run(out, lambda: _execute(out, node, service, request, key, ticket))


def drain(node: NodeOption, as_json: JsonOption = False) -> None:
    """Drains one entry node: it finishes its requests and stops."""
    out = Output(as_json)
    if len(node) != 1:
        out.fail(
            "drain takes one node; give exactly one --node", exit_codes.USAGE
        )
    run(out, lambda: _drain(out, node))


async def _status(out: Output, nodes: list[str]) -> None:
    async with open_client(nodes) as client:
        found = await client.statuses()
    lines = [
        f"{s['node']}: {s['error']}"
        if "error" in s
        else f"{s['node']}  {s['zone']}  {s['state']}"
        f"  generation {s['generation']}  leaves {s['leaves']}"
        for s in found
    ]
    out.show(found, "\n".join(lines))


async def _post_and_show(
    out: Output,
    nodes: list[str],
    path: str,
    body: dict[str, Any],
    headers: dict[str, str],
) -> None:
    async with open_client(nodes) as client:
        response = await client.request("POST", path, body, headers)
    reply = response.json()
    out.show(reply, json.dumps(reply, indent=2, ensure_ascii=False))
    if response.status_code != httpx.codes.OK:
        raise typer.Exit(exit_codes.FAILED)
    if reply.get("coverage", {}).get("missing"):
        raise typer.Exit(exit_codes.PARTIAL)


async def _execute(
    out: Output,
    nodes: list[str],
    service: str,
    body: dict[str, Any],
    key: str,
    ticket: str,
) -> None:
    headers = {}
    if key:
        headers["Idempotency-Key"] = key
    elif not ticket:
        async with open_client(nodes) as client:
            reply = await client.request("GET", "/v1/entry-nodes")
        ticket = reply.json()["tickets"][0]
        out.progress(f"ticket {ticket}")
    if ticket:
        body["ticket"] = ticket
    await _post_and_show(out, nodes, f"/v1/execute/{service}", body, headers)


async def _drain(out: Output, nodes: list[str]) -> None:
    async with open_client(nodes) as client:
        reply = await client.request("POST", "/v1/drain")
    out.show(reply.json(), f"{nodes[0]}: leaving")


def _json_or_text(text: str) -> Any:
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return text
