"""Lets the tests that KNOWN-RED.txt names fail without failing the run."""

from pathlib import Path

import pytest

_KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Returns the test ids at the start of an entry's line."""
    lines = _KNOWN_RED.read_text().splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))
