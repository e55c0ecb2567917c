"""Which connection a request is sent on when it is sent more than once.

All sends of a request have the same id, and an endpoint in trouble sends late
second copies of its answers. Such a copy counted as the answer to a later send
on the same connection, and the request ran twice.
"""

from standins.forwarding import ForwardTicks, entry, merge_route, pass_route

from snipesaddle._internal.systems.forwarding import connections
from snipesaddle._internal.tables.forwarding import commands
from snipesaddle._internal.tables.forwarding.messages import RelayAsk

ORDER = pass_route(name="order", prefix=b"/order/", idempotent=False)
RETRY_MS = 30


def one_endpoint() -> ForwardTicks:
    return ForwardTicks([ORDER, pass_route()], [entry("f1", "file")])


def sent(ticks: ForwardTicks) -> commands.SendAttempt:
    ticks.open_all()
    (attempt,) = ticks.taken(commands.SendAttempt)
    return attempt


def reject(ticks: ForwardTicks, attempt: commands.SendAttempt) -> None:
    ticks.answer(attempt, status=503, signature=b"", not_run=True)
    ticks.advance(RETRY_MS)


# A copy of the rejection was taken for the answer to the retry.
def test_a_rejected_order_is_retried_on_another_connection() -> None:
    ticks = one_endpoint()
    ticks.ask(b"/order/1")
    first = sent(ticks)
    reject(ticks, first)
    second = sent(ticks)
    assert second.request is first.request
    assert second.connection_id != first.connection_id


# The same for an answer that may be signed: a failure that is tried again.
def test_a_failed_request_is_retried_on_another_connection() -> None:
    ticks = one_endpoint()
    ticks.ask(b"/file/1")
    first = sent(ticks)
    ticks.answer(first, status=500, signature=b"s")
    ticks.advance(RETRY_MS)
    assert sent(ticks).connection_id != first.connection_id


def test_another_request_uses_the_connection_again() -> None:
    ticks = one_endpoint()
    ticks.ask(b"/order/1")
    first = sent(ticks)
    ticks.answer(first)
    ticks.ask(b"/order/2")
    assert sent(ticks).connection_id == first.connection_id


# The copy comes before the answer to whatever is sent next; with another
# request in between, the retry must not use the connection either.
def test_a_request_between_the_sends_changes_nothing() -> None:
    ticks = one_endpoint()
    ticks.ask(b"/order/1")
    first = sent(ticks)
    ticks.answer(first, status=503, signature=b"", not_run=True)
    ticks.ask(b"/order/2")
    between = sent(ticks)
    assert between.connection_id == first.connection_id
    ticks.answer(between)
    ticks.advance(RETRY_MS)
    assert sent(ticks).connection_id != first.connection_id


def test_at_the_connection_limit_the_used_connection_makes_room() -> None:
    ticks = one_endpoint()
    endpoint = ticks.world.endpoints["f1"]
    quota = connections.connection_quota(ticks.world, endpoint)
    busy = []
    for number in range(quota - 1):
        ticks.ask(b"/file/%d" % number)
        busy.append(sent(ticks))
    ticks.ask(b"/order/1")
    first = sent(ticks)
    reject(ticks, first)
    assert first.connection_id in {
        closed.connection_id for closed in ticks.taken(commands.CloseConnection)
    }
    assert sent(ticks).connection_id != first.connection_id
    assert endpoint.connection_count == quota


# Two relays of one request are two rows here, with the id of one client.
def test_two_relays_of_a_request_use_two_connections() -> None:
    ticks = ForwardTicks([merge_route(1)], [entry("s0a", "s0")])
    used = set()
    for relay_id in (7, 8):
        ticks.tick(relay_ask(relay_id))
        attempt = sent(ticks)
        used.add(attempt.connection_id)
        ticks.answer(attempt, status=503, signature=b"", not_run=True)
        ticks.advance(RETRY_MS)
        retry = sent(ticks)
        used.add(retry.connection_id)
        ticks.answer(retry)
    assert len(used) == 4


def relay_ask(relay_id: int) -> RelayAsk:
    return RelayAsk(
        relay_id=relay_id,
        reply_address="e2:2",
        client_request_id=b"r1",
        method=b"GET",
        host=b"desk.example",
        target=b"/sweep/1",
        headers=(),
        body=b"",
        route_name="sweep",
        services=("s0",),
        soft_deadline_left_ms=400,
        time_left_ms=500,
        target_latency_ms=120,
        max_attempts=2,
        priority=1,
        top_k=3,
        total_parts=1,
    )
