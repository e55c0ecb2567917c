"""YAML with places: values for validation, and where each one stands."""

from dataclasses import dataclass
from typing import Any

import pydantic
import yaml

from snipesaddle._internal.errors import Finding

Place = tuple[int, int]
Path = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Document:
    """A YAML document with the place of each value and key.

    Attributes:
      places: line and column, from 1, by the path of the value.
    """

    path: str
    value: Any
    places: dict[Path, Place]
    findings: tuple[Finding, ...]

    def finding(self, path: Path, message: str) -> Finding:
        """Returns a finding at a path, or at its nearest parent."""
        while path not in self.places and path:
            path = path[:-1]
        line, column = self.places.get(path, (1, 1))
        return Finding(self.path, line, column, message)


def parse(path: str, text: str) -> Document:
    """Parses one YAML document; its faults come as findings."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        return _broken(path, error)
    if root is None:
        finding = Finding(path, 1, 1, "the file is empty; describe a service")
        return Document(path, None, {}, (finding,))
    reader = _Reader(path)
    reader.visit(root, ())
    value = None
    if not reader.findings:
        value = yaml.safe_load(text)
    return Document(path, value, reader.places, tuple(reader.findings))


def validation_findings(
    document: Document, error: pydantic.ValidationError
) -> list[Finding]:
    """Returns the faults that a model found, with their places."""
    findings = []
    for fault in error.errors():
        path = tuple(fault["loc"])
        name = ".".join(str(part) for part in path) or "the file"
        message = fault["msg"].removeprefix("Value error, ")
        findings.append(document.finding(path, f"{name}: {message}"))
    return findings


class _Reader:
    """Walks the nodes of a document and notes places and double keys."""

    def __init__(self, path: str) -> None:
        self._path = path
        self.places: dict[Path, Place] = {}
        self.findings: list[Finding] = []

    def visit(self, node: yaml.Node, path: Path) -> None:
        """Notes the place of a node and of all below it."""
        self.places.setdefault(path, _place(node))
        if isinstance(node, yaml.MappingNode):
            self._visit_mapping(node, path)
        elif isinstance(node, yaml.SequenceNode):
            for index, item in enumerate(node.value):
                self.visit(item, (*path, index))

    def _visit_mapping(self, node: yaml.MappingNode, path: Path) -> None:
        seen: set[str] = set()
        for key_node, value_node in node.value:
            key = str(key_node.value)
            line, column = _place(key_node)
            if key in seen:
                message = f"{key}: the key stands twice; keep one"
                self.findings.append(Finding(self._path, line, column, message))
            seen.add(key)
            self.places[(*path, key)] = (line, column)
            self.visit(value_node, (*path, key))


def _place(node: yaml.Node) -> Place:
    return node.start_mark.line + 1, node.start_mark.column + 1


def _broken(path: str, error: yaml.MarkedYAMLError) -> Document:
    mark = error.problem_mark
    line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
    message = f"not valid YAML: {error.problem or error.context}"
    finding = Finding(path, line, column, message)
    return Document(path, None, {}, (finding,))
