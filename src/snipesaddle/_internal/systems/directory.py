"""Directory: lists the entry nodes that callers may use."""

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
    """Answers with serving nodes, the caller's zone first, and tickets."""

    def run(self, world: World, now_ns: int) -> None:
        for request in world.inbox.take(DirectoryRequested):
            settings = world.settings.directory
            serving = world.this_node.state is NodeState.SERVING
            count = min(request.tickets, settings.max_tickets) if serving else 0
            issued = tuple(tickets.issue(world, now_ns) for _ in range(count))
            world.emit(
                AnswerDirectory(
                    request_id=request.request_id,
                    nodes=_listed_nodes(world, request.zone),
                    keep_ms=settings.keep_ms,
                    tickets=issued,
                )
            )


def _listed_nodes(world: World, zone: str) -> tuple[DirectoryNode, ...]:
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
