"""The main job on real processes, with both customers' samples.

For each customer in turn: four entry nodes, the leaves of the brief's sizes,
callers that check every answer against the data, a publish under load, a new
snapshot under load, and the rolling restart of one entry node. Ends with one
JSON line; the exit status is 1 if any answer was untrue.
"""

import json
import sys
import time
from dataclasses import dataclass, field

from tests.standins import callers, layouts, oracle
from tests.standins.callers import Stream, StreamResult
from tests.standins.fleet import Fleet, FleetOptions
from tests.standins.layouts import Group

_LOAD_S = 9.0
_LOOKUP_QPS = 8.0
_LEDGER_QPS = 2.0
_EXECUTE_QPS = 8.0


@dataclass
class Totals:
    entry_nodes: int = 0
    leaves: int = 0
    queries: int = 0
    complete: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    executed: int = 0
    duplicate_executions: int = 0
    publish_in_force_ms: int = 0
    faults: list[str] = field(default_factory=list)
    outcomes: dict[str, int] = field(default_factory=dict)


def say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def run_customer(
    name: str, groups: tuple[Group, ...], zones: tuple[str, ...], seed: int
) -> Totals:
    totals = Totals()
    options = FleetOptions(
        groups=groups,
        zones=zones,
        seed=seed,
        settings={"directory": {"keep_ms": 1_500}},
        leaf_fields={"service_ms": 2.0, "straggle_share": 0.01},
    )
    with Fleet(options) as fleet:
        published = fleet.start()
        say(f"{name}: in force after {published['in_force_ms']} ms")
        totals.entry_nodes = len(fleet.nodes)
        totals.leaves = len(fleet.placed)
        results = drive(fleet, groups, seed, totals)
        judge(fleet, results, totals)
    say(f"{name}: {totals.outcomes}")
    return totals


def drive(
    fleet: Fleet, groups: tuple[Group, ...], seed: int, totals: Totals
) -> list[StreamResult]:
    lookup, ledger = groups[0], groups[1]
    execute = groups[-1]
    zone = fleet.options.zones[0]
    streams = [
        Stream(lookup.workload, _LOOKUP_QPS, _LOAD_S, zone=zone),
        Stream(ledger.workload, _LEDGER_QPS, _LOAD_S),
        Stream(
            execute.workload,
            _EXECUTE_QPS,
            _LOAD_S,
            execute=True,
            retry_elsewhere_share=0.5,
        ),
    ]
    maps = {}
    for group in (lookup, ledger):
        names = group.names()
        maps[group.workload] = {
            1: oracle.even_ranges(names, ["s0"]),
            2: oracle.even_ranges(names, ["a", "b"]),
        }
    load = fleet.start_load(streams, maps, seed)
    time.sleep(1.5)
    change_one_service(fleet, lookup, totals)
    for name in lookup.names():
        fleet.set_snapshots(name, {1: ["s0"], 2: ["a", "b"]})
    for name in lookup.names():
        fleet.set_snapshots(name, {2: ["a", "b"]})
    restart_one_node(fleet)
    return load.finish()


def change_one_service(fleet: Fleet, group: Group, totals: Totals) -> None:
    name = group.names()[0]
    file = fleet.service_files()[name]
    file["hedge"] = {"quantile": 0.97}
    address = fleet.nodes["e2"].address
    published = fleet.publish({name: file}, "--wait", f"--node={address}")
    totals.publish_in_force_ms = published["in_force_ms"]


def restart_one_node(fleet: Fleet) -> None:
    node = fleet.nodes["e4"]
    fleet.cli("drain", f"--node={node.address}")
    assert node.process is not None
    node.process.wait(20)
    fleet.start_node("e4")


def judge(fleet: Fleet, results: list[StreamResult], totals: Totals) -> None:
    journal = fleet.journal()
    totals.duplicate_executions = len(journal) - len(set(journal))
    for result in results:
        totals.faults += result.faults
        for outcome, count in result.outcomes.items():
            totals.outcomes[outcome] = totals.outcomes.get(outcome, 0) + count
        if result.executed or result.not_run or result.unknown:
            totals.executed += len(result.executed)
            lost = set(result.executed) - set(journal)
            totals.faults += [f"{key}: told done, not run" for key in lost]
            ran = set(result.not_run) & set(journal)
            totals.faults += [f"{key}: told not run, ran" for key in ran]
        else:
            totals.queries += result.asked
            totals.complete += result.complete
            totals.latencies_ms += [ms for _, ms in result.latencies_ms]
    if totals.duplicate_executions:
        totals.faults.append("an execution ran twice")


def main() -> int:
    found = [
        run_customer("druva", layouts.DRUVA, layouts.ZONES["druva"], 1),
        run_customer("hooghly", layouts.HOOGHLY, layouts.ZONES["hooghly"], 2),
    ]
    latencies = [ms for totals in found for ms in totals.latencies_ms]
    faults = [fault for totals in found for fault in totals.faults]
    for fault in faults[:20]:
        say(f"untrue: {fault}")
    row = {
        "entry_nodes": sum(t.entry_nodes for t in found),
        "leaves": sum(t.leaves for t in found),
        "queries": sum(t.queries for t in found),
        "complete": sum(t.complete for t in found),
        "p50_ms": round(callers.percentile(latencies, 0.5), 1),
        "p99_ms": round(callers.percentile(latencies, 0.99), 1),
        "executed": sum(t.executed for t in found),
        "duplicate_executions": sum(t.duplicate_executions for t in found),
        "publish_in_force_ms": max(t.publish_in_force_ms for t in found),
        "untrue": len(faults),
    }
    print(json.dumps(row), flush=True)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
