"""The engine's inputs and outputs: its whole interface to the shell.

Times are monotonic microseconds unless a name contains `wall`.
"""

from __future__ import annotations

from msgspec import Struct

from swiftwell.fronts.trigger import Answer, Ran, Trigger
from swiftwell.gateway.effects import Record
from swiftwell.interface import Members, Status, WorkerEntry


class Arrive(Struct, frozen=True):
    """A front has received a trigger; its time left counts from `at_us`, or from now if that is 0."""

    trigger: Trigger
    at_us: int = 0


class Gone(Struct, frozen=True):
    """A front's peer has left for good: its triggers can no longer be answered."""

    source: str


class AttemptEnd(Struct, frozen=True):
    """The outcome of an attempt: each `Start` gets exactly one.

    `ran`: what the socket proves.  `copy_state`: 0 not reported, 1 warm, 2 loaded, 3 waited for a load, 4 the
    load failed.  `function_calls_waiting`: calls of the same function that were at the worker.
    `worker_calls_held`: calls that the worker held, -1 if not reported.
    """

    id: str
    number: int
    status: Status
    ran: Ran
    body: bytes = b""
    latency_us: int = 0
    copy_state: int = 0
    function_calls_waiting: int = 0
    worker_calls_held: float = -1.0
    draining: bool = False
    too_large: bool = False
    started_us: int = 0  # the worker's start, as it reports it
    answered: bool = False  # the worker gave any answer
    sent_us: int = 0  # when its bytes were handed to the kernel; 0 if not known


class FirstByte(Struct, frozen=True):
    """The answer of an attempt of a streamed class has begun."""

    id: str
    number: int


class OrderEnd(Struct, frozen=True):
    """The outcome of a load order, or of a query (a load order with zero copies)."""

    number: int
    status: Status
    copies: int
    latency_us: int = 0
    draining: bool = False
    started_us: int = 0
    answered: bool = False
    sent_us: int = 0  # when its bytes were handed to the kernel; 0 if not known


class WorkerConnected(Struct, frozen=True):
    """A connection to a worker was established."""

    worker: str
    at_us: int


class WorkerDisconnected(Struct, frozen=True):
    """An established connection to a worker was closed."""

    worker: str
    at_us: int


class Copy(Struct, frozen=True):
    """Another gateway reports copies of a function at a worker."""

    worker: str
    function: str
    copies: int


class Listed(Struct, frozen=True):
    """A live worker list, or a change to it."""

    members: Members


class Saved(Struct, frozen=True):
    """A worker list from disk or a peer; each entry with the age in us of its last report, None if
    unknown."""

    entries: tuple[tuple[WorkerEntry, int | None], ...]


class Asked(Struct, frozen=True):
    """The outcome of a health probe (`Ask`)."""

    worker: str
    answered: bool
    draining: bool = False
    started_us: int = 0


class Durable(Struct, frozen=True):
    """All `Write`s up to this number (counted from 1) are on disk."""

    number: int


class LedgerDown(Struct, frozen=True):
    """The journal can no longer be written."""

    reason: str


class Stop(Struct, frozen=True):
    """The gateway shuts down: no new call is accepted.

    `deadline_us`: when each call that is still open is answered, whatever its state; 0 if each keeps its own
    deadline.
    """

    deadline_us: int = 0


Input = (
    Arrive
    | Gone
    | AttemptEnd
    | FirstByte
    | OrderEnd
    | WorkerConnected
    | WorkerDisconnected
    | Listed
    | Saved
    | Asked
    | Durable
    | LedgerDown
    | Stop
)


class Start(Struct, frozen=True):
    """Send an attempt to a worker; its time left counts from `at_us`, or from now if that is 0.

    `send_before_us`: it must not be sent later, as workers no longer drop its repeats; 0 without a limit.
    `only_listed`: only to the very process that the worker list names, as its repeats depend on that.
    """

    id: str
    number: int
    worker: str
    trigger: Trigger
    left_us: int
    streamed: bool = False
    at_us: int = 0
    send_before_us: int = 0
    only_listed: bool = False


class Abandon(Struct, frozen=True):
    """Stop waiting for an attempt; its `AttemptEnd` has this status, or says that it was never sent."""

    id: str
    number: int
    status: Status


class Withdraw(Struct, frozen=True):
    """Nobody waits for the call any more: its attempt must have begun by now, or must never begin.

    One of which no byte was sent is cancelled; its `AttemptEnd` says that it never ran.  One that was sent
    ends by its answer, or with its connection if nothing shows that it has arrived.
    """

    id: str
    number: int


class Recall(Struct, frozen=True):
    """The engine has closed a load order: it is no longer sent, and its answer is ignored."""

    number: int


class Order(Struct, frozen=True):
    """Order a worker to load copies of a function; `copies` 0 only queries how many it has."""

    number: int
    worker: str
    function: str
    copies: int
    memory_mb: float
    lanes: int


class Ask(Struct, frozen=True):
    """Probe whether a worker is alive; `Asked` follows."""

    worker: str
    timeout_us: int


class Reply(Struct, frozen=True):
    """The final answer to one trigger."""

    trigger: Trigger
    answer: Answer


class Accepted(Struct, frozen=True):
    """The trigger is accepted: for an unsafe class its intent is on disk.  Never after its `Reply`."""

    trigger: Trigger


class Write(Struct, frozen=True):
    """Make a ledger record durable; `Durable` confirms it."""

    record: Record


class AskList(Struct, frozen=True):
    """Subscribe to changes from discovery, or stop."""

    on: bool


class Line(Struct, frozen=True):
    """A log line; `level` is a structlog level, `event` one of the events listed in docs/gateway.md."""

    level: str
    event: str
    fields: tuple[tuple[str, object], ...] = ()


Output = Start | Abandon | Withdraw | Recall | Order | Ask | Reply | Accepted | Write | AskList | Line
