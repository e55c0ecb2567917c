"""Commands for service files and the configuration in the store."""

import dataclasses
import getpass
import os
from pathlib import Path
from typing import Annotated, Any

import typer

from snipesaddle._internal import service_files
from snipesaddle._internal.cli import exit_codes
from snipesaddle._internal.cli.common import (
    JsonOption,
    NodeOption,
    StoreOption,
    open_client,
    open_config_store,
    run,
)
from snipesaddle._internal.cli.output import Output
from snipesaddle._internal.commands import publish as publish_commands
from snipesaddle._internal.errors import InvalidFilesError
from snipesaddle._internal.publishing import Change

PathsArgument = Annotated[
    list[Path],
    typer.Argument(help="Service files, or directories that contain them."),
]
RemoveOption = Annotated[
    list[str] | None,
    typer.Option("--remove", help="A service to remove; can be repeated."),
]
BaseOption = Annotated[
    int | None,
    typer.Option(
        help="The generation that the files are based on. If others have"
        " changed the same services since then, the publish is a conflict."
    ),
]


def check(paths: PathsArgument, as_json: JsonOption = False) -> None:
    """Checks service files, also against each other; reports all errors."""
    out = Output(as_json)
    specs = _load_specs(paths, out)
    out.show({"ok": True, "services": len(specs)}, f"{len(specs)} services: ok")


def diff(
    paths: PathsArgument,
    store: StoreOption,
    remove: RemoveOption = None,
    as_json: JsonOption = False,
) -> None:
    """Shows what publishing the files would change."""
    out = Output(as_json)
    change = Change(_load_specs(paths, out), remove or [], _publisher())
    run(out, lambda: _diff(out, store, change))


def publish(
    paths: PathsArgument,
    store: StoreOption,
    node: NodeOption = [],  # noqa: B006
    remove: RemoveOption = None,
    base: BaseOption = None,
    wait: Annotated[
        bool,
        typer.Option(
            "--wait", help="Wait until the generation is in force on all nodes."
        ),
    ] = False,
    wait_timeout_s: Annotated[float, typer.Option(min=0.1)] = 30.0,
    dry_run: Annotated[
        bool,
        typer.Option("--dry-run", help="Show the changes without publishing."),
    ] = False,
    publisher: Annotated[
        str,
        typer.Option(
            help="The name for the history; by default the login name."
        ),
    ] = "",
    patience_s: Annotated[
        float,
        typer.Option(help="How long to retry if the store is unavailable."),
    ] = 10.0,
    as_json: JsonOption = False,
) -> None:
    """Checks service files and publishes them as one generation."""
    out = Output(as_json)
    change = Change(
        _load_specs(paths, out), remove or [], publisher or _publisher(), base
    )
    if dry_run:
        run(out, lambda: _diff(out, store, change))
        return
    if wait and not node:
        out.fail(
            "--wait needs an entry node to ask; give one with --node",
            exit_codes.USAGE,
        )
    timeout_s = wait_timeout_s if wait else 0.0
    run(out, lambda: _publish(out, store, change, node, timeout_s, patience_s))


def history(
    store: StoreOption,
    find: Annotated[
        str, typer.Option(help="Show only the publish with this id.")
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """Shows the most recent publishes, newest last."""
    out = Output(as_json)
    run(out, lambda: _history(out, store, find))


async def _diff(out: Output, store: str, change: Change) -> None:
    async with open_config_store(store) as configs:
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
    retry_timeout_s: float,
) -> None:
    async with open_config_store(store) as configs:
        published = await publish_commands.publish(
            configs, change, retry_timeout_s
        )
    body = dataclasses.asdict(published)
    line = f"generation {published.generation}: "
    line += f"{len(published.changed)} services changed"
    if not published.changed:
        line = f"generation {published.generation}: nothing changes"
    if not wait_s:
        out.show(body, line)
        return
    async with open_client(nodes) as client:
        in_force = await publish_commands.wait_until_in_force(
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
    async with open_config_store(store) as configs:
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


def _load_specs(paths: list[Path], out: Output) -> list[Any]:
    try:
        return service_files.collect(paths)
    except InvalidFilesError as error:
        body = [dataclasses.asdict(finding) for finding in error.findings]
        lines = [str(finding) for finding in error.findings]
        out.show({"ok": False, "findings": body}, "\n".join(lines), err=True)
        raise typer.Exit(exit_codes.INVALID) from None


def _publisher() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid-{os.getuid()}"
