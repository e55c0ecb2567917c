"""Quotas of tenants: token buckets, questions to owners, held requests."""

import enum
from dataclasses import dataclass, field

_NS_PER_S = 1_000_000_000


@dataclass(slots=True)
class TokenBucket:
    """A bucket of which each counted request takes one token."""

    tokens: float
    refilled_ns: int

    def add(self, tokens: float, max_tokens: float, now_ns: int) -> None:
        """Adds the tokens of the time since the last call."""
        self.tokens = min(max_tokens, self.tokens + tokens)
        self.refilled_ns = now_ns

    def try_take(self) -> bool:
        """Takes a token if there is a whole one; returns whether it did."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def wait_ns(self, rate_per_s: float, max_ns: int) -> int:
        """Returns how long until there is a whole token, at most max_ns."""
        missing = 1 - self.tokens
        if missing <= 0:
            return 0
        if missing * _NS_PER_S >= rate_per_s * max_ns:
            return max_ns
        return int(missing / rate_per_s * _NS_PER_S)


@dataclass(slots=True)
class OwnedQuota:
    """The quota of a tenant that this node owns.

    Attributes:
      bucket: what the tenant's rate and burst allow.
      grace: a few requests that find the bucket empty, so that it goes on as
        if these had not been sent.
      since_ns: since when this node has owned it without a break.
    """

    bucket: TokenBucket
    grace: TokenBucket
    since_ns: int


@dataclass(slots=True)
class OwnShare:
    """This node's own share of a quota, for when it cannot ask the owner.

    Attributes:
      phase: what the bucket holds at the start, from 0 to 1, and what it can
        hold beyond its saved tokens. It is random, so that nodes whose shares
        are small get their whole tokens at different times.
      wanted_ns: when a token was last wanted; 0 for never.
    """

    bucket: TokenBucket
    phase: float
    wanted_ns: int = 0


@dataclass(frozen=True, slots=True)
class EndedQuota:
    """What was left of a quota when this node ceased to own it."""

    tokens: float
    ended_ns: int


class QuotaSource(enum.Enum):
    """Where the token of a counted request came from."""

    OWNED = "owned"
    OWN_SHARE = "own_share"
    OTHER_NODE = "other_node"


@dataclass(frozen=True, slots=True)
class QuotaCharge:
    """The token that a request has taken.

    Attributes:
      peer_address: the owner, if another node owns the quota.
    """

    tenant: str
    source: QuotaSource
    peer_address: str = ""


class QuestionStage(enum.Enum):
    """How long a question has waited for its reply.

    Attributes:
      ASKED: the reply is expected.
      LATE_TICK: it is overdue, but may have arrived while this node was busy.
      OVERDUE: this node may decide by its own share.
      SILENT: the owner is assumed not to reply.
    """

    ASKED = "asked"
    LATE_TICK = "late_tick"
    OVERDUE = "overdue"
    SILENT = "silent"


@dataclass(slots=True)
class Question:
    """A question to the owner of a quota.

    Attributes:
      request_id: the request that waits for the reply; it may have ended.
      is_decided: its request was decided without the reply.
      is_forwarded: another node has named its target as the owner.
    """

    ask_id: int
    request_id: int
    tenant: str
    peer_address: str
    asked_ns: int
    stage: QuestionStage = QuestionStage.ASKED
    is_decided: bool = False
    is_forwarded: bool = False


@dataclass(slots=True)
class OwnerPeer:
    """Another node as an owner of quotas.

    Attributes:
      is_silent: its last reply is overdue.
      no_questions_until_ns: until when it gets no questions, as it is silent.
    """

    is_silent: bool = False
    no_questions_until_ns: int = 0


@dataclass(slots=True)
class Refusals:
    """What is known of a tenant that is over its quota.

    Attributes:
      no_room_until_ns: the earliest time at which the owner has a token.
      unlogged: refused requests since the last line in the log.
      log_due_ns: when the next line may be written.
    """

    no_room_until_ns: int = 0
    unlogged: int = 0
    log_due_ns: int = 0


@dataclass(frozen=True, slots=True)
class OwnerCandidates:
    """The nodes that may own quotas, as seen by this node for a moment.

    Attributes:
      addresses: their peer addresses, by node id; empty for this node.
      rate_ratio: the part of a limit that this node may grant as an owner.
      active_node_ids: the active nodes that it was derived from.
    """

    addresses: dict[str, str] = field(default_factory=dict)
    rate_ratio: float = 0.0
    active_node_ids: frozenset[str] = frozenset()
    found_ns: int = -_NS_PER_S


@dataclass(slots=True)
class Quotas:
    """The quotas of all tenants with a limit.

    Attributes:
      owned: those that this node owns, by tenant.
      ended: those that it owned within the last window.
      own_shares: this node's own share of other quotas, while their owners
        cannot be asked.
      refusals: tenants that were over their quotas lately.
      questions: those without a reply, by their id.
      owner_peers: the nodes that have been asked, by peer address.
      reviewed_ns: when the ownership was last reviewed.
      reviewed_version: the configuration that it was reviewed for.
      reviewed_ids: the candidates that it was reviewed for.
      scheduled_version: the configuration that regular reviews were set up for.
    """

    owned: dict[str, OwnedQuota] = field(default_factory=dict)
    ended: dict[str, EndedQuota] = field(default_factory=dict)
    own_shares: dict[str, OwnShare] = field(default_factory=dict)
    refusals: dict[str, Refusals] = field(default_factory=dict)
    questions: dict[int, Question] = field(default_factory=dict)
    owner_peers: dict[str, OwnerPeer] = field(default_factory=dict)
    candidates: OwnerCandidates = field(default_factory=OwnerCandidates)
    reviewed_ns: int = 0
    reviewed_version: int = 0
    reviewed_ids: frozenset[str] = frozenset()
    scheduled_version: int = 0

    def owner_peer(self, peer_address: str) -> OwnerPeer:
        """Returns the row of another node; creates it if there is none."""
        return self.owner_peers.setdefault(peer_address, OwnerPeer())

    def refusals_of(self, tenant: str) -> Refusals:
        """Returns the row of a tenant; creates it if there is none."""
        return self.refusals.setdefault(tenant, Refusals())
