"""Baseline designs that the module is compared with: each replaces the choice of a worker by a simple rule.

State, timers, attempts and rules are the module's, so that only the choice differs.  None of them is used in
production.
"""

from __future__ import annotations

import random

from swiftwell import interface as io
from swiftwell import router_state as rs
from swiftwell.choice import Router
from swiftwell.lab.gateway import RouterFactory


class _Simple(Router):
    """Sends a call at once to the worker that `_pick` returns; without a candidate the call is queued."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._random = random.Random(seed)
        self._pick_count = 0

    def _place(self, call: rs.Call) -> bool:
        tried = [attempt.worker for attempt in call.attempts]
        candidates = [worker for worker in self.ready if worker not in tried and self._may_send(call, worker)]
        if not candidates:
            return False
        worker = self._pick(call, candidates)
        self._send(call, worker, not worker.estimated_copies(call.function.name, self.now))
        return True

    def _pick(self, call: rs.Call, candidates: list[rs.Worker]) -> rs.Worker:
        raise NotImplementedError


class Random(_Simple):
    """Picks a random worker."""

    def _pick(self, call: rs.Call, candidates: list[rs.Worker]) -> rs.Worker:
        return self._random.choice(candidates)


class RoundRobin(_Simple):
    """Picks the workers in rotation."""

    def _pick(self, call: rs.Call, candidates: list[rs.Worker]) -> rs.Worker:
        self._pick_count += 1
        return candidates[self._pick_count % len(candidates)]


class LeastInFlight(_Simple):
    """Picks the worker with the fewest of this router's calls in flight."""

    def _pick(self, call: rs.Call, candidates: list[rs.Worker]) -> rs.Worker:
        return min(candidates, key=lambda worker: (worker.inflight, self._random.random()))


class TwoChoices(_Simple):
    """Picks two workers at random and takes the one with fewer of this router's calls in flight."""

    def _pick(self, call: rs.Call, candidates: list[rs.Worker]) -> rs.Worker:
        first, second = self._random.choice(candidates), self._random.choice(candidates)
        return first if first.inflight <= second.inflight else second


class ByHash(_Simple):
    """Picks a worker for the function by rendezvous hashing."""

    def _pick(self, call: rs.Call, candidates: list[rs.Worker]) -> rs.Worker:
        name = call.function.name
        return max(candidates, key=lambda worker: rs.stable_hash(f"{name}/{worker.entry.worker}"))


DESIGNS: dict[str, RouterFactory] = {
    "module": Router,
    "random": Random,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "two-choices": TwoChoices,
    "by-hash": ByHash,
}
