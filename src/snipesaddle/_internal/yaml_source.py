"""Parses YAML and records the position of each value."""

from dataclasses import dataclass
from typing import Any

import pydantic
import yaml

from snipesaddle._internal.errors import Finding

Position = tuple[int, int]
KeyPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class Document:
    """A YAML document, with the position of each value and key.

    Attributes:
      path: path of the file.
      value: the parsed document; None if there are findings.
      positions: line and column, from 1, by key path.
      findings: syntax errors and duplicate keys.
    """

    path: str
    value: Any
    positions: dict[KeyPath, Position]
    findings: tuple[Finding, ...]

    def finding_at(self, path: KeyPath, message: str) -> Finding:
        """Returns a finding at a key path, or at its nearest known parent."""
        while path not in self.positions and path:
            path = path[:-1]
        line, column = self.positions.get(path, (1, 1))
        return Finding(self.path, line, column, message)


def parse(path: str, text: str) -> Document:
    """Parses one YAML document; errors are returned as findings."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        return _invalid_document(path, error)
    if root is None:
        finding = Finding(
            path, 1, 1, "the file is empty; add the required keys"
        )
        return Document(path, None, {}, (finding,))
    reader = _PositionReader(path)
    reader.visit(root, ())
    value = None
    if not reader.findings:
        value = yaml.safe_load(text)
    return Document(path, value, reader.positions, tuple(reader.findings))


def validation_findings(
    document: Document, error: pydantic.ValidationError
) -> list[Finding]:
    """Returns the errors of a model's validation as findings."""
    findings = []
    for fault in error.errors():
        path = tuple(fault["loc"])
        name = ".".join(str(part) for part in path) or "the file"
        message = fault["msg"].removeprefix("Value error, ")
        findings.append(document.finding_at(path, f"{name}: {message}"))
    return findings


class _PositionReader:
    """Visits a document's nodes; records positions and duplicate keys."""

    def __init__(self, path: str) -> None:
        self._path = path
        self.positions: dict[KeyPath, Position] = {}
        self.findings: list[Finding] = []

    def visit(self, node: yaml.Node, path: KeyPath) -> None:
        """Records the positions of a node and of its descendants."""
        self.positions.setdefault(path, _position_of(node))
        if isinstance(node, yaml.MappingNode):
            self._visit_mapping(node, path)
        elif isinstance(node, yaml.SequenceNode):
            for index, item in enumerate(node.value):
                self.visit(item, (*path, index))

    def _visit_mapping(self, node: yaml.MappingNode, path: KeyPath) -> None:
        seen: set[str] = set()
        for key_node, value_node in node.value:
            key = str(key_node.value)
            line, column = _position_of(key_node)
            if key in seen:
                message = f"{key}: duplicate key; remove one of the entries"
                self.findings.append(Finding(self._path, line, column, message))
            seen.add(key)
            self.positions[(*path, key)] = (line, column)
            self.visit(value_node, (*path, key))


def _position_of(node: yaml.Node) -> Position:
    return node.start_mark.line + 1, node.start_mark.column + 1


def _invalid_document(path: str, error: yaml.MarkedYAMLError) -> Document:
    mark = error.problem_mark
    line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
    message = f"not valid YAML: {error.problem or error.context}"
    finding = Finding(path, line, column, message)
    return Document(path, None, {}, (finding,))
