"""In-memory ports, for sessions on a paused clock."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpx
import trio
from anyio.abc import TaskGroup
from trio.testing import MockClock

from snipesaddle._internal.adapters.claim_store import ClaimStore
from snipesaddle._internal.adapters.config_store import ConfigStore
from snipesaddle._internal.daemon.node import Node, build_world
from snipesaddle._internal.daemon.ports import Ports
from snipesaddle._internal.errors import StoreUnavailableError
from snipesaddle._internal.models.service_file import ServiceFile
from snipesaddle._internal.models.settings import Settings
from snipesaddle._internal.ports.leaf_transport import LeafTransport
from snipesaddle._internal.ports.peer_transport import (
    MessageHandler,
    PeerTransport,
)
from snipesaddle._internal.ports.store import PutResult, Store, StoreEntry
from snipesaddle._internal.ports.vm_list import VmList
from snipesaddle._internal.publishing import Change, Publisher
from snipesaddle._internal.tables.commands import ExecuteCall, SearchCall
from snipesaddle._internal.tables.events import (
    CallFinished,
    LeafHealth,
    LeafStatus,
    ProbeFinished,
    VmEntry,
    VmListRead,
)
from snipesaddle._internal.tables.leaves import (
    Holding,
    LeafState,
    ShardRange,
)
from snipesaddle._internal.tables.messages import Heartbeat, PeerMessage
from snipesaddle._internal.tables.nodes import NodeState
from snipesaddle._internal.tables.queries import CallResult
from snipesaddle._internal.tables.world import World
from tests.standins import layouts
from tests.standins.layouts import Group, Placement


@dataclass
class Transcript:
    """What crossed the ports, with the time in milliseconds."""

    lines: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        at_ms = round(anyio.current_time() * 1_000, 1)
        self.lines.append(f"{at_ms:9.1f} {text}")


@dataclass
class LeafScript:
    """How one leaf behaves; delays are taken in turn, the last one stays."""

    service: str
    delays_ms: list[float] = field(default_factory=lambda: [5.0])
    result: CallResult = CallResult.ANSWERED
    snapshot: int = 1
    served_snapshot: int = 0
    state: LeafState = LeafState.SERVING
    shards: tuple[ShardRange, ...] = (ShardRange("s0", 0, 1_024),)
    wrong_call_id: bool = False
    journal: list[str] = field(default_factory=list)

    def next_delay_s(self) -> float:
        if len(self.delays_ms) > 1:
            return self.delays_ms.pop(0) / 1_000
        return self.delays_ms[0] / 1_000


class FakeLeaves(LeafTransport):
    """Leaves that follow their scripts."""

    def __init__(
        self, node: str, scripts: dict[str, LeafScript], log: Transcript
    ) -> None:
        self._node = node
        self._scripts = scripts
        self._log = log

    async def call(
        self, leaf_id: str, link_id: int, request: SearchCall | ExecuteCall
    ) -> CallFinished:
        script = self._scripts[leaf_id]
        kind = "execute" if isinstance(request, ExecuteCall) else "search"
        self._log.note(f"{self._node} -> {leaf_id} {kind} {script.service}")
        if isinstance(request, ExecuteCall):
            ran = script.result in (CallResult.ANSWERED, CallResult.FAILED)
            if ran:
                script.journal.append(request.key)
        try:
            await anyio.sleep(script.next_delay_s())
        except anyio.get_cancelled_exc_class():
            self._log.note(f"{self._node} xx {leaf_id} {kind} cancelled")
            raise
        self._log.note(
            f"{self._node} <- {leaf_id} {kind} {script.result.value}"
        )
        return self._finish(script, leaf_id, link_id, request)

    def _finish(
        self,
        script: LeafScript,
        leaf_id: str,
        link_id: int,
        request: SearchCall | ExecuteCall,
    ) -> CallFinished:
        is_search = isinstance(request, SearchCall)
        served = script.served_snapshot or script.snapshot
        call_id = request.call_id + (1_000 if script.wrong_call_id else 0)
        return CallFinished(
            call_id=request.call_id,
            leaf_id=leaf_id,
            link_id=link_id,
            result=script.result,
            reply_id=call_id,
            reply_shard=request.shard.shard if is_search else "",
            reply_snapshot=served if is_search else 0,
            hits=[f"{script.service}@{served}"] if is_search else [],
            execution_result=None if is_search else {"ran": request.key},
            status=LeafStatus(script.state, 0, (script.snapshot,)),
        )

    async def probe(self, leaf_id: str, link_id: int) -> ProbeFinished:
        script = self._scripts[leaf_id]
        await anyio.sleep(0.001)
        holding = Holding(script.shards, script.shards)
        health = LeafHealth(script.state, 0, {script.snapshot: holding})
        return ProbeFinished(leaf_id, link_id, health, True)

    async def close(self, link_id: int) -> None:
        del link_id

    async def aclose(self) -> None:
        pass


class FakeBus:
    """Connects the nodes of a session; cut ones hear and say nothing."""

    def __init__(self, log: Transcript) -> None:
        self.receivers: dict[str, MessageHandler] = {}
        self.cut: set[str] = set()
        self.log = log


class FakePeers(PeerTransport):
    def __init__(self, address: str, bus: FakeBus) -> None:
        self._address = address
        self._bus = bus

    def send(self, peer_address: str, message: PeerMessage) -> int:
        if {self._address, peer_address} & self._bus.cut:
            return 0
        if not isinstance(message, Heartbeat):
            kind = type(message).__name__
            self._bus.log.note(f"{self._address} => {peer_address} {kind}")
        deliver = self._bus.receivers.get(peer_address)
        if deliver is not None:
            deliver(message)
        return 0

    def disconnect(self, peer_address: str) -> None:
        del peer_address

    async def receive(self, deliver: MessageHandler) -> None:
        self._bus.receivers[self._address] = deliver
        await anyio.sleep_forever()

    def close(self) -> None:
        self._bus.receivers.pop(self._address, None)


class FakeStore(Store):
    """A store in memory; `lose_puts` writes and then gives no reply."""

    def __init__(self, log: Transcript) -> None:
        self.entries: dict[str, StoreEntry] = {}
        self.past: dict[str, StoreEntry] | None = None
        self.out = False
        self.lose_puts = 0
        self._log = log
        self._changed = anyio.Event()

    async def get(self, key: str) -> StoreEntry | None:
        await self._reach()
        entries = self.entries if self.past is None else self.past
        return entries.get(key)

    async def put(
        self,
        key: str,
        value: str,
        expected_version: int,
        ttl_s: int | None = None,
    ) -> PutResult:
        await self._reach()
        entry = self.entries.get(key)
        found = entry.version if entry else 0
        if found != expected_version:
            return PutResult(False, found)
        self.entries[key] = StoreEntry(value, found + 1)
        self._changed.set()
        self._changed = anyio.Event()
        if self.lose_puts:
            self.lose_puts -= 1
            raise StoreUnavailableError("reply lost")
        if key.startswith("claim/"):
            self._log.note(f"store: {key} claimed")
        return PutResult(True, found + 1)

    async def watch(
        self, key: str, after_version: int, wait_ms: int
    ) -> StoreEntry | None:
        await self._reach()
        with anyio.move_on_after(wait_ms / 1_000):
            while True:
                entry = self.entries.get(key)
                if (
                    entry
                    and entry.version > after_version
                    and self.past is None
                ):
                    break
                await self._changed.wait()
        return await self.get(key)

    async def _reach(self) -> None:
        await anyio.sleep(0.001)
        if self.out:
            raise StoreUnavailableError("outage")

    async def aclose(self) -> None:
        pass


class FakeVmList(VmList):
    def __init__(self, session: "Session") -> None:
        self._session = session

    async def read(self) -> VmListRead:
        return VmListRead(
            tuple(
                VmEntry(name, f"{name}:http", name, "z", NodeState.SERVING)
                for name in self._session.names
            )
        )

    async def aclose(self) -> None:
        pass


class Session:
    """Entry nodes on a paused clock, with scripted ports."""

    def __init__(self, names: list[str], groups: tuple[Group, ...]) -> None:
        self.names = names
        self.log = Transcript()
        self.bus = FakeBus(self.log)
        self.store = FakeStore(self.log)
        self.placed: list[Placement] = layouts.place(groups, 20_000, ("z",))
        self.leaves = {
            f"127.0.0.1:{leaf.port}": LeafScript(leaf.service)
            for leaf in self.placed
        }
        self.worlds: dict[str, World] = {}
        self._clients: dict[str, httpx.AsyncClient] = {}
        self._tasks: dict[str, TaskGroup] = {}

    async def publish(self) -> None:
        files = layouts.service_files(self.placed).values()
        specs = [ServiceFile.model_validate(f).to_spec() for f in files]
        publisher = Publisher(ConfigStore(self.store), 1.0)
        await publisher.publish(Change(specs, [], "operator"))

    async def start_node(self, name: str, tasks: TaskGroup) -> None:
        settings = _settings(name)
        ports = Ports(
            leaves=FakeLeaves(name, self.leaves, self.log),
            peers=FakePeers(name, self.bus),
            vm_list=FakeVmList(self),
            configs=ConfigStore(self.store),
            claims=ClaimStore(self.store, 60),
        )
        now_ns = int(anyio.current_time() * 1e9)
        incarnation = f"{name}~{now_ns:016x}"
        world = build_world(settings, now_ns, incarnation)
        world.this_node.peer_address = name
        node = Node(world, ports, tasks)
        self.worlds[name] = world
        transport = httpx.ASGITransport(app=node.frontend.app)
        self._clients[name] = httpx.AsyncClient(
            transport=transport, base_url=f"http://{name}"
        )
        node.start()

    async def search(self, name: str, target: str, **body: Any) -> Any:
        reply = await self._clients[name].post(
            f"/v1/search/{target}", json={"query": "q"} | body
        )
        return self._note(name, reply)

    async def execute(
        self, name: str, service: str, ticket: str = "", key: str = ""
    ) -> Any:
        body: dict[str, Any] = {"body": {"amount": 1}}
        if ticket:
            body["ticket"] = ticket
        headers = {"idempotency-key": key} if key else {}
        reply = await self._clients[name].post(
            f"/v1/execute/{service}", json=body, headers=headers
        )
        return self._note(name, reply)

    async def ticket(self, name: str) -> str:
        reply = await self._clients[name].get("/v1/entry-nodes")
        ticket: str = reply.json()["tickets"][0]
        return ticket

    def journal(self) -> list[str]:
        scripts = self.leaves.values()
        return [key for script in scripts for key in script.journal]

    def _note(self, name: str, reply: httpx.Response) -> Any:
        body = reply.json()
        body.pop("request_id", None)
        self.log.note(f"caller <- {name} {reply.status_code} {body}")
        return body


def run_session(work: Callable[[], Any], monkeypatch: Any) -> None:
    """Runs a session on a clock that jumps whenever all tasks wait."""
    monkeypatch.setattr(
        trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True
    )
    monkeypatch.setattr(trio._core._run, "_r", random.Random(0))
    anyio.run(
        work,
        backend="trio",
        backend_options={"clock": MockClock(autojump_threshold=0)},
    )


def _settings(name: str) -> Settings:
    return Settings.model_validate(
        {
            "node": {
                "name": name,
                "zone": "z",
                "http": "127.0.0.1:9",
                "peer": "127.0.0.1:9",
            },
            "platform": {"store": "127.0.0.1:9", "vm_list": "127.0.0.1:9"},
            "seed": 7,
        }
    )
