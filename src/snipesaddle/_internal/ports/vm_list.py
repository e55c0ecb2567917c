"""The port to the platform's list of VMs."""

import abc

from snipesaddle._internal.tables.events import VmListRead


class VmList(abc.ABC):
    """Reads the list of live and leaving VMs, which may be out of date."""

    @abc.abstractmethod
    async def read(self) -> VmListRead:
        """Returns the list; its nodes are None if it could not be read."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Closes the connections."""
