"""Random faults, two at a time, with oracles throughout; replayed by seed.

Kills, freezes, cuts, outages, publishes, repartitions and draining leaves
are drawn from the seed. Exit status 1 if anything was untrue.
"""

import argparse
import json
import random
import signal
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tests.standins import oracle
from tests.standins.callers import Stream
from tests.standins.fleet import Fleet, FleetOptions
from tests.standins.layouts import Group

_GROUPS = (
    Group("lookup", "druva", "search", 3, 2, 2, 25, 1, shards=2),
    Group("filing", "druva", "execute", 1, 2, 4, 110, 0),
)
_LOOKUP = ["lookup-01", "lookup-02", "lookup-03"]
_SETTINGS = {
    "directory": {"keep_ms": 800},
    "membership": {"heartbeat_interval_ms": 200, "suspect_after_ms": 1_000},
    "leaves": {"drain_hold_ms": 2_000},
}
_LEAF = {
    "service_ms": 5,
    "straggle_share": 0.03,
    "shed_share": 0.02,
    "lose_reply_share": 0.01,
    "cross_share": 0.02,
}
_IN_FORCE_S = 6.0


@dataclass
class Watch:
    """Samples the generation of every node; it must never go back."""

    fleet: Fleet
    faults: list[str] = field(default_factory=list)
    stopped: bool = False

    def run(self) -> None:
        newest: dict[str, int] = {}
        while not self.stopped:
            for name in self.fleet.nodes:
                status = self.fleet.status(name, timeout_s=0.3)
                if status is None or status["generation"] == 0:
                    continue
                seen = status["generation"]
                if seen < newest.get(name, 0):
                    self.faults.append(f"{name} went back to {seen}")
                newest[name] = max(seen, newest.get(name, 0))
            time.sleep(0.1)


class Chaos:
    """Draws faults from a seed and heals each after a while."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.snapshot = 1
        self.published = 1
        self.log: list[str] = []
        self._lock = threading.Lock()
        self._down: set[str] = set()

    def run(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        lanes = [random.Random(self.rng.random()) for _ in range(2)]
        threads = [
            threading.Thread(target=self._lane, args=(lane, until))
            for lane in lanes
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _lane(self, rng: random.Random, until: float) -> None:
        faults: list[Callable[[random.Random], None]] = [
            self._kill,
            self._restart,
            self._freeze,
            self._cut_store,
            self._cut_peers,
            self._store_outage,
            self._lose_puts,
            self._publish,
            self._repartition,
            self._drain_leaf,
            self._slow_leaf,
        ]
        while time.monotonic() < until:
            rng.choice(faults)(rng)
            time.sleep(rng.uniform(0.1, 0.5))

    def _note(self, text: str) -> None:
        self.log.append(text)

    def _take_node(self, rng: random.Random) -> str | None:
        with self._lock:
            free = [n for n in self.fleet.nodes if n not in self._down]
            if len(free) < 3:
                return None
            name = rng.choice(free)
            self._down.add(name)
        return name

    def _give_node(self, name: str) -> None:
        with self._lock:
            self._down.discard(name)

    def _with_node(
        self,
        rng: random.Random,
        kind: str,
        hurt: Callable[[str], None],
        heal: Callable[[str], None],
    ) -> None:
        name = self._take_node(rng)
        if name is None:
            return
        self._note(f"{kind} {name}")
        hurt(name)
        time.sleep(rng.uniform(0.3, 2.0))
        heal(name)
        self._give_node(name)

    def _kill(self, rng: random.Random) -> None:
        def hurt(name: str) -> None:
            self.fleet.nodes[name].kill()

        self._with_node(rng, "kill", hurt, self.fleet.start_node)

    def _restart(self, rng: random.Random) -> None:
        def hurt(name: str) -> None:
            node = self.fleet.nodes[name]
            node.send_signal(signal.SIGTERM)
            assert node.process is not None
            node.process.wait(40)

        self._with_node(rng, "restart", hurt, self.fleet.start_node)

    def _freeze(self, rng: random.Random) -> None:
        nodes = self.fleet.nodes
        self._with_node(
            rng,
            "freeze",
            lambda name: nodes[name].freeze(),
            lambda name: nodes[name].thaw(),
        )

    def _cut_store(self, rng: random.Random) -> None:
        self._with_node(
            rng,
            "cut store of",
            self.fleet.cut_store,
            lambda name: self.fleet.cut_store(name, cut=False),
        )

    def _cut_peers(self, rng: random.Random) -> None:
        self._with_node(
            rng,
            "cut peers of",
            self.fleet.cut_peers,
            lambda name: self.fleet.cut_peers(name, cut=False),
        )

    def _store_outage(self, rng: random.Random) -> None:
        self._note("store outage")
        self.fleet.store_faults(outage=True)
        time.sleep(rng.uniform(0.3, 1.5))
        self.fleet.store_faults()

    def _lose_puts(self, rng: random.Random) -> None:
        self._note("store loses replies")
        self.fleet.store_faults(lost_puts=rng.randint(1, 3))

    def _publish(self, rng: random.Random) -> None:
        name = rng.choice(_LOOKUP)
        file = self.fleet.service_files()[name]
        file["hedge"] = {"extra_load": rng.randint(1, 50) / 1_000}
        self._note(f"publish {name}")
        try:
            result = self.fleet.publish({name: file})
        except RuntimeError as error:
            self._note(f"publish refused: {error}")
            return
        with self._lock:
            self.published = max(self.published, result["generation"])

    def _repartition(self, rng: random.Random) -> None:
        with self._lock:
            old = self.snapshot
            self.snapshot += 1
            new = self.snapshot
            self._note(f"snapshot {new}")
            for name in _LOOKUP:
                both = {old: shards_of(old), new: shards_of(new)}
                self.fleet.set_snapshots(name, both)
            time.sleep(rng.uniform(0.2, 0.6))
            for name in _LOOKUP:
                self.fleet.set_snapshots(name, {new: shards_of(new)})

    def _drain_leaf(self, rng: random.Random) -> None:
        port = rng.choice(self.fleet.leaf_ports("lookup-01"))
        self._note(f"drain leaf {port}")
        self.fleet.set_leaf(port, state="draining")
        time.sleep(rng.uniform(0.5, 1.5))
        self.fleet.set_leaf(port, state="serving")

    def _slow_leaf(self, rng: random.Random) -> None:
        port = rng.choice(self.fleet.leaf_ports("lookup-02"))
        self._note(f"slow leaf {port}")
        self.fleet.set_leaf(port, slow_factor=20.0)
        time.sleep(rng.uniform(0.5, 1.5))
        self.fleet.set_leaf(port, slow_factor=1.0)


def shards_of(snapshot: int) -> list[str]:
    """Returns the shard names of a snapshot; their number changes."""
    if snapshot == 1:
        return ["s0", "s1"]
    return [f"v{snapshot}-{i}" for i in range(2 + snapshot % 4)]


def run(seed: int, seconds: float) -> tuple[dict[str, Any], list[str]]:
    maps = {
        "lookup": {
            number: oracle.even_ranges(_LOOKUP, shards_of(number))
            for number in range(1, 200)
        }
    }
    options = FleetOptions(
        groups=_GROUPS,
        proxied=True,
        seed=seed,
        settings=_SETTINGS,
        leaf_fields=_LEAF,
    )
    with Fleet(options) as fleet:
        fleet.start()
        streams = [
            Stream("lookup", 20, seconds),
            Stream(
                "filing", 20, seconds, execute=True, retry_elsewhere_share=0.8
            ),
        ]
        load = fleet.start_load(streams, maps, seed)
        watch = Watch(fleet)
        watcher = threading.Thread(target=watch.run)
        watcher.start()
        chaos = Chaos(fleet, seed)
        chaos.run(seconds)
        results = load.finish()
        faults = [fault for result in results for fault in result.faults]
        faults += _settle(fleet, chaos.published)
        watch.stopped = True
        watcher.join()
        faults += watch.faults + _check_leaves(fleet, results[1])
    row = {
        "seed": seed,
        "queries": results[0].asked,
        "complete": results[0].complete,
        "answered": results[0].answered,
        "executions": results[1].asked,
        "done": len(results[1].executed),
        "not_run": len(results[1].not_run),
        "unknown": len(results[1].unknown),
        "generation": chaos.published,
        "snapshots": chaos.snapshot,
        "faults_injected": len(chaos.log),
        "untrue": len(faults),
    }
    for line in chaos.log:
        print(line, file=sys.stderr)
    return row, faults


def _settle(fleet: Fleet, generation: int) -> list[str]:
    def in_force() -> bool:
        found = [fleet.status(name) for name in fleet.nodes]
        return all(s and s["generation"] >= generation for s in found)

    try:
        fleet.wait(in_force, "", _IN_FORCE_S)
    except TimeoutError:
        return [f"generation {generation} is not in force everywhere"]
    return []


def _check_leaves(fleet: Fleet, executions: Any) -> list[str]:
    faults = []
    journal = fleet.journal()
    if len(journal) != len(set(journal)):
        faults.append("a key ran twice")
    faults += [
        f"{key}: told done, not run"
        for key in set(executions.executed) - set(journal)
    ]
    faults += [
        f"{key}: told not run, ran"
        for key in set(executions.not_run) & set(journal)
    ]
    refused = sum(
        row["refused_connections"] for row in fleet.leaf_stats().values()
    )
    if refused:
        faults.append(f"{refused} connections past a leaf's limit")
    return faults


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    row, faults = run(args.seed, args.seconds)
    for fault in faults[:30]:
        print(f"untrue: {fault}", file=sys.stderr)
    print(json.dumps(row), flush=True)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
