"""`swiftwell sites`: computes plans for the loss of sites and controls their return."""

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

from swiftwell.cli.document_loading import load_or_exit
from swiftwell.settings import sites as document
from swiftwell.sites.plan import Demand, LossPlan, Place, Sites, differences, plans, shedding_order

FORMAT_VERSION = 1  # of a saved plan
ANSWER_TIMEOUT_S = 3.0


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
    """Compute plans for the loss of sites, and control the return of a site."""


def _sites(path: Path) -> Sites:
    loaded = load_or_exit(lambda: document.load(path), path)
    places = tuple(
        Place(
            site.name,
            sum(workers.count * workers.cores * workers.speed for workers in site.workers),
            sum(workers.count * workers.memory_mb for workers in site.workers),
        )
        for site in loaded.sites
    )
    demands = tuple(
        Demand(
            load.request_class, load.tenant, site.name, load.rate, load.work_ms / 1e3, load.worth,
            load.functions, load.memory_mb,
        )
        for site in loaded.sites
        for load in site.loads
    )  # fmt: skip
    prices = {(crossing.origin, crossing.to): crossing.worth for crossing in loaded.crossings}
    allowed = {site.name: site.served_by for site in loaded.sites if site.served_by}
    return Sites(places, demands, loaded.sacrifice, prices, allowed)


def _rows(loss_plans: list[LossPlan]) -> list[dict[str, Any]]:
    rows = []
    for loss_plan in loss_plans:
        row = asdict(loss_plan)
        row["admitted"] = [
            [request_class, tenant, share] for (request_class, tenant), share in loss_plan.admitted.items()
        ]
        rows.append(row)
    return rows


def _read(path: Path) -> list[LossPlan]:
    try:
        content = msgspec.json.decode(path.read_bytes(), type=dict[str, Any])
        if content.get("form") != FORMAT_VERSION:
            raise ValueError(f"format {content.get('form')}, expected {FORMAT_VERSION}")
        rows = msgspec.convert(content["plans"], list[_Row])
    except (OSError, ValueError, KeyError, msgspec.MsgspecError) as error:
        click.echo(f"{path}: not a plan written by `sites plan --out`: {error}", err=True)
        sys.exit(2)
    return [
        LossPlan(
            tuple(row.lost), (),
            {(request_class, tenant): share for request_class, tenant, share in row.admitted},
            row.worth, row.work, row.memory, row.missing_work, row.missing_mb,
        )
        for row in rows
    ]  # fmt: skip


_FILE = click.argument("file", type=click.Path(path_type=Path))


@sites.command()
@_FILE
@click.option(
    "--losses",
    type=click.IntRange(0, 3),
    default=2,
    show_default=True,
    help="Maximum number of sites lost together.",
)
@click.option(
    "--out", type=click.Path(path_type=Path), help="File to write the plan to, for `show` and `diff`."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def plan(file: Path, losses: int, out: Path | None, as_json: bool) -> None:
    """Compute what each loss leaves; exit 1 if something has to be refused."""
    all_sites = _sites(file)
    loss_plans = plans(all_sites, losses)
    text = msgspec.json.encode({"form": FORMAT_VERSION, "plans": _rows(loss_plans)})
    if out:
        out.write_bytes(msgspec.json.format(text, indent=1) + b"\n")
    if as_json:
        click.echo(text.decode())
    else:
        Console().print(table(loss_plans, shedding_order(all_sites)))
        for line in missing(loss_plans):
            click.echo(line)
    sys.exit(0 if all(loss_plan.kept_whole for loss_plan in loss_plans) else 1)


@sites.command()
@_FILE
def check(file: Path) -> None:
    """Check the document only."""
    all_sites = _sites(file)
    click.echo(
        f"{file}: valid; {len(all_sites.places)} sites, refused first: {', '.join(shedding_order(all_sites))}"
    )


@sites.command()
@click.argument("plan", type=click.Path(path_type=Path))
def show(plan: Path) -> None:
    """Show a plan that was written with --out."""
    loss_plans = _read(plan)
    Console().print(
        table(
            loss_plans,
            sorted({request_class for loss_plan in loss_plans for request_class, _ in loss_plan.admitted}),
        )
    )


@sites.command()
@click.argument("old", type=click.Path(path_type=Path))
@click.argument("new", type=click.Path(path_type=Path))
def diff(old: Path, new: Path) -> None:
    """Print the differences between two plans; exit 1 if there are any."""
    lines = differences(_read(old), _read(new))
    click.echo("\n".join(lines) or "no difference")
    sys.exit(1 if lines else 0)


def _send_command(address: str, site: str, command: str) -> None:
    """Sends a command to a gateway, which passes it on to all live ones."""
    request = urllib.request.Request(
        f"http://{address}/sites/{site}/{command}",
        method="POST",
        headers={"swiftwell-who": getpass.getuser()},
    )
    try:
        with urllib.request.urlopen(request, timeout=ANSWER_TIMEOUT_S) as response:
            click.echo(f"{site}: {command} {response.read().decode().strip()}")
    except urllib.error.HTTPError as error:
        click.echo(f"{address}: {error.read().decode().strip()}", err=True)
        sys.exit(2)
    except (OSError, ValueError) as error:
        click.echo(f"{address}: no answer from a gateway's health endpoint: {error}", err=True)
        sys.exit(1)


_ADDRESS = click.argument("address", metavar="HEALTH-HOST:PORT")
_SITE = click.argument("site")


@sites.command()
@_ADDRESS
@_SITE
@click.option("--how", type=click.Choice(["hold", "hurry", "off", "none"]), default="hold", show_default=True)
def hold(address: str, site: str, how: str) -> None:
    """Hold, speed up (hurry) or call off (off) the return of SITE, or let it continue (none)."""
    _send_command(address, site, how)


@sites.command()
@_ADDRESS
@_SITE
def drain(address: str, site: str) -> None:
    """Drain SITE for maintenance: open calls there finish, and no new ones are sent there."""
    _send_command(address, site, "drain")


@sites.command()
@_ADDRESS
@_SITE
def release(address: str, site: str) -> None:
    """Readmit a drained SITE in steps."""
    _send_command(address, site, "release")


def table(loss_plans: list[LossPlan], request_classes: list[str]) -> Table:
    """Renders a row for each loss: share admitted of each class, value kept, work used."""
    result = Table(title="what each loss leaves")
    result.add_column("lost")
    for name in (*request_classes, "worth kept"):
        result.add_column(name, justify="right")
    result.add_column("work used, by site")
    for loss_plan in loss_plans:
        cells = []
        for request_class in request_classes:
            shares = [share for (name, _), share in loss_plan.admitted.items() if name == request_class]
            cells.append(f"{min(shares):.0%}" if shares else "")
        used = ", ".join(f"{name} {share:.0%}" for name, share in loss_plan.work.items())
        result.add_row("+".join(loss_plan.lost) or "nothing", *cells, f"{loss_plan.worth:.1%}", used)
    return result


def missing(loss_plans: list[LossPlan]) -> list[str]:
    """Lists the capacity missing in each plan that can't serve everything."""
    return [
        f"{'+'.join(loss_plan.lost) or 'nothing lost'}: to serve all, "
        f"{loss_plan.missing_work:.1f} s of work a second "
        f"({loss_plan.missing_work:.0f} cores) and {loss_plan.missing_mb:.0f} MB more are needed"
        for loss_plan in loss_plans
        if not loss_plan.kept_whole
    ]
