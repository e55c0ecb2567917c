"""Models of service files, in which operators define services."""

from pydantic import Field, model_validator

from snipesaddle._internal.models.settings import Address, Model, Name
from snipesaddle._internal.tables.config import (
    LeafSpec,
    ServiceKind,
    ServiceSpec,
    WhenLate,
)


class ClassModel(Model):
    """The class of a service's requests; priority 0 is the most urgent."""

    tenant: Name
    priority: int = Field(default=0, ge=0, le=3)
    latency_budget_ms: int = Field(default=1_000, ge=1, le=60_000)


class HedgeModel(Model):
    """Request hedging: when a second leaf is called, and how often.

    Attributes:
      quantile: latency quantile after which a call is hedged.
      extra_load: maximum ratio of hedges to primary calls.
    """

    quantile: float = Field(default=0.95, gt=0.5, lt=1.0)
    extra_load: float = Field(default=0.05, ge=0.0, le=0.5)


class CoverageModel(Model):
    """How partial answers are handled.

    Attributes:
      min_coverage: answers that cover a smaller fraction are refused, with
        the coverage in the error.
      when_late: whether to answer without late shards or to wait for them.
      grace_ms: how long to wait for late shards past the deadline.
    """

    min_coverage: float = Field(default=0.0, ge=0.0, le=1.0)
    when_late: WhenLate = WhenLate.PARTIAL
    grace_ms: int = Field(default=0, ge=0, le=60_000)


class LeafModel(Model):
    """A leaf.

    Attributes:
      slots: number of requests that the leaf serves at once.
      connection_limit: number of connections that the leaf accepts, over all
        entry nodes.
    """

    address: Address
    zone: Name
    slots: int = Field(ge=1, le=1_000)
    connection_limit: int = Field(ge=1, le=100_000)

    @model_validator(mode="after")
    def _check_limits(self) -> "LeafModel":
        if self.slots > self.connection_limit:
            raise ValueError(
                f"{self.slots} slots require as many connections, but the limit"
                f" is {self.connection_limit}; raise connection_limit"
            )
        return self


class ShardModel(Model):
    """A shard with its leaves."""

    name: Name
    leaves: list[LeafModel] = Field(min_length=1)


class ServiceFile(Model):
    """A service file."""

    name: Name
    workload: Name
    kind: ServiceKind
    class_: ClassModel = Field(alias="class")
    hedge: HedgeModel = HedgeModel()
    coverage: CoverageModel = CoverageModel()
    shards: list[ShardModel] = Field(min_length=1)

    @model_validator(mode="after")
    def _check_names(self) -> "ServiceFile":
        names = [shard.name for shard in self.shards]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        if duplicates:
            raise ValueError(
                f"duplicate shard names: {', '.join(duplicates)}; rename or"
                " remove the duplicates"
            )
        return self

    def to_spec(self) -> ServiceSpec:
        """Returns the service in the form that the tables store."""
        return ServiceSpec(
            name=self.name,
            workload=self.workload,
            kind=self.kind,
            tenant=self.class_.tenant,
            priority=self.class_.priority,
            latency_budget_ms=self.class_.latency_budget_ms,
            hedge_quantile=self.hedge.quantile,
            hedge_extra_load=self.hedge.extra_load,
            min_coverage=self.coverage.min_coverage,
            when_late=self.coverage.when_late,
            grace_ms=self.coverage.grace_ms,
            shards={
                shard.name: tuple(
                    LeafSpec(
                        leaf.address,
                        leaf.zone,
                        leaf.slots,
                        leaf.connection_limit,
                    )
                    for leaf in shard.leaves
                )
                for shard in self.shards
            },
        )
