"""Following: idle nodes get changes from an active node, not from the store.

Answers the load pattern of a large fleet in which many endpoints change at
once: a watch of every node would be woken by each change, so that the calls to
the store would grow with the fleet. An active node passes the changes that its
watches deliver to the idle nodes of its zone. An idle node watches the store
itself as soon as it hears no active node of its zone that reaches the store,
or lags behind what any heartbeat reports. Where some nodes are weak, a zone
may have no active node; its nodes follow those of another zone.
"""

from collections.abc import Iterable

from snipesaddle._internal.systems.forwarding import (
    activity,
    peer_sync,
    store_eras,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import SendToNode
from snipesaddle._internal.tables.forwarding.endpoints import EndpointEntry
from snipesaddle._internal.tables.forwarding.events import RangeChanged
from snipesaddle._internal.tables.forwarding.fleet import (
    NodePhase,
    NodeRecord,
)
from snipesaddle._internal.tables.forwarding.messages import (
    ConfigShare,
    EndpointChange,
    EndpointChanges,
    FleetMessage,
)
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Change,
    Range,
    RangeCache,
    SyncStage,
    UnreadableItem,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# The longest lag behind other nodes with which an idle node still follows.
_MAX_LAG_NS = 1_000 * NS_PER_MS


def is_following(world: ForwardWorld, cache: RangeCache, now_ns: int) -> bool:
    """Returns whether this node leaves the watch of a range to others."""
    fleet = world.fleet
    if cache.range is Range.NODES or cache.stage is not SyncStage.WATCH:
        return False
    if world.this_node.phase is not NodePhase.SERVING:
        return False
    if activity.is_active(world):
        return False
    if fleet.behind_since_ns and now_ns - fleet.behind_since_ns > _MAX_LAG_NS:
        return False
    sources = [
        node
        for node in activity.live_active_peers(world, now_ns)
        if node.record.store_ok and node.last_heard_ns
    ]
    if any(node.record.zone == world.this_node.zone for node in sources):
        return True
    has_active = world.this_node.zone in _active_zones(world)
    return bool(sources) and world.fleet.is_unequal and not has_active


def update_lag(world: ForwardWorld, now_ns: int) -> None:
    """Updates since when this node lacks what heartbeats have reported."""
    fleet = world.fleet
    cache = world.range_caches[Range.ENDPOINTS]
    if (
        cache.stage is SyncStage.WATCH
        and world.endpoints_revision < fleet.endpoints_revision
        and fleet.endpoints_revision <= cache.revision
    ):
        # The change at that revision was a removal, which a list does not
        # show.
        world.endpoints_revision = fleet.endpoints_revision
    is_behind = (
        fleet.endpoints_revision > world.endpoints_revision
        or fleet.config_version > world.active_config.version
    )
    if not is_behind:
        fleet.behind_since_ns = 0
    elif not fleet.behind_since_ns:
        fleet.behind_since_ns = now_ns


def queue_changes(
    world: ForwardWorld,
    cache: RangeCache,
    changes: Iterable[Change],
    revision: int,
) -> list[Change]:
    """Queues the changes that a range does not have yet, and advances it.

    A watch and a peer can deliver the same changes.

    Args:
      world: the tables.
      cache: the range.
      changes: changes of the range, oldest first.
      revision: all changes up to this revision are included.

    Returns:
      The queued changes.
    """
    queued = [change for change in changes if change.revision > cache.revision]
    for change in queued:
        cache.item_revision = max(cache.item_revision, change.revision)
    world.range_changes[cache.range].extend(queued)
    cache.revision = max(cache.revision, revision)
    return queued


def pass_on_changes(
    world: ForwardWorld,
    event: RangeChanged,
    previous_revision: int,
    now_ns: int,
) -> None:
    """Sends changes from a watch of the endpoints to the followers.

    Args:
      world: the tables.
      event: what the watch delivered.
      previous_revision: the revision from which it continued.
      now_ns: the time of the tick.
    """
    if event.range is not Range.ENDPOINTS or not event.changes:
        return
    message = EndpointChanges(
        after_revision=previous_revision,
        revision=event.revision,
        changes=tuple(map(_to_message, event.changes)),
        recovered_ago_ms=world.store.recovered_ago_ms(now_ns),
        store_era=world.store.era,
    )
    _send_to_followers(world, message, now_ns)


def pass_on_config(world: ForwardWorld, now_ns: int) -> None:
    """Sends the configuration that came into force to the followers."""
    config = world.active_config.config
    if config.source:
        share = ConfigShare(config.version, config.source)
        _send_to_followers(world, share, now_ns)


def _send_to_followers(
    world: ForwardWorld, message: FleetMessage, now_ns: int
) -> None:
    if not activity.is_active(world):
        return
    active_zones = _active_zones(world)
    for node_id, node in world.fleet.nodes.items():
        record = node.record
        if (
            node_id not in world.fleet.active_node_ids
            and _is_follower(world, record, active_zones)
            and activity.is_live(world, node, now_ns)
            and peer_sync.is_sync_source(world, record)
        ):
            world.emit(SendToNode(record.peer_address, message))


def _is_follower(
    world: ForwardWorld, record: NodeRecord, active_zones: set[str]
) -> bool:
    """Returns whether an idle node follows the active nodes of this zone.

    In an unequal fleet, a zone may have no active node. Its nodes follow one of
    another zone, for otherwise all of them would watch the store.
    """
    if record.phase is not NodePhase.SERVING:
        return False
    if record.zone == world.this_node.zone:
        return True
    return world.fleet.is_unequal and record.zone not in active_zones


def _active_zones(world: ForwardWorld) -> set[str]:
    fleet = world.fleet
    zones = {
        node.record.zone
        for node_id, node in fleet.nodes.items()
        if node_id in fleet.active_node_ids
    }
    if activity.is_active(world):
        zones.add(world.this_node.zone)
    return zones


def _to_message(change: Change) -> EndpointChange:
    if change.item is None or isinstance(change.item, UnreadableItem):
        unreadable = change.item.detail if change.item else ""
        return EndpointChange(change.key, change.revision, None, unreadable)
    entry = change.item
    assert isinstance(entry, EndpointEntry)
    return EndpointChange(change.key, change.revision, entry)


def _to_change(message: EndpointChange) -> Change:
    item = message.entry or (
        UnreadableItem(message.unreadable) if message.unreadable else None
    )
    return Change(message.key, item, message.revision)


class FollowingSystem(TickSystem[ForwardWorld]):
    """Applies the changes that an active node passes on."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        for message in world.inbox.take(EndpointChanges):
            self._on_changes(world, message, now_ns)

    def _on_changes(
        self, world: ForwardWorld, message: EndpointChanges, now_ns: int
    ) -> None:
        if not store_eras.observe(world, message.store_era, "peer", now_ns):
            return
        cache = world.range_caches[Range.ENDPOINTS]
        if cache.stage is not SyncStage.WATCH:
            return
        # With a gap before the changes, this node lags until its own watch or
        # the list of a peer closes it.
        if not message.after_revision <= cache.revision < message.revision:
            return
        world.store.record_peer_recovery(message.recovered_ago_ms, now_ns)
        changes = map(_to_change, message.changes)
        queue_changes(world, cache, changes, message.revision)
