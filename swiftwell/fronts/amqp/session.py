"""The client side of an AMQP connection: handshake, channels, heartbeats, closing.  State only, no I/O.

`feed` takes received bytes and returns events; output is collected in `send_buffer`.  Errors of the peer are
never raised: they end the channel or the connection with their reply code, which is reported as an event.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from swiftwell.fronts.amqp import codec
from swiftwell.fronts.amqp.codec import AmqpError, Code, Method, Properties
from swiftwell.fronts.amqp.wire import Incoming, Wire

MAX_CHANNELS = 16  # of one connection


@dataclass(frozen=True, slots=True)
class Login:
    """Credentials and connection parameters."""

    name: str
    username: str = "guest"
    password: str = "guest"
    vhost: str = "/"
    heartbeat_s: int = 30
    frame_max: int = 131_072
    max_body_bytes: int = 262_144


@dataclass(frozen=True, slots=True)
class Ready:
    """The connection is open."""


@dataclass(frozen=True, slots=True)
class Blocked:
    """The broker has blocked publications (`active`) or accepts them again."""

    active: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ChannelEnded:
    """A channel is closed; with `ours`, this side closed it because of an error of the peer."""

    channel: int
    code: int
    text: str
    ours: bool = False


@dataclass(frozen=True, slots=True)
class Ended:
    """The connection has ended."""

    code: int
    text: str


Event = Ready | Blocked | ChannelEnded | Ended | Incoming


class Session:
    """The client side of one connection, from the protocol header to the close."""

    def __init__(self, login: Login) -> None:
        self.login = login
        self.wire = Wire(max(codec.FRAME_MIN, login.frame_max), login.max_body_bytes)
        self.send_buffer = bytearray()
        self.state = "start"  # followed by tune, open, ready, closing and over
        self.frame_max = codec.FRAME_MIN
        self.heartbeat_s = 0
        self.channel_max = MAX_CHANNELS
        self.channels: dict[int, str] = {}  # state by number: opening, open or closing
        self.supports_blocked = self.supports_confirms = False

    def send_protocol_header(self) -> None:
        """Start the handshake."""
        self.send_buffer += codec.PROTOCOL_HEADER

    def feed(self, data: bytes) -> list[Event]:
        """Process received bytes; returns the events that they cause."""
        events: list[Event] = []
        if self.state == "over":
            return events
        try:
            if self.state == "start" and data[:4] == b"AMQP":
                raise AmqpError(Code.NOT_IMPLEMENTED, f"the broker speaks {data[4:8].hex()}, not 0-9-1")
            for incoming in self.wire.feed(data):
                if incoming is not None:
                    self._on_incoming(incoming, events)
        except AmqpError as error:
            self._fail(error, events)
        return events

    def _fail(self, error: AmqpError, events: list[Event]) -> None:
        self.close(int(error.code), str(error), error.method)
        events.append(Ended(int(error.code), f"{error.code.name.lower()}: {error}"))
        self.state = "over"

    def _on_incoming(self, incoming: Incoming, events: list[Event]) -> None:
        method = incoming.method
        if self.state in ("closing", "over"):
            if isinstance(method, codec.CloseOk | codec.Close):
                self.state = "over"
                events.append(Ended(200, "closed"))
            return
        if incoming.channel == 0:
            self._on_connection_method(method, events)
        elif incoming.channel not in self.channels:
            raise AmqpError(Code.CHANNEL_ERROR, f"channel {incoming.channel} is not open", method.id)
        elif self.channels[incoming.channel] == "closing":
            # Methods sent before the peer saw the close are ignored, except for a close of its own (2.1.2).
            if isinstance(method, codec.ChannelClose):
                self.send(incoming.channel, codec.ChannelCloseOk())
            elif isinstance(method, codec.ChannelCloseOk):
                del self.channels[incoming.channel]
        elif isinstance(method, codec.ChannelClose):
            self.send(incoming.channel, codec.ChannelCloseOk())
            del self.channels[incoming.channel]
            self.wire.discard_content(incoming.channel)
            events.append(ChannelEnded(incoming.channel, method.reply_code, method.reply_text))
        elif isinstance(method, codec.ChannelOpenOk):
            self.channels[incoming.channel] = "open"
            events.append(incoming)
        elif isinstance(method, codec.Flow):
            self.send(incoming.channel, codec.FlowOk(method.active))
            events.append(Blocked(not method.active, "channel.flow"))
        else:
            events.append(incoming)

    def _on_connection_method(self, method: Method, events: list[Event]) -> None:
        match method, self.state:
            case codec.Start(), "start":
                self._start_ok(method)
            case codec.Secure(), "tune":
                raise AmqpError(Code.NOT_IMPLEMENTED, "no challenge is answered")
            case codec.Tune(), "tune":
                self._tune(method)
            case codec.OpenOk(), "open":
                self.state = "ready"
                events.append(Ready())
            case codec.Blocked(), _:
                events.append(Blocked(True, method.reason))
            case codec.Unblocked(), _:
                events.append(Blocked(False))
            case codec.Close(), _:
                self.send(0, codec.CloseOk())
                self.state = "over"
                events.append(Ended(method.reply_code, method.reply_text))
            case _:
                raise AmqpError(
                    Code.COMMAND_INVALID, f"{type(method).__name__} while in {self.state}", method.id
                )

    def _start_ok(self, method: codec.Start) -> None:
        if b"PLAIN" not in method.mechanisms.split():
            raise AmqpError(Code.NOT_IMPLEMENTED, f"no mechanism but {method.mechanisms!r} is offered")
        capabilities = (method.server_properties or {}).get("capabilities", {})
        capabilities = capabilities if isinstance(capabilities, dict) else {}
        self.supports_blocked, self.supports_confirms = (
            bool(capabilities.get("connection.blocked")),
            bool(capabilities.get("publisher_confirms")),
        )
        login = self.login
        properties: dict[str, Any] = {
            "product": "swiftwell",
            "connection_name": login.name,
            "capabilities": {
                "publisher_confirms": True,
                "consumer_cancel_notify": True,
                "basic.nack": True,
                "connection.blocked": True,
                "authentication_failure_close": True,
            },
        }
        response = b"\0" + login.username.encode() + b"\0" + login.password.encode()
        self.send(0, codec.StartOk(properties, "PLAIN", response))
        self.state = "tune"

    def _tune(self, method: codec.Tune) -> None:
        def lower_limit(theirs: int, ours: int) -> int:
            """The lower of two limits; 0 means no limit."""
            return min(theirs or ours, ours or theirs)

        self.frame_max = max(codec.FRAME_MIN, lower_limit(method.frame_max, self.login.frame_max))
        self.channel_max = lower_limit(method.channel_max, MAX_CHANNELS)
        self.heartbeat_s = lower_limit(method.heartbeat, self.login.heartbeat_s)
        self.wire.decoder.max_frame_bytes = self.frame_max
        self.send(0, codec.TuneOk(self.channel_max, self.frame_max, self.heartbeat_s))
        self.send(0, codec.Open(self.login.vhost))
        self.state = "open"

    # Calls from the owner.

    def open_channel(self, channel: int) -> None:
        """Open a channel; its ChannelOpenOk is reported as an event."""
        self.channels[channel] = "opening"
        self.send(channel, codec.ChannelOpen())

    def close_channel(self, channel: int, code: int = 200, text: str = "") -> None:
        """Close a channel; further input on it is ignored."""
        if self.channels.get(channel) in ("opening", "open"):
            self.channels[channel] = "closing"
            self.wire.discard_content(channel)
            self.send(channel, codec.ChannelClose(code, text[:120]))

    def is_open(self, channel: int) -> bool:
        """Whether methods may be sent on a channel."""
        return self.channels.get(channel) == "open"

    def send(self, channel: int, method: Method) -> None:
        """Queue a method for sending."""
        if self.state != "over":
            self.send_buffer += codec.encode(channel, method)

    def publish(self, channel: int, method: codec.Publish, properties: Properties, body: bytes) -> None:
        """Queue a message for sending."""
        if self.state != "over":
            self.send_buffer += codec.encode_content(channel, method, properties, body, self.frame_max)

    def send_heartbeat(self) -> None:
        """Queue a heartbeat for sending."""
        if self.state in ("open", "ready"):
            self.send_buffer += codec.HEARTBEAT_FRAME

    def close(self, code: int = 200, text: str = "", method: tuple[int, int] = (0, 0)) -> None:
        """Close the connection; an `Ended` event follows when the peer has answered."""
        if self.state in ("start", "closing", "over"):
            self.state = "over"
            return
        self.send(0, codec.Close(code, text.encode()[:200].decode(errors="ignore"), *method))
        self.state = "closing"

    def take_send_buffer(self) -> bytes:
        """Remove and return the queued output."""
        data = bytes(self.send_buffer)
        self.send_buffer.clear()
        return data
