"""The commands."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import msgspec
import uvloop

from swiftwell.cli.call import call
from swiftwell.cli.day import day, demo
from swiftwell.cli.lists import list_
from swiftwell.cli.standin import standin
from swiftwell.settings.document import SettingsError
from swiftwell.settings.schema import reference
from swiftwell.settings.site import Site, load


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """swiftwell: a gateway that runs calls on workers which load functions or models on demand."""


@main.command()
@click.argument("site", type=click.Path(path_type=Path))
@click.option(
    "--ready", is_flag=True, help="Say on standard output, in one JSON line, when it serves and where."
)
def serve(site: Path, ready: bool) -> None:
    """Run the gateway that SITE describes, until SIGTERM or SIGINT."""
    from swiftwell.gateway.journal import JournalError
    from swiftwell.gateway.logs import Logs
    from swiftwell.gateway.shell import Gateway

    settings = _load(site)
    logs = Logs(settings.log.format, settings.log.level, settings.log.per_kind)

    async def run() -> int:
        gateway = Gateway(settings, logs)
        try:
            await gateway.start()
        except (JournalError, OSError) as error:
            logs.write("error", "no-start", error=str(error))
            return 1
        gateway.on_signals()
        told = {"name": settings.name, "listener": gateway.listener_port, "health": gateway.health_port}
        logs.write("info", "serving", **told)
        if ready:
            click.echo(msgspec.json.encode(told).decode())
            sys.stdout.flush()
        await gateway.ended.wait()
        return 0

    sys.exit(uvloop.run(run()))


@main.command()
@click.argument("site", type=click.Path(path_type=Path), required=False)
@click.option("--fields", is_flag=True, help="List every setting with its unit, bounds and default.")
def check(site: Path | None, fields: bool) -> None:
    """Check the settings in SITE: all errors at once, each with file, line and what was expected."""
    if fields:
        click.echo("\n".join(reference(Site)))
        return
    if site is None:
        raise click.UsageError("SITE is missing (or give --fields)")
    found = _load(site)
    fronts = (["mqtt-listener"] if found.listener else []) + [f"mqtt-broker {b.name}" for b in found.brokers]
    click.echo(f"{site}: good; {found.name}, {len(found.classes)} classes, {', '.join(fronts)}")


def _load(site: Path) -> Site:
    try:
        return load(site)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        click.echo(f"{site}: {len(error.problems)} problem(s)", err=True)
        sys.exit(2)


main.add_command(call)
main.add_command(day)
main.add_command(demo)
main.add_command(list_)
main.add_command(standin)
