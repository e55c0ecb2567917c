"""Drives the systems tick by tick, without I/O."""

from typing import Any, TypeVar

from snipesaddle._internal.daemon.node import build_world
from snipesaddle._internal.models.service_file import ServiceFile
from snipesaddle._internal.models.settings import Settings
from snipesaddle._internal.systems.schedule import Schedule
from snipesaddle._internal.tables.commands import (
    Command,
    Probe,
    SearchCall,
    StartCall,
)
from snipesaddle._internal.tables.config import Head
from snipesaddle._internal.tables.events import (
    CallFinished,
    LeafHealth,
    LeafStatus,
    ProbeFinished,
    SearchArrived,
)
from snipesaddle._internal.tables.leaves import (
    Holding,
    LeafState,
    ShardRange,
)
from snipesaddle._internal.tables.messages import HeadReply
from snipesaddle._internal.tables.queries import CallResult, SearchRequest

NS_PER_MS = 1_000_000
_WHOLE = (ShardRange("s0", 0, 1_024),)
CommandT = TypeVar("CommandT")


class Ticks:
    """One node's tables and systems; the test sets the time and the replies."""

    def __init__(
        self, files: list[dict[str, Any]], **sections: dict[str, Any]
    ) -> None:
        settings = Settings.model_validate(
            {
                "node": {
                    "name": "e1",
                    "zone": "z",
                    "http": "127.0.0.1:1",
                    "peer": "127.0.0.1:2",
                },
                "platform": {"store": "127.0.0.1:3", "vm_list": "127.0.0.1:4"},
                "seed": 1,
            }
            | sections
        )
        self.now_ms = 1_000.0
        self.world = build_world(settings, self.now_ns, "e1~0001")
        self._schedule = Schedule(self.world)
        self._schedule.start(self.world, self.now_ns)
        self.commands: list[Command] = []
        self._publish(files)

    @property
    def now_ns(self) -> int:
        return int(self.now_ms * NS_PER_MS)

    def tick(self, after_ms: float = 0.0) -> None:
        self.now_ms += after_ms
        self.commands += self._schedule.tick(self.world, self.now_ns)

    def take(self, kind: type[CommandT]) -> list[CommandT]:
        """Removes and returns the commands of one kind."""
        found = [c for c in self.commands if isinstance(c, kind)]
        self.commands = [c for c in self.commands if not isinstance(c, kind)]
        return found

    def search(self, target: str, deadline_ms: int = 1_000) -> str:
        request_id = f"r{self.world.next_id()}"
        request = SearchRequest(request_id, target, (), "q", "t", deadline_ms)
        self.world.inbox.put(SearchArrived(request))
        self.tick()
        return request_id

    def finish(
        self,
        call: StartCall,
        result: CallResult = CallResult.ANSWERED,
        state: LeafState = LeafState.SERVING,
        **fields: Any,
    ) -> None:
        """Ends a call; the next tick handles the result."""
        request = call.request
        assert isinstance(request, SearchCall)
        self.world.inbox.put(
            CallFinished(
                **{
                    "call_id": request.call_id,
                    "leaf_id": call.leaf_id,
                    "link_id": call.link_id,
                    "result": result,
                    "reply_id": request.call_id,
                    "reply_shard": request.shard.shard,
                    "reply_snapshot": request.snapshot,
                    "hits": ["hit"],
                    "status": LeafStatus(state, 0, (1,)),
                }
                | fields
            )
        )

    def _publish(self, files: list[dict[str, Any]]) -> None:
        specs = [ServiceFile.model_validate(f).to_spec() for f in files]
        blobs = {spec.name: spec for spec in specs}
        head = Head(1, {name: name for name in blobs}, ())
        self.world.inbox.put(HeadReply(head, blobs))
        self.tick()
        for _ in range(20):
            for probe in self.take(Probe):
                holding = Holding(_WHOLE, _WHOLE)
                health = LeafHealth(LeafState.SERVING, 0, {1: holding})
                self.world.inbox.put(
                    ProbeFinished(probe.leaf_id, probe.link_id, health, True)
                )
            self.tick(60)
        self.commands.clear()
