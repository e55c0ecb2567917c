"""Settings of the forwarding tier, read from YAML.

The models are msgspec structs instead of pydantic models, because the VMs of
this tier are small and pydantic alone needs more memory than the whole tier.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import msgspec
import yaml

from snipesaddle._internal.errors import SettingsError

Positive = Annotated[int, msgspec.Meta(ge=1)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Ratio = Annotated[float, msgspec.Meta(ge=0)]


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the models; instances are validated and immutable."""


class NodeSettings(Model, frozen=True, kw_only=True):
    """The name and the listening addresses of this entry node.

    Attributes:
      front: address for client requests.
      readiness: address for the platform's readiness checks.
      directory: address for client requests for nodes to use.
      peer: address for other entry nodes.
      metrics: address for metrics, on the host of `front`.
    """

    name: str
    zone: str
    front: Address
    readiness: Address
    directory: Address
    peer: Address
    metrics: Address


class StoreSettings(Model, frozen=True, kw_only=True):
    """The platform's store, and timeouts and delays for calls to it.

    Attributes:
      watch_wait_ms: how long one watch waits for a change.
      confirm_ms: the same at the node that confirms for the fleet that the
        data are current.
      watch_gap_ms: delay after a watch that returned changes, so that changes
        in quick succession arrive together.
      idle_gap_ms: the same delay for the endpoints on a node that clients are
        not sent to.
      node_gap_ms: the same delay for the records of the other nodes, whose
        liveness is known from heartbeats.
      idle_node_gap_ms: the same on a node that clients are not sent to.
      retry_min_ms: minimum delay of the exponential backoff after failures.
      retry_max_ms: maximum delay of that backoff.
      start_retry_ms: maximum delay of that backoff until a range has been read
        for the first time.
      grace_ms: how long registrations that expired in an outage of the store
        stay valid after it is available again.
      presence_ttl_ms: lifetime of the lease of this node's record.
      large_fleet_nodes: from this number of other nodes on, idle nodes renew
        their leases and watch the nodes less often.
    """

    address: Address
    call_timeout_ms: Positive = 1_000
    watch_wait_ms: Positive = 30_000
    confirm_ms: Positive = 1_500
    watch_gap_ms: Positive = 300
    idle_gap_ms: Positive = 1_200
    node_gap_ms: Positive = 2_000
    idle_node_gap_ms: Positive = 10_000
    retry_min_ms: Positive = 100
    retry_max_ms: Positive = 1_000
    start_retry_ms: Positive = 200
    grace_ms: Positive = 2_200
    presence_ttl_ms: Positive = 9_000
    large_fleet_nodes: Positive = 48


class FleetSettings(Model, frozen=True, kw_only=True):
    """Heartbeats between entry nodes, and the number of active nodes.

    Active nodes are those that clients are sent to.

    Attributes:
      heartbeat_ms: heartbeat interval while a node knows at most `small` nodes,
        itself included; doubled while it knows more.
      small: the size up to which a fleet is small; in a small fleet, all nodes
        send heartbeats to each other, up to `reach`.
      missed_beats: a node is down if no heartbeat arrives for this many
        heartbeat intervals.
      reach: maximum number of nodes that a node sends heartbeats to if the
        fleet is small or it knows no active node.
      min_active: minimum number of active nodes, if there are as many.
      attempts_per_node: attempts per second for one active node; above that
        average, more nodes become active.
    """

    heartbeat_ms: Positive = 500
    small: Positive = 8
    missed_beats: Ratio = 3.2
    reach: Positive = 256
    min_active: Positive = 8
    attempts_per_node: Positive = 600


class DirectorySettings(Model, frozen=True, kw_only=True):
    """Answers to clients that request the nodes to use.

    Attributes:
      keep_ms: how long a client may use an answer.
      size: maximum number of nodes in an answer.
      min_preferred: minimum number of nodes in zones near the shards for an
        answer that names only such nodes.
    """

    keep_ms: Positive = 4_500
    size: Positive = 64
    min_preferred: Positive = 2


class RetrySettings(Model, frozen=True, kw_only=True):
    """The budget for retries and hedges of a service, shared by all nodes.

    Attributes:
      ratio: allowed sends beyond the first, per first send of a part.
      slack: allowed sends beyond the first, regardless of the first sends.
      window_s: length of the sliding window of the budget.
    """

    ratio: Ratio = 0.2
    slack: Ratio = 20.0
    window_s: Positive = 10


class ResponseSettings(Model, frozen=True, kw_only=True):
    """Limits on the responses of endpoints, and on those of the store.

    A response over a limit is lost: its request may have run.

    Attributes:
      max_head_bytes: status line, headers, interim responses, chunk headers and
        trailers of one response; each header counts 160 bytes more.
      max_body_bytes: body of one response.
      max_buffered_bytes: incomplete responses on all connections together.
    """

    max_head_bytes: Positive = 65_536
    max_body_bytes: Positive = 16_777_216
    max_buffered_bytes: Positive = 67_108_864


class CapacitySettings(Model, frozen=True, kw_only=True):
    """What the machine of this node gives it; None for what is not known.

    Attributes:
      cpu_share: share of one processor core, 0 to 1; the node is one thread.
      link_mbps: megabits a second that it can send or receive.
      memory_mb: memory limit of the process, in units of 10^6 bytes.
      max_fds: descriptors that the process may have open.
    """

    cpu_share: Annotated[float, msgspec.Meta(gt=0)] | None = None
    link_mbps: Annotated[float, msgspec.Meta(gt=0)] | None = None
    memory_mb: Positive | None = None
    max_fds: Positive | None = None


class ClientSettings(Model, frozen=True, kw_only=True):
    """Limits on what all clients together may hold; None for the default.

    Attributes:
      max_buffered_bytes: unfinished and queued requests on all connections; by
        default a fifth of `capacity.memory_mb`. Never less than a few of the
        largest requests.
      max_unsent_bytes: responses that clients have not read; by default as
        much.
      max_connections: open connections; by default half of what
        `capacity.max_fds` leaves beyond the descriptors of the process itself.
    """

    max_buffered_bytes: Positive | None = None
    max_unsent_bytes: Positive | None = None
    max_connections: Positive | None = None


class KeyRevocationSettings(Model, frozen=True, kw_only=True):
    """How soon an API key that the configuration no longer holds is refused.

    Attributes:
      strict: also by a node that the change has not reached.
      max_ms: the longest time until then.
    """

    strict: bool | None = None
    max_ms: Positive | None = None


class QuotaSettings(Model, frozen=True, kw_only=True):
    """How exactly the quotas of tenants are kept by all nodes together.

    Attributes:
      window_s: length of the window in which requests are counted; 5 if None.
      overage: share by which the requests of a window may exceed what rate and
        burst allow; 0.1 if None.
      slack: number of requests by which they may exceed it besides; 20 if None.
    """

    window_s: Positive | None = None
    overage: Ratio | None = None
    slack: Ratio | None = None


class DrainSettings(Model, frozen=True, kw_only=True):
    """The drain of a leaving node.

    Attributes:
      grace_s: maximum time from the request to stop to the end of the process.
    """

    grace_s: Annotated[float, msgspec.Meta(ge=1)] = 6


class ForwardSettings(Model, frozen=True, kw_only=True):
    """All settings of one entry node of the forwarding tier."""

    node: NodeSettings
    store: StoreSettings
    fleet: FleetSettings = FleetSettings()
    directory: DirectorySettings = DirectorySettings()
    retries: RetrySettings = RetrySettings()
    responses: ResponseSettings = ResponseSettings()
    drain: DrainSettings = DrainSettings()
    capacity: CapacitySettings = CapacitySettings()
    clients: ClientSettings = ClientSettings()
    key_revocation: KeyRevocationSettings = KeyRevocationSettings()
    quotas: QuotaSettings = QuotaSettings()
    event_loop: str = "uvloop"
    seed: int | None = None


def load_settings(
    path: Path, translate: Callable[[Any], Any] = lambda content: content
) -> ForwardSettings:
    """Reads and checks a settings file.

    Args:
      path: the YAML file.
      translate: converts the parsed content to the names of ForwardSettings.

    Raises:
      SettingsError: the file cannot be read, or a field is invalid; the message
        names the field.
    """
    try:
        content = yaml.safe_load(path.read_text(encoding="utf-8"))
        return msgspec.convert(
            translate(content), ForwardSettings, strict=False
        )
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise SettingsError(
            f"{path}: {error}; correct the settings and start again"
        ) from error
