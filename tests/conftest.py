"""Profiles of generated tests, and tests that are known to fail.

The tests that KNOWN-RED.txt names may fail without failing the run.
"""

import os
from pathlib import Path

import pytest
from hypothesis import settings

# The same examples every time; `make fuzz` tries many others.
settings.register_profile(
    "ci", max_examples=100, derandomize=True, deadline=None, database=None
)
settings.register_profile(
    "long", max_examples=20_000, deadline=None, database=None
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

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
