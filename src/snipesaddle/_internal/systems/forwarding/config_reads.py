"""Config reads: reads of the configuration's key that prove its age.

A read is linearizable, so what it returns was in the store at its start or
later. A watch proves nothing: a store can withhold changes before it drops its
history.
"""

from snipesaddle._internal.systems.forwarding import containment, store_eras
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import ReadConfig
from snipesaddle._internal.tables.forwarding.events import (
    ConfigRead,
    ConfigReadFailed,
)
from snipesaddle._internal.tables.forwarding.freshness import (
    ConfigProof,
    ProofSource,
)
from snipesaddle._internal.tables.forwarding.routes import RouteConfig
from snipesaddle._internal.tables.forwarding.store_ranges import UnreadableItem
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

_MAX_READS = 4
# A slow store takes 0.6 s for an answer.
_MAX_TIMEOUT_MS = 1_000
# A read that has not ended by then does not hold up others.
_MAX_READ_NS = 2 * _MAX_TIMEOUT_MS * NS_PER_MS


def start(world: ForwardWorld, now_ns: int) -> None:
    """Starts a read, unless many are in flight.

    The ones in flight go on: a store that is slower than the time between two
    reads would otherwise never prove anything.
    """
    state = world.freshness
    for read_id, started_ns in list(state.reads.items()):
        if now_ns - started_ns > _MAX_READ_NS:
            del state.reads[read_id]
    # Also when it is left out: the next one is due some time later.
    state.last_read_ns = now_ns
    if len(state.reads) >= _MAX_READS:
        return
    state.last_read += 1
    state.reads[state.last_read] = now_ns
    world.counters.store_calls += 1
    world.counters.config_reads += 1
    timeout_ms = min(world.settings.store.call_timeout_ms, _MAX_TIMEOUT_MS)
    world.emit(ReadConfig(state.last_read, timeout_ms))


class ConfigReadsSystem(TickSystem[ForwardWorld]):
    """Passes on what reads return: the configuration, and the proof."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        take = world.inbox.take
        containment.run_each(world, take(ConfigRead), self._on_read, now_ns)
        containment.run_each(
            world, take(ConfigReadFailed), self._on_failure, now_ns
        )

    def _on_read(
        self, world: ForwardWorld, event: ConfigRead, now_ns: int
    ) -> None:
        started_ns = world.freshness.reads.pop(event.read_id, None)
        if started_ns is None:
            return
        world.freshness.read_took_ns = now_ns - started_ns
        if not store_eras.observe(world, event.era, "config read", now_ns):
            return
        item = event.item
        if isinstance(item, RouteConfig):
            world.received_configs.append(item)
            world.freshness.new_proofs.append(
                ConfigProof(item.version, started_ns, ProofSource.READ)
            )
        elif isinstance(item, UnreadableItem):
            world.log("item_unreadable", key="config", detail=item.detail)

    def _on_failure(
        self, world: ForwardWorld, event: ConfigReadFailed, now_ns: int
    ) -> None:
        started_ns = world.freshness.reads.pop(event.read_id, None)
        if started_ns is None:
            return
        world.counters.store_failures += 1
        world.log(
            "config_read_failed",
            waited_ms=(now_ns - started_ns) // NS_PER_MS,
            detail=event.detail,
        )
