"""Evacuations: stops the use of the endpoints of whole availability zones.

The store holds a key for each zone that is to be evacuated, in the range of the
configuration, so the same watch delivers it. Heartbeats tell idle nodes, which
do not watch. What is known as of a later revision of the store counts.
"""

from snipesaddle._internal.systems.forwarding import connections
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.evacuations import ZoneEvacuation
from snipesaddle._internal.tables.forwarding.fleet import NodeRecord
from snipesaddle._internal.tables.forwarding.store_ranges import Range
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

_HOLD_NS = 10_000 * NS_PER_MS


def record_peer(world: ForwardWorld, record: NodeRecord) -> None:
    """Takes over what another node knows, if it is newer."""
    if record.evacuations_revision > world.evacuations.revision:
        zones = frozenset(record.evacuated_zones)
        _set(world, zones, record.evacuations_revision, record.node_id)


def note_restore(world: ForwardWorld, now_ns: int) -> None:
    """Holds the evacuated zones, which the restored store may lack."""
    known = world.evacuations
    known.held = known.zones
    known.revision = 0
    world.timers.set(TimerKind.EVACUATION_HOLD, "hold", now_ns + _HOLD_NS)


class EvacuationsSystem(TickSystem[ForwardWorld]):
    """Applies the evacuations that the store delivers."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        known = world.evacuations
        if world.timers.pop_due(TimerKind.EVACUATION_HOLD, now_ns):
            known.held = frozenset()
            _set(world, known.stored, known.revision, "end of hold")
        cache = world.range_caches[Range.CONFIG]
        zones = known.stored
        revision = known.revision
        listed = world.listed_ranges.pop(Range.CONFIG, None)
        if listed is not None and cache.first_page_revision >= revision:
            zones = frozenset(
                item.zone
                for item in listed.values()
                if isinstance(item, ZoneEvacuation)
            )
            revision = cache.first_page_revision
        changes = world.range_changes[Range.CONFIG]
        if changes:
            world.range_changes[Range.CONFIG] = []
        for change in changes:
            if change.revision <= revision:
                continue
            known.held -= {change.key}
            if isinstance(change.item, ZoneEvacuation):
                zones |= {change.item.zone}
            else:
                zones -= {change.key}
        if listed is not None or changes:
            _set(world, zones, max(revision, cache.revision), "store")


def _set(
    world: ForwardWorld, stored: frozenset[str], revision: int, source: str
) -> None:
    known = world.evacuations
    known.revision = revision
    known.stored = stored
    zones = stored | known.held
    if zones == known.zones:
        return
    known.zones = zones
    for endpoint in world.endpoints.values():
        endpoint.evacuated = endpoint.entry.zone in zones
        if endpoint.evacuated:
            connections.close_idle(world, endpoint)
        # Parts may wait for a connection to it, also in vain from now on.
        world.freed_services[endpoint.entry.service] = None
    world.log(
        "zones_evacuated", zones=sorted(zones), revision=revision, source=source
    )
