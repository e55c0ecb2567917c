"""Claims of idempotency keys in the store."""

import anyio

from snipesaddle._internal.errors import StoreUnavailableError
from snipesaddle._internal.ports.store import Store
from snipesaddle._internal.tables.commands import ClaimKey

_PREFIX = "claim/"
_RETRY_DELAY_S = 0.02


class ClaimStore:
    """Claims keys by create-if-absent; the first incarnation keeps a key."""

    def __init__(self, store: Store, life_s: int) -> None:
        self._store = store
        self._life_s = life_s

    async def claim(self, command: ClaimKey) -> str:
        """Returns the incarnation that holds the claim; empty if not known.

        A put whose reply was lost is settled by reading the key back.
        """
        key = f"{_PREFIX}{command.service}/{command.key}"
        with anyio.move_on_after(command.timeout_ms / 1_000):
            while True:
                try:
                    return await self._settle(key, command.incarnation)
                except StoreUnavailableError:
                    await anyio.sleep(_RETRY_DELAY_S)
        return ""

    async def _settle(self, key: str, incarnation: str) -> str:
        result = await self._store.put(key, incarnation, 0, self._life_s)
        if result.written:
            return incarnation
        entry = await self._store.get(key)
        if entry is None:
            raise StoreUnavailableError("a claim was found and then not")
        return entry.value
