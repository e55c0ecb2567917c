"""Refusals: answers requests of which nothing has run."""

import math
from dataclasses import dataclass

from snipesaddle._internal.systems.tick import NS_PER_MS
from snipesaddle._internal.tables.forwarding.commands import (
    ErrorKind,
    SendError,
)
from snipesaddle._internal.tables.forwarding.fleet import NodePhase
from snipesaddle._internal.tables.forwarding.requests import ArrivedRequest
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# For a request that did not run, for instance while this node is starting.
_RETRY_AFTER_MS = 300
# Bounds of a wait that is worked out from the load.
_MIN_RETRY_AFTER_MS = 20
_MAX_RETRY_AFTER_MS = 1_000


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused.

    Attributes:
      retry_after_ms: the shortest wait before a retry; 0 if not given.
    """

    error_kind: ErrorKind
    detail: str
    retry_after_ms: int = 0


def not_run(detail: str, retry_after_ms: int = _RETRY_AFTER_MS) -> Refusal:
    """Returns the refusal of a request that can be repeated."""
    return Refusal(ErrorKind.NOT_RUN, detail, retry_after_ms)


def bounded_retry_ms(wait_ns: float) -> int:
    """Returns how long a client shall wait for what is busy that long."""
    wait_ms = min(wait_ns / NS_PER_MS, _MAX_RETRY_AFTER_MS)
    return max(math.ceil(wait_ms), _MIN_RETRY_AFTER_MS)


def refuse(
    world: ForwardWorld, arrived: ArrivedRequest, refusal: Refusal
) -> None:
    """Answers a request that is refused."""
    world.counters.refused += 1
    is_leaving = world.this_node.phase is NodePhase.LEAVING
    is_over_quota = refusal.error_kind is ErrorKind.OVER_QUOTA
    # While this node leaves, another one can take the request at once, but
    # quotas are those of all nodes.
    retry_after_ms = refusal.retry_after_ms
    if is_leaving and not is_over_quota:
        retry_after_ms = 0
    # Refusals by quotas are logged by tenant, as there may be many.
    if not is_over_quota:
        world.log(
            "request_refused",
            request=arrived.client_request_id,
            refusal=refusal.error_kind.value,
            detail=refusal.detail,
            config_version=world.active_config.version,
            store_ok=world.store.is_ok,
        )
    world.emit(
        SendError(
            arrived.client_id,
            refusal.error_kind,
            refusal.detail,
            retry_after_ms,
            is_leaving,
        )
    )
