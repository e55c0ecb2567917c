"""Relays: passes an execution on to the incarnation that owns its key."""

import dataclasses

from snipesaddle._internal.systems import membership, tickets
from snipesaddle._internal.systems.base import NS_PER_MS, System
from snipesaddle._internal.tables.commands import AnswerExecution, SendPeer
from snipesaddle._internal.tables.executions import (
    ClaimOwner,
    ExecuteRequest,
    ExecutionAnswer,
    Outcome,
    Relay,
)
from snipesaddle._internal.tables.messages import (
    HeirRequest,
    HeirRumour,
    NotOwner,
    RelayedAnswer,
    RelayedExecution,
)
from snipesaddle._internal.tables.nodes import (
    DrainPhase,
    NodeState,
    Peer,
)
from snipesaddle._internal.tables.timers import TimerKind
from snipesaddle._internal.tables.world import World

_RESEND_NS = 100 * NS_PER_MS
_MAX_ASKED = 10_000
_GONE = "the node that owns the key is gone or does not answer"


def current_owner(world: World, incarnation: str) -> str:
    """Follows handovers from an incarnation to the present owner."""
    seen = set()
    while incarnation in world.heirs and incarnation not in seen:
        seen.add(incarnation)
        incarnation = world.heirs[incarnation]
    return incarnation


def send(
    world: World, request: ExecuteRequest, owner: str, now_ns: int
) -> None:
    """Relays a request to the owner of its key and waits for the answer."""
    _relay(world, request, ClaimOwner(owner, ""), now_ns)


def send_claimed(
    world: World, request: ExecuteRequest, owner: ClaimOwner, now_ns: int
) -> None:
    """Relays a request whose idempotency key another node claimed."""
    _relay(world, request, owner, now_ns)


def _relay(
    world: World, request: ExecuteRequest, owner: ClaimOwner, now_ns: int
) -> None:
    if request.reply_to:
        refuse(world, request)
        return
    wait_ms = min(
        request.deadline_ms, world.settings.executions.relay_timeout_ms
    )
    due_ns = now_ns + wait_ms * NS_PER_MS
    relay = Relay(request, owner.incarnation, owner.claim_id, due_ns)
    world.relays.put(request.request_id, relay)
    _try_send(world, relay, now_ns)


def refuse(world: World, request: ExecuteRequest) -> None:
    """Tells the peer that relayed a request who owns its key, if known."""
    heir = current_owner(world, request.owner)
    known = heir if heir != request.owner else ""
    message = NotOwner(request.request_id, known)
    world.emit(SendPeer(request.reply_to, message))


def _try_send(world: World, relay: Relay, now_ns: int) -> None:
    request = relay.request
    target = current_owner(world, relay.owner)
    peer = _find_peer(world, target)
    if peer is None or peer.state is not NodeState.SERVING:
        # A leaving node may have handed its keys over since.
        _ask_for_heir(world, target, now_ns)
    if peer is not None:
        passed = dataclasses.replace(
            request,
            reply_to=world.this_node.peer_address,
            owner=relay.owner,
            claim_id=relay.claim_id,
        )
        world.emit(SendPeer(peer.peer_address, RelayedExecution(passed)))
    due_ns = min(relay.due_ns, now_ns + _RESEND_NS)
    world.timers.set(TimerKind.RELAY, request.request_id, due_ns)


def _find_peer(world: World, incarnation: str) -> Peer | None:
    peer = world.peers.get(tickets.node_of(incarnation))
    if peer is None or peer.incarnation != incarnation:
        return None
    return peer


def _ask_for_heir(world: World, space: str, now_ns: int) -> None:
    asked_ns = world.heir_requested_ns.get(space)
    if asked_ns is not None and now_ns - asked_ns < _RESEND_NS:
        return
    if len(world.heir_requested_ns) >= _MAX_ASKED:
        world.heir_requested_ns.clear()
    world.heir_requested_ns[space] = now_ns
    membership.flood(world, HeirRequest(space, world.this_node.peer_address))


def _give_up(world: World, request_id: str) -> None:
    world.relays.remove(request_id)
    reply = ExecutionAnswer(Outcome.UNKNOWN, detail=_GONE)
    world.emit(AnswerExecution(request_id, reply))


class RelaysSystem(System):
    """Resends relayed executions and passes their answers back."""

    def run(self, world: World, now_ns: int) -> None:
        for question in world.inbox.take(HeirRequest):
            self._answer_heir(world, question)
        for rumour in world.inbox.take(HeirRumour):
            self._learn_heir(world, rumour)
        for refused in world.inbox.take(NotOwner):
            self._apply_refusal(world, refused, now_ns)
        for answered in world.inbox.take(RelayedAnswer):
            if world.relays.remove(answered.request_id) is not None:
                world.emit(
                    AnswerExecution(answered.request_id, answered.answer)
                )
        for key in world.timers.pop_due(TimerKind.RELAY, now_ns):
            relay = world.relays.get(str(key))
            if relay is not None:
                self._continue(world, relay, now_ns)

    def _continue(self, world: World, relay: Relay, now_ns: int) -> None:
        if now_ns >= relay.due_ns:
            _give_up(world, relay.request.request_id)
        else:
            _try_send(world, relay, now_ns)

    def _learn_heir(self, world: World, rumour: HeirRumour) -> None:
        for space in rumour.spaces:
            if space not in world.owned_key_spaces:
                world.heirs[space] = rumour.heir

    def _answer_heir(self, world: World, question: HeirRequest) -> None:
        space = question.space
        heir = current_owner(world, space)
        if (
            space in world.owned_key_spaces
            and world.this_node.phase is DrainPhase.NONE
        ):
            heir = world.this_node.incarnation
        if heir != space:
            rumour = HeirRumour((space,), heir)
            world.emit(SendPeer(question.reply_address, rumour))

    def _apply_refusal(
        self, world: World, refused: NotOwner, now_ns: int
    ) -> None:
        relay = world.relays.get(refused.request_id)
        if relay is None:
            return
        if not refused.heir:
            return
        world.heirs[current_owner(world, relay.owner)] = refused.heir
        _try_send(world, relay, now_ns)
