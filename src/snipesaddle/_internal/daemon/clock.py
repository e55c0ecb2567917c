"""The event loop's clock, in nanoseconds; tests can pause and advance it."""

import anyio

_NS_PER_S = 1_000_000_000
# Added to deadlines so that float rounding never ends a sleep before its timer
# is due.
_ROUNDING_MARGIN_NS = 1_000


def now_ns() -> int:
    """Returns the current time of the running event loop."""
    return int(anyio.current_time() * _NS_PER_S)


def to_deadline_s(due_ns: int) -> float:
    """Converts a due time to an anyio deadline, in seconds."""
    return (due_ns + _ROUNDING_MARGIN_NS) / _NS_PER_S
