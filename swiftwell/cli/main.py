"""The `swiftwell` command and its subcommands that run and check a gateway."""

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

from swiftwell.cli.document_loading import load_or_exit
from swiftwell.settings.schema import reference
from swiftwell.settings.site import Site, load

# Command: module and attribute.  Imported on use, as importing all of them triples the start-up time.
LAZY_COMMANDS = {
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


class LazyGroup(click.Group):
    """A command group that imports the modules of LAZY_COMMANDS on use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Lists the names of all commands."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Returns a command, importing its module if needed."""
        if name in LAZY_COMMANDS:
            module, attribute = LAZY_COMMANDS[name]
            return getattr(importlib.import_module(module), attribute)
        return super().get_command(ctx, name)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """swiftwell: a gateway that runs calls on workers which load functions or models on demand."""


@main.command()
@click.argument("site", type=click.Path(path_type=Path))
@click.option("--ready", is_flag=True, help="Print its ports and process id as one JSON line once it serves.")
@click.option(
    "--take-over", is_flag=True, help="Take over from the gateway that is running on this state folder."
)
def serve(site: Path, ready: bool, take_over: bool) -> None:
    """Run the gateway that SITE describes, until SIGTERM or SIGINT; SIGUSR2 starts its successor.

    With --take-over the exit code is 3 if the running gateway continues instead.
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
        serving = {"name": settings.name, "listener": gateway.listener_port, "health": gateway.health_port}
        logs.write("info", "serving", **serving)
        if ready:
            click.echo(msgspec.json.encode(serving | {"pid": os.getpid()}).decode())
            sys.stdout.flush()
        await gateway.ended.wait()
        return 0

    sys.exit(uvloop.run(run()))


@main.command()
@click.argument("site", type=click.Path(path_type=Path))
@click.option("--log", type=click.Path(path_type=Path), help="File to append the new gateway's log to.")
@click.option("--within", "timeout_s", default=30.0, show_default=True, help="Seconds for the whole upgrade.")
def upgrade(site: Path, log: Path | None, timeout_s: float) -> None:
    """Start a new gateway for SITE that takes over from the running one, and wait until it serves.

    The exit code is 0 if the new gateway serves, 3 if the old one continues, 2 if the settings are invalid
    and 1 if no gateway is running.
    """
    settings = _load(site)
    from swiftwell.handover import successor

    channel = successor.connect(settings.state)
    if channel is None:
        click.echo(f"{settings.state}: no gateway is running there; use `swiftwell serve`", err=True)
        sys.exit(1)
    channel.close()
    click.echo(f"{site}: settings are valid; starting the new gateway")
    command = [sys.executable, "-m", "swiftwell", "serve", str(site), "--take-over", "--ready"]
    with open(log, "ab") if log else contextlib.nullcontext() as log_file:
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log_file, start_new_session=True)
    assert process.stdout
    readable, _, _ = select.select([process.stdout], [], [], timeout_s)
    line = process.stdout.readline() if readable else b""
    if line:
        serving = msgspec.json.decode(line, type=dict)
        click.echo(f"the new gateway serves: process {serving['pid']}, listener {serving['listener']}")
        sys.exit(0)
    if not readable:
        process.kill()
    code = process.wait()
    click.echo(f"the new gateway exited with code {code}; the old one continues", err=True)
    sys.exit(3)


@main.command()
@click.argument("site", type=click.Path(path_type=Path), required=False)
@click.option("--fields", is_flag=True, help="List every setting with its unit, bounds and default.")
def check(site: Path | None, fields: bool) -> None:
    """Check the settings in SITE and print all errors, each with file, line and what was expected."""
    if fields:
        click.echo("\n".join(reference(Site)))
        return
    if site is None:
        raise click.UsageError("SITE is missing (or give --fields)")
    settings = _load(site)
    fronts = (["mqtt-listener"] if settings.listener else []) + [
        f"mqtt-broker {broker.name}" for broker in settings.brokers
    ]
    fronts += [f"amqp-broker {broker.name}" for broker in settings.amqp]
    click.echo(f"{site}: valid; {settings.name}, {len(settings.classes)} classes, {', '.join(fronts)}")


def _load(site: Path) -> Site:
    return load_or_exit(lambda: load(site), site)
