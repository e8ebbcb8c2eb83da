"""What goes into the engine and what comes out of it: its whole seam to the shell.

Times are monotonic microseconds unless a name says `wall`.
"""

from __future__ import annotations

from msgspec import Struct

from swiftwell.fronts.trigger import Answer, Ran, Trigger
from swiftwell.gateway.effects import Record
from swiftwell.interface import Members, Status, WorkerEntry


class Arrive(Struct, frozen=True):
    """A front has taken a trigger; its time left counts from `at_us`, where that is told."""

    trigger: Trigger
    at_us: int = 0


class Gone(Struct, frozen=True):
    """A front's peer is gone for good: its triggers can't be answered any more."""

    source: str


class AttemptEnd(Struct, frozen=True):
    """How an attempt ended: each `Start` gets exactly one.

    `ran` is what the socket proves; `found` 0 untold, 1 warm, 2 loaded, 3 waited, 4 the load failed; `crowd`
    calls of the same function that stood there; `held` calls the worker held, -1 untold.
    """

    id: str
    number: int
    status: Status
    ran: Ran
    body: bytes = b""
    latency_us: int = 0
    found: int = 0
    crowd: int = 0
    held: float = -1.0
    draining: bool = False
    too_large: bool = False
    started_us: int = 0  # the worker's own word of its start
    answered: bool = False  # the worker said something, whatever it was
    sent_us: int = 0  # when its bytes were handed over, where that is told


class FirstByte(Struct, frozen=True):
    """The answer of an attempt of a streamed class has begun."""

    id: str
    number: int


class OrderEnd(Struct, frozen=True):
    """How an order to load (or a question) ended."""

    number: int
    status: Status
    copies: int
    latency_us: int = 0
    draining: bool = False
    started_us: int = 0
    answered: bool = False
    sent_us: int = 0  # when its bytes were handed over, where that is told


class WorkerConnected(Struct, frozen=True):
    """A connection to a worker came up."""

    worker: str
    at_us: int


class WorkerDisconnected(Struct, frozen=True):
    """A connection to a worker that had come up has ended."""

    worker: str
    at_us: int


class Copy(Struct, frozen=True):
    """Another gateway knows of copies of a function at a worker."""

    worker: str
    function: str
    copies: int


class Listed(Struct, frozen=True):
    """A live list of workers, or a change to it."""

    members: Members


class Saved(Struct, frozen=True):
    """A list from disk or from a peer; each entry with the age in us of its last word, None where it is
    unknown."""

    entries: tuple[tuple[WorkerEntry, int | None], ...]


class Asked(Struct, frozen=True):
    """How a question to a worker ended."""

    worker: str
    answered: bool
    draining: bool = False
    started_us: int = 0


class Durable(Struct, frozen=True):
    """All `Write`s up to this number (counted from 1) are on disk."""

    number: int


class LedgerDown(Struct, frozen=True):
    """The journal can't be written any more."""

    why: str


class Stop(Struct, frozen=True):
    """The gateway is told to end: nothing new is taken.

    `by_us`: when every call that is still open gets its answer, whatever it waits for; 0 where each has all
    of its own time.
    """

    by_us: int = 0


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
    """Send an attempt to a worker; its time left counts from `at_us`, where that is told.

    `by_us`: it must not go out later, as its repeats are not dropped any more; 0 where it may.
    """

    id: str
    number: int
    worker: str
    trigger: Trigger
    left_us: int
    streamed: bool = False
    at_us: int = 0
    by_us: int = 0


class Abandon(Struct, frozen=True):
    """Stop waiting for an attempt; its `AttemptEnd` says `status`, or that it was never sent."""

    id: str
    number: int
    status: Status


class Withdraw(Struct, frozen=True):
    """Nobody waits for a call any more: an attempt of which nothing was handed over yet is taken back.

    Its `AttemptEnd` says that it never ran; one that was written is left as it is.
    """

    id: str
    number: int


class Recall(Struct, frozen=True):
    """An order has ended in the engine: it is not sent any more, and its answer means nothing."""

    number: int


class Order(Struct, frozen=True):
    """Order copies at a worker; `copies` 0 asks only."""

    number: int
    worker: str
    function: str
    copies: int
    memory_mb: float
    lanes: int


class Ask(Struct, frozen=True):
    """Ask a worker whether it is there; `Asked` follows."""

    worker: str
    within_us: int


class Reply(Struct, frozen=True):
    """The final answer to one trigger."""

    trigger: Trigger
    answer: Answer


class Accepted(Struct, frozen=True):
    """The trigger is taken: for an unsafe class its intent is on disk.  Never after its `Reply`."""

    trigger: Trigger


class Write(Struct, frozen=True):
    """Make a ledger record durable; `Durable` tells when."""

    record: Record


class AskList(Struct, frozen=True):
    """Ask discovery for changes, or stop asking."""

    on: bool


class Line(Struct, frozen=True):
    """A line for the log; `level` is a structlog level, `event` a word from docs/gateway.md."""

    level: str
    event: str
    fields: tuple[tuple[str, object], ...] = ()


Output = Start | Abandon | Withdraw | Recall | Order | Ask | Reply | Accepted | Write | AskList | Line
