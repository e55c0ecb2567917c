"""The port to other entry nodes."""

import abc
from collections.abc import Callable

MessageHandler = Callable[[object], None]


class PeerTransport(abc.ABC):
    """Sends one-way messages, each delivered at most once."""

    @abc.abstractmethod
    def send(self, peer_address: str, message: object) -> int:
        """Sends a message, or discards it if the peer is not connected.

        Returns:
          The number of bytes sent; 0 for a discarded message.
        """

    @abc.abstractmethod
    def disconnect(self, peer_address: str) -> None:
        """Closes the connection to a peer, if it exists."""

    @abc.abstractmethod
    async def receive(self, deliver: MessageHandler) -> None:
        """Calls `deliver` for each received message, until cancelled."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes all sockets."""
