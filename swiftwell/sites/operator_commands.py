"""One router's part in the loss and return of sites: judge, admission, conductor, follower joined.  No I/O.

Routers tell each other little: whoever doubts a site asks some others whether it serves them; whoever
conducts a return is told by the others how the slices do.  `step` is all of it, twice a second.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from msgspec import Struct

from swiftwell.interface import Status
from swiftwell.sites.admission import Admission, Rank
from swiftwell.sites.failure_detection import SLOW_TIMES, WINDOW_US, Change, Judge, Look, State
from swiftwell.sites.recovery import FRESH_US, Conductor, Follower, Order, Seen, Word, shown

ASKED = 5  # others who are asked of a site in doubt: more than can all be wrong by one bad way
USUAL = 0.05  # weight of one answer in the mean that is usual for its class
BAD = (Status.CONNECT_FAILED, Status.RESET, Status.TIMEOUT)
PROBES = 3  # workers of a site in doubt or lost that are asked in a window: as many as a judgement wants


class Say(IntEnum):
    """What routers say of sites."""

    ASK = 0  # are you served there?
    SERVES = 1  # so many of our calls are, at members' word
    FAILS = 2
    REPORT = 3  # to the conductor: how the slices did
    ORDER = 4  # an operator's word, given to one router and passed on to all


class Words(Struct, frozen=True, array_like=True):
    """Something said of a site."""

    say: Say
    site: str
    calls: int = 0
    served: int = 0
    times_usual: float = 1.0
    fell: int = 0
    what: str = ""  # of an order
    who: str = ""


ORDERS = (*(one.value for one in Order), "drain", "release")


@dataclass(slots=True)
class _Count:
    good: int = 0
    slow: int = 0
    bad: int = 0
    times: float = 0.0  # sum of answers over their usual
    failed: set[str] = field(default_factory=set)
    worked: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Out:
    """What is to be done."""

    sends: list[tuple[int, Words]] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    hidden: dict[str, frozenset[str]] = field(default_factory=dict)  # sites of which only these are shown
    probes: list[str] = field(default_factory=list)  # workers to be asked whether they are there
    wants: dict[str, bool] = field(default_factory=dict)  # site: whether we want the lease of its return
    words: dict[str, Word] = field(default_factory=dict)  # site: what we put up as its conductor
    notes: list[tuple[str, str]] = field(default_factory=list)  # site: why its slices changed


class Desk:
    """`zones`: each member's site, by its position in the roster."""

    def __init__(self, me: int, zones: Sequence[str], order: Sequence[Rank], seed: int, now: int) -> None:
        self.me, self.zones = me, tuple(zones)
        names = tuple(sorted(set(zones)))
        self.judge = Judge(names, zones[me], now)
        self.admission = Admission(order)
        self._chance = random.Random(f"{seed}/{me}/sites")
        self._usual: dict[str, float] = {}
        self._now_counts = {name: _Count() for name in names}
        self._heard: dict[str, set[int]] = {name: set() for name in names}
        self._followers = {name: Follower() for name in names}
        self._conductors: dict[str, Conductor] = {}
        self._reports: dict[str, list[Seen]] = {name: [] for name in names}
        self._orders: dict[str, Order] = {}
        self._listed = dict.fromkeys(names, 0)  # the most workers that a site ever had on our list
        self._next_at = now + WINDOW_US
        self.ordered: list[Change] = []  # by operators' words that others passed on

    # What happens.

    def attempt(self, site: str, worker: str, request_class: str, status: Status, latency_us: int) -> None:
        """One of our attempts at a worker of a site has ended."""
        one = self._now_counts.get(site)
        if one is None:
            return
        if status in BAD:
            one.bad += 1
            one.failed.add(worker)
        elif status is Status.OK:
            usual = self._usual.get(request_class)
            if usual and latency_us > SLOW_TIMES * usual:
                one.slow += 1
            else:
                one.good += 1
                one.worked.add(worker)
            one.times += min(SLOW_TIMES, latency_us / usual) if usual else 1.0
            self._usual[request_class] = latency_us if not usual else usual + USUAL * (latency_us - usual)
        elif status is Status.FULL:
            one.good += 1  # it is there, and says so
            one.times += 1.0

    def probed(self, site: str, worker: str, answered: bool) -> None:
        """A worker of a site that the module keeps away from was asked whether it is there.

        That it is says nothing of how it serves, so it counts only where nothing else is seen of the site.
        """
        if one := self._now_counts.get(site):
            one.good += answered and self.judge.state(site) in (State.LOST, State.APART)
            one.bad += not answered
            if not answered:
                one.failed.add(worker)

    def heard(self, member: int) -> None:
        """A member spoke to us."""
        self._heard[self.zones[member]].add(member)

    def take(self, now: int, sender: int, word: Words) -> list[tuple[int, Words]]:
        """A member's word; what is said back."""
        if word.site not in self._now_counts:
            return []
        match word.say:
            case Say.ASK:
                says = self.judge.says(word.site)
                if says is None:
                    return []
                return [(sender, Words(Say.SERVES if says else Say.FAILS, word.site))]
            case Say.SERVES | Say.FAILS:
                self.judge.heard(now, sender, word.site, word.say is Say.SERVES)
            case Say.REPORT:
                seen = Seen(word.calls, word.served, word.times_usual, word.fell)
                self._reports[word.site].append(seen)
            case Say.ORDER if word.what in ORDERS:
                self.ordered += filter(None, [self.order(now, word.site, word.what, word.who)])
        return []

    def order(self, now: int, site: str, what: str, who: str) -> Change | None:
        """An operator's word: hold, hurry, off or none for a return; drain, release for the site."""
        if what == "drain":
            return self.judge.drain(now, site, who)
        if what == "release":
            return self.judge.release(now, site, who)
        self._orders[site] = Order(what)
        if one := self._conductors.get(site):
            one.told(Order(what))
        return None

    # Twice a second.

    def step(
        self,
        now: int,
        wall_ms: int,
        workers: dict[str, list[str]],
        living: Collection[int],
        held: dict[str, int],
        boards: dict[str, tuple[Word | None, int | None, int]],
    ) -> Out | None:
        """`workers`: of each site, as listed; `held`: token of each site's lease that we hold; `boards`: the
        word on each site's board, how long its writer was silent, and who that is.  None until the window is
        over.
        """
        if now < self._next_at:
            return None
        self._next_at = now + WINDOW_US
        looks, counts = self._looks(living, workers)
        out = Out(changes=[*self.ordered, *self.judge.look(now, looks)])
        self.ordered = []
        for site in self.judge.sites:
            state = self.judge.state(site)
            word, silent, writer = boards.get(site, (None, None, -1))
            fresh = word is not None and silent is not None and silent <= FRESH_US
            if state is State.UP and fresh and not word.done and word.token > self._followers[site].after:
                out.changes += filter(None, [self.judge.join(now, site)])
                state = self.judge.state(site)
            if state is State.RETURNING:
                follower = self._followers[site]
                word = word if word and word.token > follower.after else None  # else of an earlier return
                slices = follower.look(word, silent)
                if token := held.get(site, 0):
                    self._conduct(now, wall_ms, site, counts[site], word, token, out)
                else:
                    self._conductors.pop(site, None)
                    self._reports[site].clear()
                    if word and word.done and fresh:
                        self._up(now, site, out)
                out.hidden[site] = frozenset(shown(workers.get(site, []), slices))
                if writer >= 0 and writer != self.me and (counts[site].good or counts[site].bad):
                    out.sends.append((writer, self._report(site, counts[site])))
            else:
                self._conductors.pop(site, None)
                self._reports[site].clear()
                if state in (State.LOST, State.DRAINED):
                    self._followers[site] = Follower(self._followers[site].token)
                    out.hidden[site] = frozenset()
                elif state is State.DOUBT:
                    others = [one for one in living if one != self.me]
                    asked = self._chance.sample(others, min(ASKED, len(others)))
                    out.sends += [(one, Words(Say.ASK, site)) for one in asked]
            out.wants[site] = state is State.RETURNING
            if state in (State.LOST, State.DOUBT, State.APART) and (there := workers.get(site)):
                out.probes += self._chance.sample(there, min(PROBES, len(there)))
        away = any(self.judge.state(site) in (State.LOST, State.SLOW) for site in self.judge.sites)
        back = any(self.judge.state(site) is State.RETURNING for site in self.judge.sites)
        if away:
            self.admission.begin(now)
        elif not back:
            self.admission.end()
        self.admission.look(now)
        return out

    def _looks(
        self, living: Collection[int], workers: dict[str, list[str]]
    ) -> tuple[dict[str, Look], dict[str, _Count]]:
        counts, looks, alive = self._now_counts, {}, set(living)
        for site, one in counts.items():
            others = [n for n, zone in enumerate(self.zones) if zone == site and n != self.me]
            heard = len(self._heard[site] & alive)
            listed = len(workers.get(site, ()))
            self._listed[site] = max(self._listed[site], listed)
            looks[site] = Look(
                one.good, one.slow, one.bad, heard, len(others), frozenset(one.failed - one.worked), listed,
                bool(self._listed[site]) and not listed and bool(workers),
            )  # fmt: skip
            self._heard[site] = set()
        self._now_counts = {name: _Count() for name in counts}
        return looks, counts

    @staticmethod
    def _report(site: str, one: _Count) -> Words:
        answered = one.good + one.slow
        times = one.times / answered if answered else 1.0
        return Words(Say.REPORT, site, answered + one.bad, one.good, round(times, 3))

    def _conduct(
        self, now: int, wall_ms: int, site: str, count: _Count, word: Word | None, token: int, out: Out
    ) -> None:
        """The lease of its return is ours."""
        one = self._conductors.get(site)
        if one is None:  # the lease was won, and not only renewed
            one = self._conductors[site] = Conductor(now, word, token, self.judge.flaps(now, site))
            if site in self._orders:
                one.told(self._orders[site])
        one.token = token
        mine = self._report(site, count)
        seen = [Seen(mine.calls, mine.served, mine.times_usual, mine.fell), *self._reports[site]]
        self._reports[site].clear()
        calls = sum(one_.calls for one_ in seen)
        late = sum(one_.times_usual * one_.calls for one_ in seen) / calls if calls else 1.0
        whole = Seen(calls, sum(s.served for s in seen), late, sum(s.fell for s in seen))
        if why := one.look(now, whole):
            out.notes.append((site, why))
        elif one.waits:
            out.notes.append((site, one.waits))
            one.waits = ""
        out.words[site] = one.word(wall_ms)
        if out.words[site].done:
            self._up(now, site, out)

    def _up(self, now: int, site: str, out: Out) -> None:
        if change := self.judge.returned(now, site):
            out.changes.append(change)
            follower = self._followers[site]
            follower.after = follower.token  # its words are of a return that is over
