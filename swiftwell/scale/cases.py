"""Cases of a scale run: their factors, the sizes of each factor, and the limits of the machine.  No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, fields, replace

from swiftwell.scale.popularity import EXPONENT

MAX_WORKERS = 200_000  # listed workers: above the number of instances at the target size
MAX_FUNCTIONS = 1_000_000
MAX_CALLS_PER_S = 5_000.0  # a router of the platform serves about 1,000
MAX_CHANGES_PER_S = 1_000.0
MAX_ROUTERS = 10_000  # a setting of the decision module; these routers are not started
MAX_MEMBERS = 800  # fleet members in hollow processes; they take 2% of the machine's memory
MAX_PROCESSES = 20
MAX_STRETCH = 20.0
FLAT_EXPONENT = 1.05  # Zipf exponent at which a router sees thousands of functions a minute


class CaseError(ValueError):
    """A case that cannot be run; the message names the factor and the expected value."""


@dataclass(frozen=True, slots=True)
class RoutingCase:
    """The decision module of one router, with a worker list and calls, in virtual time."""

    workers: int = 1_000
    functions: int = 55_000
    calls_per_s: float = 164.0
    changes_per_s: float = 1.0
    routers: int = 1_400
    exponent: float = EXPONENT
    seconds: float = 36.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class MembershipCase:
    """Fleet members in hollow processes that exchange real datagrams; `stretch` multiplies the period."""

    members: int = 50
    processes: int = 10
    stretch: float = 1.0
    loss: float = 0.0
    fault: str = "kill"
    seed: int = 1


@dataclass(frozen=True, slots=True)
class ListCase:
    """A real router process that gets its worker list at start and its changes over a real socket."""

    workers: int = 1_000
    functions: int = 55_000
    calls_per_s: float = 164.0
    changes_per_s: float = 1.0
    seconds: float = 8.0


@dataclass(frozen=True, slots=True)
class ColdCase:
    """Decision modules of many routers in one virtual time, while cold workers replace most others."""

    routers: int = 20
    workers: int = 40
    seed: int = 1


@dataclass(frozen=True, slots=True)
class OutageCase:
    """Routers that stop receiving the worker list, in one virtual time; `calls_per_s` is per router."""

    routers: int = 20
    workers: int = 120
    calls_per_s: float = 15.0
    exponent: float = 1.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class MemberCase:
    """A real gateway process in a fleet of hollow members."""

    members: int = 50
    processes: int = 10
    seed: int = 1


Case = RoutingCase | MembershipCase | ListCase | ColdCase | OutageCase | MemberCase
KINDS: dict[str, type[Case]] = {
    "routing": RoutingCase, "membership": MembershipCase, "list": ListCase, "cold": ColdCase,
    "member": MemberCase, "outage": OutageCase,
}  # fmt: skip
FAULTS = ("kill", "stop", "cut")
_LIMITS = {
    "workers": (1, MAX_WORKERS), "functions": (1, MAX_FUNCTIONS), "calls_per_s": (0.1, MAX_CALLS_PER_S),
    "changes_per_s": (0.0, MAX_CHANGES_PER_S), "routers": (1, MAX_ROUTERS), "seconds": (1.0, 600.0),
    "members": (4, MAX_MEMBERS), "processes": (2, MAX_PROCESSES), "stretch": (0.05, MAX_STRETCH),
    "loss": (0.0, 0.5), "seed": (0, 2**31), "exponent": (0.1, 3.0),
}  # fmt: skip
_WORKERS = (120, 1_000, 4_000, 10_000, 40_000)
_FACTORS = {
    "functions": (1_000, 10_000, 55_000, 200_000),
    "exponent": (1.05, 1.2, 1.4, 1.6),
    "calls_per_s": (20.0, 164.0, 500.0, 1_500.0),
    "changes_per_s": (0.0, 1.0, 10.0, 100.0),
    "routers": (3, 60, 200, 1_400),
}
_CORNERS = ((120, 100.0), (10_000, 0.0), (10_000, 100.0))  # workers and changes per second
_LIST_SIZES = (120, 1_000, 4_000, 10_000)


def kind_of(case: Case) -> str:
    """Return the kind of a case, as named in `KINDS`."""
    return next(name for name, case_class in KINDS.items() if isinstance(case, case_class))


def make(kind: str, factors: dict[str, object]) -> Case:
    """Build a case from its factors; raises CaseError."""
    if kind not in KINDS:
        raise CaseError(f"kind {kind!r}: expected one of {', '.join(KINDS)}")
    known = {field.name: field for field in fields(KINDS[kind])}
    values: dict[str, object] = {}
    for name, value in factors.items():
        if name not in known:
            raise CaseError(f"{name!r} is not a factor of {kind}: expected one of {', '.join(known)}")
        values[name] = _value(name, value, known[name].default)
    case = KINDS[kind](**values)  # type: ignore[arg-type]
    if isinstance(case, MembershipCase | MemberCase) and case.members < case.processes:
        raise CaseError(
            f"members: {case.members} in {case.processes} processes, expected at least one member in each"
        )
    return case


def _value(name: str, value: object, default: object) -> object:
    if name == "fault":
        if value not in FAULTS:
            raise CaseError(f"fault: {value!r}, expected one of {', '.join(FAULTS)}")
        return value
    try:
        number = type(default)(value)  # type: ignore[call-arg]
    except (TypeError, ValueError):
        raise CaseError(f"{name}: {value!r}, expected a number") from None
    minimum, maximum = _LIMITS[name]
    if not minimum <= number <= maximum:
        raise CaseError(f"{name}: {value}, expected {minimum:,} to {maximum:,} on this machine")
    return number


def key(case: Case) -> str:
    """Return the name that identifies the case in result files."""
    factors = ",".join(f"{name}={value}" for name, value in asdict(case).items())
    return f"{kind_of(case)}:{factors}"


def workers_plan() -> list[RoutingCase]:
    """Sizes of the worker list under two Zipf exponents, and combinations of list size and change rate."""
    base = RoutingCase()
    sizes = [replace(base, workers=workers) for workers in _WORKERS]
    flat = [replace(base, workers=workers, exponent=FLAT_EXPONENT) for workers in _WORKERS[:-1]]
    corners = [replace(base, workers=workers, changes_per_s=changes) for workers, changes in _CORNERS]
    return sizes + flat + corners


def routing_plan() -> list[RoutingCase]:
    """Sizes of the worker list, and every other factor varied alone."""
    base = RoutingCase()
    others = [replace(base, **{factor: size}) for factor, sizes in _FACTORS.items() for size in sizes]
    return list(dict.fromkeys(workers_plan() + others))


def membership_plan() -> list[MembershipCase]:
    """Sizes in real time, the same with a longer period, and faults.

    The size 100 is run with both periods, for comparison.
    """
    sizes = [MembershipCase(members=members) for members in (50, 100, 200)]
    stretched = [MembershipCase(members=100, stretch=2.0), MembershipCase(members=400, stretch=3.0)]
    faults = [
        MembershipCase(members=100, fault="stop"),
        MembershipCase(members=100, fault="cut"),
        MembershipCase(members=100, loss=0.05),
    ]
    return sizes + stretched + faults


def list_plan() -> list[ListCase]:
    """Sizes of the worker list of a real router, and rates of its changes."""
    return [ListCase(workers=workers) for workers in _LIST_SIZES] + [
        ListCase(workers=4_000, changes_per_s=changes) for changes in (10.0, 100.0)
    ]


def member_plan() -> list[MemberCase]:
    """A real gateway among growing numbers of hollow members."""
    return [MemberCase(members=members) for members in (50, 200, 400)]


def cold_plan() -> list[ColdCase]:
    """Ten seeds of each small fleet, three of a large one."""
    plan = [ColdCase(routers, seed=seed) for routers in (3, 20, 30) for seed in range(1, 11)]
    return plan + [ColdCase(200, seed=seed) for seed in range(1, 4)]


def outage_plan() -> list[OutageCase]:
    """Fleets of growing size at the same calls per router, and routers at the load of the target size."""
    fleets = [
        OutageCase(routers, workers) for routers, workers in ((20, 12), (50, 30), (100, 60), (200, 120))
    ]
    return [
        *fleets,
        OutageCase(200, 120, seed=2),
        OutageCase(10, 1_000, 164.0, EXPONENT),
        OutageCase(10, 4_250, 164.0, EXPONENT),
        OutageCase(10, 4_250, 164.0, FLAT_EXPONENT),
    ]


def small_plan() -> list[Case]:
    """Cases that CI runs within seconds."""
    return [
        RoutingCase(workers=60, functions=200, seconds=3.0),
        RoutingCase(workers=400, functions=200, seconds=3.0),
        MembershipCase(members=8, processes=2, stretch=0.2),
        ListCase(workers=50, seconds=2.0),
        ColdCase(routers=3, workers=6),
        MemberCase(members=8, processes=2),
        OutageCase(routers=3, workers=6),
    ]


PLANS: dict[str, Callable[[], Sequence[Case]]] = {
    "small": small_plan, "workers": workers_plan, "routing": routing_plan, "membership": membership_plan,
    "cold": cold_plan, "member": member_plan,
    "list": list_plan, "outage": outage_plan,
}  # fmt: skip
