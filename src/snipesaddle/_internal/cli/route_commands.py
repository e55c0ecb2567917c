"""Commands that ask nodes of the forwarding tier."""

from typing import Annotated

import httpx
import typer

from snipesaddle._internal.cli import exit_codes
from snipesaddle._internal.cli.common import JsonOption, run
from snipesaddle._internal.cli.output import Output
from snipesaddle._internal.commands import explain_route as command


def explain_route(
    host: Annotated[str, typer.Argument(help="The host of the request.")],
    path: Annotated[str, typer.Argument(help="Its path, with its query.")],
    metrics: Annotated[
        str,
        typer.Option(
            envvar="SNIPESADDLE_METRICS",
            help="The metrics address of a node, as IP:PORT.",
        ),
    ],
    method: str = "GET",
    tenant: Annotated[
        str, typer.Option(help="The name of a tenant; never an API key.")
    ] = "",
    body_bytes: Annotated[int, typer.Option(min=0)] = 0,
    as_json: JsonOption = False,
) -> None:
    """Shows where a node would send a request now, and why, without sending."""
    out = Output(as_json)
    query: dict[str, str | int] = {
        "host": host,
        "path": path,
        "method": method,
        "tenant": tenant,
        "body_bytes": body_bytes,
    }
    run(out, lambda: _explain(out, metrics, query))


async def _explain(
    out: Output, metrics: str, query: dict[str, str | int]
) -> None:
    try:
        explanation = await command.explain_route(metrics, query)
    except httpx.InvalidURL as error:
        out.fail(str(error), exit_codes.USAGE)
    except ValueError as error:
        out.fail(str(error), exit_codes.USAGE)
    out.show(explanation, command.as_text(explanation))
