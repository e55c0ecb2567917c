"""Lifecycle: when this node is ready, and how it leaves.

A leaving node is no longer named to clients, but serves on for as long as
they keep an earlier answer. Then it closes what is idle and ends.
"""

from snipesaddle._internal.systems.forwarding import (
    completion,
    fleet,
    presence,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import (
    CloseIdleClients,
    ErrorKind,
    SetReadiness,
    StopProcess,
)
from snipesaddle._internal.tables.forwarding.events import DrainRequested
from snipesaddle._internal.tables.forwarding.fleet import NodePhase
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Range,
    SyncStage,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

# Some clients keep a directory answer for three times its time.
_KEEP_FACTOR = 3
_LEAVE = "leave"
_EXIT = "exit"
NS_PER_S = 1_000_000_000
_CHECK_NS = 100 * NS_PER_MS
_EXIT_MARGIN_NS = 600 * NS_PER_MS


class LifecycleSystem(TickSystem[ForwardWorld]):
    """Moves this node from starting to serving to leaving."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        if world.this_node.phase is NodePhase.STARTING:
            self._maybe_serve(world, now_ns)
        if world.inbox.take(DrainRequested):
            self._leave(world, now_ns)
        for key in world.timers.pop_due(TimerKind.DRAIN, now_ns):
            if key == _LEAVE:
                world.emit(CloseIdleClients())
            self._maybe_exit(world, now_ns)

    def _maybe_serve(self, world: ForwardWorld, now_ns: int) -> None:
        mirror = world.range_caches[Range.ENDPOINTS]
        has_endpoints = mirror.stage is SyncStage.WATCH or world.endpoints
        if world.active_config.version == 0 or not has_endpoints:
            return
        world.this_node.phase = NodePhase.SERVING
        world.presence.stale = True
        presence.retract(world, now_ns)
        fleet.refresh_active(world, now_ns)
        fleet.announce(world)
        world.emit(SetReadiness(True))
        world.log(
            "serving",
            config_version=world.active_config.version,
            endpoints=len(world.endpoints),
        )

    def _leave(self, world: ForwardWorld, now_ns: int) -> None:
        this_node = world.this_node
        if this_node.leave_ns:
            return
        this_node.leave_ns = now_ns
        this_node.phase = NodePhase.LEAVING
        grace_ns = int(world.settings.drain.grace_s * NS_PER_S)
        this_node.exit_by_ns = now_ns + grace_ns - _EXIT_MARGIN_NS
        kept_ns = world.settings.directory.keep_ms * NS_PER_MS * _KEEP_FACTOR
        serve_ns = min(kept_ns + _CHECK_NS, grace_ns - 2 * _EXIT_MARGIN_NS)
        world.timers.set(TimerKind.DRAIN, _LEAVE, now_ns + serve_ns)
        world.emit(SetReadiness(False))
        presence.retract(world, now_ns)
        fleet.announce(world)
        world.log("leaving", open_requests=len(world.requests))

    def _maybe_exit(self, world: ForwardWorld, now_ns: int) -> None:
        this_node = world.this_node
        if this_node.stopping:
            return
        if now_ns >= this_node.exit_by_ns:
            self._give_up_requests(world, now_ns)
        if not world.requests:
            this_node.stopping = True
            world.log("stopping")
            world.emit(StopProcess())
            return
        world.timers.set(TimerKind.DRAIN, _EXIT, now_ns + _CHECK_NS)

    def _give_up_requests(self, world: ForwardWorld, now_ns: int) -> None:
        for request in list(world.requests.values()):
            if request.origin is None:
                world.emit(
                    completion.build_error(world, request, ErrorKind.TIMEOUT)
                )
            completion.finish(world, request, now_ns)
