"""Options, connections and error handling that the commands share."""

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
        "--store",
        envvar="SNIPESADDLE_STORE",
        help="The address of the store, as IP:PORT.",
    ),
]
NodeOption = Annotated[
    list[str],
    typer.Option(
        "--node",
        envvar="SNIPESADDLE_NODES",
        help="The address of an entry node, as IP:PORT; can be repeated.",
    ),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print the result as JSON.")
]


@asynccontextmanager
async def open_config_store(address: str) -> AsyncIterator[ConfigStore]:
    """Yields a client of the configuration in the store, closed on exit."""
    store = HttpStore(PlatformSettings(store=address, vm_list=address))
    try:
        yield ConfigStore(store)
    finally:
        await store.aclose()


@asynccontextmanager
async def open_client(addresses: list[str]) -> AsyncIterator[NodeClient]:
    """Yields a client of the given entry nodes, closed on exit."""
    client = NodeClient(addresses)
    try:
        yield client
    finally:
        await client.aclose()


def run(out: Output, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs a command; prints its errors and exits with their codes."""
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
