"""Ranks the preferred workers of a function in an order shared by all routers whose worker lists agree.

Ready workers are kept on a ring, sorted by the hash of their ids.  A lookup takes the segment of workers that
follows the function's own hash, and orders it by rendezvous hashing (highest random weight; Thaler and
Ravishankar, 1998).  Routers need not communicate to agree on the order.  A fleet of at most `MIN_RANKED`
workers is ranked whole; in a larger one a lookup costs no more, except for the binary search.
"""

from __future__ import annotations

from bisect import bisect_left

from swiftwell import router_state as rs

HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio: scatters hashes
# Workers ranked for a function, at least.  With so many, each worker of a large fleet is ranked for the same
# share of the functions, within a tenth.
MIN_RANKED = 128
MAX_SINGLE_CHANGES = 64  # changes that are applied one by one; more are sorted in at once, as a whole list is
# Workers ranked for each one requested, so that a longer result begins with nearly the same workers.
RANKED_PER_REQUESTED = 2


class Ring:
    """Ready workers, sorted by hash.  Lookups and changes are O(log n) searches; changes also shift lists."""

    def __init__(self) -> None:
        self._keys: list[int] = []
        self.workers: list[rs.Worker] = []  # in the order of their keys

    def update(self, changed: list[rs.Worker]) -> None:
        """Put changed workers on the ring if they are ready, and remove the others."""
        if len(changed) > MAX_SINGLE_CHANGES:
            self._rebuild(changed)
            return
        for worker in changed:
            position = bisect_left(self._keys, worker.key)
            present = position < len(self._keys) and self._keys[position] == worker.key
            if worker.ready and present:
                self.workers[position] = worker
            elif worker.ready:
                self._keys.insert(position, worker.key)
                self.workers.insert(position, worker)
            elif present and self.workers[position] is worker:
                del self._keys[position], self.workers[position]

    def _rebuild(self, changed: list[rs.Worker]) -> None:
        by_key = {worker.key: worker for worker in self.workers if worker.ready}
        by_key |= {worker.key: worker for worker in changed if worker.ready}
        self._keys[:] = sorted(by_key)
        self.workers[:] = [by_key[key] for key in self._keys]

    def preferred(self, key: int, count: int) -> list[rs.Worker]:
        """The first `count` workers for a function's key, or all if fewer are ready."""
        size = max(MIN_RANKED, RANKED_PER_REQUESTED * count)
        if size >= len(self.workers):
            segment = self.workers
        else:
            position = bisect_left(self._keys, key)
            segment = self.workers[position : position + size]
            segment += self.workers[: size - len(segment)]
        return sorted(segment, key=lambda worker: (worker.key ^ key) * HASH_MULTIPLIER % 2**64)[:count]
