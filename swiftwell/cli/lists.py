"""`swiftwell list`: look at a saved list, check it, make one by hand."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from swiftwell.cli.reading import or_exit
from swiftwell.discovery import saved, trust
from swiftwell.discovery.entries import parse_worker_file
from swiftwell.interface import State


@click.group(name="list")
def list_() -> None:
    """The saved list of workers that a gateway starts from when no list server answers."""


def _ages(told: saved.SavedList) -> tuple[int, int, str]:
    return time.time_ns() // 1_000, time.monotonic_ns() // 1_000, saved.boot_id()


def _read(path: Path) -> tuple[saved.SavedList, str]:
    """A file, or the folder of a gateway's state; ends the program where nothing can be used."""
    if path.is_file():
        try:
            return saved.decode(path.read_bytes(), str(path)), str(path)
        except saved.UnusableFile as error:
            click.echo(str(error), err=True)
            sys.exit(1)
    folder = path / "list" if (path / "list").is_dir() else path
    found = saved.read(folder)
    for problem in found.problems:
        click.echo(problem, err=True)
    if found.saved is None:
        click.echo(f"{folder}: no saved list that can be used", err=True)
        sys.exit(1)
    return found.saved, found.file


def _age(us: int | None) -> str:
    if us is None:
        return "unknown"
    for unit, size in (("d", 86_400), ("h", 3_600), ("min", 60)):
        if us >= 2 * size * 1_000_000:
            return f"{us / size / 1e6:.1f} {unit}"
    return f"{us / 1e6:.0f} s"


@list_.command()
@click.argument("path", type=click.Path(path_type=Path, exists=True))
def show(path: Path) -> None:
    """Show the workers of a saved list (PATH is its file or a state folder) and how each would be used
    now."""
    told, file = _read(path)
    clocks = _ages(told)
    table = Table(title=f"{file}, epoch {told.epoch}")
    for name in ("worker", "kind", "zone", "state", "last listed", "last answered", "at a start now"):
        table.add_column(name)
    for one in told.workers:
        listed = saved.age_us(told, one.listed_us, *clocks)
        answered = saved.age_us(told, one.answered_us, *clocks)
        how = trust.grade(saved.age_us(told, max(one.listed_us, one.answered_us), *clocks))
        use = {0: "used at once", 1: "asked, then used", 2: "asked, then used as just started"}[how]
        state = "draining" if one.draining else "running"
        never = "never"
        table.add_row(
            one.worker, one.kind, one.zone, state, _age(listed) if one.listed_us else never,
            _age(answered) if one.answered_us else never, use,
        )  # fmt: skip
    Console().print(table)


@list_.command()
@click.argument("path", type=click.Path(path_type=Path, exists=True))
def age(path: Path) -> None:
    """Print how old a saved list is, in seconds; "unknown" where the clock was set back since."""
    told, _ = _read(path)
    us = saved.age_us(told, told.wall_us, *_ages(told))
    click.echo("unknown" if us is None else f"{us / 1e6:.0f}")


@list_.command()
@click.argument("path", type=click.Path(path_type=Path, exists=True))
def verify(path: Path) -> None:
    """Check both generations; exit 0 only if every file that is there can be used."""
    folder = path / "list" if (path / "list").is_dir() else path
    files = (
        [path] if path.is_file() else [folder / name for name in saved.FILE_NAMES if (folder / name).exists()]
    )
    bad = not files
    for file in files:
        try:
            told = saved.decode(file.read_bytes(), str(file))
            click.echo(f"{file}: good, {len(told.workers)} workers, epoch {told.epoch}")
        except (saved.UnusableFile, OSError) as error:
            bad = True
            click.echo(str(error), err=True)
    if not files:
        click.echo(f"{folder}: no saved list", err=True)
    sys.exit(1 if bad else 0)


@list_.command()
@click.argument("workers", type=click.Path(path_type=Path, exists=True))
@click.argument("state", type=click.Path(path_type=Path))
def make(workers: Path, state: Path) -> None:
    """Make a saved list in the state folder STATE from WORKERS, a file of `worker` nodes.

    Its entries count as last listed now; the gateway must not be running.
    """
    entries = or_exit(lambda: parse_worker_file(workers.read_text(encoding="utf-8"), str(workers), int))
    wall, mono, boot = time.time_ns() // 1_000, time.monotonic_ns() // 1_000, saved.boot_id()
    kept = tuple(
        saved.SavedWorker(
            e.worker, e.kind, e.zone, e.cell, e.state is State.DRAINING, e.started_us * 1_000, wall, 0
        )
        for e in entries
        if e.state is not State.GONE
    )
    try:
        saved.write(state / "list", saved.SavedList(0, wall, mono, boot, kept))
    except OSError as error:
        click.echo(f"{state}: {error.strerror}", err=True)
        sys.exit(1)
    click.echo(f"{state / 'list' / 'current'}: {len(kept)} workers")
