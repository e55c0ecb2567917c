"""The work that this node has accepted, and how classes of requests fare."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class ClassAdmission:
    """How requests of one route and priority fare while the node is busy.

    Attributes:
      accepted: recently accepted requests; fades.
      refused: recently refused requests; fades.
      updated_ns: when both were last updated.
      limit_ns: the longest wait at which the last one would be accepted.
      is_refusing: the last one was refused.
    """

    accepted: float = 0.0
    refused: float = 0.0
    updated_ns: int = 0
    limit_ns: int = 0
    is_refusing: bool = False


@dataclass(slots=True)
class NodeLoad:
    """The accepted work, as the time that this node's machine needs for it.

    Attributes:
      processor_until_ns: when the processor will have done it.
      link_until_ns: when the link will have carried it.
      counted_attempts: the attempts that these times include.
      admitted_parts: parts of requests that were accepted since.
      attempt_bytes: moving average of what an attempt carries over the link; 0
        until the first answer.
      classes: the classes of requests, by route name and priority.
    """

    processor_until_ns: int = 0
    link_until_ns: int = 0
    counted_attempts: int = 0
    admitted_parts: int = 0
    attempt_bytes: float = 0.0
    classes: dict[tuple[str, int], ClassAdmission] = field(default_factory=dict)
