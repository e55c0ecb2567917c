"""Timeline of one request, from the logs of one or more nodes."""

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
_PREFIX_FIELDS = frozenset({"time_unix_ms", "node", "event"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log.

    Attributes:
      time_unix_ms: time in milliseconds since the Unix epoch.
      fields: all fields of the line, as written.
    """

    time_unix_ms: int
    node: str
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        shown = {
            k: v for k, v in self.fields.items() if k not in _PREFIX_FIELDS
        }
        details = json.dumps(shown, ensure_ascii=False)
        return f"{self.time_unix_ms} {self.node} {self.event} {details}"


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yields the lines of log files, and skips text that is no log line.

    Raises:
      OSError: a file cannot be read.
    """
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = _parse_line(text)
                if line is not None:
                    yield line


def request_timeline(request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Returns the lines of a request and related lines, in order of time.

    Related lines are those of the same nodes in the five seconds before the
    end of the request that concern the node itself, or an endpoint, service
    or peer that the request used or lacked. Returns an empty list for an
    unknown request.
    """
    known = sorted(lines, key=lambda line: line.time_unix_ms)
    own = [line for line in known if line.fields.get("request") == request]
    if not own:
        return []
    nodes = {line.node for line in own}
    end_unix_ms = own[-1].time_unix_ms
    names = _related_names(own)
    return [
        line
        for line in known
        if line in own
        or (
            0 <= end_unix_ms - line.time_unix_ms <= _CONTEXT_MS
            and line.node in nodes
            and _is_related(line, names)
        )
    ]


def _parse_line(text: str) -> LogLine | None:
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


def _related_names(lines: list[LogLine]) -> set[str]:
    names: set[str] = set()
    for line in lines:
        names.update(line.fields.get("missing", {}))
        for tried in line.fields.get("tried", []):
            names.update(tried)
        for key in ("endpoint", "service", "peer"):
            if key in line.fields:
                names.add(line.fields[key])
    return names


def _is_related(line: LogLine, names: set[str]) -> bool:
    if line.event in _NODE_EVENTS:
        return True
    if "request" in line.fields:
        return False
    named = {line.fields.get(key) for key in ("endpoint", "service", "peer")}
    return bool(named & names)
