"""`swiftwell scale`: measures runs at sizes up to the target and fills the capacity page with them."""

from __future__ import annotations

import sys
from pathlib import Path

import click

RESULTS = Path("docs/figures/scale.jsonl")
PAGE = Path("docs/CAPACITY.md")
PLOT = Path("docs/figures/scale.png")


def _fail(text: object) -> None:
    click.echo(f"swiftwell scale: {text}", err=True)
    sys.exit(2)


@click.group()
def scale() -> None:
    """Run scale tests of the shipped code against minimal peers, and fill docs/CAPACITY.md."""


@scale.command()
@click.argument("what")
@click.argument("factors", nargs=-1, metavar="[FACTOR=SIZE]...")
@click.option("--file", type=click.Path(path_type=Path, dir_okay=False), default=RESULTS, show_default=True)
@click.option("--build", default="after", show_default=True, help="Name of the build that is run.")
@click.option("--root", default=".", show_default=True, help="Checkout that routers run from.")
def run(what: str, factors: tuple[str, ...], file: Path, build: str, root: str) -> None:
    """Play a plan (small, routing, membership, list) or one case of a kind with its factors.

    Cases whose rows FILE already has are skipped.  For example:
    swiftwell scale run routing workers=4000 changes_per_s=10
    """
    from swiftwell.scale import cases, results, runner, slopes

    try:
        plan = [_case(what, factors)] if factors or what not in cases.PLANS else cases.PLANS[what]()
        if not (Path(root) / "swiftwell" / "scale").is_dir():
            _fail(f"--root: {root}: expected a checkout of the program")
        run_count = runner.run_cases(plan, file, build, root, _print_row, slopes.predict)
    except (cases.CaseError, results.ResultsError, OSError) as error:
        _fail(error)
    click.echo(f"{run_count} of {len(plan)} cases run, rows in {file}", err=True)


def _case(kind: str, factors: tuple[str, ...]):
    from swiftwell.scale import cases

    sizes: dict[str, object] = {}
    for factor in factors:
        name, separator, value = factor.partition("=")
        if not separator:
            raise cases.CaseError(f"{factor!r}: expected FACTOR=SIZE")
        sizes[name] = value
    if kind not in cases.KINDS:
        raise cases.CaseError(
            f"{kind!r}: expected one of {', '.join(dict.fromkeys([*cases.PLANS, *cases.KINDS]))}"
        )
    return cases.make(kind, sizes)


def _print_row(row) -> None:
    import json

    click.echo(f"{row.key} {json.dumps(row.values)}")


@scale.command()
@click.option("--file", type=click.Path(path_type=Path, dir_okay=False), default=RESULTS, show_default=True)
@click.option("--page", type=click.Path(path_type=Path, dir_okay=False), default=PAGE, show_default=True)
@click.option("--plot", type=click.Path(path_type=Path, dir_okay=False), default=PLOT, show_default=True)
@click.option("--check", is_flag=True, help="Write nothing; exit 1 if the page and the rows differ.")
def report(file: Path, page: Path, plot: Path, check: bool) -> None:
    """Fill the tables of PAGE from the rows of FILE, and plot the slopes."""
    from swiftwell.scale import report as tables
    from swiftwell.scale import results

    try:
        rows = results.read(file)
        if not rows:
            _fail(f"{file}: no rows; expected rows written by `swiftwell scale run`")
        if check:
            text = page.read_text(encoding="utf-8")
            sys.exit(0 if tables.fill(text, rows) == text else 1)
        changed = tables.write(page, rows)
    except (results.ResultsError, tables.ReportError, OSError) as error:
        _fail(error)
    from swiftwell.scale import plots

    plots.draw(rows, plot)
    click.echo(f"{page}: {'updated' if changed else 'unchanged'}; {plot}", err=True)
