"""Commands that read the logs of entry nodes."""

from pathlib import Path
from typing import Annotated

import typer

from snipesaddle._internal import log_timeline
from snipesaddle._internal.cli import exit_codes
from snipesaddle._internal.cli.common import JsonOption
from snipesaddle._internal.cli.output import Output


def explain(
    request: Annotated[str, typer.Argument(help="The client's request id.")],
    files: Annotated[
        list[Path],
        typer.Argument(
            help="Logs of entry nodes.", exists=True, dir_okay=False
        ),
    ],
    as_json: JsonOption = False,
) -> None:
    """Tells what became of one request, and what led to it."""
    out = Output(as_json)
    lines = log_timeline.request_timeline(
        request, log_timeline.read_lines(files)
    )
    if not lines:
        out.fail(
            f"no line names request {request}; give the logs of all nodes, "
            "and mind that only one whole answer in 32 is logged",
            exit_codes.FAILED,
        )
    out.show([line.fields for line in lines], "\n".join(map(str, lines)))
