"""Measures how busy the event loop and the process are."""

import math
import time

from snipesaddle._internal.tables.forwarding.process import ProcessState

_NS_PER_MS = 1_000_000
# The window of the mean delay of events.
_DELAY_WINDOW_NS = 500 * _NS_PER_MS
# The shortest time over which the use of the processor is measured.
_USE_WINDOW_NS = 250 * _NS_PER_MS


class LoopMeter:
    """Puts the delay of events and the use of the processor into the tables."""

    def __init__(self, process: ProcessState, now_ns: int) -> None:
        self._process = process
        self._pass_ended_ns = now_ns
        self._use_since_ns = now_ns
        self._processor_ns = time.process_time_ns()

    def start_pass(self, started_ns: int) -> None:
        """Records the time until a pass of the loop, in which no event waits.

        Args:
          started_ns: when the first event of the pass was read.
        """
        idle_ns = max(0, started_ns - self._pass_ended_ns)
        self._pass_ended_ns = max(started_ns, self._pass_ended_ns)
        self._process.loop_delay_ns *= math.exp(-idle_ns / _DELAY_WINDOW_NS)

    def end_pass(self, ended_ns: int) -> None:
        """Records a pass: events wait for half of it in the mean."""
        busy_ns = ended_ns - self._pass_ended_ns
        self._pass_ended_ns = ended_ns
        weight = -math.expm1(-busy_ns / _DELAY_WINDOW_NS)
        process = self._process
        process.loop_delay_ns += weight * (busy_ns / 2 - process.loop_delay_ns)

    def measure_use(self, now_ns: int) -> None:
        """Updates the use of the processor once in a window."""
        elapsed_ns = now_ns - self._use_since_ns
        if elapsed_ns < _USE_WINDOW_NS:
            return
        processor_ns = time.process_time_ns()
        used_ns = processor_ns - self._processor_ns
        self._process.processor_use = used_ns / elapsed_ns
        self._use_since_ns = now_ns
        self._processor_ns = processor_ns
