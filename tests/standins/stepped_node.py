"""Runs a node of the users' platform whose time of day is wrong.

Usage: python -m tests.standins.stepped_node OFFSET_S
"""

import sys
import time
from collections.abc import Callable

from snipesaddle.platform.__main__ import main

_NS_PER_S = 1_000_000_000


def step_clock(offset_s: float) -> None:
    """Shifts the time of day of this process; its other clocks run on."""
    true_time_ns: Callable[[], int] = time.time_ns
    offset_ns = int(offset_s * _NS_PER_S)
    time.time_ns = lambda: true_time_ns() + offset_ns
    time.time = lambda: time.time_ns() / _NS_PER_S


if __name__ == "__main__":
    step_clock(float(sys.argv.pop(1)))
    main()
