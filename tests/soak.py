"""A soak of the forwarding tier: real processes under random faults by seed.

Nodes run as processes; leafs, the store and the proxies before them are
stand-ins here. Faults come in lanes that overlap: nodes are killed, paused,
stopped and started, all of them too, some with their clocks set forward or
back; leafs start again under their ids; connections are cut, silenced,
delayed, or lose what comes back; the store goes away, or is silent beside
changes; leafs say in their answers that they leave. Promises are checked from
what clients and leafs see. Exit status 1 if one was broken.
"""

import argparse
import collections
import hashlib
import json
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import httpx
import msgspec

from snipesaddle._internal.adapters.http1.server import HttpRequest
from snipesaddle._internal.models.forwarding import RetrySettings
from tests.standins.forward_site import (
    Site,
    config,
    handles_signal,
)
from tests.standins.proxy import Route, RouteSpec
from tests.standins.retry_budget import Arrival, overrun
from tests.standins.users_platform import LeafStandIn

_SETS = (("s0", "s1"), ("t0", "t1", "t2"))
_SERVICES = (*_SETS[0], *_SETS[1], "file")
_REPLICAS = 2
_NODES = ("e1", "e2", "e3")
_TOP_K = 3
_IN_FORCE_S = 6.0
_MAX_CLOCK_STEP_S = 12.0
_CLIENTS = 6
_LANES = 3
_RETRIES = RetrySettings(ratio=0.1, slack=6.0, window_s=2)
_SETTINGS = {
    "directory": {"keep_ms": 300},
    "retries": msgspec.to_builtins(_RETRIES),
}
# From then on a node sends nothing to a leaf whose answer said it leaves.
_LEFT_S = 0.5
_NOT_RUN = frozenset({408, 421, 429, 503})


def records_of(service: str, key: str) -> list[bytes]:
    """Returns the records that a service holds for a request."""
    seeds = [f"{service}/{key}/{number}" for number in range(_TOP_K)]
    return [hashlib.md5(seed.encode()).digest() for seed in seeds]


class SoakLeaf(LeafStandIn):
    """Answers with records that belong to one request, and signs them."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.arrivals: list[Arrival] = []
        self.refused_ratio = 0.0
        self.born = 1

    def entry(self, state: str = "ready") -> dict[str, Any]:
        return super().entry(state) | {"born": self.born}

    def on_request(self, client_id: int, request: HttpRequest) -> None:
        key = request.header(b"request-id") or b""
        self.arrivals.append(Arrival(time.monotonic_ns(), key))
        if (
            random.Random(f"{key!r}{self.leaf_id}").random()
            < self.refused_ratio
        ):
            headers = ((b"Not-Executed", b"full"), (b"Content-Length", b"0"))
            self.server.respond(client_id, 503, b"Full", headers, b"")
            return
        super().on_request(client_id, request)

    def answer_of(self, request: HttpRequest) -> tuple[bytes, bytes]:
        key = (request.header(b"request-id") or b"").decode()
        stamp = f"{self.service}:{self.leaf_id}:{key}".encode()
        return stamp, b"".join(records_of(self.service, key))


@dataclass
class Seen:
    """What clients saw.

    Attributes:
      asked_ns: when each request was sent, by its id.
      process_of: the process that each request was sent to, by its id.
      told_ns: when a process first passed on an answer of a leaf that leaves,
        by process, leaf and the leaf's start.
      probes: for each process, when a route of a version was asked for and
        answered, and the version.
    """

    outcomes: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    broken: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)
    asked_ns: dict[bytes, int] = field(default_factory=dict)
    process_of: dict[bytes, int] = field(default_factory=dict)
    told_ns: dict[tuple[int, str, int], int] = field(default_factory=dict)
    probes: dict[int, list[tuple[float, float, int]]] = field(
        default_factory=lambda: collections.defaultdict(list)
    )


class Soak:
    """One run."""

    def __init__(self, folder: Path, seed: int, seconds: float) -> None:
        self.rng = random.Random(seed)
        self.until = time.monotonic() + seconds
        self.seen = Seen()
        self.version = 3
        self.faults: list[str] = []
        self.numbers = 0
        self.busy: set[str] = set()
        self.least_reserve = float("inf")
        leafs: list[LeafStandIn] = [
            SoakLeaf(f"i-{service}-{number}", service, [])
            for service in _SERVICES
            for number in range(_REPLICAS)
        ]
        self.site = Site(folder, leafs)
        self.site.settings = _SETTINGS
        self.routes: dict[str, Route] = {}

    async def run(self) -> None:
        try:
            await self._run()
        finally:
            # No node is left behind, whatever ends the run.
            await self.site.stop()

    async def _run(self) -> None:
        async with anyio.create_task_group() as group:
            await self._start(group)
            async with anyio.create_task_group() as work:
                for _ in range(_CLIENTS):
                    work.start_soon(self._client, random.Random(self._draw()))
                for _ in range(_LANES):
                    work.start_soon(self._lane, random.Random(self._draw()))
                work.start_soon(self._departures, random.Random(self._draw()))
            await self._settle()
            self._check()
            group.cancel_scope.cancel()

    def _draw(self) -> float:
        return self.rng.random()

    async def _start(self, group: Any) -> None:
        site = self.site
        await site.start()
        for leaf in site.leafs:
            await self._proxy(group, leaf.leaf_id, leaf.address)
            leaf.address = f"127.0.0.1:{self.routes[leaf.leaf_id].spec.port}"
            site.store.put(f"servers/{leaf.leaf_id}", leaf.entry())
        self._publish()
        for name in _NODES:
            await self._proxy(group, name, site.store_address)
            port = self.routes[name].spec.port
            site.store_addresses[name] = f"127.0.0.1:{port}"
            await site.started(name)

    async def _proxy(self, group: Any, name: str, target: str) -> None:
        port = self.site.take_port()
        spec = RouteSpec(port, int(target.rpartition(":")[2]))
        self.routes[name] = Route(spec)
        await group.start(self.routes[name].run)

    def _publish(self) -> None:
        """Publishes a version with a route of its own, and other shards."""
        self.version += 1
        base = config(self.version)
        sweep, order = base["routes"]
        sweep |= {"gather": list(_SETS[self.version % 2]), "top_k": _TOP_K}
        own = order | {"name": f"v{self.version}"}
        own |= {"prefix": f"/v{self.version}/", "route_type": "idempotent"}
        services = [{"name": n, "max_connections": 40} for n in _SERVICES]
        changed = base | {"routes": [sweep, order, own], "services": services}
        self.site.store.put("op/config", changed)

    async def _client(self, rng: random.Random) -> None:
        asks = (self._sweep, self._sweep, self._order, self._probe)
        while time.monotonic() < self.until:
            self.numbers += 1
            name = rng.choice(_NODES)
            await rng.choice(asks)(name, f"q{self.numbers}", rng)
            await anyio.sleep(rng.uniform(0, 0.03))

    async def _ask(self, name: str, path: str, key: str) -> Any:
        process = self.site.nodes[name].pid
        self.seen.asked_ns[key.encode()] = time.monotonic_ns()
        self.seen.process_of[key.encode()] = process
        try:
            reply = await self.site.ask(name, path, headers={"Request-Id": key})
        except httpx.HTTPError as error:
            self.seen.outcomes[type(error).__name__] += 1
            return None
        self.seen.outcomes[f"{path.split('/')[1][:5]} {reply.status_code}"] += 1
        if reply.status_code in _NOT_RUN:
            self.seen.refused.add(key)
        self._note_leaving(process, key, reply.headers)
        return reply

    def _note_leaving(
        self, process: int, key: str, headers: httpx.Headers
    ) -> None:
        stamps = headers.get("part-stamps") or headers.get("server-stamp", "")
        told = {stamp.split(":")[1] for stamp in stamps.split(", ") if stamp}
        for leaf in self._soak_leafs():
            # An answer that was on its way when it began to leave says nothing.
            if leaf.leaf_id in told and key.encode() in leaf.leaving_ids:
                start = (process, leaf.leaf_id, leaf.born)
                self.seen.told_ns.setdefault(start, time.monotonic_ns())

    def _soak_leafs(self) -> list[SoakLeaf]:
        return [leaf for leaf in self.site.leafs if isinstance(leaf, SoakLeaf)]

    async def _sweep(self, name: str, key: str, rng: random.Random) -> None:
        del rng
        reply = await self._ask(name, "/sweep/x", key)
        if reply is None or reply.status_code != 200:
            if reply is not None and reply.status_code == 404:
                self._broken(key, "404 for a route of all versions")
            return
        stamps = [
            s.split(":") for s in reply.headers["part-stamps"].split(", ")
        ]
        services = [stamp[0] for stamp in stamps]
        missing = int(reply.headers["missing-parts"])
        wholes = [set(s) for s in _SETS if set(services) <= set(s)]
        if {stamp[2] for stamp in stamps} != {key}:
            self._broken(key, "a part of another request")
        if len(set(services)) < len(services) or not wholes:
            self._broken(key, f"parts of {services}")
        elif len(services) + missing != len(wholes[0]):
            self._broken(key, f"{missing} said to be missing of {services}")
        records = [r for s in services for r in records_of(s, key)]
        if reply.content != b"".join(sorted(records)[::-1][:_TOP_K]):
            self._broken(key, "records that are not the greatest")

    async def _order(self, name: str, key: str, rng: random.Random) -> None:
        del rng
        reply = await self._ask(name, "/order/x", key)
        whole = b"".join(records_of("file", key))
        if reply is None or reply.status_code != 200:
            return
        if reply.content != whole:
            self._broken(key, "the answer of another request")

    async def _probe(self, name: str, key: str, rng: random.Random) -> None:
        version = max(4, self.version - rng.randrange(3))
        process = self.site.nodes[name].pid
        asked = time.monotonic()
        reply = await self._ask(name, f"/v{version}/x", key)
        if reply is not None and reply.status_code == 200:
            times = (asked, time.monotonic(), version)
            self.seen.probes[process].append(times)

    def _broken(self, key: str, what: str) -> None:
        self.seen.broken.append(f"{key}: {what}")

    async def _lane(self, rng: random.Random) -> None:
        faults: tuple[Callable[[random.Random], Awaitable[None]], ...] = (
            self._kill,
            self._kill_all,
            self._restart_leaf,
            self._restart,
            self._pause,
            self._harm_store,
            self._harm_leaf,
            self._fill_leafs,
            self._store_away,
            self._store_silent,
            self._change,
            self._reload,
        )
        while time.monotonic() < self.until:
            await rng.choice(faults)(rng)
            await anyio.sleep(rng.uniform(0.05, 0.4))

    async def _departures(self, rng: random.Random) -> None:
        while time.monotonic() < self.until:
            await anyio.sleep(rng.uniform(0.2, 1.0))
            await self._leave(rng)

    def _take(self, rng: random.Random) -> str | None:
        free = [name for name in _NODES if name not in self.busy]
        if len(free) < 2:
            return None
        name = rng.choice(free)
        self.busy.add(name)
        return name

    async def _hurt(
        self, rng: random.Random, kind: str, number: signal.Signals
    ) -> None:
        name = self._take(rng)
        if name is None:
            return
        self.faults.append(f"{kind} {name}")
        node = self.site.nodes[name]
        node.send_signal(number)
        await anyio.sleep(rng.uniform(0.2, 1.5))
        if number is signal.SIGSTOP:
            node.send_signal(signal.SIGCONT)
        else:
            with anyio.fail_after(10):
                await anyio.to_thread.run_sync(node.wait)
            # One that still starts has taken nothing on, and ends at once.
            ended = (0, -signal.SIGTERM)
            if number is signal.SIGTERM and node.returncode not in ended:
                self._broken(name, f"ended with {node.returncode}")
            self.site.start_node(name, _clock_offset_s(rng))
        self.busy.discard(name)

    async def _kill_all(self, rng: random.Random) -> None:
        if self.busy:
            return
        self.busy.update(_NODES)
        self.faults.append("kill all")
        for name in _NODES:
            self.site.nodes[name].kill()
            self.site.nodes[name].wait()
        for name in rng.sample(_NODES, len(_NODES)):
            await anyio.sleep(rng.uniform(0, 0.5))
            self.site.start_node(name, _clock_offset_s(rng))
            self.busy.discard(name)

    async def _restart_leaf(self, rng: random.Random) -> None:
        """Has a leaf end and start again under its id, at its address."""
        leaf = rng.choice(self._soak_leafs())
        self.faults.append(f"{leaf.leaf_id} starts again")
        key = f"servers/{leaf.leaf_id}"
        for scope in list(self.routes[leaf.leaf_id].scopes):
            scope.cancel()
        self.site.store.delete(key)
        await anyio.sleep(rng.uniform(0, 1.5))
        leaf.born += 1
        self.site.store.put(key, leaf.entry())

    async def _kill(self, rng: random.Random) -> None:
        await self._hurt(rng, "kill", signal.SIGKILL)

    async def _restart(self, rng: random.Random) -> None:
        await self._hurt(rng, "restart", signal.SIGTERM)

    async def _pause(self, rng: random.Random) -> None:
        await self._hurt(rng, "pause", signal.SIGSTOP)

    async def _harm_store(self, rng: random.Random) -> None:
        await self._harm(rng, rng.choice(_NODES))

    async def _harm_leaf(self, rng: random.Random) -> None:
        await self._harm(rng, rng.choice(self.site.leafs).leaf_id)

    async def _harm(self, rng: random.Random, name: str) -> None:
        harms: list[dict[str, Any]] = [
            {"cut": True},
            {"freeze": True},
            {"drop_replies": True},
            {"delay_ms": 200.0},
        ]
        harm = rng.choice(harms)
        self.faults.append(f"connections of {name}: {harm}")
        spec = self.routes[name].spec
        for key, value in harm.items():
            setattr(spec, key, value)
        if spec.cut:
            for scope in list(self.routes[name].scopes):
                scope.cancel()
        await anyio.sleep(rng.uniform(0.2, 2.0))
        for key, value in harm.items():
            setattr(spec, key, type(value)())

    async def _fill_leafs(self, rng: random.Random) -> None:
        """Makes all leafs of some services refuse most requests for a time."""
        services = rng.choice((*_SETS, ("file",)))
        self.faults.append(f"leafs of {services} are full")
        leafs = [
            leaf for leaf in self._soak_leafs() if leaf.service in services
        ]
        for leaf in leafs:
            leaf.refused_ratio = rng.uniform(0.4, 0.9)
        await anyio.sleep(rng.uniform(0.3, 2.0))
        for leaf in leafs:
            leaf.refused_ratio = 0.0

    async def _leave(self, rng: random.Random) -> None:
        """Has a leaf say in its answers alone that it leaves, then restart."""
        leaf = rng.choice(self._soak_leafs())
        self.faults.append(f"{leaf.leaf_id} leaves")
        leaf.says_leaving = True
        await anyio.sleep(rng.uniform(0.5, 3.0))
        self._check_left(leaf)
        leaf.says_leaving = False
        leaf.born += 1
        self.site.store.put(f"servers/{leaf.leaf_id}", leaf.entry())

    def _check_left(self, leaf: SoakLeaf) -> None:
        for arrival in leaf.arrivals:
            process = self.seen.process_of[arrival.request_id]
            start = (process, leaf.leaf_id, leaf.born)
            told_ns = self.seen.told_ns.get(start)
            if told_ns is None:
                continue
            asked_ns = self.seen.asked_ns[arrival.request_id]
            if asked_ns > told_ns + _LEFT_S * 1_000_000_000:
                key = arrival.request_id.decode()
                self._broken(key, f"reached {leaf.leaf_id}, which leaves")

    async def _store_away(self, rng: random.Random) -> None:
        self.faults.append("store away")
        self.site.store.down = True
        await anyio.sleep(rng.uniform(0.2, 1.5))
        self.site.store.down = False

    async def _store_silent(self, rng: random.Random) -> None:
        """Silences the store beside changes, which must be known soon after.

        The watches that a change wakes are sent again in the silence.
        """
        if self.site.store.silent:
            return
        self.faults.append(f"store silent, publish {self.version + 1}")
        self._publish()
        await anyio.sleep(rng.uniform(0.0, 0.5))
        self.site.store.fall_silent()
        await anyio.sleep(rng.uniform(0.3, 4.0))
        self.site.store.silent = False

    async def _change(self, rng: random.Random) -> None:
        del rng
        self.faults.append(f"publish {self.version + 1}")
        self._publish()

    async def _reload(self, rng: random.Random) -> None:
        name = rng.choice(_NODES)
        if name not in self.busy and self._has_loaded(name):
            self.faults.append(f"reload {name}")
            self.site.nodes[name].send_signal(signal.SIGHUP)

    def _has_loaded(self, name: str) -> bool:
        """Tells whether a node's interpreter can have run its first line.

        Until then no program can handle a signal.
        """
        return handles_signal(self.site.nodes[name].pid, signal.SIGHUP)

    async def _settle(self) -> None:
        """Waits until all serve the newest version, with all its shards."""
        left = set(_NODES)
        with anyio.move_on_after(_IN_FORCE_S):
            while left:
                for name in sorted(left):
                    if await self._is_whole(name):
                        left.discard(name)
                await anyio.sleep(0.1)
        for name in sorted(left):
            ended = self.site.nodes[name].poll()
            self._broken(
                name,
                f"not whole {_IN_FORCE_S} s after the faults; ended: {ended}",
            )

    async def _is_whole(self, name: str) -> bool:
        self.numbers += 1
        own = await self._ask(name, f"/v{self.version}/x", f"q{self.numbers}")
        sweep = await self._ask(name, "/sweep/x", f"w{self.numbers}")
        replies = (own, sweep)
        if any(r is None or r.status_code != 200 for r in replies):
            return False
        if len(await self.site.named(name)) < len(_NODES):
            return False
        return bool(sweep.headers["missing-parts"] == "0")

    def _check(self) -> None:
        runs = collections.Counter(
            (run.header(b"request-id") or b"").decode()
            for leaf in self.site.leafs
            for run in leaf.runs
            if run.target.startswith(b"/order/")
        )
        for key, count in runs.items():
            if count > 1:
                self._broken(key, f"ran {count} times")
        for key in runs.keys() & self.seen.refused:
            self._broken(key, "was said not to have run")
        for probes in self.seen.probes.values():
            self._check_versions(probes)
        for services in (*_SETS, ("file",)):
            self._check_budget(services)

    def _check_budget(self, services: tuple[str, ...]) -> None:
        """Checks the repeats that services with the same requests received."""
        arrivals = {
            service: [
                arrival
                for leaf in self._soak_leafs()
                if leaf.service == service
                for arrival in leaf.arrivals
            ]
            for service in services
        }
        # A request may arrive at some services only, and counts for all.
        request_ids = {a.request_id for some in arrivals.values() for a in some}
        asked_ns = [self.seen.asked_ns[key] for key in request_ids]
        for service, received in arrivals.items():
            excess = overrun(received, asked_ns, _RETRIES)
            self.least_reserve = min(self.least_reserve, -excess)
            if excess > 0:
                self._broken(service, f"{excess:.1f} repeats over the budget")

    def _check_versions(self, probes: list[tuple[float, float, int]]) -> None:
        for _, answered, newer in probes:
            for asked, _, older in probes:
                if older < newer and asked > answered:
                    self._broken(f"v{older}", f"served again after v{newer}")


def _clock_offset_s(rng: random.Random) -> float:
    """Returns by how much the clock of a started node is wrong."""
    if rng.random() < 0.5:
        return 0.0
    return rng.uniform(-_MAX_CLOCK_STEP_S, _MAX_CLOCK_STEP_S)


async def run(
    seed: int, seconds: float, folder: Path
) -> tuple[dict[str, Any], list[str]]:
    """Runs one seed; returns its figures and what was broken.

    The logs of the nodes are in the folder afterwards.
    """
    soak = Soak(folder, seed, seconds)
    await soak.run()
    seen = soak.seen
    row = {
        "seed": seed,
        "requests": soak.numbers,
        "faults": len(soak.faults),
        "versions": soak.version,
        "outcomes": dict(sorted(seen.outcomes.items())),
        "least_reserve": round(soak.least_reserve, 1),
        "broken": len(seen.broken),
    }
    return row, [*seen.broken, *(["faults:", *soak.faults] * bool(seen.broken))]


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--logs", type=Path, help="where to keep the logs")
    args = parser.parse_args()
    folder = args.logs or Path(tempfile.mkdtemp())
    folder.mkdir(parents=True, exist_ok=True)
    row, broken = anyio.run(run, args.seed, args.seconds, folder)
    if broken:
        print(f"the logs of the nodes are in {folder}", file=sys.stderr)
    elif args.logs is None:
        shutil.rmtree(folder)
    for line in broken[:60]:
        print(line, file=sys.stderr)
    print(json.dumps(row), flush=True)
    return 1 if row["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
