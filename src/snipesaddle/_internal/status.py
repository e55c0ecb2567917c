"""The status of an entry node, read from its tables."""

import dataclasses
from typing import Any

from snipesaddle._internal.systems import config
from snipesaddle._internal.tables.world import World

_NS_PER_MS = 1_000_000


def status_of(world: World, now_ns: int) -> dict[str, Any]:
    """Returns what an operator wants to know of this node."""
    this_node = world.this_node
    head = world.config.head
    latest = head.history[-1] if head.history else None
    return {
        "node": this_node.node_id,
        "incarnation": this_node.incarnation,
        "zone": this_node.zone,
        "state": this_node.state.value,
        "generation": head.generation,
        "publish_id": latest.publish_id if latest else "",
        "in_force_for_ms": _age_ms(world.config.in_force_since_ns, now_ns),
        "store_ok": this_node.store_ok,
        "watches_store": config.is_store_watcher(world),
        "store_confirmed_ms_ago": _age_ms(
            world.config.store_confirmed_ns, now_ns
        ),
        "services": len(world.config.services),
        "leaves": _leaf_states(world),
        "queries": len(world.queries),
        "calls": len(world.calls),
        "links": len(world.links),
        "peers": [
            {
                "node": peer.node_id,
                "address": peer.http_address,
                "zone": peer.zone,
                "state": peer.state.value,
                "live": peer.live,
                "generation": peer.generation,
            }
            for peer in world.peers
        ],
    }


def metrics_of(world: World) -> dict[str, Any]:
    """Returns the counters of this node."""
    return {
        "counters": dataclasses.asdict(world.counters),
        "query_limits": [round(limit, 1) for limit in world.load.limits],
    }


def _age_ms(since_ns: int, now_ns: int) -> int | None:
    return (now_ns - since_ns) // _NS_PER_MS if since_ns else None


def _leaf_states(world: World) -> dict[str, int]:
    states: dict[str, int] = {}
    for leaf in world.leaves:
        states[leaf.state.value] = states.get(leaf.state.value, 0) + 1
    return states
