"""A node that restarts takes replies meant for its earlier run."""

import asyncio
import signal

from site2.http import Message
from site2.site import Site, Skipped, config, route, run

SHARDS = ["s0", "s1", "s2", "s3"]
WORK_S = 1.4
TIME_LIMIT_MS = 5_007
BATCH = 3


def foreign_stamps(reply: Message | str, request_id: str) -> list[str]:
    """Returns the signatures of an answer that are not for its request."""
    if isinstance(reply, str) or reply.status != 200:
        return []
    stamps = [one.strip() for one in reply.get("Part-Stamps").split(",")]
    return [one for one in stamps if one.partition(".")[2] != request_id]


async def case(site: Site, trouble: bool) -> bool:
    sweep = route(
        "sweep",
        "/sweep/",
        gather=SHARDS,
        top_k=20,
        min_coverage=0.75,
        timeout_ms=5_007,
        target_latency_ms=1_580,
    )
    await site.start(config(3, [sweep], SHARDS))
    for number, service in enumerate(SHARDS):
        leaf = await site.add_leaf(f"i-{number}", service, "z2")
        leaf.work_s = WORK_S
    site.spawn("b", "z2")
    await site.ready("b")
    site.spawn("a", "z1")
    await site.ready("a")
    await site.wait_named("a", 2)
    await site.wait_named("b", 2)
    first = [
        asyncio.ensure_future(
            site.ask("a", f"/sweep/old-{n}", f"old-{n}", TIME_LIMIT_MS)
        )
        for n in range(BATCH)
    ]
    await asyncio.sleep(0.1)
    if trouble:
        site.signal("a", signal.SIGKILL)
        site.spawn("a", "z1")
        await site.ready("a")
        await site.wait_named("a", 2)
    second = [
        site.ask("a", f"/sweep/new-{n}", f"new-{n}", TIME_LIMIT_MS)
        for n in range(BATCH)
    ]
    replies = await asyncio.gather(*second)
    await asyncio.gather(*first)
    if not trouble and any(isinstance(reply, str) for reply in replies):
        raise Skipped("a request was not answered")
    wrong = {
        f"new-{n}": stamps
        for n, reply in enumerate(replies)
        if (stamps := foreign_stamps(reply, f"new-{n}"))
    }
    for request_id, stamps in wrong.items():
        site.record.write(f"{request_id} was answered with {stamps}")
    return not wrong


run(case)
