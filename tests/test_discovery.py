"""The saved worker list, the trust in its entries, the roster that merges all reports, and list clients."""

import asyncio
import os
import random
import subprocess
import sys
from dataclasses import replace

import pytest
from click.testing import CliRunner
from enginebench import SETTINGS, EngineHarness, of_type
from helpers import entry
from hypothesis import given
from hypothesis import strategies as st
from socketbench import run

from swiftwell import interface as io
from swiftwell.cli.main import main
from swiftwell.discovery import saved, trust
from swiftwell.discovery.roster import Roster
from swiftwell.discovery.saved_list_store import SavedListStore
from swiftwell.discovery.sources import ListServiceClient
from swiftwell.gateway import ports
from swiftwell.gateway.clock import Clock
from swiftwell.gateway.engine import tables
from swiftwell.interface import ListKind, Members, State
from swiftwell.proof.trace import Trace
from swiftwell.standins.listing import Listing

SECOND, HOUR, DAY = 1_000_000, 3_600_000_000, 86_400_000_000
NOW = 500 * SECOND


def full(*entries):
    return Members(ListKind.FULL, entries)


def states(members):
    return {entry.worker: entry.state for entry in members.entries} if members else {}


# On disk.


def make_list(epoch=7, wall=10 * DAY, mono=HOUR, boot="b", count=3):
    workers = tuple(
        saved.SavedWorker(f"10.0.0.{n}:1", "k", listed_us=wall, answered_us=wall - HOUR) for n in range(count)
    )
    return saved.SavedList(epoch, wall, mono, boot, workers)


def test_a_list_is_read_back_and_the_previous_one_is_kept(tmp_path):
    assert saved.read(tmp_path) == saved.ReadResult(None, "", ())
    saved.write(tmp_path, make_list(1))
    saved.write(tmp_path, make_list(2))
    assert saved.read(tmp_path).saved == make_list(2)
    (tmp_path / "current").unlink()
    assert saved.read(tmp_path).saved == make_list(1)


@given(st.binary(max_size=80), st.integers(0, 200), st.integers(0, 255))
def test_a_damaged_file_is_used_as_a_whole_or_not_at_all(noise, at, byte):
    raw = bytearray(saved.encode(make_list()))
    raw[at % len(raw)] = byte
    for damaged in (bytes(raw), bytes(raw[: at % len(raw)]), noise):
        try:
            assert saved.decode(damaged, "f") == make_list()
        except saved.UnusableFile as error:
            assert str(error).startswith("f: ")


@pytest.mark.parametrize(
    ("damage", "text"),
    [
        (lambda raw: raw[:-4], "cut short"),
        (lambda raw: raw[:10], "cut short"),
        (lambda raw: raw[:-1] + bytes((raw[-1] ^ 1,)), "checksum"),
        (lambda raw: b"X" + raw[1:], "not a saved list"),
        (lambda raw: saved.encode(make_list(), 9), "newer version"),
    ],
)
def test_an_unusable_file_is_reported_and_the_previous_one_is_used(tmp_path, damage, text):
    saved.write(tmp_path, make_list(1))
    saved.write(tmp_path, make_list(2))
    current = tmp_path / "current"
    current.write_bytes(damage(current.read_bytes()))
    result = saved.read(tmp_path)
    assert result.saved == make_list(1) and text in result.problems[0] and "current" in result.problems[0]
    saved.write(tmp_path, make_list(3))
    assert saved.read(tmp_path).saved == make_list(3)
    if text == "newer version":  # kept for the version that can read it
        assert saved.HEADER.unpack_from((tmp_path / "newer").read_bytes())[1] == 9


KILLED_WRITER = """
import os, signal, sys
from pathlib import Path
from swiftwell.discovery import saved
def step(name):
    if name == sys.argv[2]:
        os.kill(os.getpid(), signal.SIGKILL)
saved._crash_point = step
write = os.write
if sys.argv[2] == "half":
    def half(fd, data):
        write(fd, bytes(data)[:20])
        os.kill(os.getpid(), signal.SIGKILL)
    os.write = half
worker = (saved.SavedWorker("new:1"),)
saved.write(Path(sys.argv[1]), saved.SavedList(2, 1, 1, "", worker))
"""


@pytest.mark.parametrize("step", ["half", "written", "moved", "renamed"])
def test_a_kill_at_any_step_of_writing_leaves_make_list(tmp_path, step):
    saved.write(tmp_path, make_list(0))
    saved.write(tmp_path, make_list(1))
    done = subprocess.run([sys.executable, "-c", KILLED_WRITER, str(tmp_path), step], check=False)
    assert done.returncode == -9
    result = saved.read(tmp_path)
    assert not result.problems and result.saved.epoch == (2 if step == "renamed" else 1)
    saved.write(tmp_path, make_list(3))
    assert saved.read(tmp_path).saved.epoch == 3


def test_the_age_of_a_report():
    saved_list = make_list(wall=10 * DAY, mono=HOUR, boot="b")
    reported_us = 10 * DAY - HOUR
    age = lambda *now: saved.age_us(saved_list, reported_us, *now)  # noqa: E731
    assert age(10 * DAY + HOUR, 99, "c") == 2 * HOUR  # after a reboot: by the wall clock
    assert age(9 * DAY, 2 * HOUR, "b") == 2 * HOUR  # the same boot: by the monotonic clock
    assert age(9 * DAY, 99, "c") is None  # saved in the future
    assert saved.age_us(saved_list, 0, 11 * DAY, 0, "c") is None  # never reported


# Trust.


def test_trust_falls_with_age():
    ages = [
        0,
        trust.FRESH_AGE_US,
        trust.FRESH_AGE_US + 1,
        trust.RECENT_AGE_US,
        trust.RECENT_AGE_US + 1,
        10 * DAY,
        None,
    ]
    assert [int(trust.grade(age)) for age in ages] == [0, 0, 1, 1, 2, 2, 2]


def test_how_a_worker_that_answered_is_offered():
    # An old entry whose worker reports no start counts as just started; with a confirmed start, as listed.
    assert trust.offer(trust.Grade.OLD, 5_000, 0, NOW).started_us == NOW
    assert trust.offer(trust.Grade.OLD, 5_000, 5_100, NOW).started_us == 5_000
    assert trust.offer(trust.Grade.OLD, 5_000, 90 * SECOND, NOW).started_us == 90 * SECOND
    assert trust.offer(trust.Grade.RECENT, 5_000, 0, NOW).started_us == 5_000


def test_gateways_that_start_together_do_not_flood_a_worker():
    for gateways, workers in ((1, 4), (20, 8), (170, 64), (280, 85)):
        spread = trust.query_interval_us(gateways, workers) * workers / 1e6
        assert gateways / max(spread, 0.02) <= trust.MAX_QUERIES_PER_S * 1.01 or gateways == 1


def test_when_a_list_may_replace_the_saved_one():
    may_save = lambda **more: trust.may_save(**{"now_us": HOUR, "saved_us": 0, "saved": 10, "listed": 10,  # noqa: E731
                                          "since_us": HOUR, "changed": True} | more)  # fmt: skip
    assert may_save() and may_save(listed=5) and not may_save(listed=0) and not may_save(listed=0, since_us=0)
    assert not may_save(listed=4) and may_save(listed=4, since_us=HOUR - trust.COLLAPSE_CONFIRM_US)
    assert not may_save(saved_us=HOUR - SECOND) and not may_save(saved_us=HOUR - 30 * SECOND, changed=False)


# The roster.


def test_fresh_entries_are_offered_at_once_and_older_ones_when_they_answer():
    roster = Roster()
    update = roster.add_saved(
        NOW, [(entry("fresh"), SECOND), (entry("aged"), 60 * SECOND), (entry("old"), DAY)]
    )
    assert states(update) == {"fresh": State.READY}
    assert sorted(roster.due_queries(NOW)) == ["aged", "fresh", "old"]
    assert states(roster.query_ended(NOW, "aged", False, 0, True)) == {"aged": State.READY}
    old = roster.query_ended(NOW, "old", False, 0, True).entries[0]
    assert old.state is State.READY and old.started_us == NOW
    assert roster.query_ended(NOW, "fresh", False, 0, True) is None  # nothing new


def test_a_saved_worker_that_drains_or_is_gone_is_never_offered():
    roster = Roster()
    roster.add_saved(NOW, [(entry("drained"), DAY), (entry("gone"), DAY), (entry("lost"), SECOND)])
    roster.due_queries(NOW)
    assert states(roster.query_ended(NOW, "drained", True, 0, True)) == {"drained": State.DRAINING}
    assert roster.query_ended(NOW, "gone", False, 0, False) is None
    assert states(roster.query_ended(NOW, "lost", False, 0, False)) == {
        "lost": State.GONE
    }  # it had been offered
    assert roster.due_queries(NOW + 1) == []  # queried again later, not at once
    assert sorted(roster.due_queries(NOW + 3 * SECOND)) == ["gone", "lost"]


def test_queries_are_limited_in_number_and_rate():
    roster = Roster(170)
    roster.add_saved(NOW, [(entry(f"w{n}"), DAY) for n in range(64)])
    now, queried, max_open = NOW, [], 0
    open_queries = []
    while len(queried) < 64:
        for worker in roster.due_queries(now):
            queried.append((now, worker))
            open_queries.append(worker)
        max_open = max(max_open, len(open_queries))
        if open_queries:
            roster.query_ended(now, open_queries.pop(0), False, 0, True)
        now = max(now + 1_000, roster.next_due_us(now) or now)
    assert (
        max_open <= trust.MAX_OPEN_QUERIES and queried[-1][0] - NOW > 2 * SECOND
    )  # 170 gateways over 50 a second is 3.4 s


def test_a_live_list_corrects_every_entry():
    roster = Roster()
    roster.add_saved(NOW, [(entry("a"), DAY), (entry("b"), DAY), (entry("c"), SECOND)])
    roster.due_queries(NOW)
    roster.query_ended(NOW, "a", False, 0, True)
    update = roster.apply_list(NOW + SECOND, full(entry("b"), entry("d")))
    assert states(update) == {
        "b": State.READY, "d": State.READY, "a": State.DRAINING, "c": State.GONE}  # fmt: skip
    assert (
        roster.due_queries(NOW + 2 * SECOND) == [] and roster.add_saved(NOW, [(entry("z"), SECOND)]) is None
    )


def test_an_empty_list_drains_all_workers_but_keeps_them_for_a_while():
    roster = Roster()
    roster.apply_list(NOW, full(entry("a"), entry("b")))
    assert set(states(roster.apply_list(NOW + 1, full())).values()) == {State.DRAINING}
    assert roster.expire_unlisted(NOW + SECOND) is None
    back = roster.apply_list(NOW + SECOND, full(entry("a")))
    assert states(back) == {"a": State.READY}
    assert states(roster.expire_unlisted(NOW + trust.UNLISTED_RETENTION_US + 1)) == {"b": State.GONE}
    assert list(roster.known) == ["a"]


def test_a_drain_report_overrules_a_late_list_until_the_process_is_replaced():
    roster = Roster()
    roster.apply_list(NOW, full(entry("a", started=5)))
    assert states(roster.record_report(NOW, "a", draining=True)) == {"a": State.DRAINING}
    assert states(roster.apply_list(NOW, full(entry("a", started=5)))) == {"a": State.DRAINING}
    assert states(roster.apply_list(NOW, full(entry("a", started=9)))) == {"a": State.READY}


def test_a_new_process_at_the_same_address_is_noticed_before_the_list_names_it():
    roster = Roster()
    roster.apply_list(NOW, full(entry("a", started=10 * SECOND)))
    assert roster.record_report(NOW, "a", started_us=10 * SECOND + 300) is None  # two reports of one start
    fresh = roster.record_report(NOW, "a", started_us=400 * SECOND).entries[0]
    assert fresh.started_us == 400 * SECOND
    late = roster.apply_list(NOW, full(entry("a", started=10 * SECOND)))
    assert late.entries[0].started_us == 400 * SECOND
    known = roster.apply_list(NOW, full(entry("a", started=400 * SECOND + 500)))
    assert known.entries[0].started_us == 400 * SECOND  # the same process: its warm copies are not forgotten
    newer = roster.apply_list(NOW, full(entry("a", started=450 * SECOND)))
    assert newer.entries[0].started_us == 450 * SECOND


def test_a_process_without_a_listed_start_is_identified_by_its_own_report():
    roster = Roster()
    roster.apply_list(NOW, full(entry("a")))
    assert roster.record_report(NOW, "a", started_us=100 * SECOND) is None
    assert roster.record_report(NOW, "a", started_us=300 * SECOND).entries[0].started_us == 300 * SECOND
    assert roster.apply_list(NOW, full(entry("a"))).entries[0].started_us == 300 * SECOND


@given(st.data())
def test_the_updates_for_the_router_add_up_to_the_rosters_entries(data):
    """In whatever order inputs come, the view built from the updates equals the roster's own."""
    roster, view, now = Roster(3), {}, NOW
    names = st.sampled_from(["a", "b", "c", "d"])
    entries = st.builds(
        entry, names, st.sampled_from([State.READY, State.DRAINING]), st.sampled_from([0, 5, 10**8])
    )

    def take(update):
        for changed in update.entries if update else ():
            view[changed.worker] = changed
            if changed.state is State.GONE:
                del view[changed.worker]

    for _ in range(data.draw(st.integers(0, 15))):
        now += data.draw(st.integers(0, 40 * SECOND))
        match data.draw(st.integers(0, 5)):
            case 0:
                listed = {drawn.worker: drawn for drawn in data.draw(st.lists(entries, max_size=4))}
                take(roster.apply_list(now, full(*listed.values())))
            case 1:
                ages = st.sampled_from([SECOND, HOUR, DAY, None])
                take(roster.add_saved(now, data.draw(st.lists(st.tuples(entries, ages), max_size=4))))
            case 2:
                start = data.draw(st.sampled_from([0, 10**8, 4 * 10**8]))
                drains, answered = data.draw(st.booleans()), data.draw(st.booleans())
                take(
                    roster.record_report(
                        now, data.draw(names), drains and answered, start if answered else 0, answered
                    )
                )
            case 3:
                roster.due_queries(now)
            case 4:
                take(roster.query_ended(now, data.draw(names), False, 0, data.draw(st.booleans())))
            case 5:
                take(roster.expire_unlisted(now))
        assert view == {known.worker: known for known in roster.entries()}


# In the engine.


def test_a_gateway_without_any_list_refuses_in_time_and_one_with_a_saved_list_serves():
    play = EngineHarness(workers=None)
    play.call(left=300_000)
    play.advance(300_000)
    assert play.answer_kinds() == ["refused"]
    out = play.step(ports.Saved(((entry("a"), DAY), (entry("b"), DAY))))
    assert {o.worker for o in of_type(out, ports.Ask)} == {"a", "b"}
    play.step(ports.Asked("a", True), ports.Asked("b", True, draining=True))
    for number in range(20):
        play.call(function=f"f{number}")
        play.advance(100_000)
    assert {s.worker for s in of_type(play.outputs, ports.Start)} == {"a"}


def test_a_list_that_keeps_changing_does_not_lose_estimated_copies():
    play = EngineHarness()
    start = of_type(play.call(), ports.Start)[0]
    play.end_attempt(start)
    for _ in range(50):
        play.step(ports.Listed(full()))
        play.advance(200_000, 20_000)
        play.step(ports.Listed(full(entry("a"), entry("b"), entry("c"))))
        play.advance(200_000, 20_000)
        if not play.engine.router.workers[start.worker].estimated_copies("f", play.now):
            break  # expired by its idle time, not by the list
    assert play.now - 100_000_000 >= SETTINGS.idle_life_us


def test_ten_thousand_replaced_workers_leave_no_records():
    play = EngineHarness(replace(SETTINGS, cold_us=0), workers=())
    sizes = []
    for number in range(10_000):
        play.step(
            ports.Listed(
                full(entry(f"w{number}", started=number + 1), entry(f"v{number % 3}", started=number + 1))
            )
        )
        play.now += 400_000
        if number % 10 == 0:
            for start in of_type(play.call(function=f"f{number}"), ports.Start):
                play.end_attempt(start)
        play.outputs.clear()
        if number % 1_000 == 999:
            sizes.append(tables(play.engine))
    assert (
        max(size["workers"] for size in sizes) < 120 and sizes[-1]["roster"] < 120
    )  # those of 30 s are retained
    for name in ("workers", "functions", "roster", "untried", "timers", "calls", "module_calls", "orders"):
        assert sizes[-1][name] <= max(size[name] for size in sizes[:3]) + 5, name


# The store of the saved list, and the client of list services.


def test_a_list_that_cannot_be_written_is_logged_once(tmp_path):
    lines, posts = [], []
    roster = Roster()
    store = SavedListStore(
        tmp_path / "file" / "list", Clock(), roster, lambda *a, **k: lines.append(a), posts.append
    )
    (tmp_path / "file").write_text("")
    roster.apply_list(Clock.now_us(), full(entry("a")))
    for _ in range(3):
        store._saved_us = 0
        store.save_if_due(Clock.now_us())
        store._pool.submit(lambda: None).result()
        while posts:
            posts.pop()()
    store.close()
    assert [line[1] for line in lines] == ["saved-list-not-written"]


def test_a_collapsed_list_does_not_replace_the_saved_one(tmp_path):
    posts = []
    roster = Roster()
    store = SavedListStore(tmp_path, Clock(), roster, lambda *a, **k: None, posts.append)

    def save():
        store._saved_us = 0
        store.save_if_due(Clock.now_us())
        store._pool.submit(lambda: None).result()
        while posts:
            posts.pop()()
        return len(saved.read(tmp_path).saved.workers)

    roster.apply_list(Clock.now_us(), full(*(entry(f"w{n}") for n in range(10))))
    assert save() == 10
    roster.apply_list(Clock.now_us(), full(entry("w0")))
    assert save() == 10
    roster.apply_list(Clock.now_us(), full())
    assert save() == 10
    roster.size_since = -trust.COLLAPSE_CONFIRM_US  # the size has been the same for ten minutes
    assert save() == 10  # an empty list is never saved
    roster.apply_list(Clock.now_us(), full(entry("w0")))
    roster.size_since = -trust.COLLAPSE_CONFIRM_US
    assert save() == 1
    store.close()


FAULTS = ["down", "hang", "cut", "empty", "half", "back", "malformed", "slow"]


@pytest.mark.parametrize("fault", FAULTS)
def test_the_client_recovers_from_every_fault_of_a_list_server(fault):
    async def body():
        listing = Listing(Trace("list"), 0.0)
        port = listing.start()
        for number in range(6):
            listing.put(f"127.0.0.1:{1_000 + number}", now=True, started_ms=0)
        seen, lines = [], []
        service = ListServiceClient(
            (f"127.0.0.1:{port}",), "calc", 1, "gw", lambda ms: int(ms), seen.append,
            lambda *a, **k: lines.append((a, k)), random.Random(1),
        )  # fmt: skip
        task = asyncio.ensure_future(service.run())

        async def until(condition):
            for _ in range(1_600):
                if seen and condition(seen[-1]):
                    return
                await asyncio.sleep(0.005)
            raise AssertionError((fault, seen[-1:], lines[-3:]))

        await until(lambda m: len(m.entries) == 6)
        listing.fault(fault, 0.4)
        listing.put("127.0.0.1:2000", now=True, started_ms=0)
        await until(lambda m: len(m.entries) == 7)
        assert all(m.kind is ListKind.FULL for m in seen)
        task.cancel()
        listing.server.stop()

    run(body())


def test_the_stand_in_records_only_updates_that_a_live_process_received():
    # A `gone` that was written to a killed process was counted against the gateway that replaced it, and a
    # `draining` that both processes received was not.
    async def body():
        trace = Trace("list")
        listing = Listing(trace, 0.0)
        port = listing.start()
        replaced, drained = "127.0.0.1:1000", "127.0.0.1:2000"
        listing.put(replaced, now=True, started_ms=0)
        listing.put(drained, "draining", now=True, started_ms=0)

        async def ask(index, read):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            target = f"/v1/health/service/calc?index={index}&wait=5s"
            writer.write(f"GET {target} HTTP/1.1\r\nhost: l\r\nswiftwell-gateway: gw\r\n\r\n".encode())
            if read:
                await reader.readuntil(b"]")
            return writer

        def received():
            return [(event["worker"], event["state"]) for event in trace.events if event["ev"] == "told"]

        (await ask(0, read=True)).close()
        assert received() == [(replaced, "running"), (drained, "draining")]
        asked = sum(event["ev"] == "list-asked" for event in trace.events)
        killed = await ask(listing.index, read=False)
        for _ in range(400):  # its request waits for a change of the list
            if sum(event["ev"] == "list-asked" for event in trace.events) > asked:
                break
            await asyncio.sleep(0.005)
        killed.close()
        await killed.wait_closed()
        listing.put(replaced, "gone", now=True)
        for _ in range(400):
            if not listing.server.streams:
                break
            await asyncio.sleep(0.005)
        assert not listing.server.streams and len(received()) == 2
        (await ask(0, read=True)).close()  # the process that replaced it
        assert received()[2:] == [(drained, "draining"), (replaced, "gone")]
        listing.server.stop()

    run(body())


def test_servers_are_tried_in_turn():
    async def body():
        listing = Listing(Trace("list"), 0.0)
        port = listing.start()
        listing.put("127.0.0.1:1000", now=True, started_ms=0)
        seen = []
        service = ListServiceClient(
            ("127.0.0.1:9", f"127.0.0.1:{port}"), "calc", 1, "gw", int, seen.append, lambda *a, **k: None,
            random.Random(1),
        )  # fmt: skip
        task = asyncio.ensure_future(service.run())
        for _ in range(400):
            if seen:
                break
            await asyncio.sleep(0.01)
        assert seen[0].entries[0].worker == "127.0.0.1:1000"
        task.cancel()
        listing.server.stop()

    run(body())


# The command line.


def test_a_list_made_from_a_file_is_shown_verified_and_dated(tmp_path):
    workers = tmp_path / "w.kdl"
    workers.write_text('worker "127.0.0.1:1" kind="k"\nworker "127.0.0.1:2" state="draining"\n')
    call = lambda *arguments: CliRunner().invoke(main, ["list", *map(str, arguments)])  # noqa: E731
    assert call("make", workers, tmp_path / "state").exit_code == 0
    shown = call("show", tmp_path / "state").output
    assert "127.0.0.1:1" in shown and "draining" in shown
    assert call("age", tmp_path / "state").output.strip() in ("0", "1", "2")
    assert call("verify", tmp_path / "state").exit_code == 0
    current = tmp_path / "state" / "list" / "current"
    current.write_bytes(current.read_bytes()[:-1])
    broken = call("verify", tmp_path / "state")
    assert broken.exit_code == 1 and "cut short" in broken.output
    assert call("show", tmp_path / "state").exit_code == 1
    workers.write_text('wrker "x"\n')
    assert call("make", workers, tmp_path / "state").exit_code == 2


def test_a_second_gateway_on_one_state_folder_exits_with_an_error(tmp_path):
    site = tmp_path / "s.kdl"
    site.write_text(
        f'state "{tmp_path / "state"}"\nclass "a" wanted-ms=1 deadline-ms=1\nmqtt-listener port=0\n'
        'workers { worker "127.0.0.1:9" }\n'
    )
    command = [sys.executable, "-m", "swiftwell", "serve", str(site), "--ready"]
    first = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    try:
        assert "listener" in first.stdout.readline()
        second = subprocess.run(command, capture_output=True, text=True, timeout=20, check=False)
        assert second.returncode == 1 and "another gateway holds this state folder" in second.stderr
    finally:
        first.terminate()
        first.wait()
    assert first.returncode == 0 and os.path.exists(tmp_path / "state" / "lock")


def test_a_rebuilt_router_is_given_every_worker():
    play = EngineHarness()
    play.engine._rebuild_router()
    play.step()
    assert set(play.engine.router.workers) == {"a", "b", "c"}
    assert isinstance(play.engine.router.workers["a"].entry, io.WorkerEntry)


def test_a_gateway_that_starts_without_a_list_uses_that_of_a_peer(tmp_path):
    from socketbench import Console, gateway, raw_worker, serving

    async def body():
        async with raw_worker(serving) as worker:
            listing = Listing(Trace("list"), 0.0)
            port = listing.start()
            listing.put(worker, now=True, started_ms=0, kind="k")
            block = 'list {{ servers "127.0.0.1:{}"; wait-s 1; peers "127.0.0.1:{}" }}'
            health = "health port=0"
            first = gateway(tmp_path / "a", workers=block.format(port, 9), extra=health)
            async with first as running:
                console = await Console("a").connect(running.listener_port)
                assert (await console.call())[0] == "served"
                second = gateway(tmp_path / "b", workers=block.format(9, running.health_port), extra=health)
                async with second as started:
                    other = await Console("b").connect(started.listener_port)
                    for _ in range(10):
                        kind, _ = await other.call(timeout=900)
                        if kind == "served":
                            break
                    assert kind == "served" and "list-of-peer" in started.lines.getvalue()
            listing.server.stop()

    run(body())
