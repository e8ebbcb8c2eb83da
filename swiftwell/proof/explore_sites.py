"""Walks the return of a site: the real RecoveryCoordinator and RecoveryFollower, leases that pass on, words
that come late.

The lease is taken for exclusive here, as proof/explore walks that; what is walked is what conductors and
followers make of it.  Breaches: a slice sooner than its time, a router that goes ahead by more than one or on
the word of an earlier conductor, and a state from which good windows never lead to the end.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from swiftwell.sites.recovery import (
    HOLD_US,
    SETTLE_US,
    SLICES,
    RecoveryCoordinator,
    RecoveryFollower,
    RecoveryProgress,
    SliceObservation,
)

GOOD, BAD = SliceObservation(20, 20), SliceObservation(20, 5)
STEP = SETTLE_US // 2  # us of a jump in time: half of what a slice takes
MOST_WINDOWS = 400  # good windows after which a return counts as stuck: three times what the slowest takes


@dataclass(slots=True)
class Scope:
    """How much may happen on one trace."""

    leases: int = 2
    jumps: int = 4
    goods: int = 5
    bads: int = 1
    routers: int = 2


@dataclass(slots=True)
class ReturnState:
    """One return under way."""

    now: int = 0
    token: int = 0
    holder: int = -1
    conductor: RecoveryCoordinator | None = None
    board: RecoveryProgress | None = None
    late: RecoveryProgress | None = None  # an earlier word, still on its way
    followers: list[RecoveryFollower] = field(default_factory=list)
    risen_at: int = -SETTLE_US  # when a slice was last added
    leases: int = 0
    jumps: int = 0
    goods: int = 0
    bads: int = 0
    breach: str = ""


class ReturnModel:
    """Routers 0.. follow; whoever has the lease conducts.  Planted faults replace the classes."""

    conductor: type[RecoveryCoordinator] = RecoveryCoordinator
    follower: type[RecoveryFollower] = RecoveryFollower

    def __init__(self, scope: Scope) -> None:
        self.scope = scope

    def start(self) -> ReturnState:
        return ReturnState(followers=[self.follower() for _ in range(self.scope.routers)])

    def key(self, state: ReturnState) -> tuple[Any, ...]:
        one = state.conductor
        return (
            state.now, state.token, state.holder, _fields(one) if one else None, state.board, state.late,
            tuple(_fields(follower) for follower in state.followers), state.risen_at, state.leases,
            state.jumps, state.goods, state.bads,
        )  # fmt: skip

    def moves(self, state: ReturnState) -> Iterator[tuple[str, ReturnState]]:
        if state.leases < self.scope.leases:
            for name in range(self.scope.routers):
                if name != state.holder:
                    new = copy.deepcopy(state)
                    new.leases += 1
                    new.token += 1
                    new.holder, new.late = name, state.board or state.late
                    new.conductor = self.conductor(state.now, state.board, new.token)
                    yield f"lease to {name}", new
        if state.conductor:
            if state.goods < self.scope.goods:
                new = self._window(state, GOOD)
                new.goods += 1
                yield "a good window", new
            if state.bads < self.scope.bads and state.conductor.slice:
                new = self._window(state, BAD)
                new.bads += 1
                yield "a bad window", new
        for name in range(self.scope.routers):
            for what, word in (("word", state.board), ("late word", state.late)):
                if word is not None:
                    yield f"{name} hears the {what}", self._hear(state, name, word)
        if state.jumps < self.scope.jumps:
            new = copy.deepcopy(state)
            new.now, new.jumps = state.now + STEP, state.jumps + 1
            yield "time passes", new

    def _window(self, state: ReturnState, seen: SliceObservation) -> ReturnState:
        new = copy.deepcopy(state)
        assert new.conductor
        before = new.conductor.slice
        new.conductor.step(new.now, seen)
        after = new.conductor.slice
        if after > before:
            if before and new.now - state.risen_at < SETTLE_US:
                new.breach = f"slice {after} after {new.now - state.risen_at} us"
            new.risen_at = new.now
        new.late, new.board = state.board or state.late, new.conductor.progress(0)
        if not self._ends(new):
            new.breach = f"no way out of slice {after}"
        return new

    def _hear(self, state: ReturnState, name: int, word: RecoveryProgress) -> ReturnState:
        new = copy.deepcopy(state)
        one = new.followers[name]
        before, token = one.visible_slices, one.token
        one.step(word, 0)
        if one.visible_slices > before + 1:
            new.breach = f"router {name} went from slice {before} to {one.visible_slices} at once"
        elif one.visible_slices > before and word.token < token:
            new.breach = f"router {name} followed token {word.token} after {token}"
        return new

    @staticmethod
    def _ends(state: ReturnState) -> bool:
        """Whether good windows lead to the end from here."""
        one, now = copy.deepcopy(state.conductor), state.now
        assert one
        for _ in range(MOST_WINDOWS):
            if one.done:
                return True
            now += max(STEP, HOLD_US // 8)
            one.step(now, GOOD)
        return one.slice == len(SLICES) and one.done


def _fields(one: Any) -> tuple[Any, ...]:
    return tuple(sorted((name, str(value)) for name, value in vars(one).items() if name != "wait_reason"))
