"""Endpoints that name in their answers how many requests they take."""

import dataclasses
import os
import random
from collections import Counter

from standins.forwarding import (
    ForwardTicks,
    entry,
    merge_route,
    pass_route,
    relaying_node,
)
from standins.rate_limit import limit_overrun
from standins.simulated_fleet import Faults, SimulatedFleet, started_fleet

from snipesaddle._internal.tables.forwarding import commands, messages
from snipesaddle._internal.tables.forwarding.endpoints import EndpointEntry
from snipesaddle._internal.tables.forwarding.messages import (
    RelayAsk,
    RelayReply,
)

SEEDS = (1, 2, 3)
# More seeds by hand: FLEET_SEEDS=50.
RANDOM_SEEDS = range(1, 1 + int(os.environ.get("FLEET_SEEDS", "2")))
SHARDS = 6
MIN_SHARDS = 5
CONNECTIONS = 40
ZONES = {"e1": "a", "e2": "a", "e3": "b", "e4": "b"}
LIMIT = 8.0
REQUEST_GAP_MS = 22.0
LOAD_MS = 20_000


def limited_fleet(seed: int, zones: dict[str, str] = ZONES) -> SimulatedFleet:
    route = merge_route(SHARDS, min_coverage=MIN_SHARDS / SHARDS)
    return started_fleet(route, zones, zones, CONNECTIONS, seed)


def load(
    fleet: SimulatedFleet, ms: float, mean_gap_ms: float = REQUEST_GAP_MS
) -> None:
    rng = random.Random(7)
    elapsed_ms = 0.0
    while elapsed_ms < ms:
        gap_ms = rng.expovariate(1 / mean_gap_ms)
        fleet.ask(b"/sweep/x")
        fleet.advance(gap_ms)
        elapsed_ms += gap_ms


def limit_endpoints(
    fleet: SimulatedFleet, *endpoint_ids: str, limit: float = LIMIT
) -> int:
    """Has endpoints name a limit from now on; returns the time."""
    load(fleet, 3_000)
    fleet.faults = dataclasses.replace(
        fleet.faults, rate_limits=dict.fromkeys(endpoint_ids, limit)
    )
    return fleet.now_ns


def overrun(
    fleet: SimulatedFleet,
    endpoint_id: str,
    named_ns: int,
    limit: float = LIMIT,
) -> float:
    return limit_overrun(fleet.arrival_times[endpoint_id], named_ns, limit)


# No node read the limit, and the nodes that relay to others never saw it.
def test_an_endpoint_gets_no_more_than_the_limit_that_it_names() -> None:
    for seed in SEEDS:
        fleet = limited_fleet(seed)
        named_ns = limit_endpoints(fleet, "s0a", "s1b")
        load(fleet, LOAD_MS)
        for endpoint_id in ("s0a", "s1b"):
            assert overrun(fleet, endpoint_id, named_ns) <= 0, seed
        assert fleet.answers["whole"] > 0.97 * len(fleet.asked)


def test_restarted_nodes_keep_to_the_limit_that_an_endpoint_names() -> None:
    for seed in SEEDS:
        fleet = limited_fleet(seed)
        named_ns = limit_endpoints(fleet, "s0a", "s1b")
        for name in ZONES:
            load(fleet, 4_000)
            fleet.restart(name, 500)
        load(fleet, 4_000)
        for endpoint_id in ("s0a", "s1b"):
            assert overrun(fleet, endpoint_id, named_ns) <= 0, seed


# Shards that admit different requests leave none of them with enough parts.
def test_shards_that_all_name_a_limit_admit_the_same_requests() -> None:
    for seed in SEEDS:
        fleet = limited_fleet(seed)
        limited = [f"s{number}{zone}" for number in range(3) for zone in "ab"]
        named_ns = limit_endpoints(fleet, *limited)
        load(fleet, 4_000)
        before = Counter(fleet.answers)
        asked = len(fleet.asked)
        load(fleet, LOAD_MS)
        for endpoint_id in limited:
            assert overrun(fleet, endpoint_id, named_ns) <= 0, seed
        served = fleet.answers - before
        # Two copies with this limit each would serve this share at best.
        possible = 2 * LIMIT * REQUEST_GAP_MS / 1_000
        share = (served["whole"] + served["partial"]) / (
            len(fleet.asked) - asked
        )
        assert share > 0.8 * possible, seed
        assert not served["failed"]
        assert not served["timeout"]


def random_faults(rng: random.Random) -> Faults:
    return Faults(
        refused_ratio=rng.choice([0.0, 0.1]),
        lost_ratio=rng.choice([0.0, 0.05]),
        slow_ratio=rng.choice([0.0, 0.05]),
        message_loss_ratio=rng.choice([0.0, 0.2]),
    )


def test_random_fleets_keep_to_the_limits_that_endpoints_name() -> None:
    for seed in RANDOM_SEEDS:
        rng = random.Random(seed)
        size = rng.choice([2, 4, 8, 12])
        zones = {f"e{number}": "ab"[number % 2] for number in range(size)}
        limit = rng.choice([0.5, 2.0, 4.0, 10.0, 20.0])
        mean_gap_ms = rng.choice([5.0, 22.0, 60.0])
        copies = [
            f"s{number}{zone}" for number in range(SHARDS) for zone in "ab"
        ]
        limited = copies[: rng.choice([2, 4, len(copies)])]
        fleet = limited_fleet(seed, zones)
        fleet.faults = random_faults(rng)
        named_ns = limit_endpoints(fleet, *limited, limit=limit)
        for _ in range(5):
            load(fleet, 4_000, mean_gap_ms)
            fleet.advance(rng.choice([0, 0, 2_000, 8_000]))
            if rng.random() < 0.3:
                fleet.restart(rng.choice(list(zones)), 400)
        for endpoint_id in limited:
            assert overrun(fleet, endpoint_id, named_ns, limit) <= 0, seed


def file_entry(endpoint_id: str, **changes: object) -> EndpointEntry:
    return entry(endpoint_id, "file", **changes)


def ask_many(ticks: ForwardTicks, count: int, gap_ms: float) -> Counter[str]:
    """Counts where requests are sent; each is answered at once."""
    sent: Counter[str] = Counter()
    for _ in range(count):
        ticks.ask(b"/file/7")
        for attempt in ticks.taken(commands.SendAttempt):
            sent[attempt.endpoint_id] += 1
            limited = attempt.endpoint_id == "f1"
            ticks.answer(attempt, max_requests_per_s=LIMIT if limited else None)
        ticks.advance(gap_ms)
    return sent


def test_requests_above_the_limit_go_to_another_copy() -> None:
    ticks = ForwardTicks(
        [pass_route()], [file_entry("f1"), file_entry("f2", zone="b")]
    )
    ask_many(ticks, 1, 10)
    sent = ask_many(ticks, 100, 20)
    assert sent["f1"] <= LIMIT * 2 + LIMIT
    assert sum(sent.values()) == 100


def test_requests_above_the_limit_of_all_copies_are_refused_at_once() -> None:
    ticks = ForwardTicks([pass_route()], [file_entry("f1")])
    ask_many(ticks, 1, 10)
    ticks.commands.clear()
    sent = ask_many(ticks, 100, 20)
    assert 0.6 * LIMIT * 2 <= sent["f1"] <= LIMIT * 2 + LIMIT
    errors = ticks.taken(commands.SendError)
    assert len(errors) + sent["f1"] == 100
    for error in errors:
        assert error.error_kind is commands.ErrorKind.NOT_RUN
        assert 0 < error.retry_after_ms <= 1_000


def test_the_end_of_a_limit_of_no_requests_is_noticed() -> None:
    ticks = ForwardTicks([pass_route()], [file_entry("f1")])
    ticks.ask(b"/file/7")
    (attempt,) = ticks.taken(commands.SendAttempt)
    ticks.answer(attempt, max_requests_per_s=0.0)
    ticks.ask(b"/file/7")
    assert not ticks.taken(commands.SendAttempt)
    ticks.advance(4_000)
    ticks.ask(b"/file/7")
    (attempt,) = ticks.taken(commands.SendAttempt)
    ticks.answer(attempt)
    assert not ticks.world.limited_endpoint_ids


def test_a_limit_ends_when_a_later_request_is_answered_without_it() -> None:
    ticks = ForwardTicks([pass_route()], [file_entry("f1")])
    ticks.ask(b"/file/7")
    ticks.ask(b"/file/7")
    first, second = ticks.taken(commands.SendAttempt)
    ticks.answer(first, max_requests_per_s=LIMIT)
    ticks.answer(second)
    assert ticks.world.endpoints["f1"].rate_limit is not None
    ticks.advance(1_000)
    ticks.ask(b"/file/7")
    (third,) = ticks.taken(commands.SendAttempt)
    ticks.answer(third)
    assert ticks.world.endpoints["f1"].rate_limit is None


# The asking node passes on the answer, but another node has got it.
def test_a_relay_reply_tells_of_the_limits_that_endpoints_name() -> None:
    zoned = relaying_node()
    zoned.ask(b"/sweep/x")
    (ask,) = zoned.sent_to_nodes(RelayAsk)
    gathering = ForwardTicks(
        [],
        [entry(f"s{number}b", f"s{number}", zone="b") for number in (1, 2, 3)],
    )
    gathering.tick(ask)
    gathering.open_all()
    for attempt in gathering.taken(commands.SendAttempt):
        limited = attempt.endpoint_id == "s1b"
        gathering.answer(attempt, max_requests_per_s=LIMIT if limited else None)
    (reply,) = gathering.sent_to_nodes(RelayReply)
    assert reply.limits == (messages.EndpointLimit("s1b", 1, LIMIT),)
    zoned.tick(reply)
    limit = zoned.world.endpoints["s1b"].rate_limit
    assert limit is not None
    assert limit.max_requests_per_s == LIMIT
