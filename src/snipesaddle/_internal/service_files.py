"""Reads service files and validates them together."""

from dataclasses import dataclass
from pathlib import Path

import pydantic

from snipesaddle._internal import yaml_source
from snipesaddle._internal.errors import Finding, InvalidFilesError
from snipesaddle._internal.models.service_file import ServiceFile
from snipesaddle._internal.tables.config import ServiceSpec
from snipesaddle._internal.yaml_source import Document

_YAML_SUFFIXES = (".yaml", ".yml")


@dataclass(frozen=True, slots=True)
class ServiceSource:
    """A valid service file, with its document for positions in findings."""

    document: Document
    file: ServiceFile


def collect(paths: list[Path]) -> list[ServiceSpec]:
    """Returns the services in files and folders, validated together.

    Raises:
      InvalidFilesError: contains all findings in all files.
    """
    findings: list[Finding] = []
    sources: list[ServiceSource] = []
    for path in _list_files(paths, findings):
        source = _read_file(path, findings)
        if source is not None:
            sources.append(source)
    findings += _check_unique_names(sources)
    findings += _check_unique_addresses(sources)
    findings += _check_workloads(sources)
    if findings:
        findings.sort(key=lambda f: (f.path, f.line, f.column))
        raise InvalidFilesError.of(findings)
    return [source.file.to_spec() for source in sources]


def _list_files(paths: list[Path], findings: list[Finding]) -> list[Path]:
    files: list[Path] = []
    for path in paths:
        if path.is_dir():
            found = [p for p in path.rglob("*") if p.suffix in _YAML_SUFFIXES]
            files += sorted(found)
            if not found:
                message = "no service file (.yaml or .yml) in this folder"
                findings.append(Finding(str(path), 0, 0, message))
        else:
            files.append(path)
    return files


def _read_file(path: Path, findings: list[Finding]) -> ServiceSource | None:
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


def _check_unique_names(sources: list[ServiceSource]) -> list[Finding]:
    path_by_name: dict[str, str] = {}
    findings = []
    for source in sources:
        name = source.file.name
        if name in path_by_name:
            message = (
                f"name: service {name} is also defined in {path_by_name[name]};"
                " remove or rename one of them"
            )
            findings.append(source.document.finding_at(("name",), message))
        path_by_name.setdefault(name, source.document.path)
    return findings


def _check_unique_addresses(sources: list[ServiceSource]) -> list[Finding]:
    service_by_address: dict[str, str] = {}
    findings = []
    for source in sources:
        name = source.file.name
        for i, shard in enumerate(source.file.shards):
            for j, leaf in enumerate(shard.leaves):
                owner = service_by_address.setdefault(leaf.address, name)
                if owner == name:
                    continue
                message = (
                    f"address: leaf {leaf.address} already belongs to service"
                    f" {owner}; use another address"
                )
                path = ("shards", i, "leaves", j, "address")
                findings.append(source.document.finding_at(path, message))
    return findings


def _check_workloads(sources: list[ServiceSource]) -> list[Finding]:
    first_by_workload: dict[str, ServiceSource] = {}
    findings = []
    for source in sources:
        other = first_by_workload.setdefault(source.file.workload, source).file
        file = source.file
        if file.kind is not other.kind:
            message = (
                f"kind: differs from service {other.name} of the same workload;"
                " use the same kind"
            )
            findings.append(source.document.finding_at(("kind",), message))
        if file.class_ != other.class_:
            message = (
                f"class: differs from service {other.name} of the same"
                " workload; use the same class"
            )
            findings.append(source.document.finding_at(("class",), message))
    return findings
