"""Asks a node of the forwarding tier where it would send a request."""

from typing import Any

import httpx

_TIMEOUT_S = 5.0
_PATH = "/explain"


async def explain_route(
    metrics_address: str, query: dict[str, str | int]
) -> dict[str, Any]:
    """Returns the explanation of a node.

    Args:
      metrics_address: the metrics address of the node, as IP:PORT.
      query: the fields of the query (`ExplainQuery`).

    Raises:
      ValueError: the node does not accept the query.
      httpx.HTTPError: the node did not answer, or with an unexpected status.
    """
    async with httpx.AsyncClient(timeout=_TIMEOUT_S, trust_env=False) as client:
        url = f"http://{metrics_address}{_PATH}"
        response = await client.get(url, params=query)
    body: dict[str, Any] = response.json() if response.content else {}
    if response.status_code == httpx.codes.BAD_REQUEST:
        raise ValueError(body.get("error", "bad request"))
    response.raise_for_status()
    return body


def as_text(explanation: dict[str, Any]) -> str:
    """Returns an explanation as lines of text."""
    route = explanation["route"] or "none"
    lines = [f"route {route} of configuration {explanation['config_version']}"]
    if explanation["needs_tenant"]:
        lines.append("needs the API key of a tenant")
    if explanation["refusal"]:
        wait_ms = explanation["retry_after_ms"]
        lines.append(
            f"refused: {explanation['refusal']}, retry after {wait_ms} ms"
        )
    else:
        lines.append(f"expected work: {explanation['expected_ms']} ms a part")
    for part in explanation["parts"]:
        lines.extend(_part_lines(part))
    return "\n".join(lines)


def _part_lines(part: dict[str, Any]) -> list[str]:
    head = f"{part['service']}: {part['state']}"
    if part["endpoint"]:
        head += f" at {part['endpoint']}"
    if part["cause"] != "none":
        head += f", {part['cause']}"
    lines = [head]
    for candidate in part["candidates"]:
        components = ", ".join(
            f"{name} {value}"
            for name, value in candidate["components_ms"].items()
        )
        line = (
            f"  {candidate['endpoint']} (zone {candidate['zone']}):"
            f" {candidate['cost_ms']} ms = {components}"
        )
        if candidate["why_not"]:
            line += f"; not used: {', '.join(candidate['why_not'])}"
        lines.append(line)
    return lines
