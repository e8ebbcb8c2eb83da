"""`swiftwell day` and `swiftwell demo`: play scripted days against embedded stand-ins."""

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

from swiftwell.cli.document_loading import load_or_exit
from swiftwell.proof import days
from swiftwell.proof.runner import DayFailed, Player


@click.group()
def day() -> None:
    """Play scripted days over real sockets."""


@day.command(name="list")
def list_() -> None:
    """List the days that come with the project."""
    for path in sorted(days.folder().glob("*.kdl")):
        _, loaded = days.load(str(path))
        click.echo(f"{path.stem:16} {loaded.seconds:4.0f} s  {loaded.doc}")


@day.command()
@click.argument("name")
@click.option("--seed", default=1, show_default=True)
@click.option("--scale", default=1.0, show_default=True, help="Factor on the day's rates and workers.")
@click.option("--json", "as_json", is_flag=True, help="Print the verdict as one JSON object.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Folder for traces and logs, which are then kept."
)
def run(name: str, seed: int, scale: float, as_json: bool, keep: Path | None) -> None:
    """Play the day NAME (or a path to a .kdl file); exit 0 only if all rules were kept."""
    title, loaded = _load(name)
    verdict = _play(
        Player(
            title, loaded, seed, scale, keep, lambda text, at: click.echo(f"{at:6.1f} s  {text}", err=True)
        )
    )
    if as_json:
        click.echo(msgspec.json.encode(verdict).decode())
    else:
        Console().print(table(verdict))
        for text in verdict["breaches"]:
            click.echo(text, err=True)
    if not verdict["rules_kept"] and "folder" in verdict:
        click.echo(f"traces and logs: {verdict['folder']}", err=True)
    sys.exit(0 if verdict["rules_kept"] else 1)


def _load(name: str) -> tuple[str, days.Day]:
    return load_or_exit(lambda: days.load(name))


def _play(player: Player) -> dict[str, Any]:
    try:
        return asyncio.run(player.play())
    except DayFailed as error:
        click.echo(f"the day could not be played: {error}", err=True)
        sys.exit(2)


def table(verdict: dict[str, Any]) -> Table:
    """Renders a verdict as a table for the terminal."""
    table = Table(
        title=f"{verdict['day']}, seed {verdict['seed']}: "
        + ("rules kept" if verdict["rules_kept"] else "BROKEN")
    )
    table.add_column("class")
    for name in ("calls", "served", "in time"):
        table.add_column(name, justify="right")
    for name, row in sorted(verdict["by_class"].items()):
        table.add_row(name, str(row["calls"]), str(row["served"]), str(row["in_time"]))
    table.add_section()
    latency = verdict["latency_ms"]
    for name, value in (
        ("refused / failed", f"{verdict['refused']} / {verdict['failed']}"),
        ("late / lost / doubled", f"{verdict['late']} / {verdict['lost']} / {verdict['doubled']}"),
        ("latency p50 / p99, ms", f"{latency['p50']} / {latency['p99']}"),
        (
            "rules broken",
            ", ".join(f"{rule} {count}" for rule, count in verdict["rules"].items() if count) or "none",
        ),
        ("redelivered, excused", f"{verdict['redelivered']}, {verdict['excused']}"),
    ):
        table.add_row(name, "", "", value)
    return table


@click.command()
@click.option("--seconds", default=20.0, show_default=True, help="Time in s during which calls arrive.")
@click.option("--seed", default=1, show_default=True)
def demo(seconds: float, seed: int) -> None:
    """Run a whole system on loopback: gateway, broker, calc servers, model store, worker list, publishers and
    faults."""
    from dataclasses import replace

    title, loaded = _load("demo")
    loaded = replace(loaded, seconds=seconds)
    console = Console()
    lines: list[str] = []
    started_at = time.monotonic()
    player = Player(title, loaded, seed, progress=lambda text, at: lines.append(f"{at:5.1f} s  {text}"))

    async def watch() -> dict[str, Any]:
        play_task = asyncio.ensure_future(player.play())
        with Live(console=console, refresh_per_second=4) as live:
            while not play_task.done():
                live.update(_view(player, lines, time.monotonic() - started_at))
                await asyncio.wait([play_task], timeout=0.5)
        return play_task.result()

    try:
        verdict = asyncio.run(watch())
    except DayFailed as error:
        click.echo(f"the demo could not run: {error}", err=True)
        sys.exit(2)
    console.print(table(verdict))
    console.print(
        "Next: `swiftwell day list`, `swiftwell day run bad-morning`, `swiftwell check examples/site.kdl`,\n"
        "docs/architecture.md on how a call is routed, docs/mqtt.md on how to publish to it yourself."
    )
    sys.exit(0 if verdict["rules_kept"] else 1)


def _view(player: Player, lines: list[str], seconds: float) -> Table:
    """Renders the counts of trace events so far."""
    counts = {"try": 0, "answer": 0, "recv": 0, "fetch": 0, "order": 0}
    for name in ("publishers", "fleet"):
        path = player.folder / f"{name}.trace"
        if path.exists():
            trace = path.read_bytes()
            for event in counts:
                counts[event] += trace.count(b'"ev":"%s"' % event.encode())
    table = Table(title=f"demo, {seconds:4.1f} s")
    for name in ("triggers", "answers", "attempts", "store fetches", "orders"):
        table.add_column(name, justify="right")
    table.add_row(*(str(counts[event]) for event in ("try", "answer", "recv", "fetch", "order")))
    for line in lines[-6:]:
        table.add_row(line)
    return table
