"""JSON logging through absl."""

import logging as std_logging
import sys
from typing import Any

import msgspec
from absl import flags, logging

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class JsonFormatter(std_logging.Formatter):
    """Formats a log record as one line of JSON."""

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: std_logging.LogRecord) -> str:
        """Returns the record as a JSON object, without a line break."""
        line: dict[str, Any] = {
            "time_unix_ms": int(record.created * 1_000),
            "level": record.levelname.lower(),
            "node": self._node,
            "module": record.module,
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def set_up(node: str, level: str) -> None:
    """Configures this process to log to stderr as JSON lines."""
    # Typer parses the command line, so absl must not expect to parse flags.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(JsonFormatter(node))
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])
    logging.set_stderrthreshold("fatal")
