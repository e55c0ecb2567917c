"""Publishing by compare-and-swap of the configuration head."""

import secrets
import time
from dataclasses import dataclass

import anyio

from snipesaddle._internal.adapters.config_store import ConfigStore
from snipesaddle._internal.errors import (
    PublishConflictError,
    PublishOutcomeUnknownError,
    StoreUnavailableError,
)
from snipesaddle._internal.tables.config import (
    Head,
    PublishRecord,
    ServiceSpec,
)

_MAX_HISTORY_RECORDS = 64
_RETRY_DELAY_S = 0.1


@dataclass(frozen=True, slots=True)
class Change:
    """The changes of one publish.

    Attributes:
      specs: the services to add or replace.
      removed: names of the services to remove.
      base: the generation on which the files are based; None for the newest.
    """

    specs: list[ServiceSpec]
    removed: list[str]
    publisher: str
    base: int | None = None


@dataclass(frozen=True, slots=True)
class PublishResult:
    """An accepted publish.

    Attributes:
      publish_id: empty if the publish changed nothing.
      changed: names of the changed services; empty if there was no change.
    """

    generation: int
    publish_id: str
    changed: tuple[str, ...]


class Publisher:
    """Publishes changes through the store.

    Args:
      configs: access to the configuration in the store.
      retry_timeout_s: how long failed store calls are retried, separately for
        the services and for the head.
    """

    def __init__(self, configs: ConfigStore, retry_timeout_s: float) -> None:
        self._configs = configs
        self._retry_timeout_s = retry_timeout_s

    async def publish(self, change: Change) -> PublishResult:
        """Writes a new generation and returns it.

        Concurrent publishes of other services are merged. If the reply to a
        write is lost, the head's history is searched for the publish id to
        find out whether the write took effect.

        Raises:
          PublishConflictError: another publish changed the same services.
          PublishOutcomeUnknownError: the head may have been written.
          StoreUnavailableError: the head was not written.
        """
        digests = await self._write_specs(change)
        publish_id = secrets.token_hex(8)
        base: Head | None = None
        write_attempted = False
        deadline_s = anyio.current_time() + self._retry_timeout_s
        while True:
            try:
                head, version = await self._configs.read_head()
                already_published = _find_publish(head, publish_id)
                if already_published is not None:
                    return already_published
                base = base or head
                _check_conflict(change, digests, base, head)
                new_head = _next_head(change, digests, head, publish_id)
                if new_head is None:
                    return PublishResult(head.generation, "", ())
                write_attempted = True
                result = await self._configs.write_head(new_head, version)
                if result.written:
                    return _latest_publish(new_head)
            except StoreUnavailableError:
                if anyio.current_time() < deadline_s:
                    await anyio.sleep(_RETRY_DELAY_S)
                elif write_attempted:
                    raise PublishOutcomeUnknownError(publish_id) from None
                else:
                    raise

    async def _write_specs(self, change: Change) -> dict[str, str]:
        deadline_s = anyio.current_time() + self._retry_timeout_s
        while True:
            try:
                return {
                    spec.name: await self._configs.write_spec(spec)
                    for spec in change.specs
                }
            except StoreUnavailableError:
                if anyio.current_time() >= deadline_s:
                    raise
                await anyio.sleep(_RETRY_DELAY_S)


def changed_names(
    head: Head, digests: dict[str, str], removed: list[str]
) -> tuple[str, ...]:
    """Returns the names of the services that a change would affect."""
    changed = [n for n, d in digests.items() if head.services.get(n) != d]
    changed += [name for name in removed if name in head.services]
    return tuple(sorted(changed))


def _find_publish(head: Head, publish_id: str) -> PublishResult | None:
    for record in head.history:
        if record.publish_id == publish_id:
            return PublishResult(record.generation, publish_id, record.changed)
    return None


def _check_conflict(
    change: Change, digests: dict[str, str], base: Head, head: Head
) -> None:
    base_generation = base.generation if change.base is None else change.base
    own_names = set(changed_names(head, digests, change.removed))
    for record in reversed(head.history):
        if record.generation <= base_generation:
            break
        conflicting = sorted(own_names.intersection(record.changed))
        if conflicting:
            raise PublishConflictError(
                record.publisher, record.publish_id, conflicting
            )


def _next_head(
    change: Change, digests: dict[str, str], head: Head, publish_id: str
) -> Head | None:
    changed = changed_names(head, digests, change.removed)
    if not changed:
        return None
    services = head.services | digests
    for name in change.removed:
        services.pop(name, None)
    record = PublishRecord(
        generation=head.generation + 1,
        publish_id=publish_id,
        publisher=change.publisher,
        at_unix_ms=time.time_ns() // 1_000_000,
        changed=changed,
    )
    history = (*head.history, record)[-_MAX_HISTORY_RECORDS:]
    return Head(record.generation, services, history)


def _latest_publish(head: Head) -> PublishResult:
    record = head.history[-1]
    return PublishResult(record.generation, record.publish_id, record.changed)
