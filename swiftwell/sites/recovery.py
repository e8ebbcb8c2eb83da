"""The return of a site, in slices of its workers.  Decisions, no I/O.

One router coordinates it, under the lease of the site's name.  Its progress is in a replicated log, so that a
successor continues from there, or pauses.  A slice is made visible when the one before it has served as well
as warm workers for long enough; at the first sign of overload one slice is taken back.  A site that was lost
again recently gets more time for each slice.  A router shows one further slice at a time, and only on recent
progress from the coordinator: no router advances on old progress or skips a slice.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from msgspec import Struct

SLICES = (
    0.125,
    0.25,
    0.5,
    0.75,
    1.0,
)  # shares of a site's workers: at most doubled, so that the warm half can carry the load
SETTLE_US = (
    4_000_000  # us that a slice has to serve: longer than the interval of the cold-worker budget (rule 4)
)
MIN_SERVED_SHARE = 0.95  # share of its calls that a slice has to serve
MAX_RELATIVE_LATENCY = 2.0  # latency against the expected one up to which a slice counts as warm
OVERLOAD_SERVED_SHARE = 0.7  # served share below which a slice is taken back
MIN_CALLS = 10  # calls that a slice must have had: fewer give no evidence
FRESH_US = 3_000_000  # us for which the coordinator's progress is valid
HOLD_US = 30_000_000  # us before a slice that was taken back is tried again


class OperatorCommand(Enum):
    """An operator's command for a return."""

    NONE = "none"
    HOLD = "hold"  # no further slice
    HURRY = "hurry"  # half of the time for each slice
    OFF = "off"  # no slice is visible


class RecoveryProgress(Struct, frozen=True, array_like=True):
    """Progress of a return, as the coordinator writes it to the replicated log."""

    slice: int  # how many of SLICES are visible; 0 none
    since_ms: int  # wall-clock time, for people only
    token: int  # of the coordinator's lease
    command: str = "none"
    flaps: int = 0
    done: bool = False  # the last slice has served long enough


@dataclass(frozen=True, slots=True)
class SliceObservation:
    """How the visible slices did since the last step, over all reports that the coordinator has."""

    calls: int = 0
    served: int = 0
    relative_latency: float = 1.0  # mean latency against warm workers elsewhere
    workers_failed: int = 0  # workers of the slices that were overloaded and failed


class RecoveryCoordinator:
    """Advances one site's return while it holds the lease.  A new one is made for each lease obtained."""

    def __init__(self, now: int, progress: RecoveryProgress | None, token: int, flaps: int = 0) -> None:
        """`progress`: written by the last coordinator, None where the return begins."""
        self.slice = progress.slice if progress else 0
        self.flaps = max(flaps, progress.flaps if progress else 0)
        self.command = OperatorCommand(progress.command) if progress else OperatorCommand.NONE
        self.token = token
        self.since = now  # a successor gives the slice its whole time again
        self._calls = self._served = 0
        self._latency_sum = 0.0
        self._retry_at = 0
        self._done = False
        self.wait_reason = ""  # why the last evaluation added no slice

    def settle_us(self) -> int:
        """Return how long a slice has to serve."""
        settle = SETTLE_US << min(self.flaps, 5)
        return settle // 2 if self.command is OperatorCommand.HURRY else settle

    def set_command(self, command: OperatorCommand) -> None:
        """Apply an operator's command."""
        self.command = command

    def step(self, now: int, observation: SliceObservation) -> str:
        """Evaluate one window; returns why the number of slices changed, empty where it did not."""
        self._calls += observation.calls
        self._served += observation.served
        self._latency_sum += observation.relative_latency * observation.calls
        if self.command is OperatorCommand.OFF:
            return self._set_slice(now, 0, "called off") if self.slice else ""
        if self.slice and (observation.workers_failed or self._is_overloaded()):
            self._retry_at = now + (HOLD_US << min(self.flaps, 3))
            self.flaps += 1
            return self._set_slice(
                now,
                self.slice - 1,
                f"{self._served} of {self._calls} served, {observation.workers_failed} workers failed",
            )
        if self.slice and now - self.since < self.settle_us():
            return ""
        warm, summary = self._serves_like_warm(), f"{self._served} of {self._calls} served"
        if self.slice == len(SLICES):
            self._done = warm
        elif self.command is not OperatorCommand.HOLD and now >= self._retry_at and (warm or not self.slice):
            return self._set_slice(now, self.slice + 1, summary if self.slice else "begins")
        if self.slice and self._calls >= MIN_CALLS and not self._done:
            # The slice is not warm yet: evaluate it anew by the calls from here on.
            self.wait_reason = (
                f"slice {self.slice} waits: {summary}, "
                f"{self._latency_sum / self._calls:.1f} times the expected latency"
            )
            self.since, self._calls, self._served, self._latency_sum = now, 0, 0, 0.0
        return ""

    def _is_overloaded(self) -> bool:
        return self._calls >= MIN_CALLS and self._served < OVERLOAD_SERVED_SHARE * self._calls

    def _serves_like_warm(self) -> bool:
        return (
            self._calls >= MIN_CALLS
            and self._served >= MIN_SERVED_SHARE * self._calls
            and self._latency_sum <= MAX_RELATIVE_LATENCY * self._calls
        )

    def _set_slice(self, now: int, slice_: int, reason: str) -> str:
        self.slice, self.since, self._done = slice_, now, False
        self._calls = self._served = 0
        self._latency_sum = 0.0
        return f"slice {slice_}: {reason}"

    @property
    def done(self) -> bool:
        """Whether the last slice has served long enough: the site is up."""
        return self._done

    def progress(self, wall_ms: int) -> RecoveryProgress:
        """Return the progress to write to the replicated log."""
        return RecoveryProgress(self.slice, wall_ms, self.token, self.command.value, self.flaps, self._done)


class RecoveryFollower:
    """How many slices of a returning site one router shows."""

    def __init__(self, previous_token: int = 0) -> None:
        """`previous_token`: last token of an earlier return; progress up to it is not of this one."""
        self.visible_slices = 0
        self.previous_token = self.token = previous_token

    def step(self, progress: RecoveryProgress | None, silent_us: int | None) -> int:
        """Return how many slices to show; `silent_us`: since the last heartbeat of the replicated log.

        Old progress changes nothing: what is visible stays.  The number never grows by more than one at a
        time, and a coordinator with an older token than the newest one seen is not followed.
        """
        if progress is None or silent_us is None or silent_us > FRESH_US:
            return self.visible_slices
        if progress.token < self.token or progress.token <= self.previous_token:
            return self.visible_slices
        self.token = progress.token
        self.visible_slices = min(progress.slice, self.visible_slices + 1, len(SLICES))
        return self.visible_slices


def visible_workers(workers: list[str], slices: int) -> list[str]:
    """Return the workers of a site in that many slices: the same at every router, more with each slice."""
    if slices <= 0 or not workers:
        return []
    share = SLICES[min(slices, len(SLICES)) - 1]
    return sorted(workers)[: math.ceil(share * len(workers))]
