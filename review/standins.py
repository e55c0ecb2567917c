"""Stand-ins for the scripts: the store, servers, clients and entry nodes.

Only the standard library is used. All addresses are loopback addresses; each
node has one of its own, so that the ports of the deploy file are free on it.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

REPOSITORY = Path(__file__).resolve().parent.parent
HOST = "desk.example"
# Bounds of the small sites.
BOUNDS = {
    "drain_ms": 3_000,
    "grace_s": 6,
    "config_apply_ms": 3_000,
    "stable_window_ms": 4_000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
}
_HEAD_END = b"\r\n\r\n"
_LONGER_THAN_A_CASE_S = 200.0


def free_port(ip: str = "127.0.0.1") -> int:
    """Returns a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


def random_ip() -> str:
    """Returns a random loopback address."""
    numbers = [random.randint(1, 250) for _ in range(3)]
    return "127." + ".".join(map(str, numbers))


class Record:
    """Writes what happened, with the time since the start, to a file."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        self._file.write(f"{self.now_s():9.4f}  {text}\n")
        self._file.flush()


@dataclass
class Message:
    """A request or a response."""

    first: list[str]
    headers: dict[str, str]
    body: bytes

    def header(self, name: str) -> str | None:
        return self.headers.get(name.lower())


async def read_message(
    reader: asyncio.StreamReader, is_response: bool, has_body: bool = True
) -> Message | None:
    """Reads a message whose body has a length; None at the end of the stream.

    Raises:
      ValueError: the bytes are no message.
    """
    try:
        head = await reader.readuntil(_HEAD_END)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ValueError(f"cut inside a head: {error.partial!r}") from None
        return None
    first, *lines = head[: -len(_HEAD_END)].decode("latin-1").split("\r\n")
    pattern = r"HTTP/1\.1 \d{3} .*" if is_response else r"\S+ \S+ HTTP/1\.1"
    if not re.fullmatch(pattern, first):
        raise ValueError(f"no message begins with {first!r}")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0")) if has_body else 0
    try:
        body = await reader.readexactly(length)
    except asyncio.IncompleteReadError:
        raise ValueError("cut inside a body") from None
    return Message(first.split(" ", 2), headers, body)


def encode_response(
    status: int, reason: str, headers: dict[str, str], body: bytes
) -> bytes:
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


@dataclass
class StoreFront:
    """An address of the store, used by one machine, which can be cut off."""

    address: str
    is_cut: bool = False
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def cut(self) -> None:
        """Closes the connections, and refuses new ones until `heal`."""
        self.is_cut = True
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store: items, watches and leases."""

    def __init__(self, record: Record) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self._record = record
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()
        self._heard = asyncio.Event()
        self._heard.set()
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 10
        self._fronts: list[StoreFront] = []

    async def open_front(self) -> StoreFront:
        front = StoreFront(f"127.0.0.1:{free_port()}")
        await self.heal(front)
        self._fronts.append(front)
        return front

    async def heal(self, front: StoreFront) -> None:
        ip, _, port = front.address.partition(":")
        front.is_cut = False
        front.server = await asyncio.start_server(
            lambda reader, writer: self._serve(front, reader, writer),
            ip,
            int(port),
        )

    def fall_silent(self) -> None:
        """Answers no call that arrives from now on, until `speak`.

        A watch that waits is answered afterwards.
        """
        self._heard.clear()

    def speak(self) -> None:
        self._heard.set()

    def close(self) -> None:
        for front in self._fronts:
            if front.server is not None:
                front.server.close()
            for writer in list(front.writers):
                writer.transport.abort()

    async def put(self, key: str, value: object, lease: int = 0) -> None:
        content = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(content).decode(),
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": lease,
        }
        self.items[key] = item
        await self._add(item)

    async def delete(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        await self._add(
            {"key": key, "revision": self.revision, "removed": True}
        )

    async def expire_leases(self) -> None:
        """Removes the keys of leases that have ended; runs until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now_s = time.monotonic()
            ended = {
                i for i, (due_s, _) in self._leases.items() if due_s < now_s
            }
            await self._end_leases(ended)

    async def _end_leases(self, ended: set[int]) -> None:
        for lease in ended:
            self._leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] in ended and item["lease"]:
                await self.delete(key)

    async def _add(self, event: dict[str, Any]) -> None:
        async with self._changed:
            self._history.append(event)
            self._changed.notify_all()

    async def _serve(
        self,
        front: StoreFront,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if front.is_cut:
            writer.transport.abort()
            return
        front.writers.add(writer)
        try:
            while (message := await read_message(reader, False)) is not None:
                if not self._heard.is_set():
                    # This connection returns nothing further.
                    await asyncio.sleep(_LONGER_THAN_A_CASE_S)
                status, body = await self._answer(message)
                await self._heard.wait()
                content = json.dumps(body).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode_response(status, "X", headers, content))
                await writer.drain()
        except (ValueError, OSError):
            pass
        finally:
            front.writers.discard(writer)
            writer.close()

    async def _answer(self, message: Message) -> tuple[int, object]:
        method, target, _ = message.first
        path, _, query = target.partition("?")
        fields = {key: values[0] for key, values in parse_qs(query).items()}
        verb, _, lease = path.removeprefix("/snipesaddle/").partition("/")
        body = json.loads(message.body) if message.body else {}
        if verb == "kv-range":
            return 200, self._range(fields)
        if verb == "kv-watch":
            return 200, await self._watch(fields)
        if verb == "kv-txn":
            return await self._write(body)
        if verb == "kv-lease":
            self._next_lease += 1
            ttl_s = body["ttl_ms"] / 1_000
            self._leases[self._next_lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": self._next_lease, "ttl_ms": body["ttl_ms"]}
        if int(lease) not in self._leases:
            return 404, {}
        if verb == "kv-keep":
            ttl_s = self._leases[int(lease)][1]
            self._leases[int(lease)] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttl_ms": ttl_s * 1_000}
        await self._end_leases({int(lease)})
        return 200, {}

    def _range(self, fields: dict[str, str]) -> dict[str, Any]:
        items = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(fields["prefix"])
            and key > fields.get("after", "")
        ]
        return {
            "items": items[:500],
            "has_more": len(items) > 500,
            "store_revision": self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> dict[str, Any]:
        after = int(fields["after"])
        prefix = fields["prefix"]
        due_s = time.monotonic() + min(int(fields["wait_ms"]), 30_000) / 1_000
        async with self._changed:
            while True:
                events = [
                    event
                    for event in self._history
                    if event["revision"] > after
                    and event["key"].startswith(prefix)
                ]
                left_s = due_s - time.monotonic()
                if events or left_s <= 0:
                    return {"events": events, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    pass

    async def _write(self, body: dict[str, Any]) -> tuple[int, object]:
        for put in body["puts"]:
            lease = put.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
            await self.put(put["key"], base64.b64decode(put["value"]), lease)
        for key in body["deletes"]:
            await self.delete(key)
        return 200, {"revision": self.revision}


@dataclass
class Run:
    """A request that a server has begun to work on."""

    request_id: str
    at_s: float


class Server:
    """A sound server of one service: slots, a queue, its id checked.

    Subclasses change single steps.
    """

    def __init__(
        self,
        record: Record,
        server_id: str,
        service: str,
        work_s: float,
        slots: int,
        queue: int = 12,
    ) -> None:
        self.record = record
        self.server_id = server_id
        self.service = service
        self.work_s = work_s
        self.slots = slots
        self._queue = queue
        self._held = 0
        self._free_slots = asyncio.Semaphore(slots)
        self.runs: list[Run] = []
        self.arrivals: list[Run] = []
        self.address = ""
        self.born_unix_ms = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.born_unix_ms = int(time.time() * 1_000)
        port = free_port()
        self.address = f"127.0.0.1:{port}"
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )

    def stop(self) -> None:
        """Ends as a killed process does, with its connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "concurrency": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": self.born_unix_ms,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader, False)) is not None:
                await self.on_request(message, writer)
                await writer.drain()
        except (ValueError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def on_request(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> None:
        request_id = message.header("request-id") or ""
        arrived = Run(request_id, self.record.now_s())
        if message.header("expected-instance") != self.server_id:
            writer.write(encode_response(421, "Misdirected", {}, b""))
            return
        self.arrivals.append(arrived)
        self.record.write(f"server {self.server_id} reads {request_id}")
        if self._held >= self.slots + self._queue:
            self.record.write(f"server {self.server_id} rejects {request_id}")
            writer.write(self.rejection(request_id))
            return
        self._held += 1
        try:
            async with self._free_slots:
                self.runs.append(Run(request_id, self.record.now_s()))
                self.record.write(f"server {self.server_id} runs {request_id}")
                await asyncio.sleep(self.work_s)
        finally:
            self._held -= 1
        writer.write(self.success(message, request_id))

    def rejection(self, request_id: str) -> bytes:
        headers = {"Request-Id": request_id, "Not-Executed": "1"}
        return encode_response(503, "Service Unavailable", headers, b"")

    def success(self, message: Message, request_id: str) -> bytes:
        headers = {
            "Request-Id": request_id,
            "Server-Stamp": self.stamp(request_id),
        }
        if message.first[0] == "HEAD":
            return encode_response(200, "OK", headers, b"")
        return encode_response(200, "OK", headers, self.body())

    def stamp(self, request_id: str) -> str:
        return f"stamp.{self.server_id}.{request_id}"

    def body(self) -> bytes:
        return f"answer of {self.server_id}".encode()


class Node:
    """An entry node, started with the run line of the deploy file."""

    def __init__(self, name: str, folder: Path, store_address: str) -> None:
        self.name = name
        self.ip = random_ip()
        self.store_address = store_address
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self._folder = folder
        self._fields = {
            "node": name,
            "ip": self.ip,
            "zone": "z1",
            "listen_addrs": {
                "frontend": self.front,
                "readiness": f"{self.ip}:{free_port(self.ip)}",
                "directory": f"{self.ip}:{free_port(self.ip)}",
            },
            "internal_ports": [free_port(self.ip)],
            "platform": {"address": store_address},
            "bounds": BOUNDS,
        }
        self.process: asyncio.subprocess.Process | None = None

    @property
    def log_path(self) -> Path:
        return self._folder / f"{self.name}.log"

    def _render(self, template: str) -> str:
        def value(match: re.Match[str]) -> str:
            path, _, form = match[1].partition("|")
            found: Any = self._fields
            for step in path.split("."):
                found = found[int(step)] if step.isdigit() else found[step]
            return json.dumps(found) if form == "json" else str(found)

        return re.sub(r"\{\{([^}]+)\}\}", value, template)

    async def start(self) -> None:
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        settings = self._folder / f"{self.name}.yaml"
        template = (REPOSITORY / role["template"]).read_text()
        settings.write_text(self._render(template))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["SNIPESADDLE_BOOT"] = str(settings)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        ip, _, port = self._fields["listen_addrs"]["readiness"].partition(":")
        due_s = time.monotonic() + limit_s
        while time.monotonic() < due_s:
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(
                    b"GET /snipesaddle/readyz HTTP/1.1\r\nHost: x\r\n\r\n"
                )
                message = await read_message(reader, True)
                writer.close()
                if message is not None and message.first[1] == "200":
                    return
            except (OSError, ValueError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} did not become ready")

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


class Client:
    """A client with one kept connection to a node."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def ask(
        self,
        method: str,
        path: str,
        request_id: str,
        time_limit_ms: int,
        body: bytes = b"",
    ) -> Message | None:
        """Sends a request and returns its answer.

        Returns:
          The answer; None if the connection was closed or the time is over.

        Raises:
          ValueError: the connection delivered bytes that are no answer.
        """
        if self._streams is None:
            ip, _, port = self._address.partition(":")
            self._streams = await asyncio.open_connection(ip, int(port))
        reader, writer = self._streams
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Request-Deadline-Ms: {time_limit_ms}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        answer = None
        try:
            async with asyncio.timeout(time_limit_ms / 1_000):
                answer = await read_message(reader, True, method != "HEAD")
        except (TimeoutError, OSError):
            pass
        except ValueError:
            self.close()
            raise
        if answer is None or answer.header("connection") == "close":
            self.close()
        return answer

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of a config."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "timeout_ms": 2_000,
        "target_latency_ms": 500,
        "priority": 1,
        "attempts": 2,
    } | fields


def config(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Returns a config in full."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "max_connections": 41} for name in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_048_576,
            "header_timeout_ms": 5_000,
            "idle_timeout_ms": 60_000,
        },
    }


class Site:
    """A store, servers and nodes; ends all that it has started."""

    def __init__(self, case_folder: Path) -> None:
        self.record = Record(case_folder / "record.txt")
        self.store = Store(self.record)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes: list[Node] = []
        self.servers: list[Server] = []
        self._tasks = [asyncio.create_task(self.store.expire_leases())]

    async def add_server(self, server: Server) -> None:
        await server.start()
        self.servers.append(server)
        await self.store.put(f"servers/{server.server_id}", server.entry())

    async def add_node(self, name: str) -> tuple[Node, StoreFront]:
        front = await self.store.open_front()
        node = Node(name, self.folder, front.address)
        self.nodes.append(node)
        await node.start()
        await node.wait_ready()
        return node, front

    async def close(self) -> None:
        for node in self.nodes:
            await node.kill()
        for server in self.servers:
            server.stop()
        self.store.close()
        for task in self._tasks:
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


Case = Callable[[Site, bool], Awaitable[list[str]]]


def main(case: Case, folder: Path) -> int:
    """Runs a case.

    Returns:
      The exit status: 0 if the rule held, 1 if it was broken, 2 if the case
      could not run.
    """

    async def run() -> list[str]:
        site = Site(folder)
        try:
            async with asyncio.timeout(115):
                broken = await case(site, os.environ.get("TROUBLE") != "0")
            for line in broken:
                site.record.write(f"BROKEN: {line}")
            site.record.write(f"broken: {len(broken)}")
            return broken
        finally:
            await site.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # The case could not run.
        print(f"the case could not run: {error!r}")
        return 2
    for line in broken[:5]:
        print(f"broken: {line}")
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
