"""Golden files of whole sessions, replayed on a paused clock."""

import anyio
from syrupy.assertion import SnapshotAssertion

from tests.standins.fakes import Session, run_session
from tests.standins.layouts import Group

GROUPS = (
    Group("lookup", "druva", "search", 3, 2, 2, 25, 0),
    Group("filing", "druva", "execute", 1, 2, 2, 25, 0),
)


def record(names, monkeypatch, script):
    """Runs a script against started nodes and returns the session."""
    session = Session(names, GROUPS)

    async def work() -> None:
        async with anyio.create_task_group() as tasks:
            await session.publish()
            for name in names:
                await session.start_node(name, tasks)
            await anyio.sleep(5)
            session.log.lines.clear()
            await script(session)
            tasks.cancel_scope.cancel()

    run_session(work, monkeypatch)
    return session


def test_search_session(monkeypatch, snapshot: SnapshotAssertion) -> None:
    async def script(session: Session) -> None:
        for i, leaf in enumerate(session.leaves.values()):
            leaf.delays_ms = [4.0 + i]
        await session.search("e1", "lookup")

    session = record(["e1"], monkeypatch, script)
    assert session.log.lines == snapshot


def test_execution_retried_through_a_second_node(
    monkeypatch, snapshot: SnapshotAssertion
) -> None:
    async def script(session: Session) -> None:
        ticket = await session.ticket("e1")
        await session.execute("e1", "filing", ticket=ticket)
        await session.execute("e2", "filing", ticket=ticket)

    session = record(["e1", "e2"], monkeypatch, script)
    assert session.log.lines == snapshot
    assert len(session.journal()) == 1


def test_key_retried_through_a_second_node(
    monkeypatch, snapshot: SnapshotAssertion
) -> None:
    async def script(session: Session) -> None:
        session.store.lose_puts = 1
        await session.execute("e1", "filing", key="order-1")
        await session.execute("e2", "filing", key="order-1")

    session = record(["e1", "e2"], monkeypatch, script)
    assert session.log.lines == snapshot
    assert session.journal() == ["filing/order-1"]


def test_straggler_is_hedged_and_the_loser_cancelled(
    monkeypatch, snapshot: SnapshotAssertion
) -> None:
    async def script(session: Session) -> None:
        for leaf in session.leaves.values():
            leaf.delays_ms = [5.0]
        for _ in range(30):
            await session.search("e1", "lookup")
        session.log.lines.clear()
        shared = [200.0, 5.0]
        for leaf in session.leaves.values():
            if leaf.service == "lookup-01":
                leaf.delays_ms = shared
        await session.search("e1", "lookup")

    session = record(["e1"], monkeypatch, script)
    assert session.log.lines == snapshot
