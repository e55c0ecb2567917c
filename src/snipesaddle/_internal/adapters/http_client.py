"""HTTP requests over httpx transports, one connection each."""

import ssl
from dataclasses import dataclass
from functools import cache

import httpx

_JSON_HEADERS = [("content-type", "application/json")]


@cache
def _ssl_context() -> ssl.SSLContext:
    # Shared, since httpx otherwise builds one for each transport.
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A reply, read to its end."""

    status: int
    content: bytes


class HttpConnection:
    """One connection to one address; it carries one request at a time."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._transport = httpx.AsyncHTTPTransport(
            verify=_ssl_context(),
            limits=httpx.Limits(
                max_connections=1,
                max_keepalive_connections=1,
                keepalive_expiry=None,
            ),
        )
        host = [("host", address)]
        self._get_headers = host
        self._post_headers = host + _JSON_HEADERS

    async def get(self, path: str) -> HttpReply:
        """Sends a GET request.

        Raises:
          httpx.TransportError: the request or its reply was lost.
        """
        return await self._send(
            httpx.Request("GET", self._base + path, headers=self._get_headers)
        )

    async def send(self, method: str, path: str, content: bytes) -> HttpReply:
        """Sends a request with a JSON body.

        Raises:
          httpx.ConnectError, httpx.ConnectTimeout: no byte was sent.
          httpx.TransportError: the request or its reply was lost.
        """
        return await self._send(
            httpx.Request(
                method,
                self._base + path,
                headers=self._post_headers,
                content=content,
            )
        )

    async def _send(self, request: httpx.Request) -> HttpReply:
        response = await self._transport.handle_async_request(request)
        try:
            content = await response.aread()
        finally:
            await response.aclose()
        return HttpReply(response.status_code, content)

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._transport.aclose()
