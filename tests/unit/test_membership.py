"""Who is a peer, who a neighbour, and who watches the store."""

import pytest

from snipesaddle._internal.systems import config, membership
from snipesaddle._internal.tables.commands import (
    DisconnectPeer,
    SendPeer,
    WatchHead,
)
from snipesaddle._internal.tables.config import Head
from snipesaddle._internal.tables.events import HeadRead, VmEntry, VmListRead
from snipesaddle._internal.tables.messages import (
    Heartbeat,
    NodeRecord,
    NodeRumour,
    ViewSync,
)
from snipesaddle._internal.tables.nodes import NodeState
from tests.standins import layouts
from tests.standins.layouts import Group
from tests.standins.ticks import Ticks

LOOKUP = Group("lookup", "druva", "search", 1, 2, 2, 25, 0)


@pytest.fixture
def run() -> Ticks:
    placed = layouts.place((LOOKUP,), 20_000, ("z",))
    return Ticks(list(layouts.service_files(placed).values()))


def beat(
    run: Ticks, name: str, sequence: int = 1, run_no: int = 1, **fields: object
) -> None:
    record = NodeRecord(
        **{
            "node_id": name,
            "incarnation": f"{name}~{run_no}",
            "http_address": f"{name}:http",
            "peer_address": name,
            "zone": "z",
            "state": NodeState.SERVING,
            "generation": 1,
            "store_ok": True,
            "sequence": sequence,
        }
        | fields
    )
    run.world.inbox.put(Heartbeat(record))
    run.tick()


def list_vms(run: Ticks, *names: str) -> None:
    entries = tuple(
        VmEntry(name, f"{name}:http", name, "z", NodeState.SERVING)
        for name in names
    )
    run.world.inbox.put(VmListRead(entries))
    run.tick()


def test_silent_peer_is_not_live_and_a_late_beat_brings_it_back(
    run: Ticks,
) -> None:
    list_vms(run, "e1", "e2")
    beat(run, "e2")
    for _ in range(6):
        run.tick(1_000)
    assert not run.world.peers["e2"].live
    beat(run, "e2", sequence=2)
    assert run.world.peers["e2"].live


def test_message_of_an_earlier_incarnation_changes_nothing(
    run: Ticks,
) -> None:
    beat(run, "e2", run_no=2)
    beat(run, "e2", run_no=1, sequence=99, state=NodeState.LEAVING)
    assert run.world.peers["e2"].state is NodeState.SERVING


def test_peer_that_is_gone_is_forgotten_and_its_connection_closed(
    run: Ticks,
) -> None:
    list_vms(run, "e1", "e2")
    beat(run, "e2")
    for _ in range(70):
        run.tick(1_000)
    list_vms(run, "e1")
    assert len(run.world.peers) == 0
    assert run.take(DisconnectPeer) == [DisconnectPeer("e2")]


def test_neighbours_are_bounded_and_rumours_pass_once(run: Ticks) -> None:
    names = [f"n{i}" for i in range(40)]
    list_vms(run, "e1", *names)
    for name in names:
        beat(run, name)
    near = membership.neighbours(run.world)
    assert len(near) == 8
    run.commands.clear()
    leaving = NodeRecord(
        "n5",
        "n5~1",
        "n5:http",
        "n5",
        "z",
        NodeState.LEAVING,
        1,
        True,
        7,
    )
    for _ in range(3):
        run.world.inbox.put(NodeRumour(leaving, live=True))
        run.tick()
    passed = [
        c for c in run.take(SendPeer) if isinstance(c.message, NodeRumour)
    ]
    assert len(passed) == len([p for p in near if p.node_id != "n5"])


def test_new_neighbour_is_not_suspected_for_its_past_silence(
    run: Ticks,
) -> None:
    names = [f"n{i}" for i in range(20)]
    list_vms(run, "e1", *names)
    for name in names:
        beat(run, name)
    near = {p.node_id for p in membership.neighbours(run.world)}
    run.tick(1_000)
    for second in range(10):
        for name in near:
            beat(run, name, sequence=2 + second)
        run.tick(1_000)
    lost = sorted(near)[0]
    run.world.peers.remove(lost)
    run.tick(1_000)
    later = {p.node_id for p in membership.neighbours(run.world)}
    [entered] = later - near
    assert run.world.peers[entered].live


def test_lasting_difference_of_views_is_mended(run: Ticks) -> None:
    names = [f"n{i}" for i in range(12)]
    list_vms(run, "e1", *names)
    for name in names:
        beat(run, name)
    run.commands.clear()
    for sequence in (2, 3, 4):
        beat(run, "n3", sequence=sequence)
    [sync] = [
        c.message for c in run.take(SendPeer) if isinstance(c.message, ViewSync)
    ]
    assert len(sync.nodes) == 12
    other = sync.nodes[0]
    run.world.peers.remove(other.node_id)
    run.world.inbox.put(sync)
    run.tick()
    assert run.world.peers[other.node_id].live


def test_two_of_many_watch_the_store(run: Ticks) -> None:
    watchers = 0
    names = [f"n{i}" for i in range(30)]
    for name in names:
        beat(run, name)
    for name in names:
        run.world.this_node.node_id, kept = name, run.world.this_node.node_id
        peer = run.world.peers.remove(name)
        assert peer is not None
        watchers += config.is_store_watcher(run.world)
        run.world.peers.put(name, peer)
        run.world.this_node.node_id = kept
    assert watchers + config.is_store_watcher(run.world) in (2, 3)


def test_node_without_peers_watches_and_takes_only_higher(
    run: Ticks,
) -> None:
    run.world.inbox.put(HeadRead(Head(0, {}, ())))
    run.tick()
    assert run.world.config.generation == 1
    run.tick(40)
    assert run.take(WatchHead) == []
    run.tick(2_000)
    assert len(run.take(WatchHead)) == 1
