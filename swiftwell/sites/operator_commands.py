"""One router's part in the loss and return of sites.  No I/O.

Joins failure detection, admission, the coordination of a return and operators' commands.  Routers exchange
few messages: a router that suspects a site asks some others whether it serves them, and the coordinator of a
return gets reports of how the slices do.  `step` runs all of it, twice a second.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from msgspec import Struct

from swiftwell.interface import Status
from swiftwell.sites.admission import Admission, ClassShare
from swiftwell.sites.failure_detection import (
    SLOW_FACTOR,
    WINDOW_US,
    SiteFailureDetector,
    SiteState,
    StateChange,
    WindowObservation,
)
from swiftwell.sites.recovery import (
    FRESH_US,
    OperatorCommand,
    RecoveryCoordinator,
    RecoveryFollower,
    RecoveryProgress,
    SliceObservation,
    visible_workers,
)

MEMBERS_ASKED = 5  # others asked about a suspected site: one bad network path can't make them all wrong
LATENCY_WEIGHT = 0.05  # weight of one answer in the mean that is the expected latency of its class
FAILURES = (Status.CONNECT_FAILED, Status.RESET, Status.TIMEOUT)
PROBES = 3  # workers of a suspected or lost site probed in a window: as many outcomes as a verdict needs


class MessageKind(IntEnum):
    """Kind of a message about a site."""

    ASK = 0  # does the site serve you?
    SERVES = 1  # it serves the sender's calls
    FAILS = 2
    REPORT = 3  # to the coordinator: how the slices did
    COMMAND = 4  # an operator's command, given to one router and forwarded to all


class SiteMessage(Struct, frozen=True, array_like=True):
    """A message about a site."""

    kind: MessageKind
    site: str
    calls: int = 0
    served: int = 0
    relative_latency: float = 1.0
    workers_failed: int = 0
    command: str = ""
    operator: str = ""


COMMANDS = (*(command.value for command in OperatorCommand), "drain", "release")


@dataclass(slots=True)
class _Outcomes:
    good: int = 0
    slow: int = 0
    bad: int = 0
    latency_sum: float = 0.0  # sum of latencies, each divided by the expected one
    failed: set[str] = field(default_factory=set)
    worked: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Actions:
    """What is to be done."""

    sends: list[tuple[int, SiteMessage]] = field(default_factory=list)
    changes: list[StateChange] = field(default_factory=list)
    visible: dict[str, frozenset[str]] = field(default_factory=dict)  # site: the only workers to be shown
    probes: list[str] = field(default_factory=list)  # workers to be probed
    leases_wanted: dict[str, bool] = field(default_factory=dict)  # site: whether we want its return's lease
    progress: dict[str, RecoveryProgress] = field(default_factory=dict)  # site: what we write as coordinator
    slice_notes: list[tuple[str, str]] = field(default_factory=list)  # site: why its slices changed


class SiteController:
    """`zones`: each member's site, by its position in the roster."""

    def __init__(
        self, me: int, zones: Sequence[str], order: Sequence[ClassShare], seed: int, now: int
    ) -> None:
        self.me, self.zones = me, tuple(zones)
        names = tuple(sorted(set(zones)))
        self.detector = SiteFailureDetector(names, zones[me], now)
        self.admission = Admission(order)
        self._random = random.Random(f"{seed}/{me}/sites")
        self._expected_latency: dict[str, float] = {}
        self._window_outcomes = {name: _Outcomes() for name in names}
        self._members_heard: dict[str, set[int]] = {name: set() for name in names}
        self._followers = {name: RecoveryFollower() for name in names}
        self._coordinators: dict[str, RecoveryCoordinator] = {}
        self._reports: dict[str, list[SliceObservation]] = {name: [] for name in names}
        self._commands: dict[str, OperatorCommand] = {}
        self._max_listed = dict.fromkeys(names, 0)  # most workers of a site that our list ever had
        self._next_at = now + WINDOW_US
        self.commanded_changes: list[StateChange] = []  # by operators' commands that others forwarded

    # Events.

    def record_attempt(
        self, site: str, worker: str, request_class: str, status: Status, latency_us: int
    ) -> None:
        """One of our attempts at a worker of a site has ended."""
        outcomes = self._window_outcomes.get(site)
        if outcomes is None:
            return
        if status in FAILURES:
            outcomes.bad += 1
            outcomes.failed.add(worker)
        elif status is Status.OK:
            expected = self._expected_latency.get(request_class)
            if expected and latency_us > SLOW_FACTOR * expected:
                outcomes.slow += 1
            else:
                outcomes.good += 1
                outcomes.worked.add(worker)
            outcomes.latency_sum += min(SLOW_FACTOR, latency_us / expected) if expected else 1.0
            self._expected_latency[request_class] = (
                latency_us if not expected else expected + LATENCY_WEIGHT * (latency_us - expected)
            )
        elif status is Status.FULL:
            outcomes.good += 1  # the worker is alive and reports that it is full
            outcomes.latency_sum += 1.0

    def record_probe(self, site: str, worker: str, answered: bool) -> None:
        """A worker of a site that the module avoids was probed.

        An answer tells nothing about how the worker serves, so it counts only where nothing else is seen of
        the site.
        """
        if outcomes := self._window_outcomes.get(site):
            outcomes.good += answered and self.detector.state(site) in (SiteState.LOST, SiteState.ISOLATED)
            outcomes.bad += not answered
            if not answered:
                outcomes.failed.add(worker)

    def record_contact(self, member: int) -> None:
        """A member sent us a message."""
        self._members_heard[self.zones[member]].add(member)

    def handle(self, now: int, sender: int, message: SiteMessage) -> list[tuple[int, SiteMessage]]:
        """Handle a member's message; returns the replies."""
        if message.site not in self._window_outcomes:
            return []
        match message.kind:
            case MessageKind.ASK:
                serves = self.detector.own_opinion(message.site)
                if serves is None:
                    return []
                return [
                    (sender, SiteMessage(MessageKind.SERVES if serves else MessageKind.FAILS, message.site))
                ]
            case MessageKind.SERVES | MessageKind.FAILS:
                self.detector.record_opinion(now, sender, message.site, message.kind is MessageKind.SERVES)
            case MessageKind.REPORT:
                observation = SliceObservation(
                    message.calls, message.served, message.relative_latency, message.workers_failed
                )
                self._reports[message.site].append(observation)
            case MessageKind.COMMAND if message.command in COMMANDS:
                self.commanded_changes += filter(
                    None, [self.execute(now, message.site, message.command, message.operator)]
                )
        return []

    def execute(self, now: int, site: str, command: str, operator: str) -> StateChange | None:
        """Execute an operator's command: hold, hurry, off, none for a return; drain, release for the site."""
        if command == "drain":
            return self.detector.drain(now, site, operator)
        if command == "release":
            return self.detector.release(now, site, operator)
        self._commands[site] = OperatorCommand(command)
        if coordinator := self._coordinators.get(site):
            coordinator.set_command(OperatorCommand(command))
        return None

    # Twice a second.

    def step(
        self,
        now: int,
        wall_ms: int,
        workers: dict[str, list[str]],
        living: Collection[int],
        held_leases: dict[str, int],
        progress_logs: dict[str, tuple[RecoveryProgress | None, int | None, int]],
    ) -> Actions | None:
        """Evaluate one window; returns None until the window is over.

        `workers`: of each site, as listed; `held_leases`: token of each site's lease that we hold;
        `progress_logs`: the progress in each site's replicated log, how long its writer was silent, and who
        that is.
        """
        if now < self._next_at:
            return None
        self._next_at = now + WINDOW_US
        observations, outcomes = self._close_window(living, workers)
        actions = Actions(changes=[*self.commanded_changes, *self.detector.step(now, observations)])
        self.commanded_changes = []
        for site in self.detector.sites:
            state = self.detector.state(site)
            progress, silent_us, writer = progress_logs.get(site, (None, None, -1))
            fresh = progress is not None and silent_us is not None and silent_us <= FRESH_US
            if (
                state is SiteState.UP
                and fresh
                and not progress.done
                and progress.token > self._followers[site].previous_token
            ):
                actions.changes += filter(None, [self.detector.join_return(now, site)])
                state = self.detector.state(site)
            if state is SiteState.RETURNING:
                follower = self._followers[site]
                # Progress with an older token is of an earlier return.
                progress = progress if progress and progress.token > follower.previous_token else None
                slices = follower.step(progress, silent_us)
                if token := held_leases.get(site, 0):
                    self._coordinate(now, wall_ms, site, outcomes[site], progress, token, actions)
                else:
                    self._coordinators.pop(site, None)
                    self._reports[site].clear()
                    if progress and progress.done and fresh:
                        self._complete_return(now, site, actions)
                actions.visible[site] = frozenset(visible_workers(workers.get(site, []), slices))
                if writer >= 0 and writer != self.me and (outcomes[site].good or outcomes[site].bad):
                    actions.sends.append((writer, self._report(site, outcomes[site])))
            else:
                self._coordinators.pop(site, None)
                self._reports[site].clear()
                if state in (SiteState.LOST, SiteState.DRAINED):
                    self._followers[site] = RecoveryFollower(self._followers[site].token)
                    actions.visible[site] = frozenset()
                elif state is SiteState.SUSPECTED:
                    others = [member for member in living if member != self.me]
                    asked = self._random.sample(others, min(MEMBERS_ASKED, len(others)))
                    actions.sends += [(member, SiteMessage(MessageKind.ASK, site)) for member in asked]
            actions.leases_wanted[site] = state is SiteState.RETURNING
            if state in (SiteState.LOST, SiteState.SUSPECTED, SiteState.ISOLATED) and (
                listed := workers.get(site)
            ):
                actions.probes += self._random.sample(listed, min(PROBES, len(listed)))
        any_lost = any(
            self.detector.state(site) in (SiteState.LOST, SiteState.SLOW) for site in self.detector.sites
        )
        any_returning = any(self.detector.state(site) is SiteState.RETURNING for site in self.detector.sites)
        if any_lost:
            self.admission.begin(now)
        elif not any_returning:
            self.admission.end()
        self.admission.step(now)
        return actions

    def _close_window(
        self, living: Collection[int], workers: dict[str, list[str]]
    ) -> tuple[dict[str, WindowObservation], dict[str, _Outcomes]]:
        window_outcomes, observations, alive = self._window_outcomes, {}, set(living)
        for site, outcomes in window_outcomes.items():
            others = [member for member, zone in enumerate(self.zones) if zone == site and member != self.me]
            members_heard = len(self._members_heard[site] & alive)
            listed = len(workers.get(site, ()))
            self._max_listed[site] = max(self._max_listed[site], listed)
            observations[site] = WindowObservation(
                outcomes.good, outcomes.slow, outcomes.bad, members_heard, len(others),
                frozenset(outcomes.failed - outcomes.worked), listed,
                bool(self._max_listed[site]) and not listed and bool(workers),
            )  # fmt: skip
            self._members_heard[site] = set()
        self._window_outcomes = {name: _Outcomes() for name in window_outcomes}
        return observations, window_outcomes

    @staticmethod
    def _report(site: str, outcomes: _Outcomes) -> SiteMessage:
        answered = outcomes.good + outcomes.slow
        relative_latency = outcomes.latency_sum / answered if answered else 1.0
        return SiteMessage(
            MessageKind.REPORT, site, answered + outcomes.bad, outcomes.good, round(relative_latency, 3)
        )

    def _coordinate(
        self,
        now: int,
        wall_ms: int,
        site: str,
        outcomes: _Outcomes,
        progress: RecoveryProgress | None,
        token: int,
        actions: Actions,
    ) -> None:
        """Coordinate the return of a site while its lease is ours."""
        coordinator = self._coordinators.get(site)
        if coordinator is None:  # the lease is new, not renewed
            coordinator = self._coordinators[site] = RecoveryCoordinator(
                now, progress, token, self.detector.flaps(now, site)
            )
            if site in self._commands:
                coordinator.set_command(self._commands[site])
        coordinator.token = token
        own = self._report(site, outcomes)
        observations = [
            SliceObservation(own.calls, own.served, own.relative_latency, own.workers_failed),
            *self._reports[site],
        ]
        self._reports[site].clear()
        calls = sum(report.calls for report in observations)
        relative_latency = (
            sum(report.relative_latency * report.calls for report in observations) / calls if calls else 1.0
        )
        total = SliceObservation(
            calls,
            sum(report.served for report in observations),
            relative_latency,
            sum(report.workers_failed for report in observations),
        )
        if reason := coordinator.step(now, total):
            actions.slice_notes.append((site, reason))
        elif coordinator.wait_reason:
            actions.slice_notes.append((site, coordinator.wait_reason))
            coordinator.wait_reason = ""
        actions.progress[site] = coordinator.progress(wall_ms)
        if actions.progress[site].done:
            self._complete_return(now, site, actions)

    def _complete_return(self, now: int, site: str, actions: Actions) -> None:
        if change := self.detector.return_completed(now, site):
            actions.changes.append(change)
            follower = self._followers[site]
            follower.previous_token = follower.token  # progress up to this token is of a completed return
