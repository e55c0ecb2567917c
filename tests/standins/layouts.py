"""The customers' services, as service files and as leaf stand-ins."""

from dataclasses import dataclass, field
from typing import Any

from tests.standins.dataset import KEY_SPACE


@dataclass(frozen=True)
class Group:
    """Services of one workload that are alike."""

    workload: str
    tenant: str
    kind: str
    count: int
    leaves: int
    slots: int
    connection_limit: int
    setup_ms: float
    priority: int = 0
    budget_ms: int = 1_000
    coverage: dict[str, Any] = field(default_factory=dict)
    shards: int = 1

    def names(self) -> list[str]:
        if self.count == 1:
            return [self.workload]
        return [f"{self.workload}-{i:02d}" for i in range(1, self.count + 1)]


DRUVA = (
    Group("dealer-lookup", "druva-kredits", "search", 20, 2, 2, 25, 6),
    Group("repayment-ledger", "druva-kredits", "search", 30, 2, 2, 25, 6, 1),
    Group("document-archive", "druva-kredits", "search", 1, 4, 4, 110, 1, 1),
    Group("risk-review", "druva-kredits", "execute", 1, 4, 4, 110, 1, 2),
)
_COMPLETE_FIRST = {
    "min_coverage": 0.9,
    "when_late": "wait",
    "grace_ms": 500,
}
HOOGHLY = (
    Group(
        "estimator-quoting",
        "hooghly",
        "search",
        20,
        2,
        2,
        25,
        6,
        coverage=_COMPLETE_FIRST,
    ),
    Group("billing", "hooghly", "search", 30, 2, 2, 25, 6, 1),
    Group(
        "crew-checklist",
        "hooghly",
        "search",
        1,
        4,
        3,
        40,
        1,
        coverage=_COMPLETE_FIRST,
    ),
    Group("print-scheduling", "hooghly", "execute", 1, 3, 3, 40, 1, 2),
)
SMALL = (
    Group("lookup", "druva", "search", 4, 2, 2, 25, 0),
    Group("filing", "druva", "execute", 1, 2, 4, 110, 0),
)
ZONES = {
    "druva": ("riga-a", "riga-b", "riga-c", "riga-d"),
    "hooghly": ("kolkata-a", "kolkata-b", "kolkata-c"),
}


def even_shards(names: list[str]) -> list[dict[str, Any]]:
    """Splits the key space evenly over named shards."""
    step = KEY_SPACE / len(names)
    edges = [round(step * i) for i in range(len(names) + 1)]
    return [
        {"shard": name, "low": edges[i], "high": edges[i + 1]}
        for i, name in enumerate(names)
    ]


@dataclass
class Placement:
    """One leaf of one service, on a port."""

    service: str
    group: Group
    shard: str
    port: int
    zone: str


def place(
    groups: tuple[Group, ...], first_port: int, zones: tuple[str, ...]
) -> list[Placement]:
    """Gives each leaf of each service a port and a zone."""
    placed = []
    port = first_port
    for group in groups:
        for name in group.names():
            for s in range(group.shards):
                for i in range(group.leaves):
                    zone = zones[(port + i) % len(zones)]
                    placed.append(Placement(name, group, f"s{s}", port, zone))
                    port += 1
    return placed


def service_files(
    placed: list[Placement], address_of: Any = None
) -> dict[str, dict[str, Any]]:
    """Returns the content of each service's file, by service."""
    files: dict[str, dict[str, Any]] = {}
    for leaf in placed:
        port = address_of(leaf.port) if address_of else leaf.port
        file = files.setdefault(leaf.service, _file(leaf))
        shards = file["shards"]
        if not shards or shards[-1]["name"] != leaf.shard:
            shards.append({"name": leaf.shard, "leaves": []})
        shards[-1]["leaves"].append(
            {
                "address": f"127.0.0.1:{port}",
                "zone": leaf.zone,
                "slots": leaf.group.slots,
                "connection_limit": leaf.group.connection_limit,
            }
        )
    return files


def _file(leaf: Placement) -> dict[str, Any]:
    group = leaf.group
    file: dict[str, Any] = {
        "name": leaf.service,
        "workload": group.workload,
        "kind": group.kind,
        "class": {
            "tenant": group.tenant,
            "priority": group.priority,
            "latency_budget_ms": group.budget_ms,
        },
    }
    if group.coverage:
        file["coverage"] = dict(group.coverage)
    return file | {"shards": []}


def leaf_specs(placed: list[Placement], **fields: Any) -> list[dict[str, Any]]:
    """Returns the stand-in of each leaf, all at snapshot 1."""
    specs = []
    for leaf in placed:
        names = [f"s{i}" for i in range(leaf.group.shards)]
        shards = even_shards(names)
        held = [shard for shard in shards if shard["shard"] == leaf.shard]
        spec = {
            "port": leaf.port,
            "service": leaf.service,
            "slots": leaf.group.slots,
            "connection_limit": leaf.group.connection_limit,
            "setup_ms": leaf.group.setup_ms,
            "snapshots": [{"id": 1, "held": held, "shards": shards}],
        }
        specs.append(spec | fields)
    return specs
