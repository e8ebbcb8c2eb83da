"""What an MQTT session owes and is owed: packet identifiers, acknowledgements, windows.  State only, no I/O.

One `Session` stands for one side of one client's session, whichever side that is, and outlives its
connections.
`Outbox` sends messages under the peer's Receive Maximum and a bound of its own; `Inbox` tells new messages
from repeated
ones and says when each may be acknowledged.  Both give packets to send; the caller encodes them.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import replace

from swiftwell.fronts.mqtt.codec import MOST_ID, Ack, ProtocolError, Publish, Reason, Type

SUBSCRIBE_ID = MOST_ID  # kept out of the messages' identifiers, which share their numbers with subscriptions


class Outbox:
    """Messages to the peer.

    `window` is the peer's Receive Maximum: messages of QoS 1 and 2 without a final acknowledgement.  At
    most `bound` wait
    beyond it; `put` answers False when there is no room, and the caller decides what that means.
    """

    def __init__(self, window: int = 65_535, bound: int = 1_000) -> None:
        self.window, self.bound = window, bound
        self._waiting: deque[Publish] = deque()
        self._flight: OrderedDict[int, Publish | None] = OrderedDict()  # None: PUBREC came, PUBREL is out
        self._next = 0

    def __len__(self) -> int:
        return len(self._waiting) + len(self._flight)

    def put(self, message: Publish) -> tuple[bool, list[Publish]]:
        """Take a message; gives whether there was room, and the packets to send now."""
        if message.qos == 0:
            return True, [message]
        if len(self._flight) >= self.window and len(self._waiting) >= self.bound:
            return False, []
        self._waiting.append(message)
        return True, self._fill()

    def _fill(self) -> list[Publish]:
        out = []
        while self._waiting and len(self._flight) < min(self.window, SUBSCRIBE_ID - 1):
            self._next = self._next % (SUBSCRIBE_ID - 1) + 1
            while self._next in self._flight:
                self._next = self._next % (SUBSCRIBE_ID - 1) + 1
            message = replace(self._waiting.popleft(), id=self._next, dup=False)
            self._flight[message.id] = message
            out.append(message)
        return out

    def acked(self, ack: Ack) -> list[Publish | Ack]:
        """Take PUBACK, PUBREC or PUBCOMP; gives what is to be sent now.  Unknown identifiers are no error
        (4.3)."""
        known = ack.id in self._flight
        message = self._flight.get(ack.id)
        if ack.type is Type.PUBREC:
            if ack.reason >= 0x80:  # the peer will not have it (4.3.3)
                self._flight.pop(ack.id, None)
                return list(self._fill())
            if known and (message is None or message.qos == 2):
                self._flight[ack.id] = None
                return [Ack(Type.PUBREL, ack.id)]
            if known:
                raise ProtocolError(Reason.PROTOCOL_ERROR, "PUBREC for a message of QoS 1")
            return [Ack(Type.PUBREL, ack.id, Reason.ID_NOT_FOUND)]
        if not known:
            return []
        if (ack.type is Type.PUBACK) != (message is not None and message.qos == 1):
            raise ProtocolError(Reason.PROTOCOL_ERROR, f"{ack.type.name} does not fit the message's QoS")
        del self._flight[ack.id]
        return list(self._fill())

    def resume(self) -> list[Publish | Ack]:
        """What is sent again when the session goes on over a new connection (4.4), in the first order."""
        out: list[Publish | Ack] = []
        for number, message in self._flight.items():
            out.append(replace(message, dup=True) if message else Ack(Type.PUBREL, number))
        return [*out, *self._fill()]

    def unacknowledged(self) -> list[Publish]:
        """Messages sent and not acknowledged yet."""
        return [message for message in self._flight.values() if message]

    def reset(self) -> list[Publish]:
        """The peer has lost the session: what it may not have got is sent anew, as new messages."""
        again = self.unacknowledged()
        self._flight.clear()
        self._waiting.extendleft(reversed(again))
        return self._fill()


class Inbox:
    """Messages from the peer; `window` is the Receive Maximum that we announced.

    A message is acknowledged when its taker says so (`done`), not when it arrives: that is the back pressure.
    """

    def __init__(self, window: int) -> None:
        self.window = window
        self._open: dict[int, int] = {}  # identifier: QoS; taken, and not acknowledged yet
        self._received: set[int] = set()  # QoS 2: PUBREC sent, PUBREL awaited

    def __len__(self) -> int:
        return len(self._open) + len(self._received)

    def take(self, message: Publish) -> tuple[bool, list[Ack]]:
        """Take a message; gives whether it is new, and what is to be sent at once."""
        if message.qos == 0:
            return True, []
        number = message.id
        if number in self._received:  # our PUBREC was lost
            return False, [Ack(Type.PUBREC, number)]
        if number in self._open:
            if not message.dup:
                raise ProtocolError(Reason.ID_IN_USE, f"packet identifier {number} is in use")
            return False, []  # it will be acknowledged when its first coming is
        if len(self) >= self.window:
            raise ProtocolError(Reason.RECEIVE_MAXIMUM, f"more than {self.window} messages unacknowledged")
        self._open[number] = message.qos
        return True, []

    def done(self, number: int, reason: int = 0) -> list[Ack]:
        """The taker has finished with a message; unknown ones (an earlier connection's) give nothing."""
        qos = self._open.pop(number, 0)
        if qos == 1:
            return [Ack(Type.PUBACK, number, reason)]
        if qos == 2:
            if reason < 0x80:
                self._received.add(number)
            return [Ack(Type.PUBREC, number, reason)]
        return []

    def released(self, ack: Ack) -> list[Ack]:
        """Take PUBREL."""
        if ack.id in self._received:
            self._received.discard(ack.id)
            return [Ack(Type.PUBCOMP, ack.id)]
        return [Ack(Type.PUBCOMP, ack.id, Reason.ID_NOT_FOUND)]

    def disconnected(self) -> None:
        """The connection is gone: the peer sends again what was not acknowledged; QoS 2 receipts are kept."""
        self._open.clear()


class Session:
    """Both directions of a client's session, and what the protocol says outlives a connection."""

    def __init__(self, receive: int, bound: int) -> None:
        self.inbox = Inbox(receive)
        self.outbox = Outbox(bound=bound)
        self.filters: dict[str, int] = {}  # what the client subscribed to: options


def handshake_window(properties: dict[str, object]) -> int:
    """The Receive Maximum in a CONNECT's or CONNACK's properties."""
    value = properties.get("receive_maximum", 65_535)
    assert isinstance(value, int)
    return value
