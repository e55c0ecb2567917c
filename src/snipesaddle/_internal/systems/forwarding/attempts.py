"""Attempts: applies connection events and answers to attempts and endpoints."""

from http import HTTPStatus

from snipesaddle._internal.systems.forwarding import (
    connections,
    containment,
    departures,
    load_balancing,
    outstanding_work,
    placement,
    rate_limits,
    retention,
    retries,
    work_estimates,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.commands import CloseConnection
from snipesaddle._internal.tables.forwarding.endpoints import (
    EndpointConnection,
)
from snipesaddle._internal.tables.forwarding.events import (
    AttemptAnswered,
    ConnectionEnded,
    ConnectionOpened,
)
from snipesaddle._internal.tables.forwarding.requests import Attempt, Part
from snipesaddle._internal.tables.forwarding.world import (
    AnsweredAttempt,
    ForwardWorld,
    LostAttempt,
)
from snipesaddle._internal.tables.timers import TimerKind

# How long an abandoned attempt may still run, so that its connection can be
# reused and its latency is measured.
_ABANDONED_TIMEOUT_NS = 200 * NS_PER_MS
# A connection that takes longer to open counts as an endpoint failure.
_SLOW_CONNECT_NS = 300 * NS_PER_MS


def abandon(world: ForwardWorld, attempt_id: int, now_ns: int) -> None:
    """Marks an attempt as no longer needed; a timer cancels it later."""
    attempt = world.attempts.get(attempt_id)
    if attempt is None:
        return
    attempt.abandoned = True
    world.timers.set(
        TimerKind.ATTEMPT, attempt_id, now_ns + _ABANDONED_TIMEOUT_NS
    )


def abandon_all(world: ForwardWorld, part: Part, now_ns: int) -> None:
    """Abandons the remaining attempts of an answered part."""
    for attempt_id in part.attempts:
        abandon(world, attempt_id, now_ns)
    part.attempts.clear()


def cancel(world: ForwardWorld, attempt_id: int, now_ns: int) -> None:
    """Ends an attempt at once by closing its connection."""
    attempt = world.attempts.get(attempt_id)
    if attempt is None:
        return
    connection = world.connections.get(attempt.connection_id)
    _remove_unanswered(world, attempt, now_ns)
    if connection is not None:
        connections.discard(world, connection)
        world.emit(CloseConnection(connection.connection_id))


def _remove_unanswered(
    world: ForwardWorld, attempt: Attempt, now_ns: int
) -> None:
    """Removes an attempt that was ended before its answer.

    Checks whether the endpoint is unresponsive, or was too slow to connect.
    """
    _remove_ended(world, attempt, now_ns)
    endpoint = retention.endpoint_of(world, attempt)
    if endpoint is None:
        return
    if attempt.sent_ns:
        load_balancing.eject_if_unresponsive(
            world, endpoint, attempt.route_name, now_ns
        )
    elif now_ns - attempt.chosen_ns > _SLOW_CONNECT_NS:
        load_balancing.record_failure(
            world, endpoint, now_ns, "slow to connect"
        )


class AttemptsSystem(TickSystem[ForwardWorld]):
    """Processes what happened on the connections to the endpoints."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        world.answered_attempts.clear()
        world.lost_attempts.clear()
        take = world.inbox.take
        run_each = containment.run_each
        run_each(world, take(ConnectionOpened), self._on_opened, now_ns)
        run_each(world, take(AttemptAnswered), self._on_answered, now_ns)
        run_each(world, take(ConnectionEnded), self._on_ended, now_ns)
        for key in world.timers.pop_due(TimerKind.ATTEMPT, now_ns):
            assert isinstance(key, int)
            cancel(world, key, now_ns)

    def _on_opened(
        self, world: ForwardWorld, event: ConnectionOpened, now_ns: int
    ) -> None:
        connection = world.connections.get(event.connection_id)
        if connection is None:
            return
        attempt = world.attempts.get(connection.attempt_id)
        endpoint = world.endpoint_of(connection)
        if attempt is None or attempt.abandoned or endpoint is None:
            if attempt is not None:
                _remove_unanswered(world, attempt, now_ns)
            connections.release(world, connection, now_ns, 0)
            return
        found = placement.find_open_part(
            world, attempt.request_id, attempt.part_index
        )
        if found is None or not load_balancing.wants_work(endpoint, now_ns):
            self._discard_unsent(world, connection, attempt, now_ns)
            return
        placement.send_attempt(world, found[0], attempt, endpoint, now_ns)

    def _discard_unsent(
        self,
        world: ForwardWorld,
        connection: EndpointConnection,
        attempt: Attempt,
        now_ns: int,
    ) -> None:
        _remove_unanswered(world, attempt, now_ns)
        connections.release(world, connection, now_ns, 0)
        world.lost_attempts.append(
            LostAttempt(
                attempt, False, "not sent: part done, or endpoint wants no work"
            )
        )

    def _on_answered(
        self, world: ForwardWorld, event: AttemptAnswered, now_ns: int
    ) -> None:
        connection = world.connections.get(event.connection_id)
        if connection is not None:
            self._release_connection(world, connection, event, now_ns)
        attempt = world.attempts.get(event.attempt_id)
        if attempt is None:
            return
        _remove_ended(world, attempt, now_ns)
        if event.answer.leaving:
            world.counters.leaving_answers += 1
            departures.record(world, attempt.entry, "answer", now_ns)
        self._update_endpoint(world, attempt, event, now_ns)
        if not attempt.abandoned:
            world.answered_attempts.append(AnsweredAttempt(attempt, event))

    def _release_connection(
        self,
        world: ForwardWorld,
        connection: EndpointConnection,
        event: AttemptAnswered,
        now_ns: int,
    ) -> None:
        if event.reusable:
            connections.release(world, connection, now_ns, event.keep_alive_ms)
            return
        connections.discard(world, connection)
        world.emit(CloseConnection(connection.connection_id))

    def _update_endpoint(
        self,
        world: ForwardWorld,
        attempt: Attempt,
        event: AttemptAnswered,
        now_ns: int,
    ) -> None:
        endpoint = retention.endpoint_of(world, attempt)
        if endpoint is None:
            return
        load_balancing.record_answer(endpoint, now_ns)
        answer = event.answer
        rate_limits.record_answer(world, endpoint, attempt, answer, now_ns)
        if answer.load is not None:
            world.counters.stated_loads += 1
            outstanding_work.record_stated(endpoint, answer.load, now_ns)
        if answer.retry_after_ms:
            load_balancing.record_backoff(
                world, endpoint, answer.retry_after_ms, now_ns
            )
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            load_balancing.record_failure(
                world, endpoint, now_ns, "misdirected"
            )
        elif answer.not_run:
            world.counters.endpoint_refusals += 1
            load_balancing.record_overload(endpoint, now_ns)
            load_balancing.record_result(endpoint, True, now_ns)
        else:
            failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            load_balancing.record_result(endpoint, failed, now_ns)
            if not failed:
                latency_ns = now_ns - attempt.sent_ns
                expected_ns = work_estimates.known_ns(attempt.work)
                load_balancing.record_latency(
                    endpoint, expected_ns, latency_ns, now_ns
                )
                work_estimates.record(attempt.work, latency_ns)

    def _on_ended(
        self, world: ForwardWorld, event: ConnectionEnded, now_ns: int
    ) -> None:
        connection = world.connections.get(event.connection_id)
        if connection is None:
            return
        connections.discard(world, connection)
        attempt = world.attempts.get(connection.attempt_id)
        if attempt is None:
            return
        _remove_ended(world, attempt, now_ns)
        world.counters.connections_lost += 1
        endpoint = retention.endpoint_of(world, attempt)
        if endpoint is not None:
            if event.opened:
                load_balancing.record_result(endpoint, True, now_ns)
            else:
                load_balancing.record_failure(
                    world, endpoint, now_ns, event.detail
                )
        if not attempt.abandoned:
            sent = attempt.sent_ns > 0
            world.lost_attempts.append(LostAttempt(attempt, sent, event.detail))


def _remove_ended(world: ForwardWorld, attempt: Attempt, now_ns: int) -> None:
    """Removes an attempt, and its count at its endpoint."""
    if world.attempts.pop(attempt.attempt_id, None) is None:
        return
    world.timers.cancel(TimerKind.ATTEMPT, attempt.attempt_id)
    if attempt.charge is not None and not attempt.sent_ns:
        retries.release(world, attempt.service, attempt.charge)
    endpoint = world.endpoint_of(attempt)
    if endpoint is not None:
        outstanding_work.remove(endpoint, attempt.work.expected_ns, now_ns)
