"""The ports of the forwarding tier: endpoints, clients, the store, peers."""

import abc

from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.routes import (
    ClientLimits,
    RouteConfig,
)


class EndpointTransport(abc.ABC):
    """Carries attempts to endpoints; events tell what became of them."""

    @abc.abstractmethod
    async def open(self, command: commands.OpenConnection) -> None:
        """Opens a connection; ends when it is up or has failed."""

    @abc.abstractmethod
    def close(self, connection_id: int) -> None:
        """Closes a connection at once."""

    @abc.abstractmethod
    def send(self, command: commands.SendAttempt) -> None:
        """Writes a request to a connection that is up."""


class ClientFrontend(abc.ABC):
    """Reads requests of clients and writes their answers."""

    @abc.abstractmethod
    def send_endpoint_answer(
        self, command: commands.SendEndpointAnswer
    ) -> None:
        """Writes an endpoint's answer as it came."""

    @abc.abstractmethod
    def send_merged_answer(self, command: commands.SendMergedAnswer) -> None:
        """Writes an answer merged of several parts."""

    @abc.abstractmethod
    def send_error(self, command: commands.SendError) -> None:
        """Writes a final answer of this node's own."""

    @abc.abstractmethod
    def answer_directory(self, command: commands.AnswerDirectory) -> None:
        """Writes which nodes a client may use."""

    @abc.abstractmethod
    def set_readiness(self, ready: bool) -> None:
        """Sets what the platform is told of this node."""

    @abc.abstractmethod
    def set_limits(self, limits: ClientLimits) -> None:
        """Sets the bounds on what clients may send."""

    @abc.abstractmethod
    def close_idle(self) -> None:
        """Closes client connections without a request, now and later."""


class RangeStore(abc.ABC):
    """Reads ranges of the platform's store and writes this node's record.

    A failed call is an event, not an exception.
    """

    @abc.abstractmethod
    def set_address(self, address: str) -> None:
        """Makes the calls to come at an address; those in flight fail."""

    @abc.abstractmethod
    async def list(
        self, command: commands.ListRange
    ) -> events.RangeListed | events.RangeFailed:
        """Reads one page of a range."""

    @abc.abstractmethod
    async def watch(
        self, command: commands.WatchRange
    ) -> events.RangeChanged | events.RangeFailed:
        """Waits for changes of a range."""

    @abc.abstractmethod
    async def write_presence(
        self, command: commands.WritePresence
    ) -> events.PresenceWritten | events.PresenceFailed:
        """Writes this node's record under its lease, or under a new one."""

    @abc.abstractmethod
    async def renew_presence(
        self, command: commands.RenewPresence
    ) -> events.PresenceWritten | events.PresenceFailed:
        """Renews the lease of this node's record."""

    @abc.abstractmethod
    async def remove_presence(self, command: commands.RemovePresence) -> None:
        """Ends the lease of this node's record."""

    @abc.abstractmethod
    def decode_config(self, source: bytes) -> RouteConfig | None:
        """Decodes a configuration that a peer passed on; None if unreadable."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes the connections."""
