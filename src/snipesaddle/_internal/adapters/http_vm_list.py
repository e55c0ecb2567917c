"""Client of the platform's VM list over HTTP."""

from http import HTTPStatus

import anyio
import msgspec

from snipesaddle._internal.adapters.http_client import (
    TRANSPORT_ERRORS,
    HttpConnection,
)
from snipesaddle._internal.models.settings import PlatformSettings
from snipesaddle._internal.ports.vm_list import VmList
from snipesaddle._internal.tables.events import VmEntry, VmListRead
from snipesaddle._internal.tables.nodes import NodeState

_ENTRY_ROLE = "entry"
_LEAVING_STATE = "leaving"


class _VmBody(msgspec.Struct):
    name: str
    role: str
    state: str
    http: str
    zone: str = ""
    peer: str = ""


class _VmListBody(msgspec.Struct):
    vms: list[_VmBody]


class HttpVmList(VmList):
    """Reads the list over one connection, reopened after a failure."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._address = settings.vm_list
        self._timeout_s = settings.store_timeout_ms / 1_000
        self._connection = HttpConnection(self._address)

    async def read(self) -> VmListRead:
        try:
            with anyio.fail_after(self._timeout_s):
                reply = await self._connection.get("/v1/vms")
            if reply.status != HTTPStatus.OK:
                return VmListRead(None)
            body = msgspec.json.decode(reply.content, type=_VmListBody)
        except (TimeoutError, *TRANSPORT_ERRORS, msgspec.MsgspecError):
            await self._connection.aclose()
            self._connection = HttpConnection(self._address)
            return VmListRead(None)
        return VmListRead(
            nodes=tuple(
                _to_entry(vm) for vm in body.vms if vm.role == _ENTRY_ROLE
            ),
            leaving_leaves=tuple(
                vm.http
                for vm in body.vms
                if vm.role != _ENTRY_ROLE and vm.state == _LEAVING_STATE
            ),
        )

    async def aclose(self) -> None:
        await self._connection.aclose()


def _to_entry(vm: _VmBody) -> VmEntry:
    leaving = vm.state == _LEAVING_STATE
    state = NodeState.LEAVING if leaving else NodeState.SERVING
    return VmEntry(vm.name, vm.http, vm.peer, vm.zone, state)
