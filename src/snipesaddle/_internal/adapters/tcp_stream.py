"""A TCP stream for httpcore without timeouts for single operations."""

import select
import ssl
import time
import typing

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

from snipesaddle._internal.adapters.time_share import TimeShare

# A response is read in pieces that grow while they are cheap to parse.
_MIN_PIECE_BYTES = 2_048
_MAX_PIECE_BYTES = 65_536
_CHEAP_PIECE_S = 0.001
# What expensive responses take on all streams of the process.
_expensive_reads = TimeShare()


class TcpStream(httpcore.AsyncNetworkStream):
    """Reads and writes through anyio.

    Timeouts of single operations are ignored: callers limit the time of the
    whole request. A response in tiny chunks without end would keep the event
    loop busy, so streams whose pieces are expensive to parse read in turn.
    """

    def __init__(self, stream: SocketStream, descriptor: int) -> None:
        self._stream = stream
        self._piece_bytes = _MIN_PIECE_BYTES
        self._last_read_s = 0.0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLIN)

    @classmethod
    async def connect(cls, host: str, port: int) -> "TcpStream":
        """Opens a connection.

        Raises:
          httpcore.ConnectError: the connection could not be opened.
        """
        try:
            stream = await anyio.connect_tcp(host, port)
            return cls(stream, _descriptor(stream))
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns received bytes; empty at the end of the stream."""
        del timeout
        await self._take_turn()
        try:
            return await self._stream.receive(min(max_bytes, self._piece_bytes))
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error
        finally:
            self._last_read_s = time.perf_counter()

    async def _take_turn(self) -> None:
        if not self._last_read_s:
            return
        # The last piece was parsed since it was read.
        spent_s = time.perf_counter() - self._last_read_s
        if spent_s < _CHEAP_PIECE_S:
            self._piece_bytes = min(2 * self._piece_bytes, _MAX_PIECE_BYTES)
            return
        self._piece_bytes = _MIN_PIECE_BYTES
        await anyio.sleep(_expensive_reads.delay_s(spent_s))

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Sends all bytes."""
        del timeout
        if not buffer:
            return
        self._piece_bytes = _MIN_PIECE_BYTES
        self._last_read_s = 0.0
        try:
            await self._stream.send(buffer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Not supported: connections to leaves and the platform use no TLS."""
        raise NotImplementedError("TLS is not supported on this connection")

    def get_extra_info(self, info: str) -> typing.Any:
        """Supports only `is_readable`.

        An idle connection that is readable was closed by the peer or holds
        unexpected bytes.
        """
        if info == "is_readable":
            return bool(self._poll.poll(0))
        return None


def _descriptor(stream: SocketStream) -> int:
    """Returns the descriptor of a connection.

    Raises:
      ConnectionResetError: the connection has ended already.
    """
    try:
        raw_socket = stream.extra(SocketAttribute.raw_socket)
    except AttributeError as error:
        # The transport of a connection that has ended has no socket.
        raise ConnectionResetError("lost at once") from error
    descriptor = raw_socket.fileno()
    if descriptor < 0:
        raise ConnectionResetError("lost at once")
    return descriptor
