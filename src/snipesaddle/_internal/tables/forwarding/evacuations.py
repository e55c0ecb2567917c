"""Availability zones whose endpoints are to get no requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """The operator's request to send nothing to the endpoints of a zone."""

    zone: str


@dataclass(slots=True)
class Evacuations:
    """The zones that are evacuated.

    Attributes:
      zones: those in the store, and those held.
      stored: those in the store.
      held: those that were evacuated before a restore of the store, for a time
        in which the operator can write them again.
      revision: the store revision as of which those in the store are known.
    """

    zones: frozenset[str] = frozenset()
    stored: frozenset[str] = frozenset()
    held: frozenset[str] = frozenset()
    revision: int = 0
