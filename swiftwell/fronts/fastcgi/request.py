"""The platform's fields to a `Trigger`, or to the status that turns a request away.  No I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from swiftwell import interface as io
from swiftwell.fronts.trigger import Trigger

PATH = b"/api/v2/"
HEALTH = b"/-/healthy"
MOST_WAIT_DEADLINES = 4.0  # of a class's deadline: a client that says it waits longer is none of ours
MOST_COST_MS = 600_000.0  # ms of work a hint may tell; deadlines are some seconds
MOST_LOAD_MS = 600_000.0  # ms of a load, likewise
MOST_LANES = 64  # lanes of a function; machines have some cores
MOST_MEMORY_MB = 1_048_576.0  # MB, where the settings tell of no machine
_TOKEN = re.compile(rb"[0-9A-Za-z._-]{1,64}").fullmatch  # passed on as it is, so nothing that ends a field
_HEX = re.compile(rb"[0-9a-f]{16}").fullmatch
_NUMBER = re.compile(
    rb"[0-9]{1,15}(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?"
).fullmatch  # no sign, no nan, no inf


class Turned(ValueError):
    """A request that can't be used, and the HTTP status that says so."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class Contract:
    """What the fields are checked against."""

    deadlines_us: dict[str, int]
    tenants: frozenset[str]
    memory_mb: float

    @staticmethod
    def of(told: io.Settings) -> Contract:
        """The contract of the settings."""
        return Contract(
            {request_class.name: request_class.deadline_us for request_class in told.classes},
            frozenset(tenant.name for tenant in told.tenants),
            max((memory for _, memory in told.kind_memory_mb), default=MOST_MEMORY_MB),
        )


def path(fields: dict[bytes, bytes]) -> bytes:
    """Where the request goes."""
    return fields.get(b"SCRIPT_NAME", b"")


def _number(name: str, text: bytes | None, least: float, most: float, default: float | None = None) -> float:
    if text is None:
        if default is not None:
            return default
        raise Turned(400, f"{name} is missing")
    if not _NUMBER(text):
        raise Turned(400, f"{name} is no number")
    value = float(text)
    if not least <= value <= most:
        raise Turned(400, f"{name} is out of range")
    return value


def _name(name: str, text: bytes | None, known: Iterable[str]) -> str:
    found = (text or b"").decode("utf-8", "replace")
    if found not in known:
        raise Turned(404, f"{name} is not known")
    return found


def _hex(name: str, text: bytes | None) -> str:
    if text is None or not _HEX(text):
        raise Turned(400, f"{name} is not 16 hex digits")
    return text.decode()


def _tags(text: bytes | None) -> dict[bytes, bytes]:
    found: dict[bytes, bytes] = {}
    for part in () if text is None else text.split(b";"):
        name, sign, value = part.partition(b":")
        if not sign or name in found:
            raise Turned(400, "X-Tags can't be read")
        found[name] = value
    return found


def read(
    fields: dict[bytes, bytes], body: bytes, contract: Contract, source: str, ref: object, age_us: int = 0
) -> Trigger:
    """Raises Turned.  `age_us`: since the request's last byte came, from which the client's wait counts.

    What only tells more of a request may be absent: not every deployment's clients give hints.  Each request
    of one without them was turned away, as `Req-Cost` had been there wherever the router had been.
    """
    at = path(fields)
    if not at.startswith(PATH):
        raise Turned(404, "no such path")
    request_class = _name("class", at[len(PATH) :], contract.deadlines_us)
    length = fields.get(b"CONTENT_LENGTH")
    if length and (not length.isdigit() or len(length) > 9 or int(length) != len(body)):
        raise Turned(400, "CONTENT_LENGTH is not the body's")
    id_ = _hex("Req-Id", fields.get(b"HTTP_REQ_ID"))
    function = _hex("Req-Key", fields.get(b"HTTP_REQ_KEY"))
    tenant = fields.get(b"HTTP_REQ_OWNER")
    owner = (
        _name("Req-Owner", tenant, contract.tenants)
        if contract.tenants
        else (tenant or b"").decode("latin-1")
    )
    deadline_ms = contract.deadlines_us[request_class] / 1_000
    wait = _number("Req-Wait-Ms", fields.get(b"HTTP_REQ_WAIT_MS"), 0.001, MOST_WAIT_DEADLINES * deadline_ms)
    cost = _number("Req-Cost", fields.get(b"HTTP_REQ_COST"), 0.0, MOST_COST_MS, 0.0)
    token = fields.get(b"HTTP_REQ_TOKEN", b"")
    if token and not _TOKEN(token):
        raise Turned(400, "Req-Token can't be passed on")
    tags = _tags(fields.get(b"HTTP_X_TAGS"))
    memory = _number("memory_mb", tags.get(b"memory_mb"), 0.0, contract.memory_mb, 0.0)
    lanes = _number("lanes", tags.get(b"lanes"), 1, MOST_LANES, 1.0)
    load = _number("load_ms", tags.get(b"load_ms"), 0.0, MOST_LOAD_MS, 0.0)
    if lanes != int(lanes):
        raise Turned(400, "lanes is no whole number")
    return Trigger(
        source, ref, request_class, owner, function, id_, body, int(wait * 1_000) - age_us,
        redelivered=fields.get(b"HTTP_REQ_RETRY") == b"1", token=token.decode(),
        memory_mb=memory, lanes=int(lanes), hint_us=int(cost * 1_000), load_us=int(load * 1_000),
    )  # fmt: skip
