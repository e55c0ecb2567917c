"""Rendezvous (highest random weight) hashing over entry nodes.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates" (1998).
"""

from collections.abc import Iterable

import xxhash


def weight(node_id: str, key: str) -> int:
    """Returns the 64-bit weight of a node for a key."""
    return xxhash.xxh3_64_intdigest(f"{node_id}\0{key}".encode())


def ranked(node_ids: Iterable[str], key: str, count: int) -> list[str]:
    """Returns the `count` nodes of highest weight for a key, heaviest first."""
    order = sorted(
        node_ids, key=lambda node_id: weight(node_id, key), reverse=True
    )
    return order[:count]
