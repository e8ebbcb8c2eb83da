"""The simulator's wire: converts its text lines to and from the types of swiftwell.interface.

Nothing is decided here.  Times on the wire are in milliseconds (`-ms`), in the types in microseconds.
"""

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
    """A malformed line."""


def parse_line(line: str) -> tuple[str, Fields]:
    """Split a line into the name of its message and its name=value pairs, whose names may be dotted paths."""
    name, *pairs = line.split(" ")
    fields: Fields = {}
    for pair in pairs:
        key, separator, value = pair.partition("=")
        if not separator or not key:
            raise WireError(f"not a name=value pair: {pair!r}")
        fields[key] = value
    return name, fields


def _read(fields: Fields, key: str, parse: Callable[[str], T], default: T | None = None) -> T:
    """Parse the value of a field; raises WireError if it is malformed, or missing without a default."""
    if key not in fields:
        if default is None:
            raise WireError(f"{key} is missing")
        return default
    try:
        return parse(fields[key])
    except (ValueError, OverflowError, binascii.Error):
        raise WireError(f"{key} is malformed: {fields[key]!r}") from None


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
    pairs = [pair.partition(":") for pair in text.split(",") if pair]
    return tuple((name, _number(value)) for name, _, value in pairs)


def batch_time(fields: Fields) -> int:
    """The time of a batch, in microseconds."""
    return _read(fields, "clock-ms", _us)


def router_id(fields: Fields) -> int:
    """The id of the router that the following lines are for."""
    return _read(fields, "router-id", int)


def list_header(fields: Fields) -> tuple[int, int]:
    """The number of a worker list, and the number of its entries."""
    return _read(fields, "sheet", int), _read(fields, "records", int)


def worker_entry(fields: Fields) -> io.WorkerEntry:
    """An entry of a worker list."""
    return io.WorkerEntry(
        worker=_read(fields, "worker", str),
        state=_read(fields, "mode", io.State),
        kind=_read(fields, "class-of-host", str, ""),
        weight=_read(fields, "weight", _number, 1.0),
        started_us=_read(fields, "since-ms", _us, 0),
        zone=_read(fields, "region-part", str, ""),
        cell=_read(fields, "block", int, 0),
    )


def list_update(fields: Fields) -> tuple[io.ListKind, int]:
    """The kind of an update, and the number of the worker list that it refers to."""
    kind = _read(fields, "how", io.ListKind)
    return kind, _read(fields, "sheet", int, 0 if kind is io.ListKind.FAILED else None)


def _item_prefixes(fields: Fields, path: str) -> list[str]:
    """The prefixes of the fields of each item of a list."""
    return [f"{path}.{i}." for i in range(_read(fields, f"{path}.count", int, 0))]


def _request_class(fields: Fields, prefix: str) -> io.RequestClass:
    return io.RequestClass(
        name=_read(fields, prefix + "name", str),
        target_us=_read(fields, prefix + "target-ms", _us),
        deadline_us=_read(fields, prefix + "deadline-ms", _us),
        effect=_read(fields, prefix + "effect", io.Effect),
        scope=_read(fields, prefix + "dedup-scope", str, "all"),
        memory_us=_read(fields, prefix + "memory-span-ms", _us, 0),
        streamed=_read(fields, prefix + "streamed", _flag, False),
        worth=_read(fields, prefix + "value", _number, 1.0),
        late_worth=_read(fields, prefix + "late-value", _number, 0.0),
    )


def _tenant(fields: Fields, prefix: str) -> io.Tenant:
    return io.Tenant(
        name=_read(fields, prefix + "name", str),
        share=_read(fields, prefix + "portion", _number, 0.0),
        quota_rps=_read(fields, prefix + "quota-rps", _number, 0.0),
    )


# Optional settings: field of `io.Settings`, name on the wire, parser.
_OPTIONAL_SETTINGS: tuple[tuple[str, str, Callable[[str], object]], ...] = (
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


def settings(fields: Fields) -> tuple[int, io.Settings]:
    """The seed and the settings of a BEGIN; settings that it omits keep the defaults of `io.Settings`."""
    memory_mb = [_number(text) for text in fields.get("family-info.memory-mb-by-kind", "").split(",") if text]
    kinds = [kind for kind in fields.get("flavors", "").split(",") if kind]
    optional = {name: _read(fields, key, parse) for name, key, parse in _OPTIONAL_SETTINGS if key in fields}
    return _read(fields, "salt", int), io.Settings(
        classes=tuple(_request_class(fields, prefix) for prefix in _item_prefixes(fields, "lanes")),
        tenants=tuple(_tenant(fields, prefix) for prefix in _item_prefixes(fields, "customers")),
        routers=_read(fields, "balancers", int),
        position=_read(fields, "position", int),
        tick_us=_read(fields, "tick-ms", _us),
        zone=fields.get("locality", ""),
        kind_memory_mb=tuple(zip(kinds, memory_mb, strict=False)),
        misses=fields.get("family-info.miss-mode", "load") == "miss",
        asked_discovery=fields.get("discovery", "pushed") == "on_request",
        max_attempts=_read(fields, "limits.max-attempts", int),
        sized_weights=fields.get("weight-kind", "off") in ("nominal", "rough"),
        **optional,
    )


def _request(fields: Fields) -> io.Request:
    return io.Request(
        id=_read(fields, "id", str),
        request_class=_read(fields, "band", str),
        tenant=_read(fields, "tenant", str, ""),
        function=_read(fields, "handler", str, ""),
        left_us=_read(fields, "grace-ms", _us),
        hint_us=_read(fields, "cost-ms", _us, 0),
        memory_mb=_read(fields, "mem-mb", _number, 0.0),
        lanes=max(1, _read(fields, "width", int, 1)),
        load_us=_read(fields, "warm-ms", _us, 0),
        repeated=_read(fields, "again-by-client", _flag, False),
    )


def _status(text: str) -> io.Status:
    return io.Status(int(text))


def _outcome(fields: Fields) -> io.Outcome:
    return io.Outcome(
        id=_read(fields, "id", str),
        attempt=_read(fields, "n", int),
        worker=_read(fields, "worker", str),
        status=_read(fields, "how", _status),
        latency_us=_read(fields, "cost-time-ms", _us, 0),
        closed=_read(fields, "over", _flag, False),
        note=_read(fields, "remark", int, 0),
        report=_read(fields, "report", _report, ()),
    )


def _first(fields: Fields) -> io.First:
    return io.First(_read(fields, "id", str), _read(fields, "n", int), _read(fields, "worker", str))


def _probed(fields: Fields) -> io.Probed:
    return io.Probed(
        worker=_read(fields, "worker", str),
        status=_read(fields, "how", _status),
        latency_us=_read(fields, "cost-time-ms", _us, 0),
        report=_read(fields, "report", _report, ()),
    )


def _loaded(fields: Fields) -> io.Loaded:
    return io.Loaded(
        worker=_read(fields, "worker", str),
        function=_read(fields, "handler", str),
        status=_read(fields, "how", _status),
        latency_us=_read(fields, "cost-time-ms", _us, 0),
        copies=_read(fields, "instances", int, 0),
    )


def _octets(text: str) -> bytes:
    """Base64, or "-" for no bytes."""
    return b"" if text == "-" else base64.b64decode(text, validate=True)


# Messages that are events of a router, by name.
EVENTS: dict[str, Callable[[Fields], io.Event]] = {
    "DEMAND": _request,
    "ANSWER": _outcome,
    "HEAD_RECEIVED": _first,
    "HEALTH": _probed,
    "BROUGHT_UP": _loaded,
    "LEFT": lambda fields: io.Left(_read(fields, "id", str)),
    "REMINDER": lambda fields: io.Timer(_read(fields, "ctx", int)),
    "MEMO": lambda fields: io.Peer(_read(fields, "by", int), _read(fields, "octets", _octets)),
}


def action(act: io.Action) -> str:
    """The line of a reply for an action."""
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
