"""Load shedding: refuses requests that this node cannot answer in time.

The work that a node has accepted is counted as the time that its processor and
its link need for it. A request that would be later than its soft deadline
because of that work is refused at once, so that its client can ask another
node. Less urgent requests leave a part of that time to more urgent ones. A
class of requests that is refused much more often than others takes precedence
over these, so that none is starved.
"""

import math

from snipesaddle._internal.systems.forwarding import capacity
from snipesaddle._internal.systems.forwarding.arrival_checks import (
    ArrivalCheck,
)
from snipesaddle._internal.systems.forwarding.refusals import (
    Refusal,
    bounded_retry_ms,
    not_run,
)
from snipesaddle._internal.systems.tick import NS_PER_MS, TickSystem
from snipesaddle._internal.tables.forwarding.load import (
    ClassAdmission,
    NodeLoad,
)
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# Below this share of what the node may use of the processor, the time that the
# accepted work takes is overestimated.
_MIN_BUSY_RATIO = 0.75
# One search in a tick delays events by less than this in the mean.
_MIN_LOOP_DELAY_NS = 40 * NS_PER_MS
# By priority; the last is for all higher numbers. A shorter wait is never a
# reason to refuse: a retry on a new connection takes longer.
_MIN_WAITS_NS = (80 * NS_PER_MS, 50 * NS_PER_MS, 30 * NS_PER_MS)
# The share of the time to its soft deadline for which a request may wait, by
# its priority; the last is for all higher numbers.
_WAIT_RATIOS = (1.0, 0.75, 0.5)
# Where the request's own work takes all of that time, it may wait this long in
# proportion to that work.
_MIN_LIMIT_RATIO = 0.5
# A class that was refused is accepted again below this share of its limit.
_ACCEPT_AGAIN_RATIO = 0.75
# A class is starved if its accepted share is below this part of another's. No
# class may be served less than a quarter as often as others.
_STARVED_RATIO = 0.4
# What an attempt carries besides the body of its answer.
_HEAD_BYTES = 400
_BYTES_EWMA_WEIGHT = 0.01
# How long an accepted or refused request counts.
_FADE_NS = 5_000 * NS_PER_MS


class TimeLeftCheck(ArrivalCheck):
    """Refuses requests whose time limit ended before this node read them."""

    def refusal(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Refusal | None:
        del world
        if now_ns < request.deadline_ns:
            return None
        return not_run("no time left")


class LoadCheck(ArrivalCheck):
    """Refuses requests that the accepted work would make late.

    Only the check of quotas follows, because it counts the requests that it
    accepts.
    """

    def refusal(
        self, world: ForwardWorld, request: Request, now_ns: int
    ) -> Refusal | None:
        settings = world.settings.capacity
        if not capacity.attempt_ns(settings):
            return None
        part_count = len(request.parts)
        own_ns = part_count * max(
            capacity.processor_ns(settings), _link_ns(world)
        )
        key = (request.route.name, request.priority)
        admission = _admission_of(world, key, now_ns)
        wait_ns = expected_wait_ns(world, now_ns) if world.requests else 0.0
        admission.limit_ns = _limit_ns(world, request, own_ns, now_ns)
        limit_ns = min(admission.limit_ns, _others_limit_ns(world, key, now_ns))
        limit_ns = max(limit_ns, _MIN_WAITS_NS[_rank(request)])
        accept_again_ns = limit_ns * _ACCEPT_AGAIN_RATIO
        if admission.is_refusing:
            limit_ns = accept_again_ns
        is_refused = wait_ns > limit_ns
        if is_refused != admission.is_refusing:
            _log_change(world, request, is_refused, wait_ns, limit_ns)
        admission.is_refusing = is_refused
        if not is_refused:
            admission.accepted += 1
            world.load.admitted_parts += part_count
            return None
        admission.refused += 1
        world.counters.shed_requests += 1
        retry_after_ms = bounded_retry_ms(wait_ns - accept_again_ns)
        return not_run("this node is busy", retry_after_ms)


class LoadSystem(TickSystem[ForwardWorld]):
    """Counts the work of the attempts that were started."""

    def run(self, world: ForwardWorld, now_ns: int) -> None:
        load = world.load
        load.admitted_parts = 0
        for answered in world.answered_attempts:
            _record_bytes(load, len(answered.event.answer.body))
        count = world.counters.attempts - load.counted_attempts
        if not count:
            return
        load.counted_attempts = world.counters.attempts
        settings = world.settings.capacity
        load.processor_until_ns = max(now_ns, load.processor_until_ns) + int(
            count * capacity.processor_ns(settings)
        )
        load.link_until_ns = max(now_ns, load.link_until_ns) + int(
            count * _link_ns(world)
        )


def _record_bytes(load: NodeLoad, body_bytes: int) -> None:
    attempt_bytes = body_bytes + _HEAD_BYTES
    if not load.attempt_bytes:
        load.attempt_bytes = attempt_bytes
    load.attempt_bytes += _BYTES_EWMA_WEIGHT * (
        attempt_bytes - load.attempt_bytes
    )


def _link_ns(world: ForwardWorld) -> float:
    """Returns how long the link is busy with one attempt."""
    settings = world.settings.capacity
    if not world.load.attempt_bytes:
        return capacity.link_ns(settings)
    return capacity.link_ns(settings, world.load.attempt_bytes)


def expected_wait_ns(world: ForwardWorld, now_ns: int) -> float:
    """Returns how long the accepted work occupies this node."""
    settings = world.settings.capacity
    load = world.load
    process = world.process
    link_ns = max(0, load.link_until_ns - now_ns)
    link_ns += int(load.admitted_parts * _link_ns(world))
    wait_ns = float(link_ns)
    if process.loop_delay_ns > _MIN_LOOP_DELAY_NS:
        wait_ns = max(wait_ns, 2 * process.loop_delay_ns)
    usable = settings.cpu_share or 1.0
    if process.processor_use < _MIN_BUSY_RATIO * usable:
        return wait_ns
    processor_ns = max(0, load.processor_until_ns - now_ns)
    processor_ns += int(load.admitted_parts * capacity.processor_ns(settings))
    return max(wait_ns, float(processor_ns))


def _limit_ns(
    world: ForwardWorld, request: Request, own_ns: float, now_ns: int
) -> int:
    """Returns the longest wait with which a request is answered in time."""
    admission = world.load.classes[request.route.name, request.priority]
    rank = _rank(request)
    is_starved = _is_starved_by_any(world, admission, now_ns)
    ratio = 1.0 if is_starved else _WAIT_RATIOS[rank]
    left_ns = request.soft_deadline_ns - now_ns - own_ns
    return int(max(left_ns * ratio, own_ns * _MIN_LIMIT_RATIO))


def _rank(request: Request) -> int:
    return min(max(request.priority, 0), len(_WAIT_RATIOS) - 1)


def _others_limit_ns(
    world: ForwardWorld, key: tuple[str, int], now_ns: int
) -> float:
    """Returns the longest wait that leaves room for what takes precedence.

    More urgent classes do, and starved ones. A class with much time would
    otherwise fill the node up to where those with little time are refused.
    """
    classes = world.load.classes
    admission = classes[key]
    is_starved = _is_starved_by_any(world, admission, now_ns)
    return min(
        (
            other.limit_ns * _ACCEPT_AGAIN_RATIO
            for other_key, other in classes.items()
            if _is_starved(other, admission, now_ns)
            or (
                not is_starved
                and other_key[1] < key[1]
                and now_ns - other.updated_ns < _FADE_NS
            )
        ),
        default=math.inf,
    )


def _is_starved(
    admission: ClassAdmission, other: ClassAdmission, now_ns: int
) -> bool:
    """Returns whether a class is refused much more often than another."""
    if now_ns - admission.updated_ns > _FADE_NS or admission.refused < 1:
        return False
    own_ratio = _accepted_ratio(admission)
    return own_ratio < _STARVED_RATIO * _accepted_ratio(other)


def _is_starved_by_any(
    world: ForwardWorld, admission: ClassAdmission, now_ns: int
) -> bool:
    return any(
        _is_starved(admission, other, now_ns)
        for other in world.load.classes.values()
    )


def _accepted_ratio(admission: ClassAdmission) -> float:
    total = admission.accepted + admission.refused
    return admission.accepted / total if total else 1.0


def _admission_of(
    world: ForwardWorld, key: tuple[str, int], now_ns: int
) -> ClassAdmission:
    """Returns the row of a class of requests, with faded counts."""
    admission = world.load.classes.get(key)
    if admission is None:
        admission = world.load.classes[key] = ClassAdmission()
    kept = math.exp(-(now_ns - admission.updated_ns) / _FADE_NS)
    admission.accepted *= kept
    admission.refused *= kept
    admission.updated_ns = now_ns
    return admission


def _log_change(
    world: ForwardWorld,
    request: Request,
    is_refused: bool,
    wait_ns: float,
    limit_ns: float,
) -> None:
    world.log(
        "shedding_started" if is_refused else "shedding_ended",
        route=request.route.name,
        priority=request.priority,
        wait_ms=round(wait_ns / NS_PER_MS),
        limit_ms=round(limit_ns / NS_PER_MS),
        loop_delay_ms=round(world.process.loop_delay_ns / NS_PER_MS),
        processor_use=round(world.process.processor_use, 2),
        open_requests=len(world.requests),
    )
