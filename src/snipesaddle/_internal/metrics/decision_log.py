"""JSON lines on standard output, bounded and never blocking."""

import asyncio
import logging as std_logging
import os
import sys
import time
from collections import deque

import msgspec
from absl import flags, logging

_MAX_QUEUED = 2_000
_MAX_LINES_PER_S = 200
_RETRY_S = 0.05


class DecisionLog:
    """Queues lines and writes them as the reader takes them.

    Lines beyond the rate or the queue are dropped and counted; the next line
    that is written says how many were.
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
        self._second = 0
        self._lines_this_second = 0
        self._retry: asyncio.TimerHandle | None = None
        self._encode = msgspec.json.Encoder(enc_hook=str).encode
        os.set_blocking(descriptor, False)

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Queues one line."""
        now_unix_ms = time.time_ns() // 1_000_000
        if not self._admit(now_unix_ms // 1_000):
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
        """Writes what the reader takes now."""
        self._retry = None
        while self._queue:
            line = self._queue[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._flush_later()
                return
            except OSError:
                # The reader is gone: there is nobody left to tell.
                self._queue.clear()
                return
            if written < len(line):
                self._queue[0] = line[written:]
                self._flush_later()
                return
            self._queue.popleft()

    def _admit(self, second: int) -> bool:
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        if self._lines_this_second > self._max_lines_per_s:
            return False
        return len(self._queue) < _MAX_QUEUED

    def _flush_later(self) -> None:
        if self._retry is None:
            loop = asyncio.get_running_loop()
            self._retry = loop.call_later(_RETRY_S, self.flush)


class _AbslHandler(std_logging.Handler):
    """Gives the lines of absl.logging to a decision log."""

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
    """Sends the lines of absl.logging to the decision log."""
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    root = std_logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    root.addHandler(_AbslHandler(log))
    logging.set_verbosity(logging.INFO)
    # absl writes to standard error itself while it has no handler of its own.
    sys.stderr.flush()
