"""Outstanding work: what each endpoint still has to do.

The expected work of this node's attempts is summed per endpoint. An endpoint
works on as many attempts at a time as it has slots, so the sum falls by the
time that passes, times the busy slots, divided by the latency ratio. Nothing
iterates over attempts. What other nodes have sent is known only from
endpoints that state their load in answers.
"""

from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.endpoints import (
    Endpoint,
    ReportedLoad,
    StatedLoad,
)

# The least part of their expected work that attempts without an answer have
# left: they may cost more than expected.
_MIN_LEFT_RATIO = 0.25
# The state of an endpoint changes several times a second.
_STATED_HALF_LIFE_NS = 150 * NS_PER_MS
_MAX_STATED_AGE_NS = 1_000 * NS_PER_MS
# The weight of a stated duration against this node's own latency ratio, which
# also knows the way to the endpoint.
_STATED_DURATION_WEIGHT = 0.7
_MAX_STATED_RATIO = 20.0
_MIN_STATED_RATIO = 0.25
# Requests of other nodes that count at most, per slot.
_MAX_OTHERS_PER_SLOT = 20


def add(endpoint: Endpoint, expected_ns: float, now_ns: int) -> None:
    """Counts an attempt that starts."""
    left_ns = own_left_ns(endpoint, now_ns) if endpoint.in_flight else 0.0
    endpoint.in_flight += 1
    endpoint.expected_sum_ns += expected_ns
    endpoint.work_left_ns = left_ns + expected_ns
    endpoint.work_left_at_ns = now_ns


def remove(endpoint: Endpoint, expected_ns: float, now_ns: int) -> None:
    """Counts an attempt that has ended."""
    if endpoint.in_flight == 1:
        endpoint.in_flight = 0
        # Clears what rounding leaves in the sum.
        endpoint.expected_sum_ns = 0.0
        endpoint.work_left_ns = 0.0
        return
    left_ns = own_left_ns(endpoint, now_ns)
    endpoint.in_flight -= 1
    endpoint.work_left_at_ns = now_ns
    endpoint.expected_sum_ns -= expected_ns
    endpoint.work_left_ns = min(left_ns, endpoint.expected_sum_ns)


def own_left_ns(endpoint: Endpoint, now_ns: int) -> float:
    """Returns the expected remaining work of this node's attempts."""
    running = endpoint.in_flight
    if not running:
        return 0.0
    slots = slots_of(endpoint)
    done_ns = (now_ns - endpoint.work_left_at_ns) * float(min(running, slots))
    if endpoint.latency_ratio > 1.0:
        done_ns /= endpoint.latency_ratio
    return max(
        endpoint.work_left_ns - done_ns,
        endpoint.expected_sum_ns * _MIN_LEFT_RATIO,
    )


def mean_expected_ns(endpoint: Endpoint) -> float:
    """Returns the mean expected work of the attempts on an endpoint."""
    running = endpoint.in_flight
    return endpoint.expected_sum_ns / running if running else 0.0


def slots_of(endpoint: Endpoint) -> int:
    """Returns how many requests an endpoint runs at a time."""
    stated = endpoint.stated_load
    slots = stated.slots if stated is not None else endpoint.entry.slots
    return slots if slots > 1 else 1


def record_stated(endpoint: Endpoint, load: ReportedLoad, now_ns: int) -> None:
    """Records the load that an answer states, after its attempt has ended."""
    others = max(0, load.running + load.waiting - endpoint.in_flight)
    slots = max(1, load.slots)
    ratio = None
    if load.duration_percent is not None:
        ratio = load.duration_percent / 100
        ratio = min(max(ratio, _MIN_STATED_RATIO), _MAX_STATED_RATIO)
    endpoint.stated_load = StatedLoad(
        others=min(others, slots * _MAX_OTHERS_PER_SLOT),
        slots=slots,
        duration_ratio=ratio,
        stated_ns=now_ns,
    )


def others_per_slot(endpoint: Endpoint, now_ns: int) -> float:
    """Returns the stated requests of other nodes, discounted by their age."""
    stated = endpoint.stated_load
    if stated is None or not stated.others:
        return 0.0
    return stated.others / stated.slots * _stated_weight(stated, now_ns)


def speed_ratio(endpoint: Endpoint, own_ratio: float, now_ns: int) -> float:
    """Returns the latency ratio, corrected by what the endpoint states."""
    stated = endpoint.stated_load
    if stated is None or stated.duration_ratio is None:
        return own_ratio
    weight = _STATED_DURATION_WEIGHT * _stated_weight(stated, now_ns)
    return own_ratio + weight * (stated.duration_ratio - own_ratio)


def _stated_weight(stated: StatedLoad, now_ns: int) -> float:
    age_ns = now_ns - stated.stated_ns
    if age_ns > _MAX_STATED_AGE_NS:
        return 0.0
    weight: float = 0.5 ** (age_ns / _STATED_HALF_LIFE_NS)
    return weight
