"""Reloads the settings of a running node on a signal or a file change."""

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
_SIGNAL = "signal"
# Sections that are read only at start-up; changing them needs a restart.
_RESTART_ONLY_SECTIONS = ("node", "clients", "event_loop", "seed")


class SettingsWatch:
    """Keeps the settings of a running node in step with its settings file.

    The file can change without a signal, so it is also polled: a change of its
    modification time, size or inode triggers a reload. If the file has
    errors, they are logged and the current settings stay in effect.
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
        # The file may have changed since the settings were read, so the first
        # check reads it again.
        self._last_stat: tuple[int, int, int] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts polling the file."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Stops polling the file."""
        if self._timer is not None:
            self._timer.cancel()

    def reload(self, trigger: str = _SIGNAL) -> None:
        """Reads the file again and applies the settings if any changed."""
        self._last_stat = self._file_stat()
        try:
            settings = load_settings(self._path)
        except SettingsError as error:
            logging.error(
                "settings not reloaded, the current ones stay in effect: %s",
                error,
            )
            return
        changed = list(changed_fields(self._settings, settings))
        needs_restart = [
            name
            for name in changed
            if name.partition(".")[0] in _RESTART_ONLY_SECTIONS
        ]
        unchanged = {
            name: getattr(self._settings, name)
            for name in _RESTART_ONLY_SECTIONS
        }
        settings = msgspec.structs.replace(settings, **unchanged)
        self._settings = settings
        if not changed and trigger != _SIGNAL:
            return
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
    """Yields the dotted names of the changed fields, such as `node.name`."""
    for name in old.__struct_fields__:
        before, after = getattr(old, name), getattr(new, name)
        if isinstance(before, msgspec.Struct):
            yield from changed_fields(before, after, f"{prefix}{name}.")
        elif before != after:
            yield prefix + name
