"""`swiftwell lab`: plays days in virtual time and runs experiments on them."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec
from rich.console import Console

from swiftwell.cli.day import table
from swiftwell.cli.document_loading import load_or_exit
from swiftwell.proof import days


@click.group()
def lab() -> None:
    """Emulate everything around gateways, with the real engine in virtual time."""


@lab.command()
@click.argument("name")
@click.option("--seed", default=1, show_default=True)
@click.option("--scale", default=1.0, show_default=True, help="Factor on the day's rates and workers.")
@click.option("--gateways", default=0, help="Number of gateways; by default the day's.")
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as one JSON object.")
@click.option("--events", type=click.Path(path_type=Path), help="File for all events, as JSON lines.")
def run(name: str, seed: int, scale: float, gateways: int, as_json: bool, events: Path | None) -> None:
    """Play the day NAME (or a path to a .kdl file) in virtual time; exit 0 only if all rules were kept."""
    from dataclasses import replace

    from swiftwell.lab.emulator import Emulation

    title, day = load(name)
    if gateways:
        day = replace(day, gateways=gateways)
    emulation = Emulation(title, day, seed, scale)
    verdict = emulation.run()
    if events:
        events.write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in emulation.world.events))
    if as_json:
        click.echo(msgspec.json.encode(verdict).decode())
    else:
        Console().print(table(verdict))
        for text in verdict["breaches"]:
            click.echo(text, err=True)
        click.echo(
            f"{verdict['calls']} calls in {emulation.spent_s:.1f} s: "
            f"{verdict['calls'] / emulation.spent_s:.0f} calls a second, "
            f"{emulation.world.callbacks_run} events",
            err=True,
        )
    sys.exit(0 if verdict["rules_kept"] else 1)


def load(name: str) -> tuple[str, days.Day]:
    """Loads a day by its name or path; exits if it can't be read."""
    return load_or_exit(lambda: days.load(name))


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder for cells and results.")
@click.option("--processes", default=0, help="Number of parallel processes; 0 for one per core.")
@click.option("--figure", default="service", show_default=True, help="Result column to compare.")
def compare(file: Path, out: Path, processes: int, figure: str) -> None:
    """Play the experiment in FILE, or resume an interrupted one, and print paired differences."""
    from rich.progress import Progress

    from swiftwell.lab import experiment as ex
    from swiftwell.lab import stats

    spec = _experiment(file)
    with Progress(console=Console(stderr=True)) as bar:
        task = bar.add_task(file.stem, total=None)
        rows = ex.run(spec, out, processes, lambda done, total: bar.update(task, completed=done, total=total))
    if figure not in stats.FIGURES:
        raise click.BadParameter(f"known: {', '.join(stats.FIGURES)}", param_hint="--figure")
    base = spec.designs[0]
    means = stats.means(rows, figure)
    paired = stats.differences(rows, figure, base)
    for (factors, design), mean in means.items():
        text = (
            f"{stats.format_conditions(factors):44} {design:16} "
            f"{mean.mean:.4f} ({mean.low:.4f} to {mean.high:.4f})"
        )
        if difference := paired.get((factors, design)):
            text += (
                f"  {difference.mean:+.4f} ({difference.low:+.4f} to {difference.high:+.4f}) against {base}"
            )
        click.echo(text)
    broken = {(row["design"], row["day"]) for row in rows if row["rules_broken"]}
    for design, day in sorted(broken):
        click.echo(f"{design} breaks a rule on {day}: its results are invalid", err=True)
    sys.exit(1 if any(design == "module" for design, _ in broken) else 0)


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Output folder of `lab compare`.")
def report(file: Path, out: Path) -> None:
    """Write OUT/report.html for the experiment in FILE, once it has been played."""
    from swiftwell.lab import experiment as ex
    from swiftwell.lab import report as pages
    from swiftwell.lab.emulator import Emulation

    spec = _experiment(file)
    rows = ex.run(spec, out, 0)
    lines = []
    for name in spec.days:
        emulation = Emulation(*days.load(name), seed=1)
        emulation.run()
        lines.append(pages.timeline(emulation.world.events, f"{emulation.name}, seed 1, the module"))
    pages.write(out / "report.html", file.stem, spec, rows, lines)
    click.echo(str(out / "report.html"))


def _experiment(file: Path):  # type: ignore[no-untyped-def]
    from swiftwell.lab import experiment as ex

    return load_or_exit(lambda: ex.load(file))
