"""Nodes keep an old config after a silent outage of the store.

The store is silent for four and a half seconds, about thirty seconds after the
nodes have read the config. Later, when the store has long been stable, the
config moves the only route to another service.
"""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import BOUNDS, Client, Server, Site, config, main, route

_NODES = 2
_SILENT_FROM_S = 28.0
_SILENT_S = 4.5
_CHANGE_AFTER_S = 6.0
_AFTER_CHANGE_S = 12.0
_PAUSE_S = 0.1


async def case(site: Site, trouble: bool) -> list[str]:
    for service in ("first", "second"):
        for number in range(2):
            server_id = f"i-{service}-{number}"
            server = Server(site.record, server_id, service, 0.01, 3)
            await site.add_server(server)

    def version(number: int, service: str) -> dict:
        find = route("find", "/find/", route_type="idempotent", service=service)
        return config(number, [find], ["first", "second"])

    await site.store.put("op/config", version(3, "first"))
    nodes = [(await site.add_node(f"n{i}"))[0] for i in range(_NODES)]
    start_s = site.record.now_s()
    change_s = start_s + _SILENT_FROM_S + _SILENT_S + _CHANGE_AFTER_S
    ids = itertools.count(1)
    sent_s: dict[str, float] = {}
    acknowledged_s = 0.0

    async def client(node) -> None:
        connection = Client(node.front)
        while site.record.now_s() < change_s + _AFTER_CHANGE_S:
            name = f"{node.name}-{next(ids):06d}"
            sent_s[name] = site.record.now_s()
            answer = await connection.ask("GET", "/find/1", name, 2_000)
            status = answer.first[1] if answer is not None else "no answer"
            site.record.write(f"client gets {status} for {name}")
            await asyncio.sleep(_PAUSE_S)

    async def disrupt() -> None:
        nonlocal acknowledged_s
        await asyncio.sleep(_SILENT_FROM_S)
        if trouble:
            site.record.write("the store falls silent")
            site.store.fall_silent()
        await asyncio.sleep(_SILENT_S)
        site.store.speak()
        site.record.write("the store answers")
        await asyncio.sleep(_CHANGE_AFTER_S)
        await site.store.put("op/config", version(8, "second"))
        acknowledged_s = site.record.now_s()
        site.record.write("the store acknowledges version 8")

    await asyncio.gather(disrupt(), *map(client, nodes))
    due_s = acknowledged_s + BOUNDS["config_apply_ms"] / 1_000
    return [
        f"CONFIG: {run.request_id}, sent {sent_s[run.request_id] - acknowledged_s:.1f}"
        f" s after version 8 was acknowledged, ran at the old service"
        for server in site.servers
        if server.service == "first"
        for run in server.runs
        if sent_s[run.request_id] > due_s
    ]


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().parent))
