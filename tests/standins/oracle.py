"""The truth that every answer is held against."""

from typing import Any

from tests.standins import dataset

Ranges = dict[str, dict[str, tuple[int, int]]]


def even_ranges(services: list[str], shards: list[str]) -> Ranges:
    """Returns the ranges of evenly split services, by service and shard."""
    step = dataset.KEY_SPACE / len(shards)
    edges = [round(step * i) for i in range(len(shards) + 1)]
    ranges = {shard: (edges[i], edges[i + 1]) for i, shard in enumerate(shards)}
    return dict.fromkeys(services, ranges)


def faults_of(
    answer: dict[str, Any], text: str, maps: dict[int, Ranges]
) -> list[str]:
    """Returns what is untrue in an answer; empty when all is true.

    `maps` gives the ranges of each shard by snapshot, service and shard. A
    missing shard "*" stands for a whole service whose map was not known.
    """
    snapshot = answer["snapshot"]
    coverage = answer["coverage"]
    if snapshot == 0:
        empty = not answer.get("hits") and coverage["fraction"] == 0
        return [] if empty else ["an answer without a snapshot has hits"]
    ranges = maps[snapshot]
    missing = {(m["service"], m["shard"]) for m in coverage["missing"]}
    faults = []
    truth: list[dict[str, object]] = []
    weight = 0.0
    count = 0
    for service, shards in ranges.items():
        if (service, "*") in missing:
            count += 1
            continue
        total = sum(high - low for low, high in shards.values())
        for shard, (low, high) in shards.items():
            count += 1
            if (service, shard) in missing:
                continue
            weight += (high - low) / total / len(ranges)
            truth += dataset.hits(service, snapshot, text, low, high)
    if count != coverage["shards"]:
        faults.append(f"{coverage['shards']} shards told, {count} are true")
    if abs(weight - coverage["fraction"]) > 1e-6:
        faults.append(f"coverage {coverage['fraction']}, {weight} is true")
    if not all(m["reason"] for m in coverage["missing"]):
        faults.append("a missing shard has no reason")
    if "hits" in answer and _sorted(answer["hits"]) != _sorted(truth):
        faults.append("the hits differ from the truth on what is covered")
    return faults


def _sorted(found: list[Any]) -> list[tuple[Any, ...]]:
    return sorted(tuple(sorted(hit.items())) for hit in found)
