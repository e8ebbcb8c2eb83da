"""The types that swiftwell.choice takes and returns: settings, events and actions.

Times and durations are whole microseconds; memory is in MB.  Nothing is decided here.  Events and actions are
named tuples: a frozen dataclass each took 1 ms of every start, of which hundreds of routers make one at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple


class Effect(Enum):
    """What a repeat of a request of a class does."""

    SAFE = "idempotent"
    KEYED = "deduplicated"
    UNSAFE = "at_most_once"


class State(Enum):
    """What the list says of a worker."""

    READY = "Running"
    DRAINING = "Stopping"
    GONE = "Deleted"


class ListKind(Enum):
    """How an update of the list of workers is to be read."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Status(IntEnum):
    """How an attempt, a probe or an order ended."""

    OK = 0
    CANCELLED = 1
    TIMEOUT = 4
    MISS = 5
    FULL = 8
    MOOT = 9
    RESET = 10
    ERROR = 13
    CONNECT_FAILED = 14


NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.MISS})


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests; `scope` is all, zone or cell."""

    name: str
    target_us: int
    deadline_us: int
    effect: Effect
    scope: str
    memory_us: int
    streamed: bool
    worth: float
    late_worth: float


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its share of the service."""

    name: str
    share: float
    quota_rps: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What one router is told when it starts.

    A value that is not told is neutral: the default here, for the bench's wire and the running gateway alike.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    routers: int = 1
    position: int = 0
    tick_us: int = 1_000
    zone: str = ""
    kind_memory_mb: tuple[tuple[str, float], ...] = ()
    idle_life_us: int = 0
    may_load: bool = False
    misses: bool = False
    load_free: float = 0.0
    load_share: float = 0.0
    load_window_us: int = 0
    order_timeout_us: int = 0
    tells_warm: bool = False
    tells_crowd: bool = False
    asked_discovery: bool = False
    ask_within_us: int = 0
    may_cancel: bool = False
    may_probe: bool = False
    peers: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    max_attempts: int = 1
    answer_slack_us: int = 0
    cold_share: float = 1.0
    cold_us: int = 0
    fall_multiple: float = 1.0
    fall_us: int = 0
    drain_grace_us: int | None = None  # None: no rule on drains
    sized_weights: bool = False


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One line of the list of workers; `started_us` 0 means long ago, untold."""

    worker: str
    state: State
    kind: str
    weight: float
    started_us: int
    zone: str
    cell: int


class Members(NamedTuple):
    """An update of the list of workers."""

    how: ListKind
    entries: tuple[WorkerEntry, ...]


class Request(NamedTuple):
    """A client's call; hints that are not told are 0."""

    id: str
    request_class: str
    tenant: str
    function: str
    left_us: int
    hint_us: int
    memory_mb: float
    lanes: int
    load_us: int
    repeated: bool


class Outcome(NamedTuple):
    """The end of an attempt."""

    id: str
    attempt: int
    worker: str
    status: Status
    latency_us: int
    closed: bool
    note: int
    report: tuple[tuple[str, float], ...]


class First(NamedTuple):
    """The answer of a streamed request has begun."""

    id: str
    attempt: int
    worker: str


class Probed(NamedTuple):
    """The answer to a probe."""

    worker: str
    status: Status
    latency_us: int
    report: tuple[tuple[str, float], ...]


class Loaded(NamedTuple):
    """The answer to an order, or to a question (`asked`): so many copies stand."""

    worker: str
    function: str
    status: Status
    latency_us: int
    copies: int
    asked: bool = False


class Restarted(NamedTuple):
    """A worker's process may be another one than before, of which the list could not tell."""

    worker: str


class ListState(NamedTuple):
    """The list is stale (what went unheard may count as told), or current again."""

    stale: bool


class Left(NamedTuple):
    """The client of a request has gone."""

    id: str


class Timer(NamedTuple):
    """A timer has come due."""

    token: int


class Peer(NamedTuple):
    """A message of another router."""

    sender: int
    data: bytes


Event = Members | Request | Outcome | First | Probed | Loaded | Restarted | ListState | Left | Timer | Peer


class Send(NamedTuple):
    """Start an attempt; it is abandoned at `until_us`."""

    id: str
    worker: str
    until_us: int


class Refuse(NamedTuple):
    """Final answer: not done, a retry is harmless."""

    id: str
    wait_us: int


class Fail(NamedTuple):
    """Final answer that promises nothing."""

    id: str


class Cancel(NamedTuple):
    """Stop waiting for an attempt."""

    id: str
    attempt: int


class Load(NamedTuple):
    """Hold at least so many copies of a function; 0 only asks."""

    worker: str
    function: str
    copies: int


class Watch(NamedTuple):
    """Ask discovery for changes."""

    on: bool


class SetTimer(NamedTuple):
    """Ask for a Timer event."""

    delay_us: int
    token: int


class Log(NamedTuple):
    """A line for those on call."""

    text: str


Action = Send | Refuse | Fail | Cancel | Load | Watch | SetTimer | Log
