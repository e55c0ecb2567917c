"""Unexpected errors of the daemon: what they end, and what goes on."""

from typing import Any

import anyio
import pytest

from snipesaddle._internal.daemon.dispatcher import Dispatcher
from snipesaddle._internal.systems.base import System
from snipesaddle._internal.systems.schedule import Schedule
from snipesaddle._internal.tables import commands, events
from snipesaddle._internal.tables.queries import CallResult
from tests.standins import layouts
from tests.standins.layouts import Group
from tests.standins.ticks import Ticks

LOOKUP = Group("lookup", "druva", "search", 5, 2, 2, 25, 0)


@pytest.fixture
def run() -> Ticks:
    placed = layouts.place((LOOKUP,), 20_000, ("z",))
    return Ticks(list(layouts.service_files(placed).values()))


def system_types() -> list[type[System]]:
    placed = layouts.place((LOOKUP,), 20_000, ("z",))
    world = Ticks(list(layouts.service_files(placed).values())).world
    return [type(system) for system in Schedule(world)._systems]


@pytest.mark.parametrize("system_type", system_types())
def test_an_error_in_one_system_leaves_the_others_running(
    run: Ticks, system_type: type[System], monkeypatch: pytest.MonkeyPatch
) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("broken")

    with monkeypatch.context() as patched:
        patched.setattr(system_type, "run", broken)
        run.tick(5)
        run.tick(5)
    assert run.world.counters.unexpected_errors >= 2
    assert len(run.world.system_errors) >= 2
    run.search("lookup")
    run.tick(10)
    for call in run.take(commands.StartCall):
        run.finish(call)
    run.tick()
    (answered,) = run.take(commands.AnswerSearch)
    assert not answered.answer.missing


class BrokenPort:
    """Raises an unexpected error from every method."""

    def __getattr__(self, name: str) -> Any:
        def broken(*_: object) -> Any:
            raise OverflowError(name)

        return broken


class BrokenPorts:
    """Ports of which none works."""

    def __getattr__(self, name: str) -> Any:
        return BrokenPort()


def posted(run: Ticks, command: Any) -> None:
    """Dispatches a command with ports that fail unexpectedly."""

    async def dispatch() -> None:
        broken: Any = BrokenPorts()
        async with anyio.create_task_group() as tasks:
            Dispatcher(
                run.world, broken, broken.frontend, broken.histograms, tasks
            ).dispatch(command)

    anyio.run(dispatch)


def test_a_call_that_fails_unexpectedly_may_have_run(run: Ticks) -> None:
    run.search("lookup")
    call = run.take(commands.StartCall)[0]
    posted(run, call)
    (finished,) = run.world.inbox.take(events.CallFinished)
    assert finished.result is CallResult.FAILED
    assert finished.call_id == call.request.call_id


@pytest.mark.parametrize(
    ("command", "event_type"),
    [
        (commands.ReadVmList(), events.VmListRead),
        (commands.WatchHead(1, 10), events.HeadRead),
        (commands.FetchBlobs(()), events.BlobsRead),
        (commands.CloseLink(1), events.LinkClosed),
    ],
)
def test_every_started_call_ends_in_an_event(
    run: Ticks, command: Any, event_type: type
) -> None:
    posted(run, command)
    assert len(run.world.inbox.take(event_type)) == 1


def test_a_command_that_fails_does_not_end_the_process(run: Ticks) -> None:
    posted(run, commands.DisconnectPeer("garbage"))
    assert run.world.counters.unexpected_errors == 1
