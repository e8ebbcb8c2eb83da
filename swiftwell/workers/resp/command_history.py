"""Commands written on one connection: which ids it knows, and which are known to have arrived.  No I/O.

Only an answer proves that a command arrived: bytes that the kernel took, and those that a middlebox has
acknowledged, may be delivered seconds later.  A worker reads a connection in order, so an answer proves the
arrival of its own command and of all that were written before it.
"""

from __future__ import annotations

from collections.abc import Container

# Ids remembered, some seconds' worth, so that a late answer is not taken for that of another attempt.
MAX_KNOWN_IDS = 256
_UNWRITTEN = 0  # sequence number of a command that is queued


class CommandHistory:
    """Sequence numbers of a connection's commands, and the last one known to have arrived."""

    def __init__(self) -> None:
        self._sequences: dict[bytes, int] = {}  # by id
        self._last_written = _UNWRITTEN
        self._last_arrived = _UNWRITTEN
        self._must_arrive = _UNWRITTEN  # see `require_arrival`

    def __contains__(self, id_: object) -> bool:
        return id_ in self._sequences

    def __len__(self) -> int:
        return len(self._sequences)

    def add(self, id_: bytes, open_ids: Container[bytes]) -> None:
        """A command is queued.  Beyond `MAX_KNOWN_IDS` the oldest id that is not open is forgotten."""
        self._sequences[id_] = _UNWRITTEN
        if len(self._sequences) > MAX_KNOWN_IDS:
            # Never an open id: a second attempt under it would replace the first one.
            oldest = next((known for known in self._sequences if known not in open_ids), None)
            if oldest is not None:
                del self._sequences[oldest]

    def written(self, id_: bytes) -> None:
        """A command, or a part of it, was handed to the kernel."""
        self._last_written += 1
        if id_ in self._sequences:
            self._sequences[id_] = self._last_written

    def answered(self, id_: bytes) -> bool:
        """An answer under this id has come; returns whether it proves the arrival of further commands."""
        sequence = self._sequences.get(id_, _UNWRITTEN)
        proves = sequence > self._last_arrived
        self._last_arrived = max(self._last_arrived, sequence)
        return proves

    def has_arrived(self, id_: bytes) -> bool:
        """Whether a command is known to have arrived."""
        return _UNWRITTEN < self._sequences.get(id_, _UNWRITTEN) <= self._last_arrived

    def require_arrival(self, id_: bytes) -> int:
        """Nobody waits for a written command any more: it must turn out to have arrived.

        Returns its sequence number, for `has_arrived_up_to`.
        """
        sequence = self._sequences.get(id_, self._last_written)
        self._must_arrive = max(self._must_arrive, sequence)
        return sequence

    def has_arrived_up_to(self, sequence: int) -> bool:
        """Whether all commands up to this sequence number are known to have arrived."""
        return self._last_arrived >= sequence

    @property
    def lacks_required_arrival(self) -> bool:
        """Whether a command that nobody waits for is not known to have arrived."""
        return self._must_arrive > self._last_arrived

    @property
    def all_arrived(self) -> bool:
        """Whether every command is known to have arrived."""
        return self._last_written == self._last_arrived
