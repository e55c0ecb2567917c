"""Ports of the forwarding tier to endpoints, clients and the store."""

import abc

from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.routes import (
    ClientLimits,
    RouteConfig,
)


class EndpointTransport(abc.ABC):
    """Sends attempts to endpoints; results arrive as events in the inbox."""

    @abc.abstractmethod
    async def open(self, command: commands.OpenConnection) -> None:
        """Opens a connection; returns when it is established or has failed."""

    @abc.abstractmethod
    def close(self, connection_id: int) -> None:
        """Closes a connection immediately."""

    @abc.abstractmethod
    def send(self, command: commands.SendAttempt) -> None:
        """Writes a request to an established connection."""


class ClientFrontend(abc.ABC):
    """Reads requests from clients and writes the answers."""

    @abc.abstractmethod
    def send_endpoint_answer(
        self, command: commands.SendEndpointAnswer
    ) -> None:
        """Writes the answer of an endpoint unchanged."""

    @abc.abstractmethod
    def send_merged_answer(self, command: commands.SendMergedAnswer) -> None:
        """Writes an answer merged from the answers to several parts."""

    @abc.abstractmethod
    def send_error(self, command: commands.SendError) -> None:
        """Writes an error answer that this node produced."""

    @abc.abstractmethod
    def answer_directory(self, command: commands.AnswerDirectory) -> None:
        """Writes the list of nodes that a client may use."""

    @abc.abstractmethod
    def set_readiness(self, ready: bool) -> None:
        """Sets the readiness that the platform's check of this node returns."""

    @abc.abstractmethod
    def set_limits(self, limits: ClientLimits) -> None:
        """Sets the limits for client requests."""

    @abc.abstractmethod
    def close_idle(self) -> None:
        """Closes idle client connections, now and whenever one becomes idle."""

    @abc.abstractmethod
    async def drain(self, timeout_s: float) -> None:
        """Stops listening and waits until all answers are sent."""


class RangeStore(abc.ABC):
    """Reads ranges of the platform's store and writes this node's record.

    A failed call returns a failure event and raises no exception.
    """

    @abc.abstractmethod
    def set_address(self, address: str) -> None:
        """Sends later calls to another address; calls in flight fail."""

    @abc.abstractmethod
    async def list(
        self, command: commands.ListRange
    ) -> events.RangeListed | events.RangeFailed:
        """Reads one page of a range."""

    @abc.abstractmethod
    async def watch(
        self, command: commands.WatchRange
    ) -> events.RangeChanged | events.RangeFailed:
        """Waits for changes in a range."""

    @abc.abstractmethod
    async def read_config(
        self, command: commands.ReadConfig
    ) -> events.ConfigRead | events.ConfigReadFailed:
        """Reads the configuration; the answer is not older than the call."""

    @abc.abstractmethod
    async def write_presence(
        self, command: commands.WritePresence
    ) -> events.PresenceWritten | events.PresenceFailed:
        """Writes this node's record under its lease, creating one if needed."""

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
        """Decodes a configuration received from a peer; None if invalid."""

    @abc.abstractmethod
    def close(self) -> None:
        """Closes all connections."""
