"""What must always hold, under failure; a row of docs/PROMISES.md each."""

import os
import signal
import threading
import time
from collections.abc import Callable
from typing import Any

import pytest

from tests.standins import oracle
from tests.standins.callers import Stream, StreamResult
from tests.standins.fleet import Fleet, FleetOptions
from tests.standins.layouts import Group

pytestmark = pytest.mark.promise

SEED = int(os.environ.get("SEED", "1"))
SPLIT = (
    Group("lookup", "druva", "search", 3, 2, 2, 25, 1, shards=2),
    Group("filing", "druva", "execute", 1, 2, 4, 110, 0),
)
LOOKUP = ["lookup-01", "lookup-02", "lookup-03"]
FAST = {
    "directory": {"keep_ms": 800},
    "membership": {"heartbeat_interval_ms": 200, "suspect_after_ms": 1_000},
}


def options(**fields: Any) -> FleetOptions:
    print(f"seed {SEED}")
    fields.setdefault("settings", FAST)
    return FleetOptions(seed=SEED, **fields)


def faults(results: list[StreamResult]) -> list[str]:
    return [fault for result in results for fault in result.faults]


def count(results: list[StreamResult], prefix: str) -> int:
    return sum(
        number
        for result in results
        for outcome, number in result.outcomes.items()
        if outcome.startswith(prefix)
    )


def check_executions(fleet: Fleet, results: list[StreamResult]) -> None:
    """Holds what callers were told of executions against the journals."""
    journal = fleet.journal()
    assert len(journal) == len(set(journal)), "a key ran twice"
    for result in results:
        assert set(result.executed) <= set(journal)
        assert not set(result.not_run) & set(journal)


def maps_of(*snapshots: tuple[int, list[str]]) -> dict[str, Any]:
    return {
        "lookup": {
            number: oracle.even_ranges(LOOKUP, names)
            for number, names in snapshots
        }
    }


def during(work: Callable[[], None]) -> threading.Thread:
    thread = threading.Thread(target=work)
    thread.start()
    return thread


# 1, 2: one snapshot, true coverage ---------------------------------------


def test_repartition_under_load_never_mixes_snapshots() -> None:
    maps = maps_of(
        (1, ["s0", "s1"]), (2, ["a", "b", "c", "d"]), (3, ["m", "n"])
    )
    slow = {"service_ms": 10, "straggle_share": 0.05}
    with Fleet(options(groups=SPLIT, leaf_fields=slow)) as fleet:
        fleet.start()
        load = fleet.start_load([Stream("lookup", 25, 6)], maps, SEED)
        time.sleep(1)
        for name in LOOKUP:
            old = {1: ["s0", "s1"], 2: ["a", "b", "c", "d"]}
            fleet.set_snapshots(name, old)
            time.sleep(0.3)
        for name in LOOKUP:
            fleet.set_snapshots(name, {2: ["a", "b", "c", "d"]})
        time.sleep(0.5)
        for name in LOOKUP:
            fleet.set_snapshots(name, {3: ["m", "n"]})
        results = load.finish()
    assert faults(results) == []
    assert set(results[0].snapshots) >= {1, 2, 3}
    assert results[0].answered == results[0].asked


def test_leaf_that_lies_about_its_snapshot_is_caught() -> None:
    maps = maps_of((1, ["s0", "s1"]))
    with Fleet(options(groups=SPLIT)) as fleet:
        fleet.start()
        liar = fleet.leaf_ports("lookup-02")[0]
        fleet.set_leaf(liar, lie_snapshot=9)
        results = fleet.start_load([Stream("lookup", 20, 2)], maps).finish()
        wrong = sum(
            fleet.metrics(name)["counters"]["wrong_snapshots"]
            for name in fleet.nodes
        )
    assert faults(results) == []
    assert results[0].answered == results[0].asked
    assert wrong > 0


def test_missing_shards_are_named_with_their_reason() -> None:
    maps = maps_of((1, ["s0", "s1"]))["lookup"]
    with Fleet(options(groups=SPLIT, proxied=True)) as fleet:
        fleet.start()
        ports = fleet.leaf_ports("lookup-01")
        for port in ports[:2]:
            fleet.set_route(fleet.route_of_leaf(port), cut=True)
        for port in ports[2:]:
            fleet.set_leaf(port, shed_share=1.0)
        for port in fleet.leaf_ports("lookup-02")[:2]:
            fleet.set_leaf(port, frozen=True)
        reply = fleet.search("e1", "lookup", "q", deadline_ms=300)
        answer = reply.json()
    reasons = {
        (m["service"], m["shard"]): m["reason"]
        for m in answer["coverage"]["missing"]
    }
    assert reasons == {
        ("lookup-01", "s0"): "failed",
        ("lookup-01", "s1"): "shed",
        ("lookup-02", "s0"): "timeout",
    }
    assert oracle.faults_of(answer, "q", maps) == []


# 3: the whole answer to its own request ----------------------------------


def test_late_crossed_and_doubled_replies_never_reach_a_caller() -> None:
    maps = maps_of((1, ["s0", "s1"]))
    bad = {
        "straggle_share": 0.1,
        "cross_share": 0.1,
        "double_share": 0.1,
        "lose_reply_share": 0.05,
    }
    with Fleet(options(groups=SPLIT, leaf_fields=bad)) as fleet:
        fleet.start()
        streams = [Stream("lookup", 15, 4), Stream("lookup", 15, 4)]
        results = fleet.start_load(streams, maps, SEED).finish()
        crossed = sum(
            fleet.metrics(name)["counters"]["crossed_replies"]
            for name in fleet.nodes
        )
    assert faults(results) == []
    assert crossed > 0
    assert count(results, "200") == sum(r.asked for r in results)


# 4, 5: a true "not run", at most once ------------------------------------


def test_executions_under_kills_and_freezes_run_at_most_once() -> None:
    stream = Stream("filing", 40, 7, execute=True, retry_elsewhere_share=1.0)
    leaf = {"service_ms": 20, "shed_share": 0.1, "lose_reply_share": 0.03}
    with Fleet(options(groups=SPLIT, leaf_fields=leaf)) as fleet:
        fleet.start()
        load = fleet.start_load([stream], seed=SEED)
        time.sleep(1)
        fleet.nodes["e1"].kill()
        fleet.nodes["e2"].freeze()
        time.sleep(2)
        fleet.nodes["e2"].thaw()
        fleet.start_node("e1")
        fleet.nodes["e3"].freeze()
        time.sleep(1.5)
        fleet.nodes["e3"].thaw()
        results = load.finish()
        check_executions(fleet, results)
    assert faults(results) == []
    assert results[0].executed
    assert results[0].unknown


def test_refused_executions_did_not_run() -> None:
    with Fleet(options(leaf_fields={"shed_share": 1.0})) as fleet:
        fleet.start()
        tickets = fleet.tickets("e1", 5)
        replies = [
            fleet.execute(name, "filing", {"n": 1}, ticket)
            for ticket in tickets
            for name in ("e2", "e1", "e3")
        ]
        fleet.set_all_leaves(shed_share=0.0)
        again = [
            fleet.execute("e4", "filing", {"n": 1}, ticket)
            for ticket in tickets
        ]
        journal = fleet.journal()
    told = {reply.json()["outcome"] for reply in replies + again}
    assert told == {"not_run"}
    assert journal == []


def test_claim_whose_reply_was_lost_runs_once_and_is_never_denied() -> None:
    with Fleet(options()) as fleet:
        fleet.start()
        fleet.store_faults(lost_puts=1)
        first = fleet.execute("e1", "filing", {"n": 1}, key="k1")
        second = fleet.execute("e2", "filing", {"n": 1}, key="k1")
        journal = fleet.journal()
    assert first.json()["outcome"] == "done"
    assert second.json()["outcome"] == "done"
    assert journal.count("filing/k1") == 1


def test_key_with_the_store_down_is_not_called_not_run() -> None:
    with Fleet(options()) as fleet:
        fleet.start()
        ran = fleet.execute("e1", "filing", {"n": 1}, key="k1")
        fleet.store_faults(outage=True)
        retried = fleet.execute("e2", "filing", {"n": 1}, key="k1")
        fresh = fleet.execute("e2", "filing", {"n": 2}, key="k2")
        ticket = fleet.execute("e3", "filing", {"n": 3}, fleet.tickets("e3")[0])
        fleet.store_faults()
        settled = [
            fleet.execute(name, "filing", {"n": 2}, key="k2").json()["outcome"]
            for name in fleet.nodes
        ]
        journal = fleet.journal()
    assert ran.json()["outcome"] == "done"
    assert retried.json()["outcome"] == "unknown"
    assert fresh.json()["outcome"] == "unknown"
    assert ticket.json()["outcome"] == "done"
    assert settled == ["done"] * 4
    assert len(journal) == len(set(journal)) == 3


def test_frozen_owner_does_not_run_what_was_told_not_run() -> None:
    with Fleet(options()) as fleet:
        fleet.start()
        tickets = fleet.tickets("e1", 6)
        fleet.nodes["e1"].freeze()
        told = [
            fleet.execute(
                "e2", "filing", {"n": 1}, ticket, deadline_ms=300
            ).json()["outcome"]
            for ticket in tickets
        ]
        fleet.nodes["e1"].thaw()
        time.sleep(0.5)
        later = [
            fleet.execute("e3", "filing", {"n": 1}, ticket).json()["outcome"]
            for ticket in tickets
        ]
        journal = fleet.journal()
    assert told == ["unknown"] * 6
    assert "unknown" not in later
    assert len(journal) == len(set(journal))


# 6: a leaving endpoint ---------------------------------------------------


def test_leaving_leaf_gets_no_new_work_though_its_reports_lag() -> None:
    lagging = {"health_lag_ms": 30_000, "service_ms": 20}
    with Fleet(options(groups=SPLIT, leaf_fields=lagging)) as fleet:
        fleet.start()
        port = fleet.leaf_ports("lookup-01")[0]
        maps = maps_of((1, ["s0", "s1"]))
        load = fleet.start_load([Stream("lookup", 20, 7)], maps)
        time.sleep(1)
        fleet.set_leaf(port, state="draining")
        results = load.finish()
        stats = fleet.leaf_stats()[port]
    assert stats["after_drain_ms"] < 3_000
    assert count(results, "200") == results[0].asked
    assert results[0].complete == results[0].asked
    assert faults(results) == []


def test_leaf_removed_by_a_publish_gets_no_new_work() -> None:
    with Fleet(options(groups=SPLIT)) as fleet:
        fleet.start()
        files = fleet.service_files()
        leaves = files["lookup-01"]["shards"][0]["leaves"]
        port = int(leaves.pop(0)["address"].rpartition(":")[2])
        maps = maps_of((1, ["s0", "s1"]))
        load = fleet.start_load([Stream("lookup", 20, 6)], maps)
        time.sleep(1)
        fleet.publish({"lookup-01": files["lookup-01"]})
        time.sleep(3)
        calls = fleet.leaf_stats()[port]["calls"]
        results = load.finish()
        stats = fleet.leaf_stats()[port]
    assert calls > 0
    assert stats["calls"] == calls
    assert stats["connections"] == 0
    assert results[0].complete == results[0].asked
    assert faults(results) == []


# 7: graceful stop --------------------------------------------------------


@pytest.mark.parametrize("store_down", [False, True])
def test_rolling_restart_cuts_and_loses_nothing(store_down: bool) -> None:
    maps = maps_of((1, ["s0", "s1"]))
    with Fleet(options(groups=SPLIT)) as fleet:
        fleet.start()
        streams = [
            Stream("lookup", 10, 13),
            Stream("filing", 20, 13, execute=True, retry_elsewhere_share=0.7),
        ]
        load = fleet.start_load(streams, maps, SEED)
        time.sleep(0.5)
        fleet.store_faults(outage=store_down)
        for names in (["e1"], ["e2"], ["e3", "e4"]):
            restart(fleet, names)
        results = load.finish()
        check_executions(fleet, results)
    assert faults(results) == []
    assert count(results[:1], "200") == results[0].asked
    assert count(results[1:], "done") == results[1].asked
    assert [result.refused_connects for result in results] == [0, 0]


def restart(fleet: Fleet, names: list[str]) -> None:
    for name in names:
        fleet.nodes[name].send_signal(signal.SIGTERM)
    for name in names:
        process = fleet.nodes[name].process
        assert process is not None
        assert process.wait(20) == 0
    for name in names:
        fleet.start_node(name)
    fleet.wait_ready(names)


# 8: configuration --------------------------------------------------------


def generation(fleet: Fleet, name: str) -> int:
    status = fleet.status(name)
    return status["generation"] if status else 0


def edited(fleet: Fleet, service: str, budget_ms: int) -> dict[str, Any]:
    file = fleet.service_files()[service]
    file["hedge"] = {"extra_load": budget_ms / 1_000}
    return {service: file}


def wait_generation(
    fleet: Fleet, names: list[str], wanted: int, within_s: float
) -> None:
    fleet.wait(
        lambda: all(generation(fleet, n) >= wanted for n in names),
        f"generation {wanted} is not in force at {names}",
        within_s,
    )


def test_publish_reaches_a_node_cut_from_the_store_within_6_s() -> None:
    with Fleet(options(proxied=True)) as fleet:
        fleet.start()
        for name in ("e1", "e2", "e3"):
            fleet.cut_store(name)
        published = fleet.publish(edited(fleet, "lookup-01", 10))
        assert published["generation"] == 2
        wait_generation(fleet, list(fleet.nodes), 2, 6)


def test_configuration_never_reverts_with_a_store_from_the_past() -> None:
    with Fleet(options()) as fleet:
        fleet.start()
        fleet.remember_store()
        fleet.publish(edited(fleet, "lookup-01", 10))
        wait_generation(fleet, list(fleet.nodes), 2, 6)
        fleet.store_faults(stale=True)
        fleet.nodes["e1"].kill()
        fleet.start_node("e1")
        fleet.wait_ready(["e1"])
        wait_generation(fleet, ["e1"], 2, 6)
        seen = set()
        until = time.monotonic() + 5
        while time.monotonic() < until:
            seen |= {generation(fleet, name) for name in fleet.nodes}
    assert seen == {2}


def test_node_restarted_with_the_store_down_learns_from_peers() -> None:
    with Fleet(options()) as fleet:
        fleet.start()
        fleet.publish(edited(fleet, "lookup-01", 10))
        wait_generation(fleet, list(fleet.nodes), 2, 6)
        fleet.store_faults(outage=True)
        fleet.nodes["e2"].kill()
        fleet.start_node("e2")
        fleet.wait_ready(["e2"])
        reply = fleet.search("e2", "lookup", "q")
        assert generation(fleet, "e2") == 2
    assert reply.json()["coverage"]["fraction"] == 1.0


def test_frozen_node_catches_up_and_never_goes_back() -> None:
    with Fleet(options()) as fleet:
        fleet.start()
        fleet.nodes["e3"].freeze()
        for step in (10, 20, 30):
            fleet.publish(edited(fleet, "lookup-01", step))
        time.sleep(1.5)
        fleet.nodes["e3"].thaw()
        wait_generation(fleet, ["e3"], 4, 6)
        time.sleep(1)
        assert generation(fleet, "e3") == 4


def test_node_that_reaches_neither_serves_what_it_has() -> None:
    with Fleet(options(proxied=True)) as fleet:
        fleet.start()
        fleet.cut_store("e1")
        for name in fleet.nodes:
            fleet.cut_peers(name)
        fleet.publish(edited(fleet, "lookup-01", 10))
        time.sleep(2)
        cut_off = generation(fleet, "e1")
        reply = fleet.search("e1", "lookup", "q")
        fleet.nodes["e2"].kill()
        fleet.cut_store("e2")
        fleet.start_node("e2")
        fleet.wait_listening("e2")
        time.sleep(2)
        empty = fleet.search("e2", "lookup", "q")
        for name in fleet.nodes:
            fleet.cut_peers(name, cut=False)
        wait_generation(fleet, ["e1", "e2"], 2, 6)
    assert cut_off == 1
    assert reply.json()["coverage"]["fraction"] == 1.0
    assert empty.status_code == 503
    assert empty.json()["not_run"] is True


def test_racing_operators_keep_disjoint_and_refuse_conflicting_changes() -> (
    None
):
    with Fleet(options()) as fleet:
        fleet.start()
        store = f"--store=127.0.0.1:{fleet.store_port}"
        done: dict[str, Any] = {}

        def run(who: str, service: str, step: int) -> None:
            folder = fleet.write_files(edited(fleet, service, step))
            done[who] = fleet.cli(
                "publish",
                str(folder),
                store,
                "--base=1",
                f"--publisher={who}",
            )

        threads = [
            during(lambda: run("anna", "lookup-01", 10)),
            during(lambda: run("bela", "lookup-02", 20)),
            during(lambda: run("cara", "lookup-02", 30)),
        ]
        for thread in threads:
            thread.join()
        codes = {who: result.returncode for who, result in done.items()}
        wait_generation(fleet, list(fleet.nodes), 3, 6)
    assert codes["anna"] == 0
    assert sorted([codes["bela"], codes["cara"]]) == [0, 4]
    loser = "bela" if codes["bela"] else "cara"
    winner = "cara" if loser == "bela" else "bela"
    assert winner in done[loser].stderr


def test_publish_whose_reply_was_lost_is_settled_by_reading_back() -> None:
    with Fleet(options()) as fleet:
        fleet.start()
        fleet.store_faults(lost_puts=2)
        published = fleet.publish(edited(fleet, "lookup-01", 10))
        wait_generation(fleet, list(fleet.nodes), 2, 6)
        time.sleep(0.5)
        assert generation(fleet, "e1") == 2
    assert published["generation"] == 2
    assert published["changed"] == ["lookup-01"]


# connection limits -------------------------------------------------------


def test_connection_limits_hold_while_nodes_disagree() -> None:
    with Fleet(options(groups=SPLIT, proxied=True)) as fleet:
        fleet.start()
        fleet.set_all_leaves(service_ms=300)
        load = fleet.start_load([Stream("lookup", 40, 5)], seed=SEED)
        time.sleep(0.5)
        for name in ("e1", "e2"):
            fleet.cut_peers(name)
        fleet.nodes["e3"].kill()
        fleet.start_node("e3")
        load.finish()
        stats = fleet.leaf_stats().values()
    assert sum(row["refused_connections"] for row in stats) == 0
    assert max(row["most_connections"] for row in stats) >= 15
