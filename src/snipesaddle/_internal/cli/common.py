"""What the commands share: options, connections and errors."""

from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Annotated, Any

import anyio
import httpx
import typer

from snipesaddle._internal.adapters.config_store import ConfigStore
from snipesaddle._internal.adapters.http_store import HttpStore
from snipesaddle._internal.adapters.node_client import NodeClient
from snipesaddle._internal.cli import exit_codes
from snipesaddle._internal.cli.output import Output
from snipesaddle._internal.errors import (
    NodeUnavailableError,
    PublishConflictError,
    PublishOutcomeUnknownError,
    StoreUnavailableError,
)
from snipesaddle._internal.models.settings import PlatformSettings

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


@asynccontextmanager
async def open_config_store(address: str) -> AsyncIterator[ConfigStore]:
    """Connects to the store."""
    store = HttpStore(PlatformSettings(store=address, vm_list=address))
    try:
        yield ConfigStore(store)
    finally:
        await store.aclose()


@asynccontextmanager
async def open_client(addresses: list[str]) -> AsyncIterator[NodeClient]:
    """Connects to entry nodes."""
    client = NodeClient(addresses)
    try:
        yield client
    finally:
        await client.aclose()


def run(out: Output, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs a command and turns its errors into exit codes."""
    try:
        anyio.run(work)
    except PublishConflictError as error:
        out.fail(str(error), exit_codes.CONFLICT)
    except (
        StoreUnavailableError,
        PublishOutcomeUnknownError,
        NodeUnavailableError,
        httpx.HTTPError,
    ) as error:
        out.fail(str(error), exit_codes.UNAVAILABLE)
