"""Client of the platform's store: ranges, watches, leases, presence record."""

import base64
from collections.abc import Mapping
from http import HTTPStatus
from urllib.parse import urlencode

import msgspec

from snipesaddle._internal.adapters.http1.pooled_client import (
    CallFailedError,
    PooledHttpClient,
)
from snipesaddle._internal.adapters.http1.response_reader import HttpResponse
from snipesaddle._internal.models.forwarding import ResponseSettings
from snipesaddle._internal.ports.forwarding import RangeStore
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.routes import RouteConfig
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Change,
    Item,
    Range,
    UnreadableItem,
)
from snipesaddle.platform import names, records

_MS_PER_S = 1_000
_MAX_ERA = 2**53
_PREFIXES = {
    Range.CONFIG: names.OPERATOR_PREFIX,
    Range.ENDPOINTS: names.ENDPOINT_PREFIX,
    Range.NODES: names.NODE_PREFIX,
}


class _ItemValue(msgspec.Struct):
    key: str
    value: str = ""
    revision: int = 0
    removed: bool = False


class _PageValue(msgspec.Struct):
    """A page of items.

    Attributes:
      store_revision: the revision of the whole store.
    """

    items: list[_ItemValue]
    has_more: bool
    store_revision: int


class _WatchValue(msgspec.Struct):
    events: list[_ItemValue]
    store_revision: int


class _KeyValue(msgspec.Struct):
    """The answer to a read of one key."""

    value: str
    revision: int
    store_revision: int


class _LeaseValue(msgspec.Struct):
    lease: int


_decode_page = msgspec.json.Decoder(_PageValue).decode
_decode_watch = msgspec.json.Decoder(_WatchValue).decode
_decode_key = msgspec.json.Decoder(_KeyValue).decode
_decode_lease = msgspec.json.Decoder(_LeaseValue).decode


class _StatusError(Exception):
    """The store answered with an error status."""

    def __init__(self, response: HttpResponse) -> None:
        super().__init__(f"status {response.status}")
        self.status = response.status
        self.era = _era(response)


_CALL_ERRORS = (
    CallFailedError,
    _StatusError,
    msgspec.MsgspecError,
    ValueError,
)


class PlatformStore(RangeStore):
    """Calls the store; every call has a timeout.

    Failures are returned as events, not raised.
    """

    def __init__(self, address: str, settings: ResponseSettings) -> None:
        self._settings = settings
        self._client = PooledHttpClient(address, settings)

    async def list(
        self, command: commands.ListRange
    ) -> events.RangeListed | events.RangeFailed:
        """Reads one page of a range, after the given key."""
        prefix = _PREFIXES[command.range]
        query = {"prefix": prefix}
        if command.after_key:
            query["after"] = command.after_key
        try:
            response = await self._call(
                "GET", names.STORE_RANGE, query, None, command.timeout_ms
            )
            page = _decode_page(response.body)
            items = dict(_decode_item(item) for item in page.items)
        except _CALL_ERRORS as error:
            return events.RangeFailed(
                command.range, False, str(error), _error_era(error)
            )
        return events.RangeListed(
            range=command.range,
            items=items,
            revision=page.store_revision,
            last_key=page.items[-1].key if page.items else "",
            has_more=page.has_more and bool(page.items),
            item_revision=max(
                (item.revision for item in page.items), default=0
            ),
            era=_era(response),
        )

    async def watch(
        self, command: commands.WatchRange
    ) -> events.RangeChanged | events.RangeFailed:
        """Waits for changes of a range after the given revision.

        Status 410 means that the store no longer has the changes since then.
        """
        query = {
            "prefix": _PREFIXES[command.range],
            "after": str(command.revision),
            "wait_ms": str(command.wait_ms),
        }
        try:
            response = await self._call(
                "GET", names.STORE_WATCH, query, None, command.timeout_ms
            )
            value = _decode_watch(response.body)
            changes = tuple(_change(event) for event in value.events)
        except _CALL_ERRORS as error:
            history_lost = (
                isinstance(error, _StatusError)
                and error.status == HTTPStatus.GONE
            )
            return events.RangeFailed(
                command.range, history_lost, str(error), _error_era(error)
            )
        return events.RangeChanged(
            command.range, changes, value.store_revision, _era(response)
        )

    async def read_config(
        self, command: commands.ReadConfig
    ) -> events.ConfigRead | events.ConfigReadFailed:
        """Reads the configuration's key; status 404 means that it is absent."""
        query = {"key": names.CONFIG_KEY}
        try:
            response = await self._call(
                "GET", names.STORE_KEY, query, None, command.timeout_ms
            )
            value = _decode_key(response.body)
            _, item = _decode_item(_ItemValue(names.CONFIG_KEY, value.value))
        except _CALL_ERRORS as error:
            if (
                isinstance(error, _StatusError)
                and error.status == HTTPStatus.NOT_FOUND
            ):
                return events.ConfigRead(command.read_id, None, error.era)
            return events.ConfigReadFailed(command.read_id, str(error))
        return events.ConfigRead(command.read_id, item, _era(response))

    async def write_presence(
        self, command: commands.WritePresence
    ) -> events.PresenceWritten | events.PresenceFailed:
        """Writes this node's record under its lease, or under a new one."""
        try:
            lease_id = command.lease_id
            granted_era = None
            if not lease_id:
                lease_id, granted_era = await self._grant_lease(command)
            value = records.encode_node(command.record)
            put = {
                "key": names.NODE_PREFIX + command.record.node_id,
                "value": base64.b64encode(value).decode(),
                "lease": lease_id,
            }
            body = {"expected_revision": [], "puts": [put], "deletes": []}
            response = await self._call(
                "POST", names.STORE_WRITE, {}, body, command.timeout_ms
            )
        except _CALL_ERRORS as error:
            return _presence_failed(error)
        # A restore between the two calls may have taken the lease away.
        era = _era(response) if granted_era is None else granted_era
        return events.PresenceWritten(lease_id, era)

    async def renew_presence(
        self, command: commands.RenewPresence
    ) -> events.PresenceWritten | events.PresenceFailed:
        """Renews the lease of this node's record."""
        target = f"{names.STORE_RENEW}{command.lease_id}"
        try:
            response = await self._call(
                "POST", target, {}, None, command.timeout_ms
            )
        except _CALL_ERRORS as error:
            return _presence_failed(error)
        return events.PresenceWritten(command.lease_id, _era(response))

    async def remove_presence(self, command: commands.RemovePresence) -> None:
        """Ends the lease of this node's record."""
        target = f"{names.STORE_END_LEASE}{command.lease_id}"
        try:
            await self._call("DELETE", target, {}, None, command.timeout_ms)
        except _CALL_ERRORS:
            # The lease expires by itself, and the peers already know from
            # heartbeats that this node leaves.
            return

    def decode_config(self, source: bytes) -> RouteConfig | None:
        """Decodes a configuration; returns None if it is malformed."""
        try:
            return records.decode_config(source)
        except (ValueError, OverflowError, RecursionError):
            return None

    def set_address(self, address: str) -> None:
        """Sends later calls to another address; calls in flight fail."""
        if address != self._client.address:
            self._client.close()
            self._client = PooledHttpClient(address, self._settings)

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()

    async def _grant_lease(
        self, command: commands.WritePresence
    ) -> tuple[int, int]:
        """Returns a new lease and the era of the store that granted it."""
        response = await self._call(
            "POST",
            names.STORE_LEASE,
            {},
            {"ttl_ms": command.ttl_ms},
            command.timeout_ms,
        )
        return _decode_lease(response.body).lease, _era(response)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: Mapping[str, object] | None,
        timeout_ms: int,
    ) -> HttpResponse:
        target = f"{path}?{urlencode(query)}" if query else path
        content = b"" if body is None else msgspec.json.encode(body)
        response = await self._client.call(
            method, target, content, timeout_ms / _MS_PER_S
        )
        if response.status != HTTPStatus.OK:
            raise _StatusError(response)
        return response


def _era(response: HttpResponse) -> int:
    """Returns the era of the store; 0 if absent or malformed."""
    value = response.header(names.STORE_ERA) or b""
    if not value.isdigit() or len(value) > len(str(_MAX_ERA)):
        return 0
    return min(int(value), _MAX_ERA)


def _error_era(error: Exception) -> int:
    return error.era if isinstance(error, _StatusError) else 0


def _decode_item(item: _ItemValue) -> tuple[str, Item]:
    try:
        content = base64.b64decode(item.value)
    except ValueError as error:
        return records.row_key(item.key), UnreadableItem(str(error))
    return records.decode_item(item.key, content)


def _change(item: _ItemValue) -> Change:
    if item.removed:
        return Change(records.row_key(item.key), None, item.revision)
    return Change(*_decode_item(item), item.revision)


def _presence_failed(error: Exception) -> events.PresenceFailed:
    lease_lost = (
        isinstance(error, _StatusError) and error.status == HTTPStatus.NOT_FOUND
    )
    return events.PresenceFailed(lease_lost, str(error), _error_era(error))
