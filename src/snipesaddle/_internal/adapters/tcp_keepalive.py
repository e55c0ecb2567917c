"""TCP keepalive: detects connections whose other end no longer responds.

The network can drop a connection without a reset. On a connection that only
waits for data, nothing shows this, so the operating system probes it.
"""

import socket
from typing import Protocol

import zmq

PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
MAX_FAILED_PROBES = 2
# How long sent bytes may stay unacknowledged before the connection fails.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000


class SupportsOptions(Protocol):
    """A socket whose options can be set.

    The sockets of uvloop are not instances of `socket.socket`.
    """

    def setsockopt(self, level: int, option: int, value: int, /) -> None:
        """Sets a socket option."""


def enable(sock: SupportsOptions) -> None:
    """Makes a TCP connection fail soon after the other end stops responding."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, MAX_FAILED_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def enable_zmq(sock: "zmq.Socket[bytes]") -> None:
    """Makes ZeroMQ reconnect soon after the other end stops responding."""
    sock.setsockopt(zmq.TCP_KEEPALIVE, 1)
    sock.setsockopt(zmq.TCP_KEEPALIVE_IDLE, PROBE_IDLE_S)
    sock.setsockopt(zmq.TCP_KEEPALIVE_INTVL, PROBE_INTERVAL_S)
    sock.setsockopt(zmq.TCP_KEEPALIVE_CNT, MAX_FAILED_PROBES)
    sock.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_TIMEOUT_MS)
