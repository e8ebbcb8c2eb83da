"""Orders to load on their way out: the fleet is asked first, by `copies.Copies`.  Nothing is decided here."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from swiftwell.fleet.link import FleetLink
from swiftwell.gateway import ports
from swiftwell.interface import Status
from swiftwell.starting.copies import Copies, Do, Out, Word

NAME = "copies"  # of these words in the fleet

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Word).decode


class Orders:
    """`send` carries an order out; `put` takes what happened to the engine."""

    def __init__(
        self, link: FleetLink, send: Callable[[ports.Order], None], put: Callable[[ports.Input], None]
    ) -> None:
        self._link, self._send, self._put = link, send, put
        told = link.node.settings
        self.copies = Copies(told.me, tuple(range(len(told.roster))), link.now_us())
        self._held: dict[int, ports.Order] = {}
        link.node.message_handlers[NAME] = self._take

    def order(self, act: ports.Order, known: int) -> None:
        """An order of the module's; questions (no copies wanted) go out as they are."""
        if not act.copies:
            return self._send(act)
        self._held[act.number] = act
        now = self._link.now_us()
        self._carry(self.copies.want(now, act.number, act.function, act.worker, known, self._living()))

    def ended(self, end: ports.OrderEnd) -> None:
        """An order has ended, also one that never went out."""
        self._held.pop(end.number, None)
        copies = end.copies if end.status is Status.OK else 0
        self._carry(self.copies.ended(self._link.now_us(), end.number, copies))

    def recall(self, act: ports.Recall) -> bool:
        """An order whose time is up in the engine goes out no more; whether it was still here."""
        here = act.number in self._held
        if here:
            self.ended(ports.OrderEnd(act.number, Status.TIMEOUT, 0))
        return here

    def look(self) -> None:
        """Now and then."""
        self._carry(self.copies.step(self._link.now_us(), self._living()))

    def _living(self) -> list[int]:
        return self._link.node.members.alive()

    def _take(self, now: int, sender: int, body: bytes) -> None:
        try:
            word = _decode(body)
        except (msgspec.DecodeError, ValueError):
            self.copies.counts["unreadable"] += 1
            return
        self._carry(self.copies.take(now, sender, word))

    def _carry(self, out: Out) -> None:
        sends, acts = out
        for to, word in sends:
            self._link.node.send_message(to, NAME, _encode(word))
        if sends:
            self._link.wake()
        for act in acts:
            order = self._held.pop(act.number, None)
            if order is None:
                continue  # it timed out meanwhile
            if act.do is Do.ORDER:
                self._send(order)
                continue
            # Where it stands elsewhere, the module hears of that copy first, and that ours came to nothing.
            here = act.do is Do.STANDS and act.worker == order.worker
            if act.do is Do.STANDS and not here:
                self._put(ports.Copy(act.worker, act.function, act.copies))
            status = Status.OK if here else Status.FULL
            self._put(ports.OrderEnd(act.number, status, act.copies if here else 0))
