"""Detects whether a site is lost, slow or returning, or whether this router itself is cut off.  No I/O.

What a router's own traffic shows decides about its own calls, and at once; the module does that.  This module
judges a whole site, and its result moves load and refuses lower classes.  So the observations of one router
are not enough: its own attempts must fail, and others that saw the site recently must not report otherwise.
The worker list counts for nothing against them: it may list dead workers as ready for a long time.

The states, what each means, and what leads out of it; no other transition exists (TRANSITIONS):

UP         serves.  SUSPECTED at the first bad window; RETURNING where a coordinator reports a return and the
           site has not served this router yet, as for a router that has just started.
SUSPECTED  bad for us.  UP after a good window; LOST when bad for SUSPECT_US and more of those who saw it
           report that it fails than that it serves; SLOW when it answers late; ISOLATED when most other sites
           are bad for us at once and no member there is heard.
SLOW       answers far too late.  UP after GOOD_US of good windows; LOST and ISOLATED as from SUSPECTED.
LOST       nothing of it serves.  RETURNING when its workers have answered again for GOOD_US.
ISOLATED   this router is cut off: its observations move no load.  UP after GOOD_US of good windows; SUSPECTED
           when members of the site are heard again.
RETURNING  shown in slices (`recovery`).  UP after the last slice; LOST when bad again for SUSPECT_US.
DRAINED    taken out by an operator, from any state.  RETURNING when released.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum

WINDOW_US = 500_000  # us of outcomes in one observation: some dozen calls of a busy router
MERGED_WINDOWS = 4  # windows merged where one has too few outcomes: routers with little traffic see few
MIN_OUTCOMES = 3  # outcomes needed to judge a site: one call tells only about its worker
MIN_FAILED_SHARE = 0.5  # share of its workers that must only fail for us until a site can be lost
UNCONFIRMED_FACTOR = 3  # times SUSPECT_US after which our own view is enough, where no other saw the site
MIN_BAD_SHARE = 0.8  # share of bad outcomes: one worker of five may still serve by chance
SLOW_FACTOR = 5.0  # times the expected latency: useless to calls with a deadline
SUSPECT_US = 1_000_000  # us of bad windows until a site is declared lost: two windows more than a hiccup
GOOD_US = 2_000_000  # us of good windows until a state ends: longer than SUSPECT_US, so that a site that
# comes and goes is treated as lost rather than as good
OPINION_US = 3_000_000  # us for which another router's opinion of a site counts
ISOLATED_SHARE = 0.5  # share of the other sites bad for us at once above which the fault is more likely ours
FLAP_US = 60_000_000  # us within which a further loss of the same site slows its return
MAX_FLAPS = 5  # maximum number of doublings of the return's settling time


class SiteState(Enum):
    """State of a site as seen by this router.  The values are logged."""

    UP = "up"
    SUSPECTED = "doubt"
    SLOW = "slow"
    LOST = "lost"
    ISOLATED = "apart"
    RETURNING = "returning"
    DRAINED = "drained"


# The transitions that exist, for the explorer and the documentation; no other state may follow.
TRANSITIONS: dict[SiteState, tuple[SiteState, ...]] = {
    SiteState.UP: (SiteState.SUSPECTED, SiteState.DRAINED, SiteState.RETURNING),
    SiteState.SUSPECTED: (
        SiteState.UP,
        SiteState.LOST,
        SiteState.SLOW,
        SiteState.ISOLATED,
        SiteState.DRAINED,
    ),
    SiteState.SLOW: (
        SiteState.UP,
        SiteState.LOST,
        SiteState.SUSPECTED,
        SiteState.ISOLATED,
        SiteState.DRAINED,
    ),
    SiteState.LOST: (SiteState.RETURNING, SiteState.DRAINED),
    SiteState.ISOLATED: (SiteState.UP, SiteState.SUSPECTED, SiteState.DRAINED),
    SiteState.RETURNING: (SiteState.UP, SiteState.LOST, SiteState.DRAINED),
    SiteState.DRAINED: (SiteState.RETURNING,),
}


@dataclass(frozen=True, slots=True)
class WindowObservation:
    """What our own traffic showed of a site in one window."""

    good: int = 0  # answered in the expected time
    slow: int = 0  # answered, far too late
    bad: int = 0  # connection refused or reset, or no answer in time
    members_heard: int = 0  # fleet members at that site that sent us a message
    members: int = 0  # fleet members at that site
    failed: frozenset[str] = frozenset()  # workers of which all outcomes were bad
    listed: int = 0  # its ready workers in the worker list
    gone: bool = False  # the worker list has none of its workers, and had some before

    @property
    def outcomes(self) -> int:
        return self.good + self.slow + self.bad

    @property
    def verdict(self) -> str:
        """good, slow, bad, or nothing where there are too few outcomes."""
        if self.gone:
            return "bad"
        if self.outcomes < MIN_OUTCOMES:
            return "nothing"
        if self.bad >= MIN_BAD_SHARE * self.outcomes:
            return "bad"
        return "slow" if self.slow + self.bad >= MIN_BAD_SHARE * self.outcomes else "good"


@dataclass(frozen=True, slots=True)
class StateChange:
    """A transition of a site; `reason` is the evidence, in one line."""

    site: str
    before: SiteState
    after: SiteState
    reason: str


@dataclass(slots=True)
class _Site:
    state: SiteState = SiteState.UP
    bad_since: int = 0  # start of the bad windows without a good one between; 0 none
    good_since: int = 0
    last: WindowObservation = field(default_factory=WindowObservation)
    recent: deque[WindowObservation] = field(default_factory=lambda: deque(maxlen=MERGED_WINDOWS))
    failed: set[str] = field(default_factory=set)  # workers that have only failed since the suspicion began
    served: bool = False  # has served us since its last loss, or since our start
    suspected_bad: bool = False  # the suspicion began with a bad window, not with a slow one
    opinions: dict[int, tuple[int, bool]] = field(default_factory=dict)  # member: when, whether it is served
    losses: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_FLAPS + 1))


class SiteFailureDetector:
    """One router's view of all sites; `home` is its own."""

    def __init__(self, sites: tuple[str, ...], home: str, now: int) -> None:
        self.home = home
        self.sites = {name: _Site() for name in sites}

    def state(self, site: str) -> SiteState:
        """Return the current state of a site."""
        return self.sites[site].state

    def record_opinion(self, now: int, member: int, site: str, serves: bool) -> None:
        """Another router reports whether the site serves its own calls."""
        if site in self.sites:
            self.sites[site].opinions[member] = now, serves

    def own_opinion(self, site: str) -> bool | None:
        """Return whether our calls are served there, for other routers; None with too few outcomes."""
        return {"good": True, "bad": False}.get(self.sites[site].last.verdict)

    def flaps(self, now: int, site: str) -> int:
        """Return the recent losses beyond the last one: the number of doublings that slow its return."""
        return max(0, sum(now - at < FLAP_US for at in self.sites[site].losses) - 1)

    def step(self, now: int, observations: dict[str, WindowObservation]) -> list[StateChange]:
        """Evaluate one window; returns the state changes."""
        for name, site in self.sites.items():
            site.last = self._merge_recent(site, observations.get(name, WindowObservation()))
            verdict = site.last.verdict
            if verdict == "good":
                site.bad_since, site.good_since = 0, site.good_since or now
                site.served = True
                site.failed.clear()
            elif verdict != "nothing":
                site.good_since, site.bad_since = 0, site.bad_since or now
                site.failed |= site.last.failed
        isolated = self._is_isolated()
        changes = []
        for name, site in self.sites.items():
            transition = self._next_state(now, name, site, isolated)
            if transition and transition[0] is not site.state:
                changes.append(self._set_state(now, name, site, *transition))
        return changes

    @staticmethod
    def _merge_recent(site: _Site, observation: WindowObservation) -> WindowObservation:
        """Return this window, merged with the recent ones where it has too few outcomes."""
        site.recent.append(observation)
        if observation.verdict != "nothing":
            return observation
        good, slow, bad = (
            sum(getattr(window, name) for window in site.recent) for name in ("good", "slow", "bad")
        )
        failed = frozenset().union(*(window.failed for window in site.recent))
        return replace(observation, good=good, slow=slow, bad=bad, failed=failed)

    def _is_isolated(self) -> bool:
        """Return whether we seem cut off: most other sites are bad for us, and their members silent."""
        others = [site for name, site in self.sites.items() if name != self.home]
        silent = [
            site for site in others if site.bad_since and site.last.members and not site.last.members_heard
        ]
        return len(others) > 1 and len(silent) > ISOLATED_SHARE * len(others)

    def _next_state(self, now: int, name: str, site: _Site, isolated: bool) -> tuple[SiteState, str] | None:
        verdict, window = site.last.verdict, site.last
        evidence = (
            f"good {window.good}, slow {window.slow}, bad {window.bad}, "
            f"members heard {window.members_heard}/{window.members}"
        )
        bad_for = now - site.bad_since if site.bad_since else 0
        good_for = now - site.good_since if site.good_since else 0
        match site.state:
            case SiteState.UP if verdict in ("bad", "slow"):
                site.suspected_bad = verdict == "bad"
                return SiteState.SUSPECTED, evidence
            case SiteState.SUSPECTED | SiteState.SLOW if (
                isolated and verdict != "good" and not window.members_heard
            ):
                return SiteState.ISOLATED, f"{evidence}; most other sites fail too"
            case SiteState.SUSPECTED if verdict == "good":
                return SiteState.UP, evidence
            case SiteState.SLOW if good_for >= GOOD_US:
                return SiteState.UP, evidence
            case SiteState.SUSPECTED | SiteState.SLOW if (
                bad_for >= SUSPECT_US and verdict != "slow" and site.suspected_bad
            ):
                serves, fails = self._recent_opinions(now, site)
                most_failed = window.gone or len(site.failed) >= max(1, MIN_FAILED_SHARE * window.listed)
                # The fault is in our path to the site; or in some of its workers; or nobody else saw it yet.
                if (
                    serves > fails
                    or not most_failed
                    or (not fails and bad_for < UNCONFIRMED_FACTOR * SUSPECT_US)
                ):
                    return None
                workers = (
                    f"{len(site.failed)} of {window.listed} workers" if not window.gone else "none is listed"
                )
                return (
                    SiteState.LOST,
                    f"{evidence}; {workers}; others: {serves} are served there, {fails} are not",
                )
            case SiteState.SUSPECTED if bad_for >= SUSPECT_US and verdict == "slow":
                return SiteState.SLOW, evidence
            case SiteState.ISOLATED if good_for >= GOOD_US:
                return SiteState.UP, evidence
            case SiteState.ISOLATED if window.members_heard and not isolated:
                return SiteState.SUSPECTED, f"{evidence}; its members are heard again"
            case SiteState.LOST if good_for >= GOOD_US:
                return SiteState.RETURNING, evidence
            case SiteState.RETURNING if bad_for >= SUSPECT_US:
                return SiteState.LOST, evidence
        return None

    def _recent_opinions(self, now: int, site: _Site) -> tuple[int, int]:
        recent = [serves for at, serves in site.opinions.values() if now - at < OPINION_US]
        return sum(recent), len(recent) - sum(recent)

    def _set_state(self, now: int, name: str, site: _Site, state: SiteState, reason: str) -> StateChange:
        assert state in TRANSITIONS[site.state], (site.state, state)
        before, site.state = site.state, state
        site.recent.clear()
        if state in (SiteState.UP, SiteState.RETURNING):
            site.failed.clear()
        if state is SiteState.LOST:
            site.losses.append(now)
            site.served = False
        return StateChange(name, before, state, reason)

    # Changes that do not come from our traffic: a coordinated return, an operator's command.

    def return_completed(self, now: int, site: str) -> StateChange | None:
        """Its last slice serves as warm workers do."""
        entry = self.sites[site]
        if entry.state is not SiteState.RETURNING:
            return None
        entry.bad_since = 0
        return self._set_state(now, site, entry, SiteState.UP, "all slices serve")

    def join_return(self, now: int, site: str) -> StateChange | None:
        """A return is coordinated for a site that we consider up: we started after its loss.

        A site that serves us stays up, whatever a coordinator reports: its view may be wrong.
        """
        entry = self.sites[site]
        if entry.state is not SiteState.UP or entry.served:
            return None
        return self._set_state(now, site, entry, SiteState.RETURNING, "its return is coordinated by a router")

    def drain(self, now: int, site: str, who: str) -> StateChange | None:
        """An operator takes the site out."""
        entry = self.sites[site]
        return (
            self._set_state(now, site, entry, SiteState.DRAINED, f"by {who}")
            if entry.state is not SiteState.DRAINED
            else None
        )

    def release(self, now: int, site: str, who: str) -> StateChange | None:
        """An operator lets the site return, in slices."""
        entry = self.sites[site]
        if entry.state is not SiteState.DRAINED:
            return None
        entry.bad_since = 0
        return self._set_state(now, site, entry, SiteState.RETURNING, f"by {who}")
