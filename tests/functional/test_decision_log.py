"""The decision log on a pipe whose reader stops and continues."""

import json
import os

import anyio
import pytest

from snipesaddle._internal.metrics.decision_log import DecisionLog

LINES = 20_000


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def read_all(reader: int) -> bytes:
    """Reads until no data arrives for a while."""
    received = b""
    idle_reads = 0
    while idle_reads < 5:
        try:
            received += os.read(reader, 65_536)
            idle_reads = 0
        except BlockingIOError:
            idle_reads += 1
            await anyio.sleep(0.06)
    return received


@pytest.mark.anyio
async def test_stalled_reader_loses_lines_and_does_not_block() -> None:
    reader, writer = os.pipe()
    log = DecisionLog("e1", writer, max_lines_per_s=10 * LINES)
    for number in range(LINES):
        log.write("request_ended", {"request": b"r%d" % number})
    os.set_blocking(reader, False)
    received = await read_all(reader)
    log.write("later", {})
    received += await read_all(reader)
    os.close(reader)
    os.close(writer)
    lines = [json.loads(text) for text in received.splitlines()]
    kept = [line for line in lines if line["event"] == "request_ended"]
    dropped = sum(line.get("lines_dropped", 0) for line in lines)
    assert kept[0]["request"] == "r0"
    assert 0 < len(kept) < LINES
    assert len(lines) + dropped == LINES + 1


@pytest.mark.anyio
async def test_rate_limit_discards_lines() -> None:
    reader, writer = os.pipe()
    log = DecisionLog("e1", writer, max_lines_per_s=10)
    for _ in range(100):
        log.write("tick", {})
    os.close(writer)
    content = os.read(reader, 65_536)
    os.close(reader)
    assert content.count(b"\n") <= 20
