"""A start of many gateways, second by second: what list and workers saw, and what clients got.  No I/O.

Only from traces of stand-ins and of the runner, like the checker.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from swiftwell.proof.rules import Event
from swiftwell.proof.verdict import quantile

SECOND = 1_000_000
TENTH = 100_000
SMOOTH = 3  # seconds that a rate is averaged over
LEVEL = 0.95  # of the service before: reached again
DROP = 0.1  # of what had been reached: falling by it again is a second collapse


def most_within(times: list[int], span: int) -> int:
    """The most that fell into any span."""
    most = first = 0
    for number, at in enumerate(times):
        while times[first] <= at - span:
            first += 1
        most = max(most, number + 1 - first)
    return most


def account(events: list[Event]) -> dict[str, Any]:
    """The figures of a day in which gateways were killed together and started again."""
    kills = [event["t"] for event in events if event["ev"] == "killed"]
    began = min((event["t"] for event in events if event["ev"] == "try"), default=0)
    down = min(kills, default=began)
    up = max((event["t"] for event in events if event["ev"] == "ready"), default=down)
    out = {"down_s": round((down - began) / SECOND, 2), "starting_s": round((up - down) / SECOND, 2)}
    out |= {"list": _list(events, down), "workers": _workers(events, down), "start": _starts(events, down)}
    out["store"] = _store(events, down)
    return out | {"service": _service(events, began, down, up)}


def _list(events: list[Event], down: int) -> dict[str, int]:
    asked = [event for event in events if event["ev"] == "list-asked" and event["t"] >= down]
    return {
        "asked": len(asked),
        "by": len({event["gw"] for event in asked}),
        "most_in_a_second": most_within([event["t"] for event in asked], SECOND),
    }


def _store(events: list[Event], down: int) -> dict[str, int]:
    """What the model store was asked for, and what it refused, since the kill."""
    fetches = [event["t"] for event in events if event["ev"] == "fetch" and event["t"] >= down]
    refused = sum(event["ev"] == "store-refused" and event["t"] >= down for event in events)
    return {"fetches": len(fetches), "most_in_a_second": most_within(fetches, SECOND), "refused": refused}


def _workers(events: list[Event], down: int) -> dict[str, Any]:
    """Connections, cold offers and orders at workers, since the kill."""
    started: dict[str, int] = {}
    cold: dict[str, list[int]] = defaultdict(list)
    orders: dict[str, list[int]] = defaultdict(list)
    copies: dict[str, int] = {}  # function: when a call of it first ran
    functions: dict[str, str] = {}
    most = open_ = falls = 0
    fresh: set[str] = set()
    for event in events:
        match event["ev"]:
            case "connection":
                most = max(most, event["open"])
                open_ += event["t"] >= down
            case "died":
                fresh.add(event["worker"])
            case "started":
                started[event["worker"]] = event["t"]
            case "fell":
                falls += 1
            case "recv":
                functions[event["call"]] = event["function"]
                if event["worker"] in started and event["t"] - started[event["worker"]] < 8 * SECOND:
                    cold[event["worker"]].append(event["t"])
            case "order" if event["t"] >= down:
                orders[event["function"]].append(event["t"])
            case "ran" if event["t"] >= down:
                copies.setdefault(functions.get(event["call"], ""), event["t"])
    before = [sum(at <= copies.get(name, at) for at in times) for name, times in orders.items()]
    return {
        "most_connections": most,
        "connections": open_,
        "most_cold_offers_in_100_ms": max((most_within(times, TENTH) for times in cold.values()), default=0),
        "most_cold_offers_in_a_second": max(
            (most_within(times, SECOND) for times in cold.values()), default=0
        ),
        "falls": falls,
        "orders": sum(map(len, orders.values())),
        "most_orders_until_a_copy": max(before, default=0),
        "orders_until_a_copy_p90": quantile([float(one) for one in before], 0.9),
    }


def _starts(events: list[Event], down: int) -> dict[str, float]:
    """Processor time of each start, from the runner."""
    spent = [event["cpu_s"] for event in events if event["ev"] == "ready" and event["t"] > down]
    return {
        "cpu_s_p50": round(quantile(spent, 0.5), 3),
        "cpu_s_max": round(max(spent, default=0.0), 3),
        "starts": len(spent),
    }


def _service(events: list[Event], began: int, down: int, up: int) -> dict[str, Any]:
    """Of the calls that began in each second: how many were answered in their wanted time."""
    tries: dict[str, Event] = {}
    served: dict[str, int] = {}
    for event in events:
        match event["ev"]:
            case "try":
                tries.setdefault(event["key"], event)
            case "answer" if event["kind"] == "served":
                served.setdefault(event["corr"].rpartition(".")[0], event["t"])
    calls: Counter[int] = Counter()
    good: Counter[int] = Counter()
    request_classes: dict[str, list[int]] = defaultdict(lambda: [0, 0])
    for key, one in tries.items():
        second = (one["t"] - began) // SECOND
        in_time = key in served and served[key] - one["t"] <= one["wanted"]
        calls[second] += 1
        good[second] += in_time
        if 0 <= one["t"] - up < 30 * SECOND:
            request_classes[one["band"]][0] += 1
            request_classes[one["band"]][1] += in_time
    last = max(calls, default=0)
    rate = []
    for second in range(last + 1):
        span = range(max(0, second - SMOOTH + 1), second + 1)
        rate.append(sum(good[s] for s in span) / max(1, sum(calls[s] for s in span)))
    before = (down - began) // SECOND
    level = rate[before - 1] if 0 < before <= len(rate) else 1.0
    ready = (up - began) // SECOND
    reached = next((s for s in range(ready, len(rate)) if rate[s] >= LEVEL * level), None)
    best = fallen = 0.0
    for s in range(ready, len(rate)):
        best = max(best, rate[s])
        fallen = max(fallen, best - rate[s])
    first = min((at for at in served.values() if at > up), default=0)
    return {
        "before": round(level, 3),
        "level_again_s": reached - ready if reached is not None else None,
        "first_served_s": round((first - up) / SECOND, 3) if first else None,
        "fell_again_by": round(fallen, 3),
        "second_collapse": fallen > DROP,
        "by_class_30_s": {
            request_class: round(got / max(1, asked), 3)
            for request_class, (asked, got) in request_classes.items()
        },
        "by_second": [round(one, 2) for one in rate],
    }
