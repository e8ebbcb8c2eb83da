"""The ledger's decisions, and its journal on disk."""

import os
import threading

import pytest

from swiftwell.fronts.trigger import Answer, Kind
from swiftwell.gateway.effects import MAX_BODY_BYTES, Bounds, Ledger, Record, Step, Verdict
from swiftwell.gateway.journal import HEADER, Journal, JournalError, encode, scan
from swiftwell.interface import Effect

HOUR = 3_600_000_000
SERVED, REFUSED, FAILED = (Answer(kind, body=b"b") for kind in (Kind.SERVED, Kind.REFUSED, Kind.FAILED))


def ledger(keep=60_000_000, entries=100, size=1 << 26):
    return Ledger(Bounds(keep, entries, size))


def claim(
    book,
    now,
    key="k",
    request_digest=b"p",
    maybe_seen_elsewhere=False,
    effect=Effect.UNSAFE,
    call="c",
    remembers=0,
    may_run=True,
):
    return book.claim(now, "t", key, request_digest, maybe_seen_elsewhere, effect, call, remembers, may_run)[
        0
    ]


def test_each_state_has_its_verdict():
    book = ledger()
    assert claim(book, 0) is Verdict.RUN and claim(book, 1) is Verdict.JOIN
    book.settle(2, "t", "k", SERVED)
    assert claim(book, 3) is Verdict.ALREADY_DONE
    assert claim(book, 3, request_digest=b"q") is Verdict.CONFLICT
    claim(book, 3, "l")
    book.settle(4, "t", "l", FAILED)
    assert claim(book, 5, "l") is Verdict.MAY_HAVE_RUN
    claim(book, 5, "m")
    book.settle(6, "t", "m", REFUSED)
    assert claim(book, 7, "m") is Verdict.RUN
    assert claim(book, 7, "n", maybe_seen_elsewhere=True) is Verdict.MAY_HAVE_RUN
    assert claim(book, 7, "n", may_run=False) is Verdict.NOT_NOW
    book.closed_reason = "disk"
    assert claim(book, 7, "n") is Verdict.CLOSED and claim(book, 7, "k") is Verdict.ALREADY_DONE


def test_tenants_do_not_share_keys():
    book = ledger()
    claim(book, 0)
    assert book.claim(0, "u", "k", b"p", False, Effect.UNSAFE, "c", 0)[0] is Verdict.RUN


def test_a_keyed_call_in_doubt_runs_again_while_all_workers_remember_it_and_not_longer():
    book = ledger()
    claim(book, 0, effect=Effect.KEYED, remembers=6_000_000)
    book.settle(2_000_000, "t", "k", FAILED)
    assert claim(book, 5_900_000, effect=Effect.KEYED, remembers=6_000_000) is Verdict.RUN
    book.settle(5_950_000, "t", "k", FAILED)
    # Counted from the first run, not from the last record.
    assert claim(book, 6_000_000, effect=Effect.KEYED, remembers=6_000_000) is Verdict.MAY_HAVE_RUN
    assert claim(book, 6_000_000, "z", effect=Effect.KEYED, remembers=0) is Verdict.RUN


def test_a_refused_repeat_of_a_keyed_call_leaves_its_first_run_in_doubt():
    book = ledger()
    claim(book, 0, effect=Effect.KEYED, remembers=6_000_000)
    book.settle(1, "t", "k", FAILED)
    claim(book, 2, effect=Effect.KEYED, remembers=6_000_000)
    assert book.settle(3, "t", "k", REFUSED).step is Step.MAY_HAVE_RUN


def test_entries_end_by_age_and_never_by_want_of_room():
    book = ledger(keep=1_000, entries=2)
    claim(book, 0, "a")
    claim(book, 0, "b")
    assert claim(book, 1, "c") is Verdict.CLOSED
    book.settle(10, "t", "a", SERVED)
    assert claim(book, 1_005, "c") is Verdict.CLOSED  # a is young, b still runs
    assert claim(book, 1_500, "c") is Verdict.RUN and claim(book, 1_500, "b") is Verdict.JOIN


def test_room_for_the_largest_answer_is_set_aside():
    book = ledger(size=MAX_BODY_BYTES + 1_000)
    assert claim(book, 0, "a") is Verdict.RUN and claim(book, 0, "b") is Verdict.CLOSED
    book.settle(1, "t", "a", SERVED)
    assert book.bytes < 300 and claim(book, 2, "b") is Verdict.RUN


def test_a_large_answer_is_told_as_done_without_its_body():
    book = ledger()
    claim(book, 0)
    book.settle(1, "t", "k", Answer(Kind.SERVED, body=bytes(MAX_BODY_BYTES + 1)))
    assert claim(book, 2) is Verdict.ALREADY_DONE and book.bytes < 300


def test_a_clock_set_back_by_an_hour_keeps_entries_longer():
    book = ledger(keep=60_000_000)
    claim(book, HOUR)
    book.settle(HOUR, "t", "k", SERVED)
    assert claim(book, 0) is Verdict.ALREADY_DONE and claim(book, HOUR + 59_000_000) is Verdict.ALREADY_DONE
    claim(book, 0, "old")
    book.settle(0, "t", "old", SERVED)
    assert claim(book, HOUR + 59_000_000, "old") is Verdict.ALREADY_DONE  # waits behind a younger one


def test_lost_records_put_unknown_keys_in_doubt_until_they_would_be_forgotten():
    book = ledger()
    book.gap_until = 1_000
    assert claim(book, 500) is Verdict.MAY_HAVE_RUN and claim(book, 1_001) is Verdict.RUN


# The journal.


class Disk:
    """A journal whose posts are run by the test."""

    def __init__(self, folder, snapshot=list):
        self.posts, self.durable, self.failures = [], [], []
        self.more = threading.Semaphore(0)
        self.journal = Journal(folder, self._post, self.durable.append, self.failures.append, snapshot)

    def _post(self, act):
        self.posts.append(act)
        self.more.release()

    def settle(self):
        """Wait for the commit under way, and take its word."""
        self.journal.flush()
        assert self.more.acquire(timeout=20)
        self.posts.pop(0)()


def record(number, step=Step.INTENT):
    return Record(step, "t", f"k{number}", 1_000 + number, b"p")


def fill(folder, count=3):
    disk = Disk(folder)
    disk.journal.open()
    for number in range(count):
        disk.journal.append(record(number))
    disk.settle()
    disk.journal.close()


def test_records_share_a_commit_and_come_back(tmp_path):
    disk = Disk(tmp_path)
    assert disk.journal.open() == ([], [])
    numbers = [disk.journal.append(record(n)) for n in range(50)]
    disk.settle()
    assert disk.durable == [50] and numbers[-1] == 50 and disk.journal.commits == 1
    disk.journal.close()
    again = Disk(tmp_path)
    assert again.journal.open() == ([record(n) for n in range(50)], [])
    again.journal.close()


@pytest.mark.parametrize("cut", [1, 5, HEADER.size, HEADER.size + 3])
def test_a_torn_last_record_is_cut_off(tmp_path, cut):
    fill(tmp_path)
    path = next(tmp_path.glob("*.log"))
    whole = path.read_bytes()
    path.write_bytes(whole + encode(record(3))[:cut])
    disk = Disk(tmp_path)
    records, damages = disk.journal.open()
    assert len(records) == 3 and not damages and path.read_bytes() == whole
    disk.journal.append(record(4))
    disk.settle()
    disk.journal.close()
    assert [r for _, _, r in scan(path.read_bytes())][-1] == record(4)


def test_a_corrupt_middle_is_told_and_what_lies_behind_it_is_read(tmp_path):
    fill(tmp_path)
    path = next(tmp_path.glob("*.log"))
    raw = bytearray(path.read_bytes())
    size = len(encode(record(0)))
    raw[size + HEADER.size + 2] ^= 0xFF
    path.write_bytes(raw)
    disk = Disk(tmp_path)
    records, damages = disk.journal.open()
    disk.journal.close()
    assert records == [record(0), record(2)]
    assert [(d.offset, d.length, d.newest_us) for d in damages] == [(size, size, 1_002)]


def test_a_full_disk_is_told_once_and_nothing_more_is_written(tmp_path, monkeypatch):
    disk = Disk(tmp_path)
    disk.journal.open()

    def full(fd, data):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("swiftwell.gateway.journal.os.write", full)
    disk.journal.append(record(0))
    disk.settle()
    assert len(disk.failures) == 1 and "No space left" in disk.failures[0] and not disk.durable
    monkeypatch.undo()
    disk.journal.append(record(1))
    disk.journal.flush()
    assert disk.journal.commits == 0
    disk.journal.close()


def test_a_second_gateway_may_not_open_the_same_ledger(tmp_path):
    disk = Disk(tmp_path)
    disk.journal.open()
    with pytest.raises(JournalError, match="another gateway holds this ledger"):
        Disk(tmp_path).journal.open()
    disk.journal.close()


def test_a_folder_that_cannot_be_made_is_told_by_its_name(tmp_path):
    (tmp_path / "file").write_text("")
    with pytest.raises(JournalError, match="file"):
        Disk(tmp_path / "file" / "ledger").journal.open()


def test_a_new_segment_holds_what_still_holds_and_replaces_the_old(tmp_path, monkeypatch):
    monkeypatch.setattr("swiftwell.gateway.journal.SEGMENT_BYTES", 200)
    kept = [record(99)]
    disk = Disk(tmp_path, lambda: kept)
    disk.journal.open()
    for number in range(8):
        disk.journal.append(record(number))
        disk.settle()
    disk.journal.close()
    files = sorted(tmp_path.glob("*.log"))
    assert len(files) == 1 and int(files[0].stem) > 1 and os.path.getsize(files[0]) < 800
    again = Disk(tmp_path)
    records, damages = again.journal.open()
    again.journal.close()
    assert records[0] == record(99) and not damages
