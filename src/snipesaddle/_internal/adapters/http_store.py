"""Client of the platform's key-value store over HTTP."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus
from urllib.parse import quote

import anyio
import msgspec

from snipesaddle._internal.adapters.http_client import (
    TRANSPORT_ERRORS,
    HttpConnection,
    HttpReply,
)
from snipesaddle._internal.errors import StoreUnavailableError
from snipesaddle._internal.models.settings import PlatformSettings
from snipesaddle._internal.ports.store import PutResult, Store, StoreEntry

_MAX_IDLE_CONNECTIONS = 4


class _EntryBody(msgspec.Struct):
    value: str
    version: int


class _PutBody(msgspec.Struct):
    value: str
    expect: int
    life_s: int | None


class _PutReply(msgspec.Struct):
    version: int


class HttpStore(Store):
    """Calls the store; concurrent calls use separate connections.

    Idle connections are kept and reused.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        self._address = settings.store
        self._timeout_s = settings.store_timeout_ms / 1_000
        self._idle: list[HttpConnection] = []

    async def get(self, key: str) -> StoreEntry | None:
        async with self._connection(self._timeout_s) as connection:
            reply = await connection.get(_path(key))
            return _decode_entry(reply)

    async def watch(
        self, key: str, after_version: int, wait_ms: int
    ) -> StoreEntry | None:
        path = f"{_path(key)}?after={after_version}&wait_ms={wait_ms}"
        timeout_s = self._timeout_s + wait_ms / 1_000
        async with self._connection(timeout_s) as connection:
            return _decode_entry(await connection.get(path))

    async def put(
        self,
        key: str,
        value: str,
        expected_version: int,
        ttl_s: int | None = None,
    ) -> PutResult:
        content = msgspec.json.encode(_PutBody(value, expected_version, ttl_s))
        async with self._connection(self._timeout_s) as connection:
            reply = await connection.send("PUT", _path(key), content)
            if reply.status not in (HTTPStatus.OK, HTTPStatus.CONFLICT):
                raise StoreUnavailableError(f"status {reply.status}")
            body = msgspec.json.decode(reply.content, type=_PutReply)
            return PutResult(reply.status == HTTPStatus.OK, body.version)

    async def aclose(self) -> None:
        while self._idle:
            await self._idle.pop().aclose()

    @asynccontextmanager
    async def _connection(
        self, timeout_s: float
    ) -> AsyncIterator[HttpConnection]:
        connection = (
            self._idle.pop() if self._idle else HttpConnection(self._address)
        )
        reusable = False
        try:
            with anyio.fail_after(timeout_s):
                yield connection
            reusable = len(self._idle) < _MAX_IDLE_CONNECTIONS
        except TimeoutError:
            raise StoreUnavailableError("timeout") from None
        except (*TRANSPORT_ERRORS, msgspec.MsgspecError) as error:
            raise StoreUnavailableError(str(error)) from error
        finally:
            if reusable:
                self._idle.append(connection)
            else:
                with anyio.CancelScope(shield=True):
                    await connection.aclose()


def _path(key: str) -> str:
    return f"/v1/kv/{quote(key)}"


def _decode_entry(reply: HttpReply) -> StoreEntry | None:
    if reply.status == HTTPStatus.NOT_FOUND:
        return None
    if reply.status != HTTPStatus.OK:
        raise StoreUnavailableError(f"status {reply.status}")
    body = msgspec.json.decode(reply.content, type=_EntryBody)
    return StoreEntry(body.value, body.version)
