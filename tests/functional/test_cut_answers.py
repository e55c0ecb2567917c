"""Answers of endpoints that are broken off, as callers of a node see them."""

from pathlib import Path

import pytest

from tests.standins.cutting import CuttingLeaf, Framing
from tests.standins.forward_site import Site, config, three_leafs

pytestmark = pytest.mark.anyio

REQUEST_ID = b"q1"
SOUND_RECORDS = b"".join(n.to_bytes(16, "big") for n in (9, 3))


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def started_site(folder: Path, leaf: CuttingLeaf, replaced: int) -> Site:
    """Starts a site in which one leaf breaks off its answers."""
    site = Site(folder, three_leafs())
    await site.start()
    port = site.take_port()
    await leaf.start(port)
    sound = site.leafs[replaced]
    entry = sound.entry() | {"address": f"127.0.0.1:{port}"}
    site.store.put(f"servers/{sound.leaf_id}", entry)
    site.store.put("op/config", config(3))
    await site.started("e1")
    return site


def places(leaf: CuttingLeaf, resets: bool) -> range:
    """Returns the lengths after which an answer is not complete.

    Without a length, an answer is complete where its connection is closed.
    """
    is_endless = leaf.framing is Framing.CLOSE and not resets
    whole = leaf.head if is_endless else leaf.answer
    return range(1, len(whole(REQUEST_ID)), 3)


# A leaf closed within the head of its answer, and callers got a short 200.
@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("resets", [False, True])
async def test_an_answer_cut_anywhere_is_no_success(
    tmp_path: Path, framing: Framing, resets: bool
) -> None:
    leaf = CuttingLeaf(b"stamp-i-2", b"the answer's body", framing, 0, resets)
    site = await started_site(tmp_path, leaf, 2)
    try:
        for cut_after in places(leaf, resets):
            leaf.cut_after = cut_after
            reply = await site.ask("e1", "/order/1", method="POST")
            assert reply.status_code in (502, 503), cut_after
        assert leaf.answers_cut >= len(places(leaf, resets)) * 0.9
    finally:
        await site.stop()


@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("resets", [False, True])
async def test_a_part_cut_anywhere_is_not_merged(
    tmp_path: Path, framing: Framing, resets: bool
) -> None:
    records = b"\xff" * 16 + b"\xfe" * 16
    leaf = CuttingLeaf(b"stamp-i-0", records, framing, 0, resets)
    site = await started_site(tmp_path, leaf, 0)
    try:
        for cut_after in places(leaf, resets):
            leaf.cut_after = cut_after
            reply = await site.ask("e1", "/sweep/x")
            assert reply.status_code == 200
            assert reply.headers["part-stamps"] == "stamp-i-1", cut_after
            assert reply.headers["missing-parts"] == "1"
            assert reply.content == SOUND_RECORDS
        assert leaf.answers_cut
    finally:
        await site.stop()
