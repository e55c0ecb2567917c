"""Messages between entry nodes of the forwarding tier.

Messages are encoded as arrays without field names, because traffic between
zones is expensive, and all nodes run the same version or adjacent ones. New
fields go at the end and need a default.

The ids by which replies and cancellations are matched differ between the runs
of the asking node (`run_ids`), since a reply can reach a later run.
"""

import msgspec

from snipesaddle._internal.tables.forwarding.endpoints import EndpointEntry
from snipesaddle._internal.tables.forwarding.fleet import NodeRecord
from snipesaddle._internal.tables.forwarding.store_ranges import (
    NEVER_RECOVERED,
)

# The view of a node of a version that does not tell it.
UNKNOWN_VIEW = 0


class NodeBeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat with the current record of its sender.

    Attributes:
      others: the newest records of nodes that the receiver may not hear: the
        active nodes of other zones, which send no heartbeats of their own to
        the idle nodes of this zone; and those that it has missed.
      view: a digest of the active nodes as the sender knows them; UNKNOWN_VIEW
        outside of regular heartbeats.
      unheard: the ids of the nodes whose heartbeats the sender expects in vain.
    """

    node: NodeRecord
    others: tuple[NodeRecord, ...] = ()
    view: int = UNKNOWN_VIEW
    unheard: tuple[str, ...] = ()


class ConfigShare(msgspec.Struct, frozen=True, array_like=True):
    """A newer configuration for a peer.

    Attributes:
      source: the configuration as the store holds it.
    """

    version: int
    source: bytes


class EndpointsShare(msgspec.Struct, frozen=True, array_like=True):
    """The endpoint list for a peer that lags behind the store.

    Attributes:
      revision: the store revision up to which the list is complete.
      entries: the registrations in the store at that revision.
      recovered_ago_ms: how long ago the store became reachable again for the
        sender; NEVER_RECOVERED if it was never out of reach.
      store_era: the era of the store to which the revision belongs.
    """

    revision: int
    entries: tuple[EndpointEntry, ...]
    recovered_ago_ms: int = NEVER_RECOVERED
    store_era: int = 0


class EndpointChange(msgspec.Struct, frozen=True, array_like=True):
    """A change of one registration.

    Attributes:
      entry: the new registration; None if it was removed or cannot be read.
      unreadable: why it cannot be read; empty otherwise.
    """

    key: str
    revision: int
    entry: EndpointEntry | None
    unreadable: str = ""


class EndpointChanges(msgspec.Struct, frozen=True, array_like=True):
    """The changes of the endpoints between two revisions of the store.

    Attributes:
      after_revision: all changes after this revision are included.
      revision: all changes up to this revision are included.
      recovered_ago_ms: how long ago the store became reachable again for the
        sender; NEVER_RECOVERED if it was never out of reach.
      store_era: the era of the store to which the revisions belong.
    """

    after_revision: int
    revision: int
    changes: tuple[EndpointChange, ...]
    recovered_ago_ms: int
    store_era: int = 0


class EndpointLimit(msgspec.Struct, frozen=True, array_like=True):
    """A rate limit that an endpoint has named in an answer.

    Attributes:
      born_unix_ms: when the endpoint started, as in its registration.
      max_requests_per_s: what it takes from all nodes together.
    """

    endpoint_id: str
    born_unix_ms: int
    max_requests_per_s: float


class RelayAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks a node to gather parts of a request from its own zone.

    Attributes:
      services: the shards to ask.
      soft_deadline_left_ms: the time until the parts gathered so far are sent
        back.
      time_left_ms: the time until the deadline of the request.
      total_parts: the number of parts of the whole request.
      is_hedge: the asking node has already sent each part to one endpoint,
        and has counted the second sends in its own share of the retry
        budget.
      tenant: the name of the tenant that the request belongs to; empty if it
        needs none.
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
    tenant: str = ""

    def delayed(self, delay_ms: int) -> "RelayAsk":
        """Returns the message as it reads when it is sent later."""
        return msgspec.structs.replace(
            self,
            soft_deadline_left_ms=self.soft_deadline_left_ms - delay_ms,
            time_left_ms=self.time_left_ms - delay_ms,
        )


class RelayReply(msgspec.Struct, frozen=True, array_like=True):
    """Returns the parts gathered since the previous reply.

    Attributes:
      body: the greatest records of these parts, merged.
      signatures: the signature of each requested part; empty if the part has
        no answer yet or was in an earlier reply.
      more: another reply follows.
      leaving: endpoints of these parts that have said that they leave.
      limits: rate limits that endpoints of these parts have named.
    """

    relay_id: int
    body: bytes
    signatures: tuple[bytes, ...]
    more: bool = False
    leaving: tuple[EndpointEntry, ...] = ()
    limits: tuple[EndpointLimit, ...] = ()


class RelayCancel(msgspec.Struct, frozen=True, array_like=True):
    """Cancels a relay whose result is no longer needed.

    Attributes:
      at_once: the running attempts for the relay are to be ended immediately,
        because the client has disconnected or the relay is overdue.
    """

    relay_id: int
    reply_address: str
    at_once: bool = True


# The age of the proof of a node that has none.
NEVER_PROVEN = -1


class FreshnessAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks a node how old its proof is that its configuration is current.

    Attributes:
      number: identifies the question within the run of the asking node.
      incarnation: the run of the asking node.
      config_version: the version of the asking node's configuration.
    """

    number: int
    incarnation: str
    node_id: str
    reply_address: str
    config_version: int


class FreshnessReply(msgspec.Struct, frozen=True, array_like=True):
    """Replies to a question.

    Attributes:
      number: the number of the question.
      incarnation: the run of the asking node.
      config_version: the version of the replying node's configuration.
      age_ms: the age of its proof when it replied; NEVER_PROVEN without one.
    """

    number: int
    incarnation: str
    config_version: int
    age_ms: int


class QuotaAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks the owner of a tenant's quota whether one more request may run."""

    ask_id: int
    reply_address: str
    tenant: str


class QuotaReply(msgspec.Struct, frozen=True, array_like=True):
    """Answers a QuotaAsk.

    Attributes:
      granted: the request may run, and has been counted.
      wait_ms: otherwise, how long until there is room.
      is_owner: the sender owns the quota; otherwise it has decided nothing.
      is_partial: the sender grants a part of the limit only, as it does not
        hear all nodes, so their own shares may be used.
      owner_address: the owner as the sender sees it, if it is another node.
    """

    ask_id: int
    granted: bool
    wait_ms: float = 0.0
    is_owner: bool = True
    owner_address: str = ""
    is_partial: bool = False


class QuotaReturn(msgspec.Struct, frozen=True, array_like=True):
    """Tells the owner of a quota that a counted request has not run."""

    tenant: str


FleetMessage = (
    NodeBeat
    | ConfigShare
    | EndpointsShare
    | EndpointChanges
    | RelayAsk
    | RelayReply
    | RelayCancel
    | FreshnessAsk
    | FreshnessReply
    | QuotaAsk
    | QuotaReply
    | QuotaReturn
)
