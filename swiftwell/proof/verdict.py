"""Computes the verdict of a day: the checker's findings, service and latency, as one object.  No I/O."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from typing import Any

from swiftwell.proof.rules import Event, Findings


def quantile(values: list[float], fraction: float) -> float:
    """The smallest value that at least this fraction of the values does not exceed; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


FIRST_PERIOD_S = 30.0  # period after a gateway's start whose service is reported separately


def starting(events: list[Event]) -> dict[str, Any]:
    """How gateways served just after their start: the first answer, the service of the first seconds, and
    the calls that went to draining workers.

    `correction_s` is the time from the first update of the worker list to the last call that reached a
    draining worker.
    """
    ready: dict[str, int] = {}
    tries: dict[str, Event] = {}
    served: dict[str, int] = {}
    first_update_at = last_misdirected_at = 0
    calls_to_draining = queries = 0
    for event in events:
        match event["ev"]:
            case "ready":
                ready.setdefault(event["gw"], event["t"])
            case "try":
                tries.setdefault(event["key"], event)
            case "answer" if event["kind"] == "served":
                served.setdefault(event["corr"].rpartition(".")[0], event["t"])
            case "turned" if event["verdict"] == "draining" and event["call"] != "ask":
                calls_to_draining += 1
                last_misdirected_at = event["t"]
            case "asked":
                queries += 1
            case "told":
                first_update_at = first_update_at or event["t"]
    ready_at = max(ready.values(), default=0)
    first_tries = [
        try_event for try_event in tries.values() if try_event["t"] <= ready_at + FIRST_PERIOD_S * 1e6
    ]
    in_time = sum(key in served and served[key] - try_event["t"] <= try_event["wanted"]
                  for key, try_event in tries.items()
                  if try_event["t"] <= ready_at + FIRST_PERIOD_S * 1e6)  # fmt: skip
    first_try_at = min((try_event["t"] for try_event in tries.values()), default=0)
    return {
        "first_served_s": round((min(served.values(), default=0) - first_try_at) / 1e6, 3)
        if served
        else None,
        "first_30s_in_time": round(in_time / max(1, len(first_tries)), 4),
        "work_at_drained": calls_to_draining,
        "questions": queries,
        "correction_s": round(max(0, last_misdirected_at - first_update_at) / 1e6, 3)
        if first_update_at
        else None,
    }


def handovers(events: list[Event]) -> dict[str, Any]:
    """Handovers and crashes, and their effect on clients: the latency of tries that overlapped a handover
    and of the others, and the longest time without any answer."""
    began = 0
    tries: dict[str, int] = {}
    during: list[float] = []
    outside: list[float] = []
    answers: list[int] = []
    handover_periods: list[tuple[int, int]] = []
    completed = crashed = failed = disconnected = 0
    for event in events:
        match event["ev"]:
            case "handover-begins":
                began = event["t"]
            case "handover-ends":
                handover_periods.append((began, event["t"]))
                crashed += bool(event["crash"])
                completed += event["ok"]
                failed += not event["ok"] and not event["crash"]
            case "disconnected":
                disconnected += 1
    for event in events:
        match event["ev"]:
            case "try":
                tries[event["corr"]] = event["t"]
            case "answer" if event["kind"] == "served" and event["corr"] in tries:
                start = tries.pop(event["corr"])
                answers.append(event["t"])
                overlaps = any(begin <= event["t"] and start <= end for begin, end in handover_periods)
                (during if overlaps else outside).append((event["t"] - start) / 1e3)
    gaps = [end - begin for begin, end in itertools.pairwise(answers)]
    return {
        "handovers": completed,
        "crashes": crashed,
        "handovers_failed": failed,
        "disconnected": disconnected,
        "pause": {
            "longest_gap_ms": round(max(gaps, default=0) / 1e3, 1),
            "p99_during_ms": round(quantile(during, 0.99), 1),
            "p99_outside_ms": round(quantile(outside, 0.99), 1),
        },
    }


def sharing(events: list[Event]) -> dict[str, Any]:
    """How the brokers' deliveries were distributed over the gateways, and what was stranded at killed ones.

    `spread` is the largest gateway's number of first deliveries divided by the mean; `stranded` counts
    triggers that had been delivered to a gateway but not answered when it was killed; `again` counts
    deliveries after the first.
    """
    first_deliveries: dict[str, int] = {}
    gateway_by_try: dict[str, str] = {}
    answered: set[str] = set()
    stranded = redelivered = 0
    for event in events:
        match event["ev"]:
            case "to" if event["corr"] and not event["topic"].startswith("answers/"):
                redelivered += event["corr"] in gateway_by_try
                if event["corr"] not in gateway_by_try:
                    first_deliveries[event["client"]] = first_deliveries.get(event["client"], 0) + 1
                gateway_by_try[event["corr"]] = event["client"]
            case "answer":
                answered.add(event["corr"])
            case "killed":
                stranded += sum(
                    gateway == event["gw"] and corr not in answered
                    for corr, gateway in gateway_by_try.items()
                )
    mean = sum(first_deliveries.values()) / max(1, len(first_deliveries))
    return {
        "spread": round(max(first_deliveries.values(), default=0) / mean, 3) if mean else 0.0,
        "stranded": stranded,
        "again": redelivered,
        "given": dict(sorted(first_deliveries.items())),
    }


COMPARED_PERIOD_S = 5.0  # period before and after a handover or restart whose calls are counted


def warmth(events: list[Event]) -> list[dict[str, Any]]:
    """For each handover and restart: the share of calls that ran on a warm copy before and after it.

    `in_time` is the share of the tries of those periods that were served within their wanted time; `loads`
    counts the fetches from the model store.
    """
    changes: list[tuple[str, int, int]] = []
    began, cause = 0, ""
    warm_runs: list[tuple[int, bool]] = []
    load_times: list[int] = []
    tries: dict[str, Event] = {}
    served: dict[str, int] = {}
    for event in events:
        match event["ev"]:
            case "handover-begins":
                began = event["t"]
            case "handover-ends" if event["ok"]:
                changes.append(("handover", began, event["t"]))
            case "killed":
                began, cause = event["t"], event.get("how", "kill")
            case "ready" if cause:
                changes.append((cause, began, event["t"]))
                cause = ""
            case "fetch":
                load_times.append(event["t"])
            case "ran":
                warm_runs.append((event["t"], event["found"] == "warm"))
            case "try":
                tries[event["corr"]] = event
            case "answer" if event["kind"] == "served":
                served.setdefault(event["corr"], event["t"])

    def share(values: list[bool]) -> float | None:
        return round(sum(values) / len(values), 4) if values else None

    rows = []
    for kind, start, end in changes:
        row: dict[str, Any] = {"what": kind}
        for name, period_start, period_end in (
            ("before", start - int(COMPARED_PERIOD_S * 1e6), start),
            ("after", end, end + int(COMPARED_PERIOD_S * 1e6)),
        ):
            row[f"warm_{name}"] = share(
                [is_warm for t, is_warm in warm_runs if period_start <= t < period_end]
            )
            row[f"loads_{name}"] = sum(period_start <= t < period_end for t in load_times)
            row[f"in_time_{name}"] = share(
                [
                    corr in served and served[corr] - try_event["t"] <= try_event["wanted"]
                    for corr, try_event in tries.items()
                    if period_start <= try_event["t"] < period_end
                ]
            )
        rows.append(row)
    return rows


def verdict(day: str, seed: int, seconds: float, events: list[Event], findings: Findings) -> dict[str, Any]:
    """The verdict that `day run --json` prints.

    A call is a key with all its tries.  `worth` counts each call once: as asked, and as answered if an
    answer came within the wanted time after its first try.  `latency_ms` covers the served tries.
    """
    first_tries: dict[str, Event] = {}
    tries: dict[str, Event] = {}
    served_at: dict[str, int] = {}
    last_answer: dict[str, str] = {}
    latencies: list[float] = []
    extra = {"redelivered": findings.redelivered, "excused": findings.excused, "tries": findings.tries}
    counts: dict[str, int] = defaultdict(int)
    for event in events:
        match event["ev"]:
            case "try":
                first_tries.setdefault(event["key"], event)
                tries[event["corr"]] = event
            case "answer" if event["corr"] in tries:
                try_event = tries[event["corr"]]
                last_answer[try_event["key"]] = event["kind"]
                if event["kind"] == "served" and try_event["key"] not in served_at:
                    served_at[try_event["key"]] = event["t"]
                    latencies.append((event["t"] - try_event["t"]) / 1e3)
            case "fetch" | "order" | "killed" | "died" | "expired" | "store-refused" | "broker-down":
                counts[event["ev"]] += 1
    asked = answered = 0.0
    by_class: dict[str, dict[str, float]] = {}
    by_tenant: dict[str, dict[str, float]] = {}
    for key, try_event in first_tries.items():
        in_time = key in served_at and served_at[key] - try_event["t"] <= try_event["wanted"]
        asked += try_event["worth"]
        answered += try_event["worth"] * in_time
        for table, name in ((by_class, try_event["band"]), (by_tenant, try_event["tenant"])):
            row = table.setdefault(name, {"calls": 0, "served": 0, "in_time": 0})
            row["calls"] += 1
            row["served"] += key in served_at
            row["in_time"] += in_time
    return {
        "day": day,
        "seed": seed,
        "seconds": round(seconds, 1),
        "calls": len(first_tries),
        "served": len(served_at),
        "refused": sum(kind == "refused" for key, kind in last_answer.items() if key not in served_at),
        "failed": sum(kind == "failed" for key, kind in last_answer.items() if key not in served_at),
        "late": findings.late,
        "lost": findings.lost,
        "doubled": findings.doubled,
        "rules": dict(findings.broken),
        "by_class": by_class,
        "by_tenant": by_tenant,
        "worth": {"asked": round(asked, 1), "answered_in_time": round(answered, 1)},
        "latency_ms": {
            "p50": round(quantile(latencies, 0.5), 1),
            "p99": round(quantile(latencies, 0.99), 1),
            "max": round(max(latencies, default=0.0), 1),
        },
        "answers": dict(findings.kinds),
        "breaches": findings.breaches,
        **extra,
        **{name.replace("-", "_"): count for name, count in sorted(counts.items())},
    }
