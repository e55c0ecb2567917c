"""Whose key it is, and when it may no more run."""

import pytest

from snipesaddle._internal.tables.commands import (
    AnswerExecution,
    ClaimKey,
    SendPeer,
    StartCall,
)
from snipesaddle._internal.tables.events import (
    CallFinished,
    ClaimFinished,
    ExecutionArrived,
)
from snipesaddle._internal.tables.executions import (
    ClaimOwner,
    ExecuteRequest,
    Outcome,
)
from snipesaddle._internal.tables.messages import (
    Handover,
    HandoverReply,
    Heartbeat,
    HeirRequest,
    NodeRecord,
    RelayedExecution,
)
from snipesaddle._internal.tables.nodes import NodeState
from snipesaddle._internal.tables.queries import CallResult
from tests.standins import layouts
from tests.standins.layouts import Group
from tests.standins.ticks import Ticks

FILING = Group("filing", "druva", "execute", 1, 2, 2, 25, 0)


@pytest.fixture
def run() -> Ticks:
    placed = layouts.place((FILING,), 20_000, ("z",))
    return Ticks(list(layouts.service_files(placed).values()))


def request(key: str, **fields: object) -> ExecuteRequest:
    ticket = key.startswith("t1.")
    return ExecuteRequest(
        f"r-{key}", "filing", key, ticket, {}, "f", "t", 500, **fields
    )


def arrive(run: Ticks, key: str) -> None:
    run.world.inbox.put(ExecutionArrived(request(key)))
    run.tick()


def outcomes(run: Ticks) -> list[Outcome]:
    return [a.answer.outcome for a in run.take(AnswerExecution)]


def finish(run: Ticks, call: StartCall, result: CallResult) -> None:
    run.world.inbox.put(
        CallFinished(
            call.request.call_id,
            call.leaf_id,
            call.link_id,
            result,
            reply_id=call.request.call_id,
            execution_result="ran",
        )
    )
    run.tick()


def take_over(run: Ticks, life_ms: int) -> None:
    offer = Handover("e9~1", "peer", {"e9~1": life_ms}, ())
    run.world.inbox.put(offer)
    run.tick()
    [reply] = [
        c.message
        for c in run.take(SendPeer)
        if isinstance(c.message, HandoverReply)
    ]
    assert reply.accepted


def test_ticket_of_a_space_taken_over_runs_within_its_life(
    run: Ticks,
) -> None:
    take_over(run, life_ms=1_000)
    arrive(run, "t1.e9~1.0.a")
    assert len(run.take(StartCall)) == 1


def test_ticket_of_a_space_taken_over_is_unknown_after_its_life(
    run: Ticks,
) -> None:
    take_over(run, life_ms=1_000)
    run.tick(1_001)
    arrive(run, "t1.e9~1.0.a")
    assert run.take(StartCall) == []
    assert outcomes(run) == [Outcome.UNKNOWN]


def test_old_ticket_is_unknown_and_does_not_run(run: Ticks) -> None:
    run.tick(700_000)
    arrive(run, f"t1.{run.world.this_node.incarnation}.0.a")
    assert run.take(StartCall) == []
    assert outcomes(run) == [Outcome.UNKNOWN]


def test_claim_of_a_forgotten_row_does_not_run_again(run: Ticks) -> None:
    arrive(run, "order-1")
    [claim] = run.take(ClaimKey)
    earlier = ClaimOwner(run.world.this_node.incarnation, "earlier")
    run.world.inbox.put(ClaimFinished(claim.key, claim.service, earlier))
    run.tick()
    assert run.take(StartCall) == []
    assert outcomes(run) == [Outcome.UNKNOWN]


def test_unsettled_claim_runs_when_a_peer_finds_it(run: Ticks) -> None:
    arrive(run, "order-1")
    [claim] = run.take(ClaimKey)
    run.world.inbox.put(ClaimFinished(claim.key, claim.service, None))
    run.tick()
    assert outcomes(run) == [Outcome.UNKNOWN]
    relayed = request(
        "order-1",
        reply_to="peer",
        owner=claim.owner.incarnation,
        claim_id=claim.owner.claim_id,
    )
    run.world.inbox.put(RelayedExecution(relayed))
    run.tick()
    assert len(run.take(StartCall)) == 1


def test_lost_leaf_reply_is_unknown_and_tried_nowhere_else(
    run: Ticks,
) -> None:
    arrive(run, f"t1.{run.world.this_node.incarnation}.0.a")
    [call] = run.take(StartCall)
    finish(run, call, CallResult.FAILED)
    assert run.take(StartCall) == []
    assert outcomes(run) == [Outcome.UNKNOWN]


def test_refusals_of_all_leaves_close_the_key(run: Ticks) -> None:
    key = f"t1.{run.world.this_node.incarnation}.0.a"
    arrive(run, key)
    for _ in range(2):
        [call] = run.take(StartCall)
        finish(run, call, CallResult.REFUSED)
    assert outcomes(run) == [Outcome.NOT_RUN]
    arrive(run, key)
    assert run.take(StartCall) == []
    assert outcomes(run) == [Outcome.NOT_RUN]


def test_node_that_wakes_past_the_deadline_does_not_start(
    run: Ticks,
) -> None:
    for leaf in run.world.leaves:
        leaf.link_limit = 0
        leaf.idle_links.clear()
    arrive(run, f"t1.{run.world.this_node.incarnation}.0.a")
    for leaf in run.world.leaves:
        leaf.link_limit = 5
    run.world.freed_services.add("filing")
    run.tick(60_000)
    assert run.take(StartCall) == []
    assert outcomes(run) == [Outcome.NOT_RUN]


def hear(run: Ticks, name: str, state: NodeState, sequence: int = 1) -> None:
    """Lets the node hear a peer that owns the key space NAME~1."""
    record = NodeRecord(
        name, f"{name}~1", "127.0.0.1:5", name, "z", state, 1, True, sequence
    )
    run.world.inbox.put(Heartbeat(record))
    run.tick()


def heirs_asked_for(run: Ticks) -> set[str]:
    messages = [sent.message for sent in run.take(SendPeer)]
    return {m.space for m in messages if isinstance(m, HeirRequest)}


@pytest.mark.parametrize("state", [NodeState.LEAVING, NodeState.STOPPED])
def test_heir_of_a_leaving_owner_is_asked_for(
    run: Ticks, state: NodeState
) -> None:
    hear(run, "e8", NodeState.SERVING)
    hear(run, "e9", NodeState.SERVING)
    hear(run, "e9", state, sequence=2)
    arrive(run, "t1.e9~1.0.a")
    assert heirs_asked_for(run) == {"e9~1"}


def test_heir_of_a_serving_owner_is_not_asked_for(run: Ticks) -> None:
    hear(run, "e9", NodeState.SERVING)
    arrive(run, "t1.e9~1.0.a")
    assert heirs_asked_for(run) == set()
