"""Tickets: execution keys that name the incarnation which may run them."""

from dataclasses import dataclass

from snipesaddle._internal.systems.base import NS_PER_MS
from snipesaddle._internal.tables.world import World

_VERSION = "t1"
_RANDOM_BITS = 96


@dataclass(frozen=True, slots=True)
class Ticket:
    """The parts of a ticket.

    Attributes:
      issued_ms: counted from the start of the incarnation.
    """

    incarnation: str
    issued_ms: int


def issue(world: World, now_ns: int) -> str:
    """Returns a new ticket of this incarnation."""
    issued_ms = (now_ns - world.this_node.started_ns) // NS_PER_MS
    secret = f"{world.rng.getrandbits(_RANDOM_BITS):024x}"
    return f"{_VERSION}.{world.this_node.incarnation}.{issued_ms}.{secret}"


def parse(text: str) -> Ticket | None:
    """Returns the parts of a ticket, or None if it is not one."""
    parts = text.split(".")
    if len(parts) != 4 or parts[0] != _VERSION or not parts[2].isdigit():
        return None
    return Ticket(parts[1], int(parts[2]))


def node_of(incarnation: str) -> str:
    """Returns the node id within the name of an incarnation."""
    return incarnation.partition("~")[0]


def space_life_ms(world: World, space: str, now_ns: int) -> int:
    """Returns how long unused tickets of an owned key space may still run."""
    if space == world.this_node.incarnation:
        return world.settings.executions.ticket_life_ms
    until_ns = world.key_space_expires_ns.get(space, now_ns)
    return max(0, (until_ns - now_ns) // NS_PER_MS)


def is_expired(world: World, ticket: Ticket, now_ns: int) -> bool:
    """Tells whether a ticket of an owned key space is too old to be run."""
    if ticket.incarnation != world.this_node.incarnation:
        return space_life_ms(world, ticket.incarnation, now_ns) == 0
    age_ms = (
        now_ns - world.this_node.started_ns
    ) // NS_PER_MS - ticket.issued_ms
    return age_ms > world.settings.executions.ticket_life_ms
