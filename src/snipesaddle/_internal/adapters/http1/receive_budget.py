"""Bounds the memory of the incomplete responses on all connections."""

from collections.abc import Hashable


class ReceiveBudget:
    """Counts the bytes that connections hold in incomplete responses.

    Many servers can send without end at once, each below its own limit. The
    connection that holds most is the one to give up, so that the responses of
    healthy servers are still read.

    Args:
      max_bytes: the limit on the sum over all connections.

    Attributes:
      total_bytes: the sum over all connections.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.total_bytes = 0
        self._bytes_by_connection: dict[Hashable, int] = {}

    def update(self, connection: Hashable, held_bytes: int) -> Hashable | None:
        """Records how much a connection holds.

        Returns:
          The connection to give up because the sum exceeds the limit, or None.
        """
        previous_bytes = self._bytes_by_connection.pop(connection, 0)
        self.total_bytes += held_bytes - previous_bytes
        if held_bytes:
            self._bytes_by_connection[connection] = held_bytes
        if self.total_bytes <= self._max_bytes:
            return None
        return max(
            self._bytes_by_connection,
            key=lambda held: self._bytes_by_connection[held],
        )
