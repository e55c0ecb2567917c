"""Bounds the number of open client connections."""

import abc


class LimitedConnection(abc.ABC):
    """A connection that can be closed to make room."""

    @property
    @abc.abstractmethod
    def unsent_bytes(self) -> int:
        """Returns the response bytes that the client has not taken."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Closes the connection at once."""


class ConnectionLimit:
    """Closes the connection that has waited longest for a request.

    Args:
      max_connections: the limit.

    Attributes:
      evictions: the connections closed so far to make room.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.evictions = 0
        self._open: set[LimitedConnection] = set()
        # Those without a request being handled, longest first.
        self._waiting: dict[LimitedConnection, None] = {}

    def add(self, connection: LimitedConnection, reserve: int) -> None:
        """Adds an open connection, and makes room for it.

        Args:
          connection: the connection; it is closed itself if the requests of
            all others are being handled.
          reserve: how many more connections than the limit may be open.
        """
        self._open.add(connection)
        self._waiting[connection] = None
        if len(self._open) > self.max_connections + reserve:
            self._evict_one()

    def set_waiting(self, connection: LimitedConnection, waiting: bool) -> None:
        """Records whether a connection waits for a complete request."""
        self._waiting.pop(connection, None)
        if waiting and connection in self._open:
            self._waiting[connection] = None

    def remove(self, connection: LimitedConnection) -> None:
        """Removes a connection that is closed."""
        self._open.discard(connection)
        self._waiting.pop(connection, None)

    def _evict_one(self) -> None:
        # A client that still reads a response is spared while there are others.
        victim = next(
            (one for one in self._waiting if not one.unsent_bytes),
            next(iter(self._waiting)),
        )
        self.remove(victim)
        self.evictions += 1
        victim.abort()
