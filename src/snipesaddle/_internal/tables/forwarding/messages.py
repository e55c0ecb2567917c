"""Messages between entry nodes of the forwarding tier."""

from dataclasses import dataclass

from snipesaddle._internal.tables.forwarding.endpoints import EndpointEntry
from snipesaddle._internal.tables.forwarding.fleet import NodeRecord


@dataclass(frozen=True, slots=True)
class NodeBeat:
    """Tells a neighbour that the sender is alive, and what it knows."""

    node: NodeRecord


@dataclass(frozen=True, slots=True)
class ConfigShare:
    """Gives a neighbour a newer configuration, as the store held it."""

    version: int
    source: bytes


@dataclass(frozen=True, slots=True)
class EndpointsShare:
    """Gives a neighbour that cannot reach the store the endpoints listed.

    Attributes:
      revision: the store's revision that the list is at.
    """

    revision: int
    entries: tuple[EndpointEntry, ...]


FleetMessage = NodeBeat | ConfigShare | EndpointsShare
