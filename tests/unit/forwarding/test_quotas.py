"""Quotas of tenants at one node: the owner, questions, and their failures."""

from typing import Any

import pytest
from standins.forwarding import (
    NS_PER_MS,
    ForwardTicks,
    entry,
    merge_route,
    pass_route,
)

from snipesaddle._internal.systems.forwarding import (
    quota_buckets,
    quota_owners,
)
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.commands import ErrorKind
from snipesaddle._internal.tables.forwarding.messages import (
    QuotaAsk,
    QuotaReply,
    QuotaReturn,
    RelayAsk,
)
from snipesaddle._internal.tables.forwarding.tenants import Tenant, TenantIndex

KEY = b"key-of-alfa"
ROUTES = [pass_route(), pass_route(name="o", prefix=b"/o/", public=True)]
LIMITED = Tenant("alfa", rate_per_s=10.0, burst=5.0)
# What an owner grants beyond the burst at once, 8 s after its start and with a
# slack of 20.
BEYOND_BURST = 3
SAVED = 5 + BEYOND_BURST
# What a new owner grants at once, of the same slack.
START = 3


def node(tenant: Tenant = LIMITED, peers: int = 0) -> ForwardTicks:
    ticks = ForwardTicks(ROUTES, [entry("f1", "file", slots=1_000)])
    ticks.publish(2, ROUTES, tenants=TenantIndex([(tenant, [KEY])]))
    for number in range(peers):
        ticks.beat(f"e{number + 2}", config_version=2)
    ticks.commands.clear()
    return ticks


def asking_node() -> ForwardTicks:
    """Returns a node that is not the owner of the tenant's quota."""
    for number in range(20):
        tenant = Tenant(f"t{number}", rate_per_s=10.0, burst=5.0)
        ticks = node(tenant, peers=1)
        found = quota_owners.candidates(ticks.world, ticks.now_ns)
        if quota_owners.owner_of(found, tenant.name) == "e2":
            return ticks
    raise AssertionError("no tenant is owned by the peer")


def advance(ticks: ForwardTicks, ms: float, peers: int = 1) -> None:
    """Advances the clock, with heartbeats of the other nodes."""
    end_ms = ticks.now_ms + ms
    while ticks.now_ms < end_ms:
        ticks.advance(min(250, end_ms - ticks.now_ms))
        for number in range(peers):
            ticks.beat(f"e{number + 2}", config_version=2)


def ask(ticks: ForwardTicks, path: bytes = b"/file/1", **changes: Any) -> int:
    return ticks.ask(path, api_keys=(KEY,), **changes)


def refusals(ticks: ForwardTicks) -> list[commands.SendError]:
    return ticks.taken(commands.SendError)


def sent(ticks: ForwardTicks) -> int:
    """Answers all requests at their endpoints; returns their number."""
    count = 0
    while attempts := ticks.taken(commands.SendAttempt):
        count += len(attempts)
        for attempt in attempts:
            ticks.answer(attempt)
        ticks.open_all()
    return count


def question(ticks: ForwardTicks) -> QuotaAsk:
    (asked,) = ticks.sent_to_nodes(QuotaAsk)
    return asked


def test_a_tenant_without_a_limit_costs_no_message_and_no_wait() -> None:
    for tenant in (Tenant("alfa"), Tenant("alfa", rate_per_s=0.0, burst=5.0)):
        ticks = node(tenant, peers=3)
        for _ in range(50):
            ask(ticks)
        assert sent(ticks) == 50
        assert not ticks.sent_to_nodes(QuotaAsk)
        assert not ticks.world.quotas.owned


# The burst is what a bucket has saved, not what a new owner starts with.
def test_an_owner_decides_at_once_and_saves_the_burst() -> None:
    ticks = node()
    for _ in range(30):
        ask(ticks)
    assert sent(ticks) == START
    errors = refusals(ticks)
    assert len(errors) == 30 - START
    for error in errors:
        assert error.error_kind is ErrorKind.OVER_QUOTA
        assert 0 < error.retry_after_ms <= 1_000
    ticks.advance(8_000)
    for _ in range(30):
        ask(ticks)
    assert sent(ticks) == SAVED


def test_the_retry_after_names_the_time_of_the_next_token() -> None:
    ticks = node()
    ticks.advance(8_000)
    for _ in range(SAVED + 1):
        ask(ticks)
    (error,) = refusals(ticks)
    ticks.taken(commands.SendAttempt)
    ticks.advance(error.retry_after_ms - 2)
    ask(ticks)
    assert sent(ticks) == 0
    ticks.advance(3)
    ask(ticks)
    assert sent(ticks) == 1


def test_a_lower_limit_takes_effect() -> None:
    ticks = node(Tenant("alfa", rate_per_s=100.0, burst=100.0))
    ticks.advance(8_000)
    lower = TenantIndex([(Tenant("alfa", rate_per_s=1.0, burst=2.0), [KEY])])
    ticks.publish(3, ROUTES, tenants=lower)
    for _ in range(20):
        ask(ticks)
    assert sent(ticks) == 2 + BEYOND_BURST


def test_what_another_check_refuses_takes_no_token() -> None:
    ticks = asking_node()
    ticks.ask(b"/file/1", api_keys=(b"unknown",))
    ask(ticks, time_limit_ms=0)
    ask(ticks, b"/nowhere/1")
    ask(ticks, b"/o/1")
    assert not ticks.sent_to_nodes(QuotaAsk)


def test_a_request_waits_for_the_reply_of_the_owner() -> None:
    ticks = asking_node()
    ask(ticks)
    assert sent(ticks) == 0
    ticks.tick(QuotaReply(question(ticks).ask_id, True))
    ticks.open_all()
    assert sent(ticks) == 1


# Each request of a tenant that sends far too much cost a question.
def test_no_room_at_the_owner_is_remembered() -> None:
    ticks = asking_node()
    ask(ticks)
    ticks.tick(QuotaReply(question(ticks).ask_id, False, 80.0))
    (error,) = refusals(ticks)
    assert error.error_kind is ErrorKind.OVER_QUOTA
    assert error.retry_after_ms == 80
    ticks.advance(30)
    for _ in range(100):
        ask(ticks)
    assert not ticks.sent_to_nodes(QuotaAsk)
    assert {error.retry_after_ms for error in refusals(ticks)} == {50}
    lines = [c.event for c in ticks.taken(commands.LogDecision)]
    assert lines.count("tenant_over_quota") <= 2
    assert "request_refused" not in lines
    ticks.advance(51)
    ask(ticks)
    assert question(ticks)


def test_a_reply_for_a_client_that_left_returns_the_token() -> None:
    ticks = asking_node()
    client_id = ask(ticks)
    asked = question(ticks)
    ticks.tick(events.ClientDisconnected(client_id))
    assert not ticks.world.requests
    ticks.tick(QuotaReply(asked.ask_id, True))
    assert len(ticks.sent_to_nodes(QuotaReturn)) == 1
    assert sent(ticks) == 0


def test_a_reply_after_the_deadline_returns_the_token() -> None:
    ticks = asking_node()
    ask(ticks, time_limit_ms=30)
    asked = question(ticks)
    ticks.now_ms += 50
    ticks.tick(QuotaReply(asked.ask_id, True))
    (error,) = refusals(ticks)
    assert error.error_kind is ErrorKind.NOT_RUN
    assert len(ticks.sent_to_nodes(QuotaReturn)) == 1


# A node without a reply ran a tick every nanosecond from the deadline on.
def test_a_request_that_waits_for_a_reply_ends_at_its_deadline() -> None:
    ticks = asking_node()
    ask(ticks, time_limit_ms=50)
    ticks.advance(45, step_ms=1)
    (error,) = refusals(ticks)
    assert error.error_kind is ErrorKind.NOT_RUN
    due_ns = ticks.world.timers.next_due_ns()
    assert due_ns is not None
    assert due_ns > ticks.now_ns


def test_a_counted_request_that_has_not_run_returns_its_token() -> None:
    ticks = asking_node()
    ask(ticks, method=b"POST")
    ticks.tick(QuotaReply(question(ticks).ask_id, True))
    ticks.list_entries([])
    ticks.advance(700)
    (error,) = refusals(ticks)
    assert error.error_kind is ErrorKind.NOT_RUN
    assert len(ticks.sent_to_nodes(QuotaReturn)) == 1


def test_an_owner_takes_returned_tokens_up_to_the_burst() -> None:
    ticks = node()
    ticks.advance(8_000)
    for _ in range(SAVED):
        ask(ticks)
    assert sent(ticks) == SAVED
    for _ in range(SAVED + 4):
        ticks.tick(QuotaReturn("alfa"))
    for _ in range(SAVED + 4):
        ask(ticks)
    assert sent(ticks) == SAVED - BEYOND_BURST


def test_an_owner_answers_questions_in_their_tick() -> None:
    ticks = node()
    for number in range(7):
        ticks.tick(QuotaAsk(number, "e2:2", "alfa"))
    replies = ticks.sent_to_nodes(QuotaReply)
    assert [reply.granted for reply in replies] == [True] * START + [False] * (
        7 - START
    )
    assert all(0 < reply.wait_ms <= 1_000 for reply in replies[START:])


# Two nodes that both decided would grant the limit twice.
def test_a_node_that_does_not_own_a_quota_names_the_owner() -> None:
    ticks = asking_node()
    (tenant,) = ticks.world.active_config.config.tenants.limited()  # type: ignore[union-attr]
    ticks.tick(QuotaAsk(1, "e3:2", tenant.name))
    (reply,) = ticks.sent_to_nodes(QuotaReply)
    assert not reply.granted
    assert not reply.is_owner
    assert reply.owner_address == "e2:2"


def test_the_node_that_is_named_as_the_owner_is_asked_once() -> None:
    ticks = asking_node()
    ask(ticks)
    refused = {"granted": False, "is_owner": False, "owner_address": "e9:2"}
    first = question(ticks)
    ticks.tick(QuotaReply(ask_id=first.ask_id, **refused))
    ticks.tick(QuotaReply(ask_id=question(ticks).ask_id, **refused))
    assert not ticks.sent_to_nodes(QuotaAsk)
    assert len(refusals(ticks)) == 1


# A request waited for an owner that is gone, and so did each one after it.
def test_a_silent_owner_holds_up_few_requests() -> None:
    ticks = asking_node()
    ask(ticks)
    ticks.taken(commands.SendToNode)
    ticks.advance(101, step_ms=1)
    assert len(refusals(ticks)) == 1
    for _ in range(20):
        ask(ticks)
    errors = refusals(ticks)
    assert len(errors) + sent(ticks) == 20
    assert not ticks.sent_to_nodes(QuotaAsk)
    ticks.advance(301)
    for _ in range(20):
        ask(ticks)
    asked = question(ticks)
    ticks.tick(QuotaReply(asked.ask_id, True))
    ask(ticks)
    assert question(ticks)


# An owner whose event loop was busy for 50 ms cost all requests of its tenants.
def test_a_late_reply_is_better_than_a_refusal() -> None:
    ticks = asking_node()
    ask(ticks)
    asked = question(ticks)
    ticks.advance(60, step_ms=1)
    assert not refusals(ticks)
    ticks.tick(QuotaReply(asked.ask_id, True))
    ticks.open_all()
    assert sent(ticks) == 1


def test_a_nodes_own_share_decides_when_a_reply_is_overdue() -> None:
    ticks = asking_node()
    advance(ticks, 20_000)
    ticks.commands.clear()
    ask(ticks)
    asked = question(ticks)
    ticks.advance(14, step_ms=1)
    ticks.open_all()
    assert sent(ticks) == 0
    ticks.advance(2, step_ms=1)
    ticks.open_all()
    assert sent(ticks) == 1
    ticks.tick(QuotaReply(asked.ask_id, True))
    assert len(ticks.sent_to_nodes(QuotaReturn)) == 1
    ticks.advance(100)
    assert sent(ticks) == 0


# Each of many nodes saved a token, and all could be used at the same time.
def test_own_shares_save_few_tokens_together() -> None:
    nodes = 128
    ticks = node()
    ticks.world.fleet.recent_max_size = nodes
    ticks.world.fleet.active_share = 0.0
    # The shares of many tenants stand for those of many nodes.
    tenants = [Tenant(f"t{n}", rate_per_s=100.0) for n in range(nodes)]
    for tenant in tenants:
        quota_buckets.own_share(ticks.world, tenant, ticks.now_ns)
    later_ns = ticks.now_ns + 1_000 * 1_000 * NS_PER_MS
    granted = sum(
        quota_buckets.take_share_or_wait_ns(ticks.world, tenant, later_ns) == 0
        for tenant in tenants
    )
    assert granted <= 6
    wanted_ns = later_ns
    for _ in range(1_000):
        wanted_ns += 200 * NS_PER_MS
        granted += sum(
            quota_buckets.take_share_or_wait_ns(ticks.world, tenant, wanted_ns)
            == 0
            for tenant in tenants
        )
    # A quarter of what is reserved, as none of these nodes is active.
    reserved_per_s = (100.0 * 0.1 * 0.7 + 0.25 * 20 / 5) / 4
    assert 0.9 < granted / (200 * reserved_per_s) < 1.1


# An owner that had not run for a while granted what it had saved meanwhile.
def test_an_owner_that_has_not_run_starts_with_few_tokens() -> None:
    ticks = node(Tenant("alfa", rate_per_s=50.0, burst=100.0))
    ticks.advance(5_000)
    ticks.now_ms += 3_000
    for _ in range(100):
        ask(ticks)
    assert 0 < sent(ticks) <= 8


# A connection is opened by the first message to a node, which is lost.
def test_a_question_that_could_not_be_sent_is_sent_again_once() -> None:
    ticks = asking_node()
    ask(ticks)
    unsent = events.MessageUnsent("e2:2", question(ticks))
    ticks.tick(unsent)
    ticks.advance(5, step_ms=1)
    assert question(ticks) == unsent.message
    ticks.tick(unsent)
    ticks.advance(5, step_ms=1)
    assert not ticks.sent_to_nodes(QuotaAsk)


# A node of another zone counted the parts that were relayed to it again.
def test_a_relayed_part_is_not_counted_again() -> None:
    routes = [merge_route(2)]
    ticks = ForwardTicks(routes, [entry("s0a", "s0"), entry("s1a", "s1")])
    ticks.publish(2, routes, tenants=TenantIndex([(LIMITED, [KEY])]))
    for number in range(20):
        ticks.tick(
            RelayAsk(
                number, "e2:2", b"r", b"GET", b"h", b"/sweep/1", (), b"",
                "sweep", ("s0", "s1"), 100, 500, 120, 2, 1, 3, 4,
                tenant="alfa",
            )
        )  # fmt: skip
        ticks.open_all()
    assert (
        len({a.request.request_id for a in ticks.taken(commands.SendAttempt)})
        > 5
    )
    assert not refusals(ticks)
    assert ticks.world.counters.quota_grants == 0


@pytest.mark.parametrize("heard", [1, 2, 3])
def test_an_owner_that_hears_few_nodes_grants_less(heard: int) -> None:
    ticks = node(peers=3)
    advance(ticks, 1_000, peers=3)
    advance(ticks, 1_300, peers=heard)
    ratio = quota_owners.candidates(ticks.world, ticks.now_ns).rate_ratio
    assert ratio == {1: 0.5, 2: 0.875, 3: 1.0}[heard]
