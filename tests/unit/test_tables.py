"""Tables, timers and budgets."""

import pytest

from snipesaddle._internal.systems import rendezvous
from snipesaddle._internal.systems.base import align_to_grid
from snipesaddle._internal.tables.budgets import Budget
from snipesaddle._internal.tables.table import Table
from snipesaddle._internal.tables.timers import TimerKind, Timers


def test_table_gives_each_changed_row_once() -> None:
    table: Table[str, int] = Table()
    table.put("a", 1)
    table.put("b", 2)
    table.mark_dirty("a")
    assert table.take_dirty() == [1, 2]
    assert table.take_dirty() == []
    table.mark_dirty("b")
    table.remove("b")
    assert table.take_dirty() == []


def test_timer_moves_and_cancels() -> None:
    timers = Timers()
    timers.set(TimerKind.HEDGE, "a", 10)
    timers.set(TimerKind.HEDGE, "b", 20)
    timers.set(TimerKind.HEDGE, "a", 30)
    assert timers.next_due_ns() == 20
    timers.cancel(TimerKind.HEDGE, "b")
    assert timers.next_due_ns() == 30
    assert timers.pop_due(TimerKind.HEDGE, 29) == []
    assert timers.pop_due(TimerKind.HEDGE, 30) == ["a"]
    assert timers.next_due_ns() is None


def test_budget_bounds_extra_calls_to_its_ratio() -> None:
    budget = Budget(ratio=0.05, max_tokens=20, tokens=0)
    spent = 0
    for _ in range(1_000):
        budget.deposit()
        spent += budget.try_withdraw(now_ns=0)
    assert spent in (49, 50)


def test_closed_budget_gives_nothing() -> None:
    budget = Budget(ratio=1, max_tokens=20, tokens=5, paused_until_ns=100)
    assert not budget.try_withdraw(99)
    assert budget.try_withdraw(100)


@pytest.mark.parametrize(("due", "interval"), [(999, 10), (10**9 + 5, 10**9)])
def test_only_long_intervals_fall_on_the_grid(due: int, interval: int) -> None:
    kept = align_to_grid(due, interval)
    assert kept == due if interval < 10**8 else kept == 10**9


def test_rendezvous_moves_only_what_the_lost_node_had() -> None:
    nodes = [f"e{i}" for i in range(8)]
    keys = [f"leaf-{i}" for i in range(200)]
    before = {key: rendezvous.ranked(nodes, key, 1)[0] for key in keys}
    after = {key: rendezvous.ranked(nodes[1:], key, 1)[0] for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert moved == [key for key in keys if before[key] == "e0"]
