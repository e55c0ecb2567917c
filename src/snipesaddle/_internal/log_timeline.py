"""The timeline of one request, from the logs of one or more nodes."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

_CONTEXT_MS = 5_000
_NODE_EVENTS = frozenset(
    {
        "started",
        "serving",
        "leaving",
        "store_lost",
        "store_regained",
        "config_in_force",
        "endpoints_from_peer",
    }
)
_HIDDEN = frozenset({"time_unix_ms", "node", "event"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log.

    Attributes:
      fields: all fields of the line, as they were written.
    """

    time_unix_ms: int
    node: str
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        shown = {k: v for k, v in self.fields.items() if k not in _HIDDEN}
        details = json.dumps(shown, ensure_ascii=False)
        return f"{self.time_unix_ms} {self.node} {self.event} {details}"


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yields the lines of log files; what is no log line is passed over.

    Raises:
      OSError: a file cannot be read.
    """
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = _parse(text)
                if line is not None:
                    yield line


def request_timeline(request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Returns the lines of a request, and what led to them, in order.

    What led to them: what its nodes, and the endpoints that it needed, went
    through in the five seconds before its end. Empty for an unknown request.
    """
    known = sorted(lines, key=lambda line: line.time_unix_ms)
    own = [line for line in known if line.fields.get("request") == request]
    if not own:
        return []
    nodes = {line.node for line in own}
    end_unix_ms = own[-1].time_unix_ms
    names = _names_in(own)
    return [
        line
        for line in known
        if line in own
        or (
            0 <= end_unix_ms - line.time_unix_ms <= _CONTEXT_MS
            and line.node in nodes
            and _concerns(line, names)
        )
    ]


def _parse(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        return LogLine(
            int(fields["time_unix_ms"]),
            str(fields["node"]),
            str(fields["event"]),
            fields,
        )
    except (ValueError, KeyError, TypeError):
        return None


def _names_in(lines: list[LogLine]) -> set[str]:
    names: set[str] = set()
    for line in lines:
        names.update(line.fields.get("missing", {}))
        for tried in line.fields.get("tried", []):
            names.update(tried)
        for key in ("endpoint", "service", "peer"):
            if key in line.fields:
                names.add(line.fields[key])
    return names


def _concerns(line: LogLine, names: set[str]) -> bool:
    if line.event in _NODE_EVENTS:
        return True
    if "request" in line.fields:
        return False
    named = {line.fields.get(key) for key in ("endpoint", "service", "peer")}
    return bool(named & names)
