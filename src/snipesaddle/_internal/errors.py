"""Errors and findings; each message says what to do next."""

from dataclasses import dataclass


class SnipesaddleError(Exception):
    """Base class of the errors that this package raises."""


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault in a file, with its place.

    Attributes:
      line: counted from 1; 0 when the whole file is meant.
      column: counted from 1.
    """

    path: str
    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"{self.path}:{self.line}:{self.column}: {self.message}"


class FindingError(SnipesaddleError):
    """A single finding as an error, for use in a group."""

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class InvalidFilesError(ExceptionGroup[FindingError]):
    """All findings of one check, reported together."""

    @classmethod
    def of(cls, findings: list[Finding]) -> "InvalidFilesError":
        """Builds the group from a non-empty list of findings."""
        return cls(
            "the files have faults; mend each place and run check again",
            [FindingError(finding) for finding in findings],
        )

    def derive(self, excs):  # type: ignore[no-untyped-def]
        """Keeps the type when the group is split."""
        return InvalidFilesError(self.message, excs)

    @property
    def findings(self) -> list[Finding]:
        """Returns the findings in the order of their places."""
        return [error.finding for error in self.exceptions]  # type: ignore[union-attr]


class SettingsError(SnipesaddleError):
    """A settings file cannot be used; the message names the field."""


class StoreUnavailableError(SnipesaddleError):
    """The store did not answer; whether a write took effect is not known."""

    def __init__(self, cause: str) -> None:
        super().__init__(
            f"the store did not answer ({cause}); try again when it is back"
        )


class PublishConflictError(SnipesaddleError):
    """Another publish changed the same services."""

    def __init__(
        self, publisher: str, publish_id: str, services: list[str]
    ) -> None:
        names = ", ".join(services)
        super().__init__(
            f"{publisher} published {names} meanwhile (publish {publish_id});"
            " nothing was written: run 'snipesaddle diff', merge, publish again"
        )
        self.publisher = publisher
        self.services = services


class PublishOutcomeUnknownError(SnipesaddleError):
    """The fate of a publish could not be read back."""

    def __init__(self, publish_id: str) -> None:
        super().__init__(
            f"publish {publish_id} may have taken effect: the store did not"
            f" answer; run 'snipesaddle config history --find {publish_id}'"
        )
        self.publish_id = publish_id


class NodeUnavailableError(SnipesaddleError):
    """No entry node answered."""

    def __init__(self, addresses: list[str]) -> None:
        super().__init__(
            f"no entry node answered at {', '.join(addresses)}; check the"
            " addresses with --node and the nodes with 'snipesaddle status'"
        )
