"""Several nodes of the forwarding tier with a store, endpoints and clients.

All run on one simulated clock, without I/O. Nodes can be killed and started
again; what endpoints receive from all of them together is recorded.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from standins.forwarding import HOST, entry
from standins.retry_budget import Arrival, overrun
from standins.simulated_store import SimulatedStore

from snipesaddle._internal.daemon.forward_node import build_world
from snipesaddle._internal.models.forwarding import (
    ForwardSettings,
    NodeSettings,
    RetrySettings,
    StoreSettings,
)
from snipesaddle._internal.systems.forwarding.schedule import ForwardSchedule
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.endpoints import EndpointEntry
from snipesaddle._internal.tables.forwarding.messages import (
    ConfigShare,
    RelayAsk,
)
from snipesaddle._internal.tables.forwarding.requests import (
    ArrivedRequest,
    EndpointAnswer,
)
from snipesaddle._internal.tables.forwarding.routes import (
    ClientLimits,
    Route,
    RouteConfig,
    ServiceLimits,
)
from snipesaddle._internal.tables.forwarding.store_ranges import Range
from snipesaddle._internal.tables.forwarding.tenants import TenantIndex
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
_STORE_MS = 4.0
_LINK_MS = 1.5
_STARTED_NS = NS_PER_S
# All nodes serve then, and use their shares of the fleet's limits.
_START_MS = 12_000
# The time of day at the beginning, and how far clocks are set back.
_CLOCK_MS = 1_000_000
_CLOCK_STEP_MS = 10_000


@dataclass
class Faults:
    """What endpoints, connections and messages do; changed while it runs.

    Attributes:
      refused_ratio: share of the attempts that an endpoint refuses to run.
      lost_ratio: share of the attempts whose answer is lost.
      slow_ratio: share of the attempts that take 200 ms.
      connect_ms: how long a connection takes to open.
      message_loss_ratio: share of the messages between nodes that are lost.
      store_is_down: calls to the store fail.
      cut_off: nodes that reach neither the store nor other nodes.
      without_store: nodes that do not reach the store.
      ignored: nodes that the store does not answer.
      max_hold_ms: the longest time for which messages between nodes are held.
      apart: nodes that reach each other, but no other ones.
      cut_links: pairs of nodes that do not reach each other.
      connect_nodes_ms: how long a connection between two nodes takes to open,
        which its first message does; 0 if all are open.
      rate_limits: the requests a second that endpoints name as their limit, by
        endpoint id.
    """

    refused_ratio: float = 0.0
    lost_ratio: float = 0.0
    slow_ratio: float = 0.0
    connect_ms: float = 6.0
    message_loss_ratio: float = 0.0
    store_is_down: bool = False
    cut_off: frozenset[str] = frozenset()
    without_store: frozenset[str] = frozenset()
    ignored: frozenset[str] = frozenset()
    max_hold_ms: float = 0.0
    apart: frozenset[str] = frozenset()
    cut_links: frozenset[frozenset[str]] = frozenset()
    connect_nodes_ms: float = 0.0
    rate_limits: dict[str, float] = field(default_factory=dict)

    def separates(self, name: str, other: str) -> bool:
        """Returns whether two nodes do not reach each other."""
        if self.cut_off & {name, other}:
            return True
        if frozenset({name, other}) in self.cut_links:
            return True
        return (name in self.apart) != (other in self.apart)

    def fails_store_calls(self, name: str) -> bool:
        """Returns whether a node's calls to the store fail."""
        return self.store_is_down or name in self.cut_off | self.without_store


@dataclass(frozen=True)
class KeyedRun:
    """A request with API keys that reached an endpoint."""

    node: str
    api_keys: tuple[bytes, ...]
    sent_ns: int


@dataclass
class Running:
    """One run of a node's process."""

    name: str
    world: ForwardWorld
    schedule: ForwardSchedule = field(default_factory=ForwardSchedule)
    is_ready: bool = False
    frozen_until_ns: int = 0
    open_connections: dict[int, str] = field(default_factory=dict)
    node_links_open_ns: dict[int, int] = field(default_factory=dict)


class SimulatedFleet:
    """A fleet whose clock the test advances.

    Attributes:
      arrivals: all attempts that reached endpoints, by service.
      arrival_times: the times of all attempts that reached endpoints, by
        endpoint id.
      asked: the times at which clients sent their requests.
      keyed_runs: all attempts of requests with API keys.
      ran: when requests first ran at an endpoint, by tenant and request id.
      peak_connections: the most connections at one time, by endpoint.
      mixed_requests: the ids of the requests that were answered with a part of
        another request.
    """

    def __init__(
        self,
        config: RouteConfig,
        entries: list[EndpointEntry],
        zones: dict[str, str],
        retries: RetrySettings,
        seed: int,
        **sections: Any,
    ) -> None:
        self._sections = sections
        self.now_ns = _STARTED_NS
        self.faults = Faults()
        self.arrivals: defaultdict[str, list[Arrival]] = defaultdict(list)
        self.arrival_times: defaultdict[str, list[int]] = defaultdict(list)
        self.asked: list[int] = []
        self.keyed_runs: list[KeyedRun] = []
        self.ran: defaultdict[str, dict[bytes, int]] = defaultdict(dict)
        self.answers: Counter[str] = Counter()
        self.connections: Counter[str] = Counter()
        self.peak_connections: Counter[str] = Counter()
        self.mixed_requests: list[bytes] = []
        self.running: dict[str, Running] = {}
        self._config = config
        self._configs = {config.version: config}
        self._zones = zones
        self._retries = retries
        self._rng = random.Random(seed)
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._clock_ms = _CLOCK_MS
        self._incarnations = itertools.count(1)
        self._entry_by_address = {item.address: item for item in entries}
        self.store = SimulatedStore(self.at)
        self.store.fill(Range.CONFIG, {"config": config})
        self.store.fill(
            Range.ENDPOINTS, {item.endpoint_id: item for item in entries}
        )

    def at(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Calls an action later."""
        due_ns = self.now_ns + int(delay_ms * NS_PER_MS)
        heapq.heappush(self._queue, (due_ns, next(self._order), action))

    def advance(self, ms: float) -> None:
        """Runs everything that is due within a time."""
        end_ns = self.now_ns + int(ms * NS_PER_MS)
        while True:
            due = [
                (due_ns, run.name)
                for run in self.running.values()
                if not self._is_frozen(run)
                and (due_ns := run.world.timers.next_due_ns()) is not None
            ]
            timer_ns, name = min(due, default=(end_ns + 1, ""))
            queue_ns = self._queue[0][0] if self._queue else end_ns + 1
            if min(timer_ns, queue_ns) > end_ns:
                break
            self.now_ns = max(self.now_ns, min(timer_ns, queue_ns))
            if queue_ns <= timer_ns:
                heapq.heappop(self._queue)[2]()
            else:
                self._tick(self.running[name])
        self.now_ns = end_ns

    def start(self, name: str) -> None:
        """Starts a node's process, in place of one that runs."""
        self.kill(name)
        address = f"{name}:1"
        settings = ForwardSettings(
            node=NodeSettings(
                name=name,
                zone=self._zones[name],
                front=address,
                readiness=address,
                directory=address,
                peer=f"{name}:2",
                metrics=address,
            ),
            store=StoreSettings(address="store:1"),
            retries=self._retries,
            seed=self._rng.randrange(1 << 30),
            **self._sections,
        )
        started_ms = self._clock_ms + next(self._incarnations)
        incarnation = f"{started_ms:012x}-{name}"
        run = Running(name, build_world(settings, incarnation))
        self.running[name] = run
        run.schedule.start(run.world, self.now_ns)
        self._tick(run)

    def set_clocks_back(self) -> None:
        """Sets the time of day back; it counts when a process starts."""
        self._clock_ms -= _CLOCK_STEP_MS

    def publish(self, version: int, **changes: Any) -> None:
        """Writes a newer version of the configuration."""
        source = b"config %d" % version
        self._config = replace(
            self._config, version=version, source=source, **changes
        )
        self._configs[version] = self._config
        self.store.put(Range.CONFIG, "config", self._config)

    def restore_store(self, age_ms: float) -> None:
        """Restores the store, after some time, from a copy taken now."""
        self.store.take_copy()
        self.at(age_ms, self.store.restore)

    def add_endpoint(self, item: EndpointEntry) -> None:
        """Registers one more endpoint."""
        self._entry_by_address[item.address] = item
        self.store.put(Range.ENDPOINTS, item.endpoint_id, item)

    def kill(self, name: str) -> None:
        """Ends a node's process, which closes its connections."""
        run = self.running.pop(name, None)
        if run is None:
            return
        for endpoint_id in run.open_connections.values():
            self.connections[endpoint_id] -= 1
        run.open_connections.clear()

    def _stop(self, run: Running) -> None:
        if self.running.get(run.name) is run:
            self.kill(run.name)

    def restart(self, name: str, down_ms: float) -> None:
        """Kills a node's process and starts it again."""
        self.kill(name)
        self.at(down_ms, lambda: self.start(name))

    def leave(self, name: str) -> None:
        """Asks a node's process to end, which it does in its own time."""
        run = self.running.get(name)
        if run is not None:
            self._deliver(run, events.DrainRequested())

    def freeze(self, name: str, ms: float) -> None:
        """Stops a node's process for a time; its connections stay open."""
        run = self.running.get(name)
        if run is not None:
            run.frozen_until_ns = self.now_ns + int(ms * NS_PER_MS)
            self.at(ms, lambda: self._thaw(run))

    def _thaw(self, run: Running) -> None:
        if self.running.get(run.name) is run and not self._is_frozen(run):
            self._tick(run)

    def _is_frozen(self, run: Running) -> bool:
        return self.now_ns < run.frozen_until_ns

    def ask(
        self,
        path: bytes,
        time_limit_ms: int = 600,
        api_keys: tuple[bytes, ...] = (),
        node: str = "",
        names: Collection[str] | None = None,
    ) -> None:
        """Sends a request to one of the nodes that are ready.

        Args:
          path: its path.
          time_limit_ms: how long the client waits.
          api_keys: the API keys that come with it.
          node: the node that it is sent to, ready or not.
          names: the nodes that it may be sent to; None for all.
        """
        self.asked.append(self.now_ns)
        ready = [
            run
            for run in self.running.values()
            if (
                run.name == node
                if node
                else run.is_ready and (names is None or run.name in names)
            )
        ]
        if not ready:
            self.answers["no connection"] += 1
            return
        number = len(self.asked)
        request = ArrivedRequest(
            client_id=number,
            client_request_id=b"r%d" % number,
            method=b"GET",
            host=HOST,
            target=path,
            headers=(),
            body=b"",
            time_limit_ms=time_limit_ms,
            api_keys=api_keys,
        )
        event = events.RequestArrived(request, self.now_ns)
        self._deliver(self._rng.choice(ready), event)

    def _deliver(self, run: Running, event: object) -> None:
        if self.running.get(run.name) is run:
            run.world.inbox.put(event)
            if not self._is_frozen(run):
                self._tick(run)

    def _later(self, run: Running, delay_ms: float, event: object) -> None:
        self.at(delay_ms, lambda: self._deliver(run, event))

    def _tick(self, run: Running) -> None:
        for command in run.schedule.tick(run.world, self.now_ns):
            self._carry_out(run, command)

    def _carry_out(self, run: Running, command: object) -> None:
        match command:
            case commands.ListRange() | commands.WatchRange():
                self._call_range(run, command)
            case commands.ReadConfig():
                self.store.read_config(
                    command,
                    lambda event: self._deliver(run, event),
                    refused=self.faults.fails_store_calls(run.name),
                    ignored=run.name in self.faults.ignored,
                )
            case commands.WritePresence() | commands.RenewPresence():
                self._call_presence(run, command)
            case commands.RemovePresence():
                self.store.put(Range.NODES, run.name, None)
            case commands.StopProcess():
                self.at(0.0, lambda: self._stop(run))
            case commands.SendToNode():
                self._send_to_node(run, command)
            case commands.OpenConnection():
                self._open(run, command)
            case commands.CloseConnection(connection_id):
                self._close(run, connection_id)
            case commands.SendAttempt():
                self.at(_LINK_MS, lambda: self._arrive(run, command))
            case commands.SetReadiness(ready):
                run.is_ready = ready
            case commands.SendMergedAnswer():
                self._record_merged(command)
            case commands.SendEndpointAnswer():
                self.answers["whole"] += 1
            case commands.SendError(error_kind=kind):
                self.answers[kind.value] += 1
            case _:
                pass

    def _record_merged(self, answer: commands.SendMergedAnswer) -> None:
        self.answers["partial" if answer.missing else "whole"] += 1
        request_id = b"r%d" % answer.client_id
        answered_ids = {
            signature.partition(b" ")[0] for signature in answer.signatures
        }
        if answered_ids - {request_id}:
            self.mixed_requests.append(request_id)

    def _call_range(
        self, run: Running, call: commands.ListRange | commands.WatchRange
    ) -> None:
        self.store.call(
            f"{run.name} {run.world.this_node.incarnation}",
            call,
            lambda event: self._deliver(run, event),
            refused=self.faults.fails_store_calls(run.name),
            ignored=run.name in self.faults.ignored,
        )

    def _call_presence(
        self,
        run: Running,
        command: commands.WritePresence | commands.RenewPresence,
    ) -> None:
        if self.faults.fails_store_calls(run.name):
            self._later(run, 50, events.PresenceFailed(False, "down"))
            return
        if self.store.is_silent:
            failed = events.PresenceFailed(False, "timed out")
            self._later(run, command.timeout_ms, failed)
            return
        # A lease does not lapse.
        if isinstance(command, commands.RenewPresence):
            written = self.store.renew(command.lease_id)
        else:
            written = self.store.write_presence(
                command.record, command.lease_id
            )
        self._later(run, _STORE_MS, written)

    def _send_to_node(self, run: Running, command: commands.SendToNode) -> None:
        target = self.running.get(command.peer_address.removesuffix(":2"))
        message = command.message
        if target is None or not self._is_connected(run, target):
            self._report_unsent(run, command)
        elif self._rng.random() >= self.faults.message_loss_ratio:
            if isinstance(message, ConfigShare):
                config = self._configs[message.version]
                message = events.PeerConfigReceived(config)
            hold_ms = self.faults.max_hold_ms
            if hold_ms:
                hold_ms = self._rng.uniform(0.0, hold_ms)
            self._later(target, _LINK_MS + hold_ms, message)

    def _is_connected(self, run: Running, target: Running) -> bool:
        """Returns whether a run has a connection to another; opens one."""
        if self.faults.separates(run.name, target.name):
            return False
        number = target.world.this_node.run_number
        open_ns = self.now_ns + int(self.faults.connect_nodes_ms * NS_PER_MS)
        opened_ns = run.node_links_open_ns.setdefault(number, open_ns)
        return self.now_ns >= opened_ns

    def _report_unsent(
        self, run: Running, command: commands.SendToNode
    ) -> None:
        message = command.message
        if isinstance(message, RelayAsk):
            self._later(run, 0.0, events.RelayUnsent(message.relay_id))
        elif command.resend:
            unsent = events.MessageUnsent(command.peer_address, message)
            self._later(run, 0.0, unsent)

    def _open(self, run: Running, command: commands.OpenConnection) -> None:
        endpoint_id = self._entry_by_address[command.address].endpoint_id
        run.open_connections[command.connection_id] = endpoint_id
        self.connections[endpoint_id] += 1
        self.peak_connections[endpoint_id] = max(
            self.peak_connections[endpoint_id], self.connections[endpoint_id]
        )
        opened = events.ConnectionOpened(command.connection_id)
        self._later(run, self.faults.connect_ms, opened)

    def _close(self, run: Running, connection_id: int) -> None:
        endpoint_id = run.open_connections.pop(connection_id, "")
        if endpoint_id:
            self.connections[endpoint_id] -= 1

    def _arrive(self, run: Running, attempt: commands.SendAttempt) -> None:
        # What a killed process had written arrives all the same.
        service = next(
            item.service
            for item in self._entry_by_address.values()
            if item.endpoint_id == attempt.endpoint_id
        )
        arrived = attempt.request.arrived
        request_id = arrived.client_request_id
        if arrived.api_keys:
            sent_ns = attempt.request.arrived_ns
            self.keyed_runs.append(
                KeyedRun(run.name, arrived.api_keys, sent_ns)
            )
        self.arrivals[service].append(Arrival(self.now_ns, request_id))
        self.arrival_times[attempt.endpoint_id].append(self.now_ns)
        faults = self.faults
        chance = self._rng.random()
        if chance < faults.refused_ratio:
            refusal = EndpointAnswer(
                503,
                b"",
                (),
                b"",
                b"",
                not_run=True,
                max_requests_per_s=faults.rate_limits.get(attempt.endpoint_id),
            )
            self._answer(run, attempt, _LINK_MS, refusal)
            return
        tenant = attempt.request.tenant
        if tenant is not None:
            self.ran[tenant.name].setdefault(request_id, self.now_ns)
        slow = self._rng.random() < faults.slow_ratio
        work_ms = 200.0 if slow else self._rng.uniform(5.0, 20.0)
        if chance < faults.refused_ratio + faults.lost_ratio:
            self.at(work_ms, lambda: self._lose(run, attempt))
            return
        signature = b"%b %d" % (request_id, next(self._order))
        answer = EndpointAnswer(
            200,
            b"",
            (),
            bytes(16),
            signature,
            max_requests_per_s=faults.rate_limits.get(attempt.endpoint_id),
        )
        self._answer(run, attempt, work_ms + _LINK_MS, answer)

    def _answer(
        self,
        run: Running,
        attempt: commands.SendAttempt,
        delay_ms: float,
        answer: EndpointAnswer,
    ) -> None:
        answered = events.AttemptAnswered(
            attempt.connection_id, attempt.attempt_id, answer, True, 0
        )
        self.at(
            delay_ms,
            lambda: (
                attempt.connection_id in run.open_connections
                and self._deliver(run, answered)
            ),
        )

    def _lose(self, run: Running, attempt: commands.SendAttempt) -> None:
        if attempt.connection_id in run.open_connections:
            self._close(run, attempt.connection_id)
            ended = events.ConnectionEnded(attempt.connection_id, True, "reset")
            self._deliver(run, ended)

    def budget_overrun(self, service: str) -> float:
        """Returns by how much the worst window exceeds the retry budget."""
        return overrun(self.arrivals[service], self.asked, self._retries)


def started_fleet(
    route: Route,
    zones: dict[str, str],
    nodes: Iterable[str],
    max_connections: int,
    seed: int,
    tenants: TenantIndex | None = None,
    endpoint_zones: Iterable[str] = ("a", "b"),
    **sections: Any,
) -> SimulatedFleet:
    """Returns a fleet that serves, with an endpoint a shard in some zones.

    Args:
      route: the only route.
      zones: the zone of each node that may be started.
      nodes: the nodes to start.
      max_connections: the connection limit of each endpoint.
      seed: of all that is random.
      tenants: whose requests are served; None if they need no API key.
      endpoint_zones: the zones that have an endpoint of each shard.
      **sections: sections of the settings of all nodes.
    """
    config = RouteConfig(
        version=1,
        routes=(route,),
        services={
            name: ServiceLimits(name, max_connections)
            for name in route.services
        },
        limits=ClientLimits(),
        source=b"config",
        tenants=tenants,
    )
    entries = [
        entry(f"{name}{zone}", name, zone=zone, address=f"{name}{zone}:1")
        for name in route.services
        for zone in endpoint_zones
    ]
    retries = RetrySettings(ratio=0.2, slack=58.0, window_s=10)
    fleet = SimulatedFleet(config, entries, zones, retries, seed, **sections)
    for name in nodes:
        fleet.start(name)
    fleet.advance(_START_MS)
    return fleet
