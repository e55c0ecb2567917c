"""The HTTP server and the signal handling of the daemon."""

import signal
from typing import cast

import anyio
import hypercorn.asyncio
import hypercorn.trio
from absl import logging
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework
from starlette.applications import Starlette

from snipesaddle._internal.models.settings import Settings
from snipesaddle._internal.tables.events import DrainRequested
from snipesaddle._internal.tables.world import World

_KEEP_ALIVE_S = 75
# Effectively unlimited: at the limit, hypercorn closes the connection together
# with the requests in flight on it.
_MAX_REQUESTS_PER_CONNECTION = 2**62


async def serve(
    settings: Settings, app: Starlette, frontend_stopped: anyio.Event
) -> None:
    """Serves HTTP requests until `frontend_stopped` is set."""
    config = _hypercorn_config(settings)
    stop = frontend_stopped.wait
    framework = cast("ASGIFramework", app)
    if settings.event_loop == "trio":
        await hypercorn.trio.serve(framework, config, shutdown_trigger=stop)
    else:
        await hypercorn.asyncio.serve(framework, config, shutdown_trigger=stop)


async def watch_signals(world: World) -> None:
    """Requests a drain of the node on SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logging.info("received signal %d; draining the node", number)
            world.inbox.put(DrainRequested())


def _hypercorn_config(settings: Settings) -> Config:
    config = Config()
    config.bind = [settings.node.http]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.keep_alive_max_requests = _MAX_REQUESTS_PER_CONNECTION
    config.graceful_timeout = settings.drain.finish_timeout_ms / 1_000
    config.backlog = 1_024
    return config
