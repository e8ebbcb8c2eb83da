"""Whether a site is lost, slow, coming back, or we ourselves are cut off.  Decisions, no I/O.

What a router's own traffic shows decides about its own calls, and at once: that is the module's.  What
follows here is a judgement of a whole site, by which load is moved and lower classes are refused, so one
router's word is not enough: it needs what our own attempts show, and that others who saw the site lately do
not say otherwise.  The list of workers counts for nothing against them: it may call the dead ready for long.

The states, what each means, and what leads out of it; nothing else changes one (MOVES):

UP         serves.  DOUBT at the first bad window; RETURNING where a conductor says so and it has not served
           us yet, as to a router that has just started.
DOUBT      bad for us.  UP after a good window; LOST when bad for DOUBT_US and more of those who saw it say
           that it fails than that it serves; SLOW when it answers, late; APART when most other sites are bad
           for us at once and nobody there is heard.
SLOW       answers far too late.  UP after GOOD_US of good windows; LOST and APART as from DOUBT.
LOST       nothing of it serves.  RETURNING when its workers have answered again for GOOD_US.
APART      it is we who are cut off: no load is moved on our word.  UP after GOOD_US of good windows; DOUBT
           when its members are heard again.
RETURNING  shown in slices (`back`).  UP after the last slice; LOST when bad again for DOUBT_US.
DRAINED    taken out by an operator, from any state.  RETURNING when released.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from enum import Enum

WINDOW_US = 500_000  # us of outcomes that one look goes by: some dozen calls of a busy router
WINDOWS = 4  # windows that are looked at together where one alone has too few: quiet routers see little
LEAST = 3  # outcomes to say anything of a site: one call tells of its worker
LOST_PART = 0.5  # of its workers that have to fail for us, and not to serve, until a site can be lost
ALONE_TIMES = 3  # times DOUBT_US until our own word is enough, where no other saw the site
BAD_PART = 0.8  # of outcomes that are bad: one worker of five may still serve by chance
SLOW_TIMES = 5.0  # times the usual answer: as good as gone to calls with a deadline
DOUBT_US = 1_000_000  # us of bad windows until a loss is called: two looks more than a hiccup takes
GOOD_US = 2_000_000  # us of good windows until a state is believed to be over: longer than DOUBT_US, so that
# a site that comes and goes is held for lost rather than for good
OPINION_US = 3_000_000  # us for which another's word of a site counts
MOST_APART = 0.5  # part of the other sites that are bad for us at once: more likely it is we
FLAP_US = 60_000_000  # us within which a further loss of the same site makes its return slower
MOST_FLAPS = 5  # doublings of that time at most


class State(Enum):
    """What a site is to us."""

    UP = "up"
    DOUBT = "doubt"
    SLOW = "slow"
    LOST = "lost"
    APART = "apart"
    RETURNING = "returning"
    DRAINED = "drained"


# Which changes there are, for the walk and for the page: nothing else may follow a state.
MOVES: dict[State, tuple[State, ...]] = {
    State.UP: (State.DOUBT, State.DRAINED, State.RETURNING),
    State.DOUBT: (State.UP, State.LOST, State.SLOW, State.APART, State.DRAINED),
    State.SLOW: (State.UP, State.LOST, State.DOUBT, State.APART, State.DRAINED),
    State.LOST: (State.RETURNING, State.DRAINED),
    State.APART: (State.UP, State.DOUBT, State.DRAINED),
    State.RETURNING: (State.UP, State.LOST, State.DRAINED),
    State.DRAINED: (State.RETURNING,),
}


@dataclass(frozen=True, slots=True)
class Look:
    """What our own traffic showed of a site in one window."""

    good: int = 0  # answered in usual time
    slow: int = 0  # answered, far too late
    bad: int = 0  # connection refused or reset, or no answer in time
    heard: int = 0  # members of the fleet at that site that spoke to us in it
    members: int = 0  # and how many there are
    failed: frozenset[str] = frozenset()  # workers of which all outcomes were bad
    listed: int = 0  # its ready workers, by the list
    gone: bool = False  # the list names none, and did before

    @property
    def outcomes(self) -> int:
        return self.good + self.slow + self.bad

    @property
    def verdict(self) -> str:
        """good, slow, bad, or nothing where too little was seen."""
        if self.gone:
            return "bad"
        if self.outcomes < LEAST:
            return "nothing"
        if self.bad >= BAD_PART * self.outcomes:
            return "bad"
        return "slow" if self.slow + self.bad >= BAD_PART * self.outcomes else "good"


@dataclass(frozen=True, slots=True)
class Change:
    """A state was left; `why` is the evidence, one line."""

    site: str
    was: State
    now: State
    why: str


@dataclass(slots=True)
class _Site:
    state: State = State.UP
    bad_since: int = 0  # of windows without a good one; 0 none
    good_since: int = 0
    last: Look = field(default_factory=Look)
    late: deque[Look] = field(default_factory=lambda: deque(maxlen=WINDOWS))
    failed: set[str] = field(default_factory=set)  # workers that did nothing but fail since the doubt began
    served: bool = False  # us, since it was lost last or since we began
    hung: bool = False  # the doubt began with bad windows, not with slow ones
    said: dict[int, tuple[int, bool]] = field(default_factory=dict)  # member: when, whether it serves there
    losses: deque[int] = field(default_factory=lambda: deque(maxlen=MOST_FLAPS + 1))


class Judge:
    """One router's view of all sites; `home` is its own."""

    def __init__(self, sites: tuple[str, ...], home: str, now: int) -> None:
        self.home = home
        self.sites = {name: _Site() for name in sites}

    def state(self, site: str) -> State:
        """What it is to us now."""
        return self.sites[site].state

    def heard(self, now: int, member: int, site: str, serves: bool) -> None:
        """Another router says whether the site serves its own calls."""
        if site in self.sites:
            self.sites[site].said[member] = now, serves

    def says(self, site: str) -> bool | None:
        """Our own word to others: whether our calls are served there; None where we have seen too little."""
        return {"good": True, "bad": False}.get(self.sites[site].last.verdict)

    def flaps(self, now: int, site: str) -> int:
        """Losses of late beyond the last one: by how many doublings its return is slower."""
        return max(0, sum(now - at < FLAP_US for at in self.sites[site].losses) - 1)

    def look(self, now: int, seen: dict[str, Look]) -> list[Change]:
        """One window of outcomes; what changed by it."""
        for name, one in self.sites.items():
            one.last = self._together(one, seen.get(name, Look()))
            verdict = one.last.verdict
            if verdict == "good":
                one.bad_since, one.good_since = 0, one.good_since or now
                one.served = True
                one.failed.clear()
            elif verdict != "nothing":
                one.good_since, one.bad_since = 0, one.bad_since or now
                one.failed |= one.last.failed
        apart = self._apart()
        out = []
        for name, one in self.sites.items():
            told = self._next(now, name, one, apart)
            if told and told[0] is not one.state:
                out.append(self._set(now, name, one, *told))
        return out

    @staticmethod
    def _together(one: _Site, look: Look) -> Look:
        """This window, or where it tells too little, the last ones with it."""
        one.late.append(look)
        if look.verdict != "nothing":
            return look
        good, slow, bad = (sum(getattr(old, name) for old in one.late) for name in ("good", "slow", "bad"))
        failed = frozenset().union(*(old.failed for old in one.late))
        return replace(look, good=good, slow=slow, bad=bad, failed=failed)

    def _apart(self) -> bool:
        """Whether it looks as if we were cut off: most other sites bad for us, and their members silent."""
        others = [one for name, one in self.sites.items() if name != self.home]
        silent = [one for one in others if one.bad_since and one.last.members and not one.last.heard]
        return len(others) > 1 and len(silent) > MOST_APART * len(others)

    def _next(self, now: int, name: str, one: _Site, apart: bool) -> tuple[State, str] | None:
        verdict, look = one.last.verdict, one.last
        seen = (
            f"good {look.good}, slow {look.slow}, bad {look.bad}, members heard {look.heard}/{look.members}"
        )
        bad_for = now - one.bad_since if one.bad_since else 0
        good_for = now - one.good_since if one.good_since else 0
        match one.state:
            case State.UP if verdict in ("bad", "slow"):
                one.hung = verdict == "bad"
                return State.DOUBT, seen
            case State.DOUBT | State.SLOW if apart and verdict != "good" and not look.heard:
                return State.APART, f"{seen}; most other sites alike"
            case State.DOUBT if verdict == "good":
                return State.UP, seen
            case State.SLOW if good_for >= GOOD_US:
                return State.UP, seen
            case State.DOUBT | State.SLOW if bad_for >= DOUBT_US and verdict != "slow" and one.hung:
                serves, fails = self._others(now, one)
                most = look.gone or len(one.failed) >= max(1, LOST_PART * look.listed)
                # Our way to it, and not the site; or some workers of it; or nobody else saw it yet.
                if serves > fails or not most or (not fails and bad_for < ALONE_TIMES * DOUBT_US):
                    return None
                what = f"{len(one.failed)} of {look.listed} workers" if not look.gone else "none is listed"
                return State.LOST, f"{seen}; {what}; others: {serves} are served there, {fails} are not"
            case State.DOUBT if bad_for >= DOUBT_US and verdict == "slow":
                return State.SLOW, seen
            case State.APART if good_for >= GOOD_US:
                return State.UP, seen
            case State.APART if look.heard and not apart:
                return State.DOUBT, f"{seen}; its members are heard again"
            case State.LOST if good_for >= GOOD_US:
                return State.RETURNING, seen
            case State.RETURNING if bad_for >= DOUBT_US:
                return State.LOST, seen
        return None

    def _others(self, now: int, one: _Site) -> tuple[int, int]:
        lately = [serves for at, serves in one.said.values() if now - at < OPINION_US]
        return sum(lately), len(lately) - sum(lately)

    def _set(self, now: int, name: str, one: _Site, state: State, why: str) -> Change:
        assert state in MOVES[one.state], (one.state, state)
        was, one.state = one.state, state
        one.late.clear()
        if state in (State.UP, State.RETURNING):
            one.failed.clear()
        if state is State.LOST:
            one.losses.append(now)
            one.served = False
        return Change(name, was, state, why)

    # Told from outside: the conductor's last slice stands; an operator's word.

    def returned(self, now: int, site: str) -> Change | None:
        """Its last slice serves as warm workers do."""
        one = self.sites[site]
        if one.state is not State.RETURNING:
            return None
        one.bad_since = 0
        return self._set(now, site, one, State.UP, "all slices serve")

    def join(self, now: int, site: str) -> Change | None:
        """A conductor is at work on a site that we take for up: we began after it was lost.

        One that serves us is up to us, whatever a conductor says: it may be alone with its judgement.
        """
        one = self.sites[site]
        if one.state is not State.UP or one.served:
            return None
        return self._set(now, site, one, State.RETURNING, "its return is conducted")

    def drain(self, now: int, site: str, who: str) -> Change | None:
        """An operator takes it out."""
        one = self.sites[site]
        return (
            self._set(now, site, one, State.DRAINED, f"by {who}") if one.state is not State.DRAINED else None
        )

    def release(self, now: int, site: str, who: str) -> Change | None:
        """An operator lets it back, in slices."""
        one = self.sites[site]
        if one.state is not State.DRAINED:
            return None
        one.bad_since = 0
        return self._set(now, site, one, State.RETURNING, f"by {who}")
