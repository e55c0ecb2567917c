"""Messages between entry nodes of the forwarding tier.

They travel as arrays, without the names of their fields: bytes between zones
are dear, and all nodes run the same version or one next to it. New fields go
to the end, with a default.
"""

import msgspec

from snipesaddle._internal.tables.forwarding.endpoints import EndpointEntry
from snipesaddle._internal.tables.forwarding.fleet import NodeRecord


class NodeBeat(msgspec.Struct, frozen=True, array_like=True):
    """Tells a neighbour that the sender is alive, and what it knows."""

    node: NodeRecord


class ConfigShare(msgspec.Struct, frozen=True, array_like=True):
    """Gives a neighbour a newer configuration, as the store held it."""

    version: int
    source: bytes


class EndpointsShare(msgspec.Struct, frozen=True, array_like=True):
    """Gives a neighbour that cannot reach the store the endpoints listed.

    Attributes:
      revision: the store's revision that the list is at.
    """

    revision: int
    entries: tuple[EndpointEntry, ...]


class RelayAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks a node to gather the parts of a request from its own zone.

    Attributes:
      services: the shards to ask.
      total_parts: the parts of the whole request.
      soft_deadline_left_ms: when the parts that are in by then are to be
        sent back.
      time_left_ms: when the client's time is up.
      is_hedge: the asking node has asked an endpoint of each shard already,
        and counted these arrivals in its own part of the retry budget.
    """

    relay_id: int
    reply_address: str
    client_request_id: bytes
    method: bytes
    host: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    route_name: str
    services: tuple[str, ...]
    soft_deadline_left_ms: int
    time_left_ms: int
    target_latency_ms: int
    max_attempts: int
    priority: int
    top_k: int
    total_parts: int
    is_hedge: bool = False


class RelayReply(msgspec.Struct, frozen=True, array_like=True):
    """Gives back the parts gathered since the last reply.

    Attributes:
      body: the greatest records of these parts.
      signatures: the signature of each part asked for; empty when it is not
        in, or was in an earlier reply.
      more: another reply follows.
    """

    relay_id: int
    body: bytes
    signatures: tuple[bytes, ...]
    more: bool = False


class RelayCancel(msgspec.Struct, frozen=True, array_like=True):
    """Tells a node that nobody waits for a relay any more.

    Attributes:
      at_once: the client has left, so that all work for it is to end.
    """

    relay_id: int
    reply_address: str
    at_once: bool = True


FleetMessage = (
    NodeBeat
    | ConfigShare
    | EndpointsShare
    | RelayAsk
    | RelayReply
    | RelayCancel
)
