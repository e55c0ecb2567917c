"""HTTP requests over single httpcore connections, the layer below httpx.

An httpx client is not used: its connection pool would duplicate the table of
links, which assigns calls to connections, and redirects and cookies are not
needed.
"""

from dataclasses import dataclass

import httpcore

from snipesaddle._internal.adapters.http1.headers import is_final_status
from snipesaddle._internal.adapters.http1.receive_budget import ReceiveBudget
from snipesaddle._internal.adapters.tcp_stream import TcpStream

# Raised when a request was not sent in full or its response was lost.
TRANSPORT_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError)

Headers = list[tuple[bytes, bytes]]
# httpcore itself limits the size of the head.
_MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_BUFFERED_BYTES = 64 * 1024 * 1024
# The incomplete bodies on all connections of the process.
_buffered = ReceiveBudget(_MAX_BUFFERED_BYTES)


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete response."""

    status: int
    content: bytes


class HttpConnection:
    """One connection to one address; it carries one request at a time."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._origin = httpcore.Origin(b"http", host.encode(), self._port)
        self._get_headers: Headers = [(b"host", address.encode())]
        self._post_headers: Headers = [
            *self._get_headers,
            (b"content-type", b"application/json"),
        ]
        self._urls: dict[str, httpcore.URL] = {}
        self._http: httpcore.AsyncHTTP11Connection | None = None
        self._is_given_up = False

    async def get(self, path: str) -> HttpReply:
        """Sends a GET request; raises the errors of `send`."""
        request = httpcore.Request(
            b"GET", self._url(path), headers=self._get_headers
        )
        return await self._send(request)

    async def send(self, method: str, path: str, content: bytes) -> HttpReply:
        """Sends a request with a JSON body.

        Raises:
          httpcore.ConnectError: the connection could not be opened, so no byte
            was sent.
          TRANSPORT_ERRORS: the request or its response was lost.
        """
        length = (b"content-length", str(len(content)).encode())
        request = httpcore.Request(
            method,
            self._url(path),
            headers=[*self._post_headers, length],
            content=content,
        )
        return await self._send(request)

    async def aclose(self) -> None:
        """Closes the connection."""
        http, self._http = self._http, None
        if http is not None:
            await http.aclose()

    def _url(self, path: str) -> httpcore.URL:
        url = self._urls.get(path)
        if url is None:
            url = httpcore.URL(
                scheme=b"http",
                host=self._origin.host,
                port=self._port,
                target=path.encode(),
            )
            if "?" not in path:
                self._urls[path] = url
        return url

    async def _send(self, request: httpcore.Request) -> HttpReply:
        http = await self._connect()
        response = await http.handle_async_request(request)
        try:
            if not is_final_status(response.status):
                raise httpcore.RemoteProtocolError(
                    f"status {response.status} is no final status"
                )
            content = await self._read_body(response)
        finally:
            await response.aclose()
        return HttpReply(response.status, content)

    async def _connect(self) -> httpcore.AsyncHTTP11Connection:
        if self._http is not None and not self._is_reusable(self._http):
            await self.aclose()
        if self._http is None:
            stream = await TcpStream.connect(self._host, self._port)
            self._http = httpcore.AsyncHTTP11Connection(self._origin, stream)
        return self._http

    def _is_reusable(self, http: httpcore.AsyncHTTP11Connection) -> bool:
        # Detects that the server closed the idle connection, before bytes are
        # sent on it.
        return http.is_available() and not http.has_expired()

    async def _read_body(self, response: httpcore.Response) -> bytes:
        content = bytearray()
        self._is_given_up = False
        try:
            async for piece in response.aiter_stream():
                content += piece
                largest = _buffered.update(self, len(content))
                if isinstance(largest, HttpConnection):
                    largest._is_given_up = True
                if self._is_given_up or len(content) > _MAX_BODY_BYTES:
                    raise httpcore.RemoteProtocolError(
                        "response body over the limit"
                    )
        finally:
            _buffered.update(self, 0)
        return bytes(content)
