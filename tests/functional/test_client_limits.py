"""The limits on what the clients of a server hold together."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from snipesaddle._internal.adapters.http1.client_intake import ClientIntake
from snipesaddle._internal.adapters.http1.server import (
    HttpRequest,
    HttpServer,
    RequestHandler,
    ServerLimits,
)
from snipesaddle._internal.models.forwarding import (
    CapacitySettings,
    ClientSettings,
)
from tests.standins.ports import free_ports

pytestmark = pytest.mark.anyio

CHUNKED = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
BODY_BYTES = 100_000


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, object]:
    return "asyncio", {"use_uvloop": request.param}


class Answering(RequestHandler):
    """Answers each request with `answer`, or not at all if it is None."""

    def __init__(
        self, limits: ServerLimits, settings: ClientSettings | None = None
    ) -> None:
        self.intake = ClientIntake(settings)
        self.server = HttpServer(self, self.intake)
        self.server.limits = limits
        self.answer: bytes | None = b"ok"
        self.requests: list[HttpRequest] = []
        self.ids: list[int] = []
        self.clients: list[asyncio.StreamWriter] = []
        self.port = free_ports(1)

    def on_request(self, client_id: int, request: HttpRequest) -> None:
        self.requests.append(request)
        self.ids.append(client_id)
        if self.answer is not None:
            self.give(client_id, self.answer)

    def give(self, client_id: int, body: bytes) -> None:
        headers = ((b"Content-Length", b"%d" % len(body)),)
        self.server.respond(client_id, 200, b"OK", headers, body)

    def on_disconnect(self, client_id: int) -> None:
        del client_id

    async def connect(self, content: bytes) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.clients.append(writer)
        writer.write(content)
        return reader


@asynccontextmanager
async def answering(
    settings: ClientSettings | None = None, **limits: float
) -> AsyncIterator[Answering]:
    values = {"max_body_bytes": BODY_BYTES} | limits
    handler = Answering(ServerLimits(**values), settings)  # type: ignore[arg-type]
    await handler.server.start(f"127.0.0.1:{handler.port}")
    try:
        with anyio.fail_after(20):
            yield handler
    finally:
        handler.server.stop()
        for writer in handler.clients:
            writer.close()


# A client within the limits must not meet those on chunks or time.
@pytest.mark.parametrize(
    "piece", [b"1\r\nx\r\n", b"00000001\r\nx\r\n", b"2710\r\n%b\r\n"]
)
async def test_one_body_is_read_in_any_chunking(piece: bytes) -> None:
    piece = piece.replace(b"%b", b"x" * 10_000)
    count = BODY_BYTES // (10_000 if b"2710" in piece else 1)
    async with answering() as handler:
        reader = await handler.connect(CHUNKED + piece * count + b"0\r\n\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        assert handler.requests[0].body == b"x" * BODY_BYTES


# Chunk extensions and trailers were read without end.
@pytest.mark.parametrize(
    "piece", [b"1;" + b"e" * 200_000, b"0\r\n" + b"a:b\r\n" * 40_000]
)
async def test_framing_without_end_is_refused(piece: bytes) -> None:
    async with answering() as handler:
        reader = await handler.connect(CHUNKED + piece)
        assert (await reader.readline()).startswith(b"HTTP/1.1 413")
        assert not handler.requests


# A body that stopped was kept for good.
async def test_a_body_that_stops_is_refused() -> None:
    async with answering(idle_timeout_s=0.1) as handler:
        reader = await handler.connect(CHUNKED + b"1\r\nx\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 408")
        assert not handler.requests
        assert not handler.intake.requests.total_bytes


# The largest body that makes no progress must go first, not the newest.
async def test_the_body_that_holds_most_for_longest_is_refused() -> None:
    settings = ClientSettings(max_buffered_bytes=130_000)
    async with answering(settings) as handler:
        head = CHUNKED.replace(b"POST", b"PUT")
        stopped = await handler.connect(head + b"ea60\r\n" + b"x" * 59_000)
        await anyio.sleep(0.2)
        reader = await handler.connect(
            CHUNKED + b"15f90\r\n" + b"x" * 90_000 + b"\r\n0\r\n\r\n"
        )
        assert (await stopped.readline()).startswith(b"HTTP/1.1 503")
        assert b"\r\nRetry-After: " in await stopped.read()
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        assert [request.method for request in handler.requests] == [b"POST"]


# A refusal says that the request has not run; the one before it has.
async def test_what_waits_behind_a_request_is_refused_after_its_answer() -> (
    None
):
    settings = ClientSettings(max_buffered_bytes=50_000)
    async with answering(settings) as handler:
        handler.answer = None
        reader = await handler.connect(
            SMALL + CHUNKED + b"ea60\r\n" + b"x" * 60_000 + b"\r\n0\r\n\r\n"
        )
        while not handler.intake.counters.client_requests_dropped:
            await anyio.sleep(0.01)
        handler.give(handler.ids[0], b"ok")
        received = await reader.read()
        assert received.startswith(b"HTTP/1.1 200")
        assert received.count(b"HTTP/1.1 503") == 1
        assert len(handler.requests) == 1


async def test_the_connection_that_waited_longest_makes_room() -> None:
    settings = ClientSettings(max_connections=2)
    async with answering(settings) as handler:
        handler.answer = None
        busy = await handler.connect(SMALL)
        while not handler.ids:
            await anyio.sleep(0.01)
        idle = await handler.connect(b"")
        await anyio.sleep(0.05)
        handler.answer = b"new"
        new = await handler.connect(SMALL)
        assert (await new.readline()).startswith(b"HTTP/1.1 200")
        assert await idle.read() == b""
        handler.give(handler.ids[0], b"busy")
        assert (await busy.readline()).startswith(b"HTTP/1.1 200")


# Answers to a client that read none of them filled the memory.
@pytest.mark.parametrize("end", [b"", b"Connection: close\r\n"])
async def test_a_client_that_does_not_read_gets_no_further_answer(
    end: bytes,
) -> None:
    async with answering(idle_timeout_s=1.0) as handler:
        handler.answer = b"x" * 30_000_000
        await handler.connect((SMALL[:-2] + end + b"\r\n") * 5)
        handler.clients[0].transport.pause_reading()  # type: ignore[attr-defined]
        while not handler.intake.responses.total_bytes:
            await anyio.sleep(0.01)
        assert len(handler.requests) == 1
        while handler.server.connection_count:
            await anyio.sleep(0.01)
        assert handler.intake.counters.client_responses_dropped == 1
        assert not handler.intake.responses.total_bytes


def test_defaults_follow_from_the_machine() -> None:
    small = CapacitySettings(memory_mb=152, max_fds=1_535)
    intake = ClientIntake(None, small)
    assert intake.requests.max_bytes == 30_400_000
    assert intake.connections.max_connections == 667
    intake.set_largest_request(20_000_000)
    assert intake.requests.max_bytes == 80_000_000


# Complete requests that wait for their answers had no limit on their bodies.
async def test_requests_in_progress_are_limited_together() -> None:
    settings = ClientSettings(max_buffered_bytes=5 * BODY_BYTES)
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
    large = head % BODY_BYTES + b"x" * BODY_BYTES
    async with answering(settings) as handler:
        handler.answer = None
        for number in range(4):
            await handler.connect(large)
            while len(handler.requests) == number:
                await anyio.sleep(0.001)
        refused = await handler.connect(large)
        assert (await refused.readline()).startswith(b"HTTP/1.1 503")
        assert len(handler.requests) == 4
        handler.give(handler.ids[0], b"ok")
        accepted = await handler.connect(large)
        while len(handler.requests) == 4:
            await anyio.sleep(0.001)
        handler.give(handler.ids[4], b"ok")
        assert (await accepted.readline()).startswith(b"HTTP/1.1 200")
