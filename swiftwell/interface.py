"""The types that swiftwell.choice takes and returns: settings, events and actions.

Times and durations are whole microseconds; memory is in MB.  Nothing is decided here.  Events and actions are
named tuples, as a frozen dataclass for each added 1 ms to every start, and hundreds of routers start at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import NamedTuple


class Effect(Enum):
    """Whether a request of a class may be repeated."""

    SAFE = "idempotent"
    KEYED = "deduplicated"  # workers drop repeats of a request for some time
    UNSAFE = "at_most_once"


class State(Enum):
    """State of a worker in the worker list."""

    READY = "Running"
    DRAINING = "Stopping"
    GONE = "Deleted"


class ListKind(Enum):
    """Kind of an update of the worker list."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # all entries: workers left out are gone
    CACHED = "cached"  # all entries, of a saved list
    FAILED = "failed"  # discovery failed: the last list stays in use


class Status(IntEnum):
    """Result of an attempt, a probe or a load order."""

    OK = 0
    CANCELLED = 1
    TIMEOUT = 4
    MISS = 5  # no copy of the function is loaded
    FULL = 8
    MOOT = 9  # not sent, for a reason on the router's side
    RESET = 10
    ERROR = 13
    CONNECT_FAILED = 14


# Results that prove that the call did not run.
NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.MISS})


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests."""

    name: str
    target_us: int  # latency within which an answer has its full worth
    deadline_us: int
    effect: Effect
    scope: str  # all, zone or cell: the workers that drop repeats of each other's keyed requests
    memory_us: int  # for which workers drop repeats of a keyed request
    streamed: bool  # answers begin before they end
    worth: float  # of an answer in time, relative to other classes
    late_worth: float  # share of the worth that a late answer has


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its share of the service."""

    name: str
    share: float
    quota_rps: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration that a router gets when it starts.

    A setting that is not given has the neutral default here, for the simulator's wire and the gateway alike.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    routers: int = 1  # that share the workers, this one included
    position: int = 0  # of this router among them, from 0
    tick_us: int = 1_000  # granularity of timers
    zone: str = ""  # of this router
    kind_memory_mb: tuple[tuple[str, float], ...] = ()  # kind of worker, memory for copies
    idle_life_us: int = 0  # after which a worker may unload an idle copy
    may_load: bool = False  # whether load orders are allowed
    misses: bool = False  # workers without a copy answer MISS; otherwise they load one themselves
    load_free: float = 0.0  # load orders allowed in a window, whatever the traffic
    load_share: float = 0.0  # further load orders for each call received in the window
    load_window_us: int = 0  # 0: no limit on load orders
    order_timeout_us: int = 0
    tells_warm: bool = False  # outcomes report the state of the copy
    tells_crowd: bool = False  # outcomes report how many calls wait for the function
    asked_discovery: bool = False  # the worker list has to be asked for, with `Watch`
    ask_within_us: int = 0  # longest time between such requests; 0: not set
    may_cancel: bool = False
    may_probe: bool = False
    peers: bool = False  # routers may send each other messages
    second_copies: bool = False  # a second attempt may start while the first runs
    retry_after: bool = False  # refusals may carry a delay before a retry
    max_retry_after_us: int = 0
    max_attempts: int = 1  # for one call
    answer_slack_us: int = 0
    cold_share: float = 1.0  # share of its capacity that a worker has when its process starts
    cold_us: int = 0  # after which a started process is warm
    fall_multiple: float = 1.0  # multiple of its capacity that makes a cold worker fail
    fall_us: int = 0  # duration of such a load after which it fails
    drain_grace_us: int | None = None  # None: no rule on drains
    sized_weights: bool = False  # `WorkerEntry.weight` states the size of a worker


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """An entry of the worker list."""

    worker: str
    state: State
    kind: str
    weight: float
    started_us: int  # when its process started; 0: unknown, taken as long ago
    zone: str
    cell: int


class Members(NamedTuple):
    """An update of the worker list."""

    kind: ListKind
    entries: tuple[WorkerEntry, ...]


class Request(NamedTuple):
    """A client's call; hints that are not given are 0."""

    id: str
    request_class: str
    tenant: str
    function: str
    left_us: int  # time left until its deadline
    hint_us: int  # expected run time
    memory_mb: float  # of a copy of the function
    lanes: int  # calls that a copy runs at a time
    load_us: int  # expected load time
    repeated: bool  # the client has sent it before


class Outcome(NamedTuple):
    """The end of an attempt.

    `note` is the state of the copy (0 unknown, 1 loaded already, 2 loaded for this call, 3 waited for a load,
    4 load failed) plus 8 times the number of calls that wait for the function.
    """

    id: str
    attempt: int
    worker: str
    status: Status
    latency_us: int
    closed: bool  # the call has its final answer
    note: int
    report: tuple[tuple[str, float], ...]  # figures of the worker: "rif", the calls that it holds


class First(NamedTuple):
    """The first byte of a streamed answer has arrived."""

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
    """The end of a load order, or of a query (`is_query`)."""

    worker: str
    function: str
    status: Status
    latency_us: int
    copies: int  # loaded now
    is_query: bool = False


class Restarted(NamedTuple):
    """A worker's process may have changed without an update of the list, as that is stale."""

    worker: str


class ListState(NamedTuple):
    """The worker list is stale, or current again.

    While it is stale, the router may be held to changes of workers that it has not received.
    """

    stale: bool


class Left(NamedTuple):
    """The client of a request has disconnected."""

    id: str


class Timer(NamedTuple):
    """A timer set by `SetTimer` has expired."""

    token: int


class Peer(NamedTuple):
    """A message of another router."""

    sender: int
    data: bytes


Event = Members | Request | Outcome | First | Probed | Loaded | Restarted | ListState | Left | Timer | Peer


class Send(NamedTuple):
    """Start an attempt; it is abandoned at `deadline_us`."""

    id: str
    worker: str
    deadline_us: int


class Refuse(NamedTuple):
    """Final answer: not done, or a retry is harmless; the client may retry after `retry_after_us`."""

    id: str
    retry_after_us: int


class Fail(NamedTuple):
    """Final answer: the call may or may not have run."""

    id: str


class Cancel(NamedTuple):
    """Cancel an attempt."""

    id: str
    attempt: int


class Load(NamedTuple):
    """Order a worker to have at least `copies` copies of a function loaded; 0 queries how many are."""

    worker: str
    function: str
    copies: int


class Watch(NamedTuple):
    """Ask discovery for updates of the worker list."""

    enabled: bool


class SetTimer(NamedTuple):
    """Ask for a Timer event."""

    delay_us: int
    token: int


class Log(NamedTuple):
    """A line for the log."""

    text: str


Action = Send | Refuse | Fail | Cancel | Load | Watch | SetTimer | Log
