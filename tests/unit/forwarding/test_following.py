"""Nodes without clients, which are given the endpoints by an active one."""

import pytest
from standins.forwarding import ForwardTicks, entry, pass_route

from snipesaddle._internal.models.forwarding import FleetSettings
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.messages import EndpointsShare
from snipesaddle._internal.tables.forwarding.mirrors import Range

BEAT_MS = 250
FLEET = FleetSettings(heartbeat_ms=BEAT_MS, min_active=1, small=9)
# What a node may take to notice that its helper is gone.
NOTICE_MS = 1_500


def made() -> ForwardTicks:
    return ForwardTicks([pass_route()], [entry("f1", "file")], fleet=FLEET)


def with_helper(is_me: bool, zone: str = "a") -> tuple[ForwardTicks, str]:
    """Returns a node of a fleet of two in which one is active."""
    for number in range(2, 50):
        ticks = made()
        helper = f"e{number}"
        ticks.beat(helper, zone=zone)
        ticks.advance(BEAT_MS)
        if (ticks.world.me.node_id in ticks.world.fleet.active) == is_me:
            return ticks, helper
    raise AssertionError("no such fleet")


def end_watch(ticks: ForwardTicks, revision: int = 10) -> None:
    """Lets the waiting watch of the endpoints return without changes."""
    ticks.taken(commands.WatchRange)
    ticks.tick(events.RangeChanged(Range.ENDPOINTS, (), revision))


def watches(ticks: ForwardTicks) -> list[commands.WatchRange]:
    taken = ticks.taken(commands.WatchRange)
    return [watch for watch in taken if watch.range is Range.ENDPOINTS]


def test_a_node_without_clients_does_not_watch_the_endpoints() -> None:
    ticks, helper = with_helper(is_me=False)
    end_watch(ticks)
    for _ in range(12):
        ticks.beat(helper)
        ticks.advance(BEAT_MS)
    assert not watches(ticks)


def test_it_watches_again_soon_after_its_helper_fell_silent() -> None:
    ticks, helper = with_helper(is_me=False)
    end_watch(ticks)
    ticks.beat(helper)
    ticks.tick(EndpointsShare(25, (entry("f2", "file"),)))
    ticks.advance(NOTICE_MS)
    (watch,) = watches(ticks)
    assert watch.revision == 25


@pytest.mark.parametrize("lost", [True, False])
def test_it_watches_itself_when_its_helper_lost_the_store(lost: bool) -> None:
    ticks, helper = with_helper(is_me=False)
    end_watch(ticks)
    for _ in range(4):
        ticks.beat(helper, store_ok=not lost)
        ticks.advance(BEAT_MS)
    assert bool(watches(ticks)) == lost


def test_an_active_node_watches_the_endpoints() -> None:
    ticks, helper = with_helper(is_me=True)
    end_watch(ticks)
    ticks.beat(helper)
    ticks.advance(BEAT_MS)
    assert watches(ticks)


def test_a_helper_in_another_zone_is_none() -> None:
    ticks = made()
    ticks.beat("e2", zone="b")
    ticks.advance(BEAT_MS)
    end_watch(ticks)
    ticks.beat("e2", zone="b")
    ticks.advance(BEAT_MS)
    assert watches(ticks)


def test_a_follower_is_given_changes_at_once() -> None:
    ticks, follower = with_helper(is_me=True)
    changed = entry("f2", "file")
    ticks.change(Range.ENDPOINTS, "f2", changed, revision=20)
    ticks.taken(commands.SendToNode)
    ticks.advance(1_000)
    ticks.beat(follower, endpoints_revision=10, follows=True)
    messages = [sent.message for sent in ticks.taken(commands.SendToNode)]
    (share,) = [m for m in messages if isinstance(m, EndpointsShare)]
    assert share.revision == 20
    assert changed in share.entries
