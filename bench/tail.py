"""Tail latency, coverage and extra load, by scenario, policy and seed.

Real processes at the brief's size of a dealer lookup: 20 services of 2
leaves of 2 slots and 25 connections, 6 ms a connection, 4 entry nodes, zones
1.5 ms apart. Scaled to one machine: a leaf takes 20 ms a call, and the load
is 40 queries a second in all. Prints one JSON line a row.
"""

import argparse
import json
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

from tests.standins import callers, oracle
from tests.standins.callers import Stream, StreamResult
from tests.standins.fleet import Fleet, FleetOptions
from tests.standins.layouts import Group

_LOOKUP = Group("dealer-lookup", "druva-kredits", "search", 20, 2, 2, 25, 6, 0)
_LEDGER = Group(
    "repayment-ledger", "druva-kredits", "search", 20, 2, 2, 25, 6, 1
)
_POLICIES = ("round_robin", "random_hedged", "least_loaded", "adaptive")
_RATE_QPS = 40.0
_RUN_S = 6.0
_DEADLINE_MS = 1_000
_KILL_AT_S = 3.0
_OVERLOAD_QPS = 60.0

Prepare = Callable[[Fleet], None]


def _first_leaves(fleet: Fleet) -> list[int]:
    return [fleet.leaf_ports(name)[0] for name in _LOOKUP.names()]


def _straggle(share: float) -> Prepare:
    return lambda fleet: fleet.set_all_leaves(straggle_share=share)


def _slow_leaf(fleet: Fleet) -> None:
    fleet.set_leaf(_first_leaves(fleet)[0], slow_factor=10.0)


def _failing_leaf(fleet: Fleet) -> None:
    fleet.set_leaf(_first_leaves(fleet)[0], fail_share=1.0)


def _lost_leaves(fleet: Fleet) -> None:
    for port in _first_leaves(fleet):
        fleet.set_leaf(port, down=True)


def _shedding(fleet: Fleet) -> None:
    fleet.set_all_leaves(shed_share=0.1)


def _heal(fleet: Fleet) -> None:
    fleet.set_all_leaves(
        straggle_share=0.0,
        slow_factor=1.0,
        fail_share=0.0,
        shed_share=0.0,
        down=False,
    )


_SCENARIOS: dict[str, Prepare] = {
    "calm": lambda fleet: None,
    "stragglers_1": _straggle(0.01),
    "stragglers_5": _straggle(0.05),
    "slow_leaf": _slow_leaf,
    "failing_leaf": _failing_leaf,
    "shedding": _shedding,
    "lost_leaves": _lost_leaves,
}


def _counters(fleet: Fleet) -> dict[str, int]:
    added = {"primary_calls": 0, "hedge_calls": 0, "retry_calls": 0}
    for name, node in fleet.nodes.items():
        if node.process is None or node.process.poll() is not None:
            continue
        found = fleet.metrics(name)["counters"]
        for key in added:
            added[key] += found[key]
    return added


def _maps() -> dict[str, Any]:
    return {
        group.workload: {1: oracle.even_ranges(group.names(), ["s0"])}
        for group in (_LOOKUP, _LEDGER)
    }


def _row(
    scenario: str,
    policy: str,
    seed: int,
    result: StreamResult,
    extra: float,
    latencies: list[float] | None = None,
) -> dict[str, Any]:
    if latencies is None:
        latencies = [ms for _, ms in result.latencies_ms]
    answered = max(1, result.answered)
    return {
        "scenario": scenario,
        "policy": policy,
        "seed": seed,
        "asked": result.asked,
        "p50_ms": round(callers.percentile(latencies, 0.5), 1),
        "p99_ms": round(callers.percentile(latencies, 0.99), 1),
        "p999_ms": round(callers.percentile(latencies, 0.999), 1),
        "complete_share": round(result.complete / max(1, result.asked), 4),
        "coverage_mean": round(result.coverage_sum / answered, 4),
        "extra_load": round(extra, 4),
        "goodput_qps": round(result.complete / _RUN_S, 1),
        "untrue": len(result.faults),
        "outcomes": result.outcomes,
    }


def _measure(
    fleet: Fleet, scenario: str, policy: str, seed: int, streams: list[Stream]
) -> list[StreamResult]:
    before = _counters(fleet)
    results = fleet.start_load(streams, _maps(), seed).finish()
    after = _counters(fleet)
    primary = max(1, after["primary_calls"] - before["primary_calls"])
    hedges = (after["hedge_calls"] - before["hedge_calls"]) / primary
    retries = (after["retry_calls"] - before["retry_calls"]) / primary
    for result in results:
        name = scenario
        if len(results) > 1:
            name = f"{scenario}:{result.target}"
        print(
            json.dumps(
                _row(name, policy, seed, result, hedges)
                | {"retry_load": round(retries, 4)}
            ),
            flush=True,
        )
    return results


def _options(policy: str, seed: int, **fields: Any) -> FleetOptions:
    return FleetOptions(
        seed=seed,
        leaves_per_process=8,
        top={"policy": policy},
        leaf_fields={"service_ms": 20, "network_ms": 1.5},
        settings={"directory": {"keep_ms": 1_000}},
        **fields,
    )


def _lookup(rate_qps: float = _RATE_QPS, run_s: float = _RUN_S) -> Stream:
    return Stream("dealer-lookup", rate_qps, run_s, deadline_ms=_DEADLINE_MS)


def _run_steady(policy: str, seed: int, only: str) -> None:
    with Fleet(_options(policy, seed, groups=(_LOOKUP,))) as fleet:
        fleet.start()
        fleet.start_load([_lookup(run_s=3.0)]).finish()
        for scenario, prepare in _SCENARIOS.items():
            if only and only != scenario:
                continue
            prepare(fleet)
            _measure(fleet, scenario, policy, seed, [_lookup()])
            _heal(fleet)
            time.sleep(0.5)


def _run_lost_node(policy: str, seed: int) -> None:
    with Fleet(_options(policy, seed, groups=(_LOOKUP,))) as fleet:
        fleet.start()
        run_s = _KILL_AT_S * 2 + 9.0
        load = fleet.start_load([_lookup(run_s=run_s)], _maps(), seed)
        time.sleep(_KILL_AT_S * 2)
        fleet.nodes["e2"].send_signal(signal.SIGKILL)
        [result] = load.finish()
        killed_s = _KILL_AT_S * 2
        parts = {
            "lost_node:before": (1.0, killed_s),
            "lost_node:first_5s": (killed_s, killed_s + 5.0),
            "lost_node:after_5s": (killed_s + 5.0, run_s),
        }
        for name, (start, end) in parts.items():
            found = [ms for at, ms in result.latencies_ms if start <= at < end]
            print(
                json.dumps(_row(name, policy, seed, result, 0.0, found)),
                flush=True,
            )


def _run_overload(policy: str, seed: int) -> None:
    options = _options(policy, seed, groups=(_LOOKUP, _LEDGER), nodes=2)
    with Fleet(options) as fleet:
        fleet.start()
        streams = [
            _lookup(_OVERLOAD_QPS),
            Stream(
                "repayment-ledger",
                _OVERLOAD_QPS,
                _RUN_S,
                deadline_ms=_DEADLINE_MS,
            ),
        ]
        _measure(fleet, "overload", policy, seed, streams)


def _run_cold(policy: str, seed: int) -> None:
    with Fleet(_options(policy, seed, groups=(_LOOKUP,))) as fleet:
        fleet.set_all_leaves(cold_ms=3_000)
        fleet.start()
        fleet.set_all_leaves(cold_ms=3_000)
        _measure(fleet, "cold_start", policy, seed, [_lookup()])


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--policy", choices=_POLICIES)
    parser.add_argument("--scenario", default="")
    args = parser.parse_args()
    policies = (args.policy,) if args.policy else _POLICIES
    for seed in range(1, args.seeds + 1):
        for policy in policies:
            if not args.scenario or args.scenario in _SCENARIOS:
                _run_steady(policy, seed, args.scenario)
            if args.scenario in ("", "lost_node"):
                _run_lost_node(policy, seed)
            if args.scenario in ("", "overload"):
                _run_overload(policy, seed)
            if args.scenario in ("", "cold_start"):
                _run_cold(policy, seed)
    sys.stdout.flush()


if __name__ == "__main__":
    main()
