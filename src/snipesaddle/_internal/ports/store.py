"""The port to the platform's key-value service."""

import abc
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A value with its version; the versions of a key increase from 1."""

    value: str
    version: int


@dataclass(frozen=True, slots=True)
class PutResult:
    """The result of a compare-and-swap.

    Attributes:
      written: whether the expected version matched and the value was written.
      version: the current version of the key, as written or as found.
    """

    written: bool
    version: int


class Store(abc.ABC):
    """Reads, writes (by compare-and-swap) and watches keys.

    Every method raises StoreUnavailableError if the store does not answer; a
    put may have taken effect in that case.
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
        """Writes a key if its version is as expected.

        Args:
          key: the key.
          value: the new value.
          expected_version: the expected version; 0 if the key must not exist.
          ttl_s: time to live of the entry; None for no limit.
        """

    @abc.abstractmethod
    async def watch(
        self, key: str, after_version: int, wait_ms: int
    ) -> StoreEntry | None:
        """Waits until the version is newer than `after_version`.

        Returns:
          The current entry once it is newer or `wait_ms` have passed; None if
          the key does not exist.
        """

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Closes the connections."""
