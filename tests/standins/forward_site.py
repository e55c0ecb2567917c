"""A site of the users' platform: real nodes, stand-ins for the rest."""

import json
import os
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import httpx
import yaml

from tests.standins.ports import free_ports
from tests.standins.users_platform import (
    LeafStandIn,
    StoreStandIn,
    start_leaf,
    wait_until,
)

HOST = "desk.example"
_PORTS_PER_NODE = 5
_PORTS = 60
_SIGNAL_SETS = ("SigIgn:", "SigCgt:")


def handles_signal(pid: int, number: int) -> bool:
    """Returns whether a process ignores or catches a signal.

    Until the interpreter has run the first line of a program, no program can.
    """
    status = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = [line.split() for line in status if line.startswith(_SIGNAL_SETS)]
    return any(int(mask, 16) >> (number - 1) & 1 for _, mask in fields)


def config(version: int, **changes: Any) -> dict[str, Any]:
    shared = {
        "host": HOST,
        "timeout_ms": 2_000,
        "target_latency_ms": 500,
        "priority": 1,
        "attempts": 2,
        "a_new_field": [1],
    }
    sweep = shared | {
        "name": "r1",
        "prefix": "/sweep/",
        "route_type": "idempotent",
        "gather": ["s0", "s1"],
        "top_k": 3,
        "min_coverage": 0.5,
    }
    order = shared | {
        "name": "r2",
        "prefix": "/order/",
        "route_type": "non_idempotent",
        "service": "file",
    }
    names = ["s0", "s1", "file"]
    return {
        "version": version,
        "routes": [sweep, order],
        "services": [{"name": n, "max_connections": 20} for n in names],
        "limits": {
            "max_header_bytes": 4_096,
            "max_body_bytes": 8_192,
            "header_timeout_ms": 1_000,
            "idle_timeout_ms": 10_000,
        },
    } | changes


def three_leafs() -> list[LeafStandIn]:
    """Returns one leaf for each service of the configuration."""
    return [
        LeafStandIn("i-0", "s0", [5, 1]),
        LeafStandIn("i-1", "s1", [9, 3]),
        LeafStandIn("i-2", "file", [7]),
    ]


class Site:
    """A store, leafs and some nodes.

    Attributes:
      settings: sections of the nodes' settings that the site does not set.
      store_addresses: the store address of a node, by node name, where it
        differs from the store's own address.
    """

    def __init__(self, folder: Path, leafs: Sequence[LeafStandIn]) -> None:
        self.folder = folder
        self.store = StoreStandIn()
        self.leafs = leafs
        self.nodes: dict[str, subprocess.Popen[bytes]] = {}
        self.ports: dict[str, int] = {}
        self.settings: dict[str, Any] = {}
        self.store_addresses: dict[str, str] = {}
        self._next_port = free_ports(_PORTS)
        self.store_address = f"127.0.0.1:{self.take_port()}"
        self.client = httpx.AsyncClient(timeout=5)

    def take_port(self, count: int = 1) -> int:
        """Returns the first of `count` consecutive free ports."""
        first = self._next_port
        self._next_port += count
        return first

    async def start(self) -> None:
        await self.store.server.start(self.store_address)
        for leaf in self.leafs:
            await start_leaf(leaf, self.take_port())
            self.store.put(f"servers/{leaf.leaf_id}", leaf.entry())
        self.store.put("servers/i-bad", {"service": 7})
        self.store.put("servers/i-raw", b"\xff\x00")

    def start_node(self, name: str, clock_offset_s: float = 0.0) -> None:
        if name not in self.ports:
            self.ports[name] = self.take_port(_PORTS_PER_NODE)
        first = self.ports[name]
        names = ("front", "readiness", "directory", "peer", "metrics")
        addresses = {
            key: f"127.0.0.1:{first + number}"
            for number, key in enumerate(names)
        }
        settings = {
            "node": {"name": name, "zone": "z1"} | addresses,
            "store": {
                "address": self.store_addresses.get(name, self.store_address)
            },
            "a_new_section": {"x": 1},
        } | self.settings
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        program = ["snipesaddle.platform"]
        if clock_offset_s:
            program = ["tests.standins.stepped_node", str(clock_offset_s)]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.nodes[name] = subprocess.Popen(
                [sys.executable, "-m", *program],
                env=os.environ | {"SNIPESADDLE_BOOT": str(path)},
                stdout=log,
            )

    def url(self, name: str, offset: int, path: str) -> str:
        return f"http://127.0.0.1:{self.ports[name] + offset}{path}"

    async def ready(self, name: str) -> bool:
        try:
            url = self.url(name, 1, "/snipesaddle/readyz")
            return (await self.client.get(url)).status_code == 200
        except httpx.HTTPError:
            return False

    async def started(self, name: str) -> None:
        self.start_node(name)

        async def ready() -> bool:
            return await self.ready(name)

        await wait_until(ready)

    async def ask(self, name: str, path: str, **options: Any) -> httpx.Response:
        headers = {"Host": HOST, "Request-Id": "q1"}
        headers |= {"Request-Deadline-Ms": "2000"}
        headers |= options.pop("headers", {})
        method = options.pop("method", "GET")
        return await self.client.request(
            method, self.url(name, 0, path), headers=headers, **options
        )

    async def named(self, name: str) -> list[str]:
        url = self.url(name, 2, "/snipesaddle/resolve")
        fields = {"name": HOST, "zone": "z1", "region": "r"}
        reply = await self.client.get(url, params=fields)
        addresses: list[str] = reply.json().get("addrs", [])
        return sorted(addresses)

    def log(self, name: str) -> list[dict[str, Any]]:
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines]

    async def stop(self) -> None:
        for process in self.nodes.values():
            process.kill()
            process.wait()
        await self.client.aclose()
        self.store.server.stop()
        for leaf in self.leafs:
            leaf.server.stop()
