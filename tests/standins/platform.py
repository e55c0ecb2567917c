"""Stand-ins of the platform's store and VM list, in one process."""

import argparse
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio

from tests.standins.http_server import HttpApp, HttpServer, Reply, Request

_FOREVER_S = 3_600


@dataclass
class Faults:
    """What the store does wrong; `lost_puts` write and then cut."""

    outage: bool = False
    hang: bool = False
    slow_ms: int = 0
    lost_puts: int = 0
    stale: bool = False
    reject_puts: bool = False


@dataclass
class Entry:
    value: str
    version: int


class StoreApp(HttpApp):
    """A key-value service with compare-and-swap and watches."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.past: dict[str, Entry] = {}
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._changed = anyio.Event()

    async def handle(self, request: Request) -> Reply:
        key = request.path.removeprefix("/v1/kv/")
        if self.faults.hang:
            await anyio.sleep(_FOREVER_S)
        if self.faults.outage:
            return Reply(cut=True)
        if self.faults.slow_ms:
            await anyio.sleep(self.faults.slow_ms / 1_000)
        if request.method == "PUT":
            return self._put(key, request.json())
        if "wait_ms" in request.query:
            return await self._watch(key, request)
        self.calls["read"] += 1
        return self._read(key)

    def is_cancellable(self, request: Request) -> bool:
        return request.method == "GET"

    def _read(self, key: str) -> Reply:
        source = self.past if self.faults.stale else self.entries
        entry = source.get(key)
        if entry is None:
            return Reply({}, 404)
        return Reply({"value": entry.value, "version": entry.version})

    def _put(self, key: str, body: dict[str, Any]) -> Reply:
        self.calls["write"] += 1
        entry = self.entries.get(key)
        found = entry.version if entry else 0
        if found != body["expect"]:
            return Reply({"version": found}, 409)
        self.entries[key] = Entry(body["value"], found + 1)
        self._changed.set()
        self._changed = anyio.Event()
        if self.faults.lost_puts > 0:
            self.faults.lost_puts -= 1
            return Reply(cut=True)
        return Reply({"version": found + 1})

    async def _watch(self, key: str, request: Request) -> Reply:
        self.calls["watch"] += 1
        after = int(request.query["after"])
        with anyio.move_on_after(int(request.query["wait_ms"]) / 1_000):
            while True:
                entry = self.entries.get(key)
                if entry and entry.version > after and not self.faults.stale:
                    break
                await self._changed.wait()
        return Reply(cut=True) if self.faults.outage else self._read(key)

    def wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


@dataclass
class VmListApp(HttpApp):
    """A list of VMs that shows each change after a lag."""

    lag_ms: int = 0
    changes: list[tuple[float, list[dict[str, str]]]] = field(
        default_factory=list
    )

    async def handle(self, request: Request) -> Reply:
        del request
        visible = time.monotonic() - self.lag_ms / 1_000
        shown = [vms for at, vms in self.changes if at <= visible]
        first = self.changes[0][1] if self.changes else []
        return Reply({"vms": shown[-1] if shown else first})

    def set(self, vms: list[dict[str, str]]) -> None:
        self.changes.append((time.monotonic(), vms))


class ControlApp(HttpApp):
    """Lets a test set faults and read counts."""

    def __init__(self, store: StoreApp, vm_list: VmListApp) -> None:
        self._store = store
        self._vm_list = vm_list

    async def handle(self, request: Request) -> Reply:
        if request.path == "/faults":
            wanted = request.json()
            self._store.faults = Faults(**wanted)
            self._store.wake()
            return Reply({})
        if request.path == "/remember":
            self._store.past = {
                key: Entry(entry.value, entry.version)
                for key, entry in self._store.entries.items()
            }
            return Reply({})
        if request.path == "/vms":
            body = request.json()
            self._vm_list.lag_ms = body["lag_ms"]
            self._vm_list.set(body["vms"])
            return Reply({})
        return Reply(
            {
                "calls": dict(self._store.calls),
                "keys": sorted(self._store.entries),
            }
        )


async def run(store_port: int, vm_port: int, control_port: int) -> None:
    store = StoreApp()
    vm_list = VmListApp()
    control = ControlApp(store, vm_list)
    async with anyio.create_task_group() as group:
        await group.start(HttpServer(store, store_port).run)
        await group.start(HttpServer(vm_list, vm_port).run)
        await group.start(HttpServer(control, control_port).run)
        print("ready", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--store-port", type=int, required=True)
    parser.add_argument("--vm-port", type=int, required=True)
    parser.add_argument("--control-port", type=int, required=True)
    args = parser.parse_args()
    anyio.run(
        run,
        args.store_port,
        args.vm_port,
        args.control_port,
        backend_options={"use_uvloop": True},
    )


if __name__ == "__main__":
    main()
