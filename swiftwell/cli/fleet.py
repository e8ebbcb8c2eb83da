"""`swiftwell fleet`: what one gateway knows of its fleet, read from its health page."""

from __future__ import annotations

import sys
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import click
import msgspec

from swiftwell.cli.reading import or_exit

WITHIN_S = 3.0  # s for the gateway to answer


@click.group()
def fleet() -> None:
    """Gateways that agree: members, leases and shares, as one of them sees them."""


def _told(address: str) -> dict[str, Any]:
    try:
        with urllib.request.urlopen(f"http://{address}/fleet", timeout=WITHIN_S) as answer:
            told = msgspec.json.decode(answer.read())
    except (OSError, ValueError, urllib.error.URLError, msgspec.DecodeError) as error:
        click.echo(f"{address}: no answer from a gateway's health page: {error}", err=True)
        sys.exit(1)
    if told is None:
        click.echo(f"{address}: this gateway is in no fleet, or has not joined it yet", err=True)
        sys.exit(1)
    return told


_ADDRESS = click.argument("address", metavar="HEALTH-HOST:PORT")
_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object.")


def _say(told: Any, as_json: bool, lines: list[str]) -> None:
    click.echo(msgspec.json.encode(told).decode() if as_json else "\n".join(lines))


@fleet.command()
@_ADDRESS
@_JSON
def status(address: str, as_json: bool) -> None:
    """All in short."""
    told = _told(address)
    alive = sum(one["status"] == "alive" for one in told["members"])
    held = [one["name"] for one in told["leases"] if one["held"]]
    _say(told, as_json, [
        f"{told['me']}: epoch {told['epoch']}, {alive} of {len(told['members'])} others alive, "
        f"own health {told['health']} (0 is well)",
        f"holds: {', '.join(held) or 'nothing'}",
        *(f"share of {name}: {parts / 1e4:.2f} %" for name, parts in told["shares"].items()),
        *(
            f"{name}: read by {one['writer'] or 'nobody yet'}, {one['entries']} entries, "
            f"last sign of life {one['silent_ms'] / 1e3:.1f} s ago"
            for name, one in told["boards"].items()
        ),
    ])  # fmt: skip


@fleet.command()
@_ADDRESS
@_JSON
def members(address: str, as_json: bool) -> None:
    """Who lives, as this gateway sees it."""
    told = _told(address)["members"]
    _say(told, as_json, [f"{one['name']:24} {one['status']:8} for {one['for_s']:.1f} s" for one in told])


@fleet.command()
@_ADDRESS
@_JSON
def leases(address: str, as_json: bool) -> None:
    """The leases, and which of them this gateway holds."""
    told = _told(address)["leases"]
    _say(told, as_json, [
        f"{one['name']:24} {'held, ' + str(one['left_ms']) + ' ms left' if one['held'] else 'not ours'}; "
        f"voters {', '.join(one['voters'])}; won {one['won']}, lost {one['lost']}"
        for one in told
    ])  # fmt: skip


@fleet.command(name="start-plan")
@click.argument("site", type=click.Path(path_type=Path))
@click.option(
    "--routers", type=click.IntRange(1, 100_000), help="Gateways that start; the members by default."
)
@click.option(
    "--cores", type=click.FloatRange(0.1), default=8.0, show_default=True, help="Of all machines together."
)
@_JSON
def start_plan(site: Path, routers: int | None, cores: float, as_json: bool) -> None:
    """What a start of all gateways of SITE asks of the list service and the workers, at most."""
    from swiftwell.settings.site import load
    from swiftwell.starting.plan import lines, plan

    found = or_exit(lambda: load(site))
    count = routers or (len(found.fleet.member) if found.fleet else found.gateways)
    told = plan(found, count, cores)
    _say({name: getattr(told, name) for name in told.__slots__}, as_json, lines(told, found))
