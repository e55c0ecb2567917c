"""Keep-alive: how a connection that has gone silent is noticed.

A connection may be dropped on its way without a reset. Nothing is heard on
one that only waits, so the operating system probes it.
"""

import socket
from typing import Protocol

import zmq

PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
MAX_FAILED_PROBES = 2
# How long bytes that were sent may stay without an acknowledgement.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000


class SupportsOptions(Protocol):
    """A socket whose options can be set; that of uvloop is no `socket`."""

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Sets an option."""


def enable(sock: SupportsOptions) -> None:
    """Ends a TCP connection some seconds after the other end fell silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, MAX_FAILED_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def enable_zmq(sock: "zmq.Socket[bytes]") -> None:
    """Lets ZeroMQ reconnect some seconds after the other end fell silent."""
    sock.setsockopt(zmq.TCP_KEEPALIVE, 1)
    sock.setsockopt(zmq.TCP_KEEPALIVE_IDLE, PROBE_IDLE_S)
    sock.setsockopt(zmq.TCP_KEEPALIVE_INTVL, PROBE_INTERVAL_S)
    sock.setsockopt(zmq.TCP_KEEPALIVE_CNT, MAX_FAILED_PROBES)
    sock.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_TIMEOUT_MS)
