"""`swiftwell list`: shows, checks and creates saved worker lists."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from swiftwell.cli.document_loading import load_or_exit
from swiftwell.discovery import saved, trust
from swiftwell.discovery.entries import parse_worker_file
from swiftwell.interface import State


@click.group(name="list")
def list_() -> None:
    """Manage the saved worker list that a gateway starts from while no list server answers."""


def _clocks(saved_list: saved.SavedList) -> tuple[int, int, str]:
    return time.time_ns() // 1_000, time.monotonic_ns() // 1_000, saved.boot_id()


def _read(path: Path) -> tuple[saved.SavedList, str]:
    """Reads a saved list from its file or a state folder; exits if none is usable."""
    if path.is_file():
        try:
            return saved.decode(path.read_bytes(), str(path)), str(path)
        except saved.UnusableFile as error:
            click.echo(str(error), err=True)
            sys.exit(1)
    folder = path / "list" if (path / "list").is_dir() else path
    result = saved.read(folder)
    for problem in result.problems:
        click.echo(problem, err=True)
    if result.saved is None:
        click.echo(f"{folder}: no usable saved list", err=True)
        sys.exit(1)
    return result.saved, result.file


def _format_age(age_us: int | None) -> str:
    if age_us is None:
        return "unknown"
    for unit, unit_s in (("d", 86_400), ("h", 3_600), ("min", 60)):
        if age_us >= 2 * unit_s * 1_000_000:
            return f"{age_us / unit_s / 1e6:.1f} {unit}"
    return f"{age_us / 1e6:.0f} s"


@list_.command()
@click.argument("path", type=click.Path(path_type=Path, exists=True))
def show(path: Path) -> None:
    """Show the workers of a saved list and how each would be used by a start now.

    PATH is the file of the list or a state folder.
    """
    saved_list, file = _read(path)
    clocks = _clocks(saved_list)
    table = Table(title=f"{file}, epoch {saved_list.epoch}")
    for name in ("worker", "kind", "zone", "state", "last listed", "last answered", "at a start now"):
        table.add_column(name)
    for worker in saved_list.workers:
        listed = saved.age_us(saved_list, worker.listed_us, *clocks)
        answered = saved.age_us(saved_list, worker.answered_us, *clocks)
        grade = trust.grade(saved.age_us(saved_list, max(worker.listed_us, worker.answered_us), *clocks))
        use = {0: "used at once", 1: "probed, then used", 2: "probed, then used as just started"}[grade]
        state = "draining" if worker.draining else "running"
        never = "never"
        table.add_row(
            worker.worker, worker.kind, worker.zone, state,
            _format_age(listed) if worker.listed_us else never,
            _format_age(answered) if worker.answered_us else never, use,
        )  # fmt: skip
    Console().print(table)


@list_.command()
@click.argument("path", type=click.Path(path_type=Path, exists=True))
def age(path: Path) -> None:
    """Print the age of a saved list in seconds, or "unknown" if the clock was set back since."""
    saved_list, _ = _read(path)
    age_us = saved.age_us(saved_list, saved_list.wall_us, *_clocks(saved_list))
    click.echo("unknown" if age_us is None else f"{age_us / 1e6:.0f}")


@list_.command()
@click.argument("path", type=click.Path(path_type=Path, exists=True))
def verify(path: Path) -> None:
    """Check both generations; exit 0 only if all existing files are usable."""
    folder = path / "list" if (path / "list").is_dir() else path
    files = (
        [path] if path.is_file() else [folder / name for name in saved.FILE_NAMES if (folder / name).exists()]
    )
    unusable = not files
    for file in files:
        try:
            saved_list = saved.decode(file.read_bytes(), str(file))
            click.echo(f"{file}: valid, {len(saved_list.workers)} workers, epoch {saved_list.epoch}")
        except (saved.UnusableFile, OSError) as error:
            unusable = True
            click.echo(str(error), err=True)
    if not files:
        click.echo(f"{folder}: no saved list", err=True)
    sys.exit(1 if unusable else 0)


@list_.command()
@click.argument("workers", type=click.Path(path_type=Path, exists=True))
@click.argument("state", type=click.Path(path_type=Path))
def make(workers: Path, state: Path) -> None:
    """Create a saved list in the state folder STATE from WORKERS, a file of `worker` nodes.

    Its entries count as listed now; the gateway must not be running.
    """
    entries = load_or_exit(lambda: parse_worker_file(workers.read_text(encoding="utf-8"), str(workers), int))
    wall_us, monotonic_us, boot_id = time.time_ns() // 1_000, time.monotonic_ns() // 1_000, saved.boot_id()
    listed = tuple(
        saved.SavedWorker(
            entry.worker,
            entry.kind,
            entry.zone,
            entry.cell,
            entry.state is State.DRAINING,
            entry.started_us * 1_000,
            wall_us,
            0,
        )
        for entry in entries
        if entry.state is not State.GONE
    )
    try:
        saved.write(state / "list", saved.SavedList(0, wall_us, monotonic_us, boot_id, listed))
    except OSError as error:
        click.echo(f"{state}: {error.strerror}", err=True)
        sys.exit(1)
    click.echo(f"{state / 'list' / 'current'}: {len(listed)} workers")
