"""Bounds the time that long responses take from the event loop."""

import abc
import asyncio
import heapq
import itertools

from snipesaddle._internal.adapters.time_share import TimeShare

# When the connection that was resumed has nothing to read, the next one
# follows after this time.
_TURN_S = 0.001
_NS_PER_S = 1_000_000_000


class PacedConnection(abc.ABC):
    """A connection whose reading can be paused."""

    @abc.abstractmethod
    def resume_reading(self) -> bool:
        """Reads one piece; returns False if the connection has ended."""


class ReadPacer:
    """Lets connections with long responses read in turn, a piece at a time.

    A few responses in tiny chunks, each far below the limits on its bytes, can
    keep the event loop busy, so that deadlines fire late. Connections that
    have taken least time come first: a long response of a sound server passes
    those that are expensive to parse.
    """

    def __init__(self) -> None:
        self._waiting: list[tuple[int, int, PacedConnection]] = []
        self._order = itertools.count()
        self._share = TimeShare()
        self._timer: asyncio.TimerHandle | None = None

    def wait_for_turn(
        self, connection: PacedConnection, spent_ns: int, total_spent_ns: int
    ) -> None:
        """Queues a connection that has paused.

        Args:
          connection: the connection; it is resumed later.
          spent_ns: how long its last piece took.
          total_spent_ns: the same for its whole response so far.
        """
        entry = (total_spent_ns, next(self._order), connection)
        heapq.heappush(self._waiting, entry)
        self._set_timer(self._share.delay_s(spent_ns / _NS_PER_S))

    def _set_timer(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._resume_next)

    def _resume_next(self) -> None:
        self._timer = None
        while self._waiting:
            _, _, connection = heapq.heappop(self._waiting)
            if connection.resume_reading():
                break
        if self._waiting:
            self._set_timer(_TURN_S)
