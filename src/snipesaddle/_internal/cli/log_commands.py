"""Commands that read the logs of entry nodes."""

from pathlib import Path
from typing import Annotated

import typer

from snipesaddle._internal import log_timeline
from snipesaddle._internal.cli import exit_codes
from snipesaddle._internal.cli.common import JsonOption
from snipesaddle._internal.cli.output import Output


def explain(
    request: Annotated[
        str, typer.Argument(help="The request id that the client sent.")
    ],
    files: Annotated[
        list[Path],
        typer.Argument(
            help="Log files of entry nodes.", exists=True, dir_okay=False
        ),
    ],
    as_json: JsonOption = False,
) -> None:
    """Shows the log lines of one request and the events that preceded it."""
    out = Output(as_json)
    lines = log_timeline.request_timeline(
        request, log_timeline.read_lines(files)
    )
    if not lines:
        out.fail(
            f"no log line has request id {request}; pass the logs of all nodes"
            " (of the complete answers, only one in 32 is logged)",
            exit_codes.FAILED,
        )
    out.show([line.fields for line in lines], "\n".join(map(str, lines)))
