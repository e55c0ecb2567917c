"""The tick loop of the forwarding tier, driven by asyncio callbacks.

An event schedules one tick with `call_soon`, which runs right after the
callbacks that are already queued and takes all their events. There is no
ticking task; between ticks at most one timer handle is pending.
"""

import asyncio
import time
from collections.abc import Callable

from snipesaddle._internal.daemon.loop_meter import LoopMeter
from snipesaddle._internal.systems.forwarding.schedule import ForwardSchedule
from snipesaddle._internal.tables.forwarding.commands import Command
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# Counts while the machine is suspended, where the platform has such a clock:
# otherwise a proof that the configuration is current would seem younger.
_CLOCK_ID: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
_NS_PER_S = 1_000_000_000
_NS_PER_MS = 1_000_000
# A timer that fires later than this is logged: deadlines were missed.
_LATE_TIMER_NS = 100 * _NS_PER_MS
# With a shorter time between a tick and the next event, the loop did not sleep
# in between.
_MAX_PASS_GAP_NS = 1 * _NS_PER_MS


class ForwardLoop:
    """Runs a tick when an event arrives or a timer is due."""

    def __init__(
        self,
        world: ForwardWorld,
        schedule: ForwardSchedule,
        dispatch: Callable[[Command], None],
    ) -> None:
        self._world = world
        self._schedule = schedule
        self._dispatch = dispatch
        self._loop = asyncio.get_running_loop()
        self._tick_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ns = 0
        self._timer_set_cpu_ns = 0
        self._pass_started_ns = 0
        self._tick_ended_ns = 0
        self._is_ticking = False
        self._meter = LoopMeter(world.process, now_ns())
        world.inbox.set_wake_callback(self._on_event)

    def start(self) -> None:
        """Sets the initial timers and schedules the first tick."""
        self._schedule.start(self._world, now_ns())
        self._on_event()

    def _on_event(self) -> None:
        if not self._tick_scheduled:
            self._tick_scheduled = True
            self._start_pass(now_ns())
            self._loop.call_soon(self._tick)

    def _start_pass(self, started_ns: int) -> None:
        """Updates since when what is read from now on may have waited.

        What arrived before the previous pass was read in it. If the loop has
        slept since, it reads at once, unless the process did not run, which
        shows in the lateness of its timer.
        """
        gap_ns = started_ns - self._tick_ended_ns
        if self._is_ticking or gap_ns < _MAX_PASS_GAP_NS:
            since_ns = self._pass_started_ns
        elif self._timer is not None:
            since_ns = min(started_ns, self._timer_due_ns)
        else:
            since_ns = started_ns
        self._pass_started_ns = started_ns
        self._world.process.unread_since_ns = since_ns

    def _tick(self) -> None:
        self._tick_scheduled = False
        self._is_ticking = True
        started_ns = now_ns()
        self._meter.start_pass(self._pass_started_ns)
        self._meter.measure_use(started_ns)
        try:
            for command in self._schedule.tick(self._world, started_ns):
                self._dispatch(command)
        finally:
            self._is_ticking = False
            self._tick_ended_ns = now_ns()
            self._meter.end_pass(self._tick_ended_ns)
            if not self._tick_scheduled:
                self._set_timer()

    def _set_timer(self) -> None:
        due_ns = self._world.timers.next_due_ns()
        if due_ns == self._timer_due_ns and self._timer is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due_ns is None:
            return
        self._timer_due_ns = due_ns
        self._timer_set_cpu_ns = time.process_time_ns()
        delay_s = max(0.0, (due_ns - now_ns()) / _NS_PER_S)
        self._timer = self._loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._log_if_late()
        self._on_event()
        self._timer = None

    def _log_if_late(self) -> None:
        late_ns = now_ns() - self._timer_due_ns
        if late_ns < _LATE_TIMER_NS:
            return
        # Little processor time means that the process did not run.
        cpu_ns = time.process_time_ns() - self._timer_set_cpu_ns
        self._world.log(
            "timer_late",
            late_ms=late_ns // _NS_PER_MS,
            cpu_ms=cpu_ns // _NS_PER_MS,
        )


def now_ns() -> int:
    """Returns the monotonic time, suspensions of the machine included."""
    return time.clock_gettime_ns(_CLOCK_ID)
