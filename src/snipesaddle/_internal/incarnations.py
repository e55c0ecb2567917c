"""Incarnations: ids of the runs of a node, which sort by their start."""

import secrets
import time

_NS_PER_MS = 1_000_000
_TIME_DIGITS = 12


def new() -> str:
    """Returns the id of a run that starts now, by the clock of the machine."""
    started_unix_ms = time.time_ns() // _NS_PER_MS
    return f"{started_unix_ms:0{_TIME_DIGITS}x}-{secrets.token_hex(4)}"


def later(earlier: str, own: str) -> str:
    """Returns an id for a run that sorts higher than that of an earlier one.

    Args:
      earlier: the id of the earlier run.
      own: the id that the run has had so far; returned if the earlier one
        cannot be read.
    """
    digits = earlier.partition("-")[0]
    token = own.partition("-")[2]
    if len(digits) > _TIME_DIGITS:
        return own
    try:
        number = int(digits, 16)
    except ValueError:
        return own
    return f"{number + 1:0{len(digits)}x}-{token}"
