"""The port to the leaves."""

import abc

from snipesaddle._internal.tables.commands import ExecuteCall, SearchCall
from snipesaddle._internal.tables.events import CallFinished, ProbeFinished


class LeafTransport(abc.ABC):
    """Carries calls to leaves over links that the tables number."""

    @abc.abstractmethod
    async def call(
        self, leaf_id: str, link_id: int, request: SearchCall | ExecuteCall
    ) -> CallFinished:
        """Sends a request and returns how it ended; raises no I/O error.

        A cancelled call leaves its link unusable: close it.
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
