"""What the command line prints: text for people, JSON for programs."""

import json
from typing import NoReturn

import typer


class Output:
    """Prints results to stdout, and progress and errors to stderr."""

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json

    def show(self, body: object, text: str, *, err: bool = False) -> None:
        """Prints a result."""
        if self._as_json:
            typer.echo(json.dumps(body, default=str))
        else:
            typer.echo(text, err=err)

    def progress(self, text: str) -> None:
        """Tells a person what is being waited for."""
        typer.echo(text, err=True)

    def fail(self, message: str, code: int) -> NoReturn:
        """Prints an error and ends with an exit code."""
        if self._as_json:
            typer.echo(json.dumps({"error": message}))
        else:
            typer.echo(f"error: {message}", err=True)
        raise typer.Exit(code)
