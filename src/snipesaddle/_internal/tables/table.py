"""A generic table of rows by key that tracks changed rows."""

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)
RowT = TypeVar("RowT")


class Table(Generic[KeyT, RowT]):
    """Rows by key, with the set of rows changed since it was last taken."""

    def __init__(self) -> None:
        self._rows: dict[KeyT, RowT] = {}
        self._dirty: dict[KeyT, None] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def __contains__(self, key: KeyT) -> bool:
        return key in self._rows

    def __iter__(self) -> Iterator[RowT]:
        return iter(list(self._rows.values()))

    def __getitem__(self, key: KeyT) -> RowT:
        return self._rows[key]

    def get(self, key: KeyT) -> RowT | None:
        """Returns the row of a key, or None."""
        return self._rows.get(key)

    def put(self, key: KeyT, row: RowT) -> RowT:
        """Inserts or replaces a row and marks it dirty."""
        self._rows[key] = row
        self._dirty[key] = None
        return row

    def remove(self, key: KeyT) -> RowT | None:
        """Removes and returns the row of a key, or returns None."""
        self._dirty.pop(key, None)
        return self._rows.pop(key, None)

    def mark_dirty(self, key: KeyT) -> None:
        """Marks a row as dirty, if it exists."""
        if key in self._rows:
            self._dirty[key] = None

    def take_dirty(self) -> list[RowT]:
        """Returns and resets the set of dirty rows, in the order of marking."""
        if not self._dirty:
            return []
        keys, self._dirty = self._dirty, {}
        return [self._rows[key] for key in keys if key in self._rows]
