"""Executes the commands that the systems put into the outbox."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from absl import logging
from anyio.abc import TaskGroup

from snipesaddle._internal.adapters.http_frontend import HttpFrontend
from snipesaddle._internal.daemon.ports import Ports
from snipesaddle._internal.errors import StoreUnavailableError
from snipesaddle._internal.metrics.histograms import Histograms
from snipesaddle._internal.tables import commands, events
from snipesaddle._internal.tables.queries import CallResult
from snipesaddle._internal.tables.world import World

_NS_PER_S = 1_000_000_000


class Dispatcher:
    """Executes commands through the ports.

    Commands that wait for I/O run in a task of their own and put an event into
    the inbox when they finish; all others run synchronously.

    Attributes:
      frontend_stopped: set when the HTTP server should stop listening.
      node_stopped: set when the process should exit.
    """

    def __init__(
        self,
        world: World,
        ports: Ports,
        frontend: HttpFrontend,
        histograms: Histograms,
        tasks: TaskGroup,
    ) -> None:
        self._world = world
        self._ports = ports
        self._frontend = frontend
        self._histograms = histograms
        self._tasks = tasks
        self._calls: dict[int, anyio.CancelScope] = {}
        self.frontend_stopped = anyio.Event()
        self.node_stopped = anyio.Event()
        self._handlers: dict[type, Callable[[Any], None]] = {
            commands.StartCall: self._start_call,
            commands.CancelCall: self._cancel_call,
            commands.Probe: self._probe,
            commands.CloseLink: self._close_link,
            commands.AnswerSearch: self._answer_search,
            commands.RefuseRequest: self._deliver,
            commands.AnswerExecution: self._deliver,
            commands.AnswerDirectory: self._deliver,
            commands.SendPeer: self._send_peer,
            commands.DisconnectPeer: self._disconnect_peer,
            commands.ReadVmList: self._read_vm_list,
            commands.WatchHead: self._watch_head,
            commands.FetchBlobs: self._fetch_blobs,
            commands.ClaimKey: self._claim_key,
            commands.StopFrontend: self._stop_frontend,
            commands.StopNode: self._stop_node,
        }

    def dispatch(self, command: commands.Command) -> None:
        """Executes one command, or starts the task that executes it."""
        try:
            self._handlers[type(command)](command)
        except Exception:
            # The other commands of the tick do not depend on this one.
            self._count_error(f"cannot execute {type(command).__name__}")

    def _start(
        self, run: Callable[[], Awaitable[object]], on_error: object
    ) -> None:
        """Starts a task that ends in an event, also after an unknown error.

        Args:
          run: does the work and returns its event.
          on_error: the event for an unexpected error.
        """

        async def contained() -> None:
            event = on_error
            try:
                event = await run()
            except Exception:
                self._count_error("a call failed unexpectedly")
            self._world.inbox.put(event)

        self._tasks.start_soon(contained)

    def _count_error(self, message: str) -> None:
        self._world.counters.unexpected_errors += 1
        logging.exception(message)

    def _start_call(self, command: commands.StartCall) -> None:
        # Registers the scope before the task runs, so that an immediate
        # CancelCall finds it.
        call_id = command.request.call_id
        scope = self._calls[call_id] = anyio.CancelScope()
        # The leaf may have done the work, so the call has failed; it was not
        # refused.
        failed = events.CallFinished(
            call_id=call_id,
            leaf_id=command.leaf_id,
            link_id=command.link_id,
            result=CallResult.FAILED,
            link_usable=False,
            detail="cancelled, timed out or failed unexpectedly",
        )
        self._start(lambda: self._run_call(command, scope, failed), failed)

    async def _run_call(
        self,
        command: commands.StartCall,
        scope: anyio.CancelScope,
        failed: events.CallFinished,
    ) -> events.CallFinished:
        finished = None
        try:
            with scope:
                with anyio.move_on_after(command.timeout_ns / _NS_PER_S):
                    finished = await self._ports.leaves.call(
                        command.leaf_id, command.link_id, command.request
                    )
        finally:
            self._calls.pop(command.request.call_id, None)
        if finished is None:
            await self._ports.leaves.close(command.link_id)
            return failed
        return finished

    def _cancel_call(self, command: commands.CancelCall) -> None:
        scope = self._calls.get(command.call_id)
        if scope is not None:
            scope.cancel()

    def _probe(self, command: commands.Probe) -> None:
        failed = events.ProbeFinished(
            command.leaf_id, command.link_id, None, False
        )
        self._start(lambda: self._run_probe(command, failed), failed)

    async def _run_probe(
        self, command: commands.Probe, failed: events.ProbeFinished
    ) -> events.ProbeFinished:
        finished = None
        with anyio.move_on_after(command.timeout_ns / _NS_PER_S):
            finished = await self._ports.leaves.probe(
                command.leaf_id, command.link_id
            )
        if finished is None:
            await self._ports.leaves.close(command.link_id)
            return failed
        return finished

    def _close_link(self, command: commands.CloseLink) -> None:
        closed = events.LinkClosed(command.link_id)
        self._start(lambda: self._run_close(closed), closed)

    async def _run_close(self, closed: events.LinkClosed) -> events.LinkClosed:
        await self._ports.leaves.close(closed.link_id)
        return closed

    def _answer_search(self, command: commands.AnswerSearch) -> None:
        answer = command.answer
        self._histograms.record(
            command.class_name,
            command.tenant,
            command.latency_ns,
            not answer.missing,
        )
        self._frontend.deliver(answer.request_id, command)

    def _deliver(
        self,
        command: commands.RefuseRequest
        | commands.AnswerExecution
        | commands.AnswerDirectory,
    ) -> None:
        self._frontend.deliver(command.request_id, command)

    def _send_peer(self, command: commands.SendPeer) -> None:
        sent = self._ports.peers.send(command.peer_address, command.message)
        self._world.counters.peer_messages_sent += 1
        self._world.counters.peer_bytes_sent += sent

    def _disconnect_peer(self, command: commands.DisconnectPeer) -> None:
        self._ports.peers.disconnect(command.peer_address)

    def _read_vm_list(self, command: commands.ReadVmList) -> None:
        del command
        self._start(self._ports.vm_list.read, events.VmListRead(None))

    def _watch_head(self, command: commands.WatchHead) -> None:
        unknown = events.HeadRead(None)
        self._start(lambda: self._run_watch_head(command), unknown)

    async def _run_watch_head(
        self, command: commands.WatchHead
    ) -> events.HeadRead:
        try:
            head = await self._ports.configs.watch_head(
                command.generation, command.wait_ms
            )
        except StoreUnavailableError as error:
            logging.warning("%s", error)
            return events.HeadRead(None)
        return events.HeadRead(head)

    def _fetch_blobs(self, command: commands.FetchBlobs) -> None:
        unknown = events.BlobsRead({})
        self._start(lambda: self._run_fetch_blobs(command), unknown)

    async def _run_fetch_blobs(
        self, command: commands.FetchBlobs
    ) -> events.BlobsRead:
        try:
            blobs = await self._ports.configs.read_specs(command.digests)
        except StoreUnavailableError as error:
            logging.warning("%s", error)
            return events.BlobsRead({})
        return events.BlobsRead(blobs)

    def _claim_key(self, command: commands.ClaimKey) -> None:
        # The claim may have been stored, so its owner is not known.
        unknown = events.ClaimFinished(command.key, command.service, None)
        self._start(lambda: self._run_claim_key(command), unknown)

    async def _run_claim_key(
        self, command: commands.ClaimKey
    ) -> events.ClaimFinished:
        owner = await self._ports.claims.claim(command)
        return events.ClaimFinished(command.key, command.service, owner)

    def _stop_frontend(self, command: commands.StopFrontend) -> None:
        del command
        self.frontend_stopped.set()

    def _stop_node(self, command: commands.StopNode) -> None:
        del command
        self.node_stopped.set()
