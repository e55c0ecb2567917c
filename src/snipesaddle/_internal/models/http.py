"""Request and response bodies of the HTTP interface for callers."""

from typing import Annotated, Any, Literal

from pydantic import Field

from snipesaddle._internal.models.settings import Model

Label = Annotated[str, Field(min_length=1, max_length=128)]


class SearchBody(Model):
    """A search request.

    Attributes:
      deadline_ms: time limit from arrival; defaults to the latency budget of
        the class.
      services: some of the workload's services; empty for all of them.
    """

    query: Any
    tenant: Label = "default"
    deadline_ms: int | None = Field(default=None, ge=1)
    services: list[Label] = []


class ExecuteBody(Model):
    """An execution request; its key is a ticket or the Idempotency-Key header.

    Attributes:
      deadline_ms: time limit from arrival.
    """

    body: Any
    ticket: Annotated[str, Field(min_length=1, max_length=256)] | None = None
    tenant: Label = "default"
    deadline_ms: int = Field(default=2_000, ge=1)


class MissingShardBody(Model):
    """A shard that an answer does not cover.

    Attributes:
      weight: the shard's fraction of the query, from 0 to 1.
    """

    service: str
    shard: str
    weight: float
    reason: str


class CoverageBody(Model):
    """The coverage of an answer.

    Attributes:
      fraction: covered fraction from 0 to 1, weighted by the snapshot's shard
        map.
      shards: number of shards that the query needed.
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
    """The entry nodes to use, those in the caller's zone first.

    Attributes:
      keep_ms: how long the caller may use this answer.
    """

    nodes: list[EntryNodeBody]
    keep_ms: int
    tickets: list[str]


class Problem(Model):
    """Problem details as defined in RFC 9457.

    Attributes:
      not_run: whether it is certain that no work was started for the request.
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
