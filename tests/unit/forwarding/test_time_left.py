"""How much of a request's time is left when a busy node passes it on."""

import asyncio
import socket
import time
from typing import Any

import msgspec
import pytest
import uvloop
from standins.forwarding import (
    NS_PER_MS,
    ForwardTicks,
    entry,
    merge_route,
    pass_route,
    relaying_node,
)

from snipesaddle._internal.daemon.forward_dispatcher import (
    ForwardDispatcher,
    ForwardPorts,
)
from snipesaddle._internal.daemon.forward_loop import ForwardLoop
from snipesaddle._internal.systems.forwarding import deadlines
from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.messages import (
    RelayAsk,
    RelayReply,
)

BUSY_S = 0.05


class RecordingPeers:
    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, peer_address: str, message: object) -> int:
        del peer_address
        self.sent.append(message)
        return 1


# The time left was computed once a tick, and a tick can last 0.6 s.
def test_an_attempt_says_what_is_left_when_it_is_written() -> None:
    ticks = ForwardTicks([pass_route()], [entry("f1", "file")])
    ticks.ask(b"/file/x", time_limit_ms=400)
    (attempt,) = ticks.taken(commands.SendAttempt)
    left_ms = attempt.time_left_ms
    assert attempt.time_left_at_ms(ticks.now_ns) == left_ms
    later_ns = ticks.now_ns + 100 * NS_PER_MS
    assert attempt.time_left_at_ms(later_ns) == left_ms - 100
    assert attempt.time_left_at_ms(later_ns * 9) == 1


# A client that waits for less than the target latency got nothing of what was
# relayed, since the reply was due after its time limit.
def test_parts_are_due_within_the_time_limit_of_the_client() -> None:
    ticks = relaying_node()
    ticks.ask(b"/sweep/x", time_limit_ms=60)
    (ask,) = ticks.sent_to_nodes(RelayAsk)
    assert 0 < ask.soft_deadline_left_ms <= ask.time_left_ms < 60


# After the time limit, the node that gathers woke up without end until the
# reply was due.
def test_a_relay_whose_time_ends_first_is_answered_then() -> None:
    asking = relaying_node()
    asking.ask(b"/sweep/x")
    (ask,) = asking.sent_to_nodes(RelayAsk)
    entries = [entry(f"s{number}", f"s{number}") for number in range(4)]
    ticks = ForwardTicks([merge_route(4)], entries)
    ticks.tick(msgspec.structs.replace(ask, time_left_ms=40))
    ticks.open_all()
    first, *_ = ticks.taken(commands.SendAttempt)
    ticks.answer(first)
    end_ns = ticks.now_ns + 60 * NS_PER_MS
    count = 0
    while (due_ns := ticks.world.timers.next_due_ns() or end_ns) < end_ns:
        ticks.now_ms = max(ticks.now_ms, due_ns / NS_PER_MS)
        ticks.tick()
        count += 1
        assert count < 20
    (reply,) = ticks.sent_to_nodes(RelayReply)
    assert sum(map(bool, reply.signatures)) == 1
    assert not ticks.world.requests


def test_a_relay_says_what_is_left_when_it_is_sent() -> None:
    ticks = relaying_node()
    ticks.ask(b"/sweep/x")
    sends = ticks.taken(commands.SendToNode)
    (command,) = [c for c in sends if isinstance(c.message, RelayAsk)]
    peers = RecordingPeers()
    later_ns = ticks.now_ns + 40 * NS_PER_MS
    unused: Any = type("Unused", (), {"__getattr__": lambda *_: None})()
    ports = ForwardPorts(unused, unused, unused, peers)  # type: ignore[arg-type]
    dispatcher = ForwardDispatcher(
        ticks.world, ports, unused, unused, lambda: later_ns
    )
    dispatcher.dispatch(command)
    (sent,) = peers.sent
    ask = command.message
    assert isinstance(ask, RelayAsk)
    assert sent.time_left_ms == ask.time_left_ms - 40
    assert sent.soft_deadline_left_ms == ask.soft_deadline_left_ms - 40


# The time in which a request lay unread was passed on as time left.
@pytest.mark.parametrize("unread_ms", [0, 100, 500])
def test_the_wait_before_the_read_is_taken_off(unread_ms: int) -> None:
    ticks = ForwardTicks([pass_route()], [entry("f1", "file")])
    ticks.ask(b"/file/x", time_limit_ms=600)
    (before,) = ticks.taken(commands.SendAttempt)
    ticks.answer(before)
    ticks.world.process.unread_since_ns = ticks.now_ns - unread_ms * NS_PER_MS
    ticks.ask(b"/file/x", time_limit_ms=600)
    (attempt,) = ticks.taken(commands.SendAttempt)
    taken_off_ms = before.time_left_ms - attempt.time_left_ms
    assert unread_ms - 300 <= taken_off_ms <= unread_ms


def test_a_request_without_time_is_not_run() -> None:
    ticks = ForwardTicks([pass_route()], [entry("f1", "file")])
    ticks.world.process.unread_since_ns = ticks.now_ns - 950 * NS_PER_MS
    ticks.ask(b"/file/x", time_limit_ms=600)
    assert not ticks.taken(commands.SendAttempt)
    (refusal,) = ticks.taken(commands.SendError)
    assert refusal.error_kind is commands.ErrorKind.NOT_RUN


def test_the_estimate_falls_short_by_less_than_endpoints_are_promised() -> None:
    for busy_ms in range(0, 3_000, 50):
        busy_ns = busy_ms * NS_PER_MS
        wait_ns = deadlines.unread_wait_ns(NS_PER_MS, NS_PER_MS + busy_ns)
        assert busy_ns - 400 * NS_PER_MS < wait_ns <= busy_ns


class BusySchedule:
    """Sends bytes to this process at the start of a long tick."""

    def __init__(self, sender: socket.socket) -> None:
        self._sender = sender
        self.sent_ns = 0
        self.unread_since_ns: list[int] = []

    def start(self, world: Any, now_ns: int) -> None:
        del world, now_ns

    def tick(self, world: Any, now_ns: int) -> list[commands.Command]:
        del now_ns
        if world.inbox.take(events.RequestArrived):
            self.unread_since_ns.append(world.process.unread_since_ns)
        elif not self.sent_ns:
            self.sent_ns = time.monotonic_ns()
            self._sender.send(b"x")
            time.sleep(BUSY_S)
        return []


async def read_while_busy() -> BusySchedule:
    ticks = ForwardTicks([pass_route()], [entry("f1", "file")])
    world = ticks.world
    reader, sender = socket.socketpair()
    reader.setblocking(False)
    schedule = BusySchedule(sender)

    def read() -> None:
        reader.recv(1)
        arrived: Any = None
        world.inbox.put(events.RequestArrived(arrived, time.monotonic_ns()))

    asyncio.get_running_loop().add_reader(reader, read)
    ForwardLoop(world, schedule, lambda _: None).start()  # type: ignore[arg-type]
    await asyncio.sleep(4 * BUSY_S)
    sender.send(b"x")
    await asyncio.sleep(BUSY_S)
    asyncio.get_running_loop().remove_reader(reader)
    reader.close()
    sender.close()
    return schedule


@pytest.mark.parametrize(
    "new_loop", [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_the_loop_knows_since_when_a_request_may_lie_unread(
    new_loop: Any,
) -> None:
    with asyncio.Runner(loop_factory=new_loop) as runner:
        schedule = runner.run(read_while_busy())
    busy, idle = schedule.unread_since_ns
    assert busy <= schedule.sent_ns
    assert idle > schedule.sent_ns + BUSY_S * 1_000 * NS_PER_MS
