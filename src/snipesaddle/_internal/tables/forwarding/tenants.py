"""Tenants and their API keys."""

import hashlib
import secrets
from collections.abc import Iterable
from dataclasses import dataclass

_DIGEST_BYTES = 16
# Keys are looked up by a digest under a secret of this process, so neither
# memory layout nor timing tells how much of a guessed key is right.
_DIGEST_SECRET = secrets.token_bytes(32)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of the configuration.

    Attributes:
      priority: goes before the priority of the route, 0 is the most urgent;
        None to use that of the route.
      rate_per_s: requests a second that the tenant may make at all nodes
        together; 0 for no limit.
      burst: how many requests it may make beyond that at once.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class TenantIndex:
    """Finds the tenant that holds an API key; keeps no key in clear text."""

    def __init__(
        self, tenants: Iterable[tuple[Tenant, Iterable[bytes]]] = ()
    ) -> None:
        self._by_name: dict[str, Tenant] = {}
        self._by_digest: dict[bytes, Tenant] = {}
        for tenant, keys in tenants:
            self._by_name[tenant.name] = tenant
            for key in keys:
                self._by_digest[_digest(key)] = tenant

    def __len__(self) -> int:
        return len(self._by_name)

    def find(self, key: bytes) -> Tenant | None:
        """Returns the tenant that holds a key, or None."""
        return self._by_digest.get(_digest(key))

    def limited(self) -> list[Tenant]:
        """Returns the tenants that have a limit."""
        return [t for t in self._by_name.values() if t.rate_per_s > 0]

    def by_name(self, name: str) -> Tenant | None:
        """Returns the tenant of a name, or None."""
        return self._by_name.get(name)


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(
        key, digest_size=_DIGEST_BYTES, key=_DIGEST_SECRET
    ).digest()
