"""The entry nodes of the fleet, this one included."""

import enum
from dataclasses import dataclass, field

import msgspec

# The value of `confirmed_ago_ms` of a node that has had no answers yet.
NEVER_CONFIRMED = -1
# The value of `connection_share` of a node that does not tell it.
UNKNOWN_SHARE = -1.0


class NodePhase(enum.Enum):
    """The life cycle of an entry node."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class ShareState(enum.Enum):
    """How the connections of a node relate to its share of their limits.

    Attributes:
      NONE: it has started lately and may not open any yet.
      KEPT: they are within its share.
      EXCEEDED: its share has shrunk, and requests on those above it still run.
    """

    NONE = "none"
    KEPT = "kept"
    EXCEEDED = "exceeded"


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record that a node writes to the store and sends to its peers.

    Attributes:
      incarnation: identifies one run of its process; later runs sort higher.
      config_version: the version of its active configuration; 0 for none.
      store_ok: it can reach the store.
      endpoints_revision: the revision of the newest endpoint change that it
        knows.
      sequence: increases with each record of one incarnation.
      attempts_per_s: its load, averaged over one heartbeat interval.
      fleet_size: how many nodes it knows, itself included; 0 while it has not
        read their records from the store.
      confirmed_ago_ms: how long ago the store last answered it for both the
        configuration and the endpoints; NEVER_CONFIRMED before that.
      shares: whether its connections are within its share.
      store_overdue: answers of the store to it are overdue.
      capacity_per_s: the attempts per second that its machine can carry; 0 if
        it is not known.
      zone_nodes_heard: how many nodes of its zone it has heard lately, itself
        included.
      evacuated_zones: the zones whose endpoints get no requests.
      evacuations_revision: the store revision as of which it knows them.
      loop_delay_ms: how long events wait for its event loop in the mean.
      processor_percent: its use of one processor core.
      connection_share: the part of the connections of all nodes together that
        it may hold; UNKNOWN_SHARE if it does not tell.
      store_era: the era of the store to which the revisions belong.
    """

    node_id: str
    incarnation: str
    front_address: str
    peer_address: str
    zone: str
    phase: NodePhase
    config_version: int = 0
    store_ok: bool = True
    endpoints_revision: int = 0
    sequence: int = 0
    attempts_per_s: int = 0
    fleet_size: int = 0
    confirmed_ago_ms: int = NEVER_CONFIRMED
    shares: ShareState = ShareState.KEPT
    store_overdue: bool = False
    capacity_per_s: int = 0
    zone_nodes_heard: int = 0
    loop_delay_ms: int = 0
    processor_percent: int = 0
    evacuated_zones: tuple[str, ...] = ()
    evacuations_revision: int = 0
    connection_share: float = UNKNOWN_SHARE
    store_era: int = 0


@dataclass(slots=True)
class PeerNode:
    """A node other than this one.

    Attributes:
      registered: the store holds its record.
      added_ns: when its current incarnation was first seen.
      last_heard_ns: when its last heartbeat arrived, or a newer record of it
        that another node has passed on; 0 for never.
      heard_directly_ns: when its last heartbeat arrived; 0 for never.
      view_differs_since_ns: since when its heartbeats have shown that it knows
        other active nodes than this one; 0 while it does not.
      last_sync_ns: when it was last sent newer data.
      lag_revision: the endpoints revision that it had not reached when last
        checked; 0 if it was up to date.
      lag_since_ns: since when it has lacked that revision.
      active_since_ns: since when it has been an active node, whose heartbeats
        reach all others; 0 while it is not active.
      silent_since_ns: since when its heartbeats have been missing while it was
        active; 0 if one has arrived since.
      answered_incarnation: the run of it that has been told of this node's
        shares, after it had started without any.
      no_relays_until_ns: until when nothing is relayed to it, because a relay
        to it failed.
    """

    record: NodeRecord
    registered: bool = False
    added_ns: int = 0
    last_heard_ns: int = 0
    heard_directly_ns: int = 0
    view_differs_since_ns: int = 0
    last_sync_ns: int = 0
    lag_revision: int = 0
    lag_since_ns: int = 0
    active_since_ns: int = 0
    silent_since_ns: int = 0
    answered_incarnation: str = ""
    no_relays_until_ns: int = 0


@dataclass(slots=True)
class ThisNode:
    """This node.

    Attributes:
      run_number: names this run in the ids of its messages; unlike the
        incarnation, it is never renewed.
      started_ns: when its systems started.
      leave_requested_ns: when its shutdown was requested; 0 for never.
      exit_deadline_ns: when its process exits at the latest.
      stop_requested: the command to end its process was emitted.
    """

    node_id: str
    incarnation: str
    front_address: str
    peer_address: str
    zone: str
    run_number: int = 0
    phase: NodePhase = NodePhase.STARTING
    sequence: int = 0
    started_ns: int = 0
    leave_requested_ns: int = 0
    exit_deadline_ns: int = 0
    stop_requested: bool = False


@dataclass(slots=True)
class Presence:
    """This node's registration in the store.

    Attributes:
      lease_id: the lease of the record; 0 for none.
      call_in_flight: a call for the record is in flight.
      writes: that call writes the record.
      stale: the record has to be written again.
      ended: the record has to be removed, as the process ends.
      era: the era of the store to which the lease belongs.
      call_outdated: the call in flight uses a lease of an earlier era.
      call_started_ns: when the call in flight was sent.
      kept_until_ns: until when the lease of the record lasts at least; 0
        without a lease.
    """

    lease_id: int = 0
    call_in_flight: bool = False
    writes: bool = False
    stale: bool = True
    ended: bool = False
    era: int = 0
    call_outdated: bool = False
    call_started_ns: int = 0
    kept_until_ns: int = 0


@dataclass(slots=True)
class Fleet:
    """The fleet as known to this node.

    Attributes:
      nodes: the other nodes, by id.
      active_node_ids: the ids of the nodes that clients are sent to.
      active_view: a digest of these ids, by which nodes compare them.
      active_is_stale: a node was added, changed its phase or was heard from
        again, so the active nodes have to be chosen again.
      surplus_since_ns: since when each active node is not needed for the load.
      is_unequal: some nodes are weak compared with the strongest one.
      strongest_per_s: the greatest capacity of any node so far.
      load_per_s: the attempts per second of all nodes, averaged.
      load_updated_ns: when that average was updated; 0 for never.
      attempts_at_heartbeat: this node's attempts up to the last heartbeat.
      attempts_per_s: this node's load between the last two heartbeats.
      last_heartbeat_ns: when this node last sent its heartbeats.
      listed: the records of the nodes have been read from the store.
      own_record_seen: the record of this run was among what the store has
        delivered, so any node that is missing there will find it.
      size: how many nodes this one knows, itself included; 0 while it has not
        read their records.
      reported_size: the largest size of the fleet in a heartbeat of another
        node.
      recent_max_size: the largest recent size of the fleet, this node
        included; 0 until it is known.
      recent_max_seen_ns: when that size was last reached.
      last_active_ns: when each recently active node was last seen as active.
      active_since_ns: since when this node has been active; 0 if it is not.
      active_share: the part of a limit, less what is reserved for each node,
        that this node may use; 0 while it is not active.
      has_shares: this node may use its shares of what all nodes together may;
        the others have handed them over.
      is_counted: an earlier run of this node stood in the store and had shares,
        so those of the others allow for it.
      announced_ns: when this run last told all nodes of itself before it had
        a share; 0 for never.
      unanswered_nodes: nodes without a share that have told of themselves.
      excess_endpoint_ids: the endpoints to which it holds more connections
        than its share, as requests still run on them.
      connection_share: the part of the connections of all nodes together that
        this one may use; at most an equal part.
      exceeded_share: the same before it shrank, while requests still run on
        connections above it.
      endpoints_revision: the highest revision of the endpoint list that a
        heartbeat of another node has reported.
      config_version: the highest configuration version reported likewise.
      behind_since_ns: since when this node has lacked either of them; 0 while
        it does not.
    """

    nodes: dict[str, PeerNode] = field(default_factory=dict)
    active_node_ids: frozenset[str] = frozenset()
    active_view: int = 0
    active_is_stale: bool = True
    surplus_since_ns: dict[str, int] = field(default_factory=dict)
    is_unequal: bool = False
    strongest_per_s: int = 0
    load_per_s: float = 0.0
    load_updated_ns: int = 0
    attempts_at_heartbeat: int = 0
    attempts_per_s: int = 0
    last_heartbeat_ns: int = 0
    listed: bool = False
    own_record_seen: bool = False
    size: int = 0
    reported_size: int = 0
    recent_max_size: int = 0
    recent_max_seen_ns: int = 0
    last_active_ns: dict[str, int] = field(default_factory=dict)
    active_since_ns: int = 0
    active_share: float = 0.0
    has_shares: bool = False
    is_counted: bool = False
    announced_ns: int = 0
    unanswered_nodes: list[PeerNode] = field(default_factory=list)
    excess_endpoint_ids: dict[str, None] = field(default_factory=dict)
    connection_share: float = 0.0
    exceeded_share: float = 0.0
    endpoints_revision: int = 0
    config_version: int = 0
    behind_since_ns: int = 0

    @property
    def shares(self) -> ShareState:
        """How this node's connections relate to its share."""
        if not self.has_shares:
            return ShareState.NONE
        if self.excess_endpoint_ids:
            return ShareState.EXCEEDED
        return ShareState.KEPT

    @property
    def held_share(self) -> float:
        """The part of the connections that this node may hold open."""
        if self.excess_endpoint_ids:
            return self.exceeded_share
        return self.connection_share if self.has_shares else 0.0
