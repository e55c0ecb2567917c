"""A TCP stream for httpcore without timeouts for single operations."""

import select
import ssl
import typing

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream


class TcpStream(httpcore.AsyncNetworkStream):
    """Reads and writes through anyio.

    Timeouts of single operations are ignored: callers limit the time of the
    whole request.
    """

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        self._poll = select.poll()
        self._poll.register(raw_socket.fileno(), select.POLLIN)

    @classmethod
    async def connect(cls, host: str, port: int) -> "TcpStream":
        """Opens a connection.

        Raises:
          httpcore.ConnectError: the connection could not be opened.
        """
        try:
            return cls(await anyio.connect_tcp(host, port))
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns received bytes; empty at the end of the stream."""
        del timeout
        try:
            return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Sends all bytes."""
        del timeout
        if not buffer:
            return
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
