"""Output of the command line, as text or JSON."""

import json
from typing import NoReturn

import typer


class Output:
    """Prints results to stdout, and progress and errors to stderr."""

    def __init__(self, as_json: bool) -> None:
        self._as_json = as_json

    def show(self, body: object, text: str, *, err: bool = False) -> None:
        """Prints a result: `body` as JSON, or `text`, on stderr if `err`."""
        if self._as_json:
            typer.echo(json.dumps(body, default=str))
        else:
            typer.echo(text, err=err)

    def progress(self, text: str) -> None:
        """Prints a progress message to stderr."""
        typer.echo(text, err=True)

    def fail(self, message: str, code: int) -> NoReturn:
        """Prints an error and exits with the given code."""
        if self._as_json:
            typer.echo(json.dumps({"error": message}))
        else:
            typer.echo(f"error: {message}", err=True)
        raise typer.Exit(code)
