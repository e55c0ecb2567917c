"""Processor time of an entry node for one query, by fan-out.

One node, 50 services; the queries of each fan-out go one after another, in
turns. Prints one JSON line a fan-out, then the fitted line.
"""

import json
import statistics

import numpy as np
import psutil

from tests.standins.fleet import Fleet, FleetOptions
from tests.standins.layouts import Group

_FAN_OUTS = (5, 10, 20, 50)
_QUERIES = 40
_TURNS = 5
_GROUP = Group("lookup", "druva", "search", 50, 2, 2, 25, 0)


def _cpu_ms(process: psutil.Process) -> float:
    times = process.cpu_times()
    return (times.user + times.system) * 1_000


def _ask(fleet: Fleet, fan_out: int, turn: int) -> float:
    process_of_node = fleet.nodes["e1"].process
    assert process_of_node is not None
    process = psutil.Process(process_of_node.pid)
    services = _GROUP.names()[:fan_out]
    before = _cpu_ms(process)
    for i in range(_QUERIES):
        reply = fleet.search("e1", "lookup", f"{turn}-{i}", services=services)
        assert reply.json()["coverage"]["fraction"] == 1.0
    return (_cpu_ms(process) - before) / _QUERIES


def main() -> None:
    options = FleetOptions(
        groups=(_GROUP,),
        nodes=1,
        leaves_per_process=25,
        leaf_fields={"service_ms": 1},
    )
    with Fleet(options) as fleet:
        fleet.start()
        _ask(fleet, 50, -1)
        costs: dict[int, list[float]] = {n: [] for n in _FAN_OUTS}
        for turn in range(_TURNS):
            for fan_out in _FAN_OUTS:
                costs[fan_out].append(_ask(fleet, fan_out, turn))
    medians = {n: statistics.median(rows) for n, rows in costs.items()}
    for fan_out, cost_ms in medians.items():
        row = {"fan_out": fan_out, "cpu_ms_per_query": round(cost_ms, 2)}
        print(json.dumps(row), flush=True)
    slope, base = np.polyfit(list(medians), list(medians.values()), 1)
    print(
        json.dumps(
            {
                "base_ms": round(float(base), 3),
                "per_leaf_call_ms": round(float(slope), 3),
            }
        )
    )


if __name__ == "__main__":
    main()
