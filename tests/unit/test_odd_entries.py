"""Entries of another writer among those of the endpoints."""

import json
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from snipesaddle._internal.tables.forwarding.endpoints import EndpointEntry
from snipesaddle._internal.tables.forwarding.messages import EndpointsShare
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Item,
    UnreadableItem,
)
from snipesaddle.platform import names, records

SOUND: dict[str, Any] = {
    "service": "s0",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "concurrency": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 1,
    "born": 1,
}
ODD_FIELDS: list[dict[str, Any]] = [
    {"concurrency": int("9" * 40)},
    {"concurrency": int("9" * 400)},
    {"warmup_left_ms": 1e308},
    {"warmup_left_ms": -1e300},
    {"warmup_left_ms": -1},
    {"born": int("9" * 40)},
    {"born": -1},
    {"sequence": int("9" * 40)},
    {"zone": "z" * 1_000_000},
    {"service": "s" * 1_000_000},
    {"service": "\x00"},
    {"zone": "a\r\nb"},
    {"address": "10.0.0.1:65536"},
    {"address": "10.0.0.1:0"},
]
ODD_IDS = ["", "i 1", "i\r\nX-Other: 1", "i\x00", "ï", "i" * 201]


def decode(endpoint_id: str, value: object) -> Item:
    key = names.ENDPOINT_PREFIX + endpoint_id
    _, item = records.decode_item(key, json.dumps(value).encode())
    return item


def test_a_sound_entry_is_read() -> None:
    assert isinstance(decode("i-1", SOUND), EndpointEntry)


# Numbers of more than 64 bits could not be sent to other nodes, which then got
# no change of the same batch.
@pytest.mark.parametrize("changes", ODD_FIELDS, ids=lambda c: next(iter(c)))
def test_an_entry_with_a_value_out_of_range_is_set_aside(
    changes: dict[str, Any],
) -> None:
    assert isinstance(decode("i-1", SOUND | changes), UnreadableItem)


# The id is sent to the endpoint in a header.
@pytest.mark.parametrize("endpoint_id", ODD_IDS)
def test_an_entry_whose_id_fits_no_header_is_set_aside(
    endpoint_id: str,
) -> None:
    assert isinstance(decode(endpoint_id, SOUND), UnreadableItem)


def test_a_deeply_nested_entry_is_set_aside() -> None:
    key = names.ENDPOINT_PREFIX + "i-1"
    _, item = records.decode_item(key, b'{"zone":' + b"[" * 100_000)
    assert isinstance(item, UnreadableItem)


VALUES = st.one_of(
    st.integers(),
    st.integers(min_value=10**18, max_value=10**40),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(),
    st.none(),
    st.lists(st.integers(), max_size=3),
)


@given(st.sampled_from(sorted(SOUND)), VALUES, st.text(max_size=9))
def test_any_entry_that_is_read_can_be_sent_to_other_nodes(
    field: str, value: object, zone: str
) -> None:
    item = decode("i-1", SOUND | {"zone": zone, field: value})
    if isinstance(item, EndpointEntry):
        share = EndpointsShare(1, (item,))
        encoded = msgspec.msgpack.encode(share)
        assert msgspec.msgpack.decode(encoded, type=EndpointsShare) == share


def test_a_node_record_with_a_number_out_of_range_is_set_aside() -> None:
    record = [
        "e1",
        "0001",
        "10.0.0.1:1",
        "10.0.0.1:2",
        "a",
        "serving",
        1,
        True,
        int("9" * 40),
    ]
    key = names.NODE_PREFIX + "e1"
    _, item = records.decode_item(key, json.dumps(record).encode())
    assert isinstance(item, UnreadableItem)
