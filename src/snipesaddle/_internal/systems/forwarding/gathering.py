"""Gathering: calls shards on behalf of a node that relayed a request."""

from snipesaddle._internal.systems.forwarding import (
    completion,
    containment,
    deadlines,
    placement,
    wakeups,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.messages import (
    RelayAsk,
    RelayCancel,
)
from snipesaddle._internal.tables.forwarding.requests import (
    ArrivedRequest,
    Part,
    RelayOrigin,
    Request,
)
from snipesaddle._internal.tables.forwarding.routes import Route
from snipesaddle._internal.tables.forwarding.tenants import Tenant
from snipesaddle._internal.tables.forwarding.world import ForwardWorld


class GatheringSystem(TickSystem[ForwardWorld]):
    """Starts the requests that other nodes relay, and ends cancelled ones."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        take = world.inbox.take
        run_each = containment.run_each
        run_each(world, take(RelayAsk), self._on_relay_ask, now_ns)
        run_each(world, take(RelayCancel), self._on_relay_cancel, now_ns)

    def _on_relay_ask(
        self, world: ForwardWorld, ask: RelayAsk, now_ns: int
    ) -> None:
        origin = RelayOrigin(ask.reply_address, ask.relay_id)
        request = _build_request(world, ask, origin, now_ns)
        world.requests[request.request_id] = request
        world.request_id_by_origin[origin] = request.request_id
        count_in_budget = not ask.is_hedge
        placement.enqueue_parts(
            world, request, now_ns, count_in_budget=count_in_budget
        )
        wakeups.schedule_first_wakeup(world, request, now_ns)

    def _on_relay_cancel(
        self, world: ForwardWorld, cancelled: RelayCancel, now_ns: int
    ) -> None:
        origin = RelayOrigin(cancelled.reply_address, cancelled.relay_id)
        request = world.requests.get(world.request_id_by_origin.get(origin, 0))
        if request is None:
            return
        if cancelled.at_once:
            completion.cancel(world, request, now_ns)
        else:
            completion.finish(world, request, now_ns)


def _build_request(
    world: ForwardWorld, ask: RelayAsk, origin: RelayOrigin, now_ns: int
) -> Request:
    route = Route(
        name=ask.route_name,
        host=ask.host,
        prefix=b"",
        idempotent=True,
        timeout_ms=ask.time_left_ms,
        target_latency_ms=ask.target_latency_ms,
        max_attempts=1 if ask.is_hedge else ask.max_attempts,
        priority=ask.priority,
        shards=ask.services,
        top_k=ask.top_k,
    )
    arrived = ArrivedRequest(
        client_id=0,
        client_request_id=ask.client_request_id,
        method=ask.method,
        host=ask.host,
        target=ask.target,
        headers=ask.headers,
        body=ask.body,
        time_limit_ms=ask.time_left_ms,
    )
    sent_ns = now_ns - deadlines.unread_wait_ns(
        world.process.unread_since_ns, now_ns
    )
    deadline_ns = sent_ns + max(1, ask.time_left_ms) * NS_PER_MS
    reply_due_ns = sent_ns + max(1, ask.soft_deadline_left_ms) * NS_PER_MS
    return Request(
        request_id=world.next_id(),
        arrived=arrived,
        route=route,
        config_version=world.active_config.version,
        arrived_ns=now_ns,
        soft_deadline_ns=min(reply_due_ns, deadline_ns),
        deadline_ns=deadline_ns,
        parts=[Part(service) for service in ask.services],
        open_parts=len(ask.services),
        total_parts=ask.total_parts,
        origin=origin,
        tenant=Tenant(ask.tenant) if ask.tenant else None,
    )
