"""Ports for the servers and nodes that tests start.

A port is often bound long after it was chosen, and a node that is restarted
binds its ports again. So each process of tests has a region of its own, and
hands out each port of it once before it begins again.
"""

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path

_FIRST_PORT = 10_000
_REGION_PORTS = 2_000
_REGIONS = 10


class _Region:
    """A region of ports that is locked for the life of this process."""

    def __init__(self) -> None:
        numbers = random.Random().sample(range(_REGIONS), _REGIONS)
        for number in numbers:
            path = Path(tempfile.gettempdir(), f"snipesaddle-ports-{number}")
            lock = os.open(path, os.O_CREAT | os.O_RDWR)
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(lock)
                continue
            # The lock ends with the process.
            self._lock = lock
            self.first = _FIRST_PORT + number * _REGION_PORTS
            self._next = self.first
            return
        raise RuntimeError("too many processes of tests run at the same time")

    def take(self, count: int) -> int:
        """Returns the first of `count` ports in a row that are free now."""
        end = self.first + _REGION_PORTS
        for _ in range(_REGION_PORTS):
            if self._next + count > end:
                self._next = self.first
            first = self._next
            self._next += 1
            if all(_is_free(port) for port in range(first, first + count)):
                self._next = first + count
                return first
        raise RuntimeError(f"no {count} free ports in a row")


_regions: dict[int, _Region] = {}


def free_ports(count: int) -> int:
    """Returns the first of `count` ports in a row that no test uses."""
    process_id = os.getpid()
    if process_id not in _regions:
        _regions[process_id] = _Region()
    return _regions[process_id].take(count)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True
