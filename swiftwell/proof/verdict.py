"""The verdict of a day: the checker's findings, service and latency, as one object.  No I/O."""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from typing import Any

from swiftwell.proof.rules import Event, Findings


def quantile(values: list[float], part: float) -> float:
    """The smallest value that this part of all values does not exceed; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(part * len(ordered)) - 1)]


FIRST_S = 30.0  # s after a gateway's start whose service is told apart


def starting(events: list[Event]) -> dict[str, Any]:
    """How gateways served just after their start: first answers, service of the first seconds, what went
    wrong ways.

    `correction_s`: from the list's first word to the last call that reached a worker which drains.
    """
    ready: dict[str, int] = {}
    tries: dict[str, Event] = {}
    served: dict[str, int] = {}
    told = last_wrong = 0
    reached = asked = 0
    for event in events:
        match event["ev"]:
            case "ready":
                ready.setdefault(event["gw"], event["t"])
            case "try":
                tries.setdefault(event["key"], event)
            case "answer" if event["kind"] == "served":
                served.setdefault(event["corr"].rpartition(".")[0], event["t"])
            case "turned" if event["verdict"] == "draining" and event["call"] != "ask":
                reached += 1
                last_wrong = event["t"]
            case "asked":
                asked += 1
            case "told":
                told = told or event["t"]
    start = max(ready.values(), default=0)
    first = [one for one in tries.values() if one["t"] <= start + FIRST_S * 1e6]
    in_time = sum(key in served and served[key] - one["t"] <= one["wanted"] for key, one in tries.items()
                  if one["t"] <= start + FIRST_S * 1e6)  # fmt: skip
    begun = min((one["t"] for one in tries.values()), default=0)
    return {
        "first_served_s": round((min(served.values(), default=0) - begun) / 1e6, 3) if served else None,
        "first_30s_in_time": round(in_time / max(1, len(first)), 4),
        "work_at_drained": reached,
        "questions": asked,
        "correction_s": round(max(0, last_wrong - told) / 1e6, 3) if told else None,
    }


def handovers(events: list[Event]) -> dict[str, Any]:
    """Handovers and crashes, and what clients felt: latency of tries that lived through one against the
    others, and the longest time without any answer."""
    began = 0
    tries: dict[str, int] = {}
    during: list[float] = []
    outside: list[float] = []
    answers: list[int] = []
    spans: list[tuple[int, int]] = []
    ended = crashed = unplanned = disconnected = 0
    for event in events:
        match event["ev"]:
            case "handover-begins":
                began = event["t"]
            case "handover-ends":
                spans.append((began, event["t"]))
                crashed += bool(event["crash"])
                ended += event["ok"]
                unplanned += not event["ok"] and not event["crash"]
            case "disconnected":
                disconnected += 1
    for event in events:
        match event["ev"]:
            case "try":
                tries[event["corr"]] = event["t"]
            case "answer" if event["kind"] == "served" and event["corr"] in tries:
                start = tries.pop(event["corr"])
                answers.append(event["t"])
                inside = any(a <= event["t"] and start <= b for a, b in spans)
                (during if inside else outside).append((event["t"] - start) / 1e3)
    gaps = [b - a for a, b in itertools.pairwise(answers)]
    return {
        "handovers": ended,
        "crashes": crashed,
        "handovers_failed": unplanned,
        "disconnected": disconnected,
        "pause": {
            "longest_gap_ms": round(max(gaps, default=0) / 1e3, 1),
            "p99_during_ms": round(quantile(during, 0.99), 1),
            "p99_outside_ms": round(quantile(outside, 0.99), 1),
        },
    }


def sharing(events: list[Event]) -> dict[str, Any]:
    """How gateways shared what brokers gave them, and what was stranded where one was killed.

    `spread` is the largest share of the first deliveries against an even one; `stranded` counts triggers that
    a gateway had been given, and that were not answered, when it was killed; `again` deliveries after the
    first.
    """
    given: dict[str, int] = {}
    holder: dict[str, str] = {}
    answered: set[str] = set()
    stranded = again = 0
    for event in events:
        match event["ev"]:
            case "to" if event["corr"] and not event["topic"].startswith("answers/"):
                again += event["corr"] in holder
                if event["corr"] not in holder:
                    given[event["client"]] = given.get(event["client"], 0) + 1
                holder[event["corr"]] = event["client"]
            case "answer":
                answered.add(event["corr"])
            case "killed":
                stranded += sum(gw == event["gw"] and corr not in answered for corr, gw in holder.items())
    even = sum(given.values()) / max(1, len(given))
    return {
        "spread": round(max(given.values(), default=0) / even, 3) if even else 0.0,
        "stranded": stranded,
        "again": again,
        "given": dict(sorted(given.items())),
    }


AROUND_S = 5.0  # s before and after a change of process whose calls are looked at


def warmth(events: list[Event]) -> list[dict[str, Any]]:
    """For each handover and restart: the share of calls that met a warm copy before it and after it.

    `in_time` is the share of the tries of those times that were served within their wanted time, `loads` the
    fetches from the store.
    """
    changes: list[tuple[str, int, int]] = []
    began, how = 0, ""
    warm: list[tuple[int, bool]] = []
    loads: list[int] = []
    tries: dict[str, Event] = {}
    served: dict[str, int] = {}
    for event in events:
        match event["ev"]:
            case "handover-begins":
                began = event["t"]
            case "handover-ends" if event["ok"]:
                changes.append(("handover", began, event["t"]))
            case "killed":
                began, how = event["t"], event.get("how", "kill")
            case "ready" if how:
                changes.append((how, began, event["t"]))
                how = ""
            case "fetch":
                loads.append(event["t"])
            case "ran":
                warm.append((event["t"], event["found"] == "warm"))
            case "try":
                tries[event["corr"]] = event
            case "answer" if event["kind"] == "served":
                served.setdefault(event["corr"], event["t"])

    def share(values: list[bool]) -> float | None:
        return round(sum(values) / len(values), 4) if values else None

    out = []
    for what, start, end in changes:
        row: dict[str, Any] = {"what": what}
        for name, since, until in (
            ("before", start - int(AROUND_S * 1e6), start),
            ("after", end, end + int(AROUND_S * 1e6)),
        ):
            row[f"warm_{name}"] = share([found for t, found in warm if since <= t < until])
            row[f"loads_{name}"] = sum(since <= t < until for t in loads)
            row[f"in_time_{name}"] = share(
                [
                    corr in served and served[corr] - one["t"] <= one["wanted"]
                    for corr, one in tries.items()
                    if since <= one["t"] < until
                ]
            )
        out.append(row)
    return out


def verdict(day: str, seed: int, seconds: float, events: list[Event], found: Findings) -> dict[str, Any]:
    """What `day run --json` prints.

    A call is a key with all its tries.  `worth` counts a call once: asked, and answered within its wanted
    time from its
    first try.  `latency_ms` is of served tries.
    """
    first: dict[str, Event] = {}
    tries: dict[str, Event] = {}
    served_at: dict[str, int] = {}
    last: dict[str, str] = {}
    latencies: list[float] = []
    extra = {"redelivered": found.redelivered, "excused": found.excused, "tries": found.tries}
    counts: dict[str, int] = defaultdict(int)
    for event in events:
        match event["ev"]:
            case "try":
                first.setdefault(event["key"], event)
                tries[event["corr"]] = event
            case "answer" if event["corr"] in tries:
                one = tries[event["corr"]]
                last[one["key"]] = event["kind"]
                if event["kind"] == "served" and one["key"] not in served_at:
                    served_at[one["key"]] = event["t"]
                    latencies.append((event["t"] - one["t"]) / 1e3)
            case "fetch" | "order" | "killed" | "died" | "expired" | "store-refused" | "broker-down":
                counts[event["ev"]] += 1
    asked = answered = 0.0
    by_class: dict[str, dict[str, float]] = {}
    by_tenant: dict[str, dict[str, float]] = {}
    for key, one in first.items():
        in_time = key in served_at and served_at[key] - one["t"] <= one["wanted"]
        asked += one["worth"]
        answered += one["worth"] * in_time
        for table, name in ((by_class, one["band"]), (by_tenant, one["tenant"])):
            row = table.setdefault(name, {"calls": 0, "served": 0, "in_time": 0})
            row["calls"] += 1
            row["served"] += key in served_at
            row["in_time"] += in_time
    return {
        "day": day,
        "seed": seed,
        "seconds": round(seconds, 1),
        "calls": len(first),
        "served": len(served_at),
        "refused": sum(kind == "refused" for key, kind in last.items() if key not in served_at),
        "failed": sum(kind == "failed" for key, kind in last.items() if key not in served_at),
        "late": found.late,
        "lost": found.lost,
        "doubled": found.doubled,
        "rules": dict(found.broken),
        "by_class": by_class,
        "by_tenant": by_tenant,
        "worth": {"asked": round(asked, 1), "answered_in_time": round(answered, 1)},
        "latency_ms": {
            "p50": round(quantile(latencies, 0.5), 1),
            "p99": round(quantile(latencies, 0.99), 1),
            "max": round(max(latencies, default=0.0), 1),
        },
        "answers": dict(found.kinds),
        "breaches": found.told,
        **extra,
        **{name.replace("-", "_"): count for name, count in sorted(counts.items())},
    }
