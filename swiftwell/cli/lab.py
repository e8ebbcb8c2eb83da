"""`swiftwell lab`: days in virtual time, and experiments on them."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec
from rich.console import Console

from swiftwell.cli.day import table
from swiftwell.cli.reading import or_exit
from swiftwell.proof import days


@click.group()
def lab() -> None:
    """The emulator of all that gateways serve, around the real engine."""


@lab.command()
@click.argument("name")
@click.option("--seed", default=1, show_default=True)
@click.option("--scale", default=1.0, show_default=True, help="Times the day's rates and workers.")
@click.option("--gateways", default=0, help="So many gateways instead of the day's.")
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as one JSON object.")
@click.option("--events", type=click.Path(path_type=Path), help="File for all events, as JSON lines.")
def run(name: str, seed: int, scale: float, gateways: int, as_json: bool, events: Path | None) -> None:
    """Play the day NAME (or a path to a .kdl file) in virtual time; exit 0 only if every rule held."""
    from dataclasses import replace

    from swiftwell.lab.emulator import Emulation

    title, day = load(name)
    if gateways:
        day = replace(day, gateways=gateways)
    emulation = Emulation(title, day, seed, scale)
    told = emulation.run()
    if events:
        events.write_bytes(b"".join(msgspec.json.encode(one) + b"\n" for one in emulation.world.events))
    if as_json:
        click.echo(msgspec.json.encode(told).decode())
    else:
        Console().print(table(told))
        for text in told["breaches"]:
            click.echo(text, err=True)
        click.echo(
            f"{told['calls']} calls in {emulation.spent_s:.1f} s: "
            f"{told['calls'] / emulation.spent_s:.0f} calls a second, {emulation.world.happened} events",
            err=True,
        )
    sys.exit(0 if told["rules_kept"] else 1)


def load(name: str) -> tuple[str, days.Day]:
    """A day by its name or path; ends the command where it can't be read."""
    return or_exit(lambda: days.load(name))


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder for cells and results.")
@click.option("--processes", default=0, help="So many at a time; 0 is one for each core.")
@click.option("--figure", default="service", show_default=True, help="Column that is compared.")
def compare(file: Path, out: Path, processes: int, figure: str) -> None:
    """Play the experiment in FILE; one that was killed goes on where it was.  Prints differences in pairs."""
    from rich.progress import Progress

    from swiftwell.lab import experiment as ex
    from swiftwell.lab import stats

    found = _experiment(file)
    with Progress(console=Console(stderr=True)) as bar:
        task = bar.add_task(file.stem, total=None)
        rows = ex.run(found, out, processes, lambda done, of: bar.update(task, completed=done, total=of))
    if figure not in stats.FIGURES:
        raise click.BadParameter(f"known: {', '.join(stats.FIGURES)}", param_hint="--figure")
    base = found.designs[0]
    means = stats.means(rows, figure)
    against = stats.differences(rows, figure, base)
    for (where, design), one in means.items():
        text = f"{stats.named(where):44} {design:16} {one.mean:.4f} ({one.low:.4f} to {one.high:.4f})"
        if other := against.get((where, design)):
            text += f"  {other.mean:+.4f} ({other.low:+.4f} to {other.high:+.4f}) against {base}"
        click.echo(text)
    broken = {(row["design"], row["day"]) for row in rows if row["rules_broken"]}
    for design, day in sorted(broken):
        click.echo(f"{design} breaks a rule on {day}: its figures count for nothing", err=True)
    sys.exit(1 if any(design == "module" for design, _ in broken) else 0)


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder of `lab compare`.")
def report(file: Path, out: Path) -> None:
    """Write OUT/report.html for the experiment in FILE, once it has been played."""
    from swiftwell.lab import experiment as ex
    from swiftwell.lab import report as pages
    from swiftwell.lab.emulator import Emulation

    found = _experiment(file)
    rows = ex.run(found, out, 0)
    lines = []
    for name in found.days:
        emulation = Emulation(*days.load(name), seed=1)
        emulation.run()
        lines.append(pages.timeline(emulation.world.events, f"{emulation.name}, seed 1, the module"))
    pages.write(out / "report.html", file.stem, found, rows, lines)
    click.echo(str(out / "report.html"))


def _experiment(file: Path):  # type: ignore[no-untyped-def]
    from swiftwell.lab import experiment as ex

    return or_exit(lambda: ex.load(file))
