"""Fleet shares: how much of a limit of the whole fleet this node may use.

Answers the load pattern of a large fleet: a few active nodes carry all
requests, so equal shares would leave most of a limit unused just when many
endpoints fail. Each node has a small reserved share, and the active nodes
divide the rest. A node that becomes active takes over its share step by step,
while the use by the nodes that were active before it fades. So the sum stays
within the limit, also while nodes disagree on which of them are active.

A node that does not know the size of the fleet yet, because it has just
started, has no share.
"""

from snipesaddle._internal.systems.tick import NS_PER_MS, NS_PER_S
from snipesaddle._internal.tables.forwarding.fleet import PeerNode
from snipesaddle._internal.tables.forwarding.world import ForwardWorld

# How long a node that has left the fleet still counts for its size.
_SIZE_WINDOW_NS = 30_000 * NS_PER_MS
# After this time without its own record, a node cannot write it to the store,
# and the heartbeats have told what they can.
_MAX_WRITE_NS = 2_000 * NS_PER_MS
# The part of a limit that is reserved in equal shares for all nodes.
_RESERVED_RATIO = 0.25
# An equal share, as a multiple of itself, allowing for rounding.
_NEARLY_EQUAL = 0.999


def share_of(world: ForwardWorld, limit: float, minimum: float = 0.0) -> float:
    """Returns this node's share of a limit.

    Args:
      world: the tables.
      limit: the limit of the whole fleet.
      minimum: what each node may use in any case.
    """
    fleet = world.fleet
    size = fleet.recent_max_size
    if not size:
        return minimum
    reserved = max(minimum, limit * _RESERVED_RATIO / size)
    divisible = max(0.0, limit - reserved * size)
    return reserved + divisible * fleet.active_share


def update_size(world: ForwardWorld, now_ns: int) -> None:
    """Updates the size of the fleet, which is not known at the start.

    Until the records of the nodes are known, it is what others report.
    """
    fleet = world.fleet
    if _knows_records(world, now_ns):
        fleet.size = 1 + len(counted_nodes(world, now_ns))
    size = fleet.size
    if not size or now_ns - world.this_node.started_ns < _SIZE_WINDOW_NS:
        # The others may know nodes whose records have ended.
        size = max(size, fleet.reported_size)
    expired = now_ns - fleet.recent_max_seen_ns > _SIZE_WINDOW_NS
    if size >= fleet.recent_max_size or expired:
        fleet.recent_max_size = size
        fleet.recent_max_seen_ns = now_ns


def is_divided_equally(world: ForwardWorld) -> bool:
    """Returns whether the fleet is small, so that all shares are equal."""
    size = world.fleet.recent_max_size
    return 0 < size <= world.settings.fleet.min_active


def is_below_equal(world: ForwardWorld) -> bool:
    """Returns whether this node may hold less than an equal part."""
    multiple = world.fleet.connection_share * world.fleet.recent_max_size
    return is_divided_equally(world) and multiple < _NEARLY_EQUAL


def counted_nodes(world: ForwardWorld, now_ns: int) -> list[PeerNode]:
    """Returns the other nodes that count for the size of the fleet."""
    return [
        node
        for node in world.fleet.nodes.values()
        if node.registered or now_ns - node.last_heard_ns < _SIZE_WINDOW_NS
    ]


def _knows_records(world: ForwardWorld, now_ns: int) -> bool:
    """Returns whether the records from the store count for the fleet's size.

    Nodes that start at the same time may each have read the records before the
    others wrote theirs. Once a node's own record is among them, those that
    write later will find it and tell it of themselves.
    """
    fleet = world.fleet
    if not fleet.listed or fleet.own_record_seen:
        return fleet.listed
    return now_ns - world.this_node.started_ns > _MAX_WRITE_NS


def update_active_share(world: ForwardWorld, now_ns: int) -> None:
    """Updates the part of the divisible limits that this node may use."""
    fleet = world.fleet
    window_ns = world.settings.retries.window_s * NS_PER_S
    for node_id in fleet.active_node_ids:
        fleet.last_active_ns[node_id] = now_ns
    for node_id, last_ns in list(fleet.last_active_ns.items()):
        if now_ns - last_ns > window_ns:
            del fleet.last_active_ns[node_id]
    size = fleet.recent_max_size
    if not size or world.this_node.node_id not in fleet.active_node_ids:
        fleet.active_since_ns = 0
        fleet.active_share = 0.0
        return
    fleet.active_since_ns = fleet.active_since_ns or now_ns
    equal_share = 1 / size
    growth = min(1.0, (now_ns - fleet.active_since_ns) / window_ns)
    # Recently active nodes count, because their use has not faded yet. So do
    # nodes that this one cannot hear, but that clients may still use.
    min_active = min(size, world.settings.fleet.min_active)
    full_share = 1 / max(min_active, len(fleet.last_active_ns))
    fleet.active_share = max(equal_share, growth * full_share)
