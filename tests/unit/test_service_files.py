"""All faults of all files come in one pass, each with its place."""

from pathlib import Path

import pytest

from snipesaddle._internal import service_files, settings_file
from snipesaddle._internal.errors import InvalidFilesError

GOOD = """\
name: lookup-01
workload: lookup
kind: search
class: {tenant: druva, priority: 0}
shards:
  - name: s0
    leaves:
      - {address: "127.0.0.1:1", zone: a, slots: 2, connection_limit: 25}
"""


def findings(tmp_path: Path, **files: str) -> list[str]:
    for name, text in files.items():
        (tmp_path / f"{name}.yaml").write_text(text)
    with pytest.raises(InvalidFilesError) as caught:
        service_files.collect([tmp_path])
    return [
        str(found).removeprefix(f"{tmp_path}/")
        for found in caught.value.findings
    ]


def test_good_file_is_a_service(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_text(GOOD)
    [spec] = service_files.collect([tmp_path])
    assert spec.shards["s0"][0].connection_limit == 25


def test_all_faults_come_in_one_pass(tmp_path: Path) -> None:
    broken = GOOD.replace("kind: search", "kind: find").replace(
        "slots: 2", "slots: 30"
    )
    no_leaf = GOOD.replace("lookup-01", "lookup-02")
    no_leaf = no_leaf[: no_leaf.index("    leaves")] + "    leaves: []\n"
    unknown = GOOD.replace("lookup-01", "lookup-03") + "colour: red\n"
    found = findings(tmp_path, a=broken, b=no_leaf, c=unknown)
    assert found == [
        "a.yaml:3:1: kind: Input should be 'search' or 'execute'",
        "a.yaml:8:9: shards.0.leaves.0: 30 slots need as many connections,"
        " and the limit is 25; raise connection_limit",
        "b.yaml:7:5: shards.0.leaves: List should have at least 1 item after"
        " validation, not 0",
        "c.yaml:9:1: colour: Extra inputs are not permitted",
    ]


def test_bad_yaml_and_double_keys_have_places(tmp_path: Path) -> None:
    found = findings(tmp_path, a="name: [\n", b=GOOD + "kind: search\n")
    assert found[0].startswith("a.yaml:2:1: not valid YAML")
    assert found[1] == "b.yaml:9:1: kind: the key stands twice; keep one"


def test_files_are_checked_together(tmp_path: Path) -> None:
    other = GOOD.replace("lookup-01", "lookup-02").replace(
        "priority: 0", "priority: 1"
    )
    found = findings(tmp_path, a=GOOD, b=GOOD, c=other)
    assert found == [
        f"b.yaml:1:1: name: service lookup-01 stands in {tmp_path}/a.yaml too",
        "c.yaml:4:1: class: lookup-01 of the same workload differs",
        "c.yaml:8:10: address: leaf 127.0.0.1:1 belongs to service lookup-01",
    ]


def test_missing_file_is_a_finding(tmp_path: Path) -> None:
    with pytest.raises(InvalidFilesError) as caught:
        service_files.collect([tmp_path / "none.yaml"])
    assert "cannot be read" in str(caught.value.findings[0])


def test_settings_errors_name_the_key(tmp_path: Path) -> None:
    path = tmp_path / "node.yaml"
    path.write_text(
        "node: {name: e1, zone: a, http: 'localhost:1', peer: '127.0.0.1:2'}\n"
        "platform: {store: '127.0.0.1:3'}\n"
        "leafs: {}\n"
    )
    with pytest.raises(InvalidFilesError) as caught:
        settings_file.load(path)
    found = [str(f).removeprefix(f"{path}:") for f in caught.value.findings]
    assert found == [
        "1:27: node.http: write an IP number, not a host name",
        "2:1: platform.vm_list: Field required",
        "3:1: leafs: Extra inputs are not permitted",
    ]
