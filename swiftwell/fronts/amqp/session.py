"""The client's side of an AMQP connection: handshake, channels, heartbeats, closing.  State only, no I/O.

`feed` takes bytes and gives events; what is to be sent gathers in `out`.  Errors of the peer's never raise:
they end the channel or the connection with their code, as events.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from swiftwell.fronts.amqp import codec
from swiftwell.fronts.amqp.codec import AmqpError, Code, Method, Properties
from swiftwell.fronts.amqp.wire import Incoming, Wire

CHANNELS = 16  # channels that we ask for at most


@dataclass(frozen=True, slots=True)
class Login:
    """Who connects, and how."""

    name: str
    username: str = "guest"
    password: str = "guest"
    vhost: str = "/"
    heartbeat_s: int = 30
    frame_max: int = 131_072
    most_body: int = 262_144


@dataclass(frozen=True, slots=True)
class Ready:
    """The connection is open."""


@dataclass(frozen=True, slots=True)
class Blocked:
    """The broker takes no publications for now, or again."""

    on: bool
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ChannelEnded:
    """A channel is closed; `ours`: because of what the peer did on it."""

    channel: int
    code: int
    text: str
    ours: bool = False


@dataclass(frozen=True, slots=True)
class Ended:
    """The connection is over."""

    code: int
    text: str


Event = Ready | Blocked | ChannelEnded | Ended | Incoming


class Session:
    """One connection's client side, from the greeting to the end."""

    def __init__(self, login: Login) -> None:
        self.login = login
        self.wire = Wire(max(codec.FRAME_MIN, login.frame_max), login.most_body)
        self.out = bytearray()
        self.state = "start"  # then tune, open, ready, closing, over
        self.frame_max = codec.FRAME_MIN
        self.heartbeat_s = 0
        self.channel_max = CHANNELS
        self.channels: dict[int, str] = {}  # opening, open, closing
        self.can_block = self.can_confirm = False

    def greet(self) -> None:
        """Begin."""
        self.out += codec.GREETING

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes."""
        out: list[Event] = []
        if self.state == "over":
            return out
        try:
            if self.state == "start" and data[:4] == b"AMQP":
                raise AmqpError(Code.NOT_IMPLEMENTED, f"the broker speaks {data[4:8].hex()}, not 0-9-1")
            for one in self.wire.feed(data):
                if one is not None:
                    self._take(one, out)
        except AmqpError as error:
            self._fail(error, out)
        return out

    def _fail(self, error: AmqpError, out: list[Event]) -> None:
        self.close(int(error.code), str(error), error.method)
        out.append(Ended(int(error.code), f"{error.code.name.lower()}: {error}"))
        self.state = "over"

    def _take(self, one: Incoming, out: list[Event]) -> None:
        method = one.method
        if self.state in ("closing", "over"):
            if isinstance(method, codec.CloseOk | codec.Close):
                self.state = "over"
                out.append(Ended(200, "closed"))
            return
        if one.channel == 0:
            self._connection(method, out)
        elif one.channel not in self.channels:
            raise AmqpError(Code.CHANNEL_ERROR, f"channel {one.channel} is not open", method.id)
        elif self.channels[one.channel] == "closing":
            # What was under way when we closed it is void; a close that crossed ours is answered (2.1.2).
            if isinstance(method, codec.ChannelClose):
                self.send(one.channel, codec.ChannelCloseOk())
            elif isinstance(method, codec.ChannelCloseOk):
                del self.channels[one.channel]
        elif isinstance(method, codec.ChannelClose):
            self.send(one.channel, codec.ChannelCloseOk())
            del self.channels[one.channel]
            self.wire.forget(one.channel)
            out.append(ChannelEnded(one.channel, method.reply_code, method.reply_text))
        elif isinstance(method, codec.ChannelOpenOk):
            self.channels[one.channel] = "open"
            out.append(one)
        elif isinstance(method, codec.Flow):
            self.send(one.channel, codec.FlowOk(method.active))
            out.append(Blocked(not method.active, "channel.flow"))
        else:
            out.append(one)

    def _connection(self, method: Method, out: list[Event]) -> None:
        match method, self.state:
            case codec.Start(), "start":
                self._start_ok(method)
            case codec.Secure(), "tune":
                raise AmqpError(Code.NOT_IMPLEMENTED, "no challenge is answered")
            case codec.Tune(), "tune":
                self._tune(method)
            case codec.OpenOk(), "open":
                self.state = "ready"
                out.append(Ready())
            case codec.Blocked(), _:
                out.append(Blocked(True, method.reason))
            case codec.Unblocked(), _:
                out.append(Blocked(False))
            case codec.Close(), _:
                self.send(0, codec.CloseOk())
                self.state = "over"
                out.append(Ended(method.reply_code, method.reply_text))
            case _:
                raise AmqpError(
                    Code.COMMAND_INVALID, f"{type(method).__name__} while in {self.state}", method.id
                )

    def _start_ok(self, method: codec.Start) -> None:
        if b"PLAIN" not in method.mechanisms.split():
            raise AmqpError(Code.NOT_IMPLEMENTED, f"no mechanism but {method.mechanisms!r} is offered")
        can = (method.server_properties or {}).get("capabilities", {})
        can = can if isinstance(can, dict) else {}
        self.can_block, self.can_confirm = (
            bool(can.get("connection.blocked")),
            bool(can.get("publisher_confirms")),
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
        def least(theirs: int, ours: int) -> int:
            """The lower of two, where 0 is no limit."""
            return min(theirs or ours, ours or theirs)

        self.frame_max = max(codec.FRAME_MIN, least(method.frame_max, self.login.frame_max))
        self.channel_max = least(method.channel_max, CHANNELS)
        self.heartbeat_s = least(method.heartbeat, self.login.heartbeat_s)
        self.wire.decoder.most = self.frame_max
        self.send(0, codec.TuneOk(self.channel_max, self.frame_max, self.heartbeat_s))
        self.send(0, codec.Open(self.login.vhost))
        self.state = "open"

    # What the owner does.

    def open_channel(self, channel: int) -> None:
        """Open a channel; its ChannelOpenOk comes as an event."""
        self.channels[channel] = "opening"
        self.send(channel, codec.ChannelOpen())

    def close_channel(self, channel: int, code: int = 200, text: str = "") -> None:
        """Close a channel; what still comes on it is void."""
        if self.channels.get(channel) in ("opening", "open"):
            self.channels[channel] = "closing"
            self.wire.forget(channel)
            self.send(channel, codec.ChannelClose(code, text[:120]))

    def is_open(self, channel: int) -> bool:
        """Whether a channel may be used."""
        return self.channels.get(channel) == "open"

    def send(self, channel: int, method: Method) -> None:
        """Send a method."""
        if self.state != "over":
            self.out += codec.encode(channel, method)

    def publish(self, channel: int, method: codec.Publish, properties: Properties, body: bytes) -> None:
        """Send a message."""
        if self.state != "over":
            self.out += codec.encode_content(channel, method, properties, body, self.frame_max)

    def beat(self) -> None:
        """Send a heartbeat."""
        if self.state in ("open", "ready"):
            self.out += codec.HEARTBEAT_FRAME

    def close(self, code: int = 200, text: str = "", method: tuple[int, int] = (0, 0)) -> None:
        """Say goodbye; an `Ended` follows when the peer has answered."""
        if self.state in ("start", "closing", "over"):
            self.state = "over"
            return
        self.send(0, codec.Close(code, text.encode()[:200].decode(errors="ignore"), *method))
        self.state = "closing"

    def take(self) -> bytes:
        """What is to be sent."""
        out = bytes(self.out)
        self.out.clear()
        return out
