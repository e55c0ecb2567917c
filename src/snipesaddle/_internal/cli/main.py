"""The command line of snipesaddle."""

import dataclasses
import getpass
import json
import os
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Annotated, Any

import anyio
import httpx
import typer

from snipesaddle._internal import service_files
from snipesaddle._internal.adapters.config_store import ConfigStore
from snipesaddle._internal.adapters.http_store import HttpStore
from snipesaddle._internal.adapters.node_client import NodeClient
from snipesaddle._internal.cli import exit_codes
from snipesaddle._internal.cli.output import Output
from snipesaddle._internal.commands import publish as publish_commands
from snipesaddle._internal.errors import (
    InvalidFilesError,
    NodeUnavailableError,
    PublishConflictError,
    PublishUnsettledError,
    StoreUnavailableError,
)
from snipesaddle._internal.models.settings import PlatformSettings
from snipesaddle._internal.publishing import Change

app = typer.Typer(
    help="Checks, publishes and asks the services of snipesaddle.",
    no_args_is_help=True,
)
config_app = typer.Typer(help="Reads the configuration.", no_args_is_help=True)
app.add_typer(config_app, name="config")

Paths = Annotated[
    list[Path], typer.Argument(help="Service files, or folders of them.")
]
StoreOption = Annotated[
    str,
    typer.Option(
        "--store", envvar="SNIPESADDLE_STORE", help="The store, as IP:PORT."
    ),
]
NodeOption = Annotated[
    list[str],
    typer.Option(
        "--node",
        envvar="SNIPESADDLE_NODES",
        help="An entry node, as IP:PORT; may be given more than once.",
    ),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print JSON for programs.")
]
Remove = Annotated[
    list[str] | None,
    typer.Option("--remove", help="A service to take out of force."),
]
Base = Annotated[
    int | None,
    typer.Option(
        help="The generation that the files started from; a later change of"
        " the same services by others is then a conflict."
    ),
]


@app.command()
def check(paths: Paths, as_json: JsonOption = False) -> None:
    """Checks service files together and reports every fault."""
    out = Output(as_json)
    specs = _collect(paths, out)
    out.show({"ok": True, "services": len(specs)}, f"{len(specs)} services: ok")


@app.command()
def diff(
    paths: Paths,
    store: StoreOption,
    remove: Remove = None,
    as_json: JsonOption = False,
) -> None:
    """Shows what a publish of the files would change."""
    out = Output(as_json)
    change = Change(_collect(paths, out), remove or [], _publisher())
    _run(out, lambda: _diff(out, store, change))


@app.command()
def publish(
    paths: Paths,
    store: StoreOption,
    node: NodeOption = [],  # noqa: B006
    remove: Remove = None,
    base: Base = None,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until it is in force.")
    ] = False,
    wait_timeout_s: Annotated[float, typer.Option(min=0.1)] = 30.0,
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Only show the change.")
    ] = False,
    publisher: Annotated[
        str, typer.Option(help="Who publishes, for the history.")
    ] = "",
    patience_s: Annotated[
        float, typer.Option(help="How long to try a store that is out.")
    ] = 10.0,
    as_json: JsonOption = False,
) -> None:
    """Checks the files, then publishes them as one generation."""
    out = Output(as_json)
    change = Change(
        _collect(paths, out), remove or [], publisher or _publisher(), base
    )
    if dry_run:
        _run(out, lambda: _diff(out, store, change))
        return
    if wait and not node:
        out.fail("--wait needs --node: name an entry node", exit_codes.USAGE)
    timeout_s = wait_timeout_s if wait else 0.0
    _run(out, lambda: _publish(out, store, change, node, timeout_s, patience_s))


@config_app.command("history")
def config_history(
    store: StoreOption,
    find: Annotated[str, typer.Option(help="Show only this publish id.")] = "",
    as_json: JsonOption = False,
) -> None:
    """Shows the newest publishes."""
    out = Output(as_json)
    _run(out, lambda: _history(out, store, find))


@app.command()
def status(node: NodeOption, as_json: JsonOption = False) -> None:
    """Shows the state of every entry node."""
    out = Output(as_json)
    _run(out, lambda: _status(out, node))


@app.command()
def query(
    service: Annotated[str, typer.Argument(help="A workload or service.")],
    text: Annotated[str, typer.Argument(help="The query, JSON or text.")],
    node: NodeOption,
    tenant: str = "operator",
    deadline_ms: Annotated[int | None, typer.Option(min=1)] = None,
    only: Annotated[
        list[str] | None, typer.Option(help="Ask only this service.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Asks a search and shows the answer with its coverage."""
    out = Output(as_json)
    body: dict[str, Any] = {
        "query": _json_or_text(text),
        "tenant": tenant,
        "services": only or [],
    }
    if deadline_ms is not None:
        body["deadline_ms"] = deadline_ms
    path = f"/v1/search/{service}"
    _run(out, lambda: _ask(out, node, path, body, {}))


@app.command()
def execute(
    service: Annotated[str, typer.Argument(help="A service.")],
    body: Annotated[str, typer.Argument(help="The request, JSON or text.")],
    node: NodeOption,
    key: Annotated[
        str, typer.Option(help="An idempotency key; otherwise a ticket.")
    ] = "",
    ticket: Annotated[str, typer.Option(help="A ticket from before.")] = "",
    tenant: str = "operator",
    deadline_ms: Annotated[int, typer.Option(min=1)] = 2_000,
    as_json: JsonOption = False,
) -> None:
    """Runs work that must run at most once."""
    out = Output(as_json)
    request = {
        "body": _json_or_text(body),
        "tenant": tenant,
        "deadline_ms": deadline_ms,
    }
    _run(out, lambda: _execute(out, node, service, request, key, ticket))


@app.command()
def drain(node: NodeOption, as_json: JsonOption = False) -> None:
    """Lets one entry node leave without cutting a request."""
    out = Output(as_json)
    if len(node) != 1:
        out.fail("name exactly one --node to drain", exit_codes.USAGE)
    _run(out, lambda: _drain(out, node))


def main() -> None:
    """Runs the command line."""
    app()


async def _diff(out: Output, store: str, change: Change) -> None:
    async with _configs(store) as configs:
        found = await publish_commands.diff(configs, change)
    lines = [f"against generation {found.generation}"]
    lines += [f"+ {name}" for name in found.added]
    lines += [f"~ {name}" for name in found.changed]
    lines += [f"- {name}" for name in found.removed]
    if len(lines) == 1:
        lines.append("nothing changes")
    out.show(dataclasses.asdict(found), "\n".join(lines))


async def _publish(
    out: Output,
    store: str,
    change: Change,
    nodes: list[str],
    wait_s: float,
    patience_s: float,
) -> None:
    async with _configs(store) as configs:
        published = await publish_commands.publish(configs, change, patience_s)
    body = dataclasses.asdict(published)
    line = f"generation {published.generation}: "
    line += f"{len(published.changed)} services changed"
    if not published.changed:
        line = f"generation {published.generation}: nothing changes"
    if not wait_s:
        out.show(body, line)
        return
    async with _client(nodes) as client:
        in_force = await publish_commands.wait_in_force(
            client, published.generation, wait_s, out.progress
        )
    body |= {
        "in_force_ms": in_force.waited_ms,
        "nodes": in_force.nodes,
        "lagging": in_force.lagging,
    }
    if in_force.lagging:
        line += f"; not yet in force at {', '.join(in_force.lagging)}"
        out.show(body, line)
        raise typer.Exit(exit_codes.NOT_IN_FORCE)
    line += f"; in force at {in_force.nodes} nodes"
    out.show(body, f"{line} after {in_force.waited_ms} ms")


async def _history(out: Output, store: str, find: str) -> None:
    async with _configs(store) as configs:
        records = await publish_commands.history(configs)
    records = tuple(r for r in records if find in ("", r.publish_id))
    lines = [
        f"{r.generation}  {r.publish_id}  {r.publisher}  {','.join(r.changed)}"
        for r in records
    ]
    body = [dataclasses.asdict(record) for record in records]
    out.show(body, "\n".join(lines) or "no such publish")
    if find and not records:
        raise typer.Exit(exit_codes.FAILED)


async def _status(out: Output, nodes: list[str]) -> None:
    async with _client(nodes) as client:
        found = await client.statuses()
    lines = [
        f"{s['node']}: {s['error']}"
        if "error" in s
        else f"{s['node']}  {s['zone']}  {s['state']}"
        f"  generation {s['generation']}  leaves {s['leaves']}"
        for s in found
    ]
    out.show(found, "\n".join(lines))


async def _ask(
    out: Output,
    nodes: list[str],
    path: str,
    body: dict[str, Any],
    headers: dict[str, str],
) -> None:
    async with _client(nodes) as client:
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
        async with _client(nodes) as client:
            reply = await client.request("GET", "/v1/entry-nodes")
        ticket = reply.json()["tickets"][0]
        out.progress(f"ticket {ticket}")
    if ticket:
        body["ticket"] = ticket
    await _ask(out, nodes, f"/v1/execute/{service}", body, headers)


async def _drain(out: Output, nodes: list[str]) -> None:
    async with _client(nodes) as client:
        reply = await client.request("POST", "/v1/drain")
    out.show(reply.json(), f"{nodes[0]}: leaving")


@asynccontextmanager
async def _configs(address: str) -> AsyncIterator[ConfigStore]:
    store = HttpStore(PlatformSettings(store=address, vm_list=address))
    try:
        yield ConfigStore(store)
    finally:
        await store.aclose()


@asynccontextmanager
async def _client(addresses: list[str]) -> AsyncIterator[NodeClient]:
    client = NodeClient(addresses)
    try:
        yield client
    finally:
        await client.aclose()


def _collect(paths: list[Path], out: Output) -> list[Any]:
    try:
        return service_files.collect(paths)
    except InvalidFilesError as error:
        body = [dataclasses.asdict(finding) for finding in error.findings]
        lines = [str(finding) for finding in error.findings]
        out.show({"ok": False, "findings": body}, "\n".join(lines), err=True)
        raise typer.Exit(exit_codes.INVALID) from None


def _run(out: Output, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    try:
        anyio.run(work)
    except PublishConflictError as error:
        out.fail(str(error), exit_codes.CONFLICT)
    except (
        StoreUnavailableError,
        PublishUnsettledError,
        NodeUnavailableError,
        httpx.HTTPError,
    ) as error:
        out.fail(str(error), exit_codes.UNAVAILABLE)


def _publisher() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid-{os.getuid()}"


def _json_or_text(text: str) -> Any:
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return text


if __name__ == "__main__":
    main()
