"""Claims of idempotency keys in the store."""

import anyio
import msgspec

from snipesaddle._internal.errors import StoreUnavailableError
from snipesaddle._internal.ports.store import Store
from snipesaddle._internal.tables.commands import ClaimKey
from snipesaddle._internal.tables.executions import ClaimOwner

_CLAIM_PREFIX = "claim/"
_RETRY_DELAY_S = 0.02


class ClaimStore:
    """Claims keys by compare-and-swap: the first claim of a key wins.

    A claim expires after `ttl_s` seconds.
    """

    def __init__(self, store: Store, ttl_s: int) -> None:
        self._store = store
        self._ttl_s = ttl_s

    async def claim(self, command: ClaimKey) -> ClaimOwner | None:
        """Returns the owner of the key's claim, or None if it is not known.

        A put whose reply was lost is retried until the timeout. If it did take
        effect, the retry fails and reading the key back shows its owner.
        """
        key = f"{_CLAIM_PREFIX}{command.service}/{command.key}"
        with anyio.move_on_after(command.timeout_ms / 1_000):
            while True:
                try:
                    return await self._put_or_read(key, command.owner)
                except StoreUnavailableError:
                    await anyio.sleep(_RETRY_DELAY_S)
        return None

    async def _put_or_read(self, key: str, owner: ClaimOwner) -> ClaimOwner:
        value = msgspec.json.encode(owner).decode()
        result = await self._store.put(key, value, 0, self._ttl_s)
        if result.written:
            return owner
        entry = await self._store.get(key)
        if entry is None:
            raise StoreUnavailableError(
                f"{key} disappeared between put and get"
            )
        try:
            return msgspec.json.decode(entry.value, type=ClaimOwner)
        except msgspec.MsgspecError as error:
            raise StoreUnavailableError(f"malformed claim: {error}") from error
