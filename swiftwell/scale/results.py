"""Result files: one JSON object per line, a row per case; a run resumes after the cases that have a row."""

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
    """A result file that cannot be read; the message names the file, the line and the expected content."""


@dataclass(frozen=True, slots=True)
class Row:
    """The result of one case."""

    build: str  # name of the measured build, e.g. "before" or "after"
    commit: str
    machine: str
    kind: str
    factors: dict[str, Any]
    values: dict[str, float]
    predicted: dict[str, float]  # prediction for a large size, made before the run

    @property
    def key(self) -> str:
        """Return the key of the row: build, kind and factors."""
        factors = ",".join(f"{factor}={value}" for factor, value in self.factors.items())
        return f"{self.build}/{self.kind}:{factors}"


def machine() -> str:
    """Describe the machine of the measurement."""
    memory = psutil.virtual_memory().total / 2**30
    return f"{psutil.cpu_count()} cores, {memory:.0f} GiB, Python {platform.python_version()}"


def commit(root: str = ".") -> str:
    """Return the short commit ID of the checkout, with a plus if it has uncommitted changes."""
    try:
        description = subprocess.run(
            ["git", "describe", "--always", "--dirty=+"], cwd=root, capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return description.stdout.strip()


def row(build: str, root: str, case: Case, values: dict[str, float], predicted: dict[str, float]) -> Row:
    """Return a row for a case that was just run."""
    return Row(build, commit(root), machine(), kind_of(case), asdict(case), values, predicted)


def row_key(build: str, case: Case) -> str:
    """Return the `Row.key` that the case has in a build."""
    return f"{build}/{key(case)}"


def append(file: Path, new_row: Row) -> None:
    """Append a row to a result file."""
    with file.open("a", encoding="utf-8") as stream:
        stream.write(json.dumps(asdict(new_row)) + "\n")


def read(file: Path) -> list[Row]:
    """Read all rows, none if there is no file; raises ResultsError."""
    return list(_rows(file)) if file.exists() else []


def _rows(file: Path) -> Iterator[Row]:
    for number, line in enumerate(file.read_text(encoding="utf-8").splitlines(), 1):
        try:
            yield Row(**json.loads(line))
        except (ValueError, TypeError) as error:
            raise ResultsError(f"{file}:{number}: {error}; expected a row of a scale run") from None
