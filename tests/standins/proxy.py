"""A fault-injecting TCP proxy: many routes in one process."""

import argparse
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import SocketStream

from tests.standins.http_server import HttpApp, HttpServer, Reply, Request

_READ_BYTES = 65_536
_POLL_S = 0.01


class RouteSpec(msgspec.Struct):
    """A route and its faults.

    `cut` refuses and closes; `freeze` keeps connections and holds bytes;
    `drop_replies` forwards requests and swallows what comes back.
    """

    port: int
    target: int
    cut: bool = False
    freeze: bool = False
    drop_replies: bool = False
    delay_ms: float = 0.0


class ProxyFile(msgspec.Struct):
    control_port: int
    routes: list[RouteSpec]


@dataclass
class Route:
    spec: RouteSpec
    scopes: set[anyio.CancelScope] = field(default_factory=set)

    async def serve(self, caller: SocketStream) -> None:
        async with caller:
            if self.spec.cut:
                return
            try:
                target = await anyio.connect_tcp("127.0.0.1", self.spec.target)
            except OSError:
                return
            async with target:
                await self._join(caller, target)

    async def _join(self, caller: SocketStream, target: SocketStream) -> None:
        async with anyio.create_task_group() as group:
            self.scopes.add(group.cancel_scope)
            group.start_soon(self._pump, caller, target, False, group)
            group.start_soon(self._pump, target, caller, True, group)
        self.scopes.discard(group.cancel_scope)

    async def _pump(
        self, source: SocketStream, sink: SocketStream, back: bool, group: Any
    ) -> None:
        try:
            while True:
                data = await source.receive(_READ_BYTES)
                while self.spec.freeze:
                    await anyio.sleep(_POLL_S)
                if self.spec.delay_ms:
                    await anyio.sleep(self.spec.delay_ms / 1_000)
                if not (back and self.spec.drop_replies):
                    await sink.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            group.cancel_scope.cancel()

    async def run(
        self, *, task_status: Any = anyio.TASK_STATUS_IGNORED
    ) -> None:
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.spec.port, backlog=1_024
        )
        async with listener:
            task_status.started()
            await listener.serve(self.serve)


class ControlApp(HttpApp):
    def __init__(self, routes: dict[int, Route]) -> None:
        self._routes = routes

    async def handle(self, request: Request) -> Reply:
        for change in request.json():
            route = self._routes[change["port"]]
            content = msgspec.to_builtins(route.spec) | change["fields"]
            route.spec = msgspec.convert(content, RouteSpec)
            if route.spec.cut:
                for scope in list(route.scopes):
                    scope.cancel()
        return Reply({})


async def run(file: ProxyFile) -> None:
    routes = {spec.port: Route(spec) for spec in file.routes}
    async with anyio.create_task_group() as group:
        for route in routes.values():
            await group.start(route.run)
        await group.start(HttpServer(ControlApp(routes), file.control_port).run)
        print("ready", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--file", type=Path, required=True)
    args = parser.parse_args()
    file = msgspec.json.decode(args.file.read_bytes(), type=ProxyFile)
    anyio.run(run, file, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
