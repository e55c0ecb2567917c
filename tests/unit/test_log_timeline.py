"""The timeline that logs give of a request."""

import json
from pathlib import Path
from typing import Any

from typer.testing import CliRunner

from snipesaddle._internal.cli.main import app


def line(at_ms: int, node: str, event: str, **fields: Any) -> str:
    head = {"time_unix_ms": at_ms, "node": node, "event": event}
    return json.dumps(head | fields)


def write_logs(folder: Path) -> list[str]:
    one = [
        line(1_000, "e1", "endpoint_removed", endpoint="f0", service="old"),
        line(9_000, "e1", "store_lost", range="config"),
        line(9_100, "e1", "endpoint_ejected", endpoint="f1", service="file"),
        line(9_200, "e1", "endpoint_ejected", endpoint="x1", service="other"),
        line(9_300, "e1", "request_ended", request="r0", outcome="whole"),
        line(
            9_400,
            "e1",
            "request_ended",
            request="r1",
            outcome="not_run",
            missing={"file": "no_endpoint"},
            tried=[[]],
        ),
        "no log line at all",
        "{broken",
    ]
    two = [line(9_050, "e2", "store_lost", range="config")]
    for name, lines in (("e1.log", one), ("e2.log", two)):
        (folder / name).write_text("\n".join(lines))
    return [str(folder / "e1.log"), str(folder / "e2.log")]


def test_tells_what_led_to_the_end_of_a_request(tmp_path: Path) -> None:
    files = write_logs(tmp_path)
    result = CliRunner().invoke(app, ["explain", "r1", *files, "--json"])
    assert result.exit_code == 0
    events = [entry["event"] for entry in json.loads(result.stdout)]
    assert events == ["store_lost", "endpoint_ejected", "request_ended"]


def test_says_what_to_do_about_an_unknown_request(tmp_path: Path) -> None:
    files = write_logs(tmp_path)
    result = CliRunner().invoke(app, ["explain", "r9", *files])
    assert result.exit_code == 1
    assert "logs of all nodes" in result.stderr
