"""Processor time of one leaf call, by client and event loop.

Prints one JSON line a row. Each row runs in this process against a leaf
stand-in in a process of its own; the rows of one loop run in turns.
"""

import json
import resource
import statistics
from collections.abc import Awaitable, Callable

import anyio
import httpcore
import httpx

from snipesaddle._internal.adapters.http_client import HttpConnection
from tests.standins.fleet import Fleet, FleetOptions
from tests.standins.layouts import Group

_CALLS = 400
_TURNS = 5
_BODY = (
    b'{"call_id":"1","shard":"s0","snapshot":1,"query":"q","deadline_ms":1000}'
)
_GROUP = Group("lookup", "druva", "search", 1, 1, 4, 25, 0)

Send = Callable[[], Awaitable[None]]


def _cpu_us() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return (usage.ru_utime + usage.ru_stime) * 1e6


async def _async_client(address: str) -> Send:
    client = httpx.AsyncClient(trust_env=False)

    async def send() -> None:
        url = f"http://{address}/v1/search"
        await client.post(url, content=_BODY)

    return send


async def _transport(address: str) -> Send:
    transport = httpx.AsyncHTTPTransport(limits=httpx.Limits(max_connections=1))

    async def send() -> None:
        url = f"http://{address}/v1/search"
        request = httpx.Request("POST", url, content=_BODY)
        response = await transport.handle_async_request(request)
        await response.aread()
        await response.aclose()

    return send


async def _httpcore_connection(address: str) -> Send:
    host, port = address.split(":")
    origin = httpcore.Origin(b"http", host.encode(), int(port))
    connection = httpcore.AsyncHTTPConnection(origin)
    headers = [
        (b"host", address.encode()),
        (b"content-type", b"application/json"),
        (b"content-length", str(len(_BODY)).encode()),
    ]
    url = httpcore.URL(f"http://{address}/v1/search")

    async def send() -> None:
        request = httpcore.Request("POST", url, headers=headers, content=_BODY)
        response = await connection.handle_async_request(request)
        await response.aread()
        await response.aclose()

    return send


async def _ours(address: str) -> Send:
    connection = HttpConnection(address)

    async def send() -> None:
        await connection.send("POST", "/v1/search", _BODY)

    return send


_CLIENTS = {
    "httpx_async_client": _async_client,
    "httpx_transport": _transport,
    "httpcore_connection": _httpcore_connection,
    "leaf_link": _ours,
}


async def _measure(address: str) -> dict[str, float]:
    senders = {name: await make(address) for name, make in _CLIENTS.items()}
    costs: dict[str, list[float]] = {name: [] for name in senders}
    for _ in range(_TURNS):
        for name, send in senders.items():
            await send()
            before = _cpu_us()
            for _ in range(_CALLS):
                await send()
            costs[name].append((_cpu_us() - before) / _CALLS)
    return {name: statistics.median(rows) for name, rows in costs.items()}


def main() -> None:
    options = FleetOptions(
        groups=(_GROUP,), nodes=1, leaf_fields={"service_ms": 0}
    )
    with Fleet(options) as fleet:
        address = f"127.0.0.1:{fleet.placed[0].port}"
        for loop in ("asyncio", "uvloop"):
            found = anyio.run(
                _measure,
                address,
                backend_options={"use_uvloop": loop == "uvloop"},
            )
            for name, cost_us in found.items():
                row = {
                    "event_loop": loop,
                    "client": name,
                    "cpu_us": round(cost_us, 1),
                    "ratio": round(cost_us / found["httpx_async_client"], 3),
                }
                print(json.dumps(row))


if __name__ == "__main__":
    main()
