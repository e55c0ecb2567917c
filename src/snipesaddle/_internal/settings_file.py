"""Reads the daemon's settings file."""

from pathlib import Path

import pydantic

from snipesaddle._internal import yaml_source
from snipesaddle._internal.errors import Finding, InvalidFilesError
from snipesaddle._internal.models.settings import Settings


def load(path: Path) -> Settings:
    """Returns the settings in a file.

    Raises:
      InvalidFilesError: contains all findings in the file.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding(str(path), 1, 1, f"cannot be read: {error}")
        raise InvalidFilesError.of([finding]) from None
    document = yaml_source.parse(str(path), text)
    if document.findings:
        raise InvalidFilesError.of(list(document.findings))
    try:
        return Settings.model_validate(document.value)
    except pydantic.ValidationError as error:
        findings = yaml_source.validation_findings(document, error)
        raise InvalidFilesError.of(findings) from None
