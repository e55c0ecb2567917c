"""Directory: answers clients that ask which nodes to use.

Calls between zones are slow and expensive, so clients are sent to the nodes
in zones where most shards of their routes have an endpoint. If too few of
these nodes are up, the answer lists all active nodes that are up. Weak nodes
are listed for the clients of some zones only.
"""

from dataclasses import dataclass

from snipesaddle._internal.systems.forwarding import (
    activity,
    capacity,
    node_weights,
)
from snipesaddle._internal.systems.tick import TickSystem
from snipesaddle._internal.tables.forwarding.commands import AnswerDirectory
from snipesaddle._internal.tables.forwarding.events import DirectoryRequested
from snipesaddle._internal.tables.forwarding.fleet import NodePhase
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# A zone is near if at least this fraction of the shards has endpoints in it.
_NEAR_SHARD_RATIO = 0.6


def near_zones(world: ForwardWorld, host: bytes) -> set[str]:
    """Returns the zones with endpoints for most shards of a host's routes."""
    services = {
        service
        for route in world.active_config.index.routes_for_host(host)
        if route.shards
        for service in route.shards
    }
    counts: dict[str, int] = {}
    for service in services:
        for zone in _zones_of(world, service):
            counts[zone] = counts.get(zone, 0) + 1
    needed = len(services) * _NEAR_SHARD_RATIO
    return {zone for zone, count in counts.items() if count >= needed}


def _zones_of(world: ForwardWorld, service: str) -> set[str]:
    pool = world.pools.get(service)
    if pool is None:
        return set()
    return {
        endpoint.entry.zone
        for endpoint in pool.endpoints
        if endpoint.accepts_work()
    }


@dataclass(frozen=True, slots=True)
class _Node:
    """A node that an answer can list; its capacity is 0 if unknown."""

    zone: str
    address: str
    capacity_per_s: int


class DirectorySystem(TickSystem[ForwardWorld]):
    """Answers directory requests."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        requests = world.inbox.take(DirectoryRequested)
        if not requests:
            return
        nodes = [
            _Node(
                node.record.zone,
                node.record.front_address,
                node.record.capacity_per_s,
            )
            for node in activity.live_active_peers(world, now_ns)
        ]
        serving = world.this_node.phase is NodePhase.SERVING
        if serving and (activity.is_active(world) or not nodes):
            this_node = _Node(
                world.this_node.zone,
                world.this_node.front_address,
                capacity.attempts_per_s(world.settings.capacity),
            )
            nodes.append(this_node)
        for event in requests:
            self._answer(world, event, nodes)

    def _answer(
        self,
        world: ForwardWorld,
        event: DirectoryRequested,
        nodes: list[_Node],
    ) -> None:
        settings = world.settings.directory
        zones = near_zones(world, event.host)
        near = [node for node in nodes if node.zone in zones]
        if len(near) < settings.min_preferred:
            near = nodes
        weights = node_weights.of([node.capacity_per_s for node in near])
        addresses = [
            node.address
            for node, weight in zip(near, weights, strict=True)
            if node_weights.is_listed(node.address, event.zone, weight)
        ]
        if len(addresses) < settings.min_preferred:
            addresses = [node.address for node in near]
        if len(addresses) > settings.size:
            addresses = world.rng.sample(addresses, settings.size)
        world.emit(
            AnswerDirectory(event.client_id, tuple(addresses), settings.keep_ms)
        )
