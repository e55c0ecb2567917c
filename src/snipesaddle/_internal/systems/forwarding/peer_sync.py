"""Peer sync: sends newer data to nodes whose heartbeats show that they lag.

A node with an older configuration, or with an outdated endpoint list because
the store is unreachable or its watch is stuck, gets the newer data from a
peer (anti-entropy).
"""

from snipesaddle._internal.systems import rendezvous
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.commands import SendToNode
from snipesaddle._internal.tables.forwarding.fleet import (
    NodeRecord,
    PeerNode,
)
from snipesaddle._internal.tables.forwarding.messages import (
    ConfigShare,
    EndpointsShare,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# The shortest time between two messages with newer data to the same peer.
_SYNC_INTERVAL_NS = 900 * NS_PER_MS
# A watch that reports no changes for this long, while those of other nodes
# do, is stuck.
_STUCK_WATCH_NS = 2_500 * NS_PER_MS
# A node that lags for longer is sent the list by every peer that hears from
# it, not only by the chosen source.
_ANY_SOURCE_NS = 5_000 * NS_PER_MS


def sync_if_behind(
    world: ForwardWorld, node: PeerNode, record: NodeRecord, now_ns: int
) -> None:
    """Sends a peer the newer data that its heartbeat shows to be missing."""
    if now_ns - node.last_sync_ns < _SYNC_INTERVAL_NS:
        return
    if _sync_peer(world, node, record, now_ns):
        node.last_sync_ns = now_ns


def share_config(world: ForwardWorld, node_id: str, now_ns: int) -> None:
    """Sends a peer the configuration, unless it has just been sent data."""
    node = world.fleet.nodes.get(node_id)
    if node is None or now_ns - node.last_sync_ns < _SYNC_INTERVAL_NS:
        return
    if _send_config(world, node.record.peer_address):
        node.last_sync_ns = now_ns


def is_sync_source(world: ForwardWorld, lagging: NodeRecord) -> bool:
    """Returns whether this node is the one to send data to a lagging node.

    Rendezvous hashing picks one of the active nodes and this one, from the
    zone of the lagging node if possible: endpoint lists are long and traffic
    between zones is expensive.
    """
    zones = {
        node_id: node.record.zone
        for node_id, node in world.fleet.nodes.items()
        if node_id in world.fleet.active_node_ids
    }
    zones[world.this_node.node_id] = world.this_node.zone
    zones.pop(lagging.node_id, None)
    same_zone = [name for name, zone in zones.items() if zone == lagging.zone]
    sources = same_zone or list(zones)
    return world.this_node.node_id in rendezvous.ranked(
        sources, lagging.node_id, 1
    )


def _needs_endpoints(world: ForwardWorld, node: PeerNode, now_ns: int) -> bool:
    """Updates the lag of a peer and returns whether to send it the list."""
    record = node.record
    if record.store_era != world.store.era:
        # Its next heartbeat, after it has heard of the newer era, tells what it
        # lacks.
        return False
    if record.endpoints_revision >= world.endpoints_revision:
        node.lag_revision = 0
        return False
    if record.endpoints_revision >= node.lag_revision:
        # It has reached the revision that it lacked: it is not stuck.
        node.lag_since_ns = now_ns
        node.lag_revision = world.endpoints_revision
    lag_ns = now_ns - node.lag_since_ns
    if lag_ns > _ANY_SOURCE_NS:
        return True
    min_lag_ns = _STUCK_WATCH_NS if record.store_ok else 0
    return lag_ns >= min_lag_ns and is_sync_source(world, record)


def _send_config(world: ForwardWorld, peer_address: str) -> bool:
    """Sends the configuration in force; returns whether there is one."""
    config = world.active_config.config
    if not config.version or not config.source:
        return False
    share = ConfigShare(config.version, config.source)
    world.emit(SendToNode(peer_address, share))
    return True


def _sync_peer(
    world: ForwardWorld,
    node: PeerNode,
    record: NodeRecord,
    now_ns: int,
) -> bool:
    sent = False
    if world.active_config.version > record.config_version:
        sent = _send_config(world, record.peer_address)
    if _needs_endpoints(world, node, now_ns):
        # Those kept for a grace period after an outage are not registered at
        # this revision: the peer would take them for endpoints that are back,
        # and miss their removal.
        entries = tuple(
            endpoint.entry
            for endpoint in world.endpoints.values()
            if endpoint.registered
        )
        revision = world.endpoints_revision
        endpoints_share = EndpointsShare(
            revision,
            entries,
            world.store.recovered_ago_ms(now_ns),
            world.store.era,
        )
        world.emit(SendToNode(record.peer_address, endpoints_share))
        world.log(
            "endpoints_to_peer",
            peer=record.node_id,
            revision=revision,
            peer_revision=record.endpoints_revision,
            endpoints=len(entries),
            expired=len(world.endpoints) - len(entries),
        )
        sent = True
    return sent
