"""Settings that change while a node runs."""

from pathlib import Path

import anyio
import pytest

from snipesaddle._internal.daemon.settings_watch import (
    SettingsWatch,
    changed_fields,
)
from snipesaddle._internal.metrics.decision_log import DecisionLog
from snipesaddle._internal.models.forwarding import (
    ForwardSettings,
    load_settings,
)

pytestmark = pytest.mark.anyio

TEXT = """
node: {name: e1, zone: a, front: "127.0.0.1:1", readiness: "127.0.0.1:2",
  directory: "127.0.0.1:3", peer: "127.0.0.1:4", metrics: "127.0.0.1:5"}
store: {address: "127.0.0.1:6"}
"""


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Lines(DecisionLog):
    """A decision log that keeps its lines in a list."""

    def __init__(self) -> None:
        self.lines: list[dict[str, object]] = []

    def write(self, event: str, fields: dict[str, object]) -> None:
        self.lines.append({"event": event, **fields})


class Watched:
    """A settings file with a watch on it."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "settings.yaml"
        self.path.write_text(TEXT)
        self.log = Lines()
        self.applied: list[ForwardSettings] = []
        settings = load_settings(self.path)
        self.watch = SettingsWatch(
            self.path, settings, self.log, self.applied.append
        )


def test_a_signal_applies_what_changed(tmp_path: Path) -> None:
    watched = Watched(tmp_path)
    watched.path.write_text(TEXT.replace(":6", ":7") + "drain: {grace_s: 9}")
    watched.watch.reload()
    (settings,) = watched.applied
    assert settings.store.address == "127.0.0.1:7"
    (line,) = watched.log.lines
    assert line["changed"] == ["store.address", "drain.grace_s"]
    assert line["needs_restart"] == []


def test_a_wrong_file_leaves_the_settings_in_force(tmp_path: Path) -> None:
    watched = Watched(tmp_path)
    watched.path.write_text("node: 5")
    watched.watch.reload()
    assert watched.applied == []
    watched.path.write_text(TEXT.replace(":6", ":7"))
    watched.watch.reload()
    assert len(watched.applied) == 1


def test_names_what_takes_a_restart(tmp_path: Path) -> None:
    watched = Watched(tmp_path)
    watched.path.write_text(TEXT.replace("zone: a", "zone: b"))
    watched.watch.reload()
    assert watched.log.lines[0]["needs_restart"] == ["node.zone"]
    assert all(settings.node.zone == "a" for settings in watched.applied)


async def test_a_change_before_the_watch_began_is_read(tmp_path: Path) -> None:
    path = tmp_path / "settings.yaml"
    path.write_text(TEXT)
    settings = load_settings(path)
    path.write_text(TEXT.replace(":6", ":8"))
    applied: list[ForwardSettings] = []
    watch = SettingsWatch(path, settings, Lines(), applied.append)
    watch.start()
    with anyio.fail_after(10):
        while not applied:
            await anyio.sleep(0.05)
    watch.stop()
    assert applied[0].store.address == "127.0.0.1:8"


async def test_a_file_that_changes_without_a_signal_is_read(
    tmp_path: Path,
) -> None:
    watched = Watched(tmp_path)
    watched.watch.start()
    watched.path.write_text(TEXT.replace(":6", ":17"))
    with anyio.fail_after(10):
        while not watched.applied:
            await anyio.sleep(0.05)
    watched.watch.stop()
    assert watched.log.lines[0]["trigger"] == "file"


def test_equal_settings_have_no_changed_fields(tmp_path: Path) -> None:
    watched = Watched(tmp_path)
    settings = load_settings(watched.path)
    assert list(changed_fields(settings, load_settings(watched.path))) == []
