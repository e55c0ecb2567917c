"""Messages that are sent to another node once more."""

from dataclasses import dataclass, field

from snipesaddle._internal.tables.forwarding.messages import FleetMessage


@dataclass(slots=True)
class Resends:
    """Messages that could not be sent, as their nodes were not connected.

    Attributes:
      waiting: messages to be sent again, with the addresses of their nodes.
      resent_ns: when messages were last sent again, by the address.
    """

    waiting: list[tuple[str, FleetMessage]] = field(default_factory=list)
    resent_ns: dict[str, int] = field(default_factory=dict)
