"""Containment: an unexpected error ends only the work that it belongs to."""

import traceback
from collections.abc import Callable, Iterable
from typing import TypeVar

from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# One line per place and interval, with the number of errors in between.
_LOG_INTERVAL_NS = 10_000 * NS_PER_MS

ItemT = TypeVar("ItemT")
Handler = Callable[[ForwardWorld, ItemT, int], None]


def run_each(
    world: ForwardWorld,
    items: Iterable[ItemT],
    handle: Handler[ItemT],
    now_ns: int,
    give_up: Handler[ItemT] | None = None,
) -> None:
    """Handles each item; an error in one does not affect the others.

    Args:
      world: the tables.
      items: events, or keys of rows.
      handle: handles one item.
      now_ns: the time of the tick.
      give_up: ends the work for an item whose handling raised an error.
    """
    for item in items:
        try:
            handle(world, item, now_ns)
        except Exception as error:
            report(world, error, now_ns)
            if give_up is not None:
                _give_up(world, item, give_up, now_ns)


def report(world: ForwardWorld, error: Exception, now_ns: int) -> None:
    """Counts an unexpected error and logs it with its traceback."""
    world.counters.unexpected_errors += 1
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].name}:{frames[-1].lineno}" if frames else "unknown"
    kind = (type(error).__name__, place)
    if now_ns < world.error_log_due_ns.get(kind, 0):
        return
    world.error_log_due_ns[kind] = now_ns + _LOG_INTERVAL_NS
    world.log(
        "unexpected_error",
        kind=kind[0],
        place=place,
        detail=str(error),
        errors_so_far=world.counters.unexpected_errors,
        traceback="".join(traceback.format_exception(error)),
    )


def _give_up(
    world: ForwardWorld, item: ItemT, give_up: Handler[ItemT], now_ns: int
) -> None:
    try:
        give_up(world, item, now_ns)
    except Exception as error:
        report(world, error, now_ns)
