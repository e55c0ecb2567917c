"""The data that the leaf stand-ins serve, and its truth."""

import xxhash

KEY_SPACE = 1_024
HITS_PER_SERVICE = 4


def hits(
    service: str, snapshot: int, text: str, low: int, high: int
) -> list[dict[str, object]]:
    """Returns the hits of a query among the keys [low, high)."""
    found = []
    for index in range(HITS_PER_SERVICE):
        name = f"{service}/{text}/{index}".encode()
        key = xxhash.xxh32_intdigest(name) % KEY_SPACE
        if low <= key < high:
            found.append(
                {
                    "service": service,
                    "key": key,
                    "index": index,
                    "text": text,
                    "snapshot": snapshot,
                }
            )
    return found
