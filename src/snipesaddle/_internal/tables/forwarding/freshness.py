"""Proofs that the configuration in force is current."""

import enum
from dataclasses import dataclass, field


class ProofSource(enum.Enum):
    """Where a proof comes from."""

    LIST = "list"
    READ = "read"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class ConfigProof:
    """A statement that the store held a version of the configuration.

    Attributes:
      as_of_ns: a time at which, or before which, that was so.
    """

    version: int
    as_of_ns: int
    source: ProofSource


@dataclass(frozen=True, slots=True)
class Question:
    """A question to another node for the age of its proof."""

    node_id: str
    asked_ns: int


@dataclass(slots=True)
class ConfigFreshness:
    """What this node knows about the age of its configuration.

    Attributes:
      proven_ns: the newest time at which the store is known to have held
        nothing newer than what is in force here; None for never.
      is_proven: the proof was young enough when it was last checked.
      new_proofs: proofs that arrived in this tick.
      is_engaged: proofs are renewed, because clients may send requests here.
      last_needed_ns: when this node was last active or had a request that needs
        a proof; None for never.
      questions: questions to other nodes without a reply, by number.
      last_question: the number of the newest question.
      last_asked_ns: when it was sent; None for never.
      passed_over_until_ns: until when a node that did not reply, or had no
        better proof, is asked after the others; by node id.
      reads: when the reads of the store in flight started, by number.
      last_read: the number of the newest read.
      last_read_ns: when a read last started, or was left out because many were
        in flight; None for never.
      read_took_ns: how long the last answered read took.
    """

    proven_ns: int | None = None
    is_proven: bool = False
    new_proofs: list[ConfigProof] = field(default_factory=list)
    is_engaged: bool = False
    last_needed_ns: int | None = None
    questions: dict[int, Question] = field(default_factory=dict)
    last_question: int = 0
    last_asked_ns: int | None = None
    passed_over_until_ns: dict[str, int] = field(default_factory=dict)
    reads: dict[int, int] = field(default_factory=dict)
    last_read: int = 0
    last_read_ns: int | None = None
    read_took_ns: int = 20_000_000
