"""Stand-ins of leaves: many in one process, each on its own port."""

import argparse
import random
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import msgspec

from tests.standins import dataset
from tests.standins.http_server import HttpApp, HttpServer, Reply, Request


class ShardSpec(msgspec.Struct):
    shard: str
    low: int
    high: int


class SnapshotSpec(msgspec.Struct):
    """A snapshot as a leaf serves it: what it holds, and the whole map."""

    id: int
    held: list[ShardSpec]
    shards: list[ShardSpec]


class LeafSpec(msgspec.Struct):
    """One leaf and how it behaves.

    The shares are probabilities for each call. `health_lag_ms` delays what
    the health report tells; replies to calls tell the truth at once.
    """

    port: int
    service: str
    slots: int
    connection_limit: int
    snapshots: list[SnapshotSpec]
    setup_ms: float = 0.0
    service_ms: float = 2.0
    network_ms: float = 0.0
    straggle_share: float = 0.0
    straggle_factor: float = 10.0
    slow_factor: float = 1.0
    shed_share: float = 0.0
    fail_share: float = 0.0
    lose_reply_share: float = 0.0
    cross_share: float = 0.0
    double_share: float = 0.0
    lie_snapshot: int = 0
    frozen: bool = False
    down: bool = False
    state: str = "serving"
    health_lag_ms: int = 0
    cold_until: float = 0.0
    cold_factor: float = 5.0
    max_queue: int = 64


class LeafFile(msgspec.Struct):
    control_port: int
    seed: int
    leaves: list[LeafSpec]


@dataclass
class LeafRow:
    spec: LeafSpec
    slots: anyio.Semaphore
    connections: int = 0
    most_connections: int = 0
    refused_connections: int = 0
    waiting: int = 0
    calls: int = 0
    cancelled: int = 0
    draining_since: float = 0.0
    latest_call_after_drain_ms: int = -1
    journal: list[str] = field(default_factory=list)
    last_reply: dict[str, Any] | None = None
    states: list[tuple[float, str]] = field(default_factory=list)


class LeafApp(HttpApp):
    """Serves all leaves of the process, told apart by their ports."""

    def __init__(self, file: LeafFile) -> None:
        self._rng = random.Random(file.seed)
        self.rows = {
            spec.port: LeafRow(spec, anyio.Semaphore(spec.slots))
            for spec in file.leaves
        }

    async def connected(self, port: int) -> bool:
        row = self.rows[port]
        if row.spec.down:
            return False
        row.connections += 1
        if row.connections > row.spec.connection_limit:
            row.refused_connections += 1
            row.connections -= 1
            return False
        row.most_connections = max(row.most_connections, row.connections)
        if row.spec.setup_ms:
            await anyio.sleep(row.spec.setup_ms / 1_000)
        return True

    def disconnected(self, port: int) -> None:
        self.rows[port].connections -= 1

    def is_cancellable(self, request: Request) -> bool:
        return request.path != "/v1/execute"

    async def handle(self, request: Request) -> Reply:
        row = self.rows[request.port]
        spec = row.spec
        if spec.down:
            return Reply(cut=True)
        while spec.frozen:
            await anyio.sleep(0.02)
        if spec.network_ms:
            await anyio.sleep(spec.network_ms / 1_000)
        if request.path == "/v1/health":
            return Reply(self._health(row))
        self._note_call(row)
        reply = await self._call(row, request)
        if spec.network_ms:
            await anyio.sleep(spec.network_ms / 1_000)
        return reply

    def _note_call(self, row: LeafRow) -> None:
        row.calls += 1
        if row.draining_since:
            late_ms = int((time.monotonic() - row.draining_since) * 1_000)
            row.latest_call_after_drain_ms = late_ms

    async def _call(self, row: LeafRow, request: Request) -> Reply:
        spec = row.spec
        body = request.json()
        if self._chance(spec.fail_share):
            return Reply(self._told(row, body) | {"error": "broken"}, 500)
        full = row.waiting >= spec.max_queue
        if full or self._chance(spec.shed_share):
            return Reply(self._told(row, body) | {"error": "not_run"}, 503)
        row.waiting += 1
        try:
            async with row.slots:
                row.waiting -= 1
                return await self._work(row, request.path, body)
        except BaseException:
            row.cancelled += 1
            raise

    async def _work(
        self, row: LeafRow, path: str, body: dict[str, Any]
    ) -> Reply:
        spec = row.spec
        if path == "/v1/execute":
            row.journal.append(body["key"])
        await anyio.sleep(self._service_s(spec))
        if path == "/v1/execute":
            answer = self._told(row, body) | {"result": {"ran": body["key"]}}
        else:
            answer = self._search(row, body)
            if "error" in answer:
                return Reply(answer, 409)
        return self._spoil(row, answer)

    def _search(self, row: LeafRow, body: dict[str, Any]) -> dict[str, Any]:
        snapshot = next(
            (s for s in row.spec.snapshots if s.id == body["snapshot"]), None
        )
        held = {s.shard: s for s in snapshot.held} if snapshot else {}
        shard = held.get(body["shard"])
        told = self._told(row, body)
        if snapshot is None or shard is None:
            return told | {"error": "snapshot_gone"}
        served = row.spec.lie_snapshot or snapshot.id
        found = dataset.hits(
            row.spec.service, served, body["query"], shard.low, shard.high
        )
        return told | {
            "shard": shard.shard,
            "snapshot": served,
            "hits": found,
        }

    def _spoil(self, row: LeafRow, answer: dict[str, Any]) -> Reply:
        spec = row.spec
        if self._chance(spec.lose_reply_share):
            return Reply(cut=True)
        previous, row.last_reply = row.last_reply, answer
        if previous is not None and self._chance(spec.cross_share):
            return Reply(previous)
        copies = 2 if self._chance(spec.double_share) else 1
        return Reply(answer, copies=copies)

    def _told(self, row: LeafRow, body: dict[str, Any]) -> dict[str, Any]:
        return {
            "call_id": body["call_id"],
            "state": row.spec.state,
            "queue": row.waiting,
            "snapshots": [s.id for s in row.spec.snapshots],
        }

    def _health(self, row: LeafRow) -> dict[str, Any]:
        shown_at = time.monotonic() - row.spec.health_lag_ms / 1_000
        past = [state for at, state in row.states if at <= shown_at]
        first = row.states[0][1] if row.states else row.spec.state
        lagging = past[-1] if past else first
        state = lagging if row.spec.health_lag_ms else row.spec.state
        return {
            "state": state,
            "queue": row.waiting,
            "snapshots": msgspec.to_builtins(row.spec.snapshots),
        }

    def _service_s(self, spec: LeafSpec) -> float:
        mean_s = spec.service_ms / 1_000
        factor = spec.slow_factor * self._rng.uniform(0.8, 1.2)
        if self._chance(spec.straggle_share):
            factor *= spec.straggle_factor
        if time.monotonic() < spec.cold_until:
            factor *= spec.cold_factor
        return mean_s * factor

    def _chance(self, share: float) -> bool:
        return share > 0 and self._rng.random() < share


class ControlApp(HttpApp):
    """Changes leaves by port and reads what they saw."""

    def __init__(self, leaves: LeafApp) -> None:
        self._leaves = leaves

    async def handle(self, request: Request) -> Reply:
        if request.path == "/set":
            for change in request.json():
                self._change(change["port"], change["fields"])
            return Reply({})
        return Reply(
            [
                {
                    "port": port,
                    "service": row.spec.service,
                    "connections": row.connections,
                    "most_connections": row.most_connections,
                    "refused_connections": row.refused_connections,
                    "calls": row.calls,
                    "waiting": row.waiting,
                    "cancelled": row.cancelled,
                    "after_drain_ms": row.latest_call_after_drain_ms,
                    "journal": row.journal,
                }
                for port, row in self._leaves.rows.items()
            ]
        )

    def _change(self, port: int, fields: dict[str, Any]) -> None:
        row = self._leaves.rows[port]
        before = row.spec.state
        content = msgspec.to_builtins(row.spec) | fields
        row.spec = msgspec.convert(content, LeafSpec)
        now = time.monotonic()
        if not row.states:
            row.states.append((0.0, before))
        if row.spec.state != before:
            row.states.append((now, row.spec.state))
            draining = row.spec.state == "draining"
            row.draining_since = now if draining else 0.0
        if "cold_ms" in fields:
            row.spec.cold_until = now + fields["cold_ms"] / 1_000


async def run(file: LeafFile) -> None:
    app = LeafApp(file)
    async with anyio.create_task_group() as group:
        for port in app.rows:
            await group.start(HttpServer(app, port).run)
        await group.start(HttpServer(ControlApp(app), file.control_port).run)
        print("ready", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--file", type=Path, required=True)
    args = parser.parse_args()
    file = msgspec.json.decode(args.file.read_bytes(), type=LeafFile)
    anyio.run(run, file, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
