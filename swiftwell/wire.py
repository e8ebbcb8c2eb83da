"""The bench's wire: text to and from the types of swiftwell.interface.  Nothing is decided here."""

from __future__ import annotations

import base64
import binascii
import math
from collections.abc import Callable
from typing import TypeVar

from swiftwell import interface as io

T = TypeVar("T")
Fields = dict[str, str]


class WireError(ValueError):
    """A line that the wire does not allow."""


def fields(line: str) -> tuple[str, Fields]:
    """Split a line into its name and its name=value pairs; pairs of `conf` keep their path."""
    name, *parts = line.split(" ")
    found: Fields = {}
    for part in parts:
        key, sign, value = part.partition("=")
        if not sign or not key:
            raise WireError(f"not a name=value pair: {part!r}")
        found[key] = value
    return name, found


def _read(found: Fields, key: str, parse: Callable[[str], T], default: T | None = None) -> T:
    if key not in found:
        if default is None:
            raise WireError(f"{key} is missing")
        return default
    try:
        return parse(found[key])
    except (ValueError, OverflowError, binascii.Error):
        raise WireError(f"{key} is malformed: {found[key]!r}") from None


def _number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def _us(text: str) -> int:
    return round(_number(text) * 1000)


def _flag(text: str) -> bool:
    if text not in ("0", "1", "false", "true"):
        raise ValueError(text)
    return text in ("1", "true")


def _report(text: str) -> tuple[tuple[str, float], ...]:
    pairs = [part.partition(":") for part in text.split(",") if part]
    return tuple((name, _number(value)) for name, _, value in pairs)


def clock(found: Fields) -> int:
    """The time of a batch."""
    return _read(found, "clock-ms", _us)


def instance(found: Fields) -> int:
    """The router that the following lines belong to."""
    return _read(found, "router-id", int)


def page(found: Fields) -> tuple[int, int]:
    """The number of a list and of its entries."""
    return _read(found, "sheet", int), _read(found, "records", int)


def entry(found: Fields) -> io.WorkerEntry:
    """One entry of a list."""
    return io.WorkerEntry(
        worker=_read(found, "worker", str),
        state=_read(found, "mode", io.State),
        kind=_read(found, "class-of-host", str, ""),
        weight=_read(found, "weight", _number, 1.0),
        started_us=_read(found, "since-ms", _us, 0),
        zone=_read(found, "region-part", str, ""),
        cell=_read(found, "block", int, 0),
    )


def update(found: Fields) -> tuple[io.ListKind, int]:
    """The kind of an update and the number of its list."""
    how = _read(found, "how", io.ListKind)
    return how, _read(found, "sheet", int, 0 if how is io.ListKind.FAILED else None)


def _items(found: Fields, path: str) -> list[str]:
    return [f"{path}.{i}." for i in range(_read(found, f"{path}.count", int, 0))]


def _request_class(found: Fields, at: str) -> io.RequestClass:
    return io.RequestClass(
        name=_read(found, at + "name", str),
        target_us=_read(found, at + "target-ms", _us),
        deadline_us=_read(found, at + "deadline-ms", _us),
        effect=_read(found, at + "effect", io.Effect),
        scope=_read(found, at + "dedup-scope", str, "all"),
        memory_us=_read(found, at + "memory-span-ms", _us, 0),
        streamed=_read(found, at + "streamed", _flag, False),
        worth=_read(found, at + "value", _number, 1.0),
        late_worth=_read(found, at + "late-value", _number, 0.0),
    )


def _tenant(found: Fields, at: str) -> io.Tenant:
    return io.Tenant(
        name=_read(found, at + "name", str),
        share=_read(found, at + "portion", _number, 0.0),
        quota_rps=_read(found, at + "quota-rps", _number, 0.0),
    )


_TOLD: tuple[tuple[str, str, Callable[[str], object]], ...] = (
    ("idle_life_us", "family-info.idle-life-ms", _us),
    ("may_load", "family-info.may-load", _flag),
    ("load_free", "family-info.load-free", _number),
    ("load_share", "family-info.load-share", _number),
    ("load_window_us", "family-info.load-window-ms", _us),
    ("order_timeout_us", "family-info.order-timeout-ms", _us),
    ("tells_warm", "family-info.tells-warm", _flag),
    ("tells_crowd", "family-info.tells-crowd", _flag),
    ("ask_within_us", "rules.ask-within-ms", _us),
    ("drain_grace_us", "rules.drain-grace-ms", _us),
    ("may_cancel", "limits.cancel", _flag),
    ("may_probe", "limits.probes", _flag),
    ("peers", "limits.peers", _flag),
    ("second_copies", "limits.second-copies", _flag),
    ("retry_after", "limits.retry-after", _flag),
    ("max_retry_after_us", "limits.max-retry-after-ms", _us),
    ("answer_slack_us", "rules.answer-slack-ms", _us),
    ("cold_share", "rules.cold-share", _number),
    ("cold_us", "rules.cold-ms", _us),
    ("fall_multiple", "rules.fall-multiple", _number),
    ("fall_us", "rules.overload-for-ms", _us),
)


def settings(found: Fields) -> tuple[int, io.Settings]:
    """The seed and the settings of a BEGIN; what is not told keeps the default of `io.Settings`."""
    memory = [_number(x) for x in found.get("family-info.memory-mb-by-kind", "").split(",") if x]
    kinds = [x for x in found.get("flavors", "").split(",") if x]
    told = {name: _read(found, key, parse) for name, key, parse in _TOLD if key in found}
    return _read(found, "salt", int), io.Settings(
        classes=tuple(_request_class(found, at) for at in _items(found, "lanes")),
        tenants=tuple(_tenant(found, at) for at in _items(found, "customers")),
        routers=_read(found, "balancers", int),
        position=_read(found, "position", int),
        tick_us=_read(found, "tick-ms", _us),
        zone=found.get("locality", ""),
        kind_memory_mb=tuple(zip(kinds, memory, strict=False)),
        misses=found.get("family-info.miss-mode", "load") == "miss",
        asked_discovery=found.get("discovery", "pushed") == "on_request",
        max_attempts=_read(found, "limits.max-attempts", int),
        sized_weights=found.get("weight-kind", "off") in ("nominal", "rough"),
        **told,
    )


def _request(found: Fields) -> io.Request:
    return io.Request(
        id=_read(found, "id", str),
        request_class=_read(found, "band", str),
        tenant=_read(found, "tenant", str, ""),
        function=_read(found, "handler", str, ""),
        left_us=_read(found, "grace-ms", _us),
        hint_us=_read(found, "cost-ms", _us, 0),
        memory_mb=_read(found, "mem-mb", _number, 0.0),
        lanes=max(1, _read(found, "width", int, 1)),
        load_us=_read(found, "warm-ms", _us, 0),
        repeated=_read(found, "again-by-client", _flag, False),
    )


def _status(text: str) -> io.Status:
    return io.Status(int(text))


def _outcome(found: Fields) -> io.Outcome:
    return io.Outcome(
        id=_read(found, "id", str),
        attempt=_read(found, "n", int),
        worker=_read(found, "worker", str),
        status=_read(found, "how", _status),
        latency_us=_read(found, "cost-time-ms", _us, 0),
        closed=_read(found, "over", _flag, False),
        note=_read(found, "remark", int, 0),
        report=_read(found, "report", _report, ()),
    )


def _first(found: Fields) -> io.First:
    return io.First(_read(found, "id", str), _read(found, "n", int), _read(found, "worker", str))


def _probed(found: Fields) -> io.Probed:
    return io.Probed(
        worker=_read(found, "worker", str),
        status=_read(found, "how", _status),
        latency_us=_read(found, "cost-time-ms", _us, 0),
        report=_read(found, "report", _report, ()),
    )


def _loaded(found: Fields) -> io.Loaded:
    return io.Loaded(
        worker=_read(found, "worker", str),
        function=_read(found, "handler", str),
        status=_read(found, "how", _status),
        latency_us=_read(found, "cost-time-ms", _us, 0),
        copies=_read(found, "instances", int, 0),
    )


def _octets(text: str) -> bytes:
    return b"" if text == "-" else base64.b64decode(text, validate=True)


EVENTS: dict[str, Callable[[Fields], io.Event]] = {
    "DEMAND": _request,
    "ANSWER": _outcome,
    "HEAD_RECEIVED": _first,
    "HEALTH": _probed,
    "BROUGHT_UP": _loaded,
    "LEFT": lambda found: io.Left(_read(found, "id", str)),
    "REMINDER": lambda found: io.Timer(_read(found, "ctx", int)),
    "MEMO": lambda found: io.Peer(_read(found, "by", int), _read(found, "octets", _octets)),
}


def action(act: io.Action) -> str:
    """One line of a reply."""
    match act:
        case io.Send():
            return f"PASS_ON id={act.id} worker={act.worker} not-past-ms={act.deadline_us / 1000}"
        case io.Refuse():
            return f"BOUNCE id={act.id} wait-ms={act.retry_after_us / 1000}"
        case io.Fail():
            return f"GIVE_UP id={act.id}"
        case io.Cancel():
            return f"REVOKE id={act.id} n={act.attempt}"
        case io.Load():
            return f"HOLD_THERE worker={act.worker} handler={act.function} instances={act.copies}"
        case io.Watch():
            return f"OBSERVE enable={int(act.enabled)}"
        case io.SetTimer():
            return f"SET_TIMER wait-ms={act.delay_us / 1000} ctx={act.token}"
        case io.Log():
            return "PRINT text=" + " ".join(act.text.split())
    raise TypeError(f"not an action: {act!r}")
