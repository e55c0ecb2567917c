"""Committed generated files match the output of their generators."""

import json
from pathlib import Path

import pytest

from snipesaddle._internal import service_files
from tools import openapi

ROOT = Path(__file__).parents[2]


def test_openapi_document_is_current() -> None:
    committed = json.loads((ROOT / "docs/openapi.json").read_text())
    assert committed == openapi.document()


@pytest.mark.parametrize(
    ("customer", "services", "leaves"),
    [("druva-kredits", 52, 108), ("hooghly", 52, 107)],
)
def test_samples_are_valid_and_complete(
    customer: str, services: int, leaves: int
) -> None:
    specs = service_files.collect([ROOT / "examples" / customer])
    assert len(specs) == services
    count = sum(len(ls) for spec in specs for ls in spec.shards.values())
    assert count == leaves
