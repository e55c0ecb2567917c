"""The port to other entry nodes."""

import abc
from collections.abc import Callable

MessageHandler = Callable[[object], None]


class PeerTransport(abc.ABC):
    """Carries one-way messages; a message may be lost, none comes twice."""

    @abc.abstractmethod
    def send(self, peer_address: str, message: object) -> int:
        """Sends a message, or drops it when the peer is not connected.

        Returns:
          The bytes that were handed over; 0 for a dropped message.
        """

    @abc.abstractmethod
    def disconnect(self, peer_address: str) -> None:
        """Closes the connection to a peer, if there is one."""

    @abc.abstractmethod
    async def receive(self, deliver: MessageHandler) -> None:
        """Delivers messages until cancelled."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes all sockets."""
