"""Quota questions: asks the owner of a quota, and answers as the owner.

A question costs one round trip between nodes. A reply that is overdue does not
hold up its request for long: the node's own share may decide. Where that has no
room, a late reply is awaited a little longer, since the owner may be busy. An
owner that has not replied by then gets one question at a time.
"""

from snipesaddle._internal.systems.forwarding import (
    completion,
    earlier_runs,
    quota_buckets,
    quota_charges,
    quota_decisions,
    quota_owners,
    refusals,
    starting,
)
from snipesaddle._internal.systems.forwarding.load_balancing import (
    EndpointChooser,
)
from snipesaddle._internal.systems.forwarding.refusals import (
    Refusal,
    not_run,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, NS_PER_S
from snipesaddle._internal.tables.forwarding.commands import SendToNode
from snipesaddle._internal.tables.forwarding.messages import (
    QuotaAsk,
    QuotaReply,
)
from snipesaddle._internal.tables.forwarding.quotas import (
    Question,
    QuestionStage,
    QuotaCharge,
    QuotaSource,
)
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.tenants import Tenant
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

_REPLY_TIMEOUT_NS = 15 * NS_PER_MS
# A tick that is later than this shows that this node was busy; the reply may
# be among what it reads in the next moment.
_LATE_TICK_NS = 3 * NS_PER_MS
_LATE_TICK_GRACE_NS = 2 * NS_PER_MS
# A busy node may take this long to reply.
_SILENT_AFTER_NS = 100 * NS_PER_MS
# An owner that has not replied gets no questions for this time.
_SILENCE_NS = 300 * NS_PER_MS
# A token of a reply that is later than this is lost.
_FORGET_AFTER_NS = 1 * NS_PER_S


def may_ask(world: ForwardWorld, peer_address: str, now_ns: int) -> bool:
    """Returns whether an owner may be asked now."""
    peer = world.quotas.owner_peer(peer_address)
    if now_ns < peer.no_questions_until_ns:
        return False
    if peer.is_silent:
        peer.no_questions_until_ns = now_ns + _SILENT_AFTER_NS
    return True


def silence_left_ns(world: ForwardWorld, peer_address: str, now_ns: int) -> int:
    """Returns how long until an owner is asked again."""
    peer = world.quotas.owner_peer(peer_address)
    return max(1, peer.no_questions_until_ns - now_ns)


def ask(
    world: ForwardWorld,
    request: Request,
    tenant: Tenant,
    peer_address: str,
    now_ns: int,
) -> None:
    """Asks an owner, and holds the request until the decision."""
    world.add_request(request)
    question = Question(
        world.next_id(), request.request_id, tenant.name, peer_address, now_ns
    )
    _send_question(world, question, now_ns)


def on_ask(world: ForwardWorld, asked: QuotaAsk, now_ns: int) -> None:
    """Answers a question of another node."""
    tenant = quota_buckets.limited_tenant(world, asked.tenant)
    wait_ns = None
    if tenant is not None:
        wait_ns = quota_buckets.take_owned_or_wait_ns(world, tenant, now_ns)
    if wait_ns is None:
        owner_address = _owner_address(world, asked, now_ns)
        reply = QuotaReply(
            asked.ask_id, False, is_owner=False, owner_address=owner_address
        )
    else:
        world.counters.quota_grants += not wait_ns
        reply = QuotaReply(
            asked.ask_id,
            not wait_ns,
            wait_ns / NS_PER_MS,
            is_partial=not quota_decisions.grants_whole_limit(world, now_ns),
        )
    world.emit(SendToNode(asked.reply_address, reply, resend=True))


class QuestionHandler:
    """Starts or refuses held requests by replies, or without them."""

    def __init__(self, chooser: EndpointChooser) -> None:
        self._chooser = chooser

    def on_reply(
        self, world: ForwardWorld, reply: QuotaReply, now_ns: int
    ) -> None:
        """Decides on the request that waits for a reply."""
        if earlier_runs.has_asked(world, reply.ask_id):
            earlier_runs.record_reply(world, reply)
            return
        question = world.quotas.questions.pop(reply.ask_id, None)
        if question is None:
            return
        world.timers.cancel(TimerKind.QUOTA_REPLY, question.ask_id)
        peer = world.quotas.owner_peer(question.peer_address)
        peer.is_silent = False
        peer.no_questions_until_ns = 0
        request = _held_request(world, question)
        if reply.granted:
            self._on_grant(world, question, request, now_ns)
            return
        if reply.is_owner:
            wait_ns = int(reply.wait_ms * NS_PER_MS)
            known = world.quotas.refusals_of(question.tenant)
            known.no_room_until_ns = now_ns + wait_ns
        if request is None or request.tenant is None:
            return
        if reply.is_owner and not reply.is_partial:
            refusal = quota_decisions.over_quota(
                world, request.tenant, wait_ns, now_ns
            )
            _refuse(world, request, refusal)
        elif reply.is_owner:
            self._decide_alone(world, request, request.tenant, wait_ns, now_ns)
        elif reply.owner_address and not question.is_forwarded:
            _ask_instead(world, question, reply.owner_address, now_ns)
        else:
            self._decide_alone(
                world, request, request.tenant, _SILENCE_NS, now_ns
            )

    def on_timer(self, world: ForwardWorld, ask_id: int, now_ns: int) -> None:
        """Handles a question that has no reply yet."""
        question = world.quotas.questions.get(ask_id)
        if question is None:
            return
        waited_ns = now_ns - question.asked_ns
        if question.stage is QuestionStage.SILENT:
            del world.quotas.questions[ask_id]
        elif waited_ns >= _SILENT_AFTER_NS and question.stage in (
            QuestionStage.LATE_TICK,
            QuestionStage.OVERDUE,
        ):
            self._on_silent(world, question, now_ns)
        elif (
            question.stage is QuestionStage.ASKED
            and waited_ns >= _REPLY_TIMEOUT_NS + _LATE_TICK_NS
        ):
            question.stage = QuestionStage.LATE_TICK
            due_ns = now_ns + _LATE_TICK_GRACE_NS
            world.timers.set(TimerKind.QUOTA_REPLY, ask_id, due_ns)
        else:
            self._on_overdue(world, question, now_ns)

    def _on_grant(
        self,
        world: ForwardWorld,
        question: Question,
        request: Request | None,
        now_ns: int,
    ) -> None:
        if request is None:
            quota_charges.return_unused(
                world, question.tenant, question.peer_address
            )
            return
        request.quota_charge = QuotaCharge(
            question.tenant, QuotaSource.OTHER_NODE, question.peer_address
        )
        self._start(world, request, now_ns)

    def _on_overdue(
        self, world: ForwardWorld, question: Question, now_ns: int
    ) -> None:
        question.stage = QuestionStage.OVERDUE
        world.counters.quota_overdue_replies += 1
        due_ns = question.asked_ns + _SILENT_AFTER_NS
        request = _held_request(world, question)
        if request is not None and request.tenant is not None:
            has_time = now_ns < request.deadline_ns
            if has_time and quota_decisions.charge_own_share_or_wait_ns(
                world, request, request.tenant, now_ns
            ):
                due_ns = min(due_ns, request.deadline_ns)
            else:
                question.is_decided = True
                self._start(world, request, now_ns)
        due_ns = max(due_ns, now_ns + 1)
        world.timers.set(TimerKind.QUOTA_REPLY, question.ask_id, due_ns)

    def _on_silent(
        self, world: ForwardWorld, question: Question, now_ns: int
    ) -> None:
        question.stage = QuestionStage.SILENT
        due_ns = max(question.asked_ns + _FORGET_AFTER_NS, now_ns + 1)
        world.timers.set(TimerKind.QUOTA_REPLY, question.ask_id, due_ns)
        peer = world.quotas.owner_peer(question.peer_address)
        if not peer.is_silent:
            world.log(
                "quota_owner_silent",
                peer_address=question.peer_address,
                tenant=question.tenant,
                waited_ms=(now_ns - question.asked_ns) // NS_PER_MS,
            )
        peer.is_silent = True
        peer.no_questions_until_ns = now_ns + _SILENCE_NS
        request = _held_request(world, question)
        if request is not None and request.tenant is not None:
            question.is_decided = True
            self._decide_alone(
                world, request, request.tenant, _SILENCE_NS, now_ns
            )

    def _decide_alone(
        self,
        world: ForwardWorld,
        request: Request,
        tenant: Tenant,
        max_wait_ns: int,
        now_ns: int,
    ) -> None:
        refusal = quota_decisions.decide_alone(
            world, request, tenant, max_wait_ns, now_ns
        )
        if refusal is not None:
            _refuse(world, request, refusal)
        else:
            self._start(world, request, now_ns)

    def _start(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> None:
        if now_ns >= request.deadline_ns:
            quota_charges.give_back(world, request, now_ns)
            _refuse(world, request, not_run("no time left"))
            return
        try:
            starting.start(world, request, self._chooser, now_ns)
        except Exception:
            completion.fail(world, request.request_id, now_ns)
            raise


def _owner_address(world: ForwardWorld, asked: QuotaAsk, now_ns: int) -> str:
    found = quota_owners.candidates(world, now_ns)
    owner_id = quota_owners.owner_of(found, asked.tenant)
    return found.addresses[owner_id] if owner_id else ""


def _send_question(
    world: ForwardWorld, question: Question, now_ns: int
) -> None:
    world.counters.quota_asks += 1
    world.quotas.questions[question.ask_id] = question
    message = QuotaAsk(
        question.ask_id, world.this_node.peer_address, question.tenant
    )
    world.emit(SendToNode(question.peer_address, message, resend=True))
    due_ns = now_ns + _REPLY_TIMEOUT_NS
    world.timers.set(TimerKind.QUOTA_REPLY, question.ask_id, due_ns)


def _ask_instead(
    world: ForwardWorld, question: Question, peer_address: str, now_ns: int
) -> None:
    """Asks the node that another one has named as the owner."""
    forwarded = Question(
        world.next_id(),
        question.request_id,
        question.tenant,
        peer_address,
        now_ns,
        is_forwarded=True,
    )
    _send_question(world, forwarded, now_ns)


def _held_request(world: ForwardWorld, question: Question) -> Request | None:
    """Returns the request that waits for a reply; None if it has ended."""
    if question.is_decided:
        return None
    return world.requests.get(question.request_id)


def _refuse(world: ForwardWorld, request: Request, refusal: Refusal) -> None:
    completion.remove_request(world, request, at_once=True)
    refusals.refuse(world, request.arrived, refusal)
