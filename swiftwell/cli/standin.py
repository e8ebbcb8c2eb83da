"""`swiftwell standin`: runs each stand-in as a program of its own.

Each prints one JSON line when it is ready, takes commands on standard input (docs/proof.md), and ends on
SIGTERM, or when its input ends if `--with-input` is given.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from swiftwell.proof.trace import Trace
from swiftwell.standins.control import Controls, say


@click.group()
def standin() -> None:
    """Run a stand-in for what surrounds a gateway: broker, worker, store, list, fleet, publishers."""


async def _serve_until_signal(controls: Controls) -> None:
    """Executes commands from standard input until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    commands = asyncio.ensure_future(controls.listen())
    await stopped.wait()
    commands.cancel()


def _trace(folder: Path | None, name: str) -> Trace:
    return Trace(name, folder / f"{name}.trace" if folder else Path("/dev/null"))


def _run(main: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(main())  # type: ignore[arg-type]


_TRACE = click.option("--trace", type=click.Path(path_type=Path), help="Folder for the trace.")
_PORT = click.option("--port", default=0, show_default=True, help="Port on 127.0.0.1; 0 takes a free one.")


@standin.command()
@_PORT
@_TRACE
def broker(port: int, trace: Path | None) -> None:
    """An MQTT broker, 5.0 and 3.1.1."""
    from swiftwell.standins.broker import Broker

    async def run() -> None:
        server = Broker(_trace(trace, "broker"))
        say({"port": server.start(port)})
        await _serve_until_signal(Controls({"fault": server.fault}))

    _run(run)


@standin.command()
@_PORT
@_TRACE
@click.option(
    "--heartbeat-s", default=60, show_default=True, help="Heartbeat interval that it requests, in s."
)
def amqp(port: int, trace: Path | None, heartbeat_s: int) -> None:
    """An AMQP 0-9-1 broker."""
    from swiftwell.standins.amqp import AmqpBroker

    async def run() -> None:
        server = AmqpBroker(_trace(trace, "amqp"), heartbeat_s=heartbeat_s)
        say({"port": server.start(port)})
        await _serve_until_signal(Controls({"fault": server.fault}))

    _run(run)


@standin.command()
@_PORT
@_TRACE
@click.option("--cores", default=4.0, show_default=True)
@click.option("--speed", default=1.0, show_default=True)
@click.option("--memory-mb", default=8_000.0, show_default=True)
@click.option("--work-ms", default=60.0, show_default=True, help="Mean work of a call.")
@click.option("--store", default="", help="HOST:PORT of the model store; without it, loads fetch nothing.")
def worker(
    port: int, trace: Path | None, cores: float, speed: float, memory_mb: float, work_ms: float, store: str
) -> None:
    """A calc server."""
    from swiftwell.standins.model import Machine
    from swiftwell.standins.worker import Worker

    async def run() -> None:
        machine = Machine(cores, speed, memory_mb)
        server = Worker(_trace(trace, "worker"), machine, 1, {"": work_ms * 1e3}, store)
        say({"port": server.start(port)})
        await _serve_until_signal(Controls({"fault": server.fault, "die": server.die, "drain": server.drain}))

    _run(run)


@standin.command()
@_PORT
@_TRACE
@click.option("--fetch-ms", default=200.0, show_default=True)
@click.option("--room", default=12, show_default=True, help="Concurrent fetches served at full rate.")
@click.option("--most", default=64, show_default=True, help="Concurrent fetches above which it refuses.")
def store(port: int, trace: Path | None, fetch_ms: float, room: int, most: int) -> None:
    """The model store."""
    from swiftwell.standins.store import Store

    async def run() -> None:
        server = Store(_trace(trace, "store"), fetch_ms / 1e3, room, most)
        say({"port": server.start(port)})
        await _serve_until_signal(Controls({"fault": server.fault}))

    _run(run)


@standin.command(name="list")
@_PORT
@_TRACE
@click.option("--late-ms", default=700, show_default=True, help="Delay in ms until the list shows a change.")
@click.option("--worker", "workers", multiple=True, help="HOST:PORT of a running worker.")
def list_(port: int, trace: Path | None, late_ms: int, workers: tuple[str, ...]) -> None:
    """The service that lists the workers."""
    from swiftwell.standins.listing import Listing

    async def run() -> None:
        server = Listing(_trace(trace, "list"), late_ms / 1e3)
        for address in workers:
            server.put(address, now=True, started_ms=0)
        say({"port": server.start(port)})
        await _serve_until_signal(Controls({"fault": server.fault, "put": server.put}))

    _run(run)


@standin.command()
@_TRACE
@click.option("--plan", type=click.Path(path_type=Path, exists=True), required=True, help="A day's plan.")
def fleet(trace: Path | None, plan: Path) -> None:
    """All calc servers of a day with their store and list, in one process."""
    from swiftwell.standins.fleet import Fleet

    async def run() -> None:
        plan_content = msgspec.json.decode(plan.read_bytes())
        fleet = Fleet(
            _trace(trace, "fleet"), _decode_day(plan_content), plan_content["seed"], plan_content["scale"]
        )
        say(fleet.start())
        await _serve_until_signal(Controls(fleet.commands()))

    _run(run)


@standin.command()
@_TRACE
@click.option("--plan", type=click.Path(path_type=Path, exists=True), required=True, help="A day's plan.")
@click.option("--addresses", type=click.Path(path_type=Path, exists=True), required=True)
def publishers(trace: Path | None, plan: Path, addresses: Path) -> None:
    """All publishers of a day; exits once each attempt to publish has ended."""
    from swiftwell.standins.fleet import crowds

    async def run() -> None:
        plan_content = msgspec.json.decode(plan.read_bytes())
        address_lists = msgspec.json.decode(addresses.read_bytes(), type=dict[str, list[str]])
        crowds_of_day = crowds(
            _trace(trace, "publishers"),
            _decode_day(plan_content),
            plan_content["seed"],
            plan_content["scale"],
            address_lists,
        )
        say({"ready": len(crowds_of_day)})
        await asyncio.gather(*(crowd.run() for crowd in crowds_of_day))
        say({"ended": True})

    _run(run)
    sys.exit(0)


def _decode_day(plan_content: dict[str, Any]) -> Any:
    from swiftwell.proof.days import Day

    return msgspec.convert(plan_content["day"], Day)
