"""Days: scripted loads and troubles in KDL files, and the settings that they give to each program.

The only I/O is reading files.  Documents are checked by the same schema as a site's settings; docs/proof.md
describes them.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from swiftwell.proof.rules import Limits
from swiftwell.settings.document import Node, Problem, SettingsError, parse
from swiftwell.settings.schema import Reader, setting


@dataclass(frozen=True, kw_only=True)
class DayClass:
    """A request class, as the gateway is configured for it and as publishers generate its calls."""

    name: str = setting(arg=True, low=1, doc="name")
    effect: str = setting("safe", choice=("safe", "keyed", "unsafe"), doc="what a repeat does")
    wanted_ms: int = setting(low=1, doc="ms within which an answer has its full worth")
    deadline_ms: int = setting(low=1, doc="ms after which publishers time out")
    worth: float = setting(1.0, low=0, doc="worth of an answer in time")
    share: float = setting(1.0, low=0, doc="share of the calls")
    work_ms: float = setting(60.0, low=0.1, doc="ms of work on a core of speed 1, on average")
    functions: int = setting(6, low=1, high=10_000, doc="functions that are called repeatedly")
    memory_mb: float = setting(400.0, low=1, doc="MB of a loaded copy")
    lanes: int = setting(2, low=1, high=64, doc="calls that a copy runs at a time")
    qos: int = setting(1, low=0, high=2, doc="QoS of its triggers")
    memory_ms: int = setting(0, low=0, doc="keyed: ms for which workers drop repeated calls")


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
    """A group of publishers with the same behaviour."""

    name: str = setting(arg=True, low=1, doc="name")
    rate: float = setting(low=0.01, high=10_000, doc="calls a second")
    clients: int = setting(4, low=1, high=5_000, doc="connections")
    via: str = setting("endpoint", choice=("endpoint", "broker", "amqp"), doc="where they connect")
    version: str = setting("5.0", choice=("5.0", "3.1.1"), doc="protocol version")
    retries: int = setting(2, low=0, high=10, doc="tries after the first")
    honour: float = setting(0.0, low=0, high=1, doc="share of refusals whose retry delay they respect")
    leave: float = setting(
        0.0, low=0, high=1, doc="share of calls whose publisher disconnects before the answer"
    )
    one_off: float = setting(0.0, low=0, high=1, doc="share of calls to functions that are called only once")
    skew_ms: float = setting(0.0, doc="ms by which their clocks are ahead of ours")


@dataclass(frozen=True, kw_only=True)
class Burst:
    """A period with a higher or lower rate of calls."""

    at: float = setting(low=0, doc="s after the start")
    for_s: float = setting(low=0.1, doc="s that it lasts")
    times: float = setting(2.0, low=0.1, high=100, doc="times the usual rate")


FLEET_TROUBLES = ("herd", "stop", "cut", "deafen", "link", "clock", "silence-resource", "epoch", "site")


@dataclass(frozen=True, kw_only=True)
class Trouble:
    """A fault or an operation that is injected during the day."""

    do: str = setting(
        arg=True,
        choice=("hang", "pause", "slow", "full", "mute", "reset", "die-after", "twice", "large", "refuse",
                "die", "drain", "store", "list", "broker", "amqp", "kill-gateway", "restart", "upgrade",
                *FLEET_TROUBLES),
        doc="kind of trouble",
    )  # fmt: skip
    at: float = setting(low=0, doc="s after the start")
    for_s: float = setting(5.0, low=0, doc="s that it lasts; die, drain: s until the successor starts")
    workers: int = setting(1, low=1, doc="how many calc servers, chosen at random by the day's seed")
    one_by_one_s: float = setting(0.0, low=0, doc="s between them; 0: all at once")
    times: float = setting(5.0, low=1, doc="slow: factor by which they are slower")
    band: str = setting("", doc="full: the class that is rejected; empty: all")
    fault: str = setting("", doc="store, list, broker, amqp, site (die, silent, slow): kind of fault")
    zone: int = setting(0, low=0, doc="site: number of its zone")
    part: float = setting(1.0, low=0, high=1, doc="site: fraction of its calc servers that is affected")
    routers: bool = setting(False, doc="site: its gateways are killed too, and restarted when it recovers")
    lose_s: float = setting(0.0, low=0, doc="amqp restart: s before it whose acknowledgements are lost")
    keep: bool = setting(True, doc="broker: sessions are kept; restart: the saved state is kept")
    gateway: int = setting(0, low=0, doc="kill-gateway, restart, upgrade: number of the gateway")
    gateways: float = setting(
        0.5,
        low=0,
        high=1,
        doc="herd, stop, cut, deafen: fraction of the gateways affected, from `gateway` on",
    )
    whom: str = setting(
        "",
        choice=("", "holder", "reader", "voters"),
        doc="instead of `gateway`: whoever has this role then, as seen by the resource and the list",
    )
    loss: float = setting(0.0, low=0, high=1, doc="link: fraction of the datagrams that is lost")
    twice: float = setting(0.0, low=0, high=1, doc="link: fraction that is duplicated")
    delay_ms: float = setting(0.0, low=0, doc="link: maximum delay of a datagram in ms")
    rate: float = setting(1.0, low=0.1, high=10, doc="clock: rate of the gateway's clock from then on")
    count: int = setting(1, low=1, high=10_000, doc="upgrade, kill-gateway: how many, `one-by-one-s` apart")
    crash_every: int = setting(
        0, low=0, doc="upgrade: every n-th new process crashes, at varying steps; 0: none"
    )


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """Properties shared by all calc servers, and those of the model store and the worker list."""

    queue: int = setting(64, low=1, doc="maximum number of calls in a calc server")
    loads: int = setting(4, low=1, doc="loads at a time")
    start_ms: int = setting(150, low=1, doc="ms that a copy takes to start, once fetched")
    fetch_ms: int = setting(200, low=1, doc="ms that a fetch from the store takes")
    store_room: int = setting(12, low=1, doc="concurrent fetches that it serves at full speed")
    store_most: int = setting(64, low=1, doc="concurrent fetches above which it refuses")
    list_late_ms: int = setting(700, low=0, doc="delay of the worker list in ms")
    misses: bool = setting(False, doc="calc servers load a function only on a load order")


@dataclass(frozen=True, kw_only=True)
class Together:
    """Gateways that form a fleet: the `fleet` block of their settings, and their lease exercise."""

    term_ms: int = setting(1_000, low=500, high=600_000, doc="ms of a lease")
    period_ms: int = setting(250, low=50, high=60_000, doc="ms between two pings of one gateway")
    voters: int = setting(3, low=1, high=9, doc="members that grant a lease")
    zones: int = setting(1, low=1, high=64, doc="zones, over which gateways are distributed in turn")
    absent: int = setting(0, low=0, high=1_000, doc="members of the roster that never start")
    drill: bool = setting(True, doc="the holder of a lease acts on a resource repeatedly")
    act_ms: int = setting(20, low=1, high=10_000, doc="ms that such an act takes")
    checks: bool = setting(True, doc="the resource rejects an older token")
    one_reader: bool = setting(True, doc="one gateway of each zone reads the worker list for the others")
    sites: bool = setting(
        False, doc="zones are sites: calc servers are distributed over them, their failure is detected"
    )
    one_order: bool = setting(True, doc="the gateways order a copy of a function only once")
    list_rate: float = setting(
        3.0, low=0.01, doc="queries a second to the worker list while no gateway is its reader"
    )
    budgets: tuple[str, ...] = setting(("cold",), doc="budgets that the gateways share")


@dataclass(frozen=True, kw_only=True)
class Day:
    """A day: load, troubles, the programs that take part, and the limits of the rules."""

    doc: str = setting("", doc="its purpose in one sentence")
    seconds: float = setting(10.0, low=1, high=3_600, doc="s for which calls arrive")
    gateways: int = setting(1, low=1, high=250, doc="gateways")
    together: Together | None = setting(None, doc="the gateways form a fleet")
    passed_on_ms: int = setting(
        0, low=0, doc="rule 3: ms after which a list update to one gateway counts as known to all; 0: never"
    )
    share: str = setting("", doc="name of the shared subscription over which the broker distributes triggers")
    warm: bool = setting(True, doc="calc servers are warmed up when the day begins")
    grace_ms: int = setting(500, low=1, doc="rule 3: grace period in ms")
    list_down_s: float = setting(
        0.0, low=0, doc="s for which the worker list is unavailable, from before the gateways start"
    )
    saved: str = setting(
        "none",
        choice=("none", "trust", "blind"),
        doc="list that gateways start from: none, a saved one, or a file that is used unchecked",
    )
    saved_age_s: float = setting(86_400.0, low=0, doc="saved: s since it was written")
    saved_wrong: float = setting(
        0.0, low=0, high=1, doc="saved: fraction of its entries drained, replaced or moved since"
    )
    amqp: str = setting("", doc="settings added to each gateway's `amqp-broker` node")
    margin_ms: int = setting(300, low=0, doc="ms of each call's time that gateways reserve")
    settings: str = setting("", doc="nodes added to each gateway's `workers` node")
    log_level: str = setting("info", choice=("debug", "info"), doc="level of the gateways' logs")
    classes: tuple[DayClass, ...] = setting(node="class", doc="a class of calls")
    kinds: tuple[DayKind, ...] = setting(node="kind", doc="a kind of calc server")
    crowds: tuple[Crowd, ...] = setting(node="publishers", doc="a group of publishers")
    bursts: tuple[Burst, ...] = setting((), node="burst", doc="a burst of calls")
    troubles: tuple[Trouble, ...] = setting((), node="trouble", doc="an injected fault or operation")
    fleet: Fleet = setting(Fleet, doc="properties of all calc servers, the store and the worker list")
    load_free: float = setting(
        0.0, low=0, doc="rule 5: load orders allowed in a window, whatever the traffic"
    )
    load_share: float = setting(0.0, low=0, doc="rule 5: additional load orders allowed for each call")
    load_window_ms: int = setting(0, low=0, doc="rule 5: ms of the window; 0: no limit")
    cold_share: float = setting(
        0.2, low=0.01, high=1, doc="rule 4: fraction of its capacity that a cold worker has"
    )
    cold_ms: int = setting(8_000, low=0, doc="rule 4: ms until it is warm")
    fall_multiple: float = setting(
        2.0, low=0.1, doc="rule 4: multiple of that fraction at which it falls over"
    )
    fall_ms: int = setting(2_000, low=1, doc="rule 4: ms over which its load is measured")

    def limits(self) -> Limits:
        """The limits for the checker."""
        return Limits(
            self.grace_ms * 1_000,
            self.load_free,
            self.load_share,
            self.load_window_ms * 1_000,
            {day_class.name: day_class.effect for day_class in self.classes},
            self.passed_on_ms * 1_000,
        )


def read(text: str, file: str) -> Day:
    """Parse and check the text of a day; raises SettingsError."""
    reader = Reader(file)
    day: Day = reader.read(Day, Node("", [], {}, parse(text, file), 1))
    worker_count = sum(kind.workers or 0 for kind in day.kinds)
    for trouble in day.troubles:
        line = reader.line_of(trouble)
        if trouble.workers > worker_count:
            reader.add_problem(
                line, f"trouble needs {trouble.workers} workers, but the day has {worker_count}"
            )
        if trouble.do in FLEET_TROUBLES and not day.together:
            reader.add_problem(
                line, f"trouble {trouble.do} affects a fleet of gateways and requires a `together` node"
            )
        if trouble.do == "site" and day.together:
            if trouble.fault not in ("die", "silent", "slow"):
                reader.add_problem(
                    line, f"trouble site requires fault die, silent or slow, not {trouble.fault!r}"
                )
            if trouble.zone >= day.together.zones or not day.together.sites:
                reader.add_problem(
                    line, "trouble site requires `together sites=true` and the number of a zone, from 0"
                )
        if trouble.gateway >= day.gateways:
            reader.add_problem(
                line,
                f"trouble names gateway {trouble.gateway}, but the day has {day.gateways}, numbered from 0",
            )
    if reader.problems:
        raise SettingsError(sorted(reader.problems, key=lambda problem: problem.line))
    return day


def scaled(day: Day, scale: float) -> tuple[Day, float]:
    """The day at another scale, and the factor that remains for its rates and workers.

    A day of upgrades is shortened instead, with fewer upgrades, because it tests these and not the load.
    """
    if scale >= 1 or not any(trouble.do == "upgrade" for trouble in day.troubles):
        return day, scale
    troubles = tuple(
        replace(trouble, count=max(1, round(trouble.count * scale))) if trouble.do == "upgrade" else trouble
        for trouble in day.troubles
    )
    return replace(day, seconds=max(1.0, day.seconds * scale), troubles=troubles), 1.0


def folder() -> Path:
    """The folder of the days that come with the project."""
    return Path(__file__).resolve().parents[2] / "days"


def load(name: str) -> tuple[str, Day]:
    """Load a day by its name or path; returns its name and the day.  Raises SettingsError."""
    path = Path(name) if name.endswith(".kdl") else folder() / f"{name}.kdl"
    try:
        return path.stem, read(path.read_text(encoding="utf-8"), str(path))
    except OSError as error:
        known = ", ".join(sorted(file.stem for file in folder().glob("*.kdl")))
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
    """The settings document of one gateway on this day; `fleet` is appended unchanged."""
    lines = [
        f'name "gw-{number}"',
        f"state {_quoted(str(state))}",
        f"gateways {day.gateways}",
        f"position {number}",
        f"margin-ms {day.margin_ms}",
    ]
    for day_class in day.classes:
        keyed = f" memory-ms={day_class.memory_ms}" if day_class.memory_ms else ""
        lines.append(
            f'class "{day_class.name}" effect="{day_class.effect}" wanted-ms={day_class.wanted_ms} '
            f"deadline-ms={day_class.deadline_ms} worth={day_class.worth}{keyed}"
        )
        lines.append(
            f'function "heat/{day_class.name}-*" memory-mb={day_class.memory_mb} lanes={day_class.lanes}'
        )
    lines += [f'kind "{kind.name}" memory-mb={kind.memory_mb}' for kind in day.kinds]
    lines.append('function "*" memory-mb=400 lanes=1')
    lines.append("workers {")
    if file:
        lines.append(f"    file {_quoted(file)}")
    else:
        lines.append("    list { servers " + " ".join(_quoted(server) for server in servers) + "; wait-s 5 }")
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
        subscription = f" share={_quoted(day.share)}" if day.share else ""
        lines.append(f'mqtt-broker "estate"{subscription} {{ address {_quoted(broker)} }}')
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
