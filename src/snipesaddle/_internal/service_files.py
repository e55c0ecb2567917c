"""Collects service files and checks them together."""

from dataclasses import dataclass
from pathlib import Path

import pydantic

from snipesaddle._internal import yaml_source
from snipesaddle._internal.errors import Finding, InvalidFilesError
from snipesaddle._internal.models.service_file import ServiceFile
from snipesaddle._internal.tables.config import ServiceSpec
from snipesaddle._internal.yaml_source import Document

_SUFFIXES = (".yaml", ".yml")


@dataclass(frozen=True, slots=True)
class ServiceSource:
    """A checked service file with its document, for places."""

    document: Document
    file: ServiceFile


def collect(paths: list[Path]) -> list[ServiceSpec]:
    """Returns the services of files and folders, checked together.

    Raises:
      InvalidFilesError: with every fault of every file and its place.
    """
    findings: list[Finding] = []
    sources: list[ServiceSource] = []
    for path in _expand(paths, findings):
        source = _read(path, findings)
        if source is not None:
            sources.append(source)
    findings += _check_names(sources)
    findings += _check_addresses(sources)
    findings += _check_workloads(sources)
    if findings:
        findings.sort(key=lambda f: (f.path, f.line, f.column))
        raise InvalidFilesError.of(findings)
    return [source.file.to_spec() for source in sources]


def _expand(paths: list[Path], findings: list[Finding]) -> list[Path]:
    files: list[Path] = []
    for path in paths:
        if path.is_dir():
            found = [p for p in path.rglob("*") if p.suffix in _SUFFIXES]
            files += sorted(found)
            if not found:
                message = "no service file (.yaml) in this folder"
                findings.append(Finding(str(path), 0, 0, message))
        else:
            files.append(path)
    return files


def _read(path: Path, findings: list[Finding]) -> ServiceSource | None:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        findings.append(Finding(str(path), 0, 0, f"cannot be read: {error}"))
        return None
    document = yaml_source.parse(str(path), text)
    findings.extend(document.findings)
    if document.findings:
        return None
    try:
        file = ServiceFile.model_validate(document.value)
    except pydantic.ValidationError as error:
        findings += yaml_source.validation_findings(document, error)
        return None
    return ServiceSource(document, file)


def _check_names(sources: list[ServiceSource]) -> list[Finding]:
    first: dict[str, str] = {}
    findings = []
    for source in sources:
        name = source.file.name
        if name in first:
            message = f"name: service {name} stands in {first[name]} too"
            findings.append(source.document.finding(("name",), message))
        first.setdefault(name, source.document.path)
    return findings


def _check_addresses(sources: list[ServiceSource]) -> list[Finding]:
    first: dict[str, str] = {}
    findings = []
    for source in sources:
        name = source.file.name
        for i, shard in enumerate(source.file.shards):
            for j, leaf in enumerate(shard.leaves):
                owner = first.setdefault(leaf.address, name)
                if owner == name:
                    continue
                message = (
                    f"address: leaf {leaf.address} belongs to service {owner}"
                )
                path = ("shards", i, "leaves", j, "address")
                findings.append(source.document.finding(path, message))
    return findings


def _check_workloads(sources: list[ServiceSource]) -> list[Finding]:
    first: dict[str, ServiceSource] = {}
    findings = []
    for source in sources:
        other = first.setdefault(source.file.workload, source).file
        file = source.file
        if file.kind is not other.kind:
            message = f"kind: {other.name} of the same workload differs"
            findings.append(source.document.finding(("kind",), message))
        if file.class_ != other.class_:
            message = f"class: {other.name} of the same workload differs"
            findings.append(source.document.finding(("class",), message))
    return findings
