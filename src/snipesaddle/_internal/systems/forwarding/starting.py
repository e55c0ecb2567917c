"""Starting: puts an accepted request in progress."""

from snipesaddle._internal.systems.forwarding import (
    admission,
    placement,
    relaying,
    wakeups,
)
from snipesaddle._internal.systems.forwarding.load_balancing import (
    EndpointChooser,
)
from snipesaddle._internal.tables.forwarding.requests import Request
from snipesaddle._internal.tables.forwarding.world import ForwardWorld


def start(
    world: ForwardWorld,
    request: Request,
    chooser: EndpointChooser,
    now_ns: int,
) -> None:
    """Starts a client's request that all checks have accepted."""
    admission.admit(world, request)
    world.add_request(request)
    relaying.relay_remote_parts(world, request, chooser, now_ns)
    placement.enqueue_parts(world, request, now_ns)
    wakeups.schedule_first_wakeup(world, request, now_ns)
