"""Settings of the daemon, read from YAML."""

import ipaddress
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("use the form IP:PORT, with a port from 1 to 65535")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError("use an IP address instead of a host name") from None
    return value


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class Model(BaseModel):
    """Base class of the models; unknown keys are errors.

    Instances are immutable.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSettings(Model):
    """The name and the addresses of this entry node.

    Attributes:
      http: address for callers.
      peer: address on which it listens for other entry nodes.
      peer_advertised: address at which they reach it, if different.
    """

    name: Name
    zone: Name
    http: Address
    peer: Address
    peer_advertised: Address | None = None


class PlatformSettings(Model):
    """Addresses of the platform's services, and how they are called.

    Attributes:
      watch_wait_ms: how long one watch of the store waits for a change.
    """

    store: Address
    vm_list: Address
    store_timeout_ms: int = Field(default=1_000, ge=10)
    watch_wait_ms: int = Field(default=2_000, ge=100)
    vm_list_interval_ms: int = Field(default=2_000, ge=50)


class MembershipSettings(Model):
    """Heartbeats between entry nodes.

    Attributes:
      suspect_after_ms: a neighbour is down after this time without heartbeat.
      neighbours: maximum number of nodes to exchange heartbeats with.
      watchers: number of nodes that watch the store.
    """

    heartbeat_interval_ms: int = Field(default=1_000, ge=20)
    suspect_after_ms: int = Field(default=3_000, ge=50)
    neighbours: int = Field(default=8, ge=2)
    watchers: int = Field(default=2, ge=1)


class DirectorySettings(Model):
    """Answers to callers that request the entry nodes to use.

    Attributes:
      keep_ms: how long a caller may use an answer.
      size: maximum number of nodes in an answer.
      max_tickets: maximum number of tickets in an answer.
    """

    keep_ms: int = Field(default=5_000, ge=100)
    size: int = Field(default=8, ge=1)
    max_tickets: int = Field(default=64, ge=1)


class LeafSettings(Model):
    """Connections to leaves and their health.

    Attributes:
      owners: number of entry nodes that share a leaf's connections.
      warm_links: number of links per leaf to open in advance.
      max_opening: maximum number of links to open in advance at once.
      drain_hold_ms: how long a leaf reported as draining receives no work,
        even if a health report, which may be out of date, says it is serving.
      eject_after_failures: consecutive failures that eject a leaf.
      ejection_ms: duration of the first ejection; doubled with each further
        failure.
      reopen_delay_ms: delay before a link is opened again after a failed
        probe.
    """

    owners: int = Field(default=5, ge=1)
    warm_links: int = Field(default=1, ge=0)
    max_opening: int = Field(default=16, ge=1)
    probe_interval_ms: int = Field(default=10_000, ge=50)
    probe_timeout_ms: int = Field(default=1_000, ge=10)
    drain_hold_ms: int = Field(default=60_000, ge=0)
    eject_after_failures: int = Field(default=3, ge=1)
    ejection_ms: int = Field(default=2_000, ge=10)
    reopen_delay_ms: int = Field(default=200, ge=1)


class AdmissionSettings(Model):
    """Admission limits of this node.

    Attributes:
      max_queries: maximum number of open queries.
      min_queries: lower bound of the adaptive limit for the most urgent
        priority.
      max_lag_ms: mean lag of the event loop above which fewer queries are
        admitted.
      max_executions: maximum number of executions in flight to leaves.
      max_deadline_ms: longer deadlines of requests are reduced to this.
      return_trip_ms: part of each deadline that is reserved for the answer's
        way back to the caller.
    """

    max_queries: int = Field(default=64, ge=1)
    min_queries: int = Field(default=4, ge=1)
    max_lag_ms: int = Field(default=20, ge=1)
    max_executions: int = Field(default=256, ge=1)
    max_body_bytes: int = Field(default=262_144, ge=1_024)
    max_deadline_ms: int = Field(default=60_000, ge=1)
    return_trip_ms: int = Field(default=3, ge=0)


class ExecutionSettings(Model):
    """Tickets, idempotency keys and relays of executions.

    Attributes:
      ticket_life_ms: how long an unused ticket is valid.
      relay_timeout_ms: maximum wait for the answer to a relayed execution.
      claim_life_s: time to live of a claimed idempotency key in the store.
      late_reply_ms: how long past its deadline a call is still waited for, so
        that the outcome becomes known.
    """

    ticket_life_ms: int = Field(default=600_000, ge=1_000)
    relay_timeout_ms: int = Field(default=1_000, ge=10)
    claim_life_s: int = Field(default=86_400, ge=60)
    late_reply_ms: int = Field(default=30_000, ge=0)


class DrainSettings(Model):
    """Timeouts in the drain of a leaving node."""

    handover_timeout_ms: int = Field(default=3_000, ge=10)
    finish_timeout_ms: int = Field(default=30_000, ge=10)


class Settings(Model):
    """All settings of one entry node."""

    node: NodeSettings
    platform: PlatformSettings
    membership: MembershipSettings = MembershipSettings()
    directory: DirectorySettings = DirectorySettings()
    leaves: LeafSettings = LeafSettings()
    admission: AdmissionSettings = AdmissionSettings()
    executions: ExecutionSettings = ExecutionSettings()
    drain: DrainSettings = DrainSettings()
    policy: Literal[
        "adaptive", "round_robin", "random_hedged", "least_loaded"
    ] = "adaptive"
    event_loop: Literal["uvloop", "asyncio", "trio"] = "uvloop"
    seed: int | None = None
    log_level: Literal["debug", "info", "warning", "error"] = "info"
