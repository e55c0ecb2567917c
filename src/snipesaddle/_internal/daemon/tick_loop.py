"""The event-driven tick loop of the daemon."""

import anyio
from absl import logging

from snipesaddle._internal.daemon import clock
from snipesaddle._internal.daemon.dispatcher import Dispatcher
from snipesaddle._internal.systems.schedule import Schedule
from snipesaddle._internal.tables.world import World


class TickLoop:
    """Runs a tick when an event arrives or a timer is due; sleeps otherwise.

    The time from an event's arrival to its tick is recorded as loop lag, which
    admission control reads.
    """

    def __init__(
        self, world: World, schedule: Schedule, dispatcher: Dispatcher
    ) -> None:
        self._world = world
        self._schedule = schedule
        self._dispatcher = dispatcher
        self._wake = anyio.Event()
        self._event_arrived_ns = 0
        world.inbox.set_wake_callback(self._on_event)

    def _on_event(self) -> None:
        if not self._wake.is_set():
            self._event_arrived_ns = clock.now_ns()
            self._wake.set()

    async def run(self) -> None:
        """Runs ticks until cancelled."""
        self._schedule.start(self._world, clock.now_ns())
        while True:
            now_ns = clock.now_ns()
            if self._wake.is_set():
                self._record_lag(now_ns - self._event_arrived_ns)
            self._wake = anyio.Event()
            commands = self._schedule.tick(self._world, now_ns)
            self._log_errors()
            for command in commands:
                self._dispatcher.dispatch(command)
            if self._world.inbox.is_empty():
                await self._sleep()
            else:
                await anyio.lowlevel.checkpoint()

    def _log_errors(self) -> None:
        errors, self._world.system_errors = self._world.system_errors, []
        for error in errors:
            logging.error("unexpected error in a system", exc_info=error)

    def _record_lag(self, lag_ns: int) -> None:
        load = self._world.load
        load.lag_sum_ns += lag_ns
        load.lag_count += 1

    async def _sleep(self) -> None:
        due_ns = self._world.timers.next_due_ns()
        if due_ns is None:
            await self._wake.wait()
            return
        with anyio.CancelScope(deadline=clock.to_deadline_s(due_ns)):
            await self._wake.wait()
