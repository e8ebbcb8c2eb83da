"""Connects the gateways of a day as a fleet: the relay between them, the resource on which the holder of the
exercised lease acts, and the verdict on what both saw."""

from __future__ import annotations

import socket
from typing import Any

from swiftwell.fleet.lease import choose_voters
from swiftwell.proof.days import Day, Trouble
from swiftwell.proof.holders import count_holder_breaches, holder_gaps
from swiftwell.proof.rules import Event
from swiftwell.proof.verdict import quantile
from swiftwell.standins.relay import Lines, Relay
from swiftwell.standins.resource import Resource

LEASE = "job"  # name of the exercised lease
SECOND_US = 1_000_000


def free_ports(count: int) -> list[int]:
    """Loopback UDP ports that are free at the time of the call."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for socket_ in sockets:
        socket_.bind(("127.0.0.1", 0))
    ports = [socket_.getsockname()[1] for socket_ in sockets]
    for socket_ in sockets:
        socket_.close()
    return ports


class GatewayFleet:
    """The network between the gateways of a day, and the resource on which they act under a lease."""

    def __init__(self, day: Day, seed: int) -> None:
        assert day.together
        self.settings, self.size = day.together, day.gateways
        self._loads_limited = day.load_window_ms > 0
        # Absent members come last in the roster; no process binds their ports.
        self.names = [f"gw-{number}" for number in range(self.size + day.together.absent)]
        self.ports = free_ports(len(self.names))
        self.relay = Relay(self.ports, seed)
        self.resource = Resource(self.settings.checks)
        self.lines: Lines | None = None
        self.epoch, self.previous_epoch = 1, ""

    async def start(self) -> None:
        """Open all sockets."""
        await self.relay.start()
        port = await self.resource.start()
        self.lines = Lines(self.size, self.size, port)
        self.lines.faults = self.relay.faults  # shared with the relay; the resource is member `size`
        await self.lines.start()

    def settings_block(self, position: int) -> str:
        """The `fleet` block of the settings of the gateway at this position."""
        settings = self.settings
        assert self.lines
        members = "\n".join(
            f'    member "{name}" at="127.0.0.1:{self.ports[n] if n == position else self.relay.ports[n]}"'
            f' zone="z{n % settings.zones}"'
            for n, name in enumerate(self.names)
        )
        lease_exercise = (
            f'    drill "{LEASE}" resource="127.0.0.1:{self.lines.ports[position]}" act-ms={settings.act_ms}'
        )
        budgets = " ".join(f'"{budget}"' for budget in settings.budgets)
        one_reader, one_order = (
            str(enabled).lower()
            for enabled in (settings.one_reader, settings.one_order and not self._loads_limited)
        )
        return (
            f"fleet term-ms={settings.term_ms} period-ms={settings.period_ms} voters={settings.voters} "
            f"epoch={self.epoch} one-reader={one_reader} one-order={one_order} "
            f"list-rate={settings.list_rate} sites={str(settings.sites).lower()} {{\n{members}\n"
            f"{lease_exercise if settings.drill else ''}\n    {f'budgets {budgets}' if budgets else ''}\n"
            f"    {self.previous_epoch}\n}}"
        )

    def next_epoch(self) -> None:
        """Give settings written from now on the next epoch, which replaces the current one."""
        self.epoch += 1
        self.previous_epoch = "before " + " ".join(f'"{name}"' for name in self.names)

    def targets(self, trouble: Trouble, events: list[Event]) -> list[int]:
        """The gateways that a trouble affects: the current holder or reader as the resource or the worker
        list sees it, the voters, or those that the trouble numbers."""
        match trouble.whom:
            case "holder":
                acts = self.resource.acts
                return [int(acts[-1].who.removeprefix("gw-"))] if acts else [trouble.gateway]
            case "reader":
                queries = [event["gw"] for event in events if event["ev"] == "list-asked"]
                return [int(queries[-1].removeprefix("gw-"))] if queries else [trouble.gateway]
            case "voters":
                voters = (
                    self.names.index(name) for name in choose_voters(self.names, LEASE, self.settings.voters)
                )
                return [number for number in voters if number < self.size]
        count = max(1, round(trouble.gateways * self.size))
        return [(trouble.gateway + n) % self.size for n in range(count)]

    def close(self) -> None:
        """Close all sockets."""
        if self.lines:
            self.lines.close()
        self.relay.close()
        self.resource.close()

    def verdict(self, events: list[Event]) -> dict[str, Any]:
        """The fleet's part of the verdict: what the resource, the relay and the worker list saw."""
        acts = self.resource.acts
        overlaps, stale = count_holder_breaches(acts)
        gaps = holder_gaps(acts)
        queries = [event for event in events if event["ev"] == "list-asked"]
        times = [event["t"] for event in queries]
        max_queries = max(
            (sum(0 <= later - time < SECOND_US for later in times) for time in times), default=0
        )
        return {
            "acts": len(acts),
            "changes": len(gaps),
            "overlaps": overlaps,
            "older": stale,
            "turned_away": len(self.resource.turned_away),
            "without_holder_ms": {
                "p50": round(quantile(gaps, 0.5) / 1e3, 1),
                "p99": round(quantile(gaps, 0.99) / 1e3, 1),
                "max": round(max(gaps, default=0.0) / 1e3, 1),
            },
            "datagrams": {"passed": self.relay.passed, "lost": self.relay.lost},
            "list": {
                "asked": len(queries),
                "by": len({event["gw"] for event in queries}),
                "most_in_a_second": max_queries,
            },
        }
