"""Assembly of an entry node with the adapters of the users' platform."""

import os
import sys
from contextlib import ExitStack
from pathlib import Path

import anyio

from snipesaddle._internal.daemon.forward_node import ForwardNode
from snipesaddle._internal.errors import SettingsError
from snipesaddle._internal.models.forwarding import (
    ForwardSettings,
    load_settings,
)
from snipesaddle.platform.endpoints import PlatformEndpointTransport
from snipesaddle.platform.frontend import PlatformFrontend
from snipesaddle.platform.store import PlatformStore

_SETTINGS_PATH_VARIABLE = "SNIPESADDLE_BOOT"


async def run(settings: ForwardSettings, path: Path) -> None:
    """Runs an entry node until it has drained."""
    with ExitStack() as stack:
        node = ForwardNode(settings, path, stack)
        frontend = PlatformFrontend(node.inbox, node.now_ns, node.intake)
        stack.callback(frontend.stop)
        store = PlatformStore(settings.store.address, settings.responses)
        stack.callback(store.close)
        await frontend.start(
            settings.node.front,
            settings.node.directory,
            settings.node.readiness,
        )
        endpoints = PlatformEndpointTransport(
            node.inbox, settings.responses, node.now_ns
        )
        await node.run(endpoints, frontend, store)


def main() -> None:
    """Reads the settings and runs the node.

    The environment variable SNIPESADDLE_BOOT holds the path of the settings
    file. Exits with status 1 and one line on stderr if it cannot be used.
    """
    path = Path(os.environ.get(_SETTINGS_PATH_VARIABLE, ""))
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.exit(f"snipesaddle: {error}")
    options = {"use_uvloop": settings.event_loop == "uvloop"}
    anyio.run(run, settings, path, backend_options=options)
