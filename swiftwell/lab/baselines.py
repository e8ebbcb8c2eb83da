"""Designs to compare the module with, and nothing more: they choose a worker in a line or two.

Each keeps the module's books, timers, attempts and rules around its choice, so that what differs is the
choice alone.  None of them is ever served with.
"""

from __future__ import annotations

import random

from swiftwell import interface as io
from swiftwell import router_state as rs
from swiftwell.choice import Router
from swiftwell.lab.gateway import Make


class _Simple(Router):
    """Sends at once, to whomever `_pick` says; a call that none may take is held as the module holds it."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._own = random.Random(seed)
        self._count = 0

    def _place(self, call: rs.Call) -> bool:
        tried = [attempt.worker for attempt in call.attempts]
        able = [worker for worker in self.ready if worker not in tried and self._may_send(call, worker)]
        if not able:
            return False
        worker = self._pick(call, able)
        self._send(call, worker, not worker.believed(call.function.name, self.now))
        return True

    def _pick(self, call: rs.Call, able: list[rs.Worker]) -> rs.Worker:
        raise NotImplementedError


class Random(_Simple):
    """Any worker."""

    def _pick(self, call: rs.Call, able: list[rs.Worker]) -> rs.Worker:
        return self._own.choice(able)


class RoundRobin(_Simple):
    """The next one."""

    def _pick(self, call: rs.Call, able: list[rs.Worker]) -> rs.Worker:
        self._count += 1
        return able[self._count % len(able)]


class LeastInFlight(_Simple):
    """The one with the fewest of our own calls in flight."""

    def _pick(self, call: rs.Call, able: list[rs.Worker]) -> rs.Worker:
        return min(able, key=lambda worker: (worker.inflight, self._own.random()))


class TwoChoices(_Simple):
    """Of two at random, the one with fewer of our own calls in flight."""

    def _pick(self, call: rs.Call, able: list[rs.Worker]) -> rs.Worker:
        one, two = self._own.choice(able), self._own.choice(able)
        return one if one.inflight <= two.inflight else two


class ByHash(_Simple):
    """The function's own worker, by rendezvous hashing."""

    def _pick(self, call: rs.Call, able: list[rs.Worker]) -> rs.Worker:
        name = call.function.name
        return max(able, key=lambda worker: rs.stable_hash(f"{name}/{worker.entry.worker}"))


DESIGNS: dict[str, Make] = {
    "module": Router,
    "random": Random,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "two-choices": TwoChoices,
    "by-hash": ByHash,
}
