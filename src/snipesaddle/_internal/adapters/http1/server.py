"""An HTTP/1.1 server that passes on complete requests.

Pipelined requests of a connection are queued and handled one at a time.
"""

import abc
import asyncio

import anyio

from snipesaddle._internal.adapters.http1.client_intake import ClientIntake
from snipesaddle._internal.adapters.http1.headers import Headers
from snipesaddle._internal.adapters.http1.request_reader import (
    HttpRequest,
    ServerLimits,
)
from snipesaddle._internal.adapters.http1.server_connection import (
    ConnectionOwner,
    ServerConnection,
)

__all__ = ["HttpRequest", "HttpServer", "RequestHandler", "ServerLimits"]

_SWEEP_INTERVAL_S = 0.5


class RequestHandler(abc.ABC):
    """Handles the requests of a server."""

    @abc.abstractmethod
    def on_request(self, client_id: int, request: HttpRequest) -> None:
        """Handles a request, to be answered by HttpServer.respond."""

    @abc.abstractmethod
    def on_disconnect(self, client_id: int) -> None:
        """Handles a client that disconnected before it was answered."""


class HttpServer(ConnectionOwner):
    """Listens on one address and passes requests to one handler.

    Args:
      handler: handles the requests.
      intake: the limits that it shares with the other servers of the process;
        by default its own.
      reserved_connections: how many more connections than the limit may be
        open, for addresses that must answer while clients use up the others.
    """

    def __init__(
        self,
        handler: RequestHandler,
        intake: ClientIntake | None = None,
        reserved_connections: int = 0,
    ) -> None:
        self.handler = handler
        self.intake = intake or ClientIntake()
        self.limits = ServerLimits()
        self._reserved_connections = reserved_connections
        self._pending: dict[int, ServerConnection] = {}
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._closing_idle = False
        self._all_closed = asyncio.Event()

    @property
    def connection_count(self) -> int:
        """Returns the connections that are open or have unsent bytes."""
        return len(self._connections)

    async def start(self, address: str) -> None:
        """Starts listening on an IP:PORT address.

        Raises:
          OSError: the address cannot be used.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=1_024
        )
        self._sweep()

    def respond(
        self,
        client_id: int,
        status: int,
        reason: bytes,
        headers: Headers,
        body: bytes,
        close_connection: bool = False,
    ) -> None:
        """Answers a pending request; ignored if the client disconnected.

        Args:
          client_id: the pending request.
          status: the status code.
          reason: the reason phrase.
          headers: the headers, with the Content-Length.
          body: left out if the method or the status allows none.
          close_connection: close the connection after the response.
        """
        connection = self._pending.pop(client_id, None)
        if connection is not None:
            close_connection = close_connection or self._closing_idle
            connection.respond(status, reason, headers, body, close_connection)

    def is_head(self, client_id: int) -> bool:
        """Returns whether a pending request has the method HEAD."""
        connection = self._pending.get(client_id)
        return connection is not None and connection.method == b"HEAD"

    def close_idle(self) -> None:
        """Closes idle connections, and later each one after its response."""
        self._closing_idle = True
        for connection in list(self._connections):
            connection.close_if_idle()

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self._connections):
            connection.close()

    async def drain(self, timeout_s: float) -> None:
        """Stops once all requests are answered, or after a time limit."""
        self._stop_listening()
        self.close_idle()
        if self._connections:
            self._all_closed.clear()
            with anyio.move_on_after(timeout_s):
                await self._all_closed.wait()
        self.stop()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    # Callbacks of ServerConnection.

    def add_connection(self, connection: ServerConnection) -> None:
        self._connections.add(connection)
        self.intake.connections.add(connection, self._reserved_connections)

    def handle_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        self._pending[connection.client_id] = connection
        self.handler.on_request(connection.client_id, request)

    def remove_connection(self, connection: ServerConnection) -> None:
        self._connections.discard(connection)
        self.intake.connections.remove(connection)
        client_id = connection.client_id
        if client_id and self._pending.pop(client_id, None) is not None:
            self.handler.on_disconnect(client_id)
        if not self._connections:
            self._all_closed.set()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        for connection in list(self._connections):
            connection.check_timeouts(now_s)
        self.intake.report(now_s)
        self._sweeper = loop.call_later(_SWEEP_INTERVAL_S, self._sweep)
