"""Bounds the memory of the incomplete messages on all connections."""

from collections.abc import Callable, Hashable


class ReceiveBudget:
    """Counts the bytes that connections hold in incomplete messages.

    Many peers can send without end at once, each below its own limit. The
    connection that holds most is the one to give up, so that the messages of
    healthy peers are still read.

    Args:
      max_bytes: the limit on the sum over all connections.
      weigh: returns the weight of a connection that holds so many bytes; the
        heaviest is given up. By default, the bytes.

    Attributes:
      max_bytes: the limit on the sum over all connections.
      total_bytes: the sum over all connections.
    """

    def __init__(
        self,
        max_bytes: int,
        weigh: Callable[[Hashable, int], float] | None = None,
    ) -> None:
        self.max_bytes = max_bytes
        self._weigh = weigh or _held_bytes
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
        if self.total_bytes <= self.max_bytes:
            return None
        return max(
            self._bytes_by_connection,
            key=lambda held: self._weigh(held, self._bytes_by_connection[held]),
        )


def _held_bytes(connection: Hashable, held_bytes: int) -> float:
    del connection
    return held_bytes
