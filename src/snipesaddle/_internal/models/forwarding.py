"""Settings of the forwarding tier, read from YAML.

These models are msgspec structs and not pydantic models: the VMs of this tier
are small, and pydantic alone costs more memory than the whole tier.
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
    """Base of the models: values are checked and do not change."""


class NodeSettings(Model, frozen=True, kw_only=True):
    """Who and where this entry node is.

    Attributes:
      front: where clients send their requests.
      readiness: where the platform asks whether the node is ready.
      directory: where clients ask for nodes to use.
      peer: where it listens for other entry nodes.
      metrics: where it serves its metrics, on the address of the front.
    """

    name: str
    zone: str
    front: Address
    readiness: Address
    directory: Address
    peer: Address
    metrics: Address


class StoreSettings(Model, frozen=True, kw_only=True):
    """The platform's store, and how it is used.

    Attributes:
      watch_wait_ms: how long one watch waits for a change.
      watch_gap_ms: the pause between two watches of one range, so that
        changes in quick succession come together.
      idle_gap_ms: the same for a node that clients are not sent to, the
        configuration excepted.
      start_retry_ms: the longest pause between calls of a node that has not
        read a range yet.
      grace_ms: how long registrations that lapsed in an outage still count
        after the store is back.
    """

    address: Address
    call_timeout_ms: Positive = 1_000
    watch_wait_ms: Positive = 30_000
    watch_gap_ms: Positive = 300
    idle_gap_ms: Positive = 1_200
    retry_min_ms: Positive = 100
    retry_max_ms: Positive = 1_000
    start_retry_ms: Positive = 200
    grace_ms: Positive = 2_200
    presence_ttl_ms: Positive = 9_000


class FleetSettings(Model, frozen=True, kw_only=True):
    """Heartbeats between entry nodes, and how many nodes clients use.

    Attributes:
      heartbeat_ms: between two heartbeats in a fleet of at most `small` nodes;
        twice as long in a larger one.
      missed_beats: so many heartbeats late, a node counts as down.
      reach: the most nodes that an active node sends its heartbeats to.
      min_active: the fewest nodes that clients are sent to, where there are.
      attempts_per_node: with more attempts a second and active node, more
        nodes become active.
    """

    heartbeat_ms: Positive = 500
    small: Positive = 8
    missed_beats: Ratio = 3.2
    reach: Positive = 64
    min_active: Positive = 8
    attempts_per_node: Positive = 600


class DirectorySettings(Model, frozen=True, kw_only=True):
    """What clients are told.

    Attributes:
      min_preferred: the fewest nodes near the shards that are named alone.
    """

    keep_ms: Positive = 4_500
    size: Positive = 64
    min_preferred: Positive = 2


class RetrySettings(Model, frozen=True, kw_only=True):
    """The budget that all nodes share for arrivals beyond the first."""

    ratio: Ratio = 0.2
    slack: Ratio = 20.0
    window_s: Positive = 10


class DrainSettings(Model, frozen=True, kw_only=True):
    """How a node leaves.

    Attributes:
      grace_s: from the request to stop to the end of the process, at most.
    """

    grace_s: Annotated[float, msgspec.Meta(ge=1)] = 6


class ForwardSettings(Model, frozen=True, kw_only=True):
    """All settings of one entry node of the forwarding tier."""

    node: NodeSettings
    store: StoreSettings
    fleet: FleetSettings = FleetSettings()
    directory: DirectorySettings = DirectorySettings()
    retries: RetrySettings = RetrySettings()
    drain: DrainSettings = DrainSettings()
    event_loop: str = "uvloop"
    seed: int | None = None


def load_settings(
    path: Path, translate: Callable[[Any], Any] = lambda content: content
) -> ForwardSettings:
    """Reads and checks a settings file.

    Args:
      path: the YAML file.
      translate: maps the parsed content to the names of ForwardSettings.

    Raises:
      SettingsError: the file cannot be read, or a field is wrong; the message
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
