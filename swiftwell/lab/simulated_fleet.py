"""Simulates fleet nodes under one virtual clock, with datagram loss and blocked links; one seed, one run.

A datagram arrives at the next step, TICK_US later, which is about fifty times its latency on a LAN.

Serves tests and fleet sizes that can't be reached with processes.  In production the same nodes run in
`fleet/link`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from typing import Any

from swiftwell.fleet.node import TICK_US, FleetNode, FleetSettings


class SimulatedFleet:
    """`size` nodes; `more` is added to the settings of each."""

    def __init__(self, size: int, seed: int = 1, **more: Any) -> None:
        self.now, self.size, self.random = 1_000_000, size, random.Random(seed)
        names = tuple(f"gw-{number}" for number in range(size))
        self.settings = [FleetSettings(names, me, **({"term_us": 2_000_000} | more)) for me in range(size)]
        self.nodes = [FleetNode(settings, self.now, 1_000, seed) for settings in self.settings]
        self.blocked_links: set[tuple[int, int]] = set()  # (sender, receiver)
        self.loss = 0.0  # share of datagrams lost
        self.down: set[int] = set()
        self.sent = 0  # datagrams
        self._in_transit: dict[int, list[tuple[int, int, bytes]]] = {}  # by the step at which they arrive

    def restart(self, me: int, wall_ms: int) -> None:
        """Replaces a node by a new one without state."""
        self.nodes[me] = FleetNode(self.settings[me], self.now, wall_ms, 2)

    def run(
        self, seconds: float, on_step: Callable[[], object] = lambda: None, stopped: Collection[int] = ()
    ) -> None:
        """Advances the clock; nodes in `stopped` are not stepped and lose what arrives for them."""
        end = self.now + int(seconds * 1e6)
        while self.now < end:
            self.now += TICK_US
            received: dict[int, list[bytes]] = {}
            for sender, to, raw in self._in_transit.pop(self.now, ()):
                if (sender, to) not in self.blocked_links and self.random.random() >= self.loss:
                    received.setdefault(to, []).append(raw)
            for me, node in enumerate(self.nodes):
                if me in self.down or me in stopped:
                    continue
                for to, raw in node.step(self.now, received.get(me, ())):
                    self.sent += 1
                    self._in_transit.setdefault(self.now + TICK_US, []).append((me, to, raw))
            on_step()

    def alive(self, me: int) -> set[int]:
        """Returns the members that a node considers alive."""
        return set(self.nodes[me].members.alive())
