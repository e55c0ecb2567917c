"""Quotas: limits the requests of a tenant at all nodes together.

One active node owns the quota of a tenant. The others ask it for each request,
which waits for the reply. docs/design/quotas.md says why the rule holds.
"""

from snipesaddle._internal.systems.forwarding import (
    containment,
    quota_buckets,
    quota_decisions,
    quota_owners,
    quota_questions,
)
from snipesaddle._internal.systems.forwarding.arrival_checks import (
    ArrivalCheck,
    Hold,
)
from snipesaddle._internal.systems.forwarding.load_balancing import (
    EndpointChooser,
)
from snipesaddle._internal.systems.forwarding.refusals import Refusal
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.messages import (
    QuotaAsk,
    QuotaReply,
    QuotaReturn,
)
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.tenants import Tenant
from snipesaddle._internal.tables.forwarding.world import ForwardWorld
from snipesaddle._internal.tables.timers import TimerKind

_REVIEW = "review"
_REVIEW_INTERVAL_NS = 250 * NS_PER_MS


class QuotaCheck(ArrivalCheck):
    """Counts a request against the quota of its tenant."""

    def refusal(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Refusal | Hold | None:
        tenant = request.tenant
        if tenant is None or tenant.rate_per_s <= 0:
            return None
        refusal = quota_decisions.remembered_refusal(world, tenant, now_ns)
        if refusal is not None:
            return refusal
        wait_ns = quota_buckets.take_owned_or_wait_ns(world, tenant, now_ns)
        if wait_ns is not None:
            return _decide_as_owner(world, request, tenant, wait_ns, now_ns)
        found = quota_owners.candidates(world, now_ns)
        owner_id = quota_owners.owner_of(found, tenant.name)
        if owner_id is None:
            return quota_decisions.decide_alone(
                world, request, tenant, quota_buckets.MAX_WAIT_NS, now_ns
            )
        address = found.addresses[owner_id]
        if quota_questions.may_ask(world, address, now_ns):
            quota_questions.ask(world, request, tenant, address, now_ns)
            return Hold.HELD
        max_wait_ns = quota_questions.silence_left_ns(world, address, now_ns)
        return quota_decisions.decide_alone(
            world, request, tenant, max_wait_ns, now_ns
        )


class QuotasSystem(TickSystem[ForwardWorld]):
    """Answers questions, and decides on the requests that are held."""

    def __init__(self, chooser: EndpointChooser) -> None:
        self._questions = quota_questions.QuestionHandler(chooser)

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        self._review_if_due(world, now_ns)
        take = world.inbox.take
        run_each = containment.run_each
        run_each(world, take(QuotaReturn), self._on_return, now_ns)
        run_each(world, take(QuotaAsk), quota_questions.on_ask, now_ns)
        replies = take(QuotaReply)
        run_each(world, replies, self._questions.on_reply, now_ns)
        due = world.timers.pop_due(TimerKind.QUOTA_REPLY, now_ns)
        ask_ids = [key for key in due if isinstance(key, int)]
        run_each(world, ask_ids, self._questions.on_timer, now_ns)

    def _review_if_due(self, world: ForwardWorld, now_ns: int) -> None:
        config = world.active_config.config
        is_new = world.quotas.scheduled_version != config.version
        world.quotas.scheduled_version = config.version
        due = world.timers.pop_due(TimerKind.QUOTA_REVIEW, now_ns)
        if not is_new and not due:
            return
        quota_buckets.review(world, now_ns)
        quota_buckets.refill_all(world, now_ns)
        if config.tenants is not None and config.tenants.limited():
            due_ns = now_ns + _REVIEW_INTERVAL_NS
            world.timers.set(TimerKind.QUOTA_REVIEW, _REVIEW, due_ns)

    def _on_return(
        self, world: ForwardWorld, returned: QuotaReturn, now_ns: int
    ) -> None:
        tenant = quota_buckets.limited_tenant(world, returned.tenant)
        if tenant is not None:
            quota_buckets.return_owned(world, tenant, now_ns)


def _decide_as_owner(
    world: ForwardWorld,
    request: Request,
    tenant: Tenant,
    wait_ns: int,
    now_ns: int,
) -> Refusal | None:
    if quota_decisions.decide_as_owner(world, request, tenant, wait_ns):
        return None
    if quota_decisions.grants_whole_limit(world, now_ns):
        return quota_decisions.over_quota(world, tenant, wait_ns, now_ns)
    return quota_decisions.decide_alone(world, request, tenant, wait_ns, now_ns)
