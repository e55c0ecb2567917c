"""HTTP client of entry nodes, for the command-line tool."""

from typing import Any

import httpx

from snipesaddle._internal.errors import NodeUnavailableError

_TIMEOUT_S = 5.0


class NodeClient:
    """Sends requests to the first reachable one of the given entry nodes."""

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses
        self._client = httpx.AsyncClient(timeout=_TIMEOUT_S, trust_env=False)

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._client.aclose()

    async def request(
        self,
        method: str,
        path: str,
        body: object = None,
        headers: dict[str, str] | None = None,
    ) -> httpx.Response:
        """Sends a request to the first node that accepts a connection.

        Raises:
          NodeUnavailableError: no node accepted a connection.
          httpx.HTTPError: the connected node did not respond; the request may
            have taken effect.
        """
        for address in self.addresses:
            try:
                return await self._client.request(
                    method,
                    f"http://{address}{path}",
                    json=body,
                    headers=headers,
                )
            except (httpx.ConnectError, httpx.ConnectTimeout):
                continue
        raise NodeUnavailableError(self.addresses)

    async def statuses(self) -> list[dict[str, Any]]:
        """Returns the status of every serving or live node.

        The list of nodes comes from the first reachable node. A node that does
        not respond is listed with the fields `node` and `error` only.

        Raises:
          NodeUnavailableError: no node accepted a connection.
          httpx.HTTPError: the first node did not respond.
        """
        first = (await self.request("GET", "/v1/status")).json()
        addresses = [
            peer["address"]
            for peer in first["peers"]
            if peer["live"] or peer["state"] == "serving"
        ]
        found = [first]
        for address in addresses:
            found.append(await self._status_at(address))
        return found

    async def _status_at(self, address: str) -> dict[str, Any]:
        try:
            response = await self._client.get(f"http://{address}/v1/status")
            status: dict[str, Any] = response.json()
        except httpx.HTTPError as error:
            return {"node": address, "error": str(error) or "no answer"}
        return status
