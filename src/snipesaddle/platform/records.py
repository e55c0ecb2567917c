"""Converts between values in the platform's store and the product's types."""

import re
from typing import Annotated, Literal

import msgspec

from snipesaddle._internal.tables.forwarding.endpoints import (
    EndpointEntry,
    Registration,
)
from snipesaddle._internal.tables.forwarding.evacuations import (
    ZoneEvacuation,
)
from snipesaddle._internal.tables.forwarding.fleet import NodeRecord
from snipesaddle._internal.tables.forwarding.routes import (
    ClientLimits,
    Route,
    RouteConfig,
    ServiceLimits,
    WeightedService,
)
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Item,
    UnreadableItem,
)
from snipesaddle._internal.tables.forwarding.tenants import (
    Tenant,
    TenantIndex,
)
from snipesaddle.platform import names

_MAX_INT = 2**53
_MAX_NAME_CHARS = 200
_DAY_MS = 86_400_000
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
_WarmupMs = Annotated[float, msgspec.Meta(ge=0, le=_DAY_MS)]
_OCTET = r"(25[0-5]|2[0-4]\d|1?\d?\d)"
_PORT = (
    r"([1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d{2}|655[0-2]\d|6553[0-5])"
)
_ADDRESS_PATTERN = rf"^{_OCTET}(\.{_OCTET}){{3}}:{_PORT}\Z"
_Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS_PATTERN)]
# Without control characters.
_TEXT_PATTERN = r"^[^\x00-\x1f\x7f]*\Z"
_Text = Annotated[
    str, msgspec.Meta(max_length=_MAX_NAME_CHARS, pattern=_TEXT_PATTERN)
]
_Name = Annotated[
    str,
    msgspec.Meta(
        min_length=1, max_length=_MAX_NAME_CHARS, pattern=_TEXT_PATTERN
    ),
]
# Ids are sent to endpoints in a header.
_ENDPOINT_ID_PATTERN = rf"[!-~]{{1,{_MAX_NAME_CHARS}}}"


class _EndpointValue(msgspec.Struct):
    """The registration of an endpoint.

    Attributes:
      version: the version of the endpoint's software.
      concurrency: how many requests it runs at once.
      warmup_left_ms: how much longer it is slow after its start.
      born: when it started, in Unix milliseconds; 0 if not given.
    """

    service: _Name
    address: _Address
    zone: _Text
    version: str
    concurrency: _Slots
    state: Literal["ready", "draining"]
    warmup_left_ms: _WarmupMs
    sequence: _Count
    born: _Count = 0


class _SplitValue(msgspec.Struct):
    service: str
    weight: float


class _RouteValue(msgspec.Struct):
    name: str
    host: str
    prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 0
    attempts: int = 1
    priority: int = 0
    service: str | None = None
    traffic_split: list[_SplitValue] | None = None
    gather: list[str] | None = None
    top_k: int = 0
    min_coverage: float = 1.0
    public: bool = False


class _TenantValue(msgspec.Struct):
    name: str
    api_keys: list[str]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class _ServiceValue(msgspec.Struct):
    name: str
    max_connections: int = 16


class _LimitsValue(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: float = 5_000
    idle_timeout_ms: float = 60_000


class _ConfigValue(msgspec.Struct):
    version: int
    routes: list[_RouteValue]
    services: list[_ServiceValue]
    limits: _LimitsValue = msgspec.field(default_factory=_LimitsValue)
    tenants: list[_TenantValue] | None = None


_decode_endpoint = msgspec.json.Decoder(_EndpointValue).decode
_decode_config = msgspec.json.Decoder(_ConfigValue).decode
_decode_node = msgspec.json.Decoder(NodeRecord).decode


def decode_item(key: str, value: bytes) -> tuple[str, Item]:
    """Decodes an item of the store.

    Returns:
      The key of its row and its content; UnreadableItem if it is malformed.
    """
    try:
        if key == names.CONFIG_KEY:
            return key, decode_config(value)
        if key.startswith(names.EVACUATION_PREFIX):
            return row_key(key), ZoneEvacuation(row_key(key))
        if key.startswith(names.ENDPOINT_PREFIX):
            endpoint_id = key.removeprefix(names.ENDPOINT_PREFIX)
            return endpoint_id, _to_endpoint_entry(endpoint_id, value)
        if key.startswith(names.NODE_PREFIX):
            return row_key(key), _to_node_record(value)
        return key, UnreadableItem("unknown key")
    except (ValueError, OverflowError, RecursionError) as error:
        return row_key(key), UnreadableItem(str(error))


def row_key(key: str) -> str:
    """Returns the key of an item's row: the store key without its prefix."""
    for prefix in (
        names.ENDPOINT_PREFIX,
        names.NODE_PREFIX,
        names.EVACUATION_PREFIX,
    ):
        if key.startswith(prefix):
            return key.removeprefix(prefix)
    return key


def encode_node(record: NodeRecord) -> bytes:
    """Encodes a node's record for the store."""
    return msgspec.json.encode(record)


def decode_config(source: bytes) -> RouteConfig:
    """Decodes a configuration.

    Raises:
      msgspec.MsgspecError: it is malformed.
    """
    value = _decode_config(source)
    limits = value.limits
    return RouteConfig(
        version=value.version,
        routes=tuple(_to_route(route) for route in value.routes),
        services={
            service.name: ServiceLimits(service.name, service.max_connections)
            for service in value.services
        },
        limits=ClientLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_ms=int(limits.header_timeout_ms),
            idle_timeout_ms=int(limits.idle_timeout_ms),
        ),
        source=source,
        tenants=_to_tenants(value.tenants),
    )


def _to_node_record(value: bytes) -> NodeRecord:
    record = _decode_node(value)
    for address in (record.front_address, record.peer_address):
        if not re.fullmatch(_ADDRESS_PATTERN, address):
            raise ValueError(f"{address!r} is not an address")
    # Other nodes get it in messages, which take no larger numbers.
    msgspec.msgpack.encode(record)
    return record


def _to_endpoint_entry(endpoint_id: str, value: bytes) -> EndpointEntry:
    if not re.fullmatch(_ENDPOINT_ID_PATTERN, endpoint_id):
        raise ValueError(f"{endpoint_id!r} is not an endpoint id")
    entry = _decode_endpoint(value)
    return EndpointEntry(
        endpoint_id=endpoint_id,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.concurrency,
        registration=Registration(entry.state),
        warmup_left_ms=int(entry.warmup_left_ms),
        born_unix_ms=entry.born,
    )


def _to_route(value: _RouteValue) -> Route:
    targets: tuple[WeightedService, ...] = ()
    if value.traffic_split:
        targets = tuple(
            WeightedService(part.service, part.weight)
            for part in value.traffic_split
        )
    elif value.service is not None:
        targets = (WeightedService(value.service, 1.0),)
    return Route(
        name=value.name,
        host=value.host.lower().encode(),
        prefix=value.prefix.encode(),
        idempotent=value.route_type == "idempotent",
        timeout_ms=int(value.timeout_ms),
        target_latency_ms=int(value.target_latency_ms or value.timeout_ms),
        max_attempts=max(1, value.attempts),
        priority=value.priority,
        targets=targets,
        shards=tuple(value.gather or ()),
        top_k=value.top_k,
        min_coverage=value.min_coverage,
        public=value.public,
    )


def _to_tenants(values: list[_TenantValue] | None) -> TenantIndex | None:
    if values is None:
        return None
    return TenantIndex(
        (
            Tenant(value.name, value.priority, value.rate_per_s, value.burst),
            [key.encode() for key in value.api_keys],
        )
        for value in values
    )
