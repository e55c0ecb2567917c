"""Deadlines: until when missing parts are waited for.

An answer within the target latency is worth the square of its share of the
parts; a late one is worth little. The nearer the target, the likelier the way
to the client makes an answer late. So the more parts are missing, the longer
they are waited for, and no longer than the aim.

What a client spent before its request arrived (on the directory, on a new
connection, on an earlier attempt) shows in its time limit, which is shorter
than that of others by as much.

The load pattern answered: over many shards, one is always late.
"""

from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.routes import Route

# What an answer needs for its way to the client, a new connection included.
_MARGIN_MS = 12
_MARGIN_SHARE = 0.03
# A larger share of the target latency leaves no time for an answer.
_MAX_SPENT = 0.6
# How long before the aim the chance to be late begins to grow, as a share of
# the target latency; the margin is taken off.
_RISK_SPAN = 0.32
# A loss of this share of an answer's worth is waited for up to the aim.
_FULL_LOSS = 0.15


def spent_ms(route: Route, limit_ms: int, longest_ms: int) -> int:
    """Returns what the client has spent of the target latency already.

    A time limit that is shorter by more than that is the client's own choice,
    or the answer is late in any case.
    """
    spent = longest_ms - limit_ms
    return spent if spent < route.target_latency_ms * _MAX_SPENT else 0


def soft_deadline_ns(route: Route, arrived_ns: int, already_ms: int) -> int:
    """Returns when an answer has to leave to be in time."""
    aim_ms = route.target_latency_ms * (1 - _MARGIN_SHARE) - _MARGIN_MS
    aim_ms -= already_ms
    return arrived_ns + int(max(1.0, aim_ms) * NS_PER_MS)


def earliest_partial_ns(request: Request, missing: int, total: int) -> int:
    """Returns when an answer without the missing parts is good enough."""
    loss = 1 - (1 - missing / total) ** 2
    span_ms = request.route.target_latency_ms * _RISK_SPAN - _MARGIN_MS
    waited = 1 - min(1.0, loss / _FULL_LOSS)
    return request.soft_deadline_ns - int(
        max(0.0, span_ms) * NS_PER_MS * waited
    )
