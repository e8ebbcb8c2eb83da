"""The list of a zone in virtual time: `ZoneList` of each node, and a service that answers at once, or not."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from swiftwell.lab.simulated_fleet import SimulatedFleet
from swiftwell.starting.list_reader import QueryMode
from swiftwell.starting.zone import ZoneList

SECOND = 1_000_000  # us


class Zone(SimulatedFleet):
    """`size` nodes of one zone, of whom those `present` run; `rows` is the list at the service."""

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
        self.rows = {f"127.0.0.1:{40_000 + n}": b"row %d" % n + b"x" * 24 for n in range(workers)}
        self.up = True
        self.held = set(group)  # who reaches the service
        self.asked: list[tuple[int, int, QueryMode]] = []  # when, who, in which turn
        self.down = set(group) - set(group if present is None else present)
        self.lists = [self._list(me) for me in group]
        self._seen: dict[int, dict[str, bytes]] = {}  # what each reader last heard from the service
        self._wall = 1_000

    def _list(self, me: int) -> ZoneList:
        return ZoneList(self.nodes[me], "list", self.rate, self.now)

    def again(self, me: int) -> None:
        """One starts from nothing."""
        self._wall += 1
        self.restart(me, self._wall)
        self.lists[me] = self._list(me)

    def _look(self, stopped: Collection[int]) -> None:
        for me in self.group:
            if me in self.down or me in stopped:
                continue
            one, reader = self.lists[me], self.lists[me].reader
            reaches, wall_ms = self.up and me in self.held, self.now // 1_000
            if reader.is_reader and not reaches:
                reader.on_failure()
                continue
            if reader.is_reader and self._seen.get(me) != self.rows:
                one.on_service_list(self.now, wall_ms, self.rows)
                self._seen[me] = self.rows
            what = one.step(self.now, wall_ms, reader.is_reader)
            if what.query is not QueryMode.NONE:
                self.asked.append((self.now, me, what.query))
                reader.on_query(self.now)
                if reaches:
                    one.on_service_list(self.now, wall_ms, self.rows)
                    self._seen[me] = self.rows
                else:
                    reader.on_failure()

    def go(
        self, seconds: float, each: Callable[[], object] = lambda: None, stopped: Collection[int] = ()
    ) -> None:
        """Let time pass."""
        self.run(seconds, lambda: (self._look(stopped), each()), stopped)

    def has(self, me: int) -> bool:
        """Whether one has the list as it is."""
        return self.nodes[me].replicated_logs["list"].entries() == self.rows

    def readers(self) -> list[int]:
        """Who reads."""
        return [me for me in self.group if me not in self.down and self.lists[me].reader.is_reader]

    def worst_second(self) -> int:
        """The most questions of routers that hear others, in any second."""
        times = [at for at, _, what in self.asked if what is not QueryMode.ISOLATED]
        return max((sum(0 <= b - a < SECOND for b in times) for a in times), default=0)
