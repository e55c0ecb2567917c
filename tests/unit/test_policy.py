"""The systems of searches, run tick by tick without I/O."""

from typing import Any

from snipesaddle._internal.tables.commands import (
    AnswerSearch,
    CancelCall,
    RefuseRequest,
    StartCall,
)
from snipesaddle._internal.tables.leaves import LeafState
from snipesaddle._internal.tables.queries import CallResult, MissingReason
from tests.standins import layouts
from tests.standins.layouts import Group
from tests.standins.ticks import Ticks

LOOKUP = Group("lookup", "druva", "search", 5, 2, 2, 25, 0)
LEDGER = Group("ledger", "druva", "search", 2, 2, 2, 25, 0, priority=1)


def ticks(*groups: Group, **sections: dict[str, Any]) -> Ticks:
    placed = layouts.place(groups or (LOOKUP,), 20_000, ("z",))
    return Ticks(list(layouts.service_files(placed).values()), **sections)


def warm(run: Ticks, queries: int = 20, call_ms: float = 10.0) -> None:
    for _ in range(queries):
        run.search("lookup")
        run.tick(call_ms)
        for call in run.take(StartCall):
            run.finish(call)
        run.tick()
        run.take(AnswerSearch)


def slow_query(run: Ticks) -> StartCall:
    """Starts a query, ends all its calls but the last and returns that one."""
    run.search("lookup")
    calls = run.take(StartCall)
    run.tick(10)
    for call in calls[:-1]:
        run.finish(call)
    run.tick()
    return calls[-1]


def test_straggler_is_hedged_on_another_leaf_and_the_loser_cancelled() -> None:
    run = ticks()
    warm(run)
    straggler = slow_query(run)
    run.tick(40)
    [hedge] = run.take(StartCall)
    assert hedge.leaf_id != straggler.leaf_id
    run.finish(hedge)
    run.tick(5)
    [answer] = run.take(AnswerSearch)
    assert answer.answer.coverage == 1.0
    [cancelled] = run.take(CancelCall)
    assert cancelled.call_id == straggler.request.call_id


def test_no_hedge_while_the_whole_query_is_slow() -> None:
    run = ticks()
    warm(run)
    run.search("lookup")
    run.take(StartCall)
    run.tick(200)
    assert run.take(StartCall) == []


def test_hedges_stay_within_the_budget_and_stop_when_leaves_shed() -> None:
    run = ticks()
    warm(run, queries=100)
    hedges = 0
    for _ in range(100):
        straggler = slow_query(run)
        run.tick(40)
        found = run.take(StartCall)
        hedges += len(found)
        for call in [*found, straggler]:
            run.finish(call)
        run.tick()
        run.take(CancelCall)
    calls = run.world.counters.primary_calls
    assert 0 < hedges <= 0.05 * calls
    shed = slow_query(run)
    run.finish(shed, CallResult.REFUSED)
    run.tick()
    for call in run.take(StartCall):
        run.finish(call)
    run.tick()
    slow_query(run)
    run.tick(40)
    assert run.take(StartCall) == []


# Each run of a node started with a full bucket of retries.
def test_restarts_do_not_renew_the_retry_budget() -> None:
    calls = 0
    retries = 0
    for _ in range(4):
        run = ticks()
        for _ in range(5):
            run.search("lookup")
            for _ in range(6):
                run.tick(50)
                for call in run.take(StartCall):
                    run.finish(call, CallResult.REFUSED)
        calls += run.world.counters.primary_calls
        retries += run.world.counters.retry_calls
    assert 0 < retries <= 0.2 * calls


def test_ejection_never_takes_a_shards_last_leaf() -> None:
    run = ticks()
    for _ in range(10):
        run.search("lookup")
        for _ in range(6):
            run.tick(50)
            for call in run.take(StartCall):
                run.finish(call, CallResult.FAILED)
        run.tick(1_000)
    run.take(AnswerSearch)
    run.search("lookup")
    assert len(run.take(StartCall)) == 5


def test_leaf_that_fails_gets_no_more_calls_while_ejected() -> None:
    run = ticks()
    warm(run, 5)
    bad = run.world.leaves_by_service["lookup-01"][0].leaf_id
    sent = 0
    for _ in range(30):
        run.search("lookup")
        for _ in range(2):
            for call in run.take(StartCall):
                sent += call.leaf_id == bad
                failed = call.leaf_id == bad
                run.finish(
                    call,
                    CallResult.FAILED if failed else CallResult.ANSWERED,
                )
            run.tick(5)
    assert sent <= 3


def test_draining_reply_stops_new_work_though_health_says_serving() -> None:
    run = ticks()
    run.search("lookup")
    [first, *others] = run.take(StartCall)
    run.finish(first, state=LeafState.DRAINING)
    for call in others:
        run.finish(call)
    run.tick(5)
    for _ in range(20):
        run.search("lookup")
        for call in run.take(StartCall):
            assert call.leaf_id != first.leaf_id
            run.finish(call)
        run.tick(5)


def test_refused_lower_class_leaves_room_for_the_first() -> None:
    run = ticks(LOOKUP, LEDGER, leaves={"owners": 1})
    for _ in range(4):
        run.search("ledger", deadline_ms=60_000)
        run.search("lookup", deadline_ms=60_000)
    late(run, 3)
    assert run.take(RefuseRequest) == []
    run.search("ledger")
    [refused] = run.take(RefuseRequest)
    assert refused.reason == "overload"
    run.search("lookup")
    assert run.take(RefuseRequest) == []


def late(run: Ticks, ticks_count: int) -> None:
    """Reports an event loop lag above the maximum for some ticks."""
    for _ in range(ticks_count):
        run.world.load.lag_sum_ns = 100_000_000
        run.world.load.lag_count = 1
        run.tick(101)


def test_first_class_gives_way_last_and_is_raised_first() -> None:
    run = ticks(LOOKUP, LEDGER, leaves={"owners": 1})
    for _ in range(8):
        run.search("lookup", deadline_ms=60_000)
        run.search("ledger", deadline_ms=60_000)
    limits = run.world.load.limits
    late(run, 8)
    assert limits[1] < 8
    assert limits[0] == 64
    late(run, 20)
    assert limits[:2] == [4, 1]
    for _ in range(30):
        run.tick(101)
    assert limits[0] > 30
    assert limits[1] == 1


def test_partial_answer_at_the_deadline_names_what_is_missing() -> None:
    run = ticks()
    run.search("lookup", deadline_ms=100)
    calls = run.take(StartCall)
    for call in calls[:-1]:
        run.finish(call)
    run.tick(10)
    run.tick(90)
    [answer] = run.take(AnswerSearch)
    assert answer.answer.coverage == 0.8
    [missing] = answer.answer.missing
    assert missing.reason is MissingReason.TIMEOUT


def test_class_that_waits_answers_late_and_complete() -> None:
    waiting = Group(
        "lookup",
        "hooghly",
        "search",
        2,
        2,
        2,
        25,
        0,
        coverage={"when_late": "wait", "grace_ms": 200},
    )
    run = ticks(waiting)
    run.search("lookup", deadline_ms=100)
    calls = run.take(StartCall)
    run.finish(calls[0])
    run.tick(150)
    assert run.take(AnswerSearch) == []
    run.finish(calls[1])
    run.tick(20)
    [answer] = run.take(AnswerSearch)
    assert answer.answer.coverage == 1.0


def test_deadline_is_passed_on_less_the_return_trip() -> None:
    run = ticks()
    run.search("lookup", deadline_ms=100)
    assert {c.request.deadline_ms for c in run.take(StartCall)} == {97}


def test_share_of_connections_is_kept_and_waiting_shards_go_on() -> None:
    run = ticks()
    for _ in range(12):
        run.search("lookup")
    calls = run.take(StartCall)
    per_leaf: dict[str, int] = {}
    for call in calls:
        per_leaf[call.leaf_id] = per_leaf.get(call.leaf_id, 0) + 1
    assert set(per_leaf.values()) == {5}
    for call in calls:
        run.finish(call)
    run.tick(5)
    assert len(run.take(StartCall)) == 12 * 5 - 50


def test_snapshot_gone_everywhere_restarts_once_and_tells_it() -> None:
    run = ticks()
    run.search("lookup")
    for _ in range(4):
        for call in run.take(StartCall):
            gone = call.request.shard.service == "lookup-01"
            run.finish(
                call,
                CallResult.SNAPSHOT_GONE if gone else CallResult.ANSWERED,
            )
        run.tick(30)
    run.tick(1_000)
    [answer] = run.take(AnswerSearch)
    assert answer.answer.coverage == 0.8
