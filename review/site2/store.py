"""A stand-in of the platform's store: keys, ranges, watches and leases.

It listens on an address for each machine that it shall tell apart, and can
turn one machine away while it serves the others. It can be away and come back
from an older copy of itself.
"""

import asyncio
import base64
import copy
import itertools
import json
from urllib.parse import parse_qs

from site2.http import Message, Reply, Server

_PAGE_ITEMS = 500


class Store:
    """Keeps all history; answers are linearizable."""

    def __init__(self) -> None:
        self.server = Server(self._answer)
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 1
        self._changed = asyncio.Event()
        self._lease_ids = itertools.count(11)
        self._leases: dict[int, tuple[float, float]] = {}
        self._sweeper: asyncio.Task | None = None
        self._machines: dict[str, Server] = {}
        self.refused: set[str] = set()
        self.renewed_s: dict[int, float] = {}
        self.era = 0
        self.is_away = False

    async def address_for(self, machine: str) -> str:
        """Returns the address at which a machine calls the store."""
        if machine not in self._machines:

            async def handle(request: Message) -> Reply | None:
                if machine in self.refused:
                    return _json(503, {})
                reply = await self._answer(request)
                # A watch that was waiting when the refusals began.
                return _json(503, {}) if machine in self.refused else reply

            self._machines[machine] = Server(handle)
            await self._machines[machine].start()
        return self._machines[machine].address

    def lease_of(self, key: str) -> int:
        """Returns the lease of a key, 0 for none."""
        return self.items.get(key, {}).get("lease", 0)

    async def start(self) -> None:
        await self.server.start()
        self._sweeper = asyncio.ensure_future(self._expire_leases())

    def stop(self) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()
        for server in (self.server, *self._machines.values()):
            server.stop()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._tell(item)

    def put_json(self, key: str, value: object) -> None:
        self.put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            gone = {"key": key, "revision": self.revision, "removed": True}
            self._tell(gone)

    def _tell(self, event: dict) -> None:
        self.history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def copy(self) -> tuple:
        """Returns a copy of all that it holds."""
        held = (self.items, self.history, self.revision, self._leases)
        return copy.deepcopy(held)

    def restore(self, held: tuple) -> None:
        """Comes back from a copy; leases run on from now."""
        self.items, self.history, self.revision, leases = copy.deepcopy(held)
        self._leases = {}
        for lease, (_, ttl_s) in leases.items():
            self._renew(lease, ttl_s)
        self.era += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _answer(self, request: Message) -> Reply | None:
        era = self.era
        reply = None if self.is_away else await self._handle(request)
        if reply is None or era != self.era:
            # A watch from before a restore continues from another history.
            reply = _json(503 if self.is_away else 410, {})
        if self.era:
            reply[1].append(("Store-Era", str(self.era)))
        return reply

    async def _handle(self, request: Message) -> Reply | None:
        path, _, query = request.target.partition("?")
        fields = {key: found[0] for key, found in parse_qs(query).items()}
        verb, _, rest = path.removeprefix("/snipesaddle/").partition("/")
        if verb == "kv-key":
            item = self.items.get(fields.get("key", ""))
            found = {**(item or {}), "store_revision": self.revision}
            return _json(200 if item else 404, found)
        if verb == "kv-range":
            return _json(200, self._range(fields))
        if verb == "kv-watch":
            if int(fields["after"]) > self.revision:
                return _json(410, {})
            return _json(200, await self._watch(fields))
        if verb == "kv-txn":
            return self._txn(json.loads(request.body))
        if verb == "kv-lease":
            ttl_ms = json.loads(request.body)["ttl_ms"]
            lease = next(self._lease_ids)
            self._renew(lease, ttl_ms / 1_000)
            return _json(200, {"lease": lease, "ttl_ms": ttl_ms})
        if verb == "kv-keep" and int(rest) in self._leases:
            ttl_s = self._leases[int(rest)][1]
            self._renew(int(rest), ttl_s)
            return _json(200, {"ttl_ms": int(ttl_s * 1_000)})
        if verb == "kv-lease-end" and int(rest) in self._leases:
            self._end(int(rest))
            return _json(200, {})
        return _json(404, {})

    def _range(self, fields: dict[str, str]) -> dict:
        after = fields.get("after", "")
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(fields["prefix"]) and key > after
        ]
        return {
            "items": found[:_PAGE_ITEMS],
            "has_more": len(found) > _PAGE_ITEMS,
            "store_revision": self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> dict:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(fields["wait_ms"]) / 1_000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > int(fields["after"])
                and event["key"].startswith(fields["prefix"])
            ]
            left_s = until_s - loop.time()
            if events or left_s <= 0:
                return {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _txn(self, body: dict) -> Reply:
        for row in body.get("expected_revision", []):
            item = self.items.get(row["key"], {})
            if item.get("revision", 0) != row["revision"]:
                return _json(412, {"items": [item] if item else []})
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self._leases:
                return _json(404, {})
        for put in body.get("puts", []):
            content = base64.b64decode(put["value"])
            self.put(put["key"], content, put.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return _json(200, {"revision": self.revision})

    def _renew(self, lease: int, ttl_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        self._leases[lease] = (now_s + ttl_s, ttl_s)
        self.renewed_s[lease] = now_s

    def _end(self, lease: int) -> None:
        del self._leases[lease]
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.delete(key)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now_s = asyncio.get_running_loop().time()
            for lease, (until_s, _) in list(self._leases.items()):
                if until_s < now_s:
                    self._end(lease)


def _json(status: int, value: object) -> Reply:
    body = json.dumps(value).encode()
    return status, [("Content-Type", "application/json")], body
