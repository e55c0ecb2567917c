"""Generated input at the borders: it is read, or refused with one reason."""

import re

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from snipesaddle._internal.adapters.http1.response_reader import (
    HttpResponse,
    ResponseReader,
)
from snipesaddle._internal.models.forwarding import ResponseSettings
from snipesaddle._internal.tables.forwarding.endpoints import EndpointEntry
from snipesaddle._internal.tables.forwarding.fleet import NodeRecord
from snipesaddle._internal.tables.forwarding.messages import FleetMessage
from snipesaddle._internal.tables.forwarding.routes import RouteConfig
from snipesaddle._internal.tables.forwarding.store_ranges import (
    UnreadableItem,
)
from snipesaddle.platform import names, records

LIMITS = ResponseSettings(
    max_head_bytes=400, max_body_bytes=300, max_buffered_bytes=1_000
)
OK = b"HTTP/1.1 200 OK\r\n"
RESPONSES = st.sampled_from(
    [
        OK + b"Content-Length: 3\r\n\r\nabc",
        OK + b"Content-Length: 0\r\nRequest-Id: r1\r\n\r\n",
        OK + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        OK
        + b"Transfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n0\r\nT: z\r\n\r\n",
        OK + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        OK + b"Content-Length: 99999\r\n\r\n",
        OK + b"\r\nno length",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n\r\n",
        b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 1\r\n\r\nx",
        OK + b"X: " + b"y" * 500,
    ]
)
PIECES = st.lists(st.one_of(RESPONSES, st.binary(max_size=40)), max_size=6)


def read(pieces: list[bytes]) -> tuple[list[HttpResponse], str]:
    reader = ResponseReader(LIMITS)
    reader.start_request(False)
    responses = []
    for piece in pieces:
        reader.feed(piece)
        responses += [received.response for received in reader.take()]
        if reader.failure:
            break
    return responses, reader.failure


@given(PIECES, st.integers(0, 30))
def test_any_bytes_are_responses_or_a_failure(
    pieces: list[bytes], cut: int
) -> None:
    content = b"".join(pieces)
    whole, _ = read([content[: len(content) - cut]])
    for response in whole:
        assert len(response.body) <= LIMITS.max_body_bytes
        assert 200 <= response.status <= 999


@given(PIECES, st.integers(1, 50))
def test_responses_do_not_depend_on_how_their_bytes_arrive(
    pieces: list[bytes], size: int
) -> None:
    content = b"".join(pieces)
    whole, failure = read([content])
    split = [content[at : at + size] for at in range(0, len(content), size)]
    in_parts, failure_in_parts = read(split)
    shared = min(len(whole), len(in_parts))
    assert whole[:shared] == in_parts[:shared]
    if not failure and not failure_in_parts:
        assert whole == in_parts


# A small alphabet: building the table of all characters takes seconds.
TEXT = st.text("ab/:.0 é\x00", max_size=12)
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | TEXT
    | st.sampled_from(["ready", "draining", "10.0.0.1:80", "10.0.0.1:99999"]),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3)
    ),
    max_leaves=6,
)
ENDPOINT = {
    "service": "s",
    "address": "10.0.0.1:8000",
    "zone": "a",
    "version": "1",
    "concurrency": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 1,
    "born": 5,
}
ROUTE = {
    "name": "r",
    "host": "h",
    "prefix": "/a/",
    "route_type": "idempotent",
    "timeout_ms": 100,
    "target_latency_ms": 50,
    "attempts": 2,
    "priority": 1,
    "service": "s",
}
ADDRESS = re.compile(r"\d+\.\d+\.\d+\.\d+:\d+")


def encode(value: object) -> bytes:
    return msgspec.json.encode(value)


@given(st.dictionaries(st.sampled_from(sorted(ENDPOINT)), JSON, max_size=3))
def test_a_registration_names_an_endpoint_or_nothing(
    changes: dict[str, object],
) -> None:
    key = names.ENDPOINT_PREFIX + "i-1"
    _, item = records.decode_item(key, encode(ENDPOINT | changes))
    if isinstance(item, UnreadableItem):
        assert item.detail
        return
    assert isinstance(item, EndpointEntry)
    assert ADDRESS.fullmatch(item.address)
    assert 0 < int(item.address.rpartition(":")[2]) < 65_536
    assert item.slots >= 1


@given(
    st.dictionaries(st.sampled_from(sorted(ROUTE)), JSON, max_size=3),
    st.dictionaries(
        st.sampled_from(["version", "routes", "services", "limits"]),
        JSON,
        max_size=2,
    ),
)
def test_a_configuration_is_read_or_refused(
    route_changes: dict[str, object], changes: dict[str, object]
) -> None:
    config = {
        "version": 1,
        "routes": [ROUTE | route_changes],
        "services": [{"name": "s", "max_connections": 5}],
    }
    content = encode(config | changes)
    _, item = records.decode_item(names.CONFIG_KEY, content)
    assert isinstance(item, RouteConfig | UnreadableItem)


@given(st.binary(max_size=60), st.sampled_from([names.ENDPOINT_PREFIX, "x/"]))
def test_any_bytes_in_the_store_are_read_or_refused(
    content: bytes, prefix: str
) -> None:
    _, item = records.decode_item(prefix + "k", content)
    assert isinstance(item, EndpointEntry | NodeRecord | UnreadableItem)


@given(st.binary(max_size=80), st.lists(JSON, max_size=8))
def test_any_message_of_a_peer_is_read_or_refused(
    content: bytes, fields: list[object]
) -> None:
    for message_type in FleetMessage.__args__:
        for encoded in (content, msgspec.msgpack.encode(_small(fields))):
            try:
                message = msgspec.msgpack.decode(encoded, type=message_type)
            except (ValueError, RecursionError):
                continue
            assert isinstance(message, message_type)


def _small(fields: list[object]) -> list[object]:
    # MessagePack has no integers beyond 64 bits.
    return [
        field
        for field in fields
        if isinstance(field, str | float | bool | None)
    ]
