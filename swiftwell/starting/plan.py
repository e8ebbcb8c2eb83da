"""What a start of many gateways asks of the list service and the workers, by their settings.  No I/O.

Bounds, not means: each is what all of them together may do at most while they hear each other.  The measured
days stand in docs/performance.md.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from swiftwell.fleet.lease import choose_voters
from swiftwell.fleet.replicated_log import FANOUT
from swiftwell.fleet.shares import RESERVED_PPM, TOTAL_PPM
from swiftwell.settings.site import Site
from swiftwell.starting.copies import ASKED_US, TRIES
from swiftwell.starting.list_reader import ALONE_US, LEARN_US, SILENT_PERIODS

START_CPU_S = 0.5  # s of processor time of one start, measured (docs/performance.md)
LIST_S = 1.0  # s until the first answer has reached all of a zone: five rounds of a board, with losses


@dataclass(frozen=True, slots=True)
class Plan:
    """Figures of one start; times in s."""

    gateways: int
    zones: int
    together: bool
    list_most_in_a_second: float
    list_in_all: float
    list_by_all_after_s: float  # from the last start, with a service that answers
    silent_term_s: float  # nobody holds a lease before
    reader_gone_s: float  # until another reads where a reader falls silent
    datagrams_a_second: float  # of one gateway, at rest
    connections_to_a_worker: int
    cold_part: float  # of the budget of a starting worker that one gateway has while nothing is lent
    cold_sum: float  # of all gateways then
    orders_for_a_copy: int
    order_late_s: float  # by which an order may be held back
    start_cpu_s: float  # of all starts together
    starting_s: float


def plan(site: Site, gateways: int, cores: float, cpu_s: float = START_CPU_S) -> Plan:
    """For so many gateways with these settings, started at once on machines of so many cores in all."""
    fleet, workers = site.fleet, site.workers
    zones = Counter(one.zone for one in fleet.member) if fleet else Counter({"": gateways})
    reader = bool(fleet and fleet.one_reader and workers.list)
    starting = gateways * cpu_s / max(0.1, cores)
    if fleet and reader:
        each = fleet.list_rate / len(zones)
        most = math.ceil(fleet.list_rate) + 2 * len(zones)  # and a reader's own two: its first, and the next
        every = len(zones) * (2 + math.ceil(LIST_S * each))
        after = LEARN_US / 1e6 + LIST_S
    else:
        asks = gateways if workers.list else 0
        most, every, after = asks, asks, 0.0
    budget = bool(fleet and "cold" in fleet.budgets)
    part = RESERVED_PPM / gateways / TOTAL_PPM if budget else 1 / gateways
    period = fleet.period_ms / 1e3 if fleet else 0.0
    return Plan(
        gateways=gateways,
        zones=len(zones),
        together=fleet is not None,
        list_most_in_a_second=float(most),
        list_in_all=float(every),
        list_by_all_after_s=round(after, 2),
        silent_term_s=fleet.term_ms / 1e3 if fleet else 0.0,
        reader_gone_s=round(SILENT_PERIODS * period + len(zones) / fleet.list_rate, 2)
        if fleet and reader
        else 0.0,
        datagrams_a_second=round((4 + (FANOUT if reader else 0) + 1) / period, 1) if period else 0.0,
        connections_to_a_worker=gateways * workers.connections,
        cold_part=part,
        cold_sum=round(part * gateways, 3),
        orders_for_a_copy=1 if fleet and fleet.one_order else gateways,
        order_late_s=TRIES * ASKED_US / 1e6 if fleet and fleet.one_order else 0.0,
        start_cpu_s=round(gateways * cpu_s, 1),
        starting_s=round(starting, 1),
    )


def lines(told: Plan, site: Site) -> list[str]:
    """For a terminal."""
    fleet = site.fleet
    how = "a fleet" if told.together else "each for itself"
    out = [
        f"{told.gateways} gateways in {told.zones} zone(s), {how}",
        f"list service: at most {told.list_most_in_a_second:g} questions in a second, "
        f"{told.list_in_all:g} until all have the list, {told.list_by_all_after_s:g} s after the last start",
        f"a starting worker: {told.cold_part:.2%} of its budget for one gateway, {told.cold_sum:.0%} for all",
        f"a worker: at most {told.connections_to_a_worker} connections",
        f"a function's first copy: ordered {told.orders_for_a_copy} time(s) at most, up to "
        f"{told.order_late_s:g} s later",
        f"processor time of the starts: {told.start_cpu_s:g} s, done after {told.starting_s:g} s",
    ]
    if fleet:
        names = [one.name for one in fleet.member]
        voters = ", ".join(choose_voters(names, "share/cold", fleet.voters))
        out.append(
            f"no lease for the first {told.silent_term_s:g} s; a reader that dies is followed within "
            f"{told.reader_gone_s:g} s; {told.datagrams_a_second:g} datagrams a second from each gateway"
        )
        out.append(
            f"voters of the budget for starting workers: {voters}: start one of them first, stop it last"
        )
        out.append(f"one that hears nobody for {ALONE_US / 1e6:g} s asks the list as it would alone")
    return out
