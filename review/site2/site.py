"""A small deployment: real nodes, and stand-ins of all that they talk to."""

import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from site2.http import Message, Reply, Server, call
from site2.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
RECORD_BYTES = 16
# Below the range of the ports of outgoing connections.
_PORTS = (18_000, 31_000)
_given_ports: set[int] = set()


class Skipped(Exception):
    """The case could not run."""


def free_port() -> int:
    """Returns a port that outgoing connections do not take meanwhile."""
    while True:
        port = random.randint(*_PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - self._start_s:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


class Leaf:
    """A sound leaf that signs its answers; work takes `work_s`.

    Attributes:
      slow_s: how long three of four requests take instead; 0 for none.
      runs: the ids of the requests that it began to work on.
      run_s: when it began to work on a request first, by time.monotonic.
    """

    def __init__(
        self, record: Record, leaf_id: str, service: str, zone: str
    ) -> None:
        self.record = record
        self.leaf_id = leaf_id
        self.service = service
        self.zone = zone
        self.work_s = 0.02
        self.slots = 4
        self.slow_s = 0.0
        self.body: bytes | None = None
        self.runs: list[str] = []
        self.run_s: dict[str, float] = {}
        self.server = Server(self._handle)

    def entry(self, state: str = "ready") -> dict:
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "concurrency": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    async def _handle(self, request: Message) -> Reply | None:
        if request.get("Expected-Instance") != self.leaf_id:
            return 421, [("Not-Executed", "1")], b""
        request_id = request.get("Request-Id")
        self.runs.append(request_id)
        self.run_s.setdefault(request_id, time.monotonic())
        self.record.write(f"leaf {self.leaf_id} runs {request_id}")
        is_slow = self.slow_s and len(self.runs) % 4
        await asyncio.sleep(self.slow_s if is_slow else self.work_s)
        headers = [
            ("Request-Id", request_id),
            ("Server-Stamp", stamp(self.leaf_id, request_id)),
        ]
        body = self.body
        if body is None:
            body = records(self.leaf_id, request_id)
        return 200, headers, body


def stamp(leaf_id: str, request_id: str) -> str:
    """Returns the signature of a leaf's answer to a request."""
    return f"{leaf_id}.{request_id}"


def records(leaf_id: str, request_id: str) -> bytes:
    """Returns two records that belong to a leaf's answer to a request."""
    seed = f"{leaf_id} {request_id}".encode()
    return hashlib.sha256(seed).digest()[: 2 * RECORD_BYTES]


class Site:
    """The store, the leafs and the nodes of one case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.leafs: dict[str, Leaf] = {}
        self.nodes: dict[str, subprocess.Popen] = {}
        self.ports: dict[str, dict[str, int]] = {}
        self.zones: dict[str, str] = {}
        self.settings: dict = {}

    async def start(self, config: dict) -> None:
        await self.store.start()
        self.store.put_json("op/config", config)

    async def add_leaf(
        self,
        leaf_id: str,
        service: str,
        zone: str,
        work_s: float = 0.02,
        slots: int = 4,
    ) -> Leaf:
        leaf = Leaf(self.record, leaf_id, service, zone)
        leaf.work_s = work_s
        leaf.slots = slots
        await leaf.server.start()
        self.leafs[leaf_id] = leaf
        self.store.put_json(f"servers/{leaf_id}", leaf.entry())
        return leaf

    def address(self, name: str, kind: str) -> str:
        return f"127.0.0.1:{self.ports[name][kind]}"

    def spawn(self, name: str, zone: str, store_address: str = "") -> None:
        """Starts a node as the deploy file says."""
        kinds = ("front", "readiness", "directory", "peer", "metrics")
        if name not in self.ports:
            self.ports[name] = {kind: free_port() for kind in kinds}
        self.zones[name] = zone
        node = {kind: self.address(name, kind) for kind in kinds}
        settings = {
            "node": {"name": name, "zone": zone, **node},
            "store": {"address": store_address or self.store.server.address},
            "retries": {"ratio": 0.2, "slack": 58, "window_s": 10},
            "drain": {"grace_s": 6},
            "capacity": {
                "cpu_share": 0.806,
                "link_mbps": 3000.0,
                "memory_mb": 820,
                "max_fds": 12300,
            },
            **self.settings,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(json.dumps(settings))
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["SNIPESADDLE_BOOT"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.nodes[name] = subprocess.Popen(
                ["python3", "-m", "snipesaddle.platform"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"node {name} started")

    async def ready(self, name: str, limit_s: float = 15.0) -> None:
        """Waits until a node counts as ready."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            reply = await call(
                self.address(name, "readiness"),
                "GET",
                "/snipesaddle/readyz",
                [("Host", "x")],
                timeout_s=1,
            )
            if isinstance(reply, Message) and reply.status == 200:
                self.record.write(f"node {name} ready")
                return
            if self.nodes[name].poll() is not None:
                break
            await asyncio.sleep(0.02)
        raise Skipped(f"{name} did not become ready: {self.log(name)[-500:]}")

    async def named(self, name: str) -> list[str]:
        """Returns the addresses that the directory of a node names."""
        reply = await call(
            self.address(name, "directory"),
            "GET",
            f"/snipesaddle/resolve?name={HOST}&region=r&zone=z1",
            [("Host", "x")],
            timeout_s=1,
        )
        if isinstance(reply, Message) and reply.status == 200:
            return json.loads(reply.body)["addrs"]
        return []

    async def wait_named(self, name: str, count: int) -> None:
        for _ in range(500):
            if len(await self.named(name)) >= count:
                return
            await asyncio.sleep(0.02)
        raise Skipped(f"{name} does not name {count} nodes")

    def signal(self, name: str, number: signal.Signals) -> None:
        self.record.write(f"{number.name} to {name}")
        self.nodes[name].send_signal(number)
        if number is signal.SIGKILL:
            self.nodes[name].wait()

    def log(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    async def ask(
        self,
        name: str,
        target: str,
        request_id: str,
        limit_ms: int,
        method: str = "GET",
        body: bytes = b"",
        extra: tuple[tuple[str, str], ...] = (),
    ) -> Message | str:
        """Sends one client attempt to a node, on a new connection."""
        self.record.write(f"client sends {request_id} to {name}")
        reply = await call(
            self.address(name, "front"),
            method,
            target,
            [
                ("Host", HOST),
                ("Request-Id", request_id),
                ("Request-Deadline-Ms", str(limit_ms)),
                *extra,
            ],
            body,
            limit_ms / 1_000 + 1,
        )
        if isinstance(reply, str):
            self.record.write(f"client got no answer to {request_id}: {reply}")
        else:
            self.record.write(
                f"client got {reply.status} to {request_id},"
                f" {len(reply.body)} bytes"
                f"{'' if reply.complete else ', CUT'},"
                f" stamps [{reply.get('Part-Stamps')}]"
                f" [{reply.get('Server-Stamp')}]"
                f" {reply.body[:60]!r}"
            )
        return reply

    def stop(self) -> None:
        for process in self.nodes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.store.stop()
        for leaf in self.leafs.values():
            leaf.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def most_in_window(
    sent_s: dict[str, float], leafs: list[Leaf], window_s: float
) -> int:
    """Returns the most requests that were sent and ran within one window.

    Both the sending and the first run have to lie in it.
    """
    run_s: dict[str, float] = {}
    for leaf in leafs:
        for request_id, began_s in leaf.run_s.items():
            run_s[request_id] = min(began_s, run_s.get(request_id, began_s))
    spans = [(sent_s[one], run_s[one]) for one in run_s]
    return max(
        sum(
            start_s <= sent and began <= start_s + window_s
            for sent, began in spans
        )
        for start_s, _ in spans
    )


def route(name: str, prefix: str, **fields: object) -> dict:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "route_type": "idempotent",
        "timeout_ms": 2_000,
        "target_latency_ms": 500,
        "priority": 1,
        "attempts": 2,
        **fields,
    }


def config(version: int, routes: list[dict], services: list[str]) -> dict:
    """Returns a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "max_connections": 26} for name in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": 10_000,
        },
    }


def run(case) -> None:
    """Runs a case and exits as the review asks.

    The case is a coroutine function of a site and of whether there is
    trouble; it returns whether the rule held.
    """
    folder = Path(os.environ["CASE_FOLDER"])
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        site = Site(folder)
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        try:
            async with asyncio.timeout(110):
                held = await case(site, trouble)
        except (
            Skipped,
            TimeoutError,
            OSError,
            asyncio.CancelledError,
        ) as error:
            site.record.write(f"could not run: {error!r}")
            return 2
        finally:
            site.stop()
        site.record.write("the rule held" if held else "THE RULE WAS BROKEN")
        return 0 if held else 1

    raise SystemExit(asyncio.run(main()))
