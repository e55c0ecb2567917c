"""The HTTP API: problem details, disconnects, health, metrics and the CLI."""

from typing import Any

import httpx
import pytest

from tests.standins.fleet import Fleet


def ask(fleet: Fleet, method: str, path: str, **fields: Any) -> httpx.Response:
    url = f"http://{fleet.nodes['e1'].address}{path}"
    return fleet.http.request(method, url, **fields)


@pytest.mark.parametrize(
    ("path", "fields", "status", "kind"),
    [
        ("/v1/search/none", {"json": {"query": 1}}, 404, "unknown-service"),
        ("/v1/search/filing", {"json": {"query": 1}}, 422, "wrong-kind"),
        ("/v1/search/lookup", {"content": b"{"}, 400, "malformed"),
        ("/v1/search/lookup", {"content": b"\xff"}, 400, "malformed"),
        ("/v1/search/lookup", {"json": {}}, 422, "invalid"),
        ("/v1/search/lookup", {"json": []}, 422, "invalid"),
        (
            "/v1/search/lookup",
            {"json": {"query": 1, "deadline_ms": 0}},
            422,
            "invalid",
        ),
        (
            "/v1/search/lookup",
            {"json": {"query": 1, "services": ["filing"]}},
            404,
            "unknown-service",
        ),
        ("/v1/search/lookup", {"content": b"x" * 300_000}, 413, "too-large"),
        ("/v1/execute/filing", {"json": {"body": 1}}, 422, "invalid"),
        (
            "/v1/execute/filing",
            {"json": {"body": 1, "ticket": "t"}},
            422,
            "bad-ticket",
        ),
        (
            "/v1/execute/lookup-01",
            {"json": {"body": 1, "ticket": "t1.e1~0.0.0"}},
            422,
            "wrong-kind",
        ),
        ("/v1/nothing", {"json": {}}, 404, "no-such-path"),
    ],
)
def test_bad_request_is_a_problem(
    fleet: Fleet, path: str, fields: dict[str, Any], status: int, kind: str
) -> None:
    reply = ask(fleet, "POST", path, **fields)
    assert reply.status_code == status
    assert reply.headers["content-type"] == "application/problem+json"
    body = reply.json()
    assert body["type"] == f"urn:snipesaddle:problem:{kind}"
    assert body["status"] == status
    assert body["detail"]


def test_wrong_method_names_the_right_one(fleet: Fleet) -> None:
    reply = ask(fleet, "GET", "/v1/search/lookup")
    assert reply.status_code == 405
    assert reply.headers["allow"] == "POST"


def test_passed_deadline_is_an_account_of_nothing_covered(
    fleet: Fleet,
) -> None:
    fleet.set_all_leaves(service_ms=100)
    reply = fleet.search("e1", "lookup", "q", deadline_ms=5)
    fleet.set_all_leaves(service_ms=2)
    coverage = reply.json()["coverage"]
    assert coverage["fraction"] == 0.0
    assert {m["reason"] for m in coverage["missing"]} == {"timeout"}


def test_key_reused_for_another_request_is_refused(fleet: Fleet) -> None:
    fleet.execute("e1", "filing", {"n": 1}, key="reused")
    reply = fleet.execute("e2", "filing", {"n": 2}, key="reused")
    assert reply.status_code == 422
    assert reply.json()["type"].endswith("key-reused")
    assert fleet.journal().count("filing/reused") == 1


def test_caller_that_leaves_cancels_its_leaf_calls(fleet: Fleet) -> None:
    fleet.set_all_leaves(service_ms=400)
    before = sum(row["cancelled"] for row in fleet.leaf_stats().values())
    with pytest.raises(httpx.ReadTimeout):
        httpx.post(
            f"http://{fleet.nodes['e2'].address}/v1/search/lookup",
            json={"query": "q"},
            timeout=0.1,
        )
    fleet.wait(
        lambda: (
            sum(r["cancelled"] for r in fleet.leaf_stats().values())
            >= before + 4
        ),
        "the calls were not cancelled",
        2,
    )
    fleet.set_all_leaves(service_ms=2)


def test_health_and_readiness(fleet: Fleet) -> None:
    assert ask(fleet, "GET", "/healthz").status_code == 200
    assert ask(fleet, "GET", "/readyz").json()["state"] == "serving"


def test_metrics_have_a_histogram_for_each_class_and_tenant(
    fleet: Fleet,
) -> None:
    fleet.search("e3", "lookup", "q", tenant="desk-7")
    metrics = fleet.metrics("e3")
    assert metrics["classes"]["druva/lookup"]["count"] >= 1
    assert metrics["tenants"]["desk-7"]["p99_us"] > 0


def test_cli_asks_and_executes(fleet: Fleet) -> None:
    node = f"--node={fleet.nodes['e1'].address}"
    found = fleet.cli("query", "lookup", "q", node, "--json")
    assert found.returncode == 0
    assert '"fraction": 1.0' in found.stdout
    ran = fleet.cli("execute", "filing", '{"n": 9}', node)
    assert ran.returncode == 0
    assert '"outcome": "done"' in ran.stdout
    shown = fleet.cli("status", node)
    assert shown.stdout.count("  serving  ") == 4
    history = fleet.cli(
        "config", "history", f"--store=127.0.0.1:{fleet.store_port}"
    )
    assert history.stdout.startswith("1  ")
    none = fleet.cli("status", "--node=127.0.0.1:1")
    assert none.returncode == 5
    assert "check the addresses" in none.stderr
