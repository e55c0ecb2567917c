"""Publishes services and waits until they are in force."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import httpx

from snipesaddle._internal.adapters.config_store import (
    ConfigStore,
    digest_of,
    encode_spec,
)
from snipesaddle._internal.adapters.node_client import NodeClient
from snipesaddle._internal.errors import NodeUnavailableError
from snipesaddle._internal.publishing import (
    Change,
    Publisher,
    PublishResult,
    changed_names,
)
from snipesaddle._internal.tables.config import Head, PublishRecord

_POLL_S = 0.05

Progress = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class InForceStatus:
    """How far a published generation is in force.

    Attributes:
      nodes: the number of nodes queried.
      lagging: the nodes without the generation.
    """

    generation: int
    waited_ms: int
    nodes: int
    lagging: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PublishDiff:
    """The services that a publish would add, change and remove.

    Attributes:
      generation: the current generation, which the comparison is against.
    """

    generation: int
    added: tuple[str, ...]
    changed: tuple[str, ...]
    removed: tuple[str, ...]


async def publish(
    configs: ConfigStore, change: Change, retry_timeout_s: float
) -> PublishResult:
    """Publishes a change; raises the errors of Publisher.publish."""
    return await Publisher(configs, retry_timeout_s).publish(change)


async def diff(configs: ConfigStore, change: Change) -> PublishDiff:
    """Returns what publishing a change would do, without writing."""
    head, _ = await configs.read_head()
    digests = {s.name: digest_of(encode_spec(s)) for s in change.specs}
    affected = changed_names(head, digests, change.removed)
    return PublishDiff(
        generation=head.generation,
        added=tuple(n for n in affected if n not in head.services),
        changed=tuple(
            n for n in affected if n in head.services and n in digests
        ),
        removed=tuple(n for n in affected if n in change.removed),
    )


async def history(configs: ConfigStore) -> tuple[PublishRecord, ...]:
    """Returns the most recent publishes, newest last."""
    head: Head = (await configs.read_head())[0]
    return head.history


async def _node_statuses(client: NodeClient) -> list[dict[str, Any]]:
    # The publish has already been accepted, so an unreachable node is not an
    # error: it is reported without a generation and waited for.
    try:
        return await client.statuses()
    except (NodeUnavailableError, httpx.HTTPError):
        return [{"node": address} for address in client.addresses]


async def wait_until_in_force(
    client: NodeClient, generation: int, timeout_s: float, progress: Progress
) -> InForceStatus:
    """Waits until a generation is in force on every live node.

    Returns the state reached, at the latest after `timeout_s`. Once a second,
    `progress` is called with the names of the lagging nodes.
    """
    started_s = time.monotonic()
    last_reported_s = -1
    while True:
        statuses = await _node_statuses(client)
        lagging = tuple(
            str(status["node"])
            for status in statuses
            if int(status.get("generation", 0)) < generation
        )
        waited_s = time.monotonic() - started_s
        if not lagging or waited_s >= timeout_s:
            return InForceStatus(
                generation, int(waited_s * 1_000), len(statuses), lagging
            )
        if int(waited_s) > last_reported_s:
            last_reported_s = int(waited_s)
            progress(f"waiting for {', '.join(lagging)}")
        await anyio.sleep(_POLL_S)
