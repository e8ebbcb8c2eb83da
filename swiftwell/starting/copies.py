"""One load order for a function's copy instead of one from each router.  Decisions, no I/O.

The module decides that a copy is wanted, and at which worker.  Before its load order is sent, one member of
the fleet, the coordinator of that function, is asked; all members rank the candidates alike.  The coordinator
grants the first order, tells the others to wait, and forwards the result: everyone who asked learns of the
loaded copy.  Nothing here is guaranteed: a coordinator that does not answer within REPLY_TIMEOUT_US is
skipped for the next one, and after MAX_ATTEMPTS of them the order is sent as it would be without a fleet.
This bounds the delay of a copy; a restart of a coordinator costs at most one extra order for each copy that
is being loaded.  An order that has to wait is never sent later: orders are counted when they are decided.
"""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import IntEnum

from msgspec import Struct

REPLY_TIMEOUT_US = (
    150_000  # us until a coordinator counts as silent: 100 times the LAN latency, 1/5 of a load
)
MAX_ATTEMPTS = 3  # coordinators asked one after the other
SETTLE_US = 3_000_000  # us after our start in which members we have not heard from may still be alive
ORDER_TIMEOUT_US = 5_000_000  # us until a granted order counts as lost: six times a usual load
COPY_TTL_US = 10_000_000  # us for which a loaded copy is assumed to exist: idle copies live at least as long
MAX_FUNCTIONS = 5_000  # functions tracked; the least recently requested ones are evicted
MAX_WAITING = 256  # members notified of one copy; the others learn of it when they ask again


class MessageKind(IntEnum):
    """Kind of a message about a copy."""

    REQUEST = 0  # may we send a load order?
    GRANT = 1  # yes
    WAIT = 2  # another router's order is in progress
    LOADED = 3  # the copy is loaded
    FAILED = 4  # the granted order failed
    NOT_LOADED = 5  # the order that the receiver waits for failed


class CopyMessage(Struct, frozen=True, array_like=True):
    """A message about a function's copy at a worker; `number` is the requester's own order number."""

    kind: MessageKind
    number: int
    function: str
    worker: str
    copies: int = 0


class Decision(IntEnum):
    """What a router does with its own load order."""

    SEND = 0
    COPY_EXISTS = 1  # a copy is loaded at `worker`
    DROP = 2  # the order is never sent: the module decides anew


@dataclass(frozen=True, slots=True)
class OrderDecision:
    """The decision about the load order with that number."""

    decision: Decision
    number: int
    function: str
    worker: str
    copies: int = 0


@dataclass(slots=True)
class _PendingOrder:
    """A load order of ours that is not granted yet."""

    function: str
    worker: str
    known_copies: int
    coordinator: int  # the member that was asked
    asked_at: int
    attempts: int = 1
    waiting: bool = False  # told to wait for another router's order


@dataclass(slots=True)
class _FunctionState:
    """What we, as its coordinator, know of a function."""

    orders: dict[str, tuple[int, int]] = field(default_factory=dict)  # worker: ordering member, expiry
    loaded: dict[str, int] = field(default_factory=dict)  # worker: expiry
    waiting: dict[int, tuple[int, str]] = field(default_factory=dict)  # member: its order number, worker


Outputs = tuple[list[tuple[int, CopyMessage]], list[OrderDecision]]


def rank_members(group: Collection[int], function: str) -> list[int]:
    """Return the group in the order in which its members coordinate a function; the same at each member."""

    def weight(member: int) -> bytes:
        return hashlib.blake2b(f"{function}\0{member}".encode(), digest_size=8).digest()

    return sorted(group, key=weight)


class CopyCoordinator:
    """One router's part: requests grants for its orders, coordinates the functions it ranks first for."""

    def __init__(self, me: int, group: tuple[int, ...], now: int) -> None:
        self.me, self.group, self.started_at = me, group, now
        self.pending: dict[int, _PendingOrder] = {}
        self.functions: OrderedDict[str, _FunctionState] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self._in_progress: dict[int, tuple[str, str, int]] = {}  # ours: function, worker, granting member

    # Our own orders.

    def request(
        self, now: int, number: int, function: str, worker: str, known_copies: int, living: Collection[int]
    ) -> Outputs:
        """The module wants a copy; `known_copies`: workers that it believes to have one."""
        coordinator = self._coordinator(now, function, 0, living)
        pending = self.pending[number] = _PendingOrder(function, worker, known_copies, coordinator, now)
        return self._ask(now, number, pending)

    def _coordinator(self, now: int, function: str, attempt: int, living: Collection[int]) -> int:
        """Return the member to ask in that attempt, without those that seem dead after SETTLE_US."""
        settled = now - self.started_at >= SETTLE_US
        group = [member for member in self.group if member == self.me or not settled or member in living]
        order = rank_members(group, function)
        return order[attempt] if attempt < len(order) else self.me

    def _ask(self, now: int, number: int, pending: _PendingOrder) -> Outputs:
        message = CopyMessage(
            MessageKind.REQUEST, number, pending.function, pending.worker, pending.known_copies
        )
        if pending.coordinator == self.me:
            sends, decisions = self._on_request(now, self.me, message)
            return sends, decisions
        self.counts["asked"] += 1
        return [(pending.coordinator, message)], []

    def _send_order(self, number: int, pending: _PendingOrder, granted_by: int) -> OrderDecision:
        del self.pending[number]
        if granted_by >= 0:
            self._in_progress[number] = pending.function, pending.worker, granted_by
        return OrderDecision(Decision.SEND, number, pending.function, pending.worker)

    def _drop_order(self, number: int, pending: _PendingOrder) -> OrderDecision:
        del self.pending[number]
        self.counts["nothing"] += 1
        return OrderDecision(Decision.DROP, number, pending.function, pending.worker)

    def order_ended(self, now: int, number: int, copies: int) -> Outputs:
        """An order of ours has ended and left this number of copies."""
        self.pending.pop(number, None)
        if (order := self._in_progress.pop(number, None)) is None:
            return [], []
        function, worker, granted_by = order
        kind = MessageKind.LOADED if copies else MessageKind.FAILED
        message = CopyMessage(kind, number, function, worker, copies)
        return (
            self._on_result(now, self.me, message) if granted_by == self.me else ([(granted_by, message)], [])
        )

    def step(self, now: int, living: Collection[int]) -> Outputs:
        """Handle the time-outs that are due."""
        sends: list[tuple[int, CopyMessage]] = []
        decisions: list[OrderDecision] = []
        for number, pending in list(self.pending.items()):
            if pending.waiting and now - pending.asked_at >= ORDER_TIMEOUT_US:
                decisions.append(self._drop_order(number, pending))
            elif not pending.waiting and now - pending.asked_at >= REPLY_TIMEOUT_US:
                self.counts["silent"] += 1
                if pending.attempts >= MAX_ATTEMPTS:
                    decisions.append(self._send_order(number, pending, -1))
                    continue
                pending.coordinator, pending.asked_at = (
                    self._coordinator(now, pending.function, pending.attempts, living),
                    now,
                )
                pending.attempts += 1
                self._extend((sends, decisions), self._ask(now, number, pending))
        for name, function in list(self.functions.items()):
            expired = [worker for worker, (_, expires_at) in function.orders.items() if now >= expires_at]
            for worker in expired:
                del function.orders[worker]
            if expired and not function.orders:
                self._extend(
                    (sends, decisions),
                    self._notify_waiting(now, name, function, MessageKind.NOT_LOADED, "", 0),
                )
        return sends, decisions

    @staticmethod
    def _extend(outputs: Outputs, more: Outputs) -> None:
        outputs[0].extend(more[0])
        outputs[1].extend(more[1])

    # Messages from other members.

    def handle(self, now: int, sender: int, message: CopyMessage) -> Outputs:
        """Handle a member's message; returns the replies and the decisions about our own orders."""
        if message.kind is MessageKind.REQUEST:
            return self._on_request(now, sender, message)
        if message.kind is MessageKind.FAILED or (
            message.kind is MessageKind.LOADED and message.number not in self.pending
        ):
            return self._on_result(now, sender, message)
        pending = self.pending.get(message.number)
        if pending is None or pending.function != message.function:
            return [], []  # late: the order has been sent
        match message.kind:
            case MessageKind.GRANT:
                return [], [self._send_order(message.number, pending, sender)]
            case MessageKind.WAIT:
                pending.waiting, pending.asked_at = True, now
            case MessageKind.LOADED:
                del self.pending[message.number]
                self.counts["spared"] += 1
                return [], [
                    OrderDecision(
                        Decision.COPY_EXISTS, message.number, message.function, message.worker, message.copies
                    )
                ]
            case MessageKind.NOT_LOADED:
                return [], [self._drop_order(message.number, pending)]
        return [], []

    def _function(self, name: str) -> _FunctionState:
        function = self.functions.get(name)
        if function is None:
            function = self.functions[name] = _FunctionState()
            if len(self.functions) > MAX_FUNCTIONS:
                self.functions.popitem(last=False)
        self.functions.move_to_end(name)
        return function

    def _on_request(self, now: int, sender: int, message: CopyMessage) -> Outputs:
        function = self._function(message.function)
        function.loaded = {
            worker: expires_at for worker, expires_at in function.loaded.items() if expires_at > now
        }
        function.orders = {worker: order for worker, order in function.orders.items() if order[1] > now}
        loaded_at = message.worker if message.worker in function.loaded else ""
        if not loaded_at and not message.copies:  # the requester knows of no copy: any will do
            loaded_at = next(iter(function.loaded), "")
        if loaded_at:
            return self._reply(
                now, sender, CopyMessage(MessageKind.LOADED, message.number, message.function, loaded_at, 1)
            )
        if message.worker in function.orders or (function.orders and not function.loaded):
            if len(function.waiting) < MAX_WAITING:
                function.waiting[sender] = message.number, message.worker
            return self._reply(
                now, sender, CopyMessage(MessageKind.WAIT, message.number, message.function, message.worker)
            )
        function.orders[message.worker] = sender, now + ORDER_TIMEOUT_US
        self.counts["let-go"] += 1
        return self._reply(
            now, sender, CopyMessage(MessageKind.GRANT, message.number, message.function, message.worker)
        )

    def _reply(self, now: int, to: int, message: CopyMessage) -> Outputs:
        return self.handle(now, self.me, message) if to == self.me else ([(to, message)], [])

    def _on_result(self, now: int, sender: int, message: CopyMessage) -> Outputs:
        """Record the result of an order that we granted, or of one that was sent without a grant."""
        function = self._function(message.function)
        function.orders.pop(message.worker, None)
        if message.kind is MessageKind.LOADED:
            function.loaded[message.worker] = now + COPY_TTL_US
            return self._notify_waiting(
                now, message.function, function, MessageKind.LOADED, message.worker, message.copies
            )
        function.loaded.pop(message.worker, None)
        return self._notify_waiting(now, message.function, function, MessageKind.NOT_LOADED, "", 0)

    def _notify_waiting(
        self, now: int, name: str, function: _FunctionState, kind: MessageKind, worker: str, copies: int
    ) -> Outputs:
        """Send the result to all members that wait for it."""
        outputs: Outputs = [], []
        waiting, function.waiting = function.waiting, {}
        for member, (number, wanted_at) in waiting.items():
            message = CopyMessage(kind, number, name, worker or wanted_at, copies)
            self._extend(outputs, self._reply(now, member, message))
        return outputs

    def sizes(self) -> dict[str, int]:
        """Return the number of entries held in each table."""
        return {
            "wishes": len(self.pending),
            "functions": len(self.functions),
            "under-way": len(self._in_progress),
        }
