"""Loads documents for commands and reports their problems."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click

from swiftwell.settings.document import SettingsError

T = TypeVar("T")


def load_or_exit(read: Callable[[], T], file: Path | None = None) -> T:
    """Returns what `read` returns.

    On invalid settings, prints each problem, then `file` with their number if given, and exits with code 2.
    """
    try:
        return read()
    except SettingsError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        if file:
            click.echo(f"{file}: {len(error.problems)} problem(s)", err=True)
        sys.exit(2)
