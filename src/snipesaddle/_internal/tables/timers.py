"""Timers, indexed by kind and due time."""

import enum
import heapq
import itertools
from collections.abc import Hashable


class TimerKind(enum.Enum):
    """The purpose of a timer."""

    # Members are dictionary keys on the hot path, and the hash of an enum
    # member is by default computed from its name each time.
    __hash__ = object.__hash__

    QUERY_DEADLINE = enum.auto()
    PLAN = enum.auto()
    HEDGE = enum.auto()
    RETRY = enum.auto()
    PROBE = enum.auto()
    LINK = enum.auto()
    HEARTBEAT = enum.auto()
    STORE_WATCH = enum.auto()
    FETCH = enum.auto()
    EXECUTION_DEADLINE = enum.auto()
    EXECUTION_EXPIRY = enum.auto()
    RELAY = enum.auto()
    DRAIN = enum.auto()
    STORE_SYNC = enum.auto()
    STORE_CONFIRMATION = enum.auto()
    CONFIG_FRESHNESS = enum.auto()
    PRESENCE = enum.auto()
    FLEET_HEARTBEAT = enum.auto()
    SHARE_HANDOVER = enum.auto()
    ENDPOINT = enum.auto()
    DEPARTURE = enum.auto()
    ENDPOINT_RETENTION = enum.auto()
    RESTORED_ENDPOINTS = enum.auto()
    EVACUATION_HOLD = enum.auto()
    REQUEST = enum.auto()
    PART_RETRY = enum.auto()
    ATTEMPT = enum.auto()
    QUOTA_REVIEW = enum.auto()
    QUOTA_REPLY = enum.auto()
    NODE_RESEND = enum.auto()


class Timers:
    """Timers by kind and key, in one binary heap per kind.

    A key has at most one timer of a kind; setting it again replaces it. A tick
    examines only due timers. Replaced and cancelled entries stay in the heap
    until they reach its top.
    """

    def __init__(self) -> None:
        self._order = itertools.count()
        self._due: dict[TimerKind, dict[Hashable, int]] = {
            kind: {} for kind in TimerKind
        }
        self._heaps: dict[TimerKind, list[tuple[int, int, Hashable]]] = {
            kind: [] for kind in TimerKind
        }

    def set(self, kind: TimerKind, key: Hashable, due_ns: int) -> None:
        """Sets or replaces the timer of a key."""
        self._due[kind][key] = due_ns
        entry = (due_ns, next(self._order), key)
        heapq.heappush(self._heaps[kind], entry)

    def cancel(self, kind: TimerKind, key: Hashable) -> None:
        """Removes the timer of a key, if it exists."""
        self._due[kind].pop(key, None)

    def pop_due(self, kind: TimerKind, now_ns: int) -> list[Hashable]:
        """Removes the due timers of one kind and returns their keys."""
        heap = self._heaps[kind]
        if not heap or heap[0][0] > now_ns:
            return []
        due_by_key = self._due[kind]
        due: list[Hashable] = []
        while heap and heap[0][0] <= now_ns:
            due_ns, _, key = heapq.heappop(heap)
            if due_by_key.get(key) == due_ns:
                del due_by_key[key]
                due.append(key)
        return due

    def next_due_ns(self) -> int | None:
        """Returns the earliest due time over all kinds; None without timers."""
        earliest_ns: int | None = None
        for kind, heap in self._heaps.items():
            if not heap:
                continue
            due_by_key = self._due[kind]
            while heap and due_by_key.get(heap[0][2]) != heap[0][0]:
                heapq.heappop(heap)
            if heap and (earliest_ns is None or heap[0][0] < earliest_ns):
                earliest_ns = heap[0][0]
        return earliest_ns
