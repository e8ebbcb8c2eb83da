"""Messages between the routers of a fleet, and their encoding as datagrams.  No I/O.

A datagram is a msgpack array with a header and a list of messages, at most 256 bytes with its authentication
code.  Members are identified by their index in the roster, which every router reads from its settings; the
epoch is the version number of the roster.
"""

from __future__ import annotations

import hashlib
import hmac

import msgspec
from msgspec import Struct

MAX_DATAGRAM_BYTES = 256  # the platform's limit; below the MTU of any network
MAC_BYTES = 8  # of the keyed hash: a forged datagram passes with probability 1 in 2**64


class InvalidDatagram(ValueError):
    """The datagram is malformed, or its authentication code is wrong."""


class Message(Struct, frozen=True, array_like=True, forbid_unknown_fields=False):
    """A message to one other member.  Encoded as an array of its tag and its fields in their order."""


class Ping(Message, frozen=True, tag=1):
    """A probe.  `requester` is the member for which the sender pings; -1 is the sender itself."""

    number: int
    requester: int = -1


class Ack(Message, frozen=True, tag=2):
    """The answer to a ping.  `responder` is who answered, if the ack is relayed; -1 is the sender."""

    number: int
    responder: int = -1


class IndirectPing(Message, frozen=True, tag=3):
    """A request to ping `target` for the sender."""

    number: int
    target: int


class MembershipUpdate(Message, frozen=True, tag=4):
    """The status of a member (0 alive, 1 suspected, 2 dead) for its incarnation and suspicion version."""

    member: int
    incarnation: int
    suspicion_version: int
    status: int


class Prepare(Message, frozen=True, tag=10):
    """A candidate asks the voters for a lease; the ballots of a lease grow."""

    name: str
    ballot: int


class Promise(Message, frozen=True, tag=11):
    """A voter will accept no older ballot.  Sent only while it has not granted the lease to another."""

    name: str
    ballot: int
    voter_incarnation: int


class Refuse(Message, frozen=True, tag=12):
    """A voter refuses: retry after `wait_us`, with a ballot above `highest_ballot`."""

    name: str
    ballot: int
    highest_ballot: int
    wait_us: int


class Propose(Message, frozen=True, tag=13):
    """A candidate that has promises of a majority asks for the grant."""

    name: str
    ballot: int
    voter_incarnation: int


class Granted(Message, frozen=True, tag=14):
    """A voter has granted the lease for the configured term."""

    name: str
    ballot: int


class Release(Message, frozen=True, tag=15):
    """A holder gives its lease back before it expires."""

    name: str
    ballot: int


class ShareRequest(Message, frozen=True, tag=20):
    """A member asks the lender of a budget for a loan; `current_loan` is the number of its last loan."""

    budget: str
    number: int
    current_loan: int


class Loan(Message, frozen=True, tag=21):
    """The lender lends a part of the pool, in ppm of the budget, for a time that starts with the request."""

    budget: str
    number: int
    ppm: int
    duration_us: int


class HolderHint(Message, frozen=True, tag=22):
    """A voter's hint: it granted this lease to that member."""

    name: str
    holder: int


class LogSummary(Message, frozen=True, tag=30):
    """What a member holds of a replicated log, and the writer's last heartbeat that it knows of."""

    name: str
    generation: int
    last_index: int
    heartbeat: int


class LogFetch(Message, frozen=True, tag=31):
    """A request for the entries after `after_index` of a generation."""

    name: str
    generation: int
    after_index: int


class LogChunk(Message, frozen=True, tag=32):
    """Entries with indexes above `after_index` up to `to_index`; `last_index` is the last of the generation.

    `final`: the last chunk of this reply.  An empty value deletes the entry.
    """

    name: str
    generation: int
    after_index: int
    to_index: int
    last_index: int
    final: bool
    entries: list[tuple[str, bytes]]


class UserMessage(Message, frozen=True, tag=40):
    """The message of a component that uses the fleet, under a name that both sides register."""

    name: str
    body: bytes


AnyMessage = (
    Ping | Ack | IndirectPing | MembershipUpdate | Prepare | Promise | Refuse | Propose | Granted | Release
    | ShareRequest | Loan | HolderHint | LogSummary | LogFetch | LogChunk | UserMessage
)  # fmt: skip


class Datagram(Struct, frozen=True, array_like=True):
    """A header and messages.  `incarnation` distinguishes the runs of a process; it grows with each start."""

    epoch: int
    sender: int
    incarnation: int
    messages: list[AnyMessage]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def pack(datagram: Datagram, key: bytes = b"") -> bytes:
    """Encode a datagram; raises ValueError if it is too long."""
    raw = _encoder.encode(datagram)
    if key:
        raw += _mac(raw, key)
    if len(raw) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"datagram of {len(raw)} bytes exceeds the limit of {MAX_DATAGRAM_BYTES}")
    return raw


def unpack(raw: bytes, key: bytes = b"") -> Datagram:
    """Decode a datagram; raises InvalidDatagram."""
    if len(raw) > MAX_DATAGRAM_BYTES:
        raise InvalidDatagram("datagram too long")
    if key:
        raw, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
        if not hmac.compare_digest(mac, _mac(raw, key)):
            raise InvalidDatagram("wrong authentication code")
    try:
        return _decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidDatagram(str(error)) from None


def split(datagram: Datagram, key: bytes = b"") -> list[bytes]:
    """Encode the messages in as many datagrams as they need, in order."""
    try:
        return [pack(datagram, key)]
    except ValueError:
        if len(datagram.messages) < 2:
            raise
    half = len(datagram.messages) // 2
    packed = []
    for messages in (datagram.messages[:half], datagram.messages[half:]):
        packed += split(msgspec.structs.replace(datagram, messages=messages), key)
    return packed


def _mac(raw: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(raw, key=key[:64], digest_size=MAC_BYTES).digest()
