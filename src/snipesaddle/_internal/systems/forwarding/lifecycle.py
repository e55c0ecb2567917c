"""Lifecycle: when this node becomes ready, and how it shuts down.

A leaving node is no longer listed by the directory but keeps serving for as
long as clients use an earlier directory answer. Then it closes the idle
client connections, and exits when its requests have ended or the grace period
is nearly over.
"""

from snipesaddle._internal.systems.forwarding import (
    activity,
    heartbeats,
    presence,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, NS_PER_S, TickSystem
from snipesaddle._internal.tables.forwarding.commands import (
    CloseIdleClients,
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

# Some clients use a directory answer for three times its lifetime.
_DIRECTORY_USE_FACTOR = 3
_LEAVE = "leave"
_EXIT = "exit"
_EXIT_CHECK_INTERVAL_NS = 100 * NS_PER_MS
# The process exits this long before its grace period ends.
_EXIT_MARGIN_NS = 600 * NS_PER_MS


class LifecycleSystem(TickSystem[ForwardWorld]):
    """Moves this node from starting to serving to leaving."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        if world.this_node.phase is NodePhase.STARTING:
            self._serve_if_ready(world, now_ns)
        if world.inbox.take(DrainRequested):
            self._start_leaving(world, now_ns)
        for key in world.timers.pop_due(TimerKind.DRAIN, now_ns):
            if key == _LEAVE:
                world.emit(CloseIdleClients())
            self._exit_if_finished(world, now_ns)

    def _serve_if_ready(self, world: ForwardWorld, now_ns: int) -> None:
        cache = world.range_caches[Range.ENDPOINTS]
        has_endpoints = cache.stage is SyncStage.WATCH or world.endpoints
        if world.active_config.version == 0 or not has_endpoints:
            return
        if not world.fleet.has_shares:
            return
        world.this_node.phase = NodePhase.SERVING
        world.presence.stale = True
        presence.update_now(world, now_ns)
        activity.refresh_active(world, now_ns)
        heartbeats.announce(world, now_ns)
        world.emit(SetReadiness(True))
        world.log(
            "serving",
            config_version=world.active_config.version,
            endpoints=len(world.endpoints),
        )

    def _start_leaving(self, world: ForwardWorld, now_ns: int) -> None:
        this_node = world.this_node
        if this_node.leave_requested_ns:
            return
        this_node.leave_requested_ns = now_ns
        this_node.phase = NodePhase.LEAVING
        grace_ns = int(world.settings.drain.grace_s * NS_PER_S)
        this_node.exit_deadline_ns = now_ns + grace_ns - _EXIT_MARGIN_NS
        directory_use_ns = (
            world.settings.directory.keep_ms * NS_PER_MS * _DIRECTORY_USE_FACTOR
        )
        serve_ns = min(
            directory_use_ns + _EXIT_CHECK_INTERVAL_NS,
            grace_ns - 2 * _EXIT_MARGIN_NS,
        )
        world.timers.set(TimerKind.DRAIN, _LEAVE, now_ns + serve_ns)
        world.emit(SetReadiness(False))
        world.presence.stale = True
        presence.update_now(world, now_ns)
        heartbeats.announce(world, now_ns)
        world.log("leaving", open_requests=len(world.requests))

    def _exit_if_finished(self, world: ForwardWorld, now_ns: int) -> None:
        this_node = world.this_node
        if this_node.stop_requested:
            return
        if not world.requests and presence.end(world, now_ns):
            this_node.stop_requested = True
            world.log("stopping")
            world.emit(StopProcess())
            return
        next_check_ns = now_ns + _EXIT_CHECK_INTERVAL_NS
        if now_ns >= this_node.exit_deadline_ns:
            self._end_requests(world, now_ns)
            next_check_ns = now_ns + NS_PER_MS
        world.timers.set(TimerKind.DRAIN, _EXIT, next_check_ns)

    def _end_requests(self, world: ForwardWorld, now_ns: int) -> None:
        """Makes the answers due, with the parts that are in by now."""
        for request in world.requests.values():
            request.deadline_ns = min(request.deadline_ns, now_ns)
            request.soft_deadline_ns = min(request.soft_deadline_ns, now_ns)
            world.dirty_requests[request.request_id] = None
