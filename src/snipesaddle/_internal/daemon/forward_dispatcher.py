"""Executes the commands of the forwarding tier's systems."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from absl import logging

from snipesaddle._internal.metrics.decision_log import DecisionLog
from snipesaddle._internal.metrics.outcomes import OutcomeHistograms
from snipesaddle._internal.ports.forwarding import (
    ClientFrontend,
    EndpointTransport,
    RangeStore,
)
from snipesaddle._internal.ports.peer_transport import PeerTransport
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.messages import (
    RelayAsk,
)
from snipesaddle._internal.tables.forwarding.store_ranges import Range
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class ForwardPorts:
    """The adapters of one forwarding node."""

    endpoints: EndpointTransport
    frontend: ClientFrontend
    store: RangeStore
    peers: PeerTransport


class ForwardDispatcher:
    """Executes commands through the ports.

    Commands that wait for I/O run in a task of their own; all others run
    synchronously.

    Attributes:
      stopped: set when the process should exit.
    """

    def __init__(
        self,
        world: ForwardWorld,
        ports: ForwardPorts,
        log: DecisionLog,
        histograms: OutcomeHistograms,
        now_ns: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        """Initializes the dispatcher.

        Args:
          world: the tables.
          ports: the adapters.
          log: the decision log.
          histograms: the latencies by outcome.
          now_ns: the clock of the tick loop.
        """
        self._now_ns = now_ns
        self._world = world
        self._ports = ports
        self._tasks: set[asyncio.Task[None]] = set()
        self._range_calls: dict[Range, asyncio.Task[None]] = {}
        self.stopped = asyncio.Event()
        frontend = ports.frontend
        store = ports.store
        self._handlers: dict[type, Callable[[Any], object]] = {
            commands.SendAttempt: ports.endpoints.send,
            commands.OpenConnection: self._open,
            commands.CloseConnection: self._close,
            commands.SendEndpointAnswer: frontend.send_endpoint_answer,
            commands.SendMergedAnswer: frontend.send_merged_answer,
            commands.SendError: frontend.send_error,
            commands.AnswerDirectory: frontend.answer_directory,
            commands.SetReadiness: lambda c: frontend.set_readiness(c.ready),
            commands.SetClientLimits: lambda c: frontend.set_limits(c.limits),
            commands.CloseIdleClients: lambda _: frontend.close_idle(),
            commands.ListRange: lambda c: self._call_range(c, store.list(c)),
            commands.WatchRange: lambda c: self._call_range(c, store.watch(c)),
            commands.ReadConfig: self._read_config,
            commands.WritePresence: lambda c: self._call_presence(
                store.write_presence(c)
            ),
            commands.RenewPresence: lambda c: self._call_presence(
                store.renew_presence(c)
            ),
            commands.RemovePresence: lambda c: self._start_task(
                store.remove_presence(c)
            ),
            commands.SendToNode: self._send_to_node,
            commands.DisconnectPeer: lambda c: ports.peers.disconnect(
                c.peer_address
            ),
            commands.StopProcess: lambda _: self.stopped.set(),
            commands.RecordOutcome: histograms.record,
            commands.LogDecision: lambda c: log.write(c.event, c.fields),
        }

    def dispatch(self, command: commands.Command) -> None:
        """Executes one command, or starts the task that executes it."""
        try:
            self._handlers[type(command)](command)
        except Exception:
            # The other commands of the tick do not depend on this one.
            self._world.counters.unexpected_errors += 1
            logging.exception("cannot execute %s", type(command).__name__)

    def cancel(self) -> None:
        """Cancels the tasks that are still running."""
        for task in self._tasks:
            task.cancel()

    def _start_task(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _start_and_post(
        self,
        coroutine: Coroutine[Any, Any, object],
        failure: Callable[[str], object],
    ) -> asyncio.Task[None]:
        """Starts a task that ends in an event, also after an unknown error."""

        async def run() -> None:
            try:
                event = await coroutine
            except Exception as error:
                self._world.counters.unexpected_errors += 1
                logging.exception("a call failed unexpectedly")
                event = failure(repr(error))
            self._world.inbox.put(event)

        return self._start_task(run())

    def _call_range(
        self,
        command: commands.ListRange | commands.WatchRange,
        coroutine: Coroutine[Any, Any, object],
    ) -> None:
        # A late result of a replaced call would bring back older items.
        replaced = self._range_calls.get(command.range)
        if replaced is not None:
            replaced.cancel()
        self._range_calls[command.range] = self._start_and_post(
            coroutine,
            lambda detail: events.RangeFailed(command.range, False, detail),
        )

    def _read_config(self, command: commands.ReadConfig) -> None:
        # Reads overlap: each one has its own start, and proves that time.
        self._start_and_post(
            self._ports.store.read_config(command),
            lambda detail: events.ConfigReadFailed(command.read_id, detail),
        )

    def _call_presence(self, coroutine: Coroutine[Any, Any, object]) -> None:
        self._start_and_post(
            coroutine, lambda detail: events.PresenceFailed(False, detail)
        )

    def _open(self, command: commands.OpenConnection) -> None:
        self._start_task(self._open_connection(command))

    async def _open_connection(self, command: commands.OpenConnection) -> None:
        try:
            await self._ports.endpoints.open(command)
        except Exception as error:
            self._world.counters.unexpected_errors += 1
            logging.exception("cannot connect to %s", command.address)
            self._ports.endpoints.close(command.connection_id)
            ended = events.ConnectionEnded(
                command.connection_id, False, repr(error)
            )
            self._world.inbox.put(ended)

    def _close(self, command: commands.CloseConnection) -> None:
        self._ports.endpoints.close(command.connection_id)

    def _send_to_node(self, command: commands.SendToNode) -> None:
        message = command.message
        if command.decided_ns and isinstance(message, RelayAsk):
            delay_ns = max(0, self._now_ns() - command.decided_ns)
            message = message.delayed(delay_ns // _NS_PER_MS)
        sent = self._ports.peers.send(command.peer_address, message)
        if not sent and isinstance(message, RelayAsk):
            self._world.inbox.put(events.RelayUnsent(message.relay_id))
        if not sent and command.resend:
            unsent = events.MessageUnsent(command.peer_address, message)
            self._world.inbox.put(unsent)
