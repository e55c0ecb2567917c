"""The port to the platform's key-value service."""

import abc
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A value with its version; versions of a key grow from 1."""

    value: str
    version: int


@dataclass(frozen=True, slots=True)
class PutResult:
    """The result of a compare-and-swap.

    Attributes:
      version: the version of the key now, written or found.
    """

    written: bool
    version: int


class Store(abc.ABC):
    """Reads, compare-and-swaps and watches keys.

    Every method raises StoreUnavailableError when no reply comes; a put may
    then have taken effect.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> StoreEntry | None:
        """Returns the entry of a key, or None."""

    @abc.abstractmethod
    async def put(
        self,
        key: str,
        value: str,
        expected_version: int,
        ttl_s: int | None = None,
    ) -> PutResult:
        """Writes a key if its version is the expected one; 0 for absent."""

    @abc.abstractmethod
    async def watch(
        self, key: str, after_version: int, wait_ms: int
    ) -> StoreEntry | None:
        """Waits for a version above `after_version`, then returns the entry."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Closes the connections."""
