"""Turns the fields of a request into a `Trigger`, or rejects them with an HTTP status.  No I/O."""

from __future__ import annotations

import re
from collections.abc import Container, Iterable
from dataclasses import dataclass

from swiftwell import interface as io
from swiftwell.fronts.trigger import Trigger

PATH = b"/api/v2/"
HEALTH = b"/-/healthy"
MAX_WAIT_DEADLINES = 4.0  # longest client wait, in deadlines of its class; no proper client waits longer
MAX_COST_MS = 600_000.0  # of a work hint; deadlines are a few seconds
MAX_LOAD_MS = 600_000.0  # of a load hint, likewise
RETRY_AFTER_MS = 100  # after an early refusal: the interval in which overload is judged
DEFAULT_TARGET_US = 1_000_000  # where the settings give no class
MAX_LANES = 64  # of a function; machines have a few cores
MAX_MEMORY_MB = 1_048_576.0  # where the settings give no machine
_TOKEN = re.compile(rb"[0-9A-Za-z._-]{1,64}").fullmatch  # sent to workers unquoted: no field separators
_HEX = re.compile(rb"[0-9a-f]{16}").fullmatch
# No sign, no nan, no inf.
_NUMBER = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,15})?([eE][+-]?[0-9]{1,2})?").fullmatch


class Rejected(ValueError):
    """A request that is invalid, with the HTTP status of the response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class Contract:
    """The settings that fields are validated against."""

    deadlines_us: dict[str, int]
    tenants: frozenset[str]
    memory_mb: float
    shortest_target_us: int = DEFAULT_TARGET_US  # of a class
    retry_after_ms: int = 0  # that clients are to stay away after a refusal for lack of time; 0: not said

    @staticmethod
    def of(settings: io.Settings) -> Contract:
        """Take the contract from the settings."""
        return Contract(
            {request_class.name: request_class.deadline_us for request_class in settings.classes},
            frozenset(tenant.name for tenant in settings.tenants),
            max((memory for _, memory in settings.kind_memory_mb), default=MAX_MEMORY_MB),
            min((c.target_us for c in settings.classes), default=DEFAULT_TARGET_US),
            min(RETRY_AFTER_MS, settings.max_retry_after_us // 1_000) if settings.retry_after else 0,
        )


def path(fields: dict[bytes, bytes]) -> bytes:
    """The path of the request."""
    return fields.get(b"SCRIPT_NAME", b"")


def is_open(fields: dict[bytes, bytes], open_ids: Container[str]) -> bool:
    """Whether a request has the id of an open one."""
    return fields.get(b"HTTP_REQ_ID", b"").decode("latin-1") in open_ids


def _number(
    name: str, text: bytes | None, minimum: float, maximum: float, default: float | None = None
) -> float:
    if text is None:
        if default is not None:
            return default
        raise Rejected(400, f"{name} is missing")
    if not _NUMBER(text):
        raise Rejected(400, f"{name} is no number")
    value = float(text)
    if not minimum <= value <= maximum:
        raise Rejected(400, f"{name} is out of range")
    return value


def _name(name: str, text: bytes | None, known: Iterable[str]) -> str:
    decoded = (text or b"").decode("utf-8", "replace")
    if decoded not in known:
        raise Rejected(404, f"{name} is not known")
    return decoded


def _hex(name: str, text: bytes | None) -> str:
    if text is None or not _HEX(text):
        raise Rejected(400, f"{name} is not 16 hex digits")
    return text.decode()


def _tags(text: bytes | None) -> dict[bytes, bytes]:
    tags: dict[bytes, bytes] = {}
    for part in () if text is None else text.split(b";"):
        name, sign, value = part.partition(b":")
        if not sign or name in tags:
            raise Rejected(400, "X-Tags can't be read")
        tags[name] = value
    return tags


def read(
    fields: dict[bytes, bytes], body: bytes, contract: Contract, source: str, ref: object, age_us: int = 0
) -> Trigger:
    """Read the trigger of a request; raises Rejected.

    `age_us`: time since the request's last byte arrived, from which the client's wait counts.  Hints
    (`Req-Cost`, `X-Tags`) may be absent, as not every deployment's clients send them; requiring `Req-Cost`
    rejected all requests of one deployment.
    """
    target = path(fields)
    if not target.startswith(PATH):
        raise Rejected(404, "no such path")
    request_class = _name("class", target[len(PATH) :], contract.deadlines_us)
    length = fields.get(b"CONTENT_LENGTH")
    if length and (not length.isdigit() or len(length) > 9 or int(length) != len(body)):
        raise Rejected(400, "CONTENT_LENGTH is not the body's")
    id_ = _hex("Req-Id", fields.get(b"HTTP_REQ_ID"))
    function = _hex("Req-Key", fields.get(b"HTTP_REQ_KEY"))
    tenant = fields.get(b"HTTP_REQ_OWNER")
    owner = (
        _name("Req-Owner", tenant, contract.tenants)
        if contract.tenants
        else (tenant or b"").decode("latin-1")
    )
    deadline_ms = contract.deadlines_us[request_class] / 1_000
    wait_ms = _number("Req-Wait-Ms", fields.get(b"HTTP_REQ_WAIT_MS"), 0.001, MAX_WAIT_DEADLINES * deadline_ms)
    cost_ms = _number("Req-Cost", fields.get(b"HTTP_REQ_COST"), 0.0, MAX_COST_MS, 0.0)
    token = fields.get(b"HTTP_REQ_TOKEN", b"")
    if token and not _TOKEN(token):
        raise Rejected(400, "Req-Token can't be passed on")
    tags = _tags(fields.get(b"HTTP_X_TAGS"))
    memory_mb = _number("memory_mb", tags.get(b"memory_mb"), 0.0, contract.memory_mb, 0.0)
    lanes = _number("lanes", tags.get(b"lanes"), 1, MAX_LANES, 1.0)
    load_ms = _number("load_ms", tags.get(b"load_ms"), 0.0, MAX_LOAD_MS, 0.0)
    if lanes != int(lanes):
        raise Rejected(400, "lanes is no whole number")
    return Trigger(
        source, ref, request_class, owner, function, id_, body, int(wait_ms * 1_000) - age_us,
        redelivered=fields.get(b"HTTP_REQ_RETRY") == b"1", token=token.decode(),
        memory_mb=memory_mb, lanes=int(lanes), hint_us=int(cost_ms * 1_000), load_us=int(load_ms * 1_000),
    )  # fmt: skip
