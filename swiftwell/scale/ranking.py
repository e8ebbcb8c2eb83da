"""Every resource by the share of the target size at which its bound is crossed, smallest first."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from swiftwell.discovery.journal import MOST_RECORDS
from swiftwell.platform.limits import divide
from swiftwell.scale import slopes
from swiftwell.scale.cases import FLAT_EXPONENT, ListCase, RoutingCase
from swiftwell.scale.fits import Fit
from swiftwell.scale.results import Row
from swiftwell.scale.tables import number, table
from swiftwell.scale.target import TARGET

MODULE_CORES = 0.25  # of a core at a mean router's calls: assumed, the rest is sockets and codecs
START_LIST_US = 250_000.0  # us of a start for taking the whole list: assumed, two fifths of 0.61 s
WORKER_DESCRIPTORS = divide(TARGET.router_sockets).workers
COPY_LIFE_S = 600.0  # s that a copy stands: assumed, where each copy has an entry of its own
ENTRY_CHANGES_PER_S = 2 * TARGET.instances / COPY_LIFE_S
FAR = 1_000.0  # times the target: a bound that is crossed beyond it is not crossed

ROUTING = asdict(RoutingCase())
FLAT = ROUTING | {"exponent": FLAT_EXPONENT}
LIST = asdict(ListCase())


@dataclass(frozen=True, slots=True)
class Resource:
    """A quantity that grows with a factor, its bound, and what carries it."""

    role: str
    name: str
    kind: str
    fixed: dict[str, object]
    factor: str
    quantity: str
    target: float  # the factor's size there
    bound: float
    carrier: str
    scale: float = 1.0  # the bound's unit for each of the quantity's


@dataclass(frozen=True, slots=True)
class Crossing:
    """Where a resource crosses its bound."""

    resource: Resource
    fit: Fit
    at_target: float
    share: float  # of the target's size; infinite where it is not crossed

    @property
    def ratio(self) -> float:
        """The figure at the target over its bound."""
        return self.at_target / self.resource.bound


REQUESTS, CONTROL, WORKER = "router, request path", "router, control", "worker as we use it"
WORKER_CONNECTIONS = 32  # connections that a worker holds well: assumed, eight a core
_MEMBERS = {"processes": 10, "stretch": 1.0, "loss": 0.0, "fault": "kill", "seed": 1}
RESOURCES = (
    Resource(
        CONTROL,
        "module's memory, copies of a worker in one entry",
        "routing",
        FLAT,
        "workers",
        "memory_mb",
        TARGET.workers,
        TARGET.control_mb,
        "swiftwell/placement, swiftwell/router_state",
    ),
    Resource(
        CONTROL,
        "module's memory, an entry for each instance",
        "routing",
        ROUTING,
        "workers",
        "memory_mb",
        TARGET.instances,
        TARGET.control_mb,
        "swiftwell/placement, swiftwell/router_state",
    ),
    Resource(
        REQUESTS,
        "module's processor time, a mean router's calls",
        "routing",
        FLAT,
        "workers",
        "cores",
        TARGET.workers,
        MODULE_CORES,
        "swiftwell/choice, swiftwell/placement",
    ),
    Resource(
        REQUESTS,
        "module's processor time, an entry for each instance",
        "routing",
        ROUTING,
        "workers",
        "cores",
        TARGET.instances,
        MODULE_CORES,
        "swiftwell/choice, swiftwell/placement",
    ),
    Resource(
        CONTROL,
        "changes of the list, an entry for each instance",
        "routing",
        ROUTING,
        "workers",
        "change_us",
        TARGET.instances,
        TARGET.control_cores,
        "swiftwell/placement",
        ENTRY_CHANGES_PER_S / 1e6,
    ),
    Resource(
        CONTROL,
        "the whole list at a start",
        "routing",
        ROUTING,
        "workers",
        "list_us",
        TARGET.workers,
        START_LIST_US,
        "swiftwell/placement",
    ),
    Resource(
        CONTROL,
        "the whole list at a start, an entry for each instance",
        "routing",
        ROUTING,
        "workers",
        "list_us",
        TARGET.instances,
        START_LIST_US,
        "swiftwell/placement",
    ),
    Resource(
        REQUESTS,
        "workers met within 36 s, against descriptors",
        "routing",
        FLAT,
        "workers",
        "workers_used",
        TARGET.workers,
        WORKER_DESCRIPTORS,
        "none yet (subsets of workers)",
    ),
    Resource(
        WORKER,
        "connections of all routers within 36 s",
        "routing",
        FLAT,
        "workers",
        "workers_used",
        TARGET.workers,
        WORKER_CONNECTIONS,
        "none yet (subsets of workers)",
        TARGET.routers / TARGET.workers,
    ),
    Resource(
        REQUESTS,
        "memory of a real router",
        "list",
        LIST,
        "workers",
        "memory_mb",
        TARGET.workers,
        TARGET.router_mb,
        "swiftwell/platform",
    ),
    Resource(
        CONTROL,
        "membership's processor time",
        "membership",
        _MEMBERS,
        "members",
        "cores",
        TARGET.routers,
        TARGET.control_cores,
        "swiftwell/fleet/members; none yet at this size",
    ),
    Resource(
        CONTROL,
        "membership's bytes a second",
        "membership",
        _MEMBERS,
        "members",
        "bytes_per_s",
        TARGET.routers,
        TARGET.control_bytes_per_s,
        "swiftwell/fleet/members",
    ),
    Resource(
        CONTROL,
        "a member's memory",
        "membership",
        _MEMBERS,
        "members",
        "memory_mb",
        TARGET.routers,
        TARGET.control_mb,
        "swiftwell/fleet/members",
    ),
)
# Bounds that stand in the code, and the size that they are held against: no run is needed for these.
WRITTEN = (
    ("records of one frame of the list, an entry for each instance", MOST_RECORDS, TARGET.instances,
     "none yet (discovery/journal refuses longer frames)"),
    ("records of one frame of the list", MOST_RECORDS, TARGET.workers, "swiftwell/discovery/journal"),
)  # fmt: skip


def crossings(rows: Sequence[Row], build: str) -> list[Crossing]:
    """Those of one build, the first to be crossed first; resources without enough sizes are left out.

    Membership is the same code in all builds so far: its rows serve for each.
    """
    mine = [row for row in rows if row.build == build or row.kind == "membership"]
    found = filter(None, (_crossing(mine, resource) for resource in RESOURCES))
    return sorted(found, key=lambda one: (one.share, -one.ratio))


def _crossing(rows: Sequence[Row], resource: Resource) -> Crossing | None:
    along = slopes.along(rows, resource.kind, resource.factor, resource.fixed)
    one = slopes.slope(along, resource.factor, resource.quantity)
    if one is None:
        return None
    size = one.fit.crossing(resource.bound / resource.scale, FAR * resource.target)
    share = math.inf if math.isinf(size) else size / resource.target
    return Crossing(resource, one.fit, one.fit.at(resource.target) * resource.scale, share)


def table_of(rows: Sequence[Row], build: str) -> str:
    """The ranking as a table."""
    lines: list[tuple[float, tuple[object, ...]]] = []
    for one in crossings(rows, build):
        r = one.resource
        mark = "extrapolated" if max(one.fit.sizes) < r.target else "measured slope"
        sizes = f"{min(one.fit.sizes):,.0f} to {max(one.fit.sizes):,.0f}"
        smallest = min(one.fit.sizes) / r.target  # below it nothing is known of where the bound is crossed
        crossed = f"under {smallest:.3g}" if one.share < smallest else _share(one.share)
        line = (f"{r.role}: {r.name}", crossed, number(one.at_target), number(r.bound),
                number(one.ratio), one.fit.law, sizes, mark, r.carrier)  # fmt: skip
        lines.append((one.share, line))
    for name, bound, target, carrier in WRITTEN:
        share = bound / target
        written = (name, _share(share), number(target), number(bound), number(target / bound), "-", "-",
                   "written in the code", carrier)  # fmt: skip
        lines.append((share, written))
    lines.sort(key=lambda pair: pair[0])
    head = ("resource", "crossed at this share of the target", "at the target", "bound", "ratio", "law",
            "sizes", "mark", "carried by")  # fmt: skip
    return table(head, [line for _, line in lines])


def roles_of(rows: Sequence[Row], build: str) -> str:
    """Each role's figures at the target size, with the slopes that they were worked out from."""
    lines = []
    for one in sorted(crossings(rows, build), key=lambda one: one.resource.role):
        r, fit = one.resource, one.fit
        mark = "extrapolated" if max(fit.sizes) < r.target else "from a measured slope"
        slope = f"{fit.law}: {number(fit.slope)} ({number(fit.slope_low)} to {number(fit.slope_high)})"
        sizes = ", ".join(f"{size:,.0f}" for size in fit.sizes)
        lines.append(
            (r.role, r.name, number(one.at_target), mark, slope, r.quantity, f"{r.factor}: {sizes}",
             number(r.bound), number(one.ratio), r.carrier)
        )  # fmt: skip
    head = ("role", "what", "at the target", "mark", "law: slope (95 in 100)", "unit", "measured at", "bound",
            "ratio", "carried by")  # fmt: skip
    return table(head, lines)


def _share(share: float) -> str:
    return "not crossed" if math.isinf(share) else f"{share:.3g}"
