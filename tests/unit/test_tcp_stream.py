"""The TCP connections of the HTTP client."""

import anyio
import httpcore
import pytest
from anyio.abc import SocketStream

from snipesaddle._internal.adapters.tcp_stream import TcpStream


# A node that was killed while it accepted a connection ended its caller with an
# AttributeError, since the transport had no socket any more.
def test_a_connection_that_is_lost_at_once_could_not_be_opened(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect_tcp = anyio.connect_tcp

    async def connect_and_lose(host: str, port: int) -> SocketStream:
        stream = await connect_tcp(host, port)
        await stream.aclose()
        return stream

    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, lambda stream: stream.aclose())
            _, port = listener.listeners[0].extra_attributes[
                anyio.abc.SocketAttribute.local_address
            ]()
            with pytest.raises(httpcore.ConnectError):
                await TcpStream.connect("127.0.0.1", port)
            group.cancel_scope.cancel()

    monkeypatch.setattr(anyio, "connect_tcp", connect_and_lose)
    anyio.run(run, backend_options={"use_uvloop": True})
