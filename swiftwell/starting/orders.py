"""Passes outgoing load orders through the fleet's `copies.CopyCoordinator` first.  Decides nothing itself."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from swiftwell.fleet.link import FleetLink
from swiftwell.gateway import ports
from swiftwell.interface import Status
from swiftwell.starting.copies import CopyCoordinator, CopyMessage, Decision, Outputs

NAME = "copies"  # name of these messages in the fleet

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(CopyMessage).decode


class Orders:
    """`send` transmits an order to its worker; `enqueue` passes results to the engine."""

    def __init__(
        self, link: FleetLink, send: Callable[[ports.Order], None], enqueue: Callable[[ports.Input], None]
    ) -> None:
        self._link, self._send, self._enqueue = link, send, enqueue
        settings = link.node.settings
        self.coordinator = CopyCoordinator(settings.me, tuple(range(len(settings.roster))), link.now_us())
        self._held: dict[int, ports.Order] = {}
        link.node.message_handlers[NAME] = self._on_message

    def order(self, order: ports.Order, known_copies: int) -> None:
        """Coordinate a load order of the module; a query (zero copies wanted) is sent as it is."""
        if not order.copies:
            return self._send(order)
        self._held[order.number] = order
        now = self._link.now_us()
        self._execute(
            self.coordinator.request(
                now, order.number, order.function, order.worker, known_copies, self._living()
            )
        )

    def ended(self, end: ports.OrderEnd) -> None:
        """An order has ended; it may never have been sent."""
        self._held.pop(end.number, None)
        copies = end.copies if end.status is Status.OK else 0
        self._execute(self.coordinator.order_ended(self._link.now_us(), end.number, copies))

    def recall(self, recall: ports.Recall) -> bool:
        """Drop an order that timed out in the engine; returns whether it had not been sent."""
        unsent = recall.number in self._held
        if unsent:
            self.ended(ports.OrderEnd(recall.number, Status.TIMEOUT, 0))
        return unsent

    def step(self) -> None:
        """Handle the time-outs that are due; called periodically."""
        self._execute(self.coordinator.step(self._link.now_us(), self._living()))

    def _living(self) -> list[int]:
        return self._link.node.members.alive()

    def _on_message(self, now: int, sender: int, body: bytes) -> None:
        try:
            message = _decode(body)
        except (msgspec.DecodeError, ValueError):
            self.coordinator.counts["unreadable"] += 1
            return
        self._execute(self.coordinator.handle(now, sender, message))

    def _execute(self, outputs: Outputs) -> None:
        sends, decisions = outputs
        for to, message in sends:
            self._link.node.send_message(to, NAME, _encode(message))
        if sends:
            self._link.wake()
        for decision in decisions:
            order = self._held.pop(decision.number, None)
            if order is None:
                continue  # it has timed out
            if decision.decision is Decision.SEND:
                self._send(order)
                continue
            # With a copy at another worker, the module learns of that copy first, then that our order failed.
            here = decision.decision is Decision.COPY_EXISTS and decision.worker == order.worker
            if decision.decision is Decision.COPY_EXISTS and not here:
                self._enqueue(ports.Copy(decision.worker, decision.function, decision.copies))
            status = Status.OK if here else Status.FULL
            self._enqueue(ports.OrderEnd(decision.number, status, decision.copies if here else 0))
