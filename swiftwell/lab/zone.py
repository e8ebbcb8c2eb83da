"""Simulates the worker list of a zone in virtual time: the `ZoneList` of each node and a list service.

The service answers at once or, while it is down or unreachable, fails at once.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from swiftwell.lab.simulated_fleet import SimulatedFleet
from swiftwell.starting.list_reader import QueryMode
from swiftwell.starting.zone import ZoneList

SECOND_US = 1_000_000


class Zone(SimulatedFleet):
    """`size` nodes of one zone, of which those in `present` run; `service_list` is the service's list."""

    def __init__(
        self,
        size: int,
        seed: int = 1,
        rate: float = 3.0,
        present: Iterable[int] | None = None,
        workers: int = 50,
    ) -> None:
        group = tuple(range(size))
        super().__init__(size, seed, replicated_logs=(("list", group),), period_us=500_000)
        self.rate, self.group = rate, group
        self.service_list = {f"127.0.0.1:{40_000 + n}": b"row %d" % n + b"x" * 24 for n in range(workers)}
        self.service_up = True
        self.can_reach_service = set(group)
        self.queries: list[tuple[int, int, QueryMode]] = []  # time, node, mode
        self.down = set(group) - set(group if present is None else present)
        self.lists = [self._new_list(me) for me in group]
        self._last_answers: dict[int, dict[str, bytes]] = {}  # by node: the service's last answer
        self._wall = 1_000

    def _new_list(self, me: int) -> ZoneList:
        return ZoneList(self.nodes[me], "list", self.rate, self.now)

    def restart_empty(self, me: int) -> None:
        """Restarts a node without state."""
        self._wall += 1
        self.restart(me, self._wall)
        self.lists[me] = self._new_list(me)

    def _step_lists(self, stopped: Collection[int]) -> None:
        for me in self.group:
            if me in self.down or me in stopped:
                continue
            zone_list, reader = self.lists[me], self.lists[me].reader
            reachable, wall_ms = self.service_up and me in self.can_reach_service, self.now // 1_000
            if reader.is_reader and not reachable:
                reader.on_failure()
                continue
            if reader.is_reader and self._last_answers.get(me) != self.service_list:
                zone_list.on_service_list(self.now, wall_ms, self.service_list)
                self._last_answers[me] = self.service_list
            result = zone_list.step(self.now, wall_ms, reader.is_reader)
            if result.query is not QueryMode.NONE:
                self.queries.append((self.now, me, result.query))
                reader.on_query(self.now)
                if reachable:
                    zone_list.on_service_list(self.now, wall_ms, self.service_list)
                    self._last_answers[me] = self.service_list
                else:
                    reader.on_failure()

    def advance(
        self, seconds: float, on_step: Callable[[], object] = lambda: None, stopped: Collection[int] = ()
    ) -> None:
        """Advances the clock and steps the lists of all running nodes."""
        self.run(seconds, lambda: (self._step_lists(stopped), on_step()), stopped)

    def is_current(self, me: int) -> bool:
        """Whether a node's list equals the service's."""
        return self.nodes[me].replicated_logs["list"].entries() == self.service_list

    def readers(self) -> list[int]:
        """Returns the nodes that read the service's list for the zone."""
        return [me for me in self.group if me not in self.down and self.lists[me].reader.is_reader]

    def max_queries_per_second(self) -> int:
        """Returns the maximum number of queries in any second, without those of isolated nodes."""
        times = [at for at, _, mode in self.queries if mode is not QueryMode.ISOLATED]
        return max((sum(0 <= b - a < SECOND_US for b in times) for a in times), default=0)
