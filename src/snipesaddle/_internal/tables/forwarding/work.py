"""Work estimates: how long endpoints take for a kind of request."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple

from snipesaddle._internal.tables.forwarding.latencies import RouteLatency

# One row takes about 400 bytes.
_MAX_ROWS = 1_024


class WorkKey(NamedTuple):
    """A kind of requests that are assumed to cost alike.

    Attributes:
      tenant: empty for the requests of all tenants.
      shape: the class of the method, the path and the body.
    """

    route_name: str
    tenant: str
    shape: int


@dataclass(slots=True)
class WorkEstimate:
    """The service times of one kind of requests.

    The latencies have a streaming median, which single pauses of an endpoint
    hardly move, and with one kind of requests it equals that of the route.
    """

    latency: RouteLatency = field(default_factory=RouteLatency)
    used_ns: int = 0


@dataclass(slots=True)
class RequestWork:
    """What is expected of one request; its attempts share it.

    Attributes:
      expected_ns: how long an endpoint of usual speed takes.
      route_ns: the same for an ordinary request of its route.
      route_latency: the latencies of its route.
      estimates: those of its kind, the most specific one first. They may have
        been evicted from the table since.
    """

    expected_ns: float
    route_ns: float
    route_latency: RouteLatency
    estimates: tuple[WorkEstimate, ...]


@dataclass(slots=True)
class WorkTable:
    """The estimates, the least recently used first; bounded in number.

    Attributes:
      evictions: how many were evicted since the start of the process.
    """

    max_rows: int = _MAX_ROWS
    rows: OrderedDict[WorkKey, WorkEstimate] = field(
        default_factory=OrderedDict
    )
    evictions: int = 0

    def use(self, key: WorkKey) -> WorkEstimate:
        """Returns the estimate of a kind of requests; creates it if absent."""
        row = self.rows.get(key)
        if row is not None:
            self.rows.move_to_end(key)
            return row
        if len(self.rows) >= self.max_rows:
            self.rows.popitem(last=False)
            self.evictions += 1
        row = self.rows[key] = WorkEstimate()
        return row
