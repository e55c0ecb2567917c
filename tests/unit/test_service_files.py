"""Validation reports all findings in all files, each with its position."""

from pathlib import Path

import pytest

from snipesaddle._internal import service_files, settings_file
from snipesaddle._internal.errors import InvalidFilesError

VALID_FILE = """\
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


def test_valid_file_becomes_a_service(tmp_path: Path) -> None:
    (tmp_path / "a.yaml").write_text(VALID_FILE)
    [spec] = service_files.collect([tmp_path])
    assert spec.shards["s0"][0].connection_limit == 25


def test_all_findings_are_reported_together(tmp_path: Path) -> None:
    broken = VALID_FILE.replace("kind: search", "kind: find").replace(
        "slots: 2", "slots: 30"
    )
    no_leaf = VALID_FILE.replace("lookup-01", "lookup-02")
    no_leaf = no_leaf[: no_leaf.index("    leaves")] + "    leaves: []\n"
    unknown = VALID_FILE.replace("lookup-01", "lookup-03") + "colour: red\n"
    found = findings(tmp_path, a=broken, b=no_leaf, c=unknown)
    assert found == [
        "a.yaml:3:1: kind: Input should be 'search' or 'execute'",
        "a.yaml:8:9: shards.0.leaves.0: 30 slots require as many connections,"
        " but the limit is 25; raise connection_limit",
        "b.yaml:7:5: shards.0.leaves: List should have at least 1 item after"
        " validation, not 0",
        "c.yaml:9:1: colour: Extra inputs are not permitted",
    ]


def test_invalid_yaml_and_duplicate_keys_have_positions(tmp_path: Path) -> None:
    found = findings(tmp_path, a="name: [\n", b=VALID_FILE + "kind: search\n")
    assert found[0].startswith("a.yaml:2:1: not valid YAML")
    assert found[1] == (
        "b.yaml:9:1: kind: duplicate key; remove one of the entries"
    )


def test_files_are_validated_together(tmp_path: Path) -> None:
    other = VALID_FILE.replace("lookup-01", "lookup-02").replace(
        "priority: 0", "priority: 1"
    )
    found = findings(tmp_path, a=VALID_FILE, b=VALID_FILE, c=other)
    assert found == [
        "b.yaml:1:1: name: service lookup-01 is also defined in"
        f" {tmp_path}/a.yaml; remove or rename one of them",
        "c.yaml:4:1: class: differs from service lookup-01 of the same"
        " workload; use the same class",
        "c.yaml:8:10: address: leaf 127.0.0.1:1 already belongs to service"
        " lookup-01; use another address",
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
        "1:27: node.http: use an IP address instead of a host name",
        "2:1: platform.vm_list: Field required",
        "3:1: leafs: Extra inputs are not permitted",
    ]
