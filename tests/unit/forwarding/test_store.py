"""Cached ranges of the store: outages, lost history, expired entries."""

import pytest
from standins.forwarding import (
    ForwardTicks,
    entry,
    pass_route,
)

from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.commands import ErrorKind
from snipesaddle._internal.tables.forwarding.endpoints import Registration
from snipesaddle._internal.tables.forwarding.fleet import NodePhase
from snipesaddle._internal.tables.forwarding.messages import (
    ConfigShare,
    EndpointsShare,
)
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Range,
    UnreadableItem,
)


@pytest.fixture
def ticks() -> ForwardTicks:
    return ForwardTicks([pass_route()], [entry("f1", "file")])


def lose_store(ticks: ForwardTicks) -> None:
    for _ in range(3):
        ticks.fail(Range.ENDPOINTS)


def test_a_draining_endpoint_gets_no_more_work(ticks: ForwardTicks) -> None:
    drained = entry("f1", "file", registration=Registration.DRAINING)
    ticks.change(Range.ENDPOINTS, "f1", drained)
    ticks.ask(b"/file/7")
    assert not ticks.taken(commands.SendAttempt)


def test_a_removed_endpoint_gets_no_more_work(ticks: ForwardTicks) -> None:
    ticks.change(Range.ENDPOINTS, "f1", None)
    ticks.ask(b"/file/7")
    assert not ticks.taken(commands.SendAttempt)


def test_an_endpoint_that_lapsed_in_an_outage_serves_on(
    ticks: ForwardTicks,
) -> None:
    lose_store(ticks)
    ticks.advance(3_000, 100)
    ticks.list_entries([])
    ticks.ask(b"/file/7")
    assert ticks.taken(commands.SendAttempt)
    ticks.advance(2_300, 100)
    ticks.ask(b"/file/7")
    assert not ticks.taken(commands.SendAttempt)


def test_an_endpoint_that_is_back_in_time_is_kept(
    ticks: ForwardTicks,
) -> None:
    lose_store(ticks)
    ticks.list_entries([])
    ticks.advance(1_000, 100)
    ticks.change(Range.ENDPOINTS, "f1", entry("f1", "file"))
    ticks.advance(3_000, 100)
    ticks.ask(b"/file/7")
    assert ticks.taken(commands.SendAttempt)


def test_an_unreadable_entry_names_no_endpoint(ticks: ForwardTicks) -> None:
    ticks.change(Range.ENDPOINTS, "f1", UnreadableItem("state: no such state"))
    ticks.ask(b"/file/7")
    assert not ticks.taken(commands.SendAttempt)


def test_an_unreadable_configuration_is_logged_and_changes_nothing(
    ticks: ForwardTicks,
) -> None:
    ticks.change(Range.CONFIG, "config", UnreadableItem("version: missing"))
    assert ticks.world.active_config.version == 1
    (line,) = [
        line
        for line in ticks.taken(commands.LogDecision)
        if line.event == "item_unreadable"
    ]
    assert line.fields["detail"] == "version: missing"


def test_a_second_life_starts_without_connections(
    ticks: ForwardTicks,
) -> None:
    ticks.ask(b"/file/7")
    ticks.answer(ticks.taken(commands.SendAttempt)[0])
    reborn = entry("f1", "file", born_unix_ms=2)
    ticks.change(Range.ENDPOINTS, "f1", reborn)
    assert ticks.taken(commands.CloseConnection)
    assert not ticks.world.endpoints["f1"].idle_connection_ids


def test_a_lost_history_is_listed_again(ticks: ForwardTicks) -> None:
    ticks.taken(commands.ListRange)
    ticks.fail(Range.ENDPOINTS, history_lost=True)
    ticks.advance(10)
    (listed,) = ticks.taken(commands.ListRange)
    assert listed.range is Range.ENDPOINTS
    assert ticks.world.store.is_ok


def test_a_configuration_never_goes_back(ticks: ForwardTicks) -> None:
    ticks.publish(7, [pass_route(name="new", prefix=b"/new/")])
    ticks.publish(3, [pass_route()])
    assert ticks.world.active_config.version == 7


def test_without_a_configuration_nothing_is_denied() -> None:
    ticks = ForwardTicks([], [])
    ticks.world.active_config.config = type(ticks.world.active_config)().config
    ticks.ask(b"/file/7")
    (refused,) = ticks.taken(commands.SendError)
    assert refused.error_kind == ErrorKind.NOT_RUN


def test_a_peer_without_the_store_is_given_what_it_lacks(
    ticks: ForwardTicks,
) -> None:
    ticks.beat("e2", store_ok=False, config_version=0, endpoints_revision=0)
    shared = [c.message for c in ticks.taken(commands.SendToNode)]
    assert ConfigShare(1, b"config 1") in shared
    (endpoints,) = [m for m in shared if isinstance(m, EndpointsShare)]
    assert [e.endpoint_id for e in endpoints.entries] == ["f1"]


# The peer took it for registered, and skipped its removal as older (review 4).
def test_a_peer_is_sent_no_endpoint_that_the_store_has_removed(
    ticks: ForwardTicks,
) -> None:
    ticks.change(Range.ENDPOINTS, "f2", entry("f2", "file"), 11)
    lose_store(ticks)
    ticks.change(Range.ENDPOINTS, "f1", None, 12)
    assert set(ticks.world.endpoints) == {"f1", "f2"}
    ticks.beat("e2", store_ok=False, endpoints_revision=10)
    (share,) = ticks.sent_to_nodes(EndpointsShare)
    assert share.revision == 12
    assert [e.endpoint_id for e in share.entries] == ["f2"]
    assert share.recovered_ago_ms == 0


# Its endpoints are not lost to the peer while they may be back soon.
def test_a_list_of_a_peer_starts_the_grace_period_of_what_it_lacks(
    ticks: ForwardTicks,
) -> None:
    ticks.tick(EndpointsShare(99, (entry("f9", "file"),), 200))
    assert set(ticks.world.endpoints) == {"f1", "f9"}
    ticks.advance(ticks.world.settings.store.grace_ms, 100)
    assert set(ticks.world.endpoints) == {"f9"}


def test_endpoints_come_from_a_peer_while_the_store_is_lost(
    ticks: ForwardTicks,
) -> None:
    lose_store(ticks)
    ticks.tick(EndpointsShare(99, (entry("f9", "file"),)))
    assert set(ticks.world.endpoints) == {"f9"}


def test_an_older_list_of_a_peer_changes_nothing(ticks: ForwardTicks) -> None:
    ticks.tick(EndpointsShare(9, ()))
    assert set(ticks.world.endpoints) == {"f1"}


def test_a_stuck_watch_is_made_good_by_a_peer(ticks: ForwardTicks) -> None:
    def shares() -> list[EndpointsShare]:
        sent = [c.message for c in ticks.taken(commands.SendToNode)]
        return [m for m in sent if isinstance(m, EndpointsShare)]

    ticks.change(Range.ENDPOINTS, "f2", entry("f2", "file"))
    ticks.beat("e2", endpoints_revision=10)
    assert not shares()
    ticks.advance(2_600, 100)
    ticks.beat("e2", endpoints_revision=10)
    (share,) = shares()
    assert {e.endpoint_id for e in share.entries} == {"f1", "f2"}


def test_a_peer_that_keeps_up_is_sent_no_list(ticks: ForwardTicks) -> None:
    for turn in range(8):
        for zone in "ab":
            late = entry(f"f{turn}{zone}", "file", zone=zone)
            ticks.change(Range.ENDPOINTS, late.endpoint_id, late, 20 + turn)
        ticks.beat("e2", endpoints_revision=19 + turn)
        ticks.advance(500, 100)
    sent = [c.message for c in ticks.taken(commands.SendToNode)]
    assert not [m for m in sent if isinstance(m, EndpointsShare)]


def test_a_node_of_the_same_zone_helps(ticks: ForwardTicks) -> None:
    ticks.beat("e3", zone="b")
    ticks.beat("e2", zone="b", store_ok=False, endpoints_revision=0)
    sent = [c.message for c in ticks.taken(commands.SendToNode)]
    assert not [m for m in sent if isinstance(m, EndpointsShare)]


def test_a_node_without_clients_watches_at_leisure(
    ticks: ForwardTicks,
) -> None:
    def pause_ms() -> float:
        ticks.taken(commands.WatchRange)
        started_ms = ticks.now_ms
        ticks.change(Range.ENDPOINTS, "f2", entry("f2", "file"))
        while not ticks.taken(commands.WatchRange):
            ticks.advance(50, 50)
        return ticks.now_ms - started_ms

    settings = ticks.world.settings.store
    assert pause_ms() <= settings.watch_gap_ms + 50
    ticks.world.fleet.active_node_ids = frozenset({"e2"})
    ticks.world.this_node.phase = NodePhase.LEAVING
    assert pause_ms() >= settings.idle_gap_ms


def test_older_changes_do_not_undo_a_list_of_a_peer(
    ticks: ForwardTicks,
) -> None:
    drained = entry("f1", "file", registration=Registration.DRAINING)
    ticks.tick(EndpointsShare(50, (drained,)))
    ticks.change(Range.ENDPOINTS, "f1", entry("f1", "file"), 40)
    ticks.ask(b"/file/7")
    assert not ticks.taken(commands.SendAttempt)
    ticks.change(Range.ENDPOINTS, "f1", entry("f1", "file"), 60)
    ticks.ask(b"/file/7")
    assert ticks.taken(commands.SendAttempt)


def test_a_list_older_than_that_of_a_peer_undoes_nothing(
    ticks: ForwardTicks,
) -> None:
    drained = entry("f1", "file", registration=Registration.DRAINING)
    ticks.tick(EndpointsShare(50, (drained,)))
    ticks.list_entries([entry("f1", "file")])
    ticks.ask(b"/file/7")
    assert not ticks.taken(commands.SendAttempt)


def test_a_list_claims_no_more_than_its_first_page(
    ticks: ForwardTicks,
) -> None:
    first = {"f1": entry("f1", "file")}
    second = {"f2": entry("f2", "file")}
    ticks.fail(Range.ENDPOINTS, history_lost=True)
    page = events.RangeListed(Range.ENDPOINTS, first, 20, "f1", True, 15)
    ticks.tick(page)
    ticks.tick(events.RangeListed(Range.ENDPOINTS, second, 31, "", False, 30))
    assert ticks.world.endpoints_revision == 20


def test_a_node_that_knows_nothing_asks_often(ticks: ForwardTicks) -> None:
    ticks.world.range_caches[Range.ENDPOINTS].last_reply_ns = 0
    for _ in range(8):
        ticks.fail(Range.ENDPOINTS)
    ticks.taken(commands.ListRange)
    ticks.taken(commands.WatchRange)
    ticks.advance(210, 10)
    assert ticks.taken(commands.ListRange) + ticks.taken(commands.WatchRange)


def test_a_lost_lease_is_taken_again(ticks: ForwardTicks) -> None:
    ticks.tick(events.PresenceWritten(5))
    ticks.taken(commands.WritePresence)
    ticks.tick(events.PresenceFailed(True, "status 404"))
    ticks.advance(600, 100)
    (write,) = ticks.taken(commands.WritePresence)
    assert write.lease_id == 0


def lag_behind(ticks: ForwardTicks, revision: int, beats: int) -> None:
    for _ in range(beats):
        ticks.advance(300, 50)
        ticks.beat("e2", endpoints_revision=revision, confirmed_ago_ms=0)


def endpoint_watches(ticks: ForwardTicks) -> int:
    taken = ticks.taken(commands.WatchRange)
    return sum(watch.range is Range.ENDPOINTS for watch in taken)


def test_a_watch_that_delivers_nothing_is_replaced(
    ticks: ForwardTicks,
) -> None:
    lag_behind(ticks, 10, beats=17)
    assert endpoint_watches(ticks) == 1
    lag_behind(ticks, 11, beats=5)
    assert endpoint_watches(ticks) == 1
    ticks.change(Range.ENDPOINTS, "f1", None, revision=11)
    ticks.ask(b"/file/7")
    assert not ticks.taken(commands.SendAttempt)


def test_a_slow_store_is_given_more_time_each_time(
    ticks: ForwardTicks,
) -> None:
    lag_behind(ticks, 10, beats=17)
    endpoint_watches(ticks)
    lag_behind(ticks, 11, beats=40)
    # Four by the doubled times, and one because nobody confirms the data.
    assert endpoint_watches(ticks) == 5


def test_a_watch_without_changes_elsewhere_waits_on(
    ticks: ForwardTicks,
) -> None:
    lag_behind(ticks, 10, beats=17)
    endpoint_watches(ticks)
    lag_behind(ticks, 10, beats=20)
    assert endpoint_watches(ticks) == 0


def test_an_endpoint_that_left_before_a_restart_is_not_used_again() -> None:
    """A restarted node lists the store; a peer that lags sends its list."""
    ticks = ForwardTicks([pass_route()], [entry("f2", "file")])
    ticks.tick(
        events.RangeListed(
            Range.ENDPOINTS, {"f2": entry("f2", "file")}, 100, "", False, 80
        )
    )
    left = (entry("f1", "file"), entry("f2", "file"))
    ticks.tick(EndpointsShare(90, left))
    assert set(ticks.world.endpoints) == {"f2"}


def test_a_first_list_is_logged_in_one_line() -> None:
    entries = [entry(f"f{number}", "file") for number in range(300)]
    ticks = ForwardTicks([pass_route()], entries)
    logged = [line.event for line in ticks.taken(commands.LogDecision)]
    assert "endpoint_added" not in logged
    assert logged.count("serving") == 1
    ticks.change(Range.ENDPOINTS, "g1", entry("g1", "file"))
    logged = [line.event for line in ticks.taken(commands.LogDecision)]
    assert logged.count("endpoint_added") == 1
