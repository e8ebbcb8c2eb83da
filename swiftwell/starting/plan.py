"""Load of a simultaneous start of many gateways on the list service and the workers, by their settings.

No I/O.  The figures are bounds, not means: each is what all gateways together may do at most while they hear
each other.  The measured days are in docs/performance.md.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from swiftwell.fleet.lease import choose_voters
from swiftwell.fleet.replicated_log import FANOUT
from swiftwell.fleet.shares import RESERVED_PPM, TOTAL_PPM
from swiftwell.settings.site import Site
from swiftwell.starting.copies import MAX_ATTEMPTS, REPLY_TIMEOUT_US
from swiftwell.starting.list_reader import ISOLATED_US, LEARN_US, SILENT_PERIODS

START_CPU_S = 0.5  # s of processor time of one start (docs/performance.md)
LIST_SPREAD_S = 1.0  # s until the first answer has reached a whole zone: five gossip rounds, with losses


@dataclass(frozen=True, slots=True)
class Plan:
    """Figures of one start; times in s.  The field names are the keys of the JSON output."""

    gateways: int
    zones: int
    together: bool  # the gateways form a fleet
    list_most_in_a_second: float  # queries to the list service, at most
    list_in_all: float  # queries until all gateways have the list
    list_by_all_after_s: float  # until all have the list, from the last start, with a service that answers
    silent_term_s: float  # from the start; no lease is granted before
    reader_gone_s: float  # until another gateway takes over from a silent reader
    datagrams_a_second: float  # of one gateway, when idle
    connections_to_a_worker: int
    cold_part: float  # one gateway's share of the budget of a starting worker while nothing is lent
    cold_sum: float  # sum of these shares over all gateways
    orders_for_a_copy: int
    order_late_s: float  # by which a load order may be delayed
    start_cpu_s: float  # of all starts together
    starting_s: float  # until all starts are done


def plan(site: Site, gateways: int, cores: float, cpu_s: float = START_CPU_S) -> Plan:
    """Plan the simultaneous start of `gateways` with these settings on machines of `cores` in total."""
    fleet, workers = site.fleet, site.workers
    zones = Counter(member.zone for member in fleet.member) if fleet else Counter({"": gateways})
    reader = bool(fleet and fleet.one_reader and workers.list)
    starting = gateways * cpu_s / max(0.1, cores)
    if fleet and reader:
        zone_rate = fleet.list_rate / len(zones)
        max_per_second = math.ceil(fleet.list_rate) + 2 * len(zones)  # plus a reader's first two queries
        total = len(zones) * (2 + math.ceil(LIST_SPREAD_S * zone_rate))
        complete_after_s = LEARN_US / 1e6 + LIST_SPREAD_S
    else:
        queries = gateways if workers.list else 0
        max_per_second, total, complete_after_s = queries, queries, 0.0
    budget = bool(fleet and "cold" in fleet.budgets)
    share = RESERVED_PPM / gateways / TOTAL_PPM if budget else 1 / gateways
    period = fleet.period_ms / 1e3 if fleet else 0.0
    return Plan(
        gateways=gateways,
        zones=len(zones),
        together=fleet is not None,
        list_most_in_a_second=float(max_per_second),
        list_in_all=float(total),
        list_by_all_after_s=round(complete_after_s, 2),
        silent_term_s=fleet.term_ms / 1e3 if fleet else 0.0,
        reader_gone_s=round(SILENT_PERIODS * period + len(zones) / fleet.list_rate, 2)
        if fleet and reader
        else 0.0,
        datagrams_a_second=round((4 + (FANOUT if reader else 0) + 1) / period, 1) if period else 0.0,
        connections_to_a_worker=gateways * workers.connections,
        cold_part=share,
        cold_sum=round(share * gateways, 3),
        orders_for_a_copy=1 if fleet and fleet.one_order else gateways,
        order_late_s=MAX_ATTEMPTS * REPLY_TIMEOUT_US / 1e6 if fleet and fleet.one_order else 0.0,
        start_cpu_s=round(gateways * cpu_s, 1),
        starting_s=round(starting, 1),
    )


def lines(start: Plan, site: Site) -> list[str]:
    """Format a plan for a terminal."""
    fleet = site.fleet
    mode = "a fleet" if start.together else "independent of each other"
    result = [
        f"{start.gateways} gateways in {start.zones} zone(s), {mode}",
        f"list service: at most {start.list_most_in_a_second:g} queries in a second, "
        f"{start.list_in_all:g} until all have the list, "
        f"{start.list_by_all_after_s:g} s after the last start",
        f"a starting worker: {start.cold_part:.2%} of its budget for one gateway, "
        f"{start.cold_sum:.0%} for all",
        f"a worker: at most {start.connections_to_a_worker} connections",
        f"a function's first copy: at most {start.orders_for_a_copy} load order(s), delayed by up to "
        f"{start.order_late_s:g} s",
        f"processor time of the starts: {start.start_cpu_s:g} s, done after {start.starting_s:g} s",
    ]
    if fleet:
        names = [member.name for member in fleet.member]
        voters = ", ".join(choose_voters(names, "share/cold", fleet.voters))
        result.append(
            f"no lease for the first {start.silent_term_s:g} s; a silent reader is replaced within "
            f"{start.reader_gone_s:g} s; {start.datagrams_a_second:g} datagrams a second from each gateway"
        )
        result.append(
            f"voters of the budget for starting workers: {voters}: start one of them first, stop it last"
        )
        result.append(
            f"a gateway that hears no other for {ISOLATED_US / 1e6:g} s queries the list as without a fleet"
        )
    return result
