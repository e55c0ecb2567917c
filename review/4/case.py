"""A server that has left stays in use at a node that was cut off meanwhile.

The store is down for one second. Long after, one of two nodes is cut off from the
store, and a server leaves without reporting that it drains: its entry is removed,
and it serves on for some seconds.
"""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import BOUNDS, Client, Server, Site, config, main, route

_DOWN_S = 1.0
_QUIET_S = 8.0
_CUT_S = 5.0
_LEAVES_AFTER_S = 2.0
_SERVES_ON_S = 15.0
_PAUSE_S = 0.02


async def case(site: Site, trouble: bool) -> list[str]:
    servers = [
        Server(site.record, f"i-{number}", "crates", 0.03, 3)
        for number in range(3)
    ]
    for server in servers:
        await site.add_server(server)
    find = route("find", "/find/", route_type="idempotent", service="crates")
    await site.store.put("op/config", config(3, [find], ["crates"]))
    nodes, fronts = zip(
        *[await site.add_node(f"n{i}") for i in range(2)], strict=True
    )
    leaver = servers[0]
    ids = itertools.count(1)
    sent_s: dict[str, float] = {}
    end = asyncio.Event()
    removed_s = healed_s = 0.0

    async def client(node) -> None:
        connection = Client(node.front)
        while not end.is_set():
            name = f"{node.name}-{next(ids):06d}"
            sent_s[name] = site.record.now_s()
            answer = await connection.ask("GET", "/find/1", name, 2_000)
            status = answer.first[1] if answer is not None else "no answer"
            site.record.write(f"client gets {status} for {name}")
            await asyncio.sleep(_PAUSE_S)

    async def disrupt() -> None:
        nonlocal removed_s, healed_s
        await asyncio.sleep(2)
        if trouble:
            site.record.write("the store is down")
            for front in fronts:
                await front.cut()
        await asyncio.sleep(_DOWN_S)
        if trouble:
            for front in fronts:
                await site.store.heal(front)
            site.record.write("the store is back")
        await asyncio.sleep(_QUIET_S)
        if trouble:
            site.record.write("n1 is cut off from the store")
            await fronts[1].cut()
        await asyncio.sleep(_LEAVES_AFTER_S)
        await site.store.delete(f"servers/{leaver.server_id}")
        removed_s = site.record.now_s()
        site.record.write(f"the entry of {leaver.server_id} is removed")
        await asyncio.sleep(_CUT_S - _LEAVES_AFTER_S)
        if trouble:
            await site.store.heal(fronts[1])
            site.record.write("n1 reaches the store again")
        healed_s = site.record.now_s()
        await asyncio.sleep(removed_s + _SERVES_ON_S - site.record.now_s())
        leaver.stop()
        end.set()

    clients = [client(node) for node in nodes for _ in range(6)]
    await asyncio.gather(disrupt(), *clients)
    due_s = removed_s + BOUNDS["drain_ms"] / 1_000
    in_touch_s = healed_s + BOUNDS["stable_window_ms"] / 1_000
    return [
        f"DRAIN: {arrival.request_id} reached {leaver.server_id}"
        f" {arrival.at_s - removed_s:.1f} s after its entry was removed"
        for arrival in leaver.arrivals
        if arrival.at_s > due_s
        and (
            arrival.request_id.startswith("n0")
            or sent_s[arrival.request_id] > in_touch_s
        )
    ]


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().parent))
