"""Assembly of one entry node of the forwarding tier."""

import asyncio
import gc
import random
import secrets
import signal
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import get_args

from absl import logging

from snipesaddle._internal import incarnations, run_ids
from snipesaddle._internal.adapters.http1.client_intake import ClientIntake
from snipesaddle._internal.adapters.zmq_peer import ZmqPeerTransport
from snipesaddle._internal.daemon import forward_loop
from snipesaddle._internal.daemon.forward_dispatcher import (
    ForwardDispatcher,
    ForwardPorts,
)
from snipesaddle._internal.daemon.metrics_handler import MetricsHandler
from snipesaddle._internal.daemon.settings_watch import SettingsWatch
from snipesaddle._internal.metrics import decision_log
from snipesaddle._internal.metrics.decision_log import DecisionLog
from snipesaddle._internal.metrics.outcomes import OutcomeHistograms
from snipesaddle._internal.models.forwarding import ForwardSettings
from snipesaddle._internal.ports.forwarding import (
    ClientFrontend,
    EndpointTransport,
    RangeStore,
)
from snipesaddle._internal.systems.forwarding.schedule import ForwardSchedule
from snipesaddle._internal.tables.forwarding import events
from snipesaddle._internal.tables.forwarding.fleet import ThisNode
from snipesaddle._internal.tables.forwarding.messages import (
    ConfigShare,
    FleetMessage,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.inbox import Inbox

# Allocations between two garbage collections; each collection pauses the event
# loop.
_GC_THRESHOLD_OBJECTS = 20_000
# How long the last answers may take to reach slow clients.
_DRAIN_TIMEOUT_S = 0.4


def build_world(settings: ForwardSettings, incarnation: str) -> ForwardWorld:
    """Returns the world of a starting node, with empty tables."""
    node = settings.node
    seed = settings.seed
    run_number = run_ids.run_number(incarnation)
    return ForwardWorld(
        settings=settings,
        this_node=ThisNode(
            node_id=node.name,
            incarnation=incarnation,
            front_address=node.front,
            peer_address=node.peer,
            zone=node.zone,
            run_number=run_number,
        ),
        ids=run_ids.counter(run_number),
        rng=random.Random(secrets.randbits(64) if seed is None else seed),
    )


class ForwardNode:
    """Runs the tables and systems of one node with the given adapters.

    Clean-up callbacks are pushed on the exit stack.

    Attributes:
      intake: the limits on the clients of all servers of the node.
    """

    def __init__(
        self, settings: ForwardSettings, path: Path, stack: ExitStack
    ) -> None:
        self._settings = settings
        self._path = path
        self._stack = stack
        self._log = DecisionLog(settings.node.name)
        decision_log.set_up_absl(self._log)
        self._world = build_world(settings, incarnations.new())
        self._histograms = OutcomeHistograms()
        self.intake = ClientIntake(settings.clients, settings.capacity)

    @property
    def inbox(self) -> Inbox:
        """Returns the inbox into which adapters put their events."""
        return self._world.inbox

    @property
    def now_ns(self) -> Callable[[], int]:
        """Returns the clock function of the tick loop."""
        return forward_loop.now_ns

    async def run(
        self,
        endpoints: EndpointTransport,
        frontend: ClientFrontend,
        store: RangeStore,
    ) -> None:
        """Runs until the node has drained and the process should exit."""
        peers = ZmqPeerTransport(
            self._settings.node.peer, get_args(FleetMessage)
        )
        self._stack.callback(peers.close)
        ports = ForwardPorts(endpoints, frontend, store, peers)
        dispatcher = ForwardDispatcher(
            self._world, ports, self._log, self._histograms, self.now_ns
        )
        self._stack.callback(dispatcher.cancel)
        loop = asyncio.get_running_loop()
        receiving = loop.create_task(
            peers.receive(lambda message: self._deliver(store, message))
        )
        self._stack.callback(receiving.cancel)
        self._watch_settings(store)
        self._watch_signals(loop)
        await self._serve_metrics()
        self._log.write(
            "started",
            {
                "incarnation": self._world.this_node.incarnation,
                "zone": self._settings.node.zone,
            },
        )
        gc.collect()
        gc.freeze()
        gc.set_threshold(_GC_THRESHOLD_OBJECTS)
        forward_loop.ForwardLoop(
            self._world, ForwardSchedule(), dispatcher.dispatch
        ).start()
        await dispatcher.stopped.wait()
        await frontend.drain(_DRAIN_TIMEOUT_S)
        self._log.write("stopped", {})

    def _deliver(self, store: RangeStore, message: object) -> None:
        if not isinstance(message, ConfigShare):
            self._world.inbox.put(message)
            return
        if message.version <= self._world.active_config.version:
            return
        config = store.decode_config(message.source)
        if config is None:
            logging.warning(
                "ignored a configuration from a peer: it cannot be decoded"
            )
            return
        self._world.inbox.put(events.PeerConfigReceived(config))

    def _watch_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(
                number, self._world.inbox.put, events.DrainRequested()
            )

    def _watch_settings(self, store: RangeStore) -> None:
        def apply(settings: ForwardSettings) -> None:
            self._world.settings = settings
            store.set_address(settings.store.address)

        watch = SettingsWatch(self._path, self._settings, self._log, apply)
        watch.start()
        self._stack.callback(watch.stop)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, watch.reload)

    async def _serve_metrics(self) -> None:
        handler = MetricsHandler(self._world, self._histograms, self.intake)
        server = handler.server
        try:
            await server.start(self._settings.node.metrics)
        except OSError as error:
            logging.error(
                "cannot listen for metrics requests: %s; the node runs without"
                " metrics",
                error,
            )
            return
        self._stack.callback(server.stop)
