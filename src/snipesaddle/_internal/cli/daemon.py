"""The command line of snipesaddled, the daemon."""

from pathlib import Path
from typing import Annotated

import anyio
import typer

from snipesaddle._internal import settings_file
from snipesaddle._internal.cli import exit_codes
from snipesaddle._internal.daemon.node import run_node
from snipesaddle._internal.errors import InvalidFilesError
from snipesaddle._internal.metrics import logs

app = typer.Typer(add_completion=False)


@app.command()
def run(
    settings: Annotated[Path, typer.Option(help="The settings file (YAML).")],
    check: Annotated[
        bool, typer.Option(help="Check the settings and exit.")
    ] = False,
) -> None:
    """Runs one entry node; SIGTERM or SIGINT drains and stops it."""
    try:
        loaded = settings_file.load(settings)
    except InvalidFilesError as error:
        for finding in error.findings:
            typer.echo(str(finding), err=True)
        raise typer.Exit(exit_codes.INVALID) from None
    if check:
        typer.echo(f"{settings}: ok")
        return
    logs.set_up(loaded.node.name, loaded.log_level)
    backend = "trio" if loaded.event_loop == "trio" else "asyncio"
    options = {"use_uvloop": True} if loaded.event_loop == "uvloop" else {}
    anyio.run(run_node, loaded, backend=backend, backend_options=options)


def main() -> None:
    """Runs the command line."""
    app()
