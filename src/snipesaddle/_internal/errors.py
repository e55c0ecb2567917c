"""Errors and findings; each error message says what to do next."""

from dataclasses import dataclass


class SnipesaddleError(Exception):
    """Base class of the errors that this package raises."""


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem in a file, with its position.

    Attributes:
      path: the file or folder.
      line: the line, from 1; 0 if the finding concerns the whole file.
      column: the column, from 1; 0 if the finding concerns the whole file.
      message: what is wrong.
    """

    path: str
    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"{self.path}:{self.line}:{self.column}: {self.message}"


class FindingError(SnipesaddleError):
    """A single finding as an exception, for use in InvalidFilesError."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class InvalidFilesError(ExceptionGroup[FindingError]):
    """All findings of one check, raised together."""

    @classmethod
    def of(cls, findings: list[Finding]) -> "InvalidFilesError":
        """Builds the group from a non-empty list of findings."""
        return cls(
            "the files are invalid; correct each finding and check them again",
            [FindingError(finding) for finding in findings],
        )

    def derive(self, excs):  # type: ignore[no-untyped-def]
        """Returns a group of this type for a part of the exceptions."""
        return InvalidFilesError(self.message, excs)

    @property
    def findings(self) -> list[Finding]:
        """Returns the findings in the order in which they were given."""
        return [error.finding for error in self.exceptions]  # type: ignore[union-attr]


class SettingsError(SnipesaddleError):
    """A settings file cannot be used; the message names the field."""


class StoreUnavailableError(SnipesaddleError):
    """The store did not answer; a write may or may not have taken effect."""

    def __init__(self, cause: str) -> None:
        super().__init__(
            f"the store did not answer ({cause}); retry when it is available"
        )


class PublishConflictError(SnipesaddleError):
    """Another publish changed the same services."""

    def __init__(
        self, publisher: str, publish_id: str, services: list[str]
    ) -> None:
        names = ", ".join(services)
        super().__init__(
            f"{publisher} published {names} in the meantime (publish"
            f" {publish_id}); nothing was written: run 'snipesaddle diff',"
            " merge the changes and publish again"
        )
        self.publisher = publisher
        self.services = services


class PublishOutcomeUnknownError(SnipesaddleError):
    """It is not known whether a publish took effect."""

    def __init__(self, publish_id: str) -> None:
        super().__init__(
            f"publish {publish_id} may have taken effect, as the store did not"
            " answer; check with 'snipesaddle config history --find"
            f" {publish_id}'"
        )
        self.publish_id = publish_id


class NodeUnavailableError(SnipesaddleError):
    """None of the entry nodes answered."""

    def __init__(self, addresses: list[str]) -> None:
        super().__init__(
            f"no entry node answered at {', '.join(addresses)}; check the"
            " addresses given with --node, and the nodes with 'snipesaddle"
            " status'"
        )
