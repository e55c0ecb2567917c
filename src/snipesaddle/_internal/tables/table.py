"""The generic table: rows by key, with the set of rows changed lately."""

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)
RowT = TypeVar("RowT")


class Table(Generic[KeyT, RowT]):
    """Rows by key; systems read only the rows marked dirty."""

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
        """Removes a row, if there is one, and returns it."""
        self._dirty.pop(key, None)
        return self._rows.pop(key, None)

    def mark_dirty(self, key: KeyT) -> None:
        """Marks a row as changed."""
        if key in self._rows:
            self._dirty[key] = None

    def take_dirty(self) -> list[RowT]:
        """Returns the rows marked since the last call."""
        if not self._dirty:
            return []
        keys, self._dirty = self._dirty, {}
        return [self._rows[key] for key in keys if key in self._rows]
