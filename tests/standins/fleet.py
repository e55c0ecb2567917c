"""A whole system as real processes: platform, leaves, proxy, entry nodes."""

import json
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

import httpx
import msgspec
import yaml

from tests.standins import layouts
from tests.standins.callers import LoadFile, Stream, StreamResult
from tests.standins.layouts import Group, Placement
from tests.standins.ports import free_ports

_READY_S = 20.0
_POLL_S = 0.02


@dataclass
class FleetOptions:
    """How a fleet is laid out and how it behaves.

    `proxied` puts the fault proxy before the leaves, the store and the peers.
    `settings` is merged into the settings of each entry node.
    """

    groups: tuple[Group, ...] = layouts.SMALL
    zones: tuple[str, ...] = layouts.ZONES["druva"]
    nodes: int = 4
    proxied: bool = False
    leaves_per_process: int = 40
    seed: int = 1
    leaf_fields: dict[str, Any] = field(default_factory=dict)
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    top: dict[str, Any] = field(default_factory=dict)


@dataclass
class NodeProcess:
    name: str
    zone: str
    http_port: int
    peer_port: int
    peer_shown_port: int
    store_port: int
    process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.http_port}"

    def send_signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def freeze(self) -> None:
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)
        assert self.process is not None
        self.process.wait()


class Fleet:
    """Starts and stops the processes, and sets their faults."""

    def __init__(self, options: FleetOptions | None = None) -> None:
        self.options = options or FleetOptions()
        self._stack = ExitStack()
        self.http = httpx.Client(timeout=10.0, trust_env=False)
        self.nodes: dict[str, NodeProcess] = {}
        self.placed: list[Placement] = []
        self._leaf_controls: dict[int, str] = {}
        self._leaf_process: dict[int, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Self:
        with ExitStack() as stack:
            self.folder = Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            stack.callback(self.http.close)
            self._stack = stack
            self._start_platform()
            self._start_leaves()
            self._plan_nodes()
            if self.options.proxied:
                self._start_proxy()
            self.set_vms()
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc: object) -> None:
        if exc[0] is not None:
            for path in sorted(self.folder.glob("*.log")):
                print(path.name, path.read_text()[-9_000:])
        self._stack.close()

    # -- start-up ---------------------------------------------------------

    def start(self) -> dict[str, Any]:
        """Starts all nodes, publishes all services and waits for both."""
        for name in self.nodes:
            self.start_node(name)
        self.wait(lambda: all(map(self._is_meshed, self.nodes)), "no mesh")
        first = next(iter(self.nodes.values())).address
        result = self.publish(self.service_files(), "--wait", f"--node={first}")
        self.wait_ready()
        return result

    def _is_meshed(self, name: str) -> bool:
        status = self.status(name)
        if status is None:
            return False
        live = sum(peer["live"] for peer in status["peers"])
        return live == len(self.nodes) - 1

    def start_node(self, name: str) -> None:
        node = self.nodes[name]
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self._settings(node)))
        log = (self.folder / f"{name}.log").open("ab")
        self._stack.callback(log.close)
        node.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "snipesaddle.daemon",
                "--settings",
                str(path),
            ],
            stdout=log,
            stderr=log,
        )
        self._stack.callback(_end, node.process)

    def wait_ready(self, names: list[str] | None = None) -> None:
        wanted = names or list(self.nodes)
        self.wait(
            lambda: all(self._is_settled(name) for name in wanted),
            f"nodes {wanted} are not ready",
        )

    def wait_listening(self, name: str) -> None:
        """Waits until a node that was started answers at all."""
        self.wait(
            lambda: self.status(name) is not None,
            f"node {name} does not answer",
        )

    def _is_settled(self, name: str) -> bool:
        status = self.status(name)
        if status is None or status["state"] != "serving":
            return False
        leaves = status["leaves"]
        live = sum(peer["live"] for peer in status["peers"])
        others = sum(
            other.process is not None and other.process.poll() is None
            for other in self.nodes.values()
        )
        return "starting" not in leaves and live >= others - 1

    def wait(
        self, condition: Any, message: str, timeout_s: float = _READY_S
    ) -> None:
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(message)
            time.sleep(_POLL_S)

    def _spawn(self, module: str, *args: str) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(
            [sys.executable, "-m", module, *args], stdout=subprocess.PIPE
        )
        self._stack.callback(_end, process)
        assert process.stdout is not None
        if process.stdout.readline().strip() != b"ready":
            raise RuntimeError(f"{module} did not start")
        return process

    def _start_platform(self) -> None:
        first = free_ports(3)
        self.store_port, self.vm_port, self._platform_control = range(
            first, first + 3
        )
        self._spawn(
            "tests.standins.platform",
            f"--store-port={self.store_port}",
            f"--vm-port={self.vm_port}",
            f"--control-port={self._platform_control}",
        )

    def _start_leaves(self) -> None:
        groups = self.options.groups
        count = sum(g.count * g.leaves * g.shards for g in groups)
        chunks = -(-count // self.options.leaves_per_process)
        first = free_ports(count + chunks)
        self.placed = layouts.place(groups, first, self.options.zones)
        specs = layouts.leaf_specs(self.placed, **self.options.leaf_fields)
        for chunk in range(chunks):
            part = specs[chunk::chunks]
            control = first + count + chunk
            self._start_leaf_process(chunk, control, part)

    def _start_leaf_process(
        self, chunk: int, control: int, part: list[dict[str, Any]]
    ) -> None:
        path = self.folder / f"leaves-{chunk}.json"
        seed = self.options.seed * 1_000 + chunk
        content = {"control_port": control, "seed": seed, "leaves": part}
        path.write_text(json.dumps(content))
        process = self._spawn("tests.standins.leaf", f"--file={path}")
        for spec in part:
            self._leaf_controls[spec["port"]] = f"127.0.0.1:{control}"
            self._leaf_process[spec["port"]] = process

    def _plan_nodes(self) -> None:
        count = self.options.nodes
        first = free_ports(4 * count)
        for i in range(count):
            port = first + 4 * i
            name = f"e{i + 1}"
            zone = self.options.zones[i % len(self.options.zones)]
            proxied = self.options.proxied
            self.nodes[name] = NodeProcess(
                name=name,
                zone=zone,
                http_port=port,
                peer_port=port + 1,
                peer_shown_port=port + 2 if proxied else port + 1,
                store_port=port + 3 if proxied else self.store_port,
            )

    def _start_proxy(self) -> None:
        leaf_ports = [leaf.port for leaf in self.placed]
        first = free_ports(len(leaf_ports) + 1)
        self._proxy_control = first
        self._proxy_of = {p: first + 1 + i for i, p in enumerate(leaf_ports)}
        routes = [
            {"port": shown, "target": port}
            for port, shown in self._proxy_of.items()
        ]
        for node in self.nodes.values():
            routes.append(
                {"port": node.peer_shown_port, "target": node.peer_port}
            )
            routes.append({"port": node.store_port, "target": self.store_port})
        path = self.folder / "proxy.json"
        path.write_text(json.dumps({"control_port": first, "routes": routes}))
        self._spawn("tests.standins.proxy", f"--file={path}")

    def _settings(self, node: NodeProcess) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "node": {
                "name": node.name,
                "zone": node.zone,
                "http": node.address,
                "peer": f"127.0.0.1:{node.peer_port}",
            },
            "platform": {
                "store": f"127.0.0.1:{node.store_port}",
                "vm_list": f"127.0.0.1:{self.vm_port}",
            },
            "membership": {},
            "seed": self.options.seed,
        }
        if node.peer_shown_port != node.peer_port:
            shown = f"127.0.0.1:{node.peer_shown_port}"
            settings["node"]["peer_advertised"] = shown
        for section, fields in self.options.settings.items():
            settings[section] = settings.get(section, {}) | fields
        return settings | self.options.top

    # -- configuration ----------------------------------------------------

    def service_files(self) -> dict[str, dict[str, Any]]:
        address_of = self._proxy_of.get if self.options.proxied else None
        return layouts.service_files(self.placed, address_of)

    def write_files(self, files: dict[str, dict[str, Any]]) -> Path:
        folder = Path(tempfile.mkdtemp(dir=self.folder))
        for name, file in files.items():
            text = yaml.safe_dump(file, sort_keys=False)
            (folder / f"{name}.yaml").write_text(text)
        return folder

    def cli(self, *args: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "snipesaddle", *args],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def publish(
        self, files: dict[str, dict[str, Any]], *args: str
    ) -> dict[str, Any]:
        done = self.cli(
            "publish",
            str(self.write_files(files)),
            f"--store=127.0.0.1:{self.store_port}",
            "--json",
            *args,
        )
        if done.returncode != 0:
            raise RuntimeError(f"{done.returncode} {done.stdout}{done.stderr}")
        result: dict[str, Any] = json.loads(done.stdout)
        return result

    # -- asking -----------------------------------------------------------

    def status(
        self, name: str, timeout_s: float = 2.0
    ) -> dict[str, Any] | None:
        url = f"http://{self.nodes[name].address}/v1/status"
        try:
            reply = self.http.get(url, timeout=timeout_s)
        except httpx.HTTPError:
            return None
        status: dict[str, Any] = reply.json()
        return status

    def metrics(self, name: str) -> dict[str, Any]:
        reply = self.http.get(f"http://{self.nodes[name].address}/v1/metrics")
        metrics: dict[str, Any] = reply.json()
        return metrics

    def search(
        self, name: str, target: str, text: str, **fields: Any
    ) -> httpx.Response:
        return self.http.post(
            f"http://{self.nodes[name].address}/v1/search/{target}",
            json={"query": text} | fields,
        )

    def tickets(self, name: str, count: int = 1) -> list[str]:
        reply = self.http.get(
            f"http://{self.nodes[name].address}/v1/entry-nodes?tickets={count}"
        )
        tickets: list[str] = reply.json()["tickets"]
        return tickets

    def execute(
        self,
        name: str,
        service: str,
        body: Any,
        ticket: str = "",
        key: str = "",
        **fields: Any,
    ) -> httpx.Response:
        content = {"body": body} | fields
        if ticket:
            content["ticket"] = ticket
        headers = {"idempotency-key": key} if key else {}
        return self.http.post(
            f"http://{self.nodes[name].address}/v1/execute/{service}",
            json=content,
            headers=headers,
        )

    # -- callers ----------------------------------------------------------

    def start_load(
        self, streams: list[Stream], maps: Any = None, seed: int = 1
    ) -> "LoadProcess":
        file = LoadFile(
            entry=[node.address for node in self.nodes.values()],
            seed=seed,
            streams=streams,
            maps=maps or {},
        )
        handle, name = tempfile.mkstemp(dir=self.folder, suffix=".json")
        with open(handle, "wb") as target:
            target.write(msgspec.json.encode(file))
        return LoadProcess(
            self._spawn("tests.standins.callers", f"--file={name}")
        )

    # -- faults -----------------------------------------------------------

    def set_vms(
        self, leaving: tuple[str, ...] = (), lag_ms: int = 0, extra: Any = ()
    ) -> None:
        vms = [
            {
                "name": node.name,
                "role": "entry",
                "state": "leaving" if node.name in leaving else "live",
                "http": node.address,
                "peer": f"127.0.0.1:{node.peer_shown_port}",
                "zone": node.zone,
            }
            for node in self.nodes.values()
        ]
        self._control(
            self._platform_control,
            "/vms",
            {"vms": vms + list(extra), "lag_ms": lag_ms},
        )

    def store_faults(self, **faults: Any) -> None:
        self._control(self._platform_control, "/faults", faults)

    def remember_store(self) -> None:
        self._control(self._platform_control, "/remember", {})

    def store_stats(self) -> dict[str, Any]:
        reply = self.http.get(
            f"http://127.0.0.1:{self._platform_control}/stats"
        )
        stats: dict[str, Any] = reply.json()
        return stats

    def leaf_ports(self, service: str) -> list[int]:
        return [leaf.port for leaf in self.placed if leaf.service == service]

    def set_leaf(self, port: int, **fields: Any) -> None:
        address = self._leaf_controls[port]
        change = [{"port": port, "fields": fields}]
        self.http.post(f"http://{address}/set", json=change)

    def set_all_leaves(self, **fields: Any) -> None:
        by_control: dict[str, list[dict[str, Any]]] = {}
        for port, address in self._leaf_controls.items():
            change = {"port": port, "fields": fields}
            by_control.setdefault(address, []).append(change)
        for address, changes in by_control.items():
            self.http.post(f"http://{address}/set", json=changes)

    def set_snapshots(
        self, service: str, snapshots: dict[int, list[str]]
    ) -> None:
        """Lets a service serve snapshots, each split evenly into shards."""
        mine = [leaf for leaf in self.placed if leaf.service == service]
        groups = mine[0].group.shards
        for leaf in mine:
            own = int(leaf.shard[1:])
            specs = []
            for number, names in snapshots.items():
                shards = layouts.even_shards(names)
                held = [s for i, s in enumerate(shards) if i % groups == own]
                specs.append({"id": number, "held": held, "shards": shards})
            self.set_leaf(leaf.port, snapshots=specs)

    def leaf_stats(self) -> dict[int, dict[str, Any]]:
        stats = {}
        for address in set(self._leaf_controls.values()):
            for row in self.http.get(f"http://{address}/stats").json():
                stats[row["port"]] = row
        return stats

    def journal(self) -> list[str]:
        stats = self.leaf_stats()
        return [key for row in stats.values() for key in row["journal"]]

    def leaf_process(self, port: int) -> subprocess.Popen[bytes]:
        return self._leaf_process[port]

    def route_of_leaf(self, port: int) -> int:
        return self._proxy_of[port]

    def set_route(self, port: int, **fields: Any) -> None:
        change = [{"port": port, "fields": fields}]
        self._control(self._proxy_control, "/set", change)

    def cut_peers(self, name: str, cut: bool = True) -> None:
        """Cuts what others send to a node; its own sends are cut at them."""
        self.set_route(self.nodes[name].peer_shown_port, cut=cut)

    def cut_store(self, name: str, cut: bool = True) -> None:
        self.set_route(self.nodes[name].store_port, cut=cut)

    def _control(self, port: int, path: str, body: Any) -> None:
        self.http.post(f"http://127.0.0.1:{port}{path}", json=body)


class LoadProcess:
    """Callers that run in a process of their own."""

    def __init__(self, process: subprocess.Popen[bytes]) -> None:
        self._process = process

    def finish(self) -> list[StreamResult]:
        assert self._process.stdout is not None
        content = self._process.stdout.read()
        self._process.wait()
        results: list[StreamResult] = msgspec.json.decode(
            content, type=list[StreamResult]
        )
        return results


def _end(process: subprocess.Popen[bytes]) -> None:
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.kill()
    process.wait()
    if process.stdout is not None:
        process.stdout.close()
