"""Deadlines: how long a request waits for its missing parts.

The value of an answer within the target latency is the square of the share of
parts that it holds; a late answer has little value. The closer to the target
latency an answer is sent, the likelier network delay to the client makes it
late. So an answer waits longer the more parts are missing, but never beyond
the soft deadline, the latest time to send an answer within the target latency.

Time that a client spent before its request arrived (on the directory, a new
connection or an earlier attempt) shortens the time limit that it sends, so it
is estimated from the longest time limit seen on the route.

This handles requests over many shards, where at least one is always late.
"""

from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.routes import Route

# Time for the answer to reach the client, including a new connection.
_REPLY_MARGIN_MS = 12
_REPLY_MARGIN_RATIO = 0.03
# A client that spent more of the target latency cannot be answered in time.
_MAX_SPENT_RATIO = 0.6
# How long before the soft deadline the risk of a late answer starts to grow,
# as a share of the target latency; _REPLY_MARGIN_MS is subtracted from it.
_LATE_RISK_SPAN_RATIO = 0.32
# If the missing parts cost this share of the answer's value or more, they are
# awaited until the soft deadline.
_FULL_WAIT_LOSS_RATIO = 0.15
# The most by which the estimate of the time that a request waited to be read
# may fall short. Endpoints may be told 500 ms too much.
_MAX_WAIT_ERROR_NS = 300 * NS_PER_MS


def client_spent_ms(route: Route, limit_ms: int, longest_ms: int) -> int:
    """Returns how much of the target latency the client has already spent.

    That is the difference between its time limit and the longest recent one of
    the route's clients. A very large difference counts as 0: the client chose
    a shorter limit itself, or its answer is late in any case.
    """
    spent_ms = longest_ms - limit_ms
    return (
        spent_ms if spent_ms < route.target_latency_ms * _MAX_SPENT_RATIO else 0
    )


def unread_wait_ns(unread_since_ns: int, read_ns: int) -> int:
    """Returns how long a message has probably waited to be read.

    It arrived at some time while the process was busy. The result is the larger
    of half of the longest possible wait, and that wait less 300 ms.

    Args:
      unread_since_ns: it arrived after this time; 0 if that is not known.
      read_ns: when it was read.
    """
    if not unread_since_ns:
        return 0
    longest_ns = max(0, read_ns - unread_since_ns)
    return max(longest_ns // 2, longest_ns - _MAX_WAIT_ERROR_NS)


def soft_deadline_ns(route: Route, arrived_ns: int, spent_ms: int) -> int:
    """Returns the latest time to send an answer within the target latency."""
    available_ms = (
        route.target_latency_ms * (1 - _REPLY_MARGIN_RATIO) - _REPLY_MARGIN_MS
    )
    available_ms -= spent_ms
    return arrived_ns + int(max(1.0, available_ms) * NS_PER_MS)


def earliest_partial_ns(request: Request, missing: int, total: int) -> int:
    """Returns from when an answer without the missing parts is sent."""
    loss = 1 - (1 - missing / total) ** 2
    span_ms = (
        request.route.target_latency_ms * _LATE_RISK_SPAN_RATIO
        - _REPLY_MARGIN_MS
    )
    early_ratio = 1 - min(1.0, loss / _FULL_WAIT_LOSS_RATIO)
    return request.soft_deadline_ns - int(
        max(0.0, span_ms) * NS_PER_MS * early_ratio
    )
