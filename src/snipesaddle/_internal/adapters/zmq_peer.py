"""Messages between entry nodes over ZeroMQ push and pull sockets."""

from collections.abc import Iterable
from typing import Any

import anyio
import msgspec
import zmq
from absl import logging

from snipesaddle._internal.adapters import tcp_keepalive
from snipesaddle._internal.ports.peer_transport import (
    MessageHandler,
    PeerTransport,
)

_SEND_QUEUE_MESSAGES = 1_000
# Fixed instead of exponential: backoff left a restarted peer unreachable for a
# second.
_RECONNECT_INTERVAL_MS = 100
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024


class ZmqPeerTransport(PeerTransport):
    """Pushes messages to the pull socket of each peer.

    Messages are queued only for established connections, so none can reach a
    process that starts later at the same address.
    """

    def __init__(
        self, address: str, message_types: Iterable[type[Any]]
    ) -> None:
        self._context = zmq.Context()
        self._encode = msgspec.msgpack.Encoder().encode
        self._encoded_message: object = None
        self._encoded_body = b""
        self._decoders = {
            message_type.__name__.encode(): msgspec.msgpack.Decoder(
                message_type
            )
            for message_type in message_types
        }
        self._push_sockets: dict[str, zmq.Socket[bytes]] = {}
        self._pull_socket = self._context.socket(zmq.PULL)
        self._pull_socket.setsockopt(zmq.LINGER, 0)
        self._pull_socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        self._pull_socket.bind(f"tcp://{address}")

    def send(self, peer_address: str, message: object) -> int:
        name = type(message).__name__.encode()
        # A heartbeat goes to many nodes in a row.
        if message is not self._encoded_message:
            self._encoded_message = message
            self._encoded_body = self._encode(message)
        body = self._encoded_body
        try:
            self.socket_to(peer_address).send_multipart(
                [name, body], flags=zmq.NOBLOCK
            )
        except zmq.Again:
            return 0
        except zmq.ZMQError as error:
            logging.warning("cannot send to %s: %s", peer_address, error)
            return 0
        return len(name) + len(body)

    def disconnect(self, peer_address: str) -> None:
        socket = self._push_sockets.pop(peer_address, None)
        if socket is not None:
            socket.close(linger=0)

    async def receive(self, deliver: MessageHandler) -> None:
        descriptor = self._pull_socket.getsockopt(zmq.FD)
        assert isinstance(descriptor, int)
        while True:
            self._receive_pending(deliver)
            await anyio.wait_readable(descriptor)

    def close(self) -> None:
        for socket in self._push_sockets.values():
            socket.close(linger=200)
        self._pull_socket.close()
        self._context.term()

    def socket_to(self, peer_address: str) -> "zmq.Socket[bytes]":
        """Returns the socket to a peer, connecting it on first use."""
        socket = self._push_sockets.get(peer_address)
        if socket is None:
            socket = self._context.socket(zmq.PUSH)
            socket.setsockopt(zmq.IMMEDIATE, 1)
            socket.setsockopt(zmq.SNDHWM, _SEND_QUEUE_MESSAGES)
            socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_INTERVAL_MS)
            tcp_keepalive.enable_zmq(socket)
            try:
                socket.connect(f"tcp://{peer_address}")
            except zmq.ZMQError:
                socket.close(linger=0)
                raise
            self._push_sockets[peer_address] = socket
        return socket

    def _receive_pending(self, deliver: MessageHandler) -> None:
        while True:
            try:
                frames = self._pull_socket.recv_multipart(flags=zmq.NOBLOCK)
            except zmq.Again:
                return
            self._deliver(frames, deliver)

    def _deliver(self, frames: list[bytes], deliver: MessageHandler) -> None:
        decoder = self._decoders.get(frames[0]) if len(frames) == 2 else None
        if decoder is None:
            logging.warning("dropped a peer message of an unknown type")
            return
        try:
            message = decoder.decode(frames[1])
        except (ValueError, RecursionError) as error:
            logging.warning("dropped a malformed peer message: %s", error)
            return
        try:
            deliver(message)
        except Exception:
            # An error here would end the task that receives all messages.
            logging.exception("a peer message could not be delivered")
