"""Draws rows of bench.tail: p99 by scenario and policy.

Usage: python -m bench.plot ROWS.jsonl PICTURE.png
"""

import json
import sys
from collections import defaultdict
from pathlib import Path
from statistics import median

import matplotlib as mpl

mpl.use("Agg")
import matplotlib.pyplot as plt

_POLICIES = ("round_robin", "random_hedged", "least_loaded", "adaptive")
_WIDTH = 0.2


def _medians(path: Path) -> dict[str, dict[str, float]]:
    found: dict[str, dict[str, list[float]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for line in path.read_text().splitlines():
        row = json.loads(line)
        found[row["scenario"]][row["policy"]].append(row["p99_ms"])
    return {
        scenario: {name: median(values) for name, values in rows.items()}
        for scenario, rows in found.items()
    }


def main() -> None:
    rows = _medians(Path(sys.argv[1]))
    figure, axes = plt.subplots(figsize=(11, 5))
    for i, policy in enumerate(_POLICIES):
        heights = [found.get(policy, 0.0) for found in rows.values()]
        places = [x + (i - 1.5) * _WIDTH for x in range(len(rows))]
        axes.bar(places, heights, _WIDTH, label=policy)
    axes.set_xticks(range(len(rows)), rows.keys(), rotation=35, ha="right")
    axes.set_ylabel("p99 of a query, ms (median of seeds)")
    axes.legend()
    figure.tight_layout()
    figure.savefig(sys.argv[2], dpi=90)


if __name__ == "__main__":
    main()
