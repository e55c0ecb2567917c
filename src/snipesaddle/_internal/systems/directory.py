"""Directory: tells callers which entry nodes to use."""

from snipesaddle._internal.systems import membership, tickets
from snipesaddle._internal.systems.base import System
from snipesaddle._internal.tables.commands import (
    AnswerDirectory,
    DirectoryNode,
)
from snipesaddle._internal.tables.events import DirectoryRequested
from snipesaddle._internal.tables.nodes import NodeState
from snipesaddle._internal.tables.world import World


class DirectorySystem(System):
    """Answers with serving nodes, the nearest zone first, and tickets."""

    def run(self, world: World, now_ns: int) -> None:
        for asked in world.inbox.take(DirectoryRequested):
            settings = world.settings.directory
            serving = world.this_node.state is NodeState.SERVING
            count = min(asked.tickets, settings.max_tickets) if serving else 0
            issued = tuple(tickets.issue(world, now_ns) for _ in range(count))
            world.emit(
                AnswerDirectory(
                    request_id=asked.request_id,
                    nodes=_nodes(world, asked.zone),
                    keep_ms=settings.keep_ms,
                    tickets=issued,
                )
            )


def _nodes(world: World, zone: str) -> tuple[DirectoryNode, ...]:
    nodes = [
        DirectoryNode(peer.node_id, peer.http_address, peer.zone)
        for peer in membership.live_peers(world)
        if peer.state is NodeState.SERVING
    ]
    this_node = world.this_node
    if this_node.state is NodeState.SERVING:
        nodes.append(
            DirectoryNode(
                this_node.node_id, this_node.http_address, this_node.zone
            )
        )
    world.rng.shuffle(nodes)
    nodes.sort(key=lambda node: node.zone != zone)
    return tuple(nodes[: world.settings.directory.size])
