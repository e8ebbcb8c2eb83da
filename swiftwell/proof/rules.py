"""The checker of the five rules, from what stand-ins saw on their sockets and from nothing else.  No I/O.

It never reads the gateway's own books.  What the day itself did (a gateway killed, a broker restarted)
comes from the
runner's trace; a try whose life such an event falls into is excused from rule 1, as a gateway owes nothing
for
what it held when it was killed.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

Event = dict[str, Any]
RULES = ("answered_once", "effects_once", "drains", "cold", "loads")
MOST_TOLD = 20  # breaches told in words for each rule
READING_US = 100_000  # us: a call taken may be seen so much later at a worker than at its publisher


@dataclass(frozen=True, slots=True)
class Limits:
    """What the rules' figures are on this day; 0 for `load_window_us` is no limit."""

    grace_us: int = 500_000
    load_free: float = 0.0
    load_share: float = 0.0
    load_window_us: int = 0
    effects: dict[str, str] = field(default_factory=dict)  # class: safe, keyed or unsafe
    passed_on_us: int = 0  # after which what one gateway was told counts as told to all; 0 is never


@dataclass(slots=True)
class Findings:
    """What the checker found."""

    broken: dict[str, int] = field(default_factory=lambda: dict.fromkeys(RULES, 0))
    told: list[str] = field(default_factory=list)
    tries: int = 0
    excused: int = 0
    late: int = 0
    lost: int = 0
    doubled: int = 0
    redelivered: int = 0
    kinds: dict[str, int] = field(default_factory=lambda: {"served": 0, "refused": 0, "failed": 0})

    def breach(self, rule: str, text: str) -> None:
        """Note one breach."""
        self.broken[rule] += 1
        if self.broken[rule] <= MOST_TOLD:
            self.told.append(f"{rule}: {text}")


@dataclass(slots=True)
class _Spans:
    """Times during which something was away, by name."""

    spans: dict[str, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))
    open: dict[str, int] = field(default_factory=dict)

    def down(self, name: str, t: int) -> None:
        self.open.setdefault(name, t)

    def up(self, name: str, t: int) -> None:
        if name in self.open:
            self.spans[name].append((self.open.pop(name), t))

    def touched(self, name: str, since: int, until: int) -> bool:
        ended = any(a <= until and b >= since for a, b in self.spans.get(name, ()))
        return ended or (name in self.open and self.open[name] <= until)


def check(events: list[Event], limits: Limits) -> Findings:
    """Judge a day's events, in the order of time."""
    found = Findings()
    _answered(events, limits, found)
    _effects(events, limits, found)
    _drains(events, limits, found)
    for event in events:
        if event["ev"] == "fell":
            found.breach("cold", f"{event['worker']} was pushed over at {event['t']}")
    _loads(events, limits, found)
    return found


def _ports(events: list[Event]) -> dict[str, str]:
    """Gateways by the port they listen on: a client that connects to one has its home there."""
    return {str(event["port"]): event["gw"] for event in events if event["ev"] == "ready"}


def _answered(events: list[Event], limits: Limits, found: Findings) -> None:
    """Rule 1: every try that a running gateway was given has one answer before its time is up."""
    away = _Spans()
    tries: dict[str, Event] = {}
    answers: dict[str, list[Event]] = defaultdict(list)
    left: set[str] = set()
    deliveries: dict[str, int] = defaultdict(int)
    first: dict[str, int] = {}  # try: when a broker first gave it to a gateway
    ports = _ports(events)
    homes: dict[str, str] = {}  # client: the gateway that it is connected to, "" for a broker
    direct: set[str] = set()
    given: dict[str, set[str]] = defaultdict(set)  # try: the gateways that got it
    for event in events:
        match event["ev"]:
            case "try":
                tries[event["corr"]] = event
                if home := homes.get(event["client"], ""):
                    given[event["corr"]].add(home)
                    direct.add(event["corr"])
            case "answer":
                answers[event["corr"]].append(event)
            case "left":
                left.add(event["corr"])
            case "to" if event["corr"] and not event["topic"].startswith("answers/"):
                deliveries[event["corr"]] += 1
                given[event["corr"]].add(event["client"])
                first.setdefault(event["corr"], event["t"])
            case "killed" | "stopped":
                away.down(f"gw {event['gw']}", event["t"])
            case "ready" | "woken":
                away.up(f"gw {event['gw']}", event["t"])
            case "broker-down":
                away.down("broker", event["t"])
            case "broker-up":
                away.up("broker", event["t"])
            case "fault" if event["worker"] == "broker" and event["fault"] in ("stall", "alarm"):
                away.spans["broker"].append((event["t"], event["t"] + int((event["for_s"] + 1) * 1e6)))
            case "disconnected":
                away.down(event["client"], event["t"])
            case "connecting":
                # What is published meanwhile waits there, in a kernel's buffer where the gateway stands
                # still: held against the gateway before, it broke the rule of one that never saw it.
                homes[event["client"]] = ports.get(event["to"].rpartition(":")[2], "")
            case "connected":
                away.up(event["client"], event["t"])
                homes[event["client"]] = ports.get(event["to"].rpartition(":")[2], "")
    for corr, one in tries.items():
        found.tries += 1
        got = answers.get(corr, [])
        for answer in got[:1]:
            found.kinds[answer["kind"]] = found.kinds.get(answer["kind"], 0) + 1
        found.redelivered += max(0, deliveries[corr] - 1)
        until = one["until"]
        # A gateway that drops its client's connection is not excused by it; one that was killed is, and so
        # is what a broker did.  What a broker gave to no gateway in time, none has taken.
        names = [f"gw {name}" for name in given[corr]]
        if corr not in direct:
            names += [one["client"], "broker"]
        in_time = corr in direct or first.get(corr, until) < until - READING_US
        if corr in left or not in_time or any(away.touched(name, one["t"], until) for name in names):
            found.excused += 1
            continue
        late = [answer for answer in got if answer["t"] > until]
        found.late += len(late)
        if not got:
            found.lost += 1
            found.breach("answered_once", f"{corr} ({one['band']}) had no answer")
        elif late and len(late) == len(got):
            found.lost += 1
            over = (late[0]["t"] - until) / 1e3
            found.breach("answered_once", f"{corr} ({one['band']}) was answered {over:.0f} ms late")
        # An answer that a broker delivers again is marked; a trigger that it delivers again is taken again.
        elif sum(not answer["dup"] for answer in got) > max(1, deliveries[corr]):
            found.lost += 1
            found.breach("answered_once", f"{corr} ({one['band']}) had {len(got)} answers")


def _effects(events: list[Event], limits: Limits, found: Findings) -> None:
    """Rule 2: no effect twice, counted where it runs; no refusal of what had been given to a worker and
    ran."""
    ran: dict[str, list[Event]] = defaultdict(list)
    came: dict[str, int] = {}  # attempt: when a worker got it
    keys: dict[str, tuple[str, str]] = {}
    refused: list[Event] = []
    for event in events:
        match event["ev"]:
            case "recv":
                came[event["call"]] = event["t"]
            case "ran" if limits.effects.get(event["band"], "safe") != "safe":
                ran[event["key"]].append(event)
            case "try":
                keys[event["corr"]] = (event["key"], event["band"])
            case "answer" if event["kind"] == "refused" and not event["dup"]:
                # A copy that a broker delivers later says nothing of now: a retry may have run meanwhile.
                refused.append(event)
    for key, runs in ran.items():
        if len(runs) > 1:
            found.doubled += len(runs) - 1
            where = ", ".join(f"{run['worker']} as {run['call']}" for run in runs)
            found.breach("effects_once", f"{key} ran {len(runs)} times: {where}")
    for answer in refused:
        key, request_class = keys.get(answer["corr"], ("", "safe"))
        if limits.effects.get(request_class, "safe") == "safe":
            continue
        before = [run for run in ran.get(key, ()) if came.get(run["call"], run["t"]) <= answer["t"]]
        if before and answer["reason"] != "key-reused":
            found.breach("effects_once", f"{answer['corr']} was refused and ran as {before[0]['call']}")


def _drains(events: list[Event], limits: Limits, found: Findings) -> None:
    """Rule 3: nothing new to a worker later than the grace after its gateway learned that it drains or is
    gone."""
    since: dict[tuple[str, str], int] = {}
    up: set[str] = set()
    for event in events:
        match event["ev"]:
            case "told" if event["state"] == "running":
                since.pop((event["gw"], event["worker"]), None)
                if limits.passed_on_us:
                    for gateway in up:
                        since.pop((gateway, event["worker"]), None)
            case "told":
                since.setdefault((event["gw"], event["worker"]), event["t"])
                if limits.passed_on_us:  # the others hear it from the one that was told
                    for gateway in up:
                        since.setdefault((gateway, event["worker"]), event["t"] + limits.passed_on_us)
            case "killed":
                up.discard(event["gw"])
            case "woken":  # it could learn nothing meanwhile
                for pair in [pair for pair in since if pair[0] == event["gw"]]:
                    since[pair] = max(since[pair], event["t"] + limits.passed_on_us)
            case "turned" if event["verdict"] == "draining":
                since.setdefault((event["gw"], event["worker"]), event["t"])
            case "started":
                # A new process at the address: what the gateway knew was of the old one.
                for pair in [pair for pair in since if pair[1] == event["worker"]]:
                    del since[pair]
            case "ready":  # a gateway that was killed has forgotten
                up.add(event["gw"])
                for pair in [pair for pair in since if pair[0] == event["gw"]]:
                    del since[pair]
            case "recv" | "order":
                learnt = since.get((event["gw"], event["worker"]))
                if learnt is not None and event["t"] > learnt + limits.grace_us:
                    late = (event["t"] - learnt) / 1e3
                    what = "a call" if event["ev"] == "recv" else "an order"
                    found.breach("drains", f"{event['gw']} sent {event['worker']} {what} {late:.0f} ms after")


def _loads(events: list[Event], limits: Limits, found: Findings) -> None:
    """Rule 5: orders of the last window, each counted, against the calls taken in it."""
    if not limits.load_window_us:
        return
    orders: dict[str, list[int]] = defaultdict(list)
    calls: dict[str, list[int]] = defaultdict(list)
    ports, homes = _ports(events), {}
    for event in events:
        match event["ev"]:
            case "order":
                orders[event["gw"]].append(event["t"])
            case "connected":
                homes[event["client"]] = ports.get(event["to"].rpartition(":")[2], "")
            case "try" if homes.get(event["client"]):
                calls[homes[event["client"]]].append(event["t"])
            case "to" if not event["topic"].startswith("answers/"):
                calls[event["client"]].append(event["t"])
    for gateway, times in orders.items():
        taken = calls[gateway]
        for number, at in enumerate(times):
            since = at - limits.load_window_us
            count = number + 1 - bisect.bisect_right(times, since)
            from_ = bisect.bisect_left(taken, since - READING_US)
            allowed = limits.load_free + limits.load_share * (bisect.bisect_right(taken, at) - from_)
            if count > allowed:
                found.breach("loads", f"{gateway}: {count} orders within the window, {allowed:.1f} allowed")
