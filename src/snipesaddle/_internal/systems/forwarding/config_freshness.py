"""Config freshness: how old the proof is that the configuration is current.

A node whose proof is too old refuses requests that need an API key, because the
key may have been withdrawn. Renewing the proof is left to nodes that clients
are sent to or that had such requests lately, so idle nodes make no calls.
"""

from snipesaddle._internal.systems.forwarding import (
    activity,
    config_proofs,
    config_questions,
    config_reads,
    confirmation,
    containment,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.freshness import (
    ConfigProof,
    ProofSource,
)
from snipesaddle._internal.tables.forwarding.messages import (
    FreshnessAsk,
    FreshnessReply,
)
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

_CHECK = "config"
# Ages of the proof, as shares of the longest time for a withdrawn key. A node
# whose last path to the store is cut serves on for 0.6 of that time, so no
# proof may be older than 0.35 of it while there is a path.
_CONFIRMER_READ_SHARE = 0.18
_OWN_READ_SHARE = 0.26
_STAGGER_SHARE = 0.01
_MAX_STAGGERS = 4
_READ_RETRY_SHARE = 0.08
_MAX_READ_RETRY_NS = 400 * NS_PER_MS
# Reads of a slow store start earlier by at most this share.
_MAX_READ_LEAD_SHARE = 0.12
# Clients may use a directory answer for less time.
_ENGAGED_NS = 10_000 * NS_PER_MS
_RETRY_AFTER_MS = 300
_MIN_RETRY_AFTER_MS = 20


def demand(world: ForwardWorld, now_ns: int) -> bool:
    """Notes a request that needs a proof; returns whether there is one.

    Without one, a read starts at once, also on a node that was idle.
    """
    state = world.freshness
    state.last_needed_ns = now_ns
    if not state.is_engaged:
        world.timers.set(TimerKind.CONFIG_FRESHNESS, _CHECK, now_ns)
    _update_proven(world, now_ns)
    if not state.is_proven and now_ns >= _retry_ns(world):
        config_reads.start(world, now_ns)
    return state.is_proven


def retry_after_ms(world: ForwardWorld, now_ns: int) -> int:
    """Returns when a request that was refused for want of a proof may succeed.

    While a read is in flight, that is as long as the last one took.
    """
    state = world.freshness
    if not state.reads or state.last_read_ns is None:
        return _RETRY_AFTER_MS
    left_ns = state.last_read_ns + state.read_took_ns - now_ns
    if left_ns < 0:
        return _RETRY_AFTER_MS
    left_ms = -(-left_ns // NS_PER_MS)
    return min(max(left_ms, _MIN_RETRY_AFTER_MS), _RETRY_AFTER_MS)


class ConfigFreshnessSystem(TickSystem[ForwardWorld]):
    """Takes proofs, and renews them while clients may send requests here."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        state = world.freshness
        take = world.inbox.take
        proofs, state.new_proofs = state.new_proofs, []
        for proof in proofs:
            _take_proof(world, proof, now_ns)
        replies = take(FreshnessReply)
        containment.run_each(world, replies, _on_reply, now_ns)
        asks = take(FreshnessAsk)
        containment.run_each(world, asks, config_questions.reply, now_ns)
        was_engaged = state.is_engaged
        state.is_engaged = config_proofs.is_required(world) and _is_engaged(
            world, now_ns
        )
        if not state.is_engaged:
            world.timers.cancel(TimerKind.CONFIG_FRESHNESS, _CHECK)
            return
        is_due = world.timers.pop_due(TimerKind.CONFIG_FRESHNESS, now_ns)
        if is_due or proofs or replies or not was_engaged:
            _renew(world, now_ns)


def _is_engaged(world: ForwardWorld, now_ns: int) -> bool:
    state = world.freshness
    if activity.is_active(world):
        state.last_needed_ns = now_ns
        return True
    needed_ns = state.last_needed_ns
    return needed_ns is not None and now_ns - needed_ns <= _ENGAGED_NS


def _on_reply(
    world: ForwardWorld, message: FreshnessReply, now_ns: int
) -> None:
    question = config_questions.answered_question(world, message)
    if question is None:
        return
    proof = config_questions.proof_of(question, message)
    if proof is not None:
        _take_proof(world, proof, now_ns)
    config_questions.pass_over_if_useless(world, question.node_id, now_ns)


def _take_proof(world: ForwardWorld, proof: ConfigProof, now_ns: int) -> None:
    """Takes a proof that names the version in force.

    An older version is what a store restored from a copy returns, or one with
    which another node is behind. With a newer one known, a proof for the one in
    force cannot be relied on, either. Nor can the answer of a restored store to
    a call from before the restore.
    """
    if proof.version != world.active_config.version:
        return
    if proof.version < world.fleet.config_version:
        return
    # Other nodes have checked this for what they read.
    from_peer = proof.source is ProofSource.PEER
    if not from_peer and not config_proofs.started_since_restore(
        world, proof.as_of_ns
    ):
        return
    state = world.freshness
    if state.proven_ns is None or proof.as_of_ns > state.proven_ns:
        state.proven_ns = proof.as_of_ns
    _update_proven(world, now_ns, proof)


def _update_proven(
    world: ForwardWorld, now_ns: int, proof: ConfigProof | None = None
) -> None:
    """Updates whether the proof is young enough; logs changes."""
    state = world.freshness
    is_proven = not config_proofs.is_older(
        world, config_proofs.max_age_ns(world), now_ns
    )
    if is_proven == state.is_proven:
        return
    state.is_proven = is_proven
    if not config_proofs.is_required(world) or state.proven_ns is None:
        return
    world.log(
        "config_proven" if is_proven else "config_unproven",
        version=world.active_config.version,
        age_ms=(now_ns - state.proven_ns) // NS_PER_MS,
        source=proof.source.value if proof else "",
    )


def _renew(world: ForwardWorld, now_ns: int) -> None:
    """Starts what renews the proof, and sets the timer of the next check."""
    _update_proven(world, now_ns)
    ranked = confirmation.ranked_node_ids(world, now_ns)
    own_id = world.this_node.node_id
    rank = ranked.index(own_id) if own_id in ranked else len(ranked)
    targets = [node_id for node_id in ranked if node_id != own_id]
    if now_ns >= _read_due_ns(world, rank, now_ns):
        config_reads.start(world, now_ns)
    ask_due_ns = config_questions.due_ns(world, rank, targets, now_ns)
    if ask_due_ns is not None and now_ns >= ask_due_ns:
        config_questions.ask(world, targets, now_ns)
        ask_due_ns = config_questions.due_ns(world, rank, targets, now_ns)
    due_ns = _read_due_ns(world, rank, now_ns)
    if ask_due_ns is not None:
        due_ns = min(due_ns, ask_due_ns)
    state = world.freshness
    if state.is_proven and state.proven_ns is not None:
        expiry_ns = state.proven_ns + config_proofs.max_age_ns(world) + 1
        due_ns = min(due_ns, expiry_ns)
    world.timers.set(
        TimerKind.CONFIG_FRESHNESS, _CHECK, max(due_ns, now_ns + NS_PER_MS)
    )


def _read_due_ns(world: ForwardWorld, rank: int, now_ns: int) -> int:
    """Returns when this node reads the store itself, without a newer proof.

    The confirming node does so for the others, and early enough for the answer
    to arrive in time. Another node does so when it gets no proof from others,
    one after the other: each one that has an answer spares the next ones.
    """
    state = world.freshness
    if rank == 0:
        lead_ns = min(
            state.read_took_ns,
            config_proofs.share_ns(world, _MAX_READ_LEAD_SHARE),
        )
        age_ns = config_proofs.share_ns(world, _CONFIRMER_READ_SHARE) - lead_ns
    else:
        staggers = min(rank, _MAX_STAGGERS)
        age_ns = config_proofs.share_ns(
            world, _OWN_READ_SHARE + _STAGGER_SHARE * staggers
        )
    due_ns = config_proofs.age_due_ns(world, age_ns, now_ns)
    return max(due_ns, _retry_ns(world))


def _retry_ns(world: ForwardWorld) -> int:
    """Returns when the next read may start."""
    last_ns = world.freshness.last_read_ns
    if last_ns is None:
        return 0
    retry_ns = config_proofs.share_ns(world, _READ_RETRY_SHARE)
    return last_ns + min(retry_ns, _MAX_READ_RETRY_NS)
