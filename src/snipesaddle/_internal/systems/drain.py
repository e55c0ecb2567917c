"""Drain: takes a node out of service without dropping requests.

The node leaves the directory, keeps serving while callers may still use a
cached directory answer, finishes its open requests, hands its execution keys
over to one other node (the heir), and stops.
"""

from snipesaddle._internal.systems import execution_rows, membership, tickets
from snipesaddle._internal.systems.base import NS_PER_MS, System
from snipesaddle._internal.tables.commands import (
    SendPeer,
    StopFrontend,
    StopNode,
)
from snipesaddle._internal.tables.events import (
    DrainRequested,
    OpenRequestsReported,
)
from snipesaddle._internal.tables.executions import (
    Execution,
    ExecutionAnswer,
    ExecutionState,
    Outcome,
)
from snipesaddle._internal.tables.messages import (
    HandedExecution,
    Handover,
    HandoverReply,
    HeirRumour,
)
from snipesaddle._internal.tables.nodes import DrainPhase, NodeState, Peer
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

_CHECK_INTERVAL_NS = 50 * NS_PER_MS
_RESEND_INTERVAL_NS = 100 * NS_PER_MS
_LEFT_WHILE_RUNNING = "the node that ran it left before the leaf answered"
_LEFT_BEFORE_START = "the node that was to run it left before it was started"


class DrainSystem(System):
    """Drains this node, and takes over the keys of other draining nodes."""

    def run(self, world: World, now_ns: int) -> None:
        for report in world.inbox.take(OpenRequestsReported):
            world.this_node.open_requests = report.count
        for offer in world.inbox.take(Handover):
            self._take_over(world, offer, now_ns)
        self._announce_inherited(world)
        if world.inbox.take(DrainRequested):
            self._begin(world, now_ns)
        for reply in world.inbox.take(HandoverReply):
            self._apply_reply(world, reply, now_ns)
        if world.timers.pop_due(TimerKind.DRAIN, now_ns):
            self._advance(world, now_ns)

    def _announce_inherited(self, world: World) -> None:
        inherited = tuple(
            sorted(world.owned_key_spaces - {world.this_node.incarnation})
        )
        joined_peer_ids, world.joined_peer_ids = world.joined_peer_ids, []
        if not inherited:
            return
        rumour = HeirRumour(inherited, world.this_node.incarnation)
        for node_id in joined_peer_ids:
            peer = world.peers.get(node_id)
            if peer is not None:
                world.emit(SendPeer(peer.peer_address, rumour))

    def _begin(self, world: World, now_ns: int) -> None:
        if world.this_node.phase is not DrainPhase.NONE:
            return
        world.this_node.state = NodeState.LEAVING
        world.this_node.phase = DrainPhase.SERVING_OUT
        membership.announce(world)
        settings = world.settings
        margin_ms = 2 * settings.membership.heartbeat_interval_ms
        keep_ms = settings.directory.keep_ms + margin_ms
        world.this_node.phase_due_ns = now_ns + keep_ms * NS_PER_MS
        world.timers.set(TimerKind.DRAIN, "phase", world.this_node.phase_due_ns)

    def _advance(self, world: World, now_ns: int) -> None:
        phase = world.this_node.phase
        if phase is DrainPhase.SERVING_OUT:
            self._stop_frontend(world, now_ns)
        elif phase is DrainPhase.FINISHING:
            self._finish(world, now_ns)
        elif phase is DrainPhase.HANDING_OVER:
            self._offer_handover(world, now_ns)

    def _stop_frontend(self, world: World, now_ns: int) -> None:
        world.emit(StopFrontend())
        world.this_node.phase = DrainPhase.FINISHING
        finish_ms = world.settings.drain.finish_timeout_ms
        world.this_node.phase_due_ns = now_ns + finish_ms * NS_PER_MS
        world.timers.set(TimerKind.DRAIN, "phase", now_ns + _CHECK_INTERVAL_NS)

    def _finish(self, world: World, now_ns: int) -> None:
        busy = world.this_node.open_requests or len(world.queries)
        busy = busy or len(world.running_executions) or len(world.relays)
        busy = busy or len(world.waiting_executions)
        if busy and now_ns < world.this_node.phase_due_ns:
            world.timers.set(
                TimerKind.DRAIN, "phase", now_ns + _CHECK_INTERVAL_NS
            )
            return
        world.this_node.phase = DrainPhase.HANDING_OVER
        handover_ms = world.settings.drain.handover_timeout_ms
        world.this_node.phase_due_ns = now_ns + handover_ms * NS_PER_MS
        self._offer_handover(world, now_ns)

    def _offer_handover(self, world: World, now_ns: int) -> None:
        heir = self._choose_heir(world)
        if heir is None or now_ns >= world.this_node.phase_due_ns:
            self._stop(world)
            return
        world.this_node.heir = heir.incarnation
        offer = Handover(
            sender=world.this_node.incarnation,
            reply_address=world.this_node.peer_address,
            spaces_ms={
                space: tickets.remaining_life_ms(world, space, now_ns)
                for space in sorted(world.owned_key_spaces)
            },
            executions=tuple(_end_executions(world)),
        )
        world.emit(SendPeer(heir.peer_address, offer))
        world.timers.set(TimerKind.DRAIN, "phase", now_ns + _RESEND_INTERVAL_NS)

    def _choose_heir(self, world: World) -> Peer | None:
        # An offer may have been accepted even if its reply was lost, so no
        # other node may become the heir until the chosen one refuses.
        if world.this_node.heir:
            for peer in world.peers:
                if peer.incarnation == world.this_node.heir:
                    return peer
            return None
        serving = [
            peer
            for peer in membership.live_peers(world)
            if peer.state is NodeState.SERVING
        ]
        declined = world.declined_heirs
        candidates = [p for p in serving if p.incarnation not in declined]
        return world.rng.choice(candidates) if candidates else None

    def _apply_reply(
        self, world: World, reply: HandoverReply, now_ns: int
    ) -> None:
        if reply.heir != world.this_node.heir:
            return
        if reply.accepted:
            self._stop(world)
            return
        world.declined_heirs.add(reply.heir)
        world.this_node.heir = ""
        self._offer_handover(world, now_ns)

    def _stop(self, world: World) -> None:
        if world.this_node.phase is DrainPhase.DONE:
            return
        world.this_node.phase = DrainPhase.DONE
        world.this_node.state = NodeState.STOPPED
        membership.announce(world)
        world.emit(StopNode())

    def _take_over(self, world: World, offer: Handover, now_ns: int) -> None:
        this_node = world.this_node
        already_accepted = world.accepted_key_spaces.issuperset(offer.spaces_ms)
        accepted = already_accepted or this_node.state is NodeState.SERVING
        reply = HandoverReply(this_node.incarnation, accepted)
        world.emit(SendPeer(offer.reply_address, reply))
        if already_accepted or not accepted:
            return
        for handed in offer.executions:
            _take_execution(world, handed, now_ns)
        for space, life_ms in offer.spaces_ms.items():
            world.accepted_key_spaces.add(space)
            world.owned_key_spaces.add(space)
            world.key_space_expires_ns[space] = now_ns + life_ms * NS_PER_MS
            world.heirs.pop(space, None)
        rumour = HeirRumour(tuple(offer.spaces_ms), this_node.incarnation)
        membership.flood(world, rumour)


def _end_executions(world: World) -> list[HandedExecution]:
    handed = []
    for row in world.executions:
        reply = row.answer
        if row.state is ExecutionState.RUNNING:
            reply = ExecutionAnswer(Outcome.UNKNOWN, detail=_LEFT_WHILE_RUNNING)
        if row.state is ExecutionState.READY:
            reply = ExecutionAnswer(Outcome.NOT_RUN, detail=_LEFT_BEFORE_START)
        if reply is not None:
            row.state = ExecutionState.ENDED
            row.answer = reply
            handed.append(
                HandedExecution(
                    row.key,
                    row.service,
                    row.fingerprint,
                    row.incarnation,
                    row.is_ticket,
                    reply,
                )
            )
    return handed


def _take_execution(world: World, handed: HandedExecution, now_ns: int) -> None:
    row = world.executions.get(handed.key)
    if row is None:
        row = world.executions.put(handed.key, _ended_row(handed, now_ns))
    if row.state is not ExecutionState.ENDED or row.answer is handed.answer:
        execution_rows.finish(world, row, handed.answer, now_ns)


def _ended_row(handed: HandedExecution, now_ns: int) -> Execution:
    return Execution(
        key=handed.key,
        service=handed.service,
        fingerprint=handed.fingerprint,
        body=None,
        tenant="",
        state=ExecutionState.ENDED,
        deadline_ns=now_ns,
        incarnation=handed.incarnation,
        answer=handed.answer,
        is_ticket=handed.is_ticket,
    )
