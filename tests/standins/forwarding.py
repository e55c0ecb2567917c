"""Drives the systems of the forwarding tier tick by tick, without I/O."""

from typing import Any, TypeVar

from snipesaddle._internal.daemon.forward_node import build_world
from snipesaddle._internal.models.forwarding import (
    ForwardSettings,
    NodeSettings,
    StoreSettings,
)
from snipesaddle._internal.systems.forwarding.load_balancing import (
    EndpointChooser,
)
from snipesaddle._internal.systems.forwarding.schedule import ForwardSchedule
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.commands import Command
from snipesaddle._internal.tables.forwarding.endpoints import (
    EndpointEntry,
    Registration,
)
from snipesaddle._internal.tables.forwarding.fleet import (
    NodePhase,
    NodeRecord,
)
from snipesaddle._internal.tables.forwarding.messages import NodeBeat
from snipesaddle._internal.tables.forwarding.requests import (
    ArrivedRequest,
    EndpointAnswer,
)
from snipesaddle._internal.tables.forwarding.routes import (
    ClientLimits,
    Route,
    RouteConfig,
    ServiceLimits,
    WeightedService,
)
from snipesaddle._internal.tables.forwarding.store_ranges import Change, Range

NS_PER_MS = 1_000_000
HOST = b"desk.example"
# The node has been up for so long.
_UP_NS = 60_000 * NS_PER_MS
CommandT = TypeVar("CommandT")
MessageT = TypeVar("MessageT")


def pass_route(**changes: Any) -> Route:
    """Returns a route to the service `file`."""
    values: dict[str, Any] = {
        "name": "file",
        "host": HOST,
        "prefix": b"/file/",
        "idempotent": True,
        "timeout_ms": 1_000,
        "target_latency_ms": 200,
        "max_attempts": 2,
        "priority": 1,
        "targets": (WeightedService("file", 1.0),),
    }
    return Route(**(values | changes))


def merge_route(shards: int, **changes: Any) -> Route:
    """Returns a route that merges the shards s0, s1 and so on."""
    values: dict[str, Any] = {
        "name": "sweep",
        "host": HOST,
        "prefix": b"/sweep/",
        "idempotent": True,
        "timeout_ms": 600,
        "target_latency_ms": 120,
        "max_attempts": 2,
        "priority": 1,
        "shards": tuple(f"s{number}" for number in range(shards)),
        "top_k": 3,
        "min_coverage": 0.75,
    }
    return Route(**(values | changes))


def entry(endpoint_id: str, service: str, **changes: Any) -> EndpointEntry:
    """Returns a registration of a ready endpoint in this node's zone."""
    values: dict[str, Any] = {
        "endpoint_id": endpoint_id,
        "service": service,
        "address": f"10.0.0.1:{8_000 + abs(hash(endpoint_id)) % 1_000}",
        "zone": "a",
        "slots": 2,
        "registration": Registration.READY,
        "born_unix_ms": 1,
    }
    return EndpointEntry(**(values | changes))


def record_bytes(number: int) -> bytes:
    """Returns a record that sorts by its number."""
    return number.to_bytes(16, "big")


class ForwardTicks:
    """The tables of one node; the test controls its clock and all replies."""

    def __init__(
        self,
        routes: list[Route],
        entries: list[EndpointEntry],
        chooser: EndpointChooser | None = None,
        incarnation: str = "0001",
        **sections: Any,
    ) -> None:
        address = "127.0.0.1:1"
        settings = ForwardSettings(
            node=NodeSettings(
                name="e1",
                zone="a",
                front=address,
                readiness=address,
                directory=address,
                peer=address,
                metrics=address,
            ),
            store=StoreSettings(address=address),
            seed=1,
            **sections,
        )
        self.now_ms = 1_000.0
        self.world = build_world(settings, incarnation)
        self._schedule = ForwardSchedule(chooser)
        self._schedule.start(self.world, self.now_ns)
        self.world.this_node.started_ns = self.now_ns - _UP_NS
        self.commands: list[Command] = []
        self._clients = 0
        self.tick()
        self.publish(1, routes)
        self.list_entries(entries)
        self.list_range(Range.NODES, {})

    @property
    def now_ns(self) -> int:
        return int(self.now_ms * NS_PER_MS)

    def tick(self, *arrived: object) -> list[Command]:
        """Delivers events, runs one tick and returns its commands."""
        for event in arrived:
            self.world.inbox.put(event)
        made = self._schedule.tick(self.world, self.now_ns)
        self.commands.extend(made)
        return made

    def open_all(self) -> None:
        """Reports all connections that are being opened as open."""
        for command in self.taken(commands.OpenConnection):
            self.tick(events.ConnectionOpened(command.connection_id))

    def advance(self, ms: float, step_ms: float = 5.0) -> None:
        """Advances the clock, with a tick for each step."""
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + step_ms)
            self.tick()

    def taken(self, kind: type[CommandT]) -> list[CommandT]:
        """Removes and returns the commands of one type emitted so far."""
        found = [c for c in self.commands if isinstance(c, kind)]
        self.commands = [c for c in self.commands if not isinstance(c, kind)]
        return found

    def sent_to_nodes(self, kind: type[MessageT]) -> list[MessageT]:
        """Removes the messages to nodes; returns those of one type."""
        messages = [c.message for c in self.taken(commands.SendToNode)]
        return [message for message in messages if isinstance(message, kind)]

    def publish(
        self, version: int, routes: list[Route], **changes: Any
    ) -> None:
        services = {name for route in routes for name in route.services}
        config = RouteConfig(
            version=version,
            routes=tuple(routes),
            services={name: ServiceLimits(name, 20) for name in services},
            limits=ClientLimits(),
            source=b"config %d" % version,
            **changes,
        )
        self.list_range(Range.CONFIG, {"config": config})

    def read_config(self, read_id: int, config: Any) -> None:
        self.tick(events.ConfigRead(read_id, config))

    def list_entries(self, entries: list[EndpointEntry]) -> None:
        self.list_range(Range.ENDPOINTS, {e.endpoint_id: e for e in entries})

    def list_range(
        self, kind: Range, items: dict[str, Any], era: int = 0
    ) -> None:
        self.tick(events.RangeListed(kind, items, 10, "", False, 10, era))

    def change(
        self,
        kind: Range,
        key: str,
        item: Any,
        revision: int = 11,
        era: int = 0,
    ) -> None:
        change = Change(key, item, revision)
        self.tick(events.RangeChanged(kind, (change,), revision, era))

    def fail(self, kind: Range, history_lost: bool = False) -> None:
        self.tick(events.RangeFailed(kind, history_lost, "down"))

    def beat(self, node_id: str, **changes: Any) -> None:
        values: dict[str, Any] = {
            "node_id": node_id,
            "incarnation": "0001",
            "front_address": f"{node_id}:1",
            "peer_address": f"{node_id}:2",
            "zone": "a",
            "phase": NodePhase.SERVING,
            "config_version": 1,
            "endpoints_revision": 10,
            "sequence": int(self.now_ms),
        }
        self.tick(NodeBeat(NodeRecord(**(values | changes))))

    def ask(self, path: bytes, **changes: Any) -> int:
        """Sends a request, opens connections and returns its client id."""
        client_id = self.request(path, **changes)
        self.open_all()
        return client_id

    def request(self, path: bytes, **changes: Any) -> int:
        """Sends a request and returns its client id."""
        self._clients += 1
        values: dict[str, Any] = {
            "client_id": self._clients,
            "client_request_id": b"r%d" % self._clients,
            "method": b"GET",
            "host": HOST,
            "target": path,
            "headers": (),
            "body": b"",
            "time_limit_ms": 600,
        }
        request = ArrivedRequest(**(values | changes))
        self.tick(events.RequestArrived(request, self.now_ns))
        return self._clients

    def answer(
        self,
        attempt: commands.SendAttempt,
        body: bytes = b"",
        status: int = 200,
        **changes: Any,
    ) -> None:
        """Answers an attempt as its endpoint."""
        reusable = changes.pop("reusable", True)
        values: dict[str, Any] = {
            "status": status,
            "reason": b"",
            "headers": (),
            "body": body,
            "signature": b"sig-" + attempt.endpoint_id.encode(),
        }
        answer = EndpointAnswer(**(values | changes))
        self.tick(
            events.AttemptAnswered(
                attempt.connection_id, attempt.attempt_id, answer, reusable, 0
            )
        )

    def lose(self, attempt: commands.SendAttempt) -> None:
        """Resets the connection of an attempt."""
        self.tick(events.ConnectionEnded(attempt.connection_id, True, "reset"))


def relaying_node(incarnation: str = "0001") -> ForwardTicks:
    """Returns a node that has shards s1 to s3 gathered in zone b."""
    entries = [entry("s0a", "s0")]
    for number in range(1, 4):
        entries.append(entry(f"s{number}b", f"s{number}", zone="b"))
    ticks = ForwardTicks([merge_route(4)], entries, incarnation=incarnation)
    ticks.beat("e2", zone="b")
    return ticks
