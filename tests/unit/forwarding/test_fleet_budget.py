"""What all nodes together send beyond the first of a request, over restarts."""

import dataclasses
import os
import random
from typing import Any

from standins.forwarding import merge_route
from standins.simulated_fleet import Faults, SimulatedFleet, started_fleet

SEEDS = (1, 2)
# More seeds by hand: FLEET_SEEDS=50.
RANDOM_SEEDS = range(1, 1 + int(os.environ.get("FLEET_SEEDS", "2")))
RANDOM_STEPS = 12
SHARDS = 4
ZONES = {"e1": "a", "e2": "a", "e3": "b", "e4": "b"}
REQUEST_GAP_MS = 18.0
TIME_LIMIT_MS = 5_000
CONNECTIONS = 20
CALM = Faults(refused_ratio=0.02, lost_ratio=0.02, slow_ratio=0.04)
LOADED = Faults(refused_ratio=0.15, lost_ratio=0.2, slow_ratio=0.3)
WAVE = Faults(refused_ratio=0.4, lost_ratio=0.3, slow_ratio=0.3)


def budget_fleet(
    seed: int, nodes: tuple[str, ...], **changes: Any
) -> SimulatedFleet:
    route = merge_route(SHARDS, **changes)
    return started_fleet(route, ZONES, nodes, CONNECTIONS, seed)


def load(fleet: SimulatedFleet, ms: float) -> None:
    for _ in range(int(ms / REQUEST_GAP_MS)):
        fleet.ask(b"/sweep/x", TIME_LIMIT_MS)
        fleet.advance(REQUEST_GAP_MS)


def burst(fleet: SimulatedFleet) -> None:
    for _ in range(200):
        fleet.ask(b"/sweep/x")
        fleet.advance(2)


def ask_at_once(fleet: SimulatedFleet, count: int) -> None:
    for _ in range(count):
        fleet.ask(b"/sweep/x")


def load_with_restarts(fleet: SimulatedFleet, starts: int) -> None:
    for _ in range(starts):
        load(fleet, 3_500)
        for name in ZONES:
            fleet.restart(name, 500)
    load(fleet, 12_000)


def worst_overrun(fleet: SimulatedFleet) -> float:
    return max(fleet.budget_overrun(f"s{number}") for number in range(SHARDS))


def test_running_nodes_use_the_budget_and_stay_within_it() -> None:
    for seed in SEEDS:
        fleet = budget_fleet(seed, tuple(ZONES))
        fleet.faults = Faults(refused_ratio=0.03, lost_ratio=0.03)
        load(fleet, 12_000)
        assert fleet.answers["whole"] > 0.95 * len(fleet.asked)
        fleet.faults = dataclasses.replace(LOADED)
        load(fleet, 20_000)
        assert worst_overrun(fleet) <= 0


# Each run of a node spent its part of the slack anew.
def test_restarts_of_all_nodes_do_not_renew_the_retry_budget() -> None:
    for seed in SEEDS:
        fleet = budget_fleet(seed, tuple(ZONES))
        fleet.faults = dataclasses.replace(LOADED)
        load_with_restarts(fleet, starts=4)
        assert worst_overrun(fleet) <= 0


# What one run had left unspent in a calm window, and the next run's ratio.
def test_a_restart_in_a_wave_of_failures_keeps_to_the_retry_budget() -> None:
    for seed in SEEDS:
        for gap_ms in (0, 1_000):
            fleet = budget_fleet(seed, tuple(ZONES))
            load(fleet, 11_000)
            fleet.faults = dataclasses.replace(WAVE)
            load(fleet, 2_000)
            for name in ZONES:
                fleet.restart(name, 300)
                load(fleet, gap_ms)
            load(fleet, 12_000)
            assert worst_overrun(fleet) <= 0, (seed, gap_ms)


# A node that had heard of no other one yet spent the budget of the whole fleet.
def test_one_restart_of_all_nodes_keeps_to_the_retry_budget() -> None:
    for seed in SEEDS:
        fleet = budget_fleet(seed, tuple(ZONES))
        fleet.faults = dataclasses.replace(LOADED)
        load(fleet, 9_000)
        for name in ZONES:
            fleet.restart(name, 500)
        fleet.advance(550)
        burst(fleet)
        assert worst_overrun(fleet) <= 0


# A node that had heard of no other one yet opened the connections of all.
def test_restarted_nodes_keep_to_the_connection_limit() -> None:
    for seed in SEEDS:
        fleet = budget_fleet(seed, tuple(ZONES))
        fleet.faults = dataclasses.replace(LOADED, slow_ratio=1.0)
        load(fleet, 1_000)
        for name in ZONES:
            fleet.restart(name, 500)
        fleet.advance(550)
        burst(fleet)
        assert max(fleet.peak_connections.values()) <= CONNECTIONS


# Nodes that start while the store is down know neither each other nor the past.
def test_nodes_that_start_without_the_store_keep_to_the_retry_budget() -> None:
    for seed in SEEDS:
        fleet = budget_fleet(seed, tuple(ZONES))
        fleet.faults = dataclasses.replace(LOADED)
        load(fleet, 9_000)
        fleet.faults.store_is_down = True
        for name in ("e1", "e2", "e3"):
            fleet.restart(name, 500)
        fleet.advance(2_000)
        burst(fleet)
        assert worst_overrun(fleet) <= 0


# A node that heard no other one took the shares of all for its own.
def test_a_node_that_is_cut_off_keeps_to_its_share_of_the_retry_budget() -> (
    None
):
    for seed in SEEDS:
        fleet = budget_fleet(seed, tuple(ZONES))
        fleet.faults = dataclasses.replace(LOADED, cut_off=frozenset({"e4"}))
        load(fleet, 20_000)
        assert worst_overrun(fleet) <= 0


def set_failures(fleet: SimulatedFleet, failing: Faults) -> None:
    """Makes endpoints fail as in `failing`; other faults stay."""
    fleet.faults.refused_ratio = failing.refused_ratio
    fleet.faults.lost_ratio = failing.lost_ratio
    fleet.faults.slow_ratio = failing.slow_ratio


def disturb(fleet: SimulatedFleet, rng: random.Random) -> None:
    """Applies random faults, or ends those of connections and messages."""
    match rng.randrange(10):
        case 0:
            for name in ZONES:
                fleet.restart(name, rng.uniform(100, 900))
        case 1:
            fleet.restart(rng.choice(list(ZONES)), rng.uniform(100, 4_000))
        case 2:
            fleet.faults.cut_off = frozenset({rng.choice(list(ZONES))})
        case 3:
            fleet.faults.store_is_down = rng.random() < 0.5
        case 4:
            fleet.faults.message_loss_ratio = rng.choice([0.0, 0.3])
            fleet.faults.connect_ms = rng.choice([6.0, 60.0, 400.0])
        case 5:
            set_failures(fleet, rng.choice([CALM, LOADED, WAVE]))
        case 6:
            set_failures(fleet, CALM)
            load(fleet, rng.uniform(5_000, 12_000))
            set_failures(fleet, WAVE)
            load(fleet, rng.uniform(500, 4_000))
            for name in ZONES:
                fleet.restart(name, rng.uniform(100, 900))
        case _:
            fleet.faults.cut_off = frozenset()
            fleet.faults.store_is_down = False
            burst(fleet)


def test_random_faults_keep_to_the_limits_of_the_fleet() -> None:
    for seed in RANDOM_SEEDS:
        rng = random.Random(seed)
        fleet = budget_fleet(seed, tuple(ZONES))
        fleet.faults = Faults(
            refused_ratio=rng.uniform(0.0, 0.3),
            lost_ratio=rng.uniform(0.1, 0.3),
            slow_ratio=rng.uniform(0.0, 0.4),
        )
        for _ in range(RANDOM_STEPS):
            disturb(fleet, rng)
            load(fleet, rng.uniform(100, 5_000))
        assert worst_overrun(fleet) <= 0, seed
        assert max(fleet.peak_connections.values()) <= CONNECTIONS, seed


# Nodes that start at once, with no registrations yet, each list few others.
def test_nodes_that_start_for_the_first_time_keep_to_the_connection_limit() -> (
    None
):
    fleet = budget_fleet(1, ())
    fleet.faults = dataclasses.replace(LOADED, slow_ratio=1.0)
    for name in ZONES:
        fleet.start(name)
        fleet.advance(5)
    fleet.advance(30)
    burst(fleet)
    assert max(fleet.peak_connections.values()) <= CONNECTIONS


# Idle connections above a share that has shrunk stayed open.
def test_a_node_that_joins_keeps_to_the_connection_limit() -> None:
    for seed in SEEDS:
        fleet = budget_fleet(seed, ("e1",))
        ask_at_once(fleet, 60)
        fleet.advance(1_000)
        for name in ("e2", "e3", "e4"):
            fleet.start(name)
        fleet.advance(100)
        ask_at_once(fleet, 60)
        fleet.advance(1_000)
        assert max(fleet.peak_connections.values()) <= CONNECTIONS


# Busy connections above a share that has shrunk stay open until their answer.
def test_a_fleet_that_grows_under_load_keeps_to_the_connection_limit() -> None:
    fleet = budget_fleet(1, ("e1",))
    fleet.faults = Faults(slow_ratio=1.0)
    burst(fleet)
    for name in ("e2", "e3", "e4"):
        fleet.start(name)
    burst(fleet)
    assert max(fleet.peak_connections.values()) <= CONNECTIONS
