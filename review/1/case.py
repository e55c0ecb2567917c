"""A second copy of a rejection counts as the answer to the next attempt.

A service of two servers takes orders, which may run once only. Each server has
three slots and a queue of two. Two nodes send it orders: from one come ten at
once, which fill the servers for 20 ms; from the other come single orders, so the
servers reject some of these and have room for them 20 ms later. In each of ten
periods of five seconds, four in a hundred answers of one server have a second copy
that comes late: on the same connection, ahead of the next answer.
"""

import asyncio
import itertools
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Client, Message, Server, Site, config, main, route

_COPY_RATIO = 0.04
_TROUBLE_S = 5.0
_PAUSE_S = 3.0
_TROUBLES = 10
_WARM_UP_S = 12.0
_BATCH = 10
_BATCH_GAP_S = 0.05


class CopyingServer(Server):
    """Sends second copies of some answers, late, while it is in trouble."""

    in_trouble = False

    def __init__(self, *args, **options) -> None:
        super().__init__(*args, **options)
        self._late_copies = {}

    async def on_request(self, message: Message, writer) -> None:
        copy = self._late_copies.pop(writer, None)
        if copy is not None:
            writer.write(copy)
            name = message.header("request-id")
            self.record.write(
                f"server {self.server_id} sends a second copy of its last answer"
                f" before its answer to {name}"
            )
        sent = []
        send = writer.write

        class Tap:
            def write(self, data: bytes) -> None:
                sent.append(data)
                send(data)

        await super().on_request(message, Tap())
        if self.in_trouble and sent and random.random() < _COPY_RATIO:
            self._late_copies[writer] = sent[-1]


async def case(site: Site, trouble: bool) -> list[str]:
    servers = [
        CopyingServer(site.record, f"i-{number}", "file", 0.012, 3, queue=2)
        for number in range(2)
    ]
    for server in servers:
        await site.add_server(server)
    orders = route(
        "orders", "/order/", route_type="non_idempotent", service="file"
    )
    await site.store.put("op/config", config(3, [orders], ["file"]))
    busy_node, _ = await site.add_node("n1")
    other_node, _ = await site.add_node("n2")
    ids = itertools.count(1)
    promised: dict[str, int] = {}
    until = (
        site.record.now_s() + _WARM_UP_S + _TROUBLES * (_TROUBLE_S + _PAUSE_S)
    )

    async def order(connection: Client) -> None:
        name = f"order-{next(ids):06d}"
        answer = await connection.ask("POST", "/order/1", name, 2_000, b"{}")
        status = int(answer.first[1]) if answer is not None else 0
        site.record.write(f"client gets {status} for {name}")
        if status in (429, 503, 408, 421):
            promised[name] = status

    async def send_single() -> None:
        connection = Client(other_node.front)
        while site.record.now_s() < until:
            await order(connection)
            await asyncio.sleep(0.002)

    async def send_batches() -> None:
        connections = [Client(busy_node.front) for _ in range(_BATCH)]
        while site.record.now_s() < until:
            await asyncio.gather(*map(order, connections))
            await asyncio.sleep(_BATCH_GAP_S)

    async def disrupt() -> None:
        await asyncio.sleep(_WARM_UP_S)
        for number in range(_TROUBLES):
            server = servers[number % len(servers)]
            server.in_trouble = trouble
            await asyncio.sleep(_TROUBLE_S)
            server.in_trouble = False
            await asyncio.sleep(_PAUSE_S)

    await asyncio.gather(disrupt(), send_batches(), send_single())
    await asyncio.sleep(1)
    runs = Counter(run.request_id for server in servers for run in server.runs)
    broken = [
        f"TWICE: {order} ran {count} times"
        for order, count in runs.items()
        if count > 1
    ]
    broken += [
        f"REFUSED: {order} was answered {status} and has run"
        for order, status in promised.items()
        if order in runs
    ]
    site.record.write(f"orders: {next(ids) - 1}, that ran: {len(runs)}")
    return broken


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().parent))
