"""Ranks resources by the share of the target size at which they cross their bounds, smallest first."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from swiftwell.discovery.journal import MAX_FRAME_RECORDS
from swiftwell.platform.limits import divide_descriptors
from swiftwell.scale import slopes
from swiftwell.scale.cases import FLAT_EXPONENT, ListCase, RoutingCase
from swiftwell.scale.fits import Fit
from swiftwell.scale.results import Row
from swiftwell.scale.tables import number, table
from swiftwell.scale.target import TARGET

MODULE_CORES = 0.25  # cores at the calls of a mean router; assumed, sockets and codecs take the rest
START_LIST_US = 250_000.0  # time for the full list at a start; assumed, two fifths of a start of 0.61 s
WORKER_DESCRIPTORS = divide_descriptors(TARGET.router_sockets).workers
COPY_LIFETIME_S = 600.0  # assumed lifetime of a copy, if each copy has its own entry
ENTRY_CHANGES_PER_S = 2 * TARGET.instances / COPY_LIFETIME_S
MAX_TARGET_MULTIPLE = 1_000.0  # a bound crossed beyond this multiple of the target counts as not crossed

ROUTING = asdict(RoutingCase())
FLAT = ROUTING | {"exponent": FLAT_EXPONENT}
LIST = asdict(ListCase())


@dataclass(frozen=True, slots=True)
class Resource:
    """A quantity that grows with a factor, its bound, and the module responsible."""

    role: str
    name: str
    kind: str
    fixed: dict[str, object]
    factor: str
    quantity: str
    target: float  # size of the factor at the target
    bound: float
    module: str
    scale: float = 1.0  # converts the unit of the quantity to that of the bound


@dataclass(frozen=True, slots=True)
class Crossing:
    """The size at which a resource crosses its bound."""

    resource: Resource
    fit: Fit
    at_target: float
    share: float  # of the target size; infinite if the bound is not crossed

    @property
    def ratio(self) -> float:
        """The figure at the target divided by the bound."""
        return self.at_target / self.resource.bound


REQUESTS, CONTROL, WORKER = "router, request path", "router, control", "worker as we use it"
WORKER_CONNECTIONS = 32  # connections that a worker can hold; assumed, eight per core
MEMBERSHIP = {"processes": 10, "stretch": 1.0, "loss": 0.0, "fault": "kill", "seed": 1}
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
        MEMBERSHIP,
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
        MEMBERSHIP,
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
        MEMBERSHIP,
        "members",
        "memory_mb",
        TARGET.routers,
        TARGET.control_mb,
        "swiftwell/fleet/members",
    ),
)
# Limits in the code with the size at the target: no run is needed for these.
CODE_LIMITS = (
    ("records of one frame of the list, an entry for each instance", MAX_FRAME_RECORDS, TARGET.instances,
     "none yet (discovery/journal refuses longer frames)"),
    ("records of one frame of the list", MAX_FRAME_RECORDS, TARGET.workers, "swiftwell/discovery/journal"),
)  # fmt: skip


def crossings(rows: Sequence[Row], build: str) -> list[Crossing]:
    """Return the crossings of one build, the smallest share first, without resources that have too few sizes.

    Membership is the same code in all builds so far, so its rows count for each build.
    """
    build_rows = [row for row in rows if row.build == build or row.kind == "membership"]
    found = filter(None, (_crossing(build_rows, resource) for resource in RESOURCES))
    return sorted(found, key=lambda crossing: (crossing.share, -crossing.ratio))


def _crossing(rows: Sequence[Row], resource: Resource) -> Crossing | None:
    measured = slopes.rows_along(rows, resource.kind, resource.factor, resource.fixed)
    slope = slopes.slope(measured, resource.factor, resource.quantity)
    if slope is None:
        return None
    size = slope.fit.crossing(resource.bound / resource.scale, MAX_TARGET_MULTIPLE * resource.target)
    share = math.inf if math.isinf(size) else size / resource.target
    return Crossing(resource, slope.fit, slope.fit.at(resource.target) * resource.scale, share)


def table_of(rows: Sequence[Row], build: str) -> str:
    """Return the ranking as a table."""
    lines: list[tuple[float, tuple[object, ...]]] = []
    for crossing in crossings(rows, build):
        resource = crossing.resource
        mark = "extrapolated" if max(crossing.fit.sizes) < resource.target else "measured slope"
        sizes = f"{min(crossing.fit.sizes):,.0f} to {max(crossing.fit.sizes):,.0f}"
        # A crossing below the smallest measured size cannot be located.
        smallest = min(crossing.fit.sizes) / resource.target
        crossed = f"under {smallest:.3g}" if crossing.share < smallest else _share(crossing.share)
        line = (f"{resource.role}: {resource.name}", crossed, number(crossing.at_target),
                number(resource.bound), number(crossing.ratio), crossing.fit.law, sizes, mark,
                resource.module)  # fmt: skip
        lines.append((crossing.share, line))
    for name, bound, target, module in CODE_LIMITS:
        share = bound / target
        limit_line = (name, _share(share), number(target), number(bound), number(target / bound), "-", "-",
                      "written in the code", module)  # fmt: skip
        lines.append((share, limit_line))
    lines.sort(key=lambda pair: pair[0])
    head = ("resource", "crossed at this share of the target", "at the target", "bound", "ratio", "law",
            "sizes", "mark", "carried by")  # fmt: skip
    return table(head, [line for _, line in lines])


def roles_of(rows: Sequence[Row], build: str) -> str:
    """Return a table of the figures of each role at the target size, with the slopes behind them."""
    lines = []
    for crossing in sorted(crossings(rows, build), key=lambda crossing: crossing.resource.role):
        resource, fit = crossing.resource, crossing.fit
        mark = "extrapolated" if max(fit.sizes) < resource.target else "from a measured slope"
        slope = f"{fit.law}: {number(fit.slope)} ({number(fit.slope_low)} to {number(fit.slope_high)})"
        sizes = ", ".join(f"{size:,.0f}" for size in fit.sizes)
        lines.append(
            (resource.role, resource.name, number(crossing.at_target), mark, slope,
             resource.quantity, f"{resource.factor}: {sizes}", number(resource.bound), number(crossing.ratio),
             resource.module)
        )  # fmt: skip
    head = ("role", "what", "at the target", "mark", "law: slope (95 in 100)", "unit", "measured at", "bound",
            "ratio", "carried by")  # fmt: skip
    return table(head, lines)


def _share(share: float) -> str:
    return "not crossed" if math.isinf(share) else f"{share:.3g}"
