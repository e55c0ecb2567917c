"""Bodies of the HTTP interface towards callers."""

from typing import Annotated, Any, Literal

from pydantic import Field

from snipesaddle._internal.models.settings import Model

Label = Annotated[str, Field(min_length=1, max_length=128)]


class SearchBody(Model):
    """A search.

    Attributes:
      services: a part of the workload's services; empty for all of them.
      deadline_ms: from arrival; the class's latency budget if left out.
    """

    query: Any
    tenant: Label = "default"
    deadline_ms: int | None = Field(default=None, ge=1)
    services: list[Label] = []


class ExecuteBody(Model):
    """An execution; the key comes as a ticket or as Idempotency-Key."""

    body: Any
    ticket: Annotated[str, Field(min_length=1, max_length=256)] | None = None
    tenant: Label = "default"
    deadline_ms: int = Field(default=2_000, ge=1)


class MissingShardBody(Model):
    """A shard that an answer does not cover."""

    service: str
    shard: str
    weight: float
    reason: str


class CoverageBody(Model):
    """The account of what an answer covers.

    Attributes:
      fraction: from 0 to 1, weighed by the snapshot's shard map.
    """

    fraction: float
    shards: int
    missing: list[MissingShardBody]


class SearchReply(Model):
    """The answer to a search."""

    request_id: str
    snapshot: int
    coverage: CoverageBody
    hits: list[Any]


class ExecuteReply(Model):
    """The outcome of an execution."""

    request_id: str
    outcome: Literal["done", "not_run", "unknown"]
    result: Any = None
    detail: str = ""


class EntryNodeBody(Model):
    """An entry node that callers may use."""

    node: str
    address: str
    zone: str


class DirectoryReply(Model):
    """The entry nodes to use, the nearest first."""

    nodes: list[EntryNodeBody]
    keep_ms: int
    tickets: list[str]


class Problem(Model):
    """Problem details after RFC 9457.

    Attributes:
      not_run: true when no work was started for this request.
    """

    type: str
    title: str
    status: int
    detail: str
    request_id: str = ""
    not_run: bool | None = None
    retry_after_ms: int | None = None
    outcome: Literal["done", "not_run", "unknown"] | None = None
    snapshot: int | None = None
    coverage: CoverageBody | None = None
