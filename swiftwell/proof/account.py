"""Reports on a common restart of many gateways: load on the worker list, workers and store, and service.

Like the checker, it uses only the traces of the stand-ins and of the runner.  No I/O.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from swiftwell.proof.rules import Event
from swiftwell.proof.verdict import quantile

SECOND_US = 1_000_000
TENTH_US = 100_000
SMOOTHING_S = 3  # period over which the service rate is averaged
RECOVERED_FRACTION = 0.95  # fraction of the service rate before the kill at which service counts as recovered
COLLAPSE_DROP = 0.1  # a later fall of the service rate by more than this counts as a second collapse


def max_within(times: list[int], span_us: int) -> int:
    """The highest number of events within any period of `span_us` microseconds; `times` are in order."""
    highest = first = 0
    for number, at in enumerate(times):
        while times[first] <= at - span_us:
            first += 1
        highest = max(highest, number + 1 - first)
    return highest


def account(events: list[Event]) -> dict[str, Any]:
    """The figures of a day on which gateways were killed together and started again."""
    killed_at = [event["t"] for event in events if event["ev"] == "killed"]
    began_at = min((event["t"] for event in events if event["ev"] == "try"), default=0)
    down_at = min(killed_at, default=began_at)
    up_at = max((event["t"] for event in events if event["ev"] == "ready"), default=down_at)
    result = {
        "down_s": round((down_at - began_at) / SECOND_US, 2),
        "starting_s": round((up_at - down_at) / SECOND_US, 2),
    }
    result |= {
        "list": _list_queries(events, down_at),
        "workers": _worker_load(events, down_at),
        "start": _start_cpu(events, down_at),
    }
    result["store"] = _store_fetches(events, down_at)
    return result | {"service": _service(events, began_at, down_at, up_at)}


def _list_queries(events: list[Event], down_at: int) -> dict[str, int]:
    queries = [event for event in events if event["ev"] == "list-asked" and event["t"] >= down_at]
    return {
        "asked": len(queries),
        "by": len({event["gw"] for event in queries}),
        "most_in_a_second": max_within([event["t"] for event in queries], SECOND_US),
    }


def _store_fetches(events: list[Event], down_at: int) -> dict[str, int]:
    """Fetches from the model store, and those that it refused, since the kill."""
    fetches = [event["t"] for event in events if event["ev"] == "fetch" and event["t"] >= down_at]
    refusals = sum(event["ev"] == "store-refused" and event["t"] >= down_at for event in events)
    return {"fetches": len(fetches), "most_in_a_second": max_within(fetches, SECOND_US), "refused": refusals}


def _worker_load(events: list[Event], down_at: int) -> dict[str, Any]:
    """Connections, calls to cold workers and load orders, since the kill."""
    started: dict[str, int] = {}
    cold_calls: dict[str, list[int]] = defaultdict(list)
    order_times: dict[str, list[int]] = defaultdict(list)
    first_run_at: dict[str, int] = {}  # function: when a call of it first ran
    function_by_attempt: dict[str, str] = {}
    highest_open = connections = falls = 0
    fresh: set[str] = set()
    for event in events:
        match event["ev"]:
            case "connection":
                highest_open = max(highest_open, event["open"])
                connections += event["t"] >= down_at
            case "died":
                fresh.add(event["worker"])
            case "started":
                started[event["worker"]] = event["t"]
            case "fell":
                falls += 1
            case "recv":
                function_by_attempt[event["call"]] = event["function"]
                if event["worker"] in started and event["t"] - started[event["worker"]] < 8 * SECOND_US:
                    cold_calls[event["worker"]].append(event["t"])
            case "order" if event["t"] >= down_at:
                order_times[event["function"]].append(event["t"])
            case "ran" if event["t"] >= down_at:
                first_run_at.setdefault(function_by_attempt.get(event["call"], ""), event["t"])
    orders_before_copy = [
        sum(at <= first_run_at.get(name, at) for at in times) for name, times in order_times.items()
    ]
    return {
        "most_connections": highest_open,
        "connections": connections,
        "most_cold_offers_in_100_ms": max(
            (max_within(times, TENTH_US) for times in cold_calls.values()), default=0
        ),
        "most_cold_offers_in_a_second": max(
            (max_within(times, SECOND_US) for times in cold_calls.values()), default=0
        ),
        "falls": falls,
        "orders": sum(map(len, order_times.values())),
        "most_orders_until_a_copy": max(orders_before_copy, default=0),
        "orders_until_a_copy_p90": quantile([float(count) for count in orders_before_copy], 0.9),
    }


def _start_cpu(events: list[Event], down_at: int) -> dict[str, float]:
    """CPU time of the gateways' starts, as measured by the runner."""
    cpu_times = [event["cpu_s"] for event in events if event["ev"] == "ready" and event["t"] > down_at]
    return {
        "cpu_s_p50": round(quantile(cpu_times, 0.5), 3),
        "cpu_s_max": round(max(cpu_times, default=0.0), 3),
        "starts": len(cpu_times),
    }


def _service(events: list[Event], began_at: int, down_at: int, up_at: int) -> dict[str, Any]:
    """Of the calls that began in each second: the fraction answered within their wanted time."""
    tries: dict[str, Event] = {}
    served: dict[str, int] = {}
    for event in events:
        match event["ev"]:
            case "try":
                tries.setdefault(event["key"], event)
            case "answer" if event["kind"] == "served":
                served.setdefault(event["corr"].rpartition(".")[0], event["t"])
    calls_by_second: Counter[int] = Counter()
    in_time_by_second: Counter[int] = Counter()
    counts_by_class: dict[str, list[int]] = defaultdict(lambda: [0, 0])
    for key, try_event in tries.items():
        second = (try_event["t"] - began_at) // SECOND_US
        in_time = key in served and served[key] - try_event["t"] <= try_event["wanted"]
        calls_by_second[second] += 1
        in_time_by_second[second] += in_time
        if 0 <= try_event["t"] - up_at < 30 * SECOND_US:
            counts_by_class[try_event["band"]][0] += 1
            counts_by_class[try_event["band"]][1] += in_time
    last_second = max(calls_by_second, default=0)
    rates = []
    for second in range(last_second + 1):
        span = range(max(0, second - SMOOTHING_S + 1), second + 1)
        rates.append(sum(in_time_by_second[s] for s in span) / max(1, sum(calls_by_second[s] for s in span)))
    down_second = (down_at - began_at) // SECOND_US
    rate_before = rates[down_second - 1] if 0 < down_second <= len(rates) else 1.0
    up_second = (up_at - began_at) // SECOND_US
    recovered_second = next(
        (s for s in range(up_second, len(rates)) if rates[s] >= RECOVERED_FRACTION * rate_before), None
    )
    highest = largest_drop = 0.0
    for s in range(up_second, len(rates)):
        highest = max(highest, rates[s])
        largest_drop = max(largest_drop, highest - rates[s])
    first_served_at = min((at for at in served.values() if at > up_at), default=0)
    return {
        "before": round(rate_before, 3),
        "level_again_s": recovered_second - up_second if recovered_second is not None else None,
        "first_served_s": round((first_served_at - up_at) / SECOND_US, 3) if first_served_at else None,
        "fell_again_by": round(largest_drop, 3),
        "second_collapse": largest_drop > COLLAPSE_DROP,
        "by_class_30_s": {
            request_class: round(in_time / max(1, calls), 3)
            for request_class, (calls, in_time) in counts_by_class.items()
        },
        "by_second": [round(rate, 2) for rate in rates],
    }
