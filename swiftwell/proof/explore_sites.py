"""Model checker for the return of a site: explores a real RecoveryCoordinator and real RecoveryFollowers,
with leases that pass to another router and messages that arrive late.

The lease is taken to be exclusive, which proof/explore checks; this model checks what conductors and
followers make of it.  Breaches: a slice that is added too early, a router that advances by more than one
slice or on a message of an earlier conductor, and a state from which good windows never complete the return.
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
STEP_US = SETTLE_US // 2  # advance of time: half of what a slice takes
MAX_WINDOWS = 400  # good windows after which a return counts as stuck: 3 times those of the slowest


@dataclass(slots=True)
class Scope:
    """Bounds on what may happen on one trace."""

    leases: int = 2
    jumps: int = 4
    good_windows: int = 5
    bad_windows: int = 1
    routers: int = 2


@dataclass(slots=True)
class ReturnState:
    """The state of one return."""

    now: int = 0
    token: int = 0
    holder: int = -1
    conductor: RecoveryCoordinator | None = None
    latest: RecoveryProgress | None = None  # the conductor's current message
    late: RecoveryProgress | None = None  # an earlier message, still in transit
    followers: list[RecoveryFollower] = field(default_factory=list)
    slice_added_at: int = -SETTLE_US
    leases: int = 0
    jumps: int = 0
    good_windows: int = 0
    bad_windows: int = 0
    breach: str = ""


class ReturnModel:
    """Routers, numbered from 0, follow; the holder of the lease conducts.  Tests replace the classes to plant
    faults."""

    conductor: type[RecoveryCoordinator] = RecoveryCoordinator
    follower: type[RecoveryFollower] = RecoveryFollower

    def __init__(self, scope: Scope) -> None:
        self.scope = scope

    def start(self) -> ReturnState:
        return ReturnState(followers=[self.follower() for _ in range(self.scope.routers)])

    def key(self, state: ReturnState) -> tuple[Any, ...]:
        conductor = state.conductor
        return (
            state.now, state.token, state.holder, _fields(conductor) if conductor else None, state.latest,
            state.late, tuple(_fields(follower) for follower in state.followers), state.slice_added_at,
            state.leases, state.jumps, state.good_windows, state.bad_windows,
        )  # fmt: skip

    def moves(self, state: ReturnState) -> Iterator[tuple[str, ReturnState]]:
        if state.leases < self.scope.leases:
            for name in range(self.scope.routers):
                if name != state.holder:
                    new = copy.deepcopy(state)
                    new.leases += 1
                    new.token += 1
                    new.holder, new.late = name, state.latest or state.late
                    new.conductor = self.conductor(state.now, state.latest, new.token)
                    yield f"lease to {name}", new
        if state.conductor:
            if state.good_windows < self.scope.good_windows:
                new = self._window(state, GOOD)
                new.good_windows += 1
                yield "a good window", new
            if state.bad_windows < self.scope.bad_windows and state.conductor.slice:
                new = self._window(state, BAD)
                new.bad_windows += 1
                yield "a bad window", new
        for name in range(self.scope.routers):
            for description, message in (("word", state.latest), ("late word", state.late)):
                if message is not None:
                    yield f"{name} hears the {description}", self._receive(state, name, message)
        if state.jumps < self.scope.jumps:
            new = copy.deepcopy(state)
            new.now, new.jumps = state.now + STEP_US, state.jumps + 1
            yield "time passes", new

    def _window(self, state: ReturnState, seen: SliceObservation) -> ReturnState:
        new = copy.deepcopy(state)
        assert new.conductor
        before = new.conductor.slice
        new.conductor.step(new.now, seen)
        after = new.conductor.slice
        if after > before:
            if before and new.now - state.slice_added_at < SETTLE_US:
                new.breach = f"slice {after} after {new.now - state.slice_added_at} us"
            new.slice_added_at = new.now
        new.late, new.latest = state.latest or state.late, new.conductor.progress(0)
        if not self._completes(new):
            new.breach = f"no way out of slice {after}"
        return new

    def _receive(self, state: ReturnState, name: int, message: RecoveryProgress) -> ReturnState:
        new = copy.deepcopy(state)
        follower = new.followers[name]
        shown_before, token = follower.visible_slices, follower.token
        follower.step(message, 0)
        if follower.visible_slices > shown_before + 1:
            new.breach = f"router {name} went from slice {shown_before} to {follower.visible_slices} at once"
        elif follower.visible_slices > shown_before and message.token < token:
            new.breach = f"router {name} followed token {message.token} after {token}"
        return new

    @staticmethod
    def _completes(state: ReturnState) -> bool:
        """Whether good windows complete the return from this state."""
        conductor, now = copy.deepcopy(state.conductor), state.now
        assert conductor
        for _ in range(MAX_WINDOWS):
            if conductor.done:
                return True
            now += max(STEP_US, HOLD_US // 8)
            conductor.step(now, GOOD)
        return conductor.slice == len(SLICES) and conductor.done


def _fields(instance: Any) -> tuple[Any, ...]:
    return tuple(
        sorted((name, str(value)) for name, value in vars(instance).items() if name != "wait_reason")
    )
