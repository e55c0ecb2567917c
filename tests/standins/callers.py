"""Callers as a process: they ask the directory, keep it, and check truth."""

import argparse
import random
import time
from collections import Counter
from pathlib import Path
from typing import Any

import anyio
import httpcore
import msgspec

from snipesaddle._internal.adapters.http_client import (
    TRANSPORT_ERRORS,
    HttpConnection,
    HttpReply,
)
from tests.standins import oracle

_MAX_IDLE = 32
_GIVE_UP_S = 10.0
_AVOID_S = 2.0
_MAX_TRIES = 3


class Stream(msgspec.Struct):
    """Requests of one kind, arriving at random at a steady rate."""

    target: str
    rate_qps: float
    duration_s: float
    tenant: str = "desk"
    deadline_ms: int = 1_000
    zone: str = ""
    execute: bool = False
    retry_elsewhere_share: float = 0.0


class LoadFile(msgspec.Struct):
    """A load; `maps` is the truth by snapshot, service and shard."""

    entry: list[str]
    seed: int
    streams: list[Stream]
    maps: dict[str, dict[int, dict[str, dict[str, tuple[int, int]]]]] = {}


class StreamResult(msgspec.Struct):
    """What the callers of a stream saw; latencies by start time."""

    target: str
    asked: int = 0
    latencies_ms: list[tuple[float, float]] = []
    complete: int = 0
    coverage_sum: float = 0.0
    answered: int = 0
    outcomes: dict[str, int] = {}
    faults: list[str] = []
    executed: list[str] = []
    not_run: list[str] = []
    unknown: list[str] = []
    snapshots: list[int] = []
    refused_connects: int = 0


class Directory:
    """Keeps the directory's answer as long as it may be kept."""

    def __init__(self, entry: list[str], zone: str, rng: random.Random) -> None:
        self._entry = entry
        self._zone = zone
        self._rng = rng
        self._nodes: list[dict[str, str]] = []
        self._until_s = 0.0
        self._tickets: list[str] = []
        self._idle: dict[str, list[HttpConnection]] = {}
        self._lock = anyio.Lock()
        self._avoid: dict[str, float] = {}
        self.refused = 0

    async def ask(
        self, path: str, content: bytes, timeout_s: float
    ) -> HttpReply:
        """Asks a node; one that cannot be connected to is left out."""
        for _ in range(_MAX_TRIES - 1):
            node = await self.node()
            try:
                return await self.send(node, "POST", path, content, timeout_s)
            except httpcore.ConnectError:
                self.refused += 1
                self._avoid[node] = time.monotonic() + _AVOID_S
            except (*TRANSPORT_ERRORS, TimeoutError):
                self._until_s = 0.0
                raise
        node = await self.node()
        return await self.send(node, "POST", path, content, timeout_s)

    async def node(self) -> str:
        async with self._lock:
            if time.monotonic() >= self._until_s:
                await self._refresh()
        now = time.monotonic()
        fit = [
            n for n in self._nodes if self._avoid.get(n["address"], 0.0) <= now
        ]
        near = [n for n in fit if n["zone"] == self._zone]
        return self._rng.choice(near or fit or self._nodes)["address"]

    async def ticket(self) -> str:
        async with self._lock:
            while not self._tickets:
                await self._refresh()
        return self._tickets.pop()

    async def _refresh(self) -> None:
        known = [n["address"] for n in self._nodes]
        entry = self._entry + known
        self._rng.shuffle(entry)
        path = f"/v1/entry-nodes?zone={self._zone}&tickets=16"
        deadline = time.monotonic() + _GIVE_UP_S
        while True:
            for address in entry:
                try:
                    reply = await self.send(address, "GET", path, b"", 2.0)
                except (*TRANSPORT_ERRORS, TimeoutError):
                    continue
                body = msgspec.json.decode(reply.content)
                if reply.status == 200 and body["nodes"]:
                    self._nodes = body["nodes"]
                    self._tickets += body["tickets"]
                    keep_s = body["keep_ms"] / 1_000
                    self._until_s = time.monotonic() + keep_s
                    return
            if time.monotonic() > deadline:
                raise TimeoutError("no entry node answers")
            await anyio.sleep(0.05)

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        content: bytes,
        timeout_s: float,
    ) -> HttpReply:
        idle = self._idle.setdefault(address, [])
        link = idle.pop() if idle else HttpConnection(address)
        usable = False
        try:
            with anyio.fail_after(timeout_s):
                if method == "GET":
                    reply = await link.get(path)
                else:
                    reply = await link.send(method, path, content)
            usable = len(idle) < _MAX_IDLE
            return reply
        finally:
            if usable:
                idle.append(link)
            else:
                with anyio.CancelScope(shield=True):
                    await link.aclose()


class Load:
    """Runs the streams and gathers what their callers saw."""

    def __init__(self, file: LoadFile) -> None:
        self._file = file
        self.results = [StreamResult(s.target) for s in file.streams]

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            for i, stream in enumerate(self._file.streams):
                rng = random.Random(self._file.seed * 100 + i)
                group.start_soon(self._run_stream, stream, i, rng)

    async def _run_stream(
        self, stream: Stream, index: int, rng: random.Random
    ) -> None:
        directory = Directory(list(self._file.entry), stream.zone, rng)
        result = self.results[index]
        start = time.monotonic()
        due = start
        number = 0
        async with anyio.create_task_group() as group:
            while due < start + stream.duration_s:
                await anyio.sleep(max(0.0, due - time.monotonic()))
                number += 1
                text = f"{self._file.seed}-{index}-{number}"
                work = self._execute if stream.execute else self._search
                group.start_soon(
                    work, stream, directory, result, text, start, due
                )
                due += rng.expovariate(stream.rate_qps)
        result.refused_connects = directory.refused

    async def _search(
        self,
        stream: Stream,
        directory: Directory,
        result: StreamResult,
        text: str,
        start: float,
        due: float,
    ) -> None:
        result.asked += 1
        path = f"/v1/search/{stream.target}"
        try:
            reply = await self._post(stream, directory, path, {"query": text})
        except (*TRANSPORT_ERRORS, TimeoutError) as error:
            _count(result, f"lost:{type(error).__name__}")
            return
        latency_ms = (time.monotonic() - due) * 1_000
        self._judge(stream, result, text, reply, due - start, latency_ms)

    async def _post(
        self,
        stream: Stream,
        directory: Directory,
        path: str,
        body: dict[str, Any],
    ) -> HttpReply:
        common = {"tenant": stream.tenant, "deadline_ms": stream.deadline_ms}
        timeout_s = stream.deadline_ms / 1_000 + 2.0
        content = msgspec.json.encode(body | common)
        return await directory.ask(path, content, timeout_s)

    def _judge(
        self,
        stream: Stream,
        result: StreamResult,
        text: str,
        reply: HttpReply,
        at_s: float,
        latency_ms: float,
    ) -> None:
        if not reply.content:
            _count(result, f"empty:{reply.status}")
            return
        answer = msgspec.json.decode(reply.content)
        kind = answer.get("type", "").rpartition(":")[2]
        _count(result, kind or str(reply.status))
        if "coverage" not in answer:
            return
        maps = self._file.maps.get(stream.target)
        if maps is not None:
            faults = oracle.faults_of(answer, text, maps)
            result.faults += [f"{text}: {fault}" for fault in faults]
        result.answered += 1
        result.latencies_ms.append((at_s, latency_ms))
        fraction = answer["coverage"]["fraction"]
        result.coverage_sum += fraction
        result.snapshots.append(answer["snapshot"])
        in_time = latency_ms <= stream.deadline_ms
        if fraction == 1.0 and in_time:
            result.complete += 1

    async def _execute(
        self,
        stream: Stream,
        directory: Directory,
        result: StreamResult,
        text: str,
        start: float,
        due: float,
    ) -> None:
        result.asked += 1
        try:
            ticket = await directory.ticket()
            outcome = await self._outcome(
                stream, directory, result, ticket, text
            )
            if random.Random(text).random() < stream.retry_elsewhere_share:
                again = await self._outcome(
                    stream, directory, result, ticket, text
                )
                self._compare(result, ticket, outcome, again)
        except TimeoutError:
            _count(result, "lost:directory")
            return
        _count(result, outcome)
        result.latencies_ms.append(
            (due - start, (time.monotonic() - due) * 1_000)
        )
        told = {
            "done": result.executed,
            "not_run": result.not_run,
            "unknown": result.unknown,
        }
        told.get(outcome, []).append(ticket)

    def _compare(
        self, result: StreamResult, ticket: str, first: str, again: str
    ) -> None:
        told = {first, again}
        if told == {"done", "not_run"}:
            result.faults.append(f"{ticket}: told {first}, then {again}")
        if first != again:
            _count(result, f"{first}-then-{again}")

    async def _outcome(
        self,
        stream: Stream,
        directory: Directory,
        result: StreamResult,
        ticket: str,
        text: str,
    ) -> str:
        path = f"/v1/execute/{stream.target}"
        body = {"body": {"text": text}, "ticket": ticket}
        try:
            reply = await self._post(stream, directory, path, body)
        except (*TRANSPORT_ERRORS, TimeoutError) as error:
            return f"lost:{type(error).__name__}"
        answer = msgspec.json.decode(reply.content)
        outcome = str(answer.get("outcome") or f"problem:{reply.status}")
        if outcome != "done":
            _count(result, f"{outcome}: {answer['detail']}")
        return outcome


def _count(result: StreamResult, outcome: str) -> None:
    result.outcomes[outcome] = result.outcomes.get(outcome, 0) + 1


def percentile(values: list[float], share: float) -> float:
    """Returns a percentile of a list; 0 for an empty one."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return ordered[index]


def total(results: list[StreamResult]) -> Counter[str]:
    """Adds up the outcomes of several streams."""
    added: Counter[str] = Counter()
    for result in results:
        added.update(result.outcomes)
    return added


async def run(file: LoadFile) -> list[StreamResult]:
    load = Load(file)
    await load.run()
    return load.results


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--file", type=Path, required=True)
    args = parser.parse_args()
    file = msgspec.json.decode(args.file.read_bytes(), type=LoadFile)
    print("ready", flush=True)
    results: Any = anyio.run(run, file, backend_options={"use_uvloop": True})
    print(msgspec.json.encode(results).decode(), flush=True)


if __name__ == "__main__":
    main()
