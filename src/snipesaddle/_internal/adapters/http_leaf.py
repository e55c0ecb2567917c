"""Calls to leaves over HTTP/1.1, with one connection for each link."""

from collections.abc import Callable
from http import HTTPStatus

import httpcore
import msgspec

from snipesaddle._internal.adapters.http_client import (
    TRANSPORT_ERRORS,
    HttpConnection,
    HttpReply,
)
from snipesaddle._internal.adapters.leaf_messages import (
    ExecuteBody,
    HealthBody,
    ReplyBody,
    SearchBody,
)
from snipesaddle._internal.ports.leaf_transport import LeafTransport
from snipesaddle._internal.tables.commands import ExecuteCall, SearchCall
from snipesaddle._internal.tables.events import CallFinished, ProbeFinished
from snipesaddle._internal.tables.queries import CallResult

# Stands for the id of a call that this process did not make; ids start at 1.
_FOREIGN_CALL_ID = 0

Connect = Callable[[str], HttpConnection]


class HttpLeafTransport(LeafTransport):
    """Calls leaves; each link is one HTTP connection.

    On the wire, a call id is prefixed with the node's incarnation, because a
    leaf serves several nodes and each of them numbers its calls from 1.
    """

    def __init__(
        self, incarnation: str, connect: Connect = HttpConnection
    ) -> None:
        self._call_id_prefix = f"{incarnation}."
        self._connect = connect
        self._links: dict[int, HttpConnection] = {}
        self._encode = msgspec.json.Encoder().encode
        self._decode_reply = msgspec.json.Decoder(ReplyBody).decode
        self._decode_health = msgspec.json.Decoder(HealthBody).decode

    async def call(
        self, leaf_id: str, link_id: int, request: SearchCall | ExecuteCall
    ) -> CallFinished:
        path, content = self._encode_request(request)
        link = self._link(leaf_id, link_id)
        try:
            reply = await link.send("POST", path, content)
            return self._decode_call(leaf_id, link_id, request.call_id, reply)
        except httpcore.ConnectError as error:
            result, detail = CallResult.NOT_SENT, str(error)
        except (*TRANSPORT_ERRORS, msgspec.MsgspecError) as error:
            result, detail = CallResult.FAILED, str(error)
        await self.close(link_id)
        return CallFinished(
            call_id=request.call_id,
            leaf_id=leaf_id,
            link_id=link_id,
            result=result,
            link_usable=False,
            detail=detail,
        )

    async def probe(self, leaf_id: str, link_id: int) -> ProbeFinished:
        link = self._link(leaf_id, link_id)
        try:
            reply = await link.get("/v1/health")
            if reply.status != HTTPStatus.OK:
                return ProbeFinished(leaf_id, link_id, None, True)
            health = self._decode_health(reply.content).to_health()
            return ProbeFinished(leaf_id, link_id, health, True)
        except (*TRANSPORT_ERRORS, msgspec.MsgspecError):
            await self.close(link_id)
            return ProbeFinished(leaf_id, link_id, None, False)

    async def close(self, link_id: int) -> None:
        link = self._links.pop(link_id, None)
        if link is not None:
            await link.aclose()

    async def aclose(self) -> None:
        for link_id in list(self._links):
            await self.close(link_id)

    def _link(self, leaf_id: str, link_id: int) -> HttpConnection:
        link = self._links.get(link_id)
        if link is None:
            link = self._links[link_id] = self._connect(leaf_id)
        return link

    def _encode_request(
        self, request: SearchCall | ExecuteCall
    ) -> tuple[str, bytes]:
        wire_call_id = f"{self._call_id_prefix}{request.call_id}"
        if isinstance(request, ExecuteCall):
            body = ExecuteBody(
                wire_call_id, request.key, request.body, request.deadline_ms
            )
            return "/v1/execute", self._encode(body)
        search = SearchBody(
            wire_call_id,
            request.shard.shard,
            request.snapshot,
            request.query,
            request.deadline_ms,
        )
        return "/v1/search", self._encode(search)

    def _decode_call(
        self, leaf_id: str, link_id: int, call_id: int, reply: HttpReply
    ) -> CallFinished:
        body = self._decode_reply(reply.content)
        return CallFinished(
            call_id=call_id,
            leaf_id=leaf_id,
            link_id=link_id,
            result=_result_of(reply.status, body),
            reply_id=self._parse_call_id(body.call_id),
            reply_shard=body.shard,
            reply_snapshot=body.snapshot,
            hits=body.hits,
            execution_result=body.result,
            status=body.status(),
            detail=body.error,
        )

    def _parse_call_id(self, wire_call_id: str) -> int:
        suffix = wire_call_id.removeprefix(self._call_id_prefix)
        is_own = suffix != wire_call_id and suffix.isdigit()
        return int(suffix) if is_own else _FOREIGN_CALL_ID


def _result_of(status: int, body: ReplyBody) -> CallResult:
    if status == HTTPStatus.OK:
        return CallResult.ANSWERED
    if status == HTTPStatus.SERVICE_UNAVAILABLE and body.error == "not_run":
        return CallResult.REFUSED
    if status == HTTPStatus.CONFLICT and body.error == "snapshot_gone":
        return CallResult.SNAPSHOT_GONE
    return CallResult.FAILED
