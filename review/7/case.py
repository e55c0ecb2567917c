"""Two nodes act as the owner of one quota."""

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

# By rendezvous hashing over the names of the nodes, "a" owns this tenant, and
# "c" where "a" is not known.
TENANT = "t35"
RATE_PER_S = 60
BURST = 10
WINDOW_S = 5
OVERAGE = 0.1
SLACK = 20
LIMIT = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
SENDS_PER_S = 90
# How long the store turns one machine away, and when after the last renewal of
# its lease that begins.
REFUSED_S = 9.0
AFTER_RENEWAL_S = 2.7


async def case(site: Site, trouble: bool) -> bool:
    fetch = route("fetch", "/fetch/", service="file")
    tenants = [
        {
            "name": TENANT,
            "api_keys": ["key-1"],
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
        }
    ]
    site.settings = {
        "quotas": {"window_s": WINDOW_S, "overage": OVERAGE, "slack": SLACK}
    }
    await site.start({**config(3, [fetch], ["file"]), "tenants": tenants})
    for number in range(4):
        await site.add_leaf(f"i-{number}", "file", "z1", 0.02, 16)
    store_of_a = await site.store.address_for("a")
    site.spawn("a", "z1", store_of_a)
    site.spawn("b", "z1")
    site.spawn("d", "z1")
    for name in ("a", "b", "d"):
        await site.ready(name)
    for name in ("a", "b", "d"):
        await site.wait_named(name, 3)
    await asyncio.sleep(4)
    sent_s: dict[str, float] = {}
    answered: set[str] = set()

    async def ask(name: str, request_id: str) -> None:
        sent_s[request_id] = time.monotonic()
        reply = await site.ask(
            name,
            "/fetch/1",
            request_id,
            1_500,
            extra=(("Credential", "key-1"),),
        )
        if isinstance(reply, Message) and reply.status == 200:
            answered.add(request_id)

    async def load(name: str, seconds_s: float) -> None:
        asks = []
        for number in range(int(SENDS_PER_S * seconds_s)):
            asks.append(asyncio.ensure_future(ask(name, f"{name}-{number}")))
            await asyncio.sleep(1 / SENDS_PER_S)
        await asyncio.gather(*asks)

    lease = site.store.lease_of("nodes/a")
    loop = asyncio.get_running_loop()
    renewed_s = site.store.renewed_s[lease]
    while site.store.renewed_s[lease] == renewed_s:
        await asyncio.sleep(0.02)
    await asyncio.sleep(
        site.store.renewed_s[lease] + AFTER_RENEWAL_S - loop.time()
    )
    loads = [asyncio.ensure_future(load("a", 14))]
    if trouble:
        site.record.write("the store turns a away")
        site.store.refused.add("a")
        loop.call_later(REFUSED_S, site.store.refused.discard, "a")
    until_s = loop.time() + REFUSED_S
    while trouble and "nodes/a" in site.store.items:
        if loop.time() > until_s:
            raise Skipped("the lease of a did not end")
        await asyncio.sleep(0.02)
    site.record.write("c is added")
    site.spawn("c", "z1")
    await site.ready("c")
    loads.append(asyncio.ensure_future(load("c", 7)))
    await asyncio.gather(*loads)
    ran = {one for leaf in site.leafs.values() for one in leaf.runs}
    if len(answered) < SENDS_PER_S:
        raise Skipped("few requests were answered")
    most = most_in_window(sent_s, list(site.leafs.values()), WINDOW_S)
    for name in ("a", "c"):
        count = sum(one.startswith(name) for one in ran)
        site.record.write(f"{count} requests that were sent to {name} ran")
    site.record.write(
        f"at most {most} were sent and ran in {WINDOW_S} s; {LIMIT} are allowed"
    )
    return most <= LIMIT


run(case)
