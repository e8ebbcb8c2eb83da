"""Result files: one JSON object a line, a row for each case; resumable by the case's name."""

from __future__ import annotations

import json
import platform
import subprocess
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import psutil

from swiftwell.scale.cases import Case, key, kind_of


class ResultsError(ValueError):
    """A result file that can't be read; the text names file, line and what was expected."""


@dataclass(frozen=True, slots=True)
class Row:
    """One case as it was run."""

    build: str  # a name for the build: "before", "after"
    commit: str
    machine: str
    kind: str
    factors: dict[str, Any]
    values: dict[str, float]
    predicted: dict[str, float]  # of the largest size, written before it was run

    @property
    def key(self) -> str:
        """The case's name, with its build."""
        factors = ",".join(f"{name}={value}" for name, value in self.factors.items())
        return f"{self.build}/{self.kind}:{factors}"


def machine() -> str:
    """What the figures were measured on."""
    memory = psutil.virtual_memory().total / 2**30
    return f"{psutil.cpu_count()} cores, {memory:.0f} GiB, Python {platform.python_version()}"


def commit(root: str = ".") -> str:
    """The short name of the checkout's commit, with a plus where it was changed since."""
    try:
        name = subprocess.run(
            ["git", "describe", "--always", "--dirty=+"], cwd=root, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return name.stdout.strip()


def row(build: str, root: str, case: Case, values: dict[str, float], predicted: dict[str, float]) -> Row:
    """A row for a case that was run just now."""
    return Row(build, commit(root), machine(), kind_of(case), asdict(case), values, predicted)


def name(build: str, case: Case) -> str:
    """As `Row.key`."""
    return f"{build}/{key(case)}"


def append(file: Path, one: Row) -> None:
    """Add a row."""
    with file.open("a", encoding="utf-8") as out:
        out.write(json.dumps(asdict(one)) + "\n")


def read(file: Path) -> list[Row]:
    """All rows, none where there is no file; raises ResultsError."""
    return list(_rows(file)) if file.exists() else []


def _rows(file: Path) -> Iterator[Row]:
    for number, line in enumerate(file.read_text(encoding="utf-8").splitlines(), 1):
        try:
            yield Row(**json.loads(line))
        except (ValueError, TypeError) as error:
            raise ResultsError(f"{file}:{number}: {error}; expected a row of a scale run") from None
