"""Events that wait for the next tick, by type."""

from collections.abc import Callable
from typing import Any, TypeVar, cast

EventT = TypeVar("EventT")


class Inbox:
    """Events by type; adapters put, systems take."""

    def __init__(self) -> None:
        self._events: dict[type, list[Any]] = {}
        self._wake: Callable[[], None] = lambda: None

    def set_wake_callback(self, wake: Callable[[], None]) -> None:
        """Sets the function called for each event that arrives."""
        self._wake = wake

    def put(self, event: object) -> None:
        """Adds an event and wakes the tick loop."""
        self._events.setdefault(type(event), []).append(event)
        self._wake()

    def take(self, event_type: type[EventT]) -> list[EventT]:
        """Removes and returns all events of one type, oldest first."""
        events = self._events.get(event_type)
        if not events:
            return []
        self._events[event_type] = []
        return cast("list[EventT]", events)

    def is_empty(self) -> bool:
        """Tells whether no event waits."""
        return not any(self._events.values())
