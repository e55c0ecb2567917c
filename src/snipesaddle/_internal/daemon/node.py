"""Assembly of one entry node: its tables, systems and adapters."""

import random
import secrets
from contextlib import AsyncExitStack
from typing import get_args

import anyio
from absl import logging
from anyio.abc import TaskGroup

from snipesaddle._internal import incarnations
from snipesaddle._internal.adapters.claim_store import ClaimStore
from snipesaddle._internal.adapters.config_store import ConfigStore
from snipesaddle._internal.adapters.http_frontend import HttpFrontend
from snipesaddle._internal.adapters.http_leaf import HttpLeafTransport
from snipesaddle._internal.adapters.http_store import HttpStore
from snipesaddle._internal.adapters.http_vm_list import HttpVmList
from snipesaddle._internal.adapters.zmq_peer import ZmqPeerTransport
from snipesaddle._internal.daemon import clock, server
from snipesaddle._internal.daemon.dispatcher import Dispatcher
from snipesaddle._internal.daemon.ports import Ports
from snipesaddle._internal.daemon.tick_loop import TickLoop
from snipesaddle._internal.metrics.histograms import Histograms
from snipesaddle._internal.models.settings import Settings
from snipesaddle._internal.systems.schedule import Schedule
from snipesaddle._internal.tables.messages import PeerMessage
from snipesaddle._internal.tables.nodes import ThisNode
from snipesaddle._internal.tables.world import World


def build_world(settings: Settings, started_ns: int, incarnation: str) -> World:
    """Returns the world of a starting node, with empty tables."""
    node = settings.node
    seed = settings.seed
    world = World(
        settings=settings,
        this_node=ThisNode(
            node_id=node.name,
            incarnation=incarnation,
            http_address=node.http,
            peer_address=node.peer_advertised or node.peer,
            zone=node.zone,
            started_ns=started_ns,
        ),
        rng=random.Random(secrets.randbits(64) if seed is None else seed),
    )
    world.owned_key_spaces.add(incarnation)
    return world


class Node:
    """Runs the tables and systems of one node with the given ports."""

    def __init__(self, world: World, ports: Ports, tasks: TaskGroup) -> None:
        histograms = Histograms()
        self.frontend = HttpFrontend(world, histograms)
        self._world = world
        self._ports = ports
        self._tasks = tasks
        self.dispatcher = Dispatcher(
            world, ports, self.frontend, histograms, tasks
        )
        self._loop = TickLoop(world, Schedule(world), self.dispatcher)

    def start(self) -> None:
        """Starts the tick loop and the receiver of peer messages."""
        self._tasks.start_soon(self._loop.run)
        self._tasks.start_soon(self._ports.peers.receive, self._world.inbox.put)


async def open_adapters(
    settings: Settings, incarnation: str, stack: AsyncExitStack
) -> Ports:
    """Opens the adapters and pushes their clean-up on the exit stack."""
    store = HttpStore(settings.platform)
    stack.push_async_callback(store.aclose)
    leaves = HttpLeafTransport(incarnation)
    stack.push_async_callback(leaves.aclose)
    vm_list = HttpVmList(settings.platform)
    stack.push_async_callback(vm_list.aclose)
    peers = ZmqPeerTransport(settings.node.peer, get_args(PeerMessage))
    stack.callback(peers.close)
    return Ports(
        leaves=leaves,
        peers=peers,
        vm_list=vm_list,
        configs=ConfigStore(store),
        claims=ClaimStore(store, settings.executions.claim_life_s),
    )


async def run_node(settings: Settings) -> None:
    """Runs an entry node until it has drained."""
    async with AsyncExitStack() as stack:
        incarnation = f"{settings.node.name}~{incarnations.new()}"
        ports = await open_adapters(settings, incarnation, stack)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        world = build_world(settings, clock.now_ns(), incarnation)
        node = Node(world, ports, tasks)
        tasks.start_soon(server.watch_signals, world)
        stopped = node.dispatcher.frontend_stopped
        tasks.start_soon(server.serve, settings, node.frontend.app, stopped)
        node.start()
        logging.info("started incarnation %s", incarnation)
        await node.dispatcher.node_stopped.wait()
        logging.info("node has drained; stopping the process")
        tasks.cancel_scope.cancel()
