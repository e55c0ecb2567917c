"""The port to the leaves."""

import abc

from snipesaddle._internal.tables.commands import ExecuteCall, SearchCall
from snipesaddle._internal.tables.events import CallFinished, ProbeFinished


class LeafTransport(abc.ABC):
    """Sends calls to leaves over links; link ids come from the tables."""

    @abc.abstractmethod
    async def call(
        self, leaf_id: str, link_id: int, request: SearchCall | ExecuteCall
    ) -> CallFinished:
        """Sends a request and returns how it ended; raises no I/O error.

        If the call is cancelled, its link is unusable and must be closed.
        """

    @abc.abstractmethod
    async def probe(self, leaf_id: str, link_id: int) -> ProbeFinished:
        """Reads the health of a leaf; raises no I/O error."""

    @abc.abstractmethod
    async def close(self, link_id: int) -> None:
        """Closes a link, if it is open."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Closes all links."""
