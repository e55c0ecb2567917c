"""Unexpected errors: what they end, and what goes on."""

import asyncio
from typing import Any

import pytest
from standins.forwarding import (
    ForwardTicks,
    entry,
    merge_route,
    pass_route,
    record_bytes,
)

from snipesaddle._internal.daemon.forward_dispatcher import (
    ForwardDispatcher,
    ForwardPorts,
)
from snipesaddle._internal.systems.forwarding import completion
from snipesaddle._internal.systems.forwarding.schedule import ForwardSchedule
from snipesaddle._internal.systems.tick import TickSystem
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.commands import ErrorKind
from snipesaddle._internal.tables.forwarding.messages import RelayCancel
from snipesaddle._internal.tables.forwarding.requests import ArrivedRequest
from snipesaddle._internal.tables.forwarding.store_ranges import (
    Range,
    UnreadableItem,
)
from snipesaddle.platform import names, records

SYSTEM_TYPES = [type(system) for system in ForwardSchedule()._systems]


@pytest.fixture
def ticks() -> ForwardTicks:
    return ForwardTicks(
        [pass_route(), merge_route(2)],
        [entry("f1", "file"), entry("s0", "s0"), entry("s1", "s1")],
    )


def errors(ticks: ForwardTicks) -> list[dict[str, object]]:
    lines = ticks.taken(commands.LogDecision)
    return [one.fields for one in lines if one.event == "unexpected_error"]


def serves(ticks: ForwardTicks) -> bool:
    ticks.ask(b"/file/1")
    for attempt in ticks.taken(commands.SendAttempt):
        ticks.answer(attempt)
    return bool(ticks.taken(commands.SendEndpointAnswer))


@pytest.mark.parametrize("system_type", SYSTEM_TYPES)
def test_an_error_in_one_system_leaves_the_others_running(
    ticks: ForwardTicks,
    system_type: type[TickSystem[Any]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("broken")

    with monkeypatch.context() as patched:
        patched.setattr(system_type, "run", broken)
        ticks.tick(RelayCancel(7, "e9:2"))
        ticks.advance(1_200, 100)
    assert [one["kind"] for one in errors(ticks)] == ["RuntimeError"]
    assert ticks.world.counters.unexpected_errors > 1
    assert ticks.world.timers.next_due_ns() is not None
    assert serves(ticks)


def test_an_error_in_one_request_ends_only_that_request(
    ticks: ForwardTicks, monkeypatch: pytest.MonkeyPatch
) -> None:
    merge_records = completion.merge_records

    def merge(bodies: list[bytes], top_k: int) -> bytes:
        if record_bytes(13) in bodies:
            raise ValueError("unlucky")
        return merge_records(bodies, top_k)

    monkeypatch.setattr(completion, "merge_records", merge)
    unlucky = ticks.ask(b"/sweep/1")
    healthy = ticks.ask(b"/sweep/2")
    for attempt in ticks.taken(commands.SendAttempt):
        is_unlucky = attempt.request.arrived.client_id == unlucky
        ticks.answer(attempt, record_bytes(13 if is_unlucky else 1))
    (merged,) = ticks.taken(commands.SendMergedAnswer)
    (failed,) = ticks.taken(commands.SendError)
    assert merged.client_id == healthy
    assert failed.client_id == unlucky
    assert failed.error_kind is ErrorKind.FAILED
    assert not ticks.world.requests


def test_a_request_that_cannot_be_read_is_answered(
    ticks: ForwardTicks,
) -> None:
    broken = ArrivedRequest(90, b"r", b"GET", b"x", None, (), b"", 600)  # type: ignore[arg-type]
    ticks.tick(events.RequestArrived(broken, ticks.now_ns))
    (failed,) = ticks.taken(commands.SendError)
    assert (failed.client_id, failed.error_kind) == (90, ErrorKind.FAILED)
    assert serves(ticks)


def test_a_route_without_services_is_refused() -> None:
    ticks = ForwardTicks([pass_route(targets=())], [])
    ticks.ask(b"/file/1")
    (refused,) = ticks.taken(commands.SendError)
    assert refused.error_kind is ErrorKind.NOT_RUN


class BrokenPort:
    """Raises an unexpected error from every method."""

    def __getattr__(self, name: str) -> Any:
        def broken(*_: object) -> Any:
            raise RuntimeError(name)

        return broken


class BrokenStore(BrokenPort):
    """Fails when its calls run, not when they are made."""

    async def list(self, command: commands.ListRange) -> Any:
        raise OverflowError("unexpected")

    watch = list
    renew_presence = list
    write_presence = list


class BrokenEndpoints(BrokenPort):
    """Fails to open and has nothing to close."""

    async def open(self, command: commands.OpenConnection) -> None:
        raise OverflowError("port must be 0-65535")

    def close(self, connection_id: int) -> None:
        del connection_id


async def posted(world: Any, command: Any) -> Any:
    """Returns the events that a command leaves behind with broken ports."""
    ports: Any = ForwardPorts(
        BrokenEndpoints(),  # type: ignore[arg-type]
        BrokenPort(),  # type: ignore[arg-type]
        BrokenStore(),  # type: ignore[arg-type]
        BrokenPort(),  # type: ignore[arg-type]
    )
    histograms: Any = BrokenPort()
    dispatcher = ForwardDispatcher(world, ports, histograms, histograms)
    dispatcher.dispatch(command)
    await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    ("command", "event_type"),
    [
        (commands.ListRange(Range.NODES, "", 100), events.RangeFailed),
        (commands.WatchRange(Range.NODES, 1, 1, 100), events.RangeFailed),
        (commands.RenewPresence(1, 100), events.PresenceFailed),
        (
            commands.OpenConnection(1, "127.0.0.1:99999"),
            events.ConnectionEnded,
        ),
    ],
)
def test_every_started_call_ends_in_an_event(
    ticks: ForwardTicks, command: commands.Command, event_type: type
) -> None:
    asyncio.run(posted(ticks.world, command))
    assert len(ticks.world.inbox.take(event_type)) == 1


@pytest.mark.parametrize(
    "command",
    [
        commands.SetReadiness(True),
        commands.CloseIdleClients(),
        commands.DisconnectPeer("garbage"),
        commands.SendToNode("garbage", RelayCancel(1, "e2:2")),
        commands.RecordOutcome("file", "whole", 1),
        commands.LogDecision("x"),
    ],
)
def test_a_command_that_fails_does_not_stop_the_tick(
    ticks: ForwardTicks, command: commands.Command
) -> None:
    asyncio.run(posted(ticks.world, command))
    assert ticks.world.counters.unexpected_errors == 1


ENDPOINT = (
    b'{"service":"s","address":"%b","zone":"a","version":"1","concurrency":2,'
    b'"state":"ready","warmup_left_ms":0,"sequence":1%b}'
)
GOOD = b"10.0.0.1:8000"


@pytest.mark.parametrize(
    "value",
    [
        ENDPOINT % (b"127.0.0.1:99999", b""),
        ENDPOINT % (b"127.0.0.1:0", b""),
        ENDPOINT % (b"127.0.0.256:80", b""),
        ENDPOINT % (GOOD, b',"x":' + b"[" * 100_000),
        ENDPOINT % (GOOD, b',"born":1e400'),
        ENDPOINT % (b"10.0.0.1:80\xff", b""),
        b"",
    ],
)
def test_a_registration_that_cannot_be_used_is_unreadable(value: bytes) -> None:
    key = names.ENDPOINT_PREFIX + "i-1"
    assert isinstance(records.decode_item(key, value)[1], UnreadableItem)
    good = ENDPOINT % (GOOD, b"")
    assert not isinstance(records.decode_item(key, good)[1], UnreadableItem)


def test_a_node_record_without_an_address_is_unreadable() -> None:
    key = names.NODE_PREFIX + "e2"
    value = b'["e2","1","10.0.0.1:1","garbage","a","serving"]'
    assert isinstance(records.decode_item(key, value)[1], UnreadableItem)
