"""Settings of a running node: read again on a signal or when they change."""

import asyncio
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
from absl import logging

from snipesaddle._internal.errors import SettingsError
from snipesaddle._internal.metrics.decision_log import DecisionLog
from snipesaddle._internal.models.forwarding import (
    ForwardSettings,
    load_settings,
)

_CHECK_INTERVAL_S = 1.0
# These are used once, at the start.
_RESTART_ONLY_SECTIONS = ("node", "event_loop", "seed")


class SettingsWatch:
    """Keeps the settings of a node as its file has them.

    The file may change without a signal, so that its time is looked at now
    and then. A file that is wrong is reported, and the settings stay.
    """

    def __init__(
        self,
        path: Path,
        settings: ForwardSettings,
        log: DecisionLog,
        apply: Callable[[ForwardSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._log = log
        self._apply = apply
        self._last_stat = self._file_stat()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts to look at the file."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Looks at the file no more."""
        if self._timer is not None:
            self._timer.cancel()

    def reload(self, trigger: str = "signal") -> None:
        """Reads the file again and applies what changed."""
        self._last_stat = self._file_stat()
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            logging.error("settings are kept as they were: %s", error)
            return
        changed = list(changed_fields(self._settings, settings))
        needs_restart = [
            name
            for name in changed
            if name.partition(".")[0] in _RESTART_ONLY_SECTIONS
        ]
        self._settings = settings
        self._log.write(
            "reloaded",
            {
                "trigger": trigger,
                "changed": changed,
                "needs_restart": needs_restart,
            },
        )
        if changed:
            self._apply(settings)

    def _check(self) -> None:
        if self._file_stat() != self._last_stat:
            self.reload("file")
        self.start()

    def _file_stat(self) -> tuple[int, int, int]:
        try:
            stat = self._path.stat()
        except OSError:
            return (0, 0, 0)
        return (stat.st_mtime_ns, stat.st_size, stat.st_ino)


def changed_fields(
    old: msgspec.Struct, new: msgspec.Struct, prefix: str = ""
) -> Iterator[str]:
    """Yields the fields that differ, with the names of their sections."""
    for name in old.__struct_fields__:
        before, after = getattr(old, name), getattr(new, name)
        if isinstance(before, msgspec.Struct):
            yield from changed_fields(before, after, f"{prefix}{name}.")
        elif before != after:
            yield prefix + name
