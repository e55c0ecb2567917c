"""Config questions: proofs from the node that reads the store.

Each question has a number, and a reply counts as of the time at which its own
question was asked. So a reply that was held up proves no more than it did when
it was sent.
"""

from collections.abc import Sequence

from snipesaddle._internal.systems.forwarding import (
    config_proofs,
    earlier_runs,
    peer_sync,
)
from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.commands import SendToNode
from snipesaddle._internal.tables.forwarding.freshness import (
    ConfigProof,
    ProofSource,
    Question,
)
from snipesaddle._internal.tables.forwarding.messages import (
    NEVER_PROVEN,
    FreshnessAsk,
    FreshnessReply,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# Shares of the longest time for a withdrawn key. The confirming node renews
# its proof before this age, so that the reply brings a new one.
_ASK_SHARE = 0.2
_CONFIRMER_ASK_SHARE = 0.26
# Between two questions, after a reply or without one.
_GAP_SHARE = 0.05
_REPLY_TIMEOUT_SHARE = 0.06
_MAX_REPLY_TIMEOUT_NS = 300 * NS_PER_MS
# How long a node is asked after the others: without a reply, and after one
# that brought no new proof.
_SILENT_SHARE = 0.4
_NO_PROOF_SHARE = 0.06


def due_ns(
    world: ForwardWorld, rank: int, targets: Sequence[str], now_ns: int
) -> int | None:
    """Returns when another node is asked next; None if there is none.

    Args:
      world: the tables.
      rank: how many nodes are to confirm before this one.
      targets: the nodes to ask, the first choice at the front.
      now_ns: the time of the tick.
    """
    if not targets:
        return None
    share = _ASK_SHARE if rank else _CONFIRMER_ASK_SHARE
    age_ns = config_proofs.share_ns(world, share)
    age_due_ns = config_proofs.age_due_ns(world, age_ns, now_ns)
    state = world.freshness
    if state.last_asked_ns is None:
        return age_due_ns
    gap_ns = config_proofs.share_ns(world, _GAP_SHARE)
    if state.last_question in state.questions:
        gap_ns = _reply_timeout_ns(world)
    return max(age_due_ns, state.last_asked_ns + gap_ns)


def ask(world: ForwardWorld, targets: Sequence[str], now_ns: int) -> None:
    """Asks a node for the age of its proof; one that did not reply is last."""
    state = world.freshness
    open_question = state.questions.get(state.last_question)
    if open_question is not None:
        _pass_over(world, open_question.node_id, _SILENT_SHARE, now_ns)
    _drop_old(world, now_ns)
    passed = state.passed_over_until_ns
    node_id = min(targets, key=lambda target: passed.get(target, 0))
    state.last_question += 1
    state.last_asked_ns = now_ns
    state.questions[state.last_question] = Question(node_id, now_ns)
    world.counters.freshness_asks += 1
    message = FreshnessAsk(
        number=state.last_question,
        incarnation=world.this_node.incarnation,
        node_id=world.this_node.node_id,
        reply_address=world.this_node.peer_address,
        config_version=world.active_config.version,
    )
    address = world.fleet.nodes[node_id].record.peer_address
    world.emit(SendToNode(address, message))


def reply(world: ForwardWorld, message: FreshnessAsk, now_ns: int) -> None:
    """Replies to a question, and sends an older node the configuration."""
    proven_ns = world.freshness.proven_ns
    age_ms = NEVER_PROVEN
    if proven_ns is not None:
        age_ms = -(-(now_ns - proven_ns) // NS_PER_MS)
    version = world.active_config.version
    _note_version(world, message.config_version)
    if message.config_version < version:
        # Sent first, so that the reply proves it on arrival.
        peer_sync.share_config(world, message.node_id, now_ns)
    world.emit(
        SendToNode(
            message.reply_address,
            FreshnessReply(
                message.number, message.incarnation, version, age_ms
            ),
        )
    )


def answered_question(
    world: ForwardWorld, message: FreshnessReply
) -> Question | None:
    """Removes and returns the question of a reply.

    None for a duplicate, and for a reply to an earlier run of this node, which
    may have used the same number.
    """
    if message.incarnation != world.this_node.incarnation:
        earlier_runs.record_reply(world, message)
        return None
    question = world.freshness.questions.pop(message.number, None)
    if question is not None:
        world.counters.freshness_replies += 1
        _note_version(world, message.config_version)
    return question


def proof_of(question: Question, message: FreshnessReply) -> ConfigProof | None:
    """Returns what the reply to a question proves."""
    if message.age_ms < 0:
        return None
    as_of_ns = question.asked_ns - message.age_ms * NS_PER_MS
    return ConfigProof(message.config_version, as_of_ns, ProofSource.PEER)


def pass_over_if_useless(
    world: ForwardWorld, node_id: str, now_ns: int
) -> None:
    """Asks another node next, if a reply has brought no proof that is new."""
    age_ns = config_proofs.share_ns(world, _ASK_SHARE)
    if config_proofs.is_older(world, age_ns, now_ns):
        _pass_over(world, node_id, _NO_PROOF_SHARE, now_ns)


def _note_version(world: ForwardWorld, version: int) -> None:
    fleet = world.fleet
    fleet.config_version = max(fleet.config_version, version)


def _pass_over(
    world: ForwardWorld, node_id: str, share: float, now_ns: int
) -> None:
    passed = world.freshness.passed_over_until_ns
    until_ns = now_ns + config_proofs.share_ns(world, share)
    passed[node_id] = max(passed.get(node_id, 0), until_ns)


def _drop_old(world: ForwardWorld, now_ns: int) -> None:
    """Drops questions whose replies would prove nothing any more."""
    state = world.freshness
    max_age_ns = config_proofs.max_age_ns(world)
    state.questions = {
        number: question
        for number, question in state.questions.items()
        if now_ns - question.asked_ns <= max_age_ns
    }
    state.passed_over_until_ns = {
        node_id: until_ns
        for node_id, until_ns in state.passed_over_until_ns.items()
        if until_ns > now_ns
    }


def _reply_timeout_ns(world: ForwardWorld) -> int:
    timeout_ns = config_proofs.share_ns(world, _REPLY_TIMEOUT_SHARE)
    return min(timeout_ns, _MAX_REPLY_TIMEOUT_NS)
