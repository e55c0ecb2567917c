"""What the runtime measures of this node's process."""

from dataclasses import dataclass


@dataclass(slots=True)
class ProcessState:
    """How promptly the process reads what arrives.

    Attributes:
      unread_since_ns: what is taken in this tick arrived after this time; 0 if
        it is not known. It was left unread while the process was busy.
      loop_delay_ns: how long an event has recently waited for the event loop in
        the mean.
      processor_use: the processor time that the process has recently used, as a
        share of one core.
    """

    unread_since_ns: int = 0
    loop_delay_ns: float = 0.0
    processor_use: float = 0.0
