"""Leaf health, from replies, probes and the reports of other nodes.

One serving node, chosen by rendezvous hashing, probes a leaf regularly; a node
that observes a change reports it to the others by gossip.
"""

from snipesaddle._internal.systems import (
    links,
    membership,
    rendezvous,
    tickets,
)
from snipesaddle._internal.systems.base import NS_PER_MS, System, align_to_grid
from snipesaddle._internal.tables.config import LeafSpec, ServiceSpec
from snipesaddle._internal.tables.events import (
    LeafHealth,
    LeafStatus,
    ProbeFinished,
)
from snipesaddle._internal.tables.leaves import Leaf, LeafState
from snipesaddle._internal.tables.messages import LeafRumour
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

# Weight of a new latency in the moving average; rises count more than falls.
_EWMA_WEIGHT = 0.2
_EWMA_WEIGHT_RISING = 0.4
_MAX_EJECTION_DOUBLINGS = 5
_PROBE_RETRY_NS = 50 * NS_PER_MS
# A leaf observed within this fraction of the probe interval needs no probe.
_FRESH_INTERVAL_RATIO = 0.5


def record_latency(leaf: Leaf, latency_ns: int, now_ns: int) -> None:
    """Updates the exponentially weighted moving average of the latency."""
    leaf.latency_updated_ns = now_ns
    if leaf.latency_ns == 0:
        leaf.latency_ns = latency_ns
        return
    weight = _EWMA_WEIGHT
    if latency_ns > leaf.latency_ns:
        weight = _EWMA_WEIGHT_RISING
    leaf.latency_ns += weight * (latency_ns - leaf.latency_ns)


def record_success(leaf: Leaf) -> None:
    """Resets the count of consecutive failures and ends an ejection."""
    leaf.consecutive_failures = 0
    leaf.ejected_until_ns = 0


def record_failure(
    world: World, leaf: Leaf, now_ns: int, *, unreachable: bool = False
) -> None:
    """Counts a failure; consecutive failures eject the leaf.

    This is outlier ejection: the ejection time doubles with each further
    failure, up to a maximum. An unreachable leaf is ejected at once.
    """
    settings = world.settings.leaves
    leaf.consecutive_failures += 1
    if unreachable:
        leaf.consecutive_failures = max(
            leaf.consecutive_failures, settings.eject_after_failures
        )
    excess = leaf.consecutive_failures - settings.eject_after_failures
    if excess < 0:
        return
    doublings = min(excess, _MAX_EJECTION_DOUBLINGS)
    ejection_ns = settings.ejection_ms * NS_PER_MS * 2**doublings
    leaf.ejected_until_ns = now_ns + ejection_ns


def apply_status(
    world: World, leaf: Leaf, status: LeafStatus, now_ns: int
) -> None:
    """Applies the status that a leaf reported in a reply to a call.

    A status does not list the shards of a snapshot, so an unknown snapshot
    makes the leaf due for a probe.
    """
    leaf.queue_length = status.queue_length
    leaf.observed_ns = now_ns
    known = set(leaf.holdings)
    reported = set(status.snapshots)
    dropped = known - reported
    if dropped:
        leaf.holdings = {
            snapshot: holding
            for snapshot, holding in leaf.holdings.items()
            if snapshot in reported
        }
    changed = _set_state(world, leaf, status.state, now_ns)
    if dropped or changed:
        _broadcast_state(world, leaf)
    if reported - known:
        schedule_probe(world, leaf, now_ns)


def schedule_probe(world: World, leaf: Leaf, due_ns: int) -> None:
    """Schedules a probe of a leaf unless one is in flight."""
    if not leaf.probing:
        leaf.probe_wanted = True
        leaf.probe_due_ns = due_ns
        world.timers.set(TimerKind.PROBE, leaf.leaf_id, due_ns)


def _set_state(world: World, leaf: Leaf, state: LeafState, now_ns: int) -> bool:
    if leaf.state is LeafState.REMOVED:
        return False
    drain_is_held = (
        leaf.state is LeafState.DRAINING and now_ns < leaf.drain_hold_until_ns
    )
    # Reports may lag, so none ends a drain before the hold time has passed.
    if drain_is_held and state is not LeafState.DRAINING:
        return False
    if state is LeafState.DRAINING:
        hold_ns = world.settings.leaves.drain_hold_ms * NS_PER_MS
        leaf.drain_hold_until_ns = now_ns + hold_ns
    if leaf.state is state:
        return False
    leaf.state = state
    world.freed_services.add(leaf.service)
    world.leaves.mark_dirty(leaf.leaf_id)
    return True


def _broadcast_state(world: World, leaf: Leaf) -> None:
    leaf.version += 1
    unpin_snapshots(world)
    rumour = LeafRumour(
        origin=world.this_node.incarnation,
        version=leaf.version,
        leaf_id=leaf.leaf_id,
        state=leaf.state,
        holdings=leaf.holdings,
    )
    membership.flood(world, rumour)


def unpin_snapshots(world: World) -> None:
    """Clears the pinned snapshots; the next query chooses again."""
    world.pinned_snapshots.clear()
    world.fully_covered.clear()


class HealthSystem(System):
    """Updates the leaves from the configuration, probes and rumours."""

    def run(self, world: World, now_ns: int) -> None:
        if world.config_changed:
            world.config_changed = False
            self._sync_leaves(world, now_ns)
        for rumour in world.inbox.take(LeafRumour):
            self._apply_rumour(world, rumour, now_ns)
        for probe in world.inbox.take(ProbeFinished):
            self._apply_probe(world, probe, now_ns)
        self._drain_leaving_leaves(world, now_ns)
        for key in world.timers.pop_due(TimerKind.PROBE, now_ns):
            leaf = world.leaves.get(str(key))
            if leaf is not None:
                self._probe(world, leaf, now_ns)

    def _sync_leaves(self, world: World, now_ns: int) -> None:
        declared: set[str] = set()
        for spec in world.config.services.values():
            for leaf_spec in _leaves_of(spec):
                declared.add(leaf_spec.address)
                self._sync_leaf(world, spec, leaf_spec, now_ns)
        for leaf in world.leaves:
            if leaf.leaf_id not in declared:
                self._mark_removed(world, leaf)
        by_service: dict[str, list[Leaf]] = {}
        for leaf in world.leaves:
            if leaf.state is not LeafState.REMOVED:
                by_service.setdefault(leaf.service, []).append(leaf)
        world.leaves_by_service = by_service
        unpin_snapshots(world)

    def _sync_leaf(
        self, world: World, spec: ServiceSpec, leaf_spec: LeafSpec, now_ns: int
    ) -> None:
        owners = world.settings.leaves.owners
        link_limit = max(1, leaf_spec.connection_limit // owners)
        leaf = world.leaves.get(leaf_spec.address)
        if leaf is None or leaf.state is LeafState.REMOVED:
            links.close_idle_links(world, leaf)
            leaf = Leaf(
                leaf_id=leaf_spec.address,
                service=spec.name,
                zone=leaf_spec.zone,
                slots=leaf_spec.slots,
                link_limit=link_limit,
            )
            world.leaves.put(leaf.leaf_id, leaf)
            schedule_probe(world, leaf, now_ns)
            return
        leaf.service = spec.name
        leaf.zone = leaf_spec.zone
        leaf.slots = leaf_spec.slots
        leaf.link_limit = link_limit
        world.leaves.mark_dirty(leaf.leaf_id)

    def _mark_removed(self, world: World, leaf: Leaf) -> None:
        leaf.state = LeafState.REMOVED
        world.leaves.mark_dirty(leaf.leaf_id)

    def _apply_rumour(
        self, world: World, rumour: LeafRumour, now_ns: int
    ) -> None:
        leaf = world.leaves.get(rumour.leaf_id)
        seen_key = (tickets.node_id_of(rumour.origin), rumour.leaf_id)
        seen = world.rumour_versions.get(seen_key, ("", 0))
        received = (rumour.origin, rumour.version)
        if leaf is None or received <= seen:
            return
        world.rumour_versions[seen_key] = received
        _set_state(world, leaf, rumour.state, now_ns)
        leaf.holdings = dict(rumour.holdings)
        leaf.observed_ns = now_ns
        unpin_snapshots(world)
        if len(world.peers) > world.settings.membership.neighbours:
            membership.flood(world, rumour)

    def _apply_probe(
        self, world: World, probe: ProbeFinished, now_ns: int
    ) -> None:
        links.finish_probe(world, probe, now_ns)
        leaf = world.leaves.get(probe.leaf_id)
        if leaf is None:
            return
        leaf.probing = False
        if probe.health is None:
            record_failure(world, leaf, now_ns)
            if leaf.consecutive_failures == 1:
                schedule_probe(world, leaf, now_ns)
            return
        self._apply_health(world, leaf, probe.health, now_ns)

    def _apply_health(
        self, world: World, leaf: Leaf, health: LeafHealth, now_ns: int
    ) -> None:
        first = leaf.observed_ns == 0
        leaf.observed_ns = now_ns
        leaf.queue_length = health.queue_length
        changed = leaf.holdings != health.holdings
        leaf.holdings = health.holdings
        changed = _set_state(world, leaf, health.state, now_ns) or changed
        if first:
            unpin_snapshots(world)
        elif changed:
            _broadcast_state(world, leaf)

    def _drain_leaving_leaves(self, world: World, now_ns: int) -> None:
        for leaf_id in world.leaving_leaves:
            leaf = world.leaves.get(leaf_id)
            if leaf is None:
                continue
            if _set_state(world, leaf, LeafState.DRAINING, now_ns):
                _broadcast_state(world, leaf)

    def _probe(self, world: World, leaf: Leaf, now_ns: int) -> None:
        if leaf.probe_due_ns > now_ns or leaf.state is LeafState.REMOVED:
            return
        interval_ns = world.settings.leaves.probe_interval_ms * NS_PER_MS
        jitter = 0.9 + world.rng.random() / 5
        due_ns = now_ns + int(interval_ns * jitter)
        leaf.probe_due_ns = align_to_grid(due_ns, interval_ns)
        world.timers.set(TimerKind.PROBE, leaf.leaf_id, leaf.probe_due_ns)
        wanted, leaf.probe_wanted = leaf.probe_wanted, False
        is_stale = (
            now_ns - leaf.observed_ns >= interval_ns * _FRESH_INTERVAL_RATIO
        )
        if wanted or (is_stale and self._is_prober(world, leaf)):
            leaf.probing = links.start_probe(world, leaf, now_ns)
            if not leaf.probing and wanted:
                schedule_probe(world, leaf, now_ns + _PROBE_RETRY_NS)

    def _is_prober(self, world: World, leaf: Leaf) -> bool:
        ids = membership.serving_ids(world)
        first = rendezvous.ranked(ids, leaf.leaf_id, 1)
        return not first or first[0] == world.this_node.node_id


def _leaves_of(spec: ServiceSpec) -> list[LeafSpec]:
    return [leaf for leaves in spec.shards.values() for leaf in leaves]
