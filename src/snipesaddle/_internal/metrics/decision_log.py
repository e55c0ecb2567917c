"""Structured log of JSON lines, bounded and non-blocking."""

import asyncio
import logging as std_logging
import os
import sys
import time
from collections import deque

import msgspec
from absl import flags, logging

_MAX_QUEUED_LINES = 2_000
_MAX_LINES_PER_S = 200
_FLUSH_RETRY_S = 0.05


class DecisionLog:
    """Queues lines and writes them without blocking.

    Lines above the maximum rate or queue length are discarded; the next line
    reports their number as `lines_dropped`.

    Args:
      node: the node id, written in each line.
      descriptor: file descriptor to write to; set to non-blocking mode.
      max_lines_per_s: maximum rate.
    """

    def __init__(
        self,
        node: str,
        descriptor: int = 1,
        max_lines_per_s: int = _MAX_LINES_PER_S,
    ) -> None:
        self._node = node
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._queue: deque[bytes] = deque()
        self._dropped = 0
        self._current_second = 0
        self._lines_in_second = 0
        self._flush_timer: asyncio.TimerHandle | None = None
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        os.set_blocking(descriptor, False)

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Queues one line and writes as much as possible."""
        now_unix_ms = time.time_ns() // 1_000_000
        if not self._may_queue(now_unix_ms // 1_000):
            self._dropped += 1
            return
        line: dict[str, object] = {
            "time_unix_ms": now_unix_ms,
            "node": self._node,
            "event": event,
        }
        for name, value in fields.items():
            if isinstance(value, bytes):
                value = value.decode("latin-1")
            line[name] = value
        if self._dropped:
            line["lines_dropped"] = self._dropped
            self._dropped = 0
        self._queue.append(self._encode(line) + b"\n")
        self.flush()

    def flush(self) -> None:
        """Writes queued lines until the pipe is full or the queue is empty."""
        self._flush_timer = None
        while self._queue:
            line = self._queue[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._flush_later()
                return
            except OSError:
                # The reader closed the pipe, so lines can no longer be written.
                self._queue.clear()
                return
            if written < len(line):
                self._queue[0] = line[written:]
                self._flush_later()
                return
            self._queue.popleft()

    def _may_queue(self, second: int) -> bool:
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > self._max_lines_per_s:
            return False
        return len(self._queue) < _MAX_QUEUED_LINES

    def _flush_later(self) -> None:
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(_FLUSH_RETRY_S, self.flush)


class _AbslHandler(std_logging.Handler):
    """Writes the records of absl.logging to a decision log."""

    def __init__(self, log: DecisionLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: std_logging.LogRecord) -> None:
        fields: dict[str, object] = {
            "level": record.levelname.lower(),
            "module": record.module,
            "message": record.getMessage(),
        }
        if record.exc_info:
            formatter = std_logging.Formatter()
            fields["error"] = formatter.formatException(record.exc_info)
        self._log.write("message", fields)


def set_up_absl(log: DecisionLog) -> None:
    """Redirects absl.logging to the decision log."""
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    root = std_logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(_AbslHandler(log))
    logging.set_verbosity(logging.INFO)
    # Until it has a handler, absl itself writes to standard error.
    sys.stderr.flush()
