"""`swiftwell day` and `swiftwell demo`: scripted days on embedded stand-ins."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.live import Live
from rich.table import Table

from swiftwell.cli.reading import or_exit
from swiftwell.proof import days
from swiftwell.proof.runner import DayFailed, Player


@click.group()
def day() -> None:
    """Scripted days through real sockets."""


@day.command(name="list")
def list_() -> None:
    """The days that come with the project."""
    for path in sorted(days.folder().glob("*.kdl")):
        _, found = days.load(str(path))
        click.echo(f"{path.stem:16} {found.seconds:4.0f} s  {found.doc}")


@day.command()
@click.argument("name")
@click.option("--seed", default=1, show_default=True)
@click.option("--scale", default=1.0, show_default=True, help="Times the day's rates and workers.")
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as one JSON object.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder to keep traces and logs in.")
def run(name: str, seed: int, scale: float, as_json: bool, keep: Path | None) -> None:
    """Play the day NAME (or a path to a .kdl file); exit 0 only if every rule held."""
    title, found = _load(name)
    told = _play(
        Player(title, found, seed, scale, keep, lambda text, at: click.echo(f"{at:6.1f} s  {text}", err=True))
    )
    if as_json:
        click.echo(msgspec.json.encode(told).decode())
    else:
        Console().print(table(told))
        for text in told["breaches"]:
            click.echo(text, err=True)
    if not told["rules_kept"] and "folder" in told:
        click.echo(f"traces and logs: {told['folder']}", err=True)
    sys.exit(0 if told["rules_kept"] else 1)


def _load(name: str) -> tuple[str, days.Day]:
    return or_exit(lambda: days.load(name))


def _play(player: Player) -> dict[str, Any]:
    try:
        return asyncio.run(player.play())
    except DayFailed as error:
        click.echo(f"the day could not be played: {error}", err=True)
        sys.exit(2)


def table(told: dict[str, Any]) -> Table:
    """A verdict for a terminal."""
    table = Table(
        title=f"{told['day']}, seed {told['seed']}: " + ("rules kept" if told["rules_kept"] else "BROKEN")
    )
    table.add_column("class")
    for name in ("calls", "served", "in time"):
        table.add_column(name, justify="right")
    for name, row in sorted(told["by_class"].items()):
        table.add_row(name, str(row["calls"]), str(row["served"]), str(row["in_time"]))
    table.add_section()
    latency = told["latency_ms"]
    for name, value in (
        ("refused / failed", f"{told['refused']} / {told['failed']}"),
        ("late / lost / doubled", f"{told['late']} / {told['lost']} / {told['doubled']}"),
        ("latency p50 / p99, ms", f"{latency['p50']} / {latency['p99']}"),
        ("rules broken", ", ".join(f"{k} {v}" for k, v in told["rules"].items() if v) or "none"),
        ("redelivered, excused", f"{told['redelivered']}, {told['excused']}"),
    ):
        table.add_row(name, "", "", value)
    return table


@click.command()
@click.option("--seconds", default=20.0, show_default=True, help="How long calls arrive.")
@click.option("--seed", default=1, show_default=True)
def demo(seconds: float, seed: int) -> None:
    """Everything on loopback: a gateway, a broker, calc servers, a store, a list, publishers, and some
    trouble."""
    from dataclasses import replace

    title, found = _load("demo")
    found = replace(found, seconds=seconds)
    console = Console()
    lines: list[str] = []
    began = time.monotonic()
    player = Player(title, found, seed, progress=lambda text, at: lines.append(f"{at:5.1f} s  {text}"))

    async def watch() -> dict[str, Any]:
        playing = asyncio.ensure_future(player.play())
        with Live(console=console, refresh_per_second=4) as live:
            while not playing.done():
                live.update(_view(player, lines, time.monotonic() - began))
                await asyncio.wait([playing], timeout=0.5)
        return playing.result()

    try:
        told = asyncio.run(watch())
    except DayFailed as error:
        click.echo(f"the demo could not run: {error}", err=True)
        sys.exit(2)
    console.print(table(told))
    console.print(
        "Next: `swiftwell day list`, `swiftwell day run bad-morning`, `swiftwell check examples/site.kdl`,\n"
        "docs/architecture.md for the way of a call, docs/mqtt.md to publish to it yourself."
    )
    sys.exit(0 if told["rules_kept"] else 1)


def _view(player: Player, lines: list[str], seconds: float) -> Table:
    """What the traces say so far."""
    counts = {"try": 0, "answer": 0, "recv": 0, "fetch": 0, "order": 0}
    for name in ("publishers", "fleet"):
        path = player.folder / f"{name}.trace"
        if path.exists():
            raw = path.read_bytes()
            for ev in counts:
                counts[ev] += raw.count(b'"ev":"%s"' % ev.encode())
    table = Table(title=f"demo, {seconds:4.1f} s")
    for name in ("triggers", "answers", "attempts", "store fetches", "orders"):
        table.add_column(name, justify="right")
    table.add_row(*(str(counts[ev]) for ev in ("try", "answer", "recv", "fetch", "order")))
    for line in lines[-6:]:
        table.add_row(line)
    return table
