"""MQTT session state: packet identifiers, acknowledgements and windows.  No I/O.

A `Session` is one side, client or server, of a client's session and outlives its connections.  `Outbox` sends
messages within the peer's Receive Maximum and queues a bounded number beyond it.  `Inbox` detects repeated
messages and produces acknowledgements.  Both return packets to send, which the caller encodes.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import replace

from swiftwell.fronts.mqtt.codec import MAX_PACKET_ID, Ack, ProtocolError, Publish, Reason, Type

SUBSCRIBE_ID = MAX_PACKET_ID  # reserved: messages and subscriptions share the identifiers


class Outbox:
    """Messages to the peer.

    `window` is the peer's Receive Maximum: the limit of messages of QoS 1 and 2 without a final
    acknowledgement.  At most `max_waiting` further messages are queued; beyond that, `enqueue` refuses them.
    """

    def __init__(self, window: int = 65_535, max_waiting: int = 1_000) -> None:
        self.window, self.max_waiting = window, max_waiting
        self._waiting: deque[Publish] = deque()
        self._in_flight: OrderedDict[int, Publish | None] = OrderedDict()  # None: PUBREL sent, PUBCOMP due
        self._last_id = 0

    def __len__(self) -> int:
        return len(self._waiting) + len(self._in_flight)

    def enqueue(self, message: Publish) -> tuple[bool, list[Publish]]:
        """Accept a message; returns whether there was room, and the packets to send now."""
        if message.qos == 0:
            return True, [message]
        if len(self._in_flight) >= self.window and len(self._waiting) >= self.max_waiting:
            return False, []
        self._waiting.append(message)
        return True, self._send_waiting()

    def _send_waiting(self) -> list[Publish]:
        packets = []
        while self._waiting and len(self._in_flight) < min(self.window, SUBSCRIBE_ID - 1):
            self._last_id = self._last_id % (SUBSCRIBE_ID - 1) + 1
            while self._last_id in self._in_flight:
                self._last_id = self._last_id % (SUBSCRIBE_ID - 1) + 1
            message = replace(self._waiting.popleft(), id=self._last_id, dup=False)
            self._in_flight[message.id] = message
            packets.append(message)
        return packets

    def on_ack(self, ack: Ack) -> list[Publish | Ack]:
        """Handle PUBACK, PUBREC or PUBCOMP; returns the packets to send now.

        Unknown packet identifiers are not an error (4.3).
        """
        known = ack.id in self._in_flight
        message = self._in_flight.get(ack.id)
        if ack.type is Type.PUBREC:
            if ack.reason >= 0x80:  # the peer rejected the message (4.3.3)
                self._in_flight.pop(ack.id, None)
                return list(self._send_waiting())
            if known and (message is None or message.qos == 2):
                self._in_flight[ack.id] = None
                return [Ack(Type.PUBREL, ack.id)]
            if known:
                raise ProtocolError(Reason.PROTOCOL_ERROR, "PUBREC for a message of QoS 1")
            return [Ack(Type.PUBREL, ack.id, Reason.ID_NOT_FOUND)]
        if not known:
            return []
        if (ack.type is Type.PUBACK) != (message is not None and message.qos == 1):
            raise ProtocolError(Reason.PROTOCOL_ERROR, f"{ack.type.name} does not fit the message's QoS")
        del self._in_flight[ack.id]
        return list(self._send_waiting())

    def resume(self) -> list[Publish | Ack]:
        """The packets to send again, in original order, when the session resumes (4.4)."""
        packets: list[Publish | Ack] = []
        for packet_id, message in self._in_flight.items():
            packets.append(replace(message, dup=True) if message else Ack(Type.PUBREL, packet_id))
        return [*packets, *self._send_waiting()]

    def unacknowledged(self) -> list[Publish]:
        """Messages sent and not acknowledged yet."""
        return [message for message in self._in_flight.values() if message]

    def reset(self) -> list[Publish]:
        """Start over as the peer has lost the session; unacknowledged messages are sent as new ones."""
        unacknowledged = self.unacknowledged()
        self._in_flight.clear()
        self._waiting.extendleft(reversed(unacknowledged))
        return self._send_waiting()


class Inbox:
    """Messages from the peer; `window` is the Receive Maximum announced to it.

    A message is acknowledged when its processing is complete (`acknowledge`), not on arrival, which provides
    back pressure.
    """

    def __init__(self, window: int) -> None:
        self.window = window
        self._unacknowledged: dict[int, int] = {}  # QoS by packet identifier
        self._awaiting_pubrel: set[int] = set()  # QoS 2, PUBREC sent

    def __len__(self) -> int:
        return len(self._unacknowledged) + len(self._awaiting_pubrel)

    def receive(self, message: Publish) -> tuple[bool, list[Ack]]:
        """Handle a message; returns whether it is new, and the packets to send at once."""
        if message.qos == 0:
            return True, []
        packet_id = message.id
        if packet_id in self._awaiting_pubrel:  # the PUBREC was lost
            return False, [Ack(Type.PUBREC, packet_id)]
        if packet_id in self._unacknowledged:
            if not message.dup:
                raise ProtocolError(Reason.ID_IN_USE, f"packet identifier {packet_id} is in use")
            return False, []  # acknowledged together with the first delivery
        if len(self) >= self.window:
            raise ProtocolError(Reason.RECEIVE_MAXIMUM, f"more than {self.window} messages unacknowledged")
        self._unacknowledged[packet_id] = message.qos
        return True, []

    def acknowledge(self, packet_id: int, reason: int = 0) -> list[Ack]:
        """The acknowledgement of a processed message; none for identifiers of an earlier connection."""
        qos = self._unacknowledged.pop(packet_id, 0)
        if qos == 1:
            return [Ack(Type.PUBACK, packet_id, reason)]
        if qos == 2:
            if reason < 0x80:
                self._awaiting_pubrel.add(packet_id)
            return [Ack(Type.PUBREC, packet_id, reason)]
        return []

    def on_pubrel(self, ack: Ack) -> list[Ack]:
        """Handle PUBREL."""
        if ack.id in self._awaiting_pubrel:
            self._awaiting_pubrel.discard(ack.id)
            return [Ack(Type.PUBCOMP, ack.id)]
        return [Ack(Type.PUBCOMP, ack.id, Reason.ID_NOT_FOUND)]

    def disconnected(self) -> None:
        """Handle the end of the connection.

        The peer will send unacknowledged messages again; the received identifiers of QoS 2 are kept.
        """
        self._unacknowledged.clear()


class Session:
    """The session state of one client that outlives a connection: both directions and the subscriptions."""

    def __init__(self, receive_maximum: int, max_waiting: int) -> None:
        self.inbox = Inbox(receive_maximum)
        self.outbox = Outbox(max_waiting=max_waiting)
        self.filters: dict[str, int] = {}  # options by topic filter


def handshake_window(properties: dict[str, object]) -> int:
    """The Receive Maximum in a CONNECT's or CONNACK's properties."""
    value = properties.get("receive_maximum", 65_535)
    assert isinstance(value, int)
    return value
