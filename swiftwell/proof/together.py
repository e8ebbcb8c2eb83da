"""The gateways of a day as a fleet: the relay between them, the resource of a drill, and what both saw."""

from __future__ import annotations

import socket
from typing import Any

from swiftwell.fleet.lease import choose_voters
from swiftwell.proof.days import Day, Trouble
from swiftwell.proof.holders import gaps, one_holder
from swiftwell.proof.rules import Event
from swiftwell.proof.verdict import quantile
from swiftwell.standins.relay import Lines, Relay
from swiftwell.standins.resource import Resource

LEASE = "job"  # the drill's
SECOND = 1_000_000


def free_ports(count: int) -> list[int]:
    """UDP ports of loopback that were free just now."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    found = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return found


class Town:
    """What is between the gateways of a day, and what only fleets act at."""

    def __init__(self, day: Day, seed: int) -> None:
        assert day.together
        self.told, self.size = day.together, day.gateways
        self._rationed = day.load_window_ms > 0
        # Those that never come stand behind the others: a port of theirs is bound by nobody.
        self.names = [f"gw-{number}" for number in range(self.size + day.together.absent)]
        self.ports = free_ports(len(self.names))
        self.relay = Relay(self.ports, seed)
        self.resource = Resource(self.told.checks)
        self.lines: Lines | None = None
        self.epoch, self.before = 1, ""

    async def start(self) -> None:
        """Open every socket."""
        await self.relay.start()
        port = await self.resource.start()
        self.lines = Lines(self.size, self.size, port)
        self.lines.faults = self.relay.faults  # one matrix: the resource is member `size` of it
        await self.lines.start()

    def block(self, me: int) -> str:
        """The `fleet` block of one gateway's settings."""
        told = self.told
        assert self.lines
        members = "\n".join(
            f'    member "{name}" at="127.0.0.1:{self.ports[n] if n == me else self.relay.ports[n]}"'
            f' zone="z{n % told.zones}"'
            for n, name in enumerate(self.names)
        )
        drill = f'    drill "{LEASE}" resource="127.0.0.1:{self.lines.ports[me]}" act-ms={told.act_ms}'
        budgets = " ".join(f'"{budget}"' for budget in told.budgets)
        reader, order = (str(one).lower() for one in (told.one_reader, told.one_order and not self._rationed))
        return (
            f"fleet term-ms={told.term_ms} period-ms={told.period_ms} voters={told.voters} "
            f"epoch={self.epoch} one-reader={reader} one-order={order} "
            f"list-rate={told.list_rate} sites={str(told.sites).lower()} {{\n{members}\n"
            f"{drill if told.drill else ''}\n    {f'budgets {budgets}' if budgets else ''}\n"
            f"    {self.before}\n}}"
        )

    def next_epoch(self) -> None:
        """Settings written from now on are of the next epoch, which replaces this one."""
        self.epoch += 1
        self.before = "before " + " ".join(f'"{name}"' for name in self.names)

    def whom(self, one: Trouble, events: list[Event]) -> list[int]:
        """The gateways that a trouble concerns, as the resource and the list see it now."""
        match one.whom:
            case "holder":
                acts = self.resource.acts
                return [int(acts[-1].who.removeprefix("gw-"))] if acts else [one.gateway]
            case "reader":
                asked = [event["gw"] for event in events if event["ev"] == "list-asked"]
                return [int(asked[-1].removeprefix("gw-"))] if asked else [one.gateway]
            case "voters":
                voters = (
                    self.names.index(name) for name in choose_voters(self.names, LEASE, self.told.voters)
                )
                return [number for number in voters if number < self.size]
        count = max(1, round(one.gateways * self.size))
        return [(one.gateway + n) % self.size for n in range(count)]

    def close(self) -> None:
        """End what is open."""
        if self.lines:
            self.lines.close()
        self.relay.close()
        self.resource.close()

    def verdict(self, events: list[Event]) -> dict[str, Any]:
        """What the resource, the relay and the list saw."""
        acts = self.resource.acts
        overlaps, older = one_holder(acts)
        without = gaps(acts)
        asked = [event for event in events if event["ev"] == "list-asked"]
        times = [event["t"] for event in asked]
        worst = max((sum(0 <= b - a < SECOND for b in times) for a in times), default=0)
        return {
            "acts": len(acts),
            "changes": len(without),
            "overlaps": overlaps,
            "older": older,
            "turned_away": len(self.resource.turned_away),
            "without_holder_ms": {
                "p50": round(quantile(without, 0.5) / 1e3, 1),
                "p99": round(quantile(without, 0.99) / 1e3, 1),
                "max": round(max(without, default=0.0) / 1e3, 1),
            },
            "datagrams": {"passed": self.relay.passed, "lost": self.relay.lost},
            "list": {
                "asked": len(asked),
                "by": len({event["gw"] for event in asked}),
                "most_in_a_second": worst,
            },
        }
