"""Fleet nodes under one virtual clock: what passes between them is lost and cut as told; one seed.

A datagram arrives at the next step, TICK_US later: some fifty times what a real one takes on a LAN.

For sizes that processes don't reach, and for tests.  The same nodes run in `fleet/link`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from typing import Any

from swiftwell.fleet.node import TICK_US, FleetNode, FleetSettings


class Town:
    """`size` nodes; `more` goes to the settings of each."""

    def __init__(self, size: int, seed: int = 1, **more: Any) -> None:
        self.now, self.size, self.chance = 1_000_000, size, random.Random(seed)
        names = tuple(f"gw-{number}" for number in range(size))
        self.told = [FleetSettings(names, me, **({"term_us": 2_000_000} | more)) for me in range(size)]
        self.nodes = [FleetNode(told, self.now, 1_000, seed) for told in self.told]
        self.cut: set[tuple[int, int]] = set()
        self.loss = 0.0
        self.down: set[int] = set()
        self.sent = 0
        self._mail: dict[int, list[tuple[int, int, bytes]]] = {}  # by the step at which it arrives

    def restart(self, me: int, wall_ms: int) -> None:
        """A node from nothing."""
        self.nodes[me] = FleetNode(self.told[me], self.now, wall_ms, 2)

    def run(
        self, seconds: float, each: Callable[[], object] = lambda: None, stopped: Collection[int] = ()
    ) -> None:
        """Let time pass; `stopped` nodes stand still."""
        end = self.now + int(seconds * 1e6)
        while self.now < end:
            self.now += TICK_US
            came: dict[int, list[bytes]] = {}
            for sender, to, raw in self._mail.pop(self.now, ()):
                if (sender, to) not in self.cut and self.chance.random() >= self.loss:
                    came.setdefault(to, []).append(raw)
            for me, node in enumerate(self.nodes):
                if me in self.down or me in stopped:
                    continue
                for to, raw in node.step(self.now, came.get(me, ())):
                    self.sent += 1
                    self._mail.setdefault(self.now + TICK_US, []).append((me, to, raw))
            each()

    def alive(self, me: int) -> set[int]:
        """Whom one holds for living."""
        return set(self.nodes[me].members.alive())
