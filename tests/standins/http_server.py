"""A small HTTP/1.1 server on h11, with hooks on each connection."""

import abc
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import anyio
import h11
import msgspec
from anyio.abc import SocketAttribute, SocketStream

_READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    path: str
    query: Mapping[str, str]
    content: bytes
    port: int

    def json(self) -> Any:
        return msgspec.json.decode(self.content)


@dataclass(frozen=True, slots=True)
class Reply:
    """A reply; `cut` closes the connection in place of sending it."""

    body: Any = None
    status: int = 200
    cut: bool = False
    copies: int = 1


class HttpApp(abc.ABC):
    """What the server calls; a request may outlive its connection."""

    async def connected(self, port: int) -> bool:
        """Tells whether to keep a new connection."""
        del port
        return True

    def disconnected(self, port: int) -> None:
        del port

    @abc.abstractmethod
    async def handle(self, request: Request) -> Reply: ...

    def is_cancellable(self, request: Request) -> bool:
        del request
        return False


class HttpServer:
    """Serves one app on one port."""

    def __init__(self, app: HttpApp, port: int) -> None:
        self._app = app
        self._port = port

    async def run(
        self, *, task_status: Any = anyio.TASK_STATUS_IGNORED
    ) -> None:
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self._port, backlog=1_024
        )
        async with listener:
            task_status.started()
            await listener.serve(self._serve)

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            stream.extra(SocketAttribute.raw_socket).setsockopt(6, 1, 1)
            if not await self._app.connected(self._port):
                return
            try:
                await _Connection(self._app, self._port, stream).run()
            except (OSError, anyio.BrokenResourceError, h11.ProtocolError):
                pass
            finally:
                self._app.disconnected(self._port)


class _Connection:
    def __init__(self, app: HttpApp, port: int, stream: SocketStream) -> None:
        self._app = app
        self._port = port
        self._stream = stream
        self._h11 = h11.Connection(h11.SERVER)
        self._gone = False

    async def run(self) -> None:
        while not self._gone:
            request = await self._read_request()
            if request is None:
                return
            reply = await self._handle(request)
            if reply is None or reply.cut:
                return
            await self._send(reply)
            if self._h11.our_state is h11.MUST_CLOSE:
                return
            self._h11.start_next_cycle()

    async def _next_event(self) -> Any:
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive(_READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            self._h11.receive_data(data)

    async def _read_request(self) -> Request | None:
        event = await self._next_event()
        if not isinstance(event, h11.Request):
            return None
        head = event
        content = b""
        while not isinstance(event, h11.EndOfMessage):
            event = await self._next_event()
            if isinstance(event, h11.Data):
                content += event.data
            if isinstance(event, h11.ConnectionClosed):
                return None
        url = urlsplit(head.target.decode())
        query = {
            name: values[0] for name, values in parse_qs(url.query).items()
        }
        method = head.method.decode()
        return Request(method, unquote(url.path), query, content, self._port)

    async def _handle(self, request: Request) -> Reply | None:
        reply: Reply | None = None
        cancellable = self._app.is_cancellable(request)

        async def work() -> None:
            nonlocal reply
            reply = await self._app.handle(request)
            group.cancel_scope.cancel()

        async def watch() -> None:
            try:
                await self._stream.receive(1)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                self._gone = True
                if cancellable:
                    group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(work)
            group.start_soon(watch)
        return None if self._gone else reply

    async def _send(self, reply: Reply) -> None:
        content = msgspec.json.encode(reply.body)
        headers = [
            ("content-type", "application/json"),
            ("content-length", str(len(content))),
        ]
        data = self._h11.send(
            h11.Response(status_code=reply.status, headers=headers)
        )
        data += self._h11.send(h11.Data(data=content))
        data += self._h11.send(h11.EndOfMessage())
        await self._stream.send(data * reply.copies)
