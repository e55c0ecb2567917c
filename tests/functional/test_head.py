"""Responses that must not have a body: to HEAD requests, and 204 and 304.

A client read the body of such a response as the beginning of its next one.
"""

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
import pytest

from snipesaddle._internal.tables.forwarding import commands, events
from snipesaddle._internal.tables.forwarding.commands import ErrorKind
from snipesaddle._internal.tables.forwarding.requests import EndpointAnswer
from snipesaddle._internal.tables.inbox import Inbox
from snipesaddle.platform.frontend import PlatformFrontend
from tests.standins.ports import free_ports

pytestmark = pytest.mark.anyio

_numbers = itertools.count(1)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@dataclass
class Site:
    """A frontend; the test takes the place of the decisions."""

    frontend: PlatformFrontend
    inbox: Inbox
    front: str
    directory: str
    readiness: str

    async def arrived(self) -> int:
        """Returns the client id of the next request."""
        with anyio.fail_after(2):
            while not (taken := self.inbox.take(events.RequestArrived)):
                await anyio.sleep(0.005)
        return taken[0].request.client_id


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    inbox = Inbox()
    inbox.set_wake_callback(lambda: None)
    frontend = PlatformFrontend(inbox, time.monotonic_ns)
    addresses = [f"127.0.0.1:{free_ports(1)}" for _ in range(3)]
    await frontend.start(*addresses)
    yield Site(frontend, inbox, *addresses)
    frontend.stop()


class Client:
    """A client that shows all bytes that it gets."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    def send(self, method: str, target: str, extra: str = "") -> None:
        number = next(_numbers)
        self._writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: x\r\n{extra}"
            f"Request-Id: r{number}\r\n\r\n".encode()
        )

    async def received(self) -> tuple[list[bytes], bytes]:
        """Returns the lower-case head lines and what follows them."""
        content = b""
        with anyio.move_on_after(0.3):
            while piece := await self._reader.read(10_000):
                content += piece
        head, _, rest = content.partition(b"\r\n\r\n")
        return head.lower().split(b"\r\n"), rest


@contextlib.asynccontextmanager
async def connected(address: str) -> AsyncIterator[Client]:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield Client(reader, writer)
    finally:
        writer.close()


def endpoint_answer(
    status: int, body: bytes, length: bytes | None
) -> EndpointAnswer:
    headers = ((b"X-Kept", b"1"),)
    if length is not None:
        headers = (*headers, (b"Content-Length", length))
    return EndpointAnswer(status, b"OK", headers, body)


@pytest.mark.parametrize("kind", list(ErrorKind))
async def test_an_error_answer_to_head_has_no_body(
    site: Site, kind: ErrorKind
) -> None:
    async with connected(site.front) as client:
        client.send("HEAD", "/find/1")
        client_id = await site.arrived()
        site.frontend.send_error(
            commands.SendError(client_id, kind, "failed", 0, False)
        )
        head, rest = await client.received()
    assert b"content-length: 6" in head
    assert rest == b""


async def test_a_merged_answer_to_head_has_no_body(site: Site) -> None:
    async with connected(site.front) as client:
        client.send("HEAD", "/sweep/1")
        client_id = await site.arrived()
        site.frontend.send_merged_answer(
            commands.SendMergedAnswer(client_id, b"12345", (b"s",), 0, False)
        )
        head, rest = await client.received()
    assert b"content-length: 5" in head
    assert rest == b""


@pytest.mark.parametrize(
    ("method", "status", "body", "length", "shown"),
    [
        ("HEAD", 200, b"", b"700", b"700"),
        ("HEAD", 200, b"", None, None),
        ("HEAD", 503, b"", b"4", b"4"),
        ("GET", 204, b"", None, None),
        ("GET", 204, b"", b"0", None),
        ("GET", 304, b"", b"700", b"700"),
        ("GET", 304, b"", None, None),
        ("GET", 200, b"", None, b"0"),
        ("GET", 200, b"abc", b"3", b"3"),
    ],
)
async def test_the_length_of_an_endpoint_answer_is_true(
    site: Site,
    method: str,
    status: int,
    body: bytes,
    length: bytes | None,
    shown: bytes | None,
) -> None:
    async with connected(site.front) as client:
        client.send(method, "/find/1")
        client_id = await site.arrived()
        answer = endpoint_answer(status, body, length)
        site.frontend.send_endpoint_answer(
            commands.SendEndpointAnswer(client_id, answer, False)
        )
        head, rest = await client.received()
    lengths = [line for line in head if line.startswith(b"content-length")]
    assert lengths == ([b"content-length: " + shown] if shown else [])
    assert b"x-kept: 1" in head
    assert rest == body


async def test_the_request_after_head_gets_its_own_answer(site: Site) -> None:
    async with connected(site.front) as client:
        client.send("HEAD", "/find/1")
        client.send("GET", "/find/2")
        for _ in range(2):
            client_id = await site.arrived()
            site.frontend.send_error(
                commands.SendError(
                    client_id, ErrorKind.FAILED, "failed", 0, False
                )
            )
        _, rest = await client.received()
    assert rest.startswith(b"HTTP/1.1 502 ")
    assert rest.endswith(b"\r\n\r\nfailed")


@pytest.mark.parametrize("target", ["/snipesaddle/readyz", "/else"])
async def test_readiness_and_directory_answer_head_without_a_body(
    site: Site, target: str
) -> None:
    for address in (site.readiness, site.directory):
        async with connected(address) as client:
            client.send("HEAD", target)
            _, rest = await client.received()
        assert rest == b""


@pytest.mark.parametrize(
    "extra", ["X: " + "x" * 20_000 + "\r\n", "Host: y\r\n"]
)
async def test_a_rejected_head_request_gets_no_body(
    site: Site, extra: str
) -> None:
    async with connected(site.front) as client:
        client.send("HEAD", "/find/1", extra)
        head, rest = await client.received()
    assert b"connection: close" in head
    assert rest == b""


# It raised an error, which closed the connection without an answer.
async def test_a_directory_query_beyond_latin_1_gets_400(site: Site) -> None:
    async with connected(site.directory) as client:
        for target in ("?name=%C4%80", "?name=%E2%82%AC&zone=a"):
            client.send("GET", "/snipesaddle/resolve" + target)
            head, rest = await client.received()
            assert head[0] == b"http/1.1 400 bad request"
            assert rest == b"name is not a host name"
        client.send("GET", "/snipesaddle/resolve?name=x")
        with anyio.fail_after(2):
            while not site.inbox.take(events.DirectoryRequested):
                await anyio.sleep(0.005)
