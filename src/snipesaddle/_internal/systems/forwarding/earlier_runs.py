"""Earlier runs: replies to what an earlier run of this node has asked.

They reach this run because it has the same address, and belong to none of its
requests.
"""

from snipesaddle._internal import run_ids
from snipesaddle._internal.tables.forwarding.world import ForwardWorld


def has_asked(world: ForwardWorld, message_id: int) -> bool:
    """Returns whether an earlier run has given out the id of a message."""
    run_number = run_ids.run_number_of(message_id)
    return run_number != world.this_node.run_number


def record_reply(world: ForwardWorld, reply: object) -> None:
    """Counts and logs a reply that is dropped."""
    world.counters.replies_to_earlier_runs += 1
    world.log("reply_to_earlier_run", message=type(reply).__name__)
