"""Restored endpoints: what a restored store may not bring back.

A restored store lists endpoints as they were some seconds ago: ready ones that
have drained or ended since, and runs that a later run has replaced. Such an
entry is set aside. It is used when it is written again, which a change after
the list shows, or when it has stayed listed for so long that somebody must be
renewing its lease.
"""

from collections.abc import Container

from snipesaddle._internal.systems.forwarding import departures
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.endpoints import (
    EndpointEntry,
    KnownEndpoint,
    Registration,
)
from snipesaddle._internal.tables.forwarding.store_ranges import Range
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

# Longer than the leases of endpoints.
_SET_ASIDE_NS = 20_000 * NS_PER_MS


def note_restore(world: ForwardWorld, now_ns: int) -> None:
    """Records what is known of the endpoints, and extends grace periods."""
    known = {
        endpoint_id: KnownEndpoint(endpoint.entry, is_gone=True)
        for endpoint_id, endpoint in world.removed_endpoints.items()
    }
    for endpoint_id, endpoint in world.endpoints.items():
        draining = endpoint.entry.registration is Registration.DRAINING
        known[endpoint_id] = KnownEndpoint(endpoint.entry, is_gone=draining)
    for change in world.range_changes[Range.ENDPOINTS]:
        entry = change.item
        if isinstance(entry, EndpointEntry):
            draining = entry.registration is Registration.DRAINING
            known[change.key] = KnownEndpoint(entry, is_gone=draining)
        elif change.key in known:
            known[change.key] = KnownEndpoint(known[change.key].entry, True)
    world.known_before_restore = known
    world.entries_set_aside.clear()
    world.timers.set(
        TimerKind.RESTORED_ENDPOINTS, "restore", now_ns + _SET_ASIDE_NS
    )
    grace_ns = world.settings.store.grace_ms * NS_PER_MS
    for endpoint_id, endpoint in world.endpoints.items():
        if endpoint.expires_at_ns:
            endpoint.expires_at_ns = now_ns + grace_ns
            world.timers.set(
                TimerKind.ENDPOINT, endpoint_id, endpoint.expires_at_ns
            )


def set_aside(world: ForwardWorld, entry: EndpointEntry) -> bool:
    """Sets a listed entry aside if it is older than what is known.

    Returns:
      Whether it was set aside.
    """
    known = world.known_before_restore.get(entry.endpoint_id)
    if known is None or not _is_outdated(known, entry):
        world.entries_set_aside.pop(entry.endpoint_id, None)
        return False
    if entry.endpoint_id not in world.entries_set_aside:
        world.log(
            "endpoint_set_aside",
            endpoint=entry.endpoint_id,
            service=entry.service,
            registration=entry.registration.value,
            known=known.entry.registration.value,
        )
    world.entries_set_aside[entry.endpoint_id] = entry
    return True


def keep_listed(world: ForwardWorld, listed: Container[str]) -> None:
    """Drops the entries set aside that a later list does not hold."""
    for endpoint_id in list(world.entries_set_aside):
        if endpoint_id not in listed:
            del world.entries_set_aside[endpoint_id]


def note_change(world: ForwardWorld, endpoint_id: str) -> None:
    """Notes that an entry was written or removed after the restore."""
    world.known_before_restore.pop(endpoint_id, None)
    world.entries_set_aside.pop(endpoint_id, None)


def take_due(world: ForwardWorld, now_ns: int) -> list[EndpointEntry]:
    """Returns the entries to be used, as they have stayed listed."""
    if not world.timers.pop_due(TimerKind.RESTORED_ENDPOINTS, now_ns):
        return []
    entries = list(world.entries_set_aside.values())
    world.known_before_restore.clear()
    world.entries_set_aside.clear()
    return entries


def _is_outdated(known: KnownEndpoint, entry: EndpointEntry) -> bool:
    if not departures.is_new_instance(known.entry, entry):
        return known.is_gone and entry.registration is Registration.READY
    return 0 < entry.born_unix_ms < known.entry.born_unix_ms
