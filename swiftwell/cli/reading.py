"""Settings for a command: read, or every problem said and the command ended with 2."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click

from swiftwell.settings.document import SettingsError

T = TypeVar("T")


def or_exit(read: Callable[[], T], file: Path | None = None) -> T:
    """What `read` gives; `file` is named with the number of its problems."""
    try:
        return read()
    except SettingsError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        if file:
            click.echo(f"{file}: {len(error.problems)} problem(s)", err=True)
        sys.exit(2)
