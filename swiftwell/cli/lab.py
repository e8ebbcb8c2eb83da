"""`swiftwell lab`: days in virtual time, and experiments on them."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec
from rich.console import Console

from swiftwell.cli.day import table
from swiftwell.proof import days
from swiftwell.settings.document import SettingsError


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
    try:
        return days.load(name)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        sys.exit(2)
