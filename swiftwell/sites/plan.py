"""Where each class's load goes when sites are lost, what must stand there beforehand, what is refused.

No I/O.  A linear programme for each loss of one and of two sites (scipy's HiGHS).  Classes are served in the
reverse of the order of sacrifice, one after the other: what an earlier one gets is kept while the next is
maximized, so no lower class ever takes from a higher one.  Within a class, worth decides.  Two things are a
plan's own guess: that a lost site's clients come to the others, and that copies are spread as calls are.

Not imported by a running gateway: it reads the plan's result (`Admission`).
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import numpy as np
from scipy.optimize import linprog

HEADROOM = 0.8  # of what workers can do that a plan fills: beyond it queues grow faster than calls
KEPT = 1e-6  # calls a second that an earlier class may give up to a later one's arithmetic


@dataclass(frozen=True, slots=True)
class Place:
    """A site: what its workers can do, in s of work a second, and the memory that they have for copies."""

    name: str
    work: float
    memory_mb: float


@dataclass(frozen=True, slots=True)
class Demand:
    """Calls of one class of one tenant that come at one site."""

    request_class: str
    tenant: str
    place: str
    rate: float  # calls a second
    work_s: float  # of one call
    worth: float  # of one answer
    functions: int  # that they spread over
    memory_mb: float  # of one copy


@dataclass(frozen=True, slots=True)
class Flow:
    """A part of a demand, served at a place."""

    band: str
    tenant: str
    origin: str
    place: str
    rate: float


@dataclass(frozen=True, slots=True)
class LossPlan:
    """What is left when these sites are lost."""

    lost: tuple[str, ...]
    flows: tuple[Flow, ...]
    admitted: dict[tuple[str, str], float]  # class and tenant: part of their calls that is served
    worth: float  # part of the worth that is kept
    work: dict[str, float]  # place: part of its work that is used
    memory: dict[str, float]  # place: MB of copies that must stand there
    missing_work: float  # s a second that would be needed to serve all
    missing_mb: float  # and memory

    @property
    def kept_whole(self) -> bool:
        """Whether nothing has to be refused."""
        return all(part > 1 - 1e-6 for part in self.admitted.values())


@dataclass(frozen=True, slots=True)
class Sites:
    """What is planned for.

    `order`: classes in the order in which they are refused, first one first; what it does not name is refused
    before all of them, by worth for work.  `prices`: worth lost by a call from one place served at another.
    """

    places: tuple[Place, ...]
    demands: tuple[Demand, ...]
    order: tuple[str, ...] = ()
    prices: dict[tuple[str, str], float] = field(default_factory=dict)
    may_serve: dict[str, tuple[str, ...]] = field(default_factory=dict)  # origin: where; none is anywhere


def sacrifice(sites: Sites) -> list[str]:
    """All classes, the first to be refused first."""
    value: dict[str, float] = {}
    for one in sites.demands:
        value[one.request_class] = max(value.get(one.request_class, 0.0), one.worth / one.work_s)
    rest = sorted(
        (request_class for request_class in value if request_class not in sites.order),
        key=lambda request_class: (value[request_class], request_class),
    )
    return [*rest, *(request_class for request_class in sites.order if request_class in value)]


def plans(sites: Sites, losses: int = 2) -> list[LossPlan]:
    """For no loss, and each loss of up to so many sites, as long as one is left."""
    names = [place.name for place in sites.places]
    out = []
    for count in range(0, min(losses, len(names) - 1) + 1):
        out += [plan(sites, lost) for lost in itertools.combinations(names, count)]
    return out


def plan(sites: Sites, lost: Sequence[str]) -> LossPlan:
    """One loss.  Raises ValueError where the solver finds nothing, which an empty plan would satisfy."""
    left = [place for place in sites.places if place.name not in lost]
    pairs = [
        (d, p)
        for d, one in enumerate(sites.demands)
        for p, place in enumerate(left)
        if place.name in sites.may_serve.get(one.place, (place.name,))
    ]
    served = _serve(sites, left, pairs)
    flows, by_place = [], dict.fromkeys((place.name for place in left), 0.0)
    got: dict[tuple[str, str], float] = {}
    asked: dict[tuple[str, str], float] = {}
    memory = dict.fromkeys(by_place, 0.0)
    worth = 0.0
    for (d, p), rate in zip(pairs, served.tolist(), strict=True):
        one, place = sites.demands[d], left[p].name
        if rate <= KEPT:
            continue
        flows.append(Flow(one.request_class, one.tenant, one.place, place, round(float(rate), 6)))
        by_place[place] += rate * one.work_s
        memory[place] += rate / one.rate * one.functions * one.memory_mb
        got[one.request_class, one.tenant] = got.get((one.request_class, one.tenant), 0.0) + rate
        worth += rate * one.worth
    for one in sites.demands:
        asked[one.request_class, one.tenant] = asked.get((one.request_class, one.tenant), 0.0) + one.rate
    whole = sum(one.rate * one.worth for one in sites.demands)
    need = sum(one.rate * one.work_s for one in sites.demands)
    need_mb = sum(one.functions * one.memory_mb for one in sites.demands)
    return LossPlan(
        tuple(lost),
        tuple(flows),
        {key: min(1.0, round(got.get(key, 0.0) / rate, 6)) for key, rate in asked.items() if rate > 0},
        round(worth / whole, 6) if whole else 1.0,
        {place.name: round(by_place[place.name] / place.work, 4) if place.work else 0.0 for place in left},
        {name: round(mb, 1) for name, mb in memory.items()},
        round(max(0.0, need - HEADROOM * sum(place.work for place in left)), 4),
        round(max(0.0, need_mb - sum(place.memory_mb for place in left)), 1),
    )


def _serve(sites: Sites, left: list[Place], pairs: list[tuple[int, int]]) -> np.ndarray:
    """Calls a second of each pair, class by class."""
    if not pairs:
        return np.zeros(0)
    demands, count = sites.demands, len(pairs)
    rows: list[np.ndarray] = []
    bounds: list[float] = []
    for d, one in enumerate(demands):  # no more than comes
        rows.append(np.array([float(pair[0] == d) for pair in pairs]))
        bounds.append(one.rate)
    for p, place in enumerate(left):  # no more than the workers can do, and than their memory holds
        rows.append(np.array([demands[d].work_s * (at == p) for d, at in pairs]))
        bounds.append(HEADROOM * place.work)
        rows.append(np.array([_mb(demands[d]) * (at == p) for d, at in pairs]))
        bounds.append(place.memory_mb)
    gain = np.array([
        demands[d].worth - sites.prices.get((demands[d].place, left[p].name), 0.0) for d, p in pairs
    ])  # fmt: skip
    found = np.zeros(count)
    for request_class in reversed(sacrifice(sites)):
        mine = np.array([float(demands[d].request_class == request_class) for d, _ in pairs])
        if not mine.any():
            continue
        # As many of its calls as can be, and among these the ones of most worth.
        scale = 1e-3 / max(1e-9, float(np.abs(gain).max()))
        found = _solve(-(mine + mine * gain * scale), rows, bounds)
        rows.append(-mine)
        bounds.append(-max(0.0, float(mine @ found) - KEPT))
    # All classes have what they get: now the cheapest way of it.
    return _solve(-gain, rows, bounds)


def _mb(one: Demand) -> float:
    """Memory for copies by calls a second: a part of the calls needs that part of the functions."""
    return one.functions * one.memory_mb / one.rate if one.rate else 0.0


def _solve(cost: np.ndarray, rows: list[np.ndarray], bounds: list[float]) -> np.ndarray:
    told = linprog(cost, A_ub=np.array(rows), b_ub=np.array(bounds), bounds=(0, None), method="highs")
    if told.x is None:
        raise ValueError(f"no plan: {told.message}")
    return np.asarray(told.x)


@dataclass(frozen=True, slots=True)
class Order:
    """One class of one tenant in a plan's order: refused before those that follow it."""

    request_class: str
    tenant: str
    admitted: float


def admission(sites: Sites, told: LossPlan) -> list[Order]:
    """What a gateway needs of a plan: the order of sacrifice, and how much of each is admitted."""
    order = {request_class: place for place, request_class in enumerate(sacrifice(sites))}
    found = [Order(request_class, tenant, part) for (request_class, tenant), part in told.admitted.items()]
    return sorted(found, key=lambda one: (order[one.request_class], one.admitted, one.tenant))


def inversions(sites: Sites, admitted: dict[tuple[str, str], float]) -> int:
    """Pairs of classes of which the one to be refused first gets more than the other, which is not whole."""
    order = {request_class: place for place, request_class in enumerate(sacrifice(sites))}
    found = 0
    for (a, part_a), (b, part_b) in itertools.permutations(admitted.items(), 2):
        found += order[a[0]] < order[b[0]] and part_a > part_b + 1e-6 and part_b < 1 - 1e-6
    return found


def differences(old: Iterable[LossPlan], new: Iterable[LossPlan], least: float = 0.01) -> list[str]:
    """What a new plan changes, a line each."""
    before = {one.lost: one for one in old}
    out = []
    for one in new:
        was = before.pop(one.lost, None)
        name = "+".join(one.lost) or "nothing lost"
        if was is None:
            out.append(f"{name}: new")
            continue
        if abs(one.worth - was.worth) >= least:
            out.append(f"{name}: worth kept {was.worth:.2f} -> {one.worth:.2f}")
        for key in sorted(one.admitted.keys() | was.admitted.keys()):
            a, b = was.admitted.get(key, 0.0), one.admitted.get(key, 0.0)
            if abs(a - b) >= least:
                out.append(f"{name}: {'/'.join(filter(None, key))} admitted {a:.2f} -> {b:.2f}")
    return out + [f"{'+'.join(lost) or 'nothing lost'}: gone" for lost in before]
