"""A planned stop of a node, as callers see it that use it until it is gone."""

import collections
import signal
from pathlib import Path

import anyio
import httpx
import pytest

from tests.standins.forward_site import HOST, Site, config, three_leafs

pytestmark = pytest.mark.anyio

CLIENTS = 8
WORK_S = 0.7
STOP_AFTER_S = 0.5
_NOT_RUN = frozenset({408, 421, 429, 503})


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Callers:
    """Callers with a connection each, that ask until they cannot connect."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._numbers = 0
        self.outcomes: dict[str, str] = {}

    async def ask_until_gone(self) -> None:
        async with httpx.AsyncClient(timeout=10) as client:
            while await self._ask(client):
                pass

    async def _ask(self, client: httpx.AsyncClient) -> bool:
        self._numbers += 1
        key = f"q{self._numbers}"
        url = self._site.url("e1", 0, "/order/1")
        headers = {"Host": HOST, "Request-Id": key}
        try:
            reply = await client.post(url, headers=headers)
        except httpx.ConnectError:
            return False
        except httpx.HTTPError as error:
            self.outcomes[key] = type(error).__name__
            return True
        self.outcomes[key] = (
            "not run"
            if reply.status_code in _NOT_RUN
            else str(reply.status_code)
        )
        if self.outcomes[key] == "not run":
            await anyio.sleep(0.02)
        return True


# Requests that may not be repeated were taken late in the grace and cut.
async def test_a_planned_stop_answers_everything_that_it_passed_on(
    tmp_path: Path,
) -> None:
    site = Site(tmp_path, three_leafs())
    await site.start()
    site.store.put("op/config", config(3))
    await site.started("e1")
    leaf = site.leafs[2]
    leaf.work_s = WORK_S
    callers = Callers(site)
    try:
        with anyio.fail_after(20):
            async with anyio.create_task_group() as group:
                for _ in range(CLIENTS):
                    group.start_soon(callers.ask_until_gone)
                await anyio.sleep(STOP_AFTER_S)
                site.nodes["e1"].send_signal(signal.SIGTERM)
        assert site.nodes["e1"].wait(10) == 0
    finally:
        await site.stop()
    ran = {
        (run.header(b"request-id") or b"").decode(): None for run in leaf.runs
    }
    unanswered = {
        key: callers.outcomes.get(key)
        for key in ran
        if callers.outcomes.get(key) != "200"
    }
    assert not unanswered
    assert len(ran) > 2 * CLIENTS
    assert collections.Counter(callers.outcomes.values())["not run"]
