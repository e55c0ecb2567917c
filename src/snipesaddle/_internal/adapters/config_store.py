"""The configuration in the store: a head, and service specs by digest.

The head maps each service of a generation to the digest of its spec; specs are
content-addressed and never change.
"""

import hashlib

import msgspec

from snipesaddle._internal.errors import StoreUnavailableError
from snipesaddle._internal.ports.store import PutResult, Store
from snipesaddle._internal.tables.config import Head, ServiceSpec

_HEAD_KEY = "config/head"
_SPEC_PREFIX = "config/service/"
EMPTY_HEAD = Head(0, {}, ())


def encode_spec(spec: ServiceSpec) -> str:
    """Returns the canonical JSON of a service spec."""
    return msgspec.json.encode(spec, order="deterministic").decode()


def digest_of(content: str) -> str:
    """Returns the first 128 bits of the SHA-256 of an encoded spec, in hex."""
    return hashlib.sha256(content.encode()).hexdigest()[:32]


class ConfigStore:
    """Reads and writes generations of the configuration.

    Every method raises StoreUnavailableError if the store does not answer or
    holds a malformed value.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._head_version = 0
        self._head = EMPTY_HEAD

    async def read_head(self) -> tuple[Head, int]:
        """Returns the head and its version, or EMPTY_HEAD and 0 if absent."""
        entry = await self._store.get(_HEAD_KEY)
        if entry is None:
            return EMPTY_HEAD, 0
        return _decode_head(entry.value), entry.version

    async def watch_head(self, generation: int, wait_ms: int) -> Head:
        """Returns the head once it is newer than `generation` or on timeout."""
        after_version = self._head_version
        if self._head.generation > generation:
            after_version = 0
        entry = await self._store.watch(_HEAD_KEY, after_version, wait_ms)
        if entry is None:
            return self._head
        if entry.version >= self._head_version:
            self._head_version = entry.version
            self._head = _decode_head(entry.value)
            return self._head
        return _decode_head(entry.value)

    async def write_head(self, head: Head, expected_version: int) -> PutResult:
        """Writes a head by compare-and-swap on its version."""
        content = msgspec.json.encode(head).decode()
        return await self._store.put(_HEAD_KEY, content, expected_version)

    async def read_specs(
        self, digests: tuple[str, ...]
    ) -> dict[str, ServiceSpec]:
        """Returns the specs by digest, without those that the store lacks."""
        found: dict[str, ServiceSpec] = {}
        for digest in digests:
            entry = await self._store.get(_SPEC_PREFIX + digest)
            if entry is not None:
                found[digest] = _decode_spec(digest, entry.value)
        return found

    async def write_spec(self, spec: ServiceSpec) -> str:
        """Writes a service spec if it is absent, and returns its digest."""
        content = encode_spec(spec)
        digest = digest_of(content)
        await self._store.put(
            _SPEC_PREFIX + digest, content, expected_version=0
        )
        return digest


def _decode_head(value: str) -> Head:
    try:
        return msgspec.json.decode(value, type=Head)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(f"malformed head: {error}") from error


def _decode_spec(digest: str, value: str) -> ServiceSpec:
    if digest_of(value) != digest:
        raise StoreUnavailableError(f"spec does not match its digest {digest}")
    try:
        return msgspec.json.decode(value, type=ServiceSpec)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(f"malformed spec: {error}") from error
