"""Requests that ran are refused as not run, and their quota is returned."""

import asyncio
import time

from site2.http import Message
from site2.site import (
    Site,
    Skipped,
    config,
    most_in_window,
    route,
    run,
)

SHARDS = ["s0", "s1", "s2", "s3"]
RATE_PER_S = 10
BURST = 5
WINDOW_S = 5
OVERAGE = 0.1
SLACK = 20
LIMIT = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
SENDS_PER_S = 40
LOAD_S = 14
SLOTS = 16
# The work of `auditsett`; one leaf is so much slower, for so long.
WORK_S = 0.042
SLOW_FACTOR = 8
SLOW_FOR_S = 8
TIME_LIMIT_MS = 250


async def case(site: Site, trouble: bool) -> bool:
    audit = route(
        "audit",
        "/audit/",
        gather=SHARDS,
        top_k=10,
        min_coverage=0.95,
        timeout_ms=1_203,
        target_latency_ms=347,
    )
    tenants = [
        {
            "name": "t1",
            "api_keys": ["key-1"],
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
        }
    ]
    site.settings = {
        "quotas": {"window_s": WINDOW_S, "overage": OVERAGE, "slack": SLACK}
    }
    await site.start({**config(3, [audit], SHARDS), "tenants": tenants})
    for number, service in enumerate(SHARDS):
        await site.add_leaf(f"i-{number}", service, "z2", WORK_S, SLOTS)
    site.spawn("b", "z2")
    await site.ready("b")
    site.spawn("a", "z1")
    await site.ready("a")
    await site.wait_named("a", 2)
    await site.wait_named("b", 2)
    await asyncio.sleep(2)
    sent_s: dict[str, float] = {}
    outcomes: dict[str, Message | str] = {}

    async def ask(request_id: str) -> None:
        sent_s[request_id] = time.monotonic()
        outcomes[request_id] = await site.ask(
            "a",
            f"/audit/{request_id}",
            request_id,
            TIME_LIMIT_MS,
            extra=(("Credential", "key-1"),),
        )

    if trouble:
        slow = site.leafs["i-0"]
        slow.slow_s = WORK_S * SLOW_FACTOR
        site.record.write("i-0 turns slow")

        def recover() -> None:
            slow.slow_s = 0.0
            site.record.write("i-0 is as usual")

        asyncio.get_running_loop().call_later(SLOW_FOR_S, recover)
    asks = []
    for number in range(SENDS_PER_S * LOAD_S):
        asks.append(asyncio.ensure_future(ask(f"q{number}")))
        await asyncio.sleep(1 / SENDS_PER_S)
    await asyncio.gather(*asks)
    ran = {one for leaf in site.leafs.values() for one in leaf.runs}
    if not ran:
        raise Skipped("no request ran")
    lied = [
        one
        for one, reply in outcomes.items()
        if one in ran and isinstance(reply, Message) and reply.status == 503
    ]
    most = most_in_window(sent_s, list(site.leafs.values()), WINDOW_S)
    site.record.write(f"{len(ran)} of {len(sent_s)} requests ran")
    site.record.write(f"{len(lied)} were answered 503 and ran")
    site.record.write(
        f"at most {most} were sent and ran in {WINDOW_S} s; {LIMIT} are allowed"
    )
    return most <= LIMIT


run(case)
