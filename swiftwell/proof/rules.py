"""Checks the five rules against the traces of the stand-ins.  No I/O.

The checker never reads the gateway's own state: it judges only what the stand-ins saw on their sockets.
What the day itself did (a gateway killed, a broker restarted) comes from the runner's trace.  A try during
which such an event happened is excused from rule 1, because a gateway owes no answer to the calls that it
held when it was killed.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

Event = dict[str, Any]
RULES = ("answered_once", "effects_once", "drains", "cold", "loads")
MAX_REPORTED_BREACHES = 20  # breaches described in text for each rule
MAX_OBSERVATION_LAG_US = 100_000  # a worker may see a call this much later than its publisher does


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits that the rules apply on a day.  A `load_window_us` of 0 means that loads are not limited."""

    grace_us: int = 500_000
    load_free: float = 0.0
    load_share: float = 0.0
    load_window_us: int = 0
    effects: dict[str, str] = field(default_factory=dict)  # request class: safe, keyed or unsafe
    # After this time an update that one gateway received counts as received by all; 0 means never.
    propagation_us: int = 0


@dataclass(slots=True)
class Findings:
    """The checker's result: breaches by rule, and counts of tries and answers."""

    broken: dict[str, int] = field(default_factory=lambda: dict.fromkeys(RULES, 0))
    breaches: list[str] = field(default_factory=list)
    tries: int = 0
    excused: int = 0
    late: int = 0
    lost: int = 0
    doubled: int = 0
    redelivered: int = 0
    kinds: dict[str, int] = field(default_factory=lambda: {"served": 0, "refused": 0, "failed": 0})

    def add_breach(self, rule: str, text: str) -> None:
        """Count a breach of a rule and keep its description, up to `MAX_REPORTED_BREACHES` for each rule."""
        self.broken[rule] += 1
        if self.broken[rule] <= MAX_REPORTED_BREACHES:
            self.breaches.append(f"{rule}: {text}")


@dataclass(slots=True)
class _Outages:
    """The periods during which a gateway, broker or client was unavailable, by name."""

    spans: dict[str, list[tuple[int, int]]] = field(default_factory=lambda: defaultdict(list))
    open: dict[str, int] = field(default_factory=dict)

    def down(self, name: str, t: int) -> None:
        self.open.setdefault(name, t)

    def up(self, name: str, t: int) -> None:
        if name in self.open:
            self.spans[name].append((self.open.pop(name), t))

    def overlaps(self, name: str, start: int, end: int) -> bool:
        ended = any(down_at <= end and up_at >= start for down_at, up_at in self.spans.get(name, ()))
        return ended or (name in self.open and self.open[name] <= end)


def check(events: list[Event], limits: Limits) -> Findings:
    """Check a day's events, which are ordered by time, against all rules."""
    findings = Findings()
    _check_answers(events, limits, findings)
    _check_effects(events, limits, findings)
    _check_drains(events, limits, findings)
    for event in events:
        if event["ev"] == "fell":
            findings.add_breach(
                "cold", f"{event['worker']} was overloaded while cold and fell over at {event['t']}"
            )
    _check_loads(events, limits, findings)
    return findings


def _ports(events: list[Event]) -> dict[str, str]:
    """Gateways by the port they listen on, which tells the gateway that a client connects to."""
    return {str(event["port"]): event["gw"] for event in events if event["ev"] == "ready"}


def _check_answers(events: list[Event], limits: Limits, findings: Findings) -> None:
    """Rule 1: every try given to a running gateway gets exactly one answer before its deadline."""
    outages = _Outages()
    tries: dict[str, Event] = {}
    answers: dict[str, list[Event]] = defaultdict(list)
    abandoned: set[str] = set()
    deliveries: dict[str, int] = defaultdict(int)
    first_delivered_at: dict[str, int] = {}  # try: when a broker first delivered it to a gateway
    ports = _ports(events)
    gateway_by_client: dict[str, str] = {}  # client: the gateway that it is connected to; "" for a broker
    direct: set[str] = set()
    receivers: dict[str, set[str]] = defaultdict(set)  # try: the gateways that received it
    for event in events:
        match event["ev"]:
            case "try":
                tries[event["corr"]] = event
                if home := gateway_by_client.get(event["client"], ""):
                    receivers[event["corr"]].add(home)
                    direct.add(event["corr"])
            case "answer":
                answers[event["corr"]].append(event)
            case "left":
                abandoned.add(event["corr"])
            case "to" if event["corr"] and not event["topic"].startswith("answers/"):
                deliveries[event["corr"]] += 1
                receivers[event["corr"]].add(event["client"])
                first_delivered_at.setdefault(event["corr"], event["t"])
            case "killed" | "stopped":
                outages.down(f"gw {event['gw']}", event["t"])
            case "ready" | "woken":
                outages.up(f"gw {event['gw']}", event["t"])
            case "broker-down":
                outages.down("broker", event["t"])
            case "broker-up":
                outages.up("broker", event["t"])
            case "fault" if event["worker"] == "broker" and event["fault"] in ("stall", "alarm"):
                outages.spans["broker"].append((event["t"], event["t"] + int((event["for_s"] + 1) * 1e6)))
            case "disconnected":
                outages.down(event["client"], event["t"])
            case "connecting":
                # A try published from now on waits at the new gateway, in a kernel buffer if that gateway is
                # stopped.  Counted against the previous gateway, it was a breach by one that never saw it.
                gateway_by_client[event["client"]] = ports.get(event["to"].rpartition(":")[2], "")
            case "connected":
                outages.up(event["client"], event["t"])
                gateway_by_client[event["client"]] = ports.get(event["to"].rpartition(":")[2], "")
    for corr, try_event in tries.items():
        findings.tries += 1
        received = answers.get(corr, [])
        for answer in received[:1]:
            findings.kinds[answer["kind"]] = findings.kinds.get(answer["kind"], 0) + 1
        findings.redelivered += max(0, deliveries[corr] - 1)
        deadline = try_event["until"]
        # A killed gateway and a broker outage excuse a try; a gateway that drops its client's connection is
        # not excused.  A try that the broker delivered to no gateway in time was not accepted by any.
        involved = [f"gw {name}" for name in receivers[corr]]
        if corr not in direct:
            involved += [try_event["client"], "broker"]
        delivered_in_time = (
            corr in direct or first_delivered_at.get(corr, deadline) < deadline - MAX_OBSERVATION_LAG_US
        )
        if (
            corr in abandoned
            or not delivered_in_time
            or any(outages.overlaps(name, try_event["t"], deadline) for name in involved)
        ):
            findings.excused += 1
            continue
        late = [answer for answer in received if answer["t"] > deadline]
        findings.late += len(late)
        if not received:
            findings.lost += 1
            findings.add_breach("answered_once", f"{corr} ({try_event['band']}) had no answer")
        elif late and len(late) == len(received):
            findings.lost += 1
            over = (late[0]["t"] - deadline) / 1e3
            findings.add_breach(
                "answered_once", f"{corr} ({try_event['band']}) was answered {over:.0f} ms late"
            )
        # A redelivered answer is marked as a duplicate; each redelivery of a trigger may be answered again.
        elif sum(not answer["dup"] for answer in received) > max(1, deliveries[corr]):
            findings.lost += 1
            findings.add_breach("answered_once", f"{corr} ({try_event['band']}) had {len(received)} answers")


def _check_effects(events: list[Event], limits: Limits, findings: Findings) -> None:
    """Rule 2: no effect runs twice, counted at the workers, and no call is refused that a worker received
    before the refusal and ran."""
    runs_by_key: dict[str, list[Event]] = defaultdict(list)
    received_at: dict[str, int] = {}  # attempt: when a worker received it
    keys: dict[str, tuple[str, str]] = {}
    refused: list[Event] = []
    for event in events:
        match event["ev"]:
            case "recv":
                received_at[event["call"]] = event["t"]
            case "ran" if limits.effects.get(event["band"], "safe") != "safe":
                runs_by_key[event["key"]].append(event)
            case "try":
                keys[event["corr"]] = (event["key"], event["band"])
            case "answer" if event["kind"] == "refused" and not event["dup"]:
                # Refusals that a broker redelivers are not judged: a retry may have run in the meantime.
                refused.append(event)
    for key, runs in runs_by_key.items():
        if len(runs) > 1:
            findings.doubled += len(runs) - 1
            where = ", ".join(f"{run['worker']} as {run['call']}" for run in runs)
            findings.add_breach("effects_once", f"{key} ran {len(runs)} times: {where}")
    for answer in refused:
        key, request_class = keys.get(answer["corr"], ("", "safe"))
        if limits.effects.get(request_class, "safe") == "safe":
            continue
        before = [
            run for run in runs_by_key.get(key, ()) if received_at.get(run["call"], run["t"]) <= answer["t"]
        ]
        if before and answer["reason"] != "key-reused":
            findings.add_breach(
                "effects_once", f"{answer['corr']} was refused but ran as {before[0]['call']}"
            )


def _check_drains(events: list[Event], limits: Limits, findings: Findings) -> None:
    """Rule 3: once a gateway has learned that a worker drains or is gone, it sends the worker no new call or
    load order after the grace period."""
    learned_at: dict[tuple[str, str], int] = {}
    running_gateways: set[str] = set()
    for event in events:
        match event["ev"]:
            case "told" if event["state"] == "running":
                learned_at.pop((event["gw"], event["worker"]), None)
                if limits.propagation_us:
                    for gateway in running_gateways:
                        learned_at.pop((gateway, event["worker"]), None)
            case "told":
                learned_at.setdefault((event["gw"], event["worker"]), event["t"])
                if limits.propagation_us:  # the other gateways learn it from this one
                    for gateway in running_gateways:
                        learned_at.setdefault((gateway, event["worker"]), event["t"] + limits.propagation_us)
            case "killed":
                running_gateways.discard(event["gw"])
            case "woken":  # it could receive no update while it was stopped
                for pair in [pair for pair in learned_at if pair[0] == event["gw"]]:
                    learned_at[pair] = max(learned_at[pair], event["t"] + limits.propagation_us)
            case "turned" if event["verdict"] == "draining":
                learned_at.setdefault((event["gw"], event["worker"]), event["t"])
            case "started":
                # A new process runs at the address: what gateways had learned was about the old one.
                for pair in [pair for pair in learned_at if pair[1] == event["worker"]]:
                    del learned_at[pair]
            case "ready":  # a restarted gateway has lost what it had learned
                running_gateways.add(event["gw"])
                for pair in [pair for pair in learned_at if pair[0] == event["gw"]]:
                    del learned_at[pair]
            case "recv" | "order":
                informed_at = learned_at.get((event["gw"], event["worker"]))
                if informed_at is not None and event["t"] > informed_at + limits.grace_us:
                    late = (event["t"] - informed_at) / 1e3
                    what = "a call" if event["ev"] == "recv" else "a load order"
                    findings.add_breach(
                        "drains",
                        f"{event['gw']} sent {event['worker']} {what} {late:.0f} ms after learning "
                        "that it drains or is gone",
                    )


def _check_loads(events: list[Event], limits: Limits, findings: Findings) -> None:
    """Rule 5: at each load order, the orders within the last window stay within the allowance, which grows
    with the calls accepted in that window."""
    if not limits.load_window_us:
        return
    orders_by_gateway: dict[str, list[int]] = defaultdict(list)
    calls_by_gateway: dict[str, list[int]] = defaultdict(list)
    ports, gateway_by_client = _ports(events), {}
    for event in events:
        match event["ev"]:
            case "order":
                orders_by_gateway[event["gw"]].append(event["t"])
            case "connected":
                gateway_by_client[event["client"]] = ports.get(event["to"].rpartition(":")[2], "")
            case "try" if gateway_by_client.get(event["client"]):
                calls_by_gateway[gateway_by_client[event["client"]]].append(event["t"])
            case "to" if not event["topic"].startswith("answers/"):
                calls_by_gateway[event["client"]].append(event["t"])
    for gateway, times in orders_by_gateway.items():
        call_times = calls_by_gateway[gateway]
        for number, at in enumerate(times):
            window_start = at - limits.load_window_us
            count = number + 1 - bisect.bisect_right(times, window_start)
            first_call = bisect.bisect_left(call_times, window_start - MAX_OBSERVATION_LAG_US)
            allowed = limits.load_free + limits.load_share * (
                bisect.bisect_right(call_times, at) - first_call
            )
            if count > allowed:
                findings.add_breach(
                    "loads", f"{gateway}: {count} load orders within the window, {allowed:.1f} allowed"
                )
