"""The commands."""

from __future__ import annotations

import contextlib
import importlib
import os
import select
import subprocess
import sys
from pathlib import Path

import click
import msgspec
import uvloop

from swiftwell.cli.reading import or_exit
from swiftwell.settings.schema import reference
from swiftwell.settings.site import Site, load

ELSEWHERE = {  # command: module and name; loaded when it is used, as all of them take three times a start
    "call": ("swiftwell.cli.call", "call"),
    "day": ("swiftwell.cli.day", "day"),
    "demo": ("swiftwell.cli.day", "demo"),
    "fleet": ("swiftwell.cli.fleet", "fleet"),
    "lab": ("swiftwell.cli.lab", "lab"),
    "list": ("swiftwell.cli.lists", "list_"),
    "scale": ("swiftwell.cli.scale", "scale"),
    "sites": ("swiftwell.cli.sites", "sites"),
    "standin": ("swiftwell.cli.standin", "standin"),
}


class Lazy(click.Group):
    """A group whose commands stand in modules of their own."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All of them."""
        return sorted([*super().list_commands(ctx), *ELSEWHERE])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """One, loaded now."""
        if name in ELSEWHERE:
            module, found = ELSEWHERE[name]
            return getattr(importlib.import_module(module), found)
        return super().get_command(ctx, name)


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """swiftwell: a gateway that runs calls on workers which load functions or models on demand."""


@main.command()
@click.argument("site", type=click.Path(path_type=Path))
@click.option("--ready", is_flag=True, help="Say on standard output, in one JSON line, where it serves.")
@click.option("--take-over", is_flag=True, help="Take over from the gateway that runs on this state folder.")
def serve(site: Path, ready: bool, take_over: bool) -> None:
    """Run the gateway that SITE describes, until SIGTERM or SIGINT; SIGUSR2 starts its successor.

    With --take-over the exit code is 3 where the running gateway carries on instead.
    """
    from swiftwell.gateway.journal import JournalError
    from swiftwell.gateway.logs import Logs
    from swiftwell.gateway.shell import Gateway
    from swiftwell.handover import successor
    from swiftwell.handover.channel import HandoverError

    settings = _load(site)
    logs = Logs(settings.log.format, settings.log.level, settings.log.per_kind)

    async def run() -> int:
        gateway = Gateway(settings, logs)
        channel = successor.connect(settings.state) if take_over else None
        try:
            if channel:
                successor.take_over(channel, gateway)
                gateway.take_over()
                channel.close()
            else:
                await gateway.start()
        except HandoverError as error:
            logs.write("error", "no-take-over", why=str(error))
            return 3
        except (JournalError, OSError) as error:
            logs.write("error", "no-start", error=str(error))
            return 1
        gateway.on_signals([sys.executable, "-m", "swiftwell", "serve", str(site), "--take-over"])
        told = {"name": settings.name, "listener": gateway.listener_port, "health": gateway.health_port}
        logs.write("info", "serving", **told)
        if ready:
            click.echo(msgspec.json.encode(told | {"pid": os.getpid()}).decode())
            sys.stdout.flush()
        await gateway.ended.wait()
        return 0

    sys.exit(uvloop.run(run()))


@main.command()
@click.argument("site", type=click.Path(path_type=Path))
@click.option("--log", type=click.Path(path_type=Path), help="File that the new gateway's log is added to.")
@click.option("--within", default=30.0, show_default=True, help="Seconds for the whole of it.")
def upgrade(site: Path, log: Path | None, within: float) -> None:
    """Start a new gateway for SITE that takes over from the running one, and follow it.

    The exit code is 0 where the new one serves, 3 where the old one carries on, 2 where the settings are
    wrong, 1 where no gateway runs.
    """
    settings = _load(site)
    from swiftwell.handover import successor

    channel = successor.connect(settings.state)
    if channel is None:
        click.echo(f"{settings.state}: no gateway runs there; use `swiftwell serve`", err=True)
        sys.exit(1)
    channel.close()
    click.echo(f"{site}: settings are good; starting the new gateway")
    words = [sys.executable, "-m", "swiftwell", "serve", str(site), "--take-over", "--ready"]
    with open(log, "ab") if log else contextlib.nullcontext() as err:
        process = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=err, start_new_session=True)
    assert process.stdout
    readable, _, _ = select.select([process.stdout], [], [], within)
    line = process.stdout.readline() if readable else b""
    if line:
        told = msgspec.json.decode(line, type=dict)
        click.echo(f"the new gateway serves: process {told['pid']}, listener {told['listener']}")
        sys.exit(0)
    if not readable:
        process.kill()
    code = process.wait()
    click.echo(f"the new gateway ended ({code}); the old one carries on", err=True)
    sys.exit(3)


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
    fronts += [f"amqp-broker {b.name}" for b in found.amqp]
    click.echo(f"{site}: good; {found.name}, {len(found.classes)} classes, {', '.join(fronts)}")


def _load(site: Path) -> Site:
    return or_exit(lambda: load(site), site)
