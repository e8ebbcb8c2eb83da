"""Days: scripted loads and troubles, as KDL files, and what they say to each program that plays them.  No
I/O but reading.

The classes are checked by the same schema as a site's settings; docs/proof.md describes them.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from swiftwell.proof.rules import Limits
from swiftwell.settings.document import Node, Problem, SettingsError, parse
from swiftwell.settings.schema import Reader, setting


@dataclass(frozen=True, kw_only=True)
class DayClass:
    """A class of calls, as the gateway is told of it and as publishers make it."""

    name: str = setting(arg=True, low=1, doc="name")
    effect: str = setting("safe", choice=("safe", "keyed", "unsafe"), doc="what a repeat does")
    wanted_ms: int = setting(low=1, doc="ms within which an answer has its full worth")
    deadline_ms: int = setting(low=1, doc="ms after which publishers give up")
    worth: float = setting(1.0, low=0, doc="worth of an answer in time")
    share: float = setting(1.0, low=0, doc="share of the calls")
    work_ms: float = setting(60.0, low=0.1, doc="ms of work on a core of speed 1, on average")
    functions: int = setting(6, low=1, high=10_000, doc="functions that are asked for again and again")
    memory_mb: float = setting(400.0, low=1, doc="MB of a loaded copy")
    lanes: int = setting(2, low=1, high=64, doc="calls that a copy runs at a time")
    qos: int = setting(1, low=0, high=2, doc="QoS of its triggers")
    memory_ms: int = setting(0, low=0, doc="keyed: ms for which workers drop repeats")


@dataclass(frozen=True, kw_only=True)
class DayKind:
    """A kind of calc server."""

    name: str = setting(arg=True, low=1, doc="name")
    workers: int = setting(low=1, high=1_000, doc="how many")
    cores: float = setting(4.0, low=0.1, doc="cores")
    speed: float = setting(1.0, low=0.01, doc="speed of a core")
    memory_mb: float = setting(8_000.0, low=1, doc="MB for copies")


@dataclass(frozen=True, kw_only=True)
class Crowd:
    """A crowd of publishers."""

    name: str = setting(arg=True, low=1, doc="name")
    rate: float = setting(low=0.01, high=10_000, doc="calls a second")
    clients: int = setting(4, low=1, high=5_000, doc="connections")
    via: str = setting("endpoint", choice=("endpoint", "broker", "amqp"), doc="where they connect")
    version: str = setting("5.0", choice=("5.0", "3.1.1"), doc="protocol version")
    retries: int = setting(2, low=0, high=10, doc="tries after the first")
    honour: float = setting(
        0.0, low=0, high=1, doc="share of refusals after which they stay away as long as they are told"
    )
    leave: float = setting(0.0, low=0, high=1, doc="share whose publisher leaves before the answer")
    one_off: float = setting(0.0, low=0, high=1, doc="share for functions wanted only once")
    skew_ms: float = setting(0.0, doc="ms by which their clocks are ahead of ours")


@dataclass(frozen=True, kw_only=True)
class Burst:
    """A burst of calls."""

    at: float = setting(low=0, doc="s after the start")
    for_s: float = setting(low=0.1, doc="s that it lasts")
    times: float = setting(2.0, low=0.1, high=100, doc="times the usual rate")


BETWEEN = ("herd", "stop", "cut", "deafen", "link", "clock", "silence-resource", "epoch", "site")


@dataclass(frozen=True, kw_only=True)
class Trouble:
    """Something that goes wrong."""

    do: str = setting(
        arg=True,
        choice=("hang", "pause", "slow", "full", "mute", "reset", "die-after", "twice", "large", "refuse",
        "die",
                "drain", "store", "list", "broker", "amqp", "kill-gateway", "restart", "upgrade", *BETWEEN),
        doc="what",
    )  # fmt: skip
    at: float = setting(low=0, doc="s after the start")
    for_s: float = setting(
        5.0, low=0, doc="s that it lasts; of `die` and `drain`: s until the successor starts"
    )
    workers: int = setting(1, low=1, doc="how many calc servers, drawn by the day's seed")
    one_by_one_s: float = setting(0.0, low=0, doc="s between them; 0 is all at once")
    times: float = setting(5.0, low=1, doc="slow: times slower")
    band: str = setting("", doc="full: the class that is turned away; none is all")
    fault: str = setting("", doc="store, list, broker, amqp, site (die, silent, slow): which of its faults")
    zone: int = setting(0, low=0, doc="site: which")
    part: float = setting(1.0, low=0, high=1, doc="site: part of its calc servers")
    routers: bool = setting(False, doc="site: its gateways go as well, and come back with it")
    lose_s: float = setting(0.0, low=0, doc="amqp restart: s of whose acknowledgements nothing is kept")
    keep: bool = setting(True, doc="broker: sessions are kept; restart: the books are")
    gateway: int = setting(0, low=0, doc="kill-gateway, restart, upgrade: which")
    gateways: float = setting(
        0.5,
        low=0,
        high=1,
        doc="herd, stop, cut, deafen: the part of the gateways concerned, from `gateway` on",
    )
    whom: str = setting(
        "",
        choice=("", "holder", "reader", "voters"),
        doc="instead of `gateway`: whoever it is then, as the resource and the list see it",
    )
    loss: float = setting(0.0, low=0, high=1, doc="link: part of the datagrams that is lost")
    twice: float = setting(0.0, low=0, high=1, doc="link: part that comes twice")
    delay_ms: float = setting(0.0, low=0, doc="link: ms that one is late at most")
    rate: float = setting(1.0, low=0.1, high=10, doc="clock: how fast the gateway's clock runs from then on")
    count: int = setting(1, low=1, high=10_000, doc="upgrade, kill-gateway: so many, `one-by-one-s` apart")
    crash_every: int = setting(
        0, low=0, doc="upgrade: each so-many-th new process crashes, at varied steps; 0 none"
    )


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """What all calc servers and the store are like."""

    queue: int = setting(64, low=1, doc="calls that a calc server holds at most")
    loads: int = setting(4, low=1, doc="loads at a time")
    start_ms: int = setting(150, low=1, doc="ms that a copy takes to start, once fetched")
    fetch_ms: int = setting(200, low=1, doc="ms that a fetch from the store takes")
    store_room: int = setting(12, low=1, doc="fetches that it serves at full pace")
    store_most: int = setting(64, low=1, doc="fetches past which it refuses")
    list_late_ms: int = setting(700, low=0, doc="ms by which the list is late")
    misses: bool = setting(False, doc="no loading without an order")


@dataclass(frozen=True, kw_only=True)
class Together:
    """Gateways that agree: the `fleet` block of their settings, and what a drill of theirs acts at."""

    term_ms: int = setting(1_000, low=500, high=600_000, doc="ms of a lease")
    period_ms: int = setting(250, low=50, high=60_000, doc="ms between two pings of one gateway")
    voters: int = setting(3, low=1, high=9, doc="members that grant a lease")
    zones: int = setting(1, low=1, high=64, doc="zones, which gateways are in by turns")
    absent: int = setting(0, low=0, high=1_000, doc="members of the roster that never come")
    drill: bool = setting(True, doc="the holder of a lease acts at a resource, again and again")
    act_ms: int = setting(20, low=1, high=10_000, doc="ms of such an act")
    checks: bool = setting(True, doc="the resource turns an older token away")
    one_reader: bool = setting(True, doc="one gateway a zone reads the list for the others")
    sites: bool = setting(
        False, doc="zones are sites: calc servers are in them by turns, their loss is judged"
    )
    one_order: bool = setting(True, doc="a function's copy is ordered once")
    list_rate: float = setting(3.0, low=0.01, doc="questions a second to the list while nobody reads")
    budgets: tuple[str, ...] = setting(("cold",), doc="budgets that are divided")


@dataclass(frozen=True, kw_only=True)
class Day:
    """A day."""

    doc: str = setting("", doc="what it is for, in a sentence")
    seconds: float = setting(10.0, low=1, high=3_600, doc="s for which calls arrive")
    gateways: int = setting(1, low=1, high=250, doc="gateways")
    together: Together | None = setting(None, doc="the gateways are a fleet that agrees")
    passed_on_ms: int = setting(
        0, low=0, doc="rule 3: ms after which what the list told one gateway counts as told to all; 0 never"
    )
    share: str = setting("", doc="name of a shared subscription, where gateways take turns at the broker")
    warm: bool = setting(True, doc="calc servers have been up for long when the day begins")
    grace_ms: int = setting(500, low=1, doc="ms that rule 3 grants")
    list_down_s: float = setting(0.0, low=0, doc="s from before the gateways start that the list is away")
    saved: str = setting(
        "none",
        choice=("none", "trust", "blind"),
        doc="list that gateways start from: none, a saved one, or a file believed as it stands",
    )
    saved_age_s: float = setting(86_400.0, low=0, doc="saved: s since it was written")
    saved_wrong: float = setting(
        0.0, low=0, high=1, doc="saved: part of its entries drained, replaced or moved since"
    )
    amqp: str = setting("", doc="settings added to each gateway's `amqp-broker` node")
    margin_ms: int = setting(300, low=0, doc="ms that gateways keep back from each call")
    settings: str = setting("", doc="nodes added to each gateway's `workers` block")
    log_level: str = setting("info", choice=("debug", "info"), doc="level of the gateways' logs")
    classes: tuple[DayClass, ...] = setting(node="class", doc="a class of calls")
    kinds: tuple[DayKind, ...] = setting(node="kind", doc="a kind of calc server")
    crowds: tuple[Crowd, ...] = setting(node="publishers", doc="a crowd of publishers")
    bursts: tuple[Burst, ...] = setting((), node="burst", doc="a burst of calls")
    troubles: tuple[Trouble, ...] = setting((), node="trouble", doc="something that goes wrong")
    fleet: Fleet = setting(Fleet, doc="what all calc servers and the store are like")
    load_free: float = setting(0.0, low=0, doc="rule 5: orders allowed in a window, whatever the traffic")
    load_share: float = setting(0.0, low=0, doc="rule 5: and so many more for each call")
    load_window_ms: int = setting(0, low=0, doc="rule 5: ms of the window; 0 is no limit")
    cold_share: float = setting(
        0.2, low=0.01, high=1, doc="rule 4: part of its work that a started worker does"
    )
    cold_ms: int = setting(8_000, low=0, doc="rule 4: ms until it is warm")
    fall_multiple: float = setting(2.0, low=0.1, doc="rule 4: times that part at which it falls over")
    fall_ms: int = setting(2_000, low=1, doc="rule 4: ms over which it is counted")

    def limits(self) -> Limits:
        """The figures of the rules."""
        return Limits(
            self.grace_ms * 1_000,
            self.load_free,
            self.load_share,
            self.load_window_ms * 1_000,
            {one.name: one.effect for one in self.classes},
            self.passed_on_ms * 1_000,
        )


def read(text: str, file: str) -> Day:
    """A day's text; raises SettingsError."""
    reader = Reader(file)
    day: Day = reader.read(Day, Node("", [], {}, parse(text, file), 1))
    count = sum(kind.workers or 0 for kind in day.kinds)
    for trouble in day.troubles:
        line = reader.line_of(trouble)
        if trouble.workers > count:
            reader.add_problem(line, f"trouble wants {trouble.workers} workers, the day has {count}")
        if trouble.do in BETWEEN and not day.together:
            reader.add_problem(
                line, f"trouble {trouble.do} is one between gateways: it wants a `together` node"
            )
        if trouble.do == "site" and day.together:
            if trouble.fault not in ("die", "silent", "slow"):
                reader.add_problem(
                    line, f"trouble site wants fault die, silent or slow; {trouble.fault!r} is given"
                )
            if trouble.zone >= day.together.zones or not day.together.sites:
                reader.add_problem(
                    line, "trouble site wants `together sites=true` and one of its zones, from 0"
                )
        if trouble.gateway >= day.gateways:
            reader.add_problem(
                line, f"trouble names gateway {trouble.gateway}, the day has {day.gateways} from 0"
            )
    if reader.problems:
        raise SettingsError(sorted(reader.problems, key=lambda problem: problem.line))
    return day


def scaled(day: Day, scale: float) -> tuple[Day, float]:
    """The day at another scale, and what is left of it for rates and workers.

    A day of upgrades is made shorter instead, with fewer of them, as it is about them and not about load.
    """
    if scale >= 1 or not any(one.do == "upgrade" for one in day.troubles):
        return day, scale
    troubles = tuple(
        replace(one, count=max(1, round(one.count * scale))) if one.do == "upgrade" else one
        for one in day.troubles
    )
    return replace(day, seconds=max(1.0, day.seconds * scale), troubles=troubles), 1.0


def folder() -> Path:
    """Where the days that come with the project stand."""
    return Path(__file__).resolve().parents[2] / "days"


def load(name: str) -> tuple[str, Day]:
    """A day by its name, or by a path; its name and what it says.  Raises SettingsError."""
    path = Path(name) if name.endswith(".kdl") else folder() / f"{name}.kdl"
    try:
        return path.stem, read(path.read_text(encoding="utf-8"), str(path))
    except OSError as error:
        known = ", ".join(sorted(one.stem for one in folder().glob("*.kdl")))
        text = f"can't be read: {error.strerror}; known days: {known}"
        raise SettingsError([Problem(str(path), 0, text)]) from None


def _quoted(text: str) -> str:
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"') + '"'


def site(
    day: Day,
    number: int,
    state: Path,
    listener: int,
    servers: list[str],
    broker: str,
    health: int = 0,
    file: str = "",
    amqp: str = "",
    fleet: str = "",
) -> str:
    """The settings document of one gateway on this day; `fleet` is added as it is."""
    lines = [
        f'name "gw-{number}"',
        f"state {_quoted(str(state))}",
        f"gateways {day.gateways}",
        f"position {number}",
        f"margin-ms {day.margin_ms}",
    ]
    for one in day.classes:
        keyed = f" memory-ms={one.memory_ms}" if one.memory_ms else ""
        lines.append(
            f'class "{one.name}" effect="{one.effect}" wanted-ms={one.wanted_ms} '
            f"deadline-ms={one.deadline_ms} worth={one.worth}{keyed}"
        )
        lines.append(f'function "heat/{one.name}-*" memory-mb={one.memory_mb} lanes={one.lanes}')
    lines += [f'kind "{kind.name}" memory-mb={kind.memory_mb}' for kind in day.kinds]
    lines.append('function "*" memory-mb=400 lanes=1')
    lines.append("workers {")
    if file:
        lines.append(f"    file {_quoted(file)}")
    else:
        lines.append("    list { servers " + " ".join(_quoted(one) for one in servers) + "; wait-s 5 }")
    lines.append(
        f"    load-free {day.load_free}; load-share {day.load_share}; load-window-ms {day.load_window_ms}"
    )
    lines.append(f"    cold-share {day.cold_share}; cold-ms {day.cold_ms}")
    lines.append(f"    fall-multiple {day.fall_multiple}; fall-ms {day.fall_ms}")
    lines.append(f"    misses {'true' if day.fleet.misses else 'false'}")
    lines.append(f"    {day.settings}")
    if day.together and day.together.sites:
        lines.append(f'    zone "z{number % day.together.zones}"')
    lines.append("}")
    lines.append(f"mqtt-listener port={listener}")
    if broker:
        share = f" share={_quoted(day.share)}" if day.share else ""
        lines.append(f'mqtt-broker "estate"{share} {{ address {_quoted(broker)} }}')
    if amqp:
        lines.append(f'amqp-broker "plant" {day.amqp} {{')
        lines.append(f"    address {_quoted(amqp)}")
        lines.append(
            '    queue "calls" exchange="calls" max-priority=9 dead-letter="dead"; dead-letter "dead"'
        )
        lines.append("}")
    lines.append(f'log format="json" level="{day.log_level}" per-kind=10000')
    lines.append(f"health port={health}")
    lines.append(fleet)
    return "\n".join(lines) + "\n"
