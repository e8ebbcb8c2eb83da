"""Preferred workers of a function, in an order that all routers whose lists agree share without talking.

Ready workers stand on a ring by the hash of their ids.  A function's candidates are the workers that follow
its own hash there, and rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998) orders them.
A fleet of at most `CANDIDATES` workers is ordered whole; in a larger one a lookup costs no more, but for its
search.
"""

from __future__ import annotations

from bisect import bisect_left

from swiftwell import router_state as rs

SPLIT = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio: scatters hashes
# Workers ordered for a function: each of a large fleet is a candidate for a like share, within a tenth.
CANDIDATES = 128
FEW = 64  # changes taken one by one: more are sorted in at once, as a whole list is
CANDIDATES_EACH = 2  # at least, for each worker asked for: longer orders begin with nearly the same ones


class Ring:
    """Ready workers by their hash.  Lookups and changes search in O(log n); a change moves pointers too."""

    def __init__(self) -> None:
        self._keys: list[int] = []
        self.workers: list[rs.Worker] = []  # in the order of their keys

    def update(self, changed: list[rs.Worker]) -> None:
        """Take the places of workers from their states: on the ring while they are ready."""
        if len(changed) > FEW:
            self._rebuild(changed)
            return
        for worker in changed:
            at = bisect_left(self._keys, worker.key)
            there = at < len(self._keys) and self._keys[at] == worker.key
            if worker.ready and there:
                self.workers[at] = worker
            elif worker.ready:
                self._keys.insert(at, worker.key)
                self.workers.insert(at, worker)
            elif there and self.workers[at] is worker:
                del self._keys[at], self.workers[at]

    def _rebuild(self, changed: list[rs.Worker]) -> None:
        places = {worker.key: worker for worker in self.workers if worker.ready}
        places |= {worker.key: worker for worker in changed if worker.ready}
        self._keys[:] = sorted(places)
        self.workers[:] = [places[key] for key in self._keys]

    def preferred(self, key: int, count: int) -> list[rs.Worker]:
        """The first `count` workers for a function's key, fewer where fewer are ready."""
        size = max(CANDIDATES, CANDIDATES_EACH * count)
        if size >= len(self.workers):
            candidates = self.workers
        else:
            at = bisect_left(self._keys, key)
            candidates = self.workers[at : at + size]
            candidates += self.workers[: size - len(candidates)]
        return sorted(candidates, key=lambda worker: (worker.key ^ key) * SPLIT % 2**64)[:count]
