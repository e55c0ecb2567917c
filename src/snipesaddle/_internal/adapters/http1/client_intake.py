"""The limits that the clients of all servers of a process share."""

import time
from collections.abc import Hashable
from dataclasses import astuple, dataclass, fields

from absl import logging

from snipesaddle._internal.adapters.http1.connection_limit import (
    ConnectionLimit,
)
from snipesaddle._internal.adapters.http1.read_pacer import ReadPacer
from snipesaddle._internal.adapters.http1.receive_budget import ReceiveBudget
from snipesaddle._internal.models.forwarding import (
    CapacitySettings,
    ClientSettings,
)

# Parsing so many bytes takes at most about a millisecond, whatever they are.
READ_BYTES = 16_384
# The first read of a request; more before it is known what it takes would make
# others late when many clients come at once.
FIRST_READ_BYTES = 4_096
# Connections beyond the limit for each address other than that of requests.
RESERVED_CONNECTIONS = 16
# The share of the machine's memory for requests, and for unread responses.
# A body takes up to 1.8 times its bytes while it grows together with others.
_MEMORY_SHARE = 0.2
_BYTES_PER_MB = 1_000_000
_DEFAULT_BUFFERED_BYTES = 67_108_864
# So many of the largest requests fit, whatever the settings say.
_MIN_LARGEST_REQUESTS = 4
# The largest response of an endpoint by default.
_MIN_DERIVED_UNSENT_BYTES = 16_777_216
# Descriptors for files, the store, the other nodes and listening.
_OWN_DESCRIPTORS = 200
# The rest is divided between clients and endpoints.
_CLIENT_DESCRIPTOR_SHARE = 0.5
_MIN_CONNECTIONS = 16
_DEFAULT_CONNECTIONS = 10_000
_REPORT_INTERVAL_S = 10.0


@dataclass(slots=True)
class ClientCounters:
    """What was done to clients that exceeded a limit.

    Attributes:
      client_requests_dropped: unfinished requests refused because all of them
        together were over the limit.
      client_bodies_timed_out: bodies refused because nothing more arrived.
      client_responses_dropped: responses cut off because the client did not
        read them.
    """

    client_requests_dropped: int = 0
    client_bodies_timed_out: int = 0
    client_responses_dropped: int = 0


class ClientIntake:
    """What the connections of clients share.

    Attributes:
      requests: the limit on unfinished and queued requests together.
      running_bytes: what the requests that are being handled hold.
      responses: the limit on unsent responses together.
      pacer: the limit on the time that long bodies take.
      connections: the limit on open connections.
      read_buffer: what one connection has just read; parsed before the next one
        reads.
      counters: what was done to clients that exceeded a limit.
    """

    def __init__(
        self,
        settings: ClientSettings | None = None,
        capacity: CapacitySettings | None = None,
    ) -> None:
        settings = settings or ClientSettings()
        capacity = capacity or CapacitySettings()
        self._max_buffered_bytes = (
            settings.max_buffered_bytes or _memory_share_bytes(capacity)
        )
        self.requests = ReceiveBudget(self._max_buffered_bytes, _byte_seconds)
        self.responses = ReceiveBudget(
            settings.max_unsent_bytes
            or max(_memory_share_bytes(capacity), _MIN_DERIVED_UNSENT_BYTES),
            _byte_seconds,
        )
        self.connections = ConnectionLimit(
            settings.max_connections or _connection_share(capacity)
        )
        self.pacer = ReadPacer()
        self.running_bytes = 0
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.counters = ClientCounters()
        self._reported: tuple[int, ...] = (0, 0, 0, 0)
        self._reported_at_s = 0.0

    def set_largest_request(self, max_bytes: int) -> None:
        """Makes room for a few requests of the largest size that is allowed."""
        self.requests.max_bytes = max(
            self._max_buffered_bytes, max_bytes * _MIN_LARGEST_REQUESTS
        )

    def may_run(self, held_bytes: int) -> bool:
        """Returns whether there is room for one more request to handle.

        There is always room for a single one.
        """
        total_bytes = self.running_bytes + held_bytes
        return not self.running_bytes or total_bytes <= self.requests.max_bytes

    def metrics_text(self) -> str:
        """Returns the counters in the Prometheus text format."""
        lines = [
            f"snipesaddle_{item.name}_total {getattr(self.counters, item.name)}"
            for item in fields(self.counters)
        ]
        lines.append(
            "snipesaddle_client_connections_evicted_total "
            f"{self.connections.evictions}"
        )
        lines.append(
            f"snipesaddle_client_buffered_bytes {self.requests.total_bytes}"
        )
        lines.append(
            f"snipesaddle_client_unsent_bytes {self.responses.total_bytes}"
        )
        return "\n".join(lines) + "\n"

    def report(self, now_s: float) -> None:
        """Logs the counters if they changed; called periodically."""
        counts = (*astuple(self.counters), self.connections.evictions)
        is_due = now_s - self._reported_at_s >= _REPORT_INTERVAL_S
        if not is_due or counts == self._reported:
            return
        self._reported_at_s = now_s
        self._reported = counts
        logging.warning(
            "limits on clients: %d unfinished requests dropped, %d bodies timed"
            " out, %d connections evicted, %d unread responses dropped since"
            " the start",
            self.counters.client_requests_dropped,
            self.counters.client_bodies_timed_out,
            self.connections.evictions,
            self.counters.client_responses_dropped,
        )


class HoldingConnection:
    """A connection that holds memory for a client.

    Attributes:
      holding_since_s: since when, by time.monotonic.
    """

    holding_since_s = 0.0


def _byte_seconds(connection: Hashable, held_bytes: int) -> float:
    """Returns how much a connection holds, times for how long.

    A body that arrives at a good pace weighs less than one of the same size
    that has stopped.
    """
    assert isinstance(connection, HoldingConnection)
    return held_bytes * (time.monotonic() - connection.holding_since_s)


def _memory_share_bytes(capacity: CapacitySettings) -> int:
    if capacity.memory_mb is None:
        return _DEFAULT_BUFFERED_BYTES
    return int(capacity.memory_mb * _BYTES_PER_MB * _MEMORY_SHARE)


def _connection_share(capacity: CapacitySettings) -> int:
    if capacity.max_fds is None:
        return _DEFAULT_CONNECTIONS
    shared = capacity.max_fds - _OWN_DESCRIPTORS
    return max(_MIN_CONNECTIONS, int(shared * _CLIENT_DESCRIPTOR_SHARE))
