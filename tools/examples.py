"""Writes the sample service files of both customers."""

import shutil
from pathlib import Path

import yaml

from tests.standins import layouts
from tests.standins.layouts import Group

_FOLDER = Path("examples")
_FIRST_PORT = 20_000
_CUSTOMERS: dict[str, tuple[tuple[Group, ...], tuple[str, ...]]] = {
    "druva-kredits": (layouts.DRUVA, layouts.ZONES["druva"]),
    "hooghly": (layouts.HOOGHLY, layouts.ZONES["hooghly"]),
}


def main() -> None:
    """Writes one file a service, in a folder a customer."""
    for customer, (groups, zones) in _CUSTOMERS.items():
        folder = _FOLDER / customer
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        placed = layouts.place(groups, _FIRST_PORT, zones)
        for name, file in layouts.service_files(placed).items():
            text = yaml.safe_dump(file, sort_keys=False)
            (folder / f"{name}.yaml").write_text(text)


if __name__ == "__main__":
    main()
