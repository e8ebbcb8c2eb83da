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
    table,
    now,
    key="k",
    request_digest=b"p",
    maybe_seen_elsewhere=False,
    effect=Effect.UNSAFE,
    call="c",
    dedup_window_us=0,
    may_run=True,
):
    return table.claim(
        now, "t", key, request_digest, maybe_seen_elsewhere, effect, call, dedup_window_us, may_run
    )[0]


def test_each_state_has_its_verdict():
    table = ledger()
    assert claim(table, 0) is Verdict.RUN and claim(table, 1) is Verdict.JOIN
    table.settle(2, "t", "k", SERVED)
    assert claim(table, 3) is Verdict.ALREADY_DONE
    assert claim(table, 3, request_digest=b"q") is Verdict.CONFLICT
    claim(table, 3, "l")
    table.settle(4, "t", "l", FAILED)
    assert claim(table, 5, "l") is Verdict.MAY_HAVE_RUN
    claim(table, 5, "m")
    table.settle(6, "t", "m", REFUSED)
    assert claim(table, 7, "m") is Verdict.RUN
    assert claim(table, 7, "n", maybe_seen_elsewhere=True) is Verdict.MAY_HAVE_RUN
    assert claim(table, 7, "n", may_run=False) is Verdict.NOT_NOW
    table.closed_reason = "disk"
    assert claim(table, 7, "n") is Verdict.CLOSED and claim(table, 7, "k") is Verdict.ALREADY_DONE


def test_tenants_do_not_share_keys():
    table = ledger()
    claim(table, 0)
    assert table.claim(0, "u", "k", b"p", False, Effect.UNSAFE, "c", 0)[0] is Verdict.RUN


def test_a_keyed_call_that_may_have_run_runs_again_only_while_all_workers_drop_repeats():
    table = ledger()
    claim(table, 0, effect=Effect.KEYED, dedup_window_us=6_000_000)
    table.settle(2_000_000, "t", "k", FAILED)
    assert claim(table, 5_900_000, effect=Effect.KEYED, dedup_window_us=6_000_000) is Verdict.RUN
    table.settle(5_950_000, "t", "k", FAILED)
    # Counted from the first run, not from the last record.
    assert claim(table, 6_000_000, effect=Effect.KEYED, dedup_window_us=6_000_000) is Verdict.MAY_HAVE_RUN
    assert claim(table, 6_000_000, "z", effect=Effect.KEYED, dedup_window_us=0) is Verdict.RUN


def test_after_a_refused_repeat_of_a_keyed_call_its_first_run_may_have_run():
    table = ledger()
    claim(table, 0, effect=Effect.KEYED, dedup_window_us=6_000_000)
    table.settle(1, "t", "k", FAILED)
    claim(table, 2, effect=Effect.KEYED, dedup_window_us=6_000_000)
    assert table.settle(3, "t", "k", REFUSED).step is Step.MAY_HAVE_RUN


def test_entries_are_evicted_by_age_and_never_for_room():
    table = ledger(keep=1_000, entries=2)
    claim(table, 0, "a")
    claim(table, 0, "b")
    assert claim(table, 1, "c") is Verdict.CLOSED
    table.settle(10, "t", "a", SERVED)
    assert claim(table, 1_005, "c") is Verdict.CLOSED  # a is recent, b is still running
    assert claim(table, 1_500, "c") is Verdict.RUN and claim(table, 1_500, "b") is Verdict.JOIN


def test_room_for_the_largest_answer_is_reserved():
    table = ledger(size=MAX_BODY_BYTES + 1_000)
    assert claim(table, 0, "a") is Verdict.RUN and claim(table, 0, "b") is Verdict.CLOSED
    table.settle(1, "t", "a", SERVED)
    assert table.bytes < 300 and claim(table, 2, "b") is Verdict.RUN


def test_a_large_answer_is_recorded_as_done_without_its_body():
    table = ledger()
    claim(table, 0)
    table.settle(1, "t", "k", Answer(Kind.SERVED, body=bytes(MAX_BODY_BYTES + 1)))
    assert claim(table, 2) is Verdict.ALREADY_DONE and table.bytes < 300


def test_a_clock_set_back_by_an_hour_keeps_entries_longer():
    table = ledger(keep=60_000_000)
    claim(table, HOUR)
    table.settle(HOUR, "t", "k", SERVED)
    assert claim(table, 0) is Verdict.ALREADY_DONE and claim(table, HOUR + 59_000_000) is Verdict.ALREADY_DONE
    claim(table, 0, "old")
    table.settle(0, "t", "old", SERVED)
    assert claim(table, HOUR + 59_000_000, "old") is Verdict.ALREADY_DONE  # it is behind a younger one


def test_after_lost_records_unknown_keys_may_have_run_until_they_would_be_evicted():
    table = ledger()
    table.gap_until = 1_000
    assert claim(table, 500) is Verdict.MAY_HAVE_RUN and claim(table, 1_001) is Verdict.RUN


# The journal.


class Disk:
    """A journal whose posted callbacks are run by the test."""

    def __init__(self, folder, snapshot=list):
        self.posts, self.durable, self.failures = [], [], []
        self.posted = threading.Semaphore(0)
        self.journal = Journal(folder, self._post, self.durable.append, self.failures.append, snapshot)

    def _post(self, callback):
        self.posts.append(callback)
        self.posted.release()

    def commit(self):
        """Flush, wait for the commit and run its callback."""
        self.journal.flush()
        assert self.posted.acquire(timeout=20)
        self.posts.pop(0)()


def record(number, step=Step.INTENT):
    return Record(step, "t", f"k{number}", 1_000 + number, b"p")


def write_records(folder, count=3):
    disk = Disk(folder)
    disk.journal.open()
    for number in range(count):
        disk.journal.append(record(number))
    disk.commit()
    disk.journal.close()


def test_records_share_a_commit_and_are_read_back(tmp_path):
    disk = Disk(tmp_path)
    assert disk.journal.open() == ([], [])
    numbers = [disk.journal.append(record(n)) for n in range(50)]
    disk.commit()
    assert disk.durable == [50] and numbers[-1] == 50 and disk.journal.commits == 1
    disk.journal.close()
    again = Disk(tmp_path)
    assert again.journal.open() == ([record(n) for n in range(50)], [])
    again.journal.close()


@pytest.mark.parametrize("cut", [1, 5, HEADER.size, HEADER.size + 3])
def test_an_incomplete_last_record_is_truncated(tmp_path, cut):
    write_records(tmp_path)
    path = next(tmp_path.glob("*.log"))
    whole = path.read_bytes()
    path.write_bytes(whole + encode(record(3))[:cut])
    disk = Disk(tmp_path)
    records, damages = disk.journal.open()
    assert len(records) == 3 and not damages and path.read_bytes() == whole
    disk.journal.append(record(4))
    disk.commit()
    disk.journal.close()
    assert [r for _, _, r in scan(path.read_bytes())][-1] == record(4)


def test_a_corrupt_record_is_reported_and_the_records_after_it_are_read(tmp_path):
    write_records(tmp_path)
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


def test_a_full_disk_is_reported_once_and_nothing_more_is_written(tmp_path, monkeypatch):
    disk = Disk(tmp_path)
    disk.journal.open()

    def full(fd, data):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("swiftwell.gateway.journal.os.write", full)
    disk.journal.append(record(0))
    disk.commit()
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


def test_a_folder_that_cannot_be_created_is_named_in_the_error(tmp_path):
    (tmp_path / "file").write_text("")
    with pytest.raises(JournalError, match="file"):
        Disk(tmp_path / "file" / "ledger").journal.open()


def test_a_new_segment_holds_the_valid_records_and_replaces_the_old_one(tmp_path, monkeypatch):
    monkeypatch.setattr("swiftwell.gateway.journal.SEGMENT_BYTES", 200)
    kept = [record(99)]
    disk = Disk(tmp_path, lambda: kept)
    disk.journal.open()
    for number in range(8):
        disk.journal.append(record(number))
        disk.commit()
    disk.journal.close()
    files = sorted(tmp_path.glob("*.log"))
    assert len(files) == 1 and int(files[0].stem) > 1 and os.path.getsize(files[0]) < 800
    again = Disk(tmp_path)
    records, damages = again.journal.open()
    again.journal.close()
    assert records[0] == record(99) and not damages
