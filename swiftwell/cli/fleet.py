"""`swiftwell fleet`: the state of a fleet as one gateway sees it, read from its health endpoint."""

from __future__ import annotations

import sys
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import click
import msgspec

from swiftwell.cli.document_loading import load_or_exit

ANSWER_TIMEOUT_S = 3.0


@click.group()
def fleet() -> None:
    """Show members, leases and shares of a fleet as one gateway sees them."""


def _fetch(address: str) -> dict[str, Any]:
    try:
        with urllib.request.urlopen(f"http://{address}/fleet", timeout=ANSWER_TIMEOUT_S) as response:
            state = msgspec.json.decode(response.read())
    except (OSError, ValueError, urllib.error.URLError, msgspec.DecodeError) as error:
        click.echo(f"{address}: no answer from a gateway's health endpoint: {error}", err=True)
        sys.exit(1)
    if state is None:
        click.echo(f"{address}: this gateway belongs to no fleet or has not joined it yet", err=True)
        sys.exit(1)
    return state


_ADDRESS = click.argument("address", metavar="HEALTH-HOST:PORT")
_JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


def _print(content: Any, as_json: bool, lines: list[str]) -> None:
    click.echo(msgspec.json.encode(content).decode() if as_json else "\n".join(lines))


@fleet.command()
@_ADDRESS
@_JSON
def status(address: str, as_json: bool) -> None:
    """Print a summary."""
    state = _fetch(address)
    alive = sum(member["status"] == "alive" for member in state["members"])
    held = [lease["name"] for lease in state["leases"] if lease["held"]]
    _print(state, as_json, [
        f"{state['me']}: epoch {state['epoch']}, {alive} of {len(state['members'])} others alive, "
        f"own health {state['health']} (0 is healthy)",
        f"holds: {', '.join(held) or 'nothing'}",
        *(f"share of {name}: {share_ppm / 1e4:.2f} %" for name, share_ppm in state["shares"].items()),
        *(
            f"{name}: read by {log['writer'] or 'nobody yet'}, {log['entries']} entries, "
            f"last update {log['silent_ms'] / 1e3:.1f} s ago"
            for name, log in state["boards"].items()
        ),
    ])  # fmt: skip


@fleet.command()
@_ADDRESS
@_JSON
def members(address: str, as_json: bool) -> None:
    """List the members and their status as this gateway sees them."""
    members = _fetch(address)["members"]
    _print(
        members,
        as_json,
        [f"{member['name']:24} {member['status']:8} for {member['for_s']:.1f} s" for member in members],
    )


@fleet.command()
@_ADDRESS
@_JSON
def leases(address: str, as_json: bool) -> None:
    """List the leases and which of them this gateway holds."""
    leases = _fetch(address)["leases"]
    _print(leases, as_json, [
        f"{lease['name']:24} "
        f"{'held, ' + str(lease['left_ms']) + ' ms left' if lease['held'] else 'not held here'}; "
        f"voters {', '.join(lease['voters'])}; won {lease['won']}, lost {lease['lost']}"
        for lease in leases
    ])  # fmt: skip


@fleet.command(name="start-plan")
@click.argument("site", type=click.Path(path_type=Path))
@click.option(
    "--routers",
    type=click.IntRange(1, 100_000),
    help="Number of gateways that start; by default the members.",
)
@click.option(
    "--cores",
    type=click.FloatRange(0.1),
    default=8.0,
    show_default=True,
    help="Cores of all machines together.",
)
@_JSON
def start_plan(site: Path, routers: int | None, cores: float, as_json: bool) -> None:
    """Print the maximum load of a start of all gateways of SITE on the list service and the workers."""
    from swiftwell.settings.site import load
    from swiftwell.starting.plan import lines, plan

    settings = load_or_exit(lambda: load(site))
    count = routers or (len(settings.fleet.member) if settings.fleet else settings.gateways)
    start = plan(settings, count, cores)
    _print({name: getattr(start, name) for name in start.__slots__}, as_json, lines(start, settings))
