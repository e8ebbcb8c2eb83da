"""Generates the tables of docs/CAPACITY.md from the committed rows, each between a pair of marks."""

from __future__ import annotations

import re
import statistics
from collections.abc import Callable, Sequence
from pathlib import Path

from swiftwell.scale import ranking, slopes
from swiftwell.scale.cases import FLAT_EXPONENT, RoutingCase
from swiftwell.scale.ranking import ROUTING
from swiftwell.scale.results import Row
from swiftwell.scale.tables import number, table
from swiftwell.scale.target import TARGET

BASE = RoutingCase()
BUILDS = ("before", "after")
_MARK = re.compile(r"(<!-- scale:(?P<name>[a-z-]+) -->\n).*?(<!-- /scale -->)", re.DOTALL)


class ReportError(ValueError):
    """A page with an unknown mark; the message names the mark."""


def fill(page: str, rows: Sequence[Row]) -> str:
    """Return the page with every marked table regenerated; raises ReportError."""

    def fill_table(match: re.Match[str]) -> str:
        make_table = TABLES.get(match["name"])
        if make_table is None:
            raise ReportError(f"scale:{match['name']}: expected one of {', '.join(TABLES)}")
        return match[1] + make_table(rows) + "\n" + match[3]

    return _MARK.sub(fill_table, page)


def rows_of_build(rows: Sequence[Row], build: str) -> list[Row]:
    """Return the rows of one build."""
    return [row for row in rows if row.build == build]


def routing(rows: Sequence[Row]) -> str:
    """Table of both builds by the size of the worker list."""
    lines = []
    for exponent in (BASE.exponent, FLAT_EXPONENT):
        fixed = ROUTING | {"exponent": exponent}
        for build in BUILDS:
            for row in slopes.rows_along(rows_of_build(rows, build), "routing", "workers", fixed):
                v = row.values
                lines.append(
                    (build, exponent, f"{row.factors['workers']:,}", number(v["call_us"]),
                     number(v["call_p99_us"]), number(v["change_us"]), number(v["list_us"] / 1e3),
                     number(v["cores"]), number(v["memory_mb"]), v["workers_used"], v["functions_seen"])
                )  # fmt: skip
    head = ("build", "exponent", "workers listed", "call, us", "its p99, us", "change of the list, us",
            "whole list, ms", "cores", "memory, MB", "workers used", "functions seen")  # fmt: skip
    return table(head, lines)


def factors(rows: Sequence[Row]) -> str:
    """Table of the build "after" by every other factor, varied alone."""
    lines = []
    for factor in ("functions", "exponent", "calls_per_s", "changes_per_s", "routers"):
        for row in slopes.rows_along(rows_of_build(rows, "after"), "routing", factor, ROUTING):
            v = row.values
            lines.append(
                (factor, f"{row.factors[factor]:,}", number(v["call_us"]), number(v["change_us"]),
                 number(v["cores"]), number(v["memory_mb"]), v["workers_used"])
            )  # fmt: skip
    head = ("factor", "size", "call, us", "change of the list, us", "cores", "memory, MB", "workers used")
    return table(head, lines)


def corners(rows: Sequence[Row]) -> str:
    """Table of combinations of list size and change rate."""
    lines = []
    for build in BUILDS:
        for workers in (120, 10_000):
            for changes in (0.0, 1.0, 100.0):
                fixed = ROUTING | {"workers": workers, "changes_per_s": changes}
                if row := slopes.find_row(rows_of_build(rows, build), "routing", fixed):
                    lines.append(
                        (build, f"{workers:,}", number(changes), number(row.values["call_us"]),
                         number(row.values["change_us"]), number(row.values["cores"]))
                    )  # fmt: skip
    head = ("build", "workers listed", "changes a second", "call, us", "change, us", "cores")
    return table(head, lines)


def laws(rows: Sequence[Row]) -> str:
    """Table of the laws fitted to both builds by list size, with their values at the target."""
    lines = []
    for build in BUILDS:
        found = slopes.rows_along(rows_of_build(rows, build), "routing", "workers", ROUTING)
        for quantity in ("call_us", "change_us", "list_us", "cores", "memory_mb", "workers_used"):
            slope = slopes.slope(found, "workers", quantity)
            if slope is None:
                continue
            fit = slope.fit
            interval = f"{number(fit.slope_low)} to {number(fit.slope_high)}"
            lines.append(
                (build, quantity, fit.law, f"{number(fit.slope)} ({interval})",
                 f"{fit.relative_error:.0%}", number(fit.at(TARGET.workers)),
                 number(fit.at(TARGET.instances)))
            )  # fmt: skip
    head = ("build", "quantity", "law", "slope (95 in 100)", "miss", f"at {TARGET.workers:,} workers",
            f"at {TARGET.instances:,}")  # fmt: skip
    return table(head, lines)


def predictions(rows: Sequence[Row]) -> str:
    """Table of the predictions made before a run, with the measured values and the errors."""
    lines = []
    for row in rows:
        for quantity, value in row.predicted.items():
            measured = row.values[quantity]
            error = f"{value / measured - 1:+.0%}" if measured else "-"
            lines.append(
                (row.build, f"{row.factors['workers']:,}", quantity, number(value), number(measured), error)
            )
    return table(("build", "workers", "quantity", "predicted", "measured", "miss"), lines)


def membership(rows: Sequence[Row]) -> str:
    """Table of the costs and times of hollow members."""
    lines = []
    for row in sorted(rows_of_build(rows, "after"), key=lambda row: str(row.factors.get("fault"))):
        if row.kind != "membership":
            continue
        f, v = row.factors, row.values
        lines.append(
            (f["members"], f["fault"], f"{f['loss']:.0%}", f"x{f['stretch']:g}", _seconds(v["views_s"]),
             _seconds(v["known_s"]), _seconds(v["healed_s"]), f"{v['right_at_end']:.0%}", number(v["cores"]),
             number(v["datagrams_per_s"]), number(v["bytes_per_s"]), number(v["worst_second_bytes"]),
             number(v["memory_mb"]), v["false_deaths"])
        )  # fmt: skip
    head = ("members", "fault", "loss", "period", "all views right, s", "fault known to all, s", "healed, s",
            "right at the end", "cores", "datagrams/s", "bytes/s", "worst bytes/s", "memory, MB",
            "taken for dead before the fault")  # fmt: skip
    return table(head, lines)


def real_member(rows: Sequence[Row]) -> str:
    """Table of a real gateway in a fleet of hollow members."""
    lines = []
    for row in rows_of_build(rows, "after"):
        if row.kind != "member":
            continue
        v = row.values
        cost = v["cores"] - v["alone_cores"]
        lines.append(
            (row.factors["members"], _seconds(v["view_s"]), v["seen"], number(cost),
             number(v["hollow_cores"]), number(cost / v["hollow_cores"]), number(v["datagrams_per_s"]),
             number(v["hollow_datagrams_per_s"]), number(v["memory_mb"] - v["alone_memory_mb"]))
        )  # fmt: skip
    head = ("hollow members", "its view whole, s", "members seen at the end", "cores for it",
            "a hollow member's", "ratio", "datagrams/s", "a hollow one's", "memory for it, MB")  # fmt: skip
    return table(head, lines)


def _seconds(seconds: float) -> str:
    return "never" if seconds < 0 else number(seconds)


def real(rows: Sequence[Row]) -> str:
    """Table of a real router process by its list, compared with a hollow one of the same size."""
    lines = []
    for row in rows_of_build(rows, "after"):
        if row.kind != "list":
            continue
        f, v = row.factors, row.values
        fixed = ROUTING | {"workers": f["workers"], "changes_per_s": f["changes_per_s"]}
        hollow = slopes.find_row(rows_of_build(rows, "after"), "routing", fixed)
        ratio = number(v["call_us"] / hollow.values["call_us"]) if hollow else "-"
        lines.append(
            (f"{f['workers']:,}", number(f["changes_per_s"]), number(v["start_s"]), f"{v['in_time']:.1%}",
             number(v["cores"]), number(v["call_us"]), ratio, number(v["memory_mb"]),
             number(v["list_bytes_per_s"]), v["descriptors"])
        )  # fmt: skip
    head = ("workers listed", "changes a second", "start, s", "served", "cores", "call, us",
            "ratio to hollow", "memory, MB", "list bytes/s", "descriptors")  # fmt: skip
    return table(head, lines)


def cold(rows: Sequence[Row]) -> str:
    """Table of the load on the worst cold worker of each run, by fleet size over its seeds."""
    values_by_routers: dict[int, list[dict[str, float]]] = {}
    for row in rows_of_build(rows, "after"):
        if row.kind == "cold":
            values_by_routers.setdefault(row.factors["routers"], []).append(row.values)
    lines = []
    for routers, found in sorted(values_by_routers.items()):
        worst = sorted(values["worst_excess"] for values in found)
        lines.append(
            (routers, len(found), " ".join(f"{excess:.1f}" for excess in worst),
             number(max(values["worst_of_limit"] for values in found)),
             int(sum(values["falls"] for values in found)),
             number(statistics.fmean(values["used"] for values in found)))
        )  # fmt: skip
    head = ("routers", "plays", "(calls - N) / root N at the worst cold worker, by play",
            "most calls over N + 2 root N + 2", "falls", "budget used, mean")  # fmt: skip
    return table(head, lines)


def outage(rows: Sequence[Row]) -> str:
    """Table of the queries of routers to workers while the worker list is silent."""
    lines = []
    for row in rows_of_build(rows, "after"):
        if row.kind == "outage":
            f, v = row.factors, row.values
            lines.append(
                (f"{f['routers']:,}", f"{f['workers']:,}", number(f["calls_per_s"]), number(f["exponent"]),
                 number(v["asked_per_s"]), int(v["most_per_s"]), number(v["worker_per_s"]),
                 int(v["worker_most_per_s"]), f"{v['served'] / v['calls']:.1%}", int(v["late_sends"]))
            )  # fmt: skip
    head = ("routers", "workers", "calls a router and second", "exponent", "asked a router and second",
            "most of one router in a second", "met a worker and second", "most at one worker in a second",
            "served", "late sends")  # fmt: skip
    return table(head, lines)


def first_ranking(rows: Sequence[Row]) -> str:
    """Ranking of the build "before"."""
    return ranking.table_of(rows, "before")


def last_ranking(rows: Sequence[Row]) -> str:
    """Ranking of the build "after"."""
    return ranking.table_of(rows, "after")


def roles(rows: Sequence[Row]) -> str:
    """Table of the figures of each role at the target size."""
    return ranking.roles_of(rows, "after")


TABLES: dict[str, Callable[[Sequence[Row]], str]] = {
    "routing": routing, "factors": factors, "corners": corners, "laws": laws, "predictions": predictions,
    "membership": membership, "real": real, "cold": cold, "outage": outage,
    "ranking-before": first_ranking, "ranking": last_ranking, "roles": roles, "real-member": real_member,
}  # fmt: skip


def write(page: Path, rows: Sequence[Row]) -> bool:
    """Fill a page and return whether it changed; raises OSError, ReportError."""
    text = page.read_text(encoding="utf-8")
    updated = fill(text, rows)
    if updated != text:
        page.write_text(updated, encoding="utf-8")
    return updated != text
