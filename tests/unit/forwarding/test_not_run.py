"""What a client is told of a request whose parts another node gathers.

A request whose parts were relayed was answered with "not run" while endpoints
ran it or had run it, and its token went back to the quota of its tenant.
"""

import pytest
from standins.forwarding import (
    ForwardTicks,
    entry,
    merge_route,
    record_bytes,
)

from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.commands import ErrorKind
from snipesaddle._internal.tables.forwarding.messages import (
    RelayAsk,
    RelayReply,
)
from snipesaddle._internal.tables.forwarding.store_ranges import Range
from snipesaddle._internal.tables.forwarding.tenants import Tenant, TenantIndex

SHARDS = 4
KEY = b"key-of-alfa"
ALFA = Tenant("alfa", rate_per_s=10.0, burst=5.0)
# Less than the time until an answer within the target latency is due.
SHORT_LIMIT_MS = 60


def relaying_node() -> ForwardTicks:
    """Returns a node that owns a quota, and has all shards gathered."""
    route = merge_route(SHARDS, min_coverage=1.0)
    entries = [
        entry(f"s{number}b", f"s{number}", zone="b") for number in range(SHARDS)
    ]
    ticks = ForwardTicks([route], entries)
    ticks.publish(2, [route], tenants=TenantIndex([(ALFA, [KEY])]))
    ticks.beat("e2", zone="b", config_version=2)
    return ticks


def relayed(ticks: ForwardTicks, limit_ms: int = SHORT_LIMIT_MS) -> RelayAsk:
    ticks.ask(b"/sweep/x", api_keys=(KEY,), time_limit_ms=limit_ms)
    (ask,) = ticks.sent_to_nodes(RelayAsk)
    return ask


def ended(ticks: ForwardTicks) -> commands.SendError:
    (error,) = ticks.taken(commands.SendError)
    return error


@pytest.mark.parametrize("answered", [0, 1, 3])
def test_a_time_limit_that_ends_before_the_reply(answered: int) -> None:
    ticks = relaying_node()
    ask = relayed(ticks)
    if answered:
        signatures = tuple(
            b"s%d" % n if n < answered else b"" for n in range(SHARDS)
        )
        early = RelayReply(ask.relay_id, record_bytes(1), signatures, True)
        ticks.tick(early)
    ticks.advance(SHORT_LIMIT_MS)
    assert ended(ticks).error_kind is ErrorKind.TIMEOUT
    assert not ticks.world.counters.quota_returns


def test_answered_parts_beside_one_without_endpoints() -> None:
    ticks = relaying_node()
    ticks.change(Range.ENDPOINTS, "s3b", None)
    ticks.advance(3_000)
    ticks.beat("e2", zone="b", config_version=2)
    ask = relayed(ticks, 600)
    assert len(ask.services) == SHARDS - 1
    ticks.tick(RelayReply(ask.relay_id, record_bytes(1), (b"x", b"y", b"z")))
    assert ended(ticks).error_kind is ErrorKind.FAILED
    assert not ticks.world.counters.quota_returns


def test_an_error_of_this_node_after_the_relay_was_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError

    ticks = relaying_node()
    monkeypatch.setattr(
        "snipesaddle._internal.systems.forwarding.placement.enqueue_parts",
        fail,
    )
    relayed(ticks)
    assert ended(ticks).error_kind is ErrorKind.FAILED
    assert not ticks.world.counters.quota_returns


def test_a_stop_while_parts_are_relayed() -> None:
    ticks = relaying_node()
    relayed(ticks, 600)
    ticks.tick(events.DrainRequested())
    ticks.world.this_node.exit_deadline_ns = ticks.now_ns
    ticks.advance(600)
    assert ended(ticks).error_kind is ErrorKind.TIMEOUT
    assert not ticks.world.counters.quota_returns


# The relay did not leave this node, so "not run" is true.
def test_a_relay_that_was_not_sent_is_no_run() -> None:
    ticks = relaying_node()
    ask = relayed(ticks)
    for number in range(SHARDS):
        ticks.change(Range.ENDPOINTS, f"s{number}b", None, 20 + number)
    ticks.tick(events.RelayUnsent(ask.relay_id))
    ticks.advance(SHORT_LIMIT_MS)
    assert ended(ticks).error_kind is ErrorKind.NOT_RUN
    assert ticks.world.counters.quota_returns == 1
