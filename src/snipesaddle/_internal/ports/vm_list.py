"""The port to the platform's list of VMs."""

import abc

from snipesaddle._internal.tables.events import VmListRead


class VmList(abc.ABC):
    """Reads the lagging list of live and leaving VMs."""

    @abc.abstractmethod
    async def read(self) -> VmListRead:
        """Returns the list; its nodes are None when it could not be read."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Closes the connections."""
