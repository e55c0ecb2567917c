"""HTTP calls to one server over a pool of keep-alive connections."""

import asyncio
import itertools

from snipesaddle._internal.adapters.http1.client import (
    ClientConnection,
    ResponseIntake,
    ResponseListener,
    connect,
)
from snipesaddle._internal.adapters.http1.response_reader import HttpResponse
from snipesaddle._internal.models.forwarding import ResponseSettings


class CallFailedError(Exception):
    """A call got no response; the server may have executed it."""


class PooledHttpClient(ResponseListener):
    """Makes calls to one server; a connection is closed after a failed call.

    Attributes:
      idle: the connections that can carry a call.
    """

    def __init__(self, address: str, settings: ResponseSettings) -> None:
        self.address = address
        self._intake = ResponseIntake(settings)
        self._ids = itertools.count(1)
        self.idle: list[ClientConnection] = []
        self._pending: dict[int, asyncio.Future[HttpResponse]] = {}

    async def call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
    ) -> HttpResponse:
        """Makes one call.

        Args:
          method: the HTTP method.
          target: the path with its query.
          body: a JSON document, or empty.
          timeout_s: the time limit of the call, including connecting.

        Raises:
          CallFailedError: the connection failed or the timeout expired.
        """
        future: asyncio.Future[HttpResponse] = (
            asyncio.get_running_loop().create_future()
        )
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._acquire(timeout_s)
                self._pending[connection.connection_id] = future
                connection.send(self._encode(method, target, body))
                return await future
        except (OSError, TimeoutError) as error:
            raise CallFailedError(str(error) or "timed out") from error
        finally:
            # After its response, the connection may already carry another call.
            if connection is not None:
                connection_id = connection.connection_id
                if self._pending.get(connection_id) is future:
                    del self._pending[connection_id]
                    connection.close()

    def close(self) -> None:
        """Closes all connections; calls in flight raise CallFailedError."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(ConnectionError("closed"))

    def matches_request(
        self, connection: ClientConnection, response: HttpResponse
    ) -> bool:
        del connection, response
        return True

    def on_response(
        self,
        connection: ClientConnection,
        response: HttpResponse,
        reusable: bool,
    ) -> None:
        future = self._pending.pop(connection.connection_id, None)
        if reusable:
            self.idle.append(connection)
        else:
            connection.close()
        if future is not None and not future.done():
            future.set_result(response)

    def on_closed(self, connection: ClientConnection, detail: str) -> None:
        if connection in self.idle:
            self.idle.remove(connection)
        future = self._pending.pop(connection.connection_id, None)
        if future is not None and not future.done():
            future.set_exception(ConnectionError(detail))

    async def _acquire(self, timeout_s: float) -> ClientConnection:
        if self.idle:
            return self.idle.pop()
        connection = ClientConnection(next(self._ids), self, self._intake)
        await connect(
            self.address, connection, timeout_s, enable_keepalive=True
        )
        return connection

    def _encode(self, method: str, target: str, body: bytes) -> bytes:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.address}"]
        if body:
            lines.append("Content-Type: application/json")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body
