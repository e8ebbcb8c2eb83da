"""Plans for the loss of sites: where each class's load goes, the memory needed there, and what is refused.

No I/O.  Solves a linear programme for each loss of one and of two sites (scipy's HiGHS).  Classes are served
in the reverse of the shedding order, one after the other: what an earlier class gets is kept while the next
is maximized, so no lower class ever takes from a higher one.  Within a class, worth decides.  A plan assumes
that the clients of a lost site come to the others, and that copies are distributed as calls are.

Not imported by a running gateway, which reads the plan's result (`Admission`).
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import numpy as np
from scipy.optimize import linprog

MAX_UTILIZATION = 0.8  # share of the capacity that a plan uses: beyond it queues grow faster than calls
RATE_TOLERANCE = 1e-6  # calls a second that an earlier class may lose to a later one's rounding errors


@dataclass(frozen=True, slots=True)
class Place:
    """A site: its workers' capacity, in s of work a second, and their memory for copies."""

    name: str
    work: float
    memory_mb: float


@dataclass(frozen=True, slots=True)
class Demand:
    """Calls of one class of one tenant that arrive at one site."""

    request_class: str
    tenant: str
    place: str
    rate: float  # calls a second
    work_s: float  # of one call
    worth: float  # of one answer
    functions: int  # over which the calls are distributed
    memory_mb: float  # of one copy


@dataclass(frozen=True, slots=True)
class Flow:
    """A share of a demand, served at a place.  The field names are keys of the saved plan."""

    band: str  # the request class
    tenant: str
    origin: str
    place: str
    rate: float


@dataclass(frozen=True, slots=True)
class LossPlan:
    """What is served when these sites are lost.  The field names are keys of the saved plan."""

    lost: tuple[str, ...]
    flows: tuple[Flow, ...]
    admitted: dict[tuple[str, str], float]  # class and tenant: share of their calls that is served
    worth: float  # share of the worth that is kept
    work: dict[str, float]  # place: share of its capacity that is used
    memory: dict[str, float]  # place: MB of copies that must be loaded there
    missing_work: float  # s of work a second that is missing to serve all calls
    missing_mb: float  # MB of memory that is missing

    @property
    def kept_whole(self) -> bool:
        """Whether no call has to be refused."""
        return all(share > 1 - 1e-6 for share in self.admitted.values())


@dataclass(frozen=True, slots=True)
class Sites:
    """The sites and demands that are planned for.

    `order`: classes in the order in which they are refused; a class that is not named is refused before all
    of them, by worth per work.  `prices`: worth lost by a call from one place that is served at another.
    """

    places: tuple[Place, ...]
    demands: tuple[Demand, ...]
    order: tuple[str, ...] = ()
    prices: dict[tuple[str, str], float] = field(default_factory=dict)
    may_serve: dict[str, tuple[str, ...]] = field(default_factory=dict)  # origin: places; no entry: any place


def shedding_order(sites: Sites) -> list[str]:
    """Return all classes, the one to be refused first at the start."""
    value: dict[str, float] = {}
    for demand in sites.demands:
        value[demand.request_class] = max(value.get(demand.request_class, 0.0), demand.worth / demand.work_s)
    unnamed = sorted(
        (request_class for request_class in value if request_class not in sites.order),
        key=lambda request_class: (value[request_class], request_class),
    )
    return [*unnamed, *(request_class for request_class in sites.order if request_class in value)]


def plans(sites: Sites, losses: int = 2) -> list[LossPlan]:
    """Plan no loss, and each loss of up to `losses` sites, as long as one is left."""
    names = [place.name for place in sites.places]
    result = []
    for count in range(0, min(losses, len(names) - 1) + 1):
        result += [plan(sites, lost) for lost in itertools.combinations(names, count)]
    return result


def plan(sites: Sites, lost: Sequence[str]) -> LossPlan:
    """Plan one loss.  Raises ValueError if the solver fails: a solution exists, as an empty plan is one."""
    survivors = [place for place in sites.places if place.name not in lost]
    pairs = [
        (d, p)
        for d, demand in enumerate(sites.demands)
        for p, place in enumerate(survivors)
        if place.name in sites.may_serve.get(demand.place, (place.name,))
    ]
    served = _serve(sites, survivors, pairs)
    flows, work_by_place = [], dict.fromkeys((place.name for place in survivors), 0.0)
    served_rate: dict[tuple[str, str], float] = {}
    demanded_rate: dict[tuple[str, str], float] = {}
    memory = dict.fromkeys(work_by_place, 0.0)
    worth = 0.0
    for (d, p), rate in zip(pairs, served.tolist(), strict=True):
        demand, place = sites.demands[d], survivors[p].name
        if rate <= RATE_TOLERANCE:
            continue
        flows.append(Flow(demand.request_class, demand.tenant, demand.place, place, round(float(rate), 6)))
        work_by_place[place] += rate * demand.work_s
        memory[place] += rate / demand.rate * demand.functions * demand.memory_mb
        served_rate[demand.request_class, demand.tenant] = (
            served_rate.get((demand.request_class, demand.tenant), 0.0) + rate
        )
        worth += rate * demand.worth
    for demand in sites.demands:
        demanded_rate[demand.request_class, demand.tenant] = (
            demanded_rate.get((demand.request_class, demand.tenant), 0.0) + demand.rate
        )
    total_worth = sum(demand.rate * demand.worth for demand in sites.demands)
    needed_work = sum(demand.rate * demand.work_s for demand in sites.demands)
    needed_mb = sum(demand.functions * demand.memory_mb for demand in sites.demands)
    return LossPlan(
        tuple(lost),
        tuple(flows),
        {
            key: min(1.0, round(served_rate.get(key, 0.0) / rate, 6))
            for key, rate in demanded_rate.items()
            if rate > 0
        },
        round(worth / total_worth, 6) if total_worth else 1.0,
        {
            place.name: round(work_by_place[place.name] / place.work, 4) if place.work else 0.0
            for place in survivors
        },
        {name: round(mb, 1) for name, mb in memory.items()},
        round(max(0.0, needed_work - MAX_UTILIZATION * sum(place.work for place in survivors)), 4),
        round(max(0.0, needed_mb - sum(place.memory_mb for place in survivors)), 1),
    )


def _serve(sites: Sites, survivors: list[Place], pairs: list[tuple[int, int]]) -> np.ndarray:
    """Return the calls a second of each pair of demand and place, maximized class by class."""
    if not pairs:
        return np.zeros(0)
    demands, count = sites.demands, len(pairs)
    rows: list[np.ndarray] = []
    bounds: list[float] = []
    for d, demand in enumerate(demands):  # at most the calls that arrive
        rows.append(np.array([float(pair[0] == d) for pair in pairs]))
        bounds.append(demand.rate)
    for p, place in enumerate(survivors):  # at most the capacity of the workers and of their memory
        rows.append(np.array([demands[d].work_s * (at == p) for d, at in pairs]))
        bounds.append(MAX_UTILIZATION * place.work)
        rows.append(np.array([_mb_per_rate(demands[d]) * (at == p) for d, at in pairs]))
        bounds.append(place.memory_mb)
    gain = np.array([
        demands[d].worth - sites.prices.get((demands[d].place, survivors[p].name), 0.0) for d, p in pairs
    ])  # fmt: skip
    solution = np.zeros(count)
    for request_class in reversed(shedding_order(sites)):
        in_class = np.array([float(demands[d].request_class == request_class) for d, _ in pairs])
        if not in_class.any():
            continue
        # Serve as many of its calls as possible, and among these the ones of most worth.
        scale = 1e-3 / max(1e-9, float(np.abs(gain).max()))
        solution = _solve(-(in_class + in_class * gain * scale), rows, bounds)
        rows.append(-in_class)
        bounds.append(-max(0.0, float(in_class @ solution) - RATE_TOLERANCE))
    # The rate of each class is fixed: now choose the distribution of most worth.
    return _solve(-gain, rows, bounds)


def _mb_per_rate(demand: Demand) -> float:
    """Return MB of copies for each call a second: a share of the calls needs that share of the functions."""
    return demand.functions * demand.memory_mb / demand.rate if demand.rate else 0.0


def _solve(cost: np.ndarray, rows: list[np.ndarray], bounds: list[float]) -> np.ndarray:
    result = linprog(cost, A_ub=np.array(rows), b_ub=np.array(bounds), bounds=(0, None), method="highs")
    if result.x is None:
        raise ValueError(f"no plan found by the solver: {result.message}")
    return np.asarray(result.x)


@dataclass(frozen=True, slots=True)
class AdmittedClass:
    """One class of one tenant in a plan's order: refused before those that follow it."""

    request_class: str
    tenant: str
    admitted: float


def admission(sites: Sites, loss_plan: LossPlan) -> list[AdmittedClass]:
    """Return what a gateway needs of a plan: the shedding order, and how much of each class is admitted."""
    order = {request_class: place for place, request_class in enumerate(shedding_order(sites))}
    classes = [
        AdmittedClass(request_class, tenant, share)
        for (request_class, tenant), share in loss_plan.admitted.items()
    ]
    return sorted(classes, key=lambda entry: (order[entry.request_class], entry.admitted, entry.tenant))


def inversions(sites: Sites, admitted: dict[tuple[str, str], float]) -> int:
    """Count pairs where the class to be refused first gets more than the other, which is not fully served."""
    order = {request_class: place for place, request_class in enumerate(shedding_order(sites))}
    count = 0
    for (a, share_a), (b, share_b) in itertools.permutations(admitted.items(), 2):
        count += order[a[0]] < order[b[0]] and share_a > share_b + 1e-6 and share_b < 1 - 1e-6
    return count


def differences(old: Iterable[LossPlan], new: Iterable[LossPlan], min_change: float = 0.01) -> list[str]:
    """Return what a new plan changes, a line each."""
    before = {loss_plan.lost: loss_plan for loss_plan in old}
    lines = []
    for loss_plan in new:
        previous = before.pop(loss_plan.lost, None)
        name = "+".join(loss_plan.lost) or "nothing lost"
        if previous is None:
            lines.append(f"{name}: new")
            continue
        if abs(loss_plan.worth - previous.worth) >= min_change:
            lines.append(f"{name}: worth kept {previous.worth:.2f} -> {loss_plan.worth:.2f}")
        for key in sorted(loss_plan.admitted.keys() | previous.admitted.keys()):
            old_share, new_share = previous.admitted.get(key, 0.0), loss_plan.admitted.get(key, 0.0)
            if abs(old_share - new_share) >= min_change:
                lines.append(
                    f"{name}: {'/'.join(filter(None, key))} admitted {old_share:.2f} -> {new_share:.2f}"
                )
    return lines + [f"{'+'.join(lost) or 'nothing lost'}: gone" for lost in before]
