"""Resends: sends a message again after it has opened the connection.

Messages are not queued for a node that is not connected, so that none reaches a
process that starts later at its address. The first message to a node is lost
for this reason, and only opens the connection.
"""

from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import SendToNode
from snipesaddle._internal.tables.forwarding.events import MessageUnsent
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

_RESEND = "resend"
# A first message opens the connection to its node; by now it is there.
_RESEND_DELAY_NS = 4 * NS_PER_MS
# A message that cannot be sent twice within this time is dropped.
_MIN_RESEND_GAP_NS = 50 * NS_PER_MS


class ResendsSystem(TickSystem[ForwardWorld]):
    """Sends messages to nodes that were not connected once more."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        resends = world.resends
        if world.timers.pop_due(TimerKind.NODE_RESEND, now_ns):
            self._forget_old(world, now_ns)
            waiting, resends.waiting = resends.waiting, []
            for peer_address, message in waiting:
                resends.resent_ns[peer_address] = now_ns
                world.emit(SendToNode(peer_address, message, resend=True))
        for event in world.inbox.take(MessageUnsent):
            if event.peer_address in resends.resent_ns:
                self._forget_old(world, now_ns)
            if event.peer_address in resends.resent_ns:
                continue
            resends.waiting.append((event.peer_address, event.message))
            due_ns = now_ns + _RESEND_DELAY_NS
            world.timers.set(TimerKind.NODE_RESEND, _RESEND, due_ns)

    def _forget_old(self, world: ForwardWorld, now_ns: int) -> None:
        world.resends.resent_ns = {
            peer_address: resent_ns
            for peer_address, resent_ns in world.resends.resent_ns.items()
            if now_ns - resent_ns < _MIN_RESEND_GAP_NS
        }
