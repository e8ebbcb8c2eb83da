"""What routers of a fleet say to each other: one datagram holds a header and some words.  No I/O.

A datagram is a msgpack array, at most 256 bytes with its check.  Members are named by their position in the
configured roster, which every one of them reads from its settings; an epoch numbers the rosters.
"""

from __future__ import annotations

import hashlib
import hmac

import msgspec
from msgspec import Struct

MOST_BYTES = 256  # of a datagram: the platform's bound, under any network's
CHECK_BYTES = 8  # of the keyed hash: a guess succeeds once in 2**64


class Unreadable(ValueError):
    """A datagram that is none of ours."""


class Word(Struct, frozen=True, array_like=True, forbid_unknown_fields=False):
    """Something said to one other member."""


class Ping(Word, frozen=True, tag=1):
    """Are you there?  `by` is who wants to know, where another asks for it; -1 is the sender."""

    number: int
    by: int = -1


class Ack(Word, frozen=True, tag=2):
    """Yes; `of` is who answered, where it is passed on for another; -1 is the sender."""

    number: int
    of: int = -1


class Ask(Word, frozen=True, tag=3):
    """Ping `of` for me."""

    number: int
    of: int


class News(Word, frozen=True, tag=4):
    """What is said of a member: `state` 0 alive, 1 suspected, 2 dead, of its life and turn."""

    of: int
    life: int
    turn: int
    state: int


class Prepare(Word, frozen=True, tag=10):
    """A candidate asks voters for a lease: ballots of a name grow."""

    name: str
    ballot: int


class Promise(Word, frozen=True, tag=11):
    """A voter will take no older ballot; `free` unless it has granted the lease to another."""

    name: str
    ballot: int
    voter_life: int


class Refuse(Word, frozen=True, tag=12):
    """A voter can't: come back after `wait_us`, with a ballot above `above`."""

    name: str
    ballot: int
    above: int
    wait_us: int


class Propose(Word, frozen=True, tag=13):
    """A candidate that has a majority's promises asks for the grant."""

    name: str
    ballot: int
    voter_life: int


class Granted(Word, frozen=True, tag=14):
    """A voter has granted the lease for the term of the settings."""

    name: str
    ballot: int


class Release(Word, frozen=True, tag=15):
    """A holder needs its lease no more."""

    name: str
    ballot: int


class Want(Word, frozen=True, tag=20):
    """A member asks the lender of a budget for its loan; `held` is the number of the last one it got."""

    budget: str
    number: int
    held: int


class Loan(Word, frozen=True, tag=21):
    """The lender lends a part of a million of the pool, for a time from when it was asked."""

    budget: str
    number: int
    parts: int
    for_us: int


class Held(Word, frozen=True, tag=22):
    """A voter's hint: it granted this lease to that member."""

    name: str
    holder: int


class Notice(Word, frozen=True, tag=30):
    """All that a member holds of a board: an edition up to a number, and the writer's last sign of life."""

    name: str
    edition: int
    number: int
    beat: int


class Fetch(Word, frozen=True, tag=31):
    """What came after the number `have` of an edition, please."""

    name: str
    edition: int
    have: int


class Part(Word, frozen=True, tag=32):
    """Entries of a board with numbers above `after` up to `upto`; `last` is the edition's last number.

    `final`: nothing more follows this time.  An empty value takes the name off.
    """

    name: str
    edition: int
    after: int
    upto: int
    last: int
    final: bool
    entries: list[tuple[str, bytes]]


class Said(Word, frozen=True, tag=40):
    """Something that a user of the fleet says to another, under a name that both know."""

    name: str
    body: bytes


AnyWord = (
    Ping | Ack | Ask | News | Prepare | Promise | Refuse | Propose | Granted | Release | Want | Loan | Held
    | Notice | Fetch | Part | Said
)  # fmt: skip


class Datagram(Struct, frozen=True, array_like=True):
    """A header and words.  `life` tells one run of a process from another, and grows."""

    epoch: int
    sender: int
    life: int
    words: list[AnyWord]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def pack(datagram: Datagram, key: bytes = b"") -> bytes:
    """The bytes of a datagram; raises ValueError where it is too long."""
    raw = _encoder.encode(datagram)
    if key:
        raw += _check(raw, key)
    if len(raw) > MOST_BYTES:
        raise ValueError(f"a datagram of {len(raw)} bytes: {MOST_BYTES} at most")
    return raw


def unpack(raw: bytes, key: bytes = b"") -> Datagram:
    """Raises Unreadable."""
    if len(raw) > MOST_BYTES:
        raise Unreadable("too long")
    if key:
        raw, check = raw[:-CHECK_BYTES], raw[-CHECK_BYTES:]
        if not hmac.compare_digest(check, _check(raw, key)):
            raise Unreadable("not ours by its check")
    try:
        return _decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Unreadable(str(error)) from None


def split(datagram: Datagram, key: bytes = b"") -> list[bytes]:
    """As many datagrams as the words take, in their order."""
    try:
        return [pack(datagram, key)]
    except ValueError:
        if len(datagram.words) < 2:
            raise
    half = len(datagram.words) // 2
    out = []
    for words in (datagram.words[:half], datagram.words[half:]):
        out += split(msgspec.structs.replace(datagram, words=words), key)
    return out


def _check(raw: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(raw, key=key[:64], digest_size=CHECK_BYTES).digest()
