"""The whole path through real processes."""

from tests.standins import oracle
from tests.standins.fleet import Fleet

LOOKUP = [f"lookup-{i:02d}" for i in range(1, 5)]
MAPS = {1: oracle.even_ranges(LOOKUP, ["s0"])}


def test_search_answers_completely_at_every_node(fleet: Fleet) -> None:
    for name in fleet.nodes:
        reply = fleet.search(name, "lookup", f"from {name}")
        assert reply.status_code == 200
        answer = reply.json()
        assert answer["coverage"]["missing"] == []
        assert oracle.faults_of(answer, f"from {name}", MAPS) == []


def test_ticket_runs_once_whichever_node_is_asked(fleet: Fleet) -> None:
    [ticket] = fleet.tickets("e1")
    replies = [
        fleet.execute(name, "filing", {"n": 1}, ticket) for name in fleet.nodes
    ]
    assert {reply.json()["outcome"] for reply in replies} == {"done"}
    assert fleet.journal().count(ticket) == 1


def test_idempotency_key_runs_once_whichever_node_is_asked(
    fleet: Fleet,
) -> None:
    replies = [
        fleet.execute(name, "filing", {"n": 2}, key="order-2")
        for name in fleet.nodes
    ]
    assert {reply.json()["outcome"] for reply in replies} == {"done"}
    assert fleet.journal().count("filing/order-2") == 1
