"""Publishing: one compare-and-swap of the head for each publish."""

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

_HISTORY = 64
_RETRY_DELAY_S = 0.1


@dataclass(frozen=True, slots=True)
class Change:
    """What one publish changes.

    Attributes:
      base: the generation that the files started from; None for the newest.
    """

    specs: list[ServiceSpec]
    removed: list[str]
    publisher: str
    base: int | None = None


@dataclass(frozen=True, slots=True)
class PublishResult:
    """An accepted publish; `changed` is empty when all was in force."""

    generation: int
    publish_id: str
    changed: tuple[str, ...]


class Publisher:
    """Publishes changes through the store."""

    def __init__(self, configs: ConfigStore, retry_timeout_s: float) -> None:
        self._configs = configs
        self._retry_timeout_s = retry_timeout_s

    async def publish(self, change: Change) -> PublishResult:
        """Writes a new generation and returns it.

        Disjoint changes of others are kept. A put whose reply was lost is
        settled by looking for the publish id in the head's history.

        Raises:
          PublishConflictError: another publish changed the same services.
          PublishOutcomeUnknownError: the put may have taken effect.
          StoreUnavailableError: nothing was written.
        """
        digests = await self._write_specs(change)
        publish_id = secrets.token_hex(8)
        base: Head | None = None
        tried = False
        deadline_s = anyio.current_time() + self._retry_timeout_s
        while True:
            try:
                head, version = await self._configs.read_head()
                done = _find(head, publish_id)
                if done is not None:
                    return done
                base = base or head
                _check_conflict(change, digests, base, head)
                new = _apply(change, digests, head, publish_id)
                if new is None:
                    return PublishResult(head.generation, "", ())
                tried = True
                result = await self._configs.write_head(new, version)
                if result.written:
                    return _published(new)
            except StoreUnavailableError:
                if anyio.current_time() < deadline_s:
                    await anyio.sleep(_RETRY_DELAY_S)
                elif tried:
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
    """Returns the services that a change would touch."""
    changed = [n for n, d in digests.items() if head.services.get(n) != d]
    changed += [name for name in removed if name in head.services]
    return tuple(sorted(changed))


def _find(head: Head, publish_id: str) -> PublishResult | None:
    for record in head.history:
        if record.publish_id == publish_id:
            return PublishResult(record.generation, publish_id, record.changed)
    return None


def _check_conflict(
    change: Change, digests: dict[str, str], base: Head, head: Head
) -> None:
    since = base.generation if change.base is None else change.base
    mine = set(changed_names(head, digests, change.removed))
    for record in reversed(head.history):
        if record.generation <= since:
            break
        both = sorted(mine.intersection(record.changed))
        if both:
            raise PublishConflictError(
                record.publisher, record.publish_id, both
            )


def _apply(
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
    history = (*head.history, record)[-_HISTORY:]
    return Head(record.generation, services, history)


def _published(head: Head) -> PublishResult:
    record = head.history[-1]
    return PublishResult(record.generation, record.publish_id, record.changed)
