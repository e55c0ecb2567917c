"""Possible runs: which parts of a request an endpoint may have run.

This alone decides whether a request is answered with "not run", and whether its
token goes back to the quota of its tenant. A part counts from the moment at
which it is sent to an endpoint, or to a node that gathers it; it ceases to
count only when the endpoint states that it has not run it, or the message has
not left this node.
"""

from snipesaddle._internal.tables.forwarding.requests import Part, Request


def count_sent(part: Part, endpoint_id: str) -> None:
    """Counts a part that is sent to an endpoint."""
    part.possible_runs += 1
    part.run_endpoint_ids.append(endpoint_id)
    part.send_count += 1


def count_rejected(part: Part, endpoint_id: str) -> None:
    """Counts that an endpoint states that it has not run a part."""
    part.possible_runs -= 1
    part.run_endpoint_ids.remove(endpoint_id)


def count_relayed(part: Part, max_endpoints: int) -> None:
    """Counts a part that is sent to a node that gathers it.

    Args:
      part: the part.
      max_endpoints: to how many endpoints that node may send it.
    """
    part.possible_runs += 1
    part.relayed_runs += max_endpoints
    part.send_count += 1


def discount_relayed(part: Part, max_endpoints: int) -> None:
    """Takes back the count of a relay that has not left this node."""
    part.possible_runs -= 1
    part.relayed_runs -= max_endpoints
    part.send_count -= 1


def may_have_run(request: Request) -> bool:
    """Returns whether any endpoint may have run any part of a request."""
    return any(part.possible_runs > 0 for part in request.parts)
