"""`swiftwell sites`: what is left when sites are lost, worked out beforehand."""

from __future__ import annotations

import getpass
import sys
import urllib.error
import urllib.request
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from swiftwell.cli.reading import or_exit
from swiftwell.settings import sites as document
from swiftwell.sites.plan import Demand, LossPlan, Place, Sites, differences, plans, shedding_order

FORM = 1  # of a saved plan
WITHIN_S = 3.0  # s for a gateway to answer


class _Row(msgspec.Struct):
    lost: list[str]
    flows: list[dict[str, Any]]
    admitted: list[tuple[str, str, float]]
    worth: float
    work: dict[str, float]
    memory: dict[str, float]
    missing_work: float
    missing_mb: float


@click.group()
def sites() -> None:
    """Plans for the loss of sites."""


def _sites(path: Path) -> Sites:
    told = or_exit(lambda: document.load(path), path)
    places = tuple(
        Place(
            one.name,
            sum(w.count * w.cores * w.speed for w in one.workers),
            sum(w.count * w.memory_mb for w in one.workers),
        )
        for one in told.sites
    )
    demands = tuple(
        Demand(
            load.band, load.tenant, one.name, load.rate, load.work_ms / 1e3, load.worth, load.functions,
            load.memory_mb,
        )
        for one in told.sites
        for load in one.loads
    )  # fmt: skip
    prices = {(one.origin, one.to): one.worth for one in told.crossings}
    may = {one.name: one.served_by for one in told.sites if one.served_by}
    return Sites(places, demands, told.sacrifice, prices, may)


def _rows(found: list[LossPlan]) -> list[dict[str, Any]]:
    out = []
    for one in found:
        row = asdict(one)
        row["admitted"] = [
            [request_class, tenant, part] for (request_class, tenant), part in one.admitted.items()
        ]
        out.append(row)
    return out


def _read(path: Path) -> list[LossPlan]:
    try:
        told = msgspec.json.decode(path.read_bytes(), type=dict[str, Any])
        if told.get("form") != FORM:
            raise ValueError(f"form {told.get('form')}, expected {FORM}")
        rows = msgspec.convert(told["plans"], list[_Row])
    except (OSError, ValueError, KeyError, msgspec.MsgspecError) as error:
        click.echo(f"{path}: no plan as `sites plan --out` writes it: {error}", err=True)
        sys.exit(2)
    return [
        LossPlan(
            tuple(row.lost), (),
            {(request_class, tenant): part for request_class, tenant, part in row.admitted},
            row.worth, row.work, row.memory, row.missing_work, row.missing_mb,
        )
        for row in rows
    ]  # fmt: skip


_FILE = click.argument("file", type=click.Path(path_type=Path))


@sites.command()
@_FILE
@click.option(
    "--losses", type=click.IntRange(0, 3), default=2, show_default=True, help="Sites lost at once, at most."
)
@click.option("--out", type=click.Path(path_type=Path), help="Write the plan there, for `show` and `diff`.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def plan(file: Path, losses: int, out: Path | None, as_json: bool) -> None:
    """Work out what each loss leaves; exit 1 where something has to be refused."""
    told = _sites(file)
    found = plans(told, losses)
    text = msgspec.json.encode({"form": FORM, "plans": _rows(found)})
    if out:
        out.write_bytes(msgspec.json.format(text, indent=1) + b"\n")
    if as_json:
        click.echo(text.decode())
    else:
        Console().print(table(found, shedding_order(told)))
        for line in missing(found):
            click.echo(line)
    sys.exit(0 if all(one.kept_whole for one in found) else 1)


@sites.command()
@_FILE
def check(file: Path) -> None:
    """Check the document alone."""
    told = _sites(file)
    click.echo(f"{file}: good; {len(told.places)} sites, refused first: {', '.join(shedding_order(told))}")


@sites.command()
@click.argument("plan", type=click.Path(path_type=Path))
def show(plan: Path) -> None:
    """A plan that was written with --out."""
    found = _read(plan)
    Console().print(
        table(found, sorted({request_class for one in found for request_class, _ in one.admitted}))
    )


@sites.command()
@click.argument("old", type=click.Path(path_type=Path))
@click.argument("new", type=click.Path(path_type=Path))
def diff(old: Path, new: Path) -> None:
    """What another plan changes; exit 1 where it does."""
    lines = differences(_read(old), _read(new))
    click.echo("\n".join(lines) or "no difference")
    sys.exit(1 if lines else 0)


def _order(address: str, site: str, what: str) -> None:
    """Tell one gateway, which tells all others that live."""
    request = urllib.request.Request(
        f"http://{address}/sites/{site}/{what}", method="POST", headers={"swiftwell-who": getpass.getuser()}
    )
    try:
        with urllib.request.urlopen(request, timeout=WITHIN_S) as answer:
            click.echo(f"{site}: {what} {answer.read().decode().strip()}")
    except urllib.error.HTTPError as error:
        click.echo(f"{address}: {error.read().decode().strip()}", err=True)
        sys.exit(2)
    except (OSError, ValueError) as error:
        click.echo(f"{address}: no answer from a gateway's health page: {error}", err=True)
        sys.exit(1)


_AT = click.argument("address", metavar="HEALTH-HOST:PORT")
_SITE = click.argument("site")


@sites.command()
@_AT
@_SITE
@click.option("--how", type=click.Choice(["hold", "hurry", "off", "none"]), default="hold", show_default=True)
def hold(address: str, site: str, how: str) -> None:
    """Hold, hurry or call off the return of SITE, or let it go on (none)."""
    _order(address, site, how)


@sites.command()
@_AT
@_SITE
def drain(address: str, site: str) -> None:
    """Take SITE out, for works: what runs there ends, nothing new goes there."""
    _order(address, site, "drain")


@sites.command()
@_AT
@_SITE
def release(address: str, site: str) -> None:
    """Let a drained SITE back, in slices."""
    _order(address, site, "release")


def table(found: list[LossPlan], request_classes: list[str]) -> Table:
    """A row a loss: what is admitted of each class, worth kept, work used."""
    out = Table(title="what each loss leaves")
    out.add_column("lost")
    for name in (*request_classes, "worth kept"):
        out.add_column(name, justify="right")
    out.add_column("work used, by site")
    for one in found:
        parts = []
        for request_class in request_classes:
            mine = [part for (name, _), part in one.admitted.items() if name == request_class]
            parts.append(f"{min(mine):.0%}" if mine else "")
        used = ", ".join(f"{name} {part:.0%}" for name, part in one.work.items())
        out.add_row("+".join(one.lost) or "nothing", *parts, f"{one.worth:.1%}", used)
    return out


def missing(found: list[LossPlan]) -> list[str]:
    """What a plan that can't keep everything would need."""
    return [
        f"{'+'.join(one.lost) or 'nothing lost'}: to serve all, {one.missing_work:.1f} s of work a second "
        f"({one.missing_work:.0f} cores) and {one.missing_mb:.0f} MB more are needed"
        for one in found
        if not one.kept_whole
    ]
