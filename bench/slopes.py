"""What an idle fleet costs, by nodes and leaves, and the fitted slopes.

Real daemons on loopback. Prints one JSON line a fleet, then one a slope:
least squares over neighbours and leaves, with the residual's root mean
square. Connection limits are raised, so that every node may own every leaf.
"""

import argparse
import json
import os
import threading
import time
from dataclasses import asdict, dataclass
from typing import Any

import numpy as np
import psutil

from tests.standins.fleet import Fleet, FleetOptions
from tests.standins.layouts import Group

_SIZES = (
    (2, 4),
    (2, 64),
    (2, 256),
    (4, 4),
    (4, 64),
    (4, 256),
    (8, 64),
    (16, 4),
    (16, 64),
    (32, 4),
    (32, 64),
)
_WINDOW_S = 8.0
_SETTLE_S = 3.0
_NEIGHBOURS = 8
_HELD_QUERIES = 60
_LEAVES_PER_SERVICE = 2


@dataclass
class Row:
    """Per node, but for the store's calls and the publish."""

    nodes: int
    leaves: int
    cpu_percent: float
    resident_mb: float
    peer_bytes_s: float
    peer_messages_s: float
    ticks_s: float
    store_reads_s: float
    store_writes_s: float
    store_watches_s: float
    publish_in_force_ms: float


def _options(nodes: int, leaves: int) -> FleetOptions:
    services = max(1, leaves // _LEAVES_PER_SERVICE)
    group = Group(
        "lookup", "druva", "search", services, _LEAVES_PER_SERVICE, 2, 512, 0
    )
    return FleetOptions(
        groups=(group,),
        nodes=nodes,
        leaves_per_process=64,
        settings={"leaves": {"owners": 64}},
    )


def _processes(fleet: Fleet) -> list[psutil.Process]:
    return [
        psutil.Process(node.process.pid)
        for node in fleet.nodes.values()
        if node.process is not None
    ]


def _cpu_s(processes: list[psutil.Process]) -> float:
    times = [process.cpu_times() for process in processes]
    return sum(t.user + t.system for t in times)


def _counters(fleet: Fleet) -> dict[str, int]:
    added: dict[str, int] = {}
    for name in fleet.nodes:
        for key, value in fleet.metrics(name)["counters"].items():
            added[key] = added.get(key, 0) + value
    return added


def _measure(nodes: int, leaves: int) -> Row:
    with Fleet(_options(nodes, leaves)) as fleet:
        fleet.start()
        time.sleep(_SETTLE_S)
        processes = _processes(fleet)
        store = fleet.store_stats()["calls"]
        counters = _counters(fleet)
        cpu_s = _cpu_s(processes)
        started = time.monotonic()
        time.sleep(_WINDOW_S)
        cpu_s = _cpu_s(processes) - cpu_s
        window_s = time.monotonic() - started
        after = _counters(fleet)
        store_after = fleet.store_stats()["calls"]
        resident = sum(p.memory_info().rss for p in processes)
        in_force_ms = _publish(fleet)

    def rate(key: str) -> float:
        return (after[key] - counters[key]) / window_s / nodes

    def store_rate(kind: str) -> float:
        return (store_after.get(kind, 0) - store.get(kind, 0)) / window_s

    return Row(
        nodes=nodes,
        leaves=leaves,
        cpu_percent=round(100 * cpu_s / window_s / nodes, 3),
        resident_mb=round(resident / nodes / 1e6, 2),
        peer_bytes_s=round(rate("peer_bytes_sent"), 1),
        peer_messages_s=round(rate("peer_messages_sent"), 2),
        ticks_s=round(rate("ticks"), 2),
        store_reads_s=round(store_rate("read"), 2),
        store_writes_s=round(store_rate("write"), 2),
        store_watches_s=round(store_rate("watch"), 2),
        publish_in_force_ms=in_force_ms,
    )


def _publish(fleet: Fleet) -> float:
    """Publishes one service and returns how long the last node lacked it."""
    name = fleet.placed[0].service
    file = fleet.service_files()[name]
    file["hedge"] = {"extra_load": 0.01}
    address = fleet.nodes["e1"].address
    result = fleet.publish({name: file}, "--wait", f"--node={address}")
    return float(result["in_force_ms"])


def _query_memory() -> dict[str, Any]:
    """Returns the resident growth of a node for one held query."""
    options = _options(1, 40)
    with Fleet(options) as fleet:
        fleet.start()
        fleet.search("e1", "lookup", "warm")
        [process] = _processes(fleet)
        before = process.memory_info().rss
        fleet.set_all_leaves(frozen=True)
        threads = [
            threading.Thread(
                target=fleet.search,
                args=("e1", "lookup", f"q{i}"),
                kwargs={"deadline_ms": 4_000},
            )
            for i in range(_HELD_QUERIES)
        ]
        for thread in threads:
            thread.start()
        time.sleep(2)
        grown = process.memory_info().rss - before
        fleet.set_all_leaves(frozen=False)
        for thread in threads:
            thread.join()
    return {
        "held_queries": _HELD_QUERIES,
        "fan_out": 20,
        "kb_per_query": round(grown / _HELD_QUERIES / 1e3, 1),
    }


def _fit(rows: list[Row], name: str) -> dict[str, Any]:
    neighbours = [min(row.nodes - 1, _NEIGHBOURS) for row in rows]
    matrix = np.array(
        [[1, n, row.leaves] for n, row in zip(neighbours, rows, strict=True)]
    )
    values = np.array([getattr(row, name) for row in rows])
    found, *_ = np.linalg.lstsq(matrix, values, rcond=None)
    residual = values - matrix @ found
    return {
        "slope": name,
        "base": round(float(found[0]), 4),
        "per_neighbour": round(float(found[1]), 4),
        "per_leaf": round(float(found[2]), 5),
        "residual_rms": round(float(np.sqrt(np.mean(residual**2))), 4),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--most-nodes", type=int, default=32)
    args = parser.parse_args()
    print(json.dumps({"cores": os.cpu_count()}), flush=True)
    rows = []
    for nodes, leaves in _SIZES:
        if nodes <= args.most_nodes:
            rows.append(_measure(nodes, leaves))
            print(json.dumps(asdict(rows[-1])), flush=True)
    print(json.dumps(_query_memory()), flush=True)
    for name in ("cpu_percent", "resident_mb", "peer_bytes_s"):
        print(json.dumps(_fit(rows, name)), flush=True)


if __name__ == "__main__":
    main()
