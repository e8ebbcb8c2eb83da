"""The saved list on disk, how far it is trusted, the roster that merges all words of workers, and the list
client."""

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
from swiftwell.discovery.keeper import Keeper
from swiftwell.discovery.roster import Roster
from swiftwell.discovery.sources import ListService
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
    return {e.worker: e.state for e in members.entries} if members else {}


# On disk.


def a_list(epoch=7, wall=10 * DAY, mono=HOUR, boot="b", count=3):
    workers = tuple(
        saved.SavedWorker(f"10.0.0.{n}:1", "k", listed_us=wall, answered_us=wall - HOUR) for n in range(count)
    )
    return saved.SavedList(epoch, wall, mono, boot, workers)


def test_a_list_comes_back_and_the_one_before_is_kept(tmp_path):
    assert saved.read(tmp_path) == saved.Found(None, "", ())
    saved.write(tmp_path, a_list(1))
    saved.write(tmp_path, a_list(2))
    assert saved.read(tmp_path).saved == a_list(2)
    (tmp_path / "current").unlink()
    assert saved.read(tmp_path).saved == a_list(1)


@given(st.binary(max_size=80), st.integers(0, 200), st.integers(0, 255))
def test_whatever_lies_in_a_file_it_is_used_whole_or_not_at_all(noise, at, byte):
    raw = bytearray(saved.encode(a_list()))
    raw[at % len(raw)] = byte
    for damaged in (bytes(raw), bytes(raw[: at % len(raw)]), noise):
        try:
            assert saved.decode(damaged, "f") == a_list()
        except saved.Unusable as error:
            assert str(error).startswith("f: ")


@pytest.mark.parametrize(
    ("damage", "word"),
    [
        (lambda raw: raw[:-4], "cut short"),
        (lambda raw: raw[:10], "cut short"),
        (lambda raw: raw[:-1] + bytes((raw[-1] ^ 1,)), "checksum"),
        (lambda raw: b"X" + raw[1:], "not a saved list"),
        (lambda raw: saved.encode(a_list(), 9), "newer version"),
    ],
)
def test_what_cannot_be_used_is_told_and_the_one_before_is_used(tmp_path, damage, word):
    saved.write(tmp_path, a_list(1))
    saved.write(tmp_path, a_list(2))
    current = tmp_path / "current"
    current.write_bytes(damage(current.read_bytes()))
    found = saved.read(tmp_path)
    assert found.saved == a_list(1) and word in found.problems[0] and "current" in found.problems[0]
    saved.write(tmp_path, a_list(3))
    assert saved.read(tmp_path).saved == a_list(3)
    if word == "newer version":  # kept for the version that can read it
        assert saved.HEAD.unpack_from((tmp_path / "newer").read_bytes())[1] == 9


KILLED = """
import os, signal, sys
from pathlib import Path
from swiftwell.discovery import saved
def step(name):
    if name == sys.argv[2]:
        os.kill(os.getpid(), signal.SIGKILL)
saved._step = step
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
def test_a_kill_at_any_step_of_writing_leaves_a_list(tmp_path, step):
    saved.write(tmp_path, a_list(0))
    saved.write(tmp_path, a_list(1))
    done = subprocess.run([sys.executable, "-c", KILLED, str(tmp_path), step], check=False)
    assert done.returncode == -9
    found = saved.read(tmp_path)
    assert not found.problems and found.saved.epoch == (2 if step == "renamed" else 1)
    saved.write(tmp_path, a_list(3))
    assert saved.read(tmp_path).saved.epoch == 3


def test_the_age_of_a_word():
    told = a_list(wall=10 * DAY, mono=HOUR, boot="b")
    word = 10 * DAY - HOUR
    age = lambda *now: saved.age_us(told, word, *now)  # noqa: E731
    assert age(10 * DAY + HOUR, 99, "c") == 2 * HOUR  # another run of the machine: the wall clock tells
    assert age(9 * DAY, 2 * HOUR, "b") == 2 * HOUR  # the same: whatever was done to the wall clock
    assert age(9 * DAY, 99, "c") is None  # from the future
    assert saved.age_us(told, 0, 11 * DAY, 0, "c") is None  # never heard of


# Trust.


def test_trust_falls_with_age():
    ages = [0, trust.FRESH_US, trust.FRESH_US + 1, trust.RECENT_US, trust.RECENT_US + 1, 10 * DAY, None]
    assert [int(trust.grade(age)) for age in ages] == [0, 0, 1, 1, 2, 2, 2]


def test_how_a_worker_that_answered_is_offered():
    # An old entry that says nothing of its start is taken as just started, one that confirms it as it was
    # listed.
    assert trust.offer(trust.Grade.OLD, 5_000, 0, NOW).started_us == NOW
    assert trust.offer(trust.Grade.OLD, 5_000, 5_100, NOW).started_us == 5_000
    assert trust.offer(trust.Grade.OLD, 5_000, 90 * SECOND, NOW).started_us == 90 * SECOND
    assert trust.offer(trust.Grade.RECENT, 5_000, 0, NOW).started_us == 5_000


def test_gateways_that_start_together_do_not_flood_a_worker():
    for gateways, workers in ((1, 4), (20, 8), (170, 64), (280, 85)):
        spread = trust.gap_us(gateways, workers) * workers / 1e6
        assert gateways / max(spread, 0.02) <= trust.ASKS_PER_S * 1.01 or gateways == 1


def test_when_a_list_may_replace_the_saved_one():
    ok = lambda **more: trust.may_save(**{"now_us": HOUR, "saved_us": 0, "saved": 10, "listed": 10,  # noqa: E731
                                          "since_us": HOUR, "changed": True} | more)  # fmt: skip
    assert ok() and ok(listed=5) and not ok(listed=0) and not ok(listed=0, since_us=0)
    assert not ok(listed=4) and ok(listed=4, since_us=HOUR - trust.COLLAPSE_US)
    assert not ok(saved_us=HOUR - SECOND) and not ok(saved_us=HOUR - 30 * SECOND, changed=False)


# The roster.


def test_fresh_entries_are_used_at_once_and_older_ones_when_they_answer():
    roster = Roster()
    told = roster.saved(NOW, [(entry("fresh"), SECOND), (entry("aged"), 60 * SECOND), (entry("old"), DAY)])
    assert states(told) == {"fresh": State.READY}
    assert sorted(roster.asks(NOW)) == ["aged", "fresh", "old"]
    assert states(roster.asked(NOW, "aged", False, 0, True)) == {"aged": State.READY}
    old = roster.asked(NOW, "old", False, 0, True).entries[0]
    assert old.state is State.READY and old.started_us == NOW
    assert roster.asked(NOW, "fresh", False, 0, True) is None  # nothing new


def test_a_saved_worker_that_has_drained_or_gone_is_never_offered():
    roster = Roster()
    roster.saved(NOW, [(entry("drained"), DAY), (entry("gone"), DAY), (entry("lost"), SECOND)])
    roster.asks(NOW)
    assert states(roster.asked(NOW, "drained", True, 0, True)) == {"drained": State.DRAINING}
    assert roster.asked(NOW, "gone", False, 0, False) is None
    assert states(roster.asked(NOW, "lost", False, 0, False)) == {"lost": State.GONE}  # it had been offered
    assert roster.asks(NOW + 1) == []  # asked again later, not at once
    assert sorted(roster.asks(NOW + 3 * SECOND)) == ["gone", "lost"]


def test_questions_are_bounded_and_paced():
    roster = Roster(170)
    roster.saved(NOW, [(entry(f"w{n}"), DAY) for n in range(64)])
    now, asked, most = NOW, [], 0
    out = []
    while len(asked) < 64:
        for worker in roster.asks(now):
            asked.append((now, worker))
            out.append(worker)
        most = max(most, len(out))
        if out:
            roster.asked(now, out.pop(0), False, 0, True)
        now = max(now + 1_000, roster.next_us(now) or now)
    assert most <= trust.AT_ONCE and asked[-1][0] - NOW > 2 * SECOND  # 170 gateways over 50 a second is 3.4 s


def test_a_live_list_corrects_everything_within_one_round():
    roster = Roster()
    roster.saved(NOW, [(entry("a"), DAY), (entry("b"), DAY), (entry("c"), SECOND)])
    roster.asks(NOW)
    roster.asked(NOW, "a", False, 0, True)
    told = roster.listed(NOW + SECOND, full(entry("b"), entry("d")))
    assert states(told) == {
        "b": State.READY, "d": State.READY, "a": State.DRAINING, "c": State.GONE}  # fmt: skip
    assert roster.asks(NOW + 2 * SECOND) == [] and roster.saved(NOW, [(entry("z"), SECOND)]) is None


def test_an_empty_list_is_obeyed_and_beliefs_wait_a_while():
    roster = Roster()
    roster.listed(NOW, full(entry("a"), entry("b")))
    assert set(states(roster.listed(NOW + 1, full())).values()) == {State.DRAINING}
    assert roster.step(NOW + SECOND) is None
    back = roster.listed(NOW + SECOND, full(entry("a")))
    assert states(back) == {"a": State.READY}
    assert states(roster.step(NOW + trust.LINGER_US + 1)) == {"b": State.GONE}
    assert list(roster.known) == ["a"]


def test_a_worker_that_says_it_drains_overrules_a_late_list_until_it_is_another_process():
    roster = Roster()
    roster.listed(NOW, full(entry("a", started=5)))
    assert states(roster.said(NOW, "a", draining=True)) == {"a": State.DRAINING}
    assert states(roster.listed(NOW, full(entry("a", started=5)))) == {"a": State.DRAINING}
    assert states(roster.listed(NOW, full(entry("a", started=9)))) == {"a": State.READY}


def test_another_process_at_the_same_address_is_seen_before_the_list_knows():
    roster = Roster()
    roster.listed(NOW, full(entry("a", started=10 * SECOND)))
    assert roster.said(NOW, "a", started_us=10 * SECOND + 300) is None  # two words for one start
    fresh = roster.said(NOW, "a", started_us=400 * SECOND).entries[0]
    assert fresh.started_us == 400 * SECOND
    late = roster.listed(NOW, full(entry("a", started=10 * SECOND)))
    assert late.entries[0].started_us == 400 * SECOND
    known = roster.listed(NOW, full(entry("a", started=400 * SECOND + 500)))
    assert known.entries[0].started_us == 400 * SECOND  # the same process: its warm copies are not forgotten
    newer = roster.listed(NOW, full(entry("a", started=450 * SECOND)))
    assert newer.entries[0].started_us == 450 * SECOND


def test_a_process_without_a_listed_start_is_known_by_its_own_word():
    roster = Roster()
    roster.listed(NOW, full(entry("a")))
    assert roster.said(NOW, "a", started_us=100 * SECOND) is None
    assert roster.said(NOW, "a", started_us=300 * SECOND).entries[0].started_us == 300 * SECOND
    assert roster.listed(NOW, full(entry("a"))).entries[0].started_us == 300 * SECOND


@given(st.data())
def test_what_the_module_believes_is_what_the_roster_says(data):
    """Whatever comes in whatever order, the module's view by the updates equals the roster's own."""
    roster, view, now = Roster(3), {}, NOW
    names = st.sampled_from(["a", "b", "c", "d"])
    entries = st.builds(
        entry, names, st.sampled_from([State.READY, State.DRAINING]), st.sampled_from([0, 5, 10**8])
    )

    def take(told):
        for e in told.entries if told else ():
            view[e.worker] = e
            if e.state is State.GONE:
                del view[e.worker]

    for _ in range(data.draw(st.integers(0, 15))):
        now += data.draw(st.integers(0, 40 * SECOND))
        match data.draw(st.integers(0, 5)):
            case 0:
                one = {e.worker: e for e in data.draw(st.lists(entries, max_size=4))}
                take(roster.listed(now, full(*one.values())))
            case 1:
                ages = st.sampled_from([SECOND, HOUR, DAY, None])
                take(roster.saved(now, data.draw(st.lists(st.tuples(entries, ages), max_size=4))))
            case 2:
                start = data.draw(st.sampled_from([0, 10**8, 4 * 10**8]))
                drains, heard = data.draw(st.booleans()), data.draw(st.booleans())
                take(roster.said(now, data.draw(names), drains and heard, start if heard else 0, heard))
            case 3:
                roster.asks(now)
            case 4:
                take(roster.asked(now, data.draw(names), False, 0, data.draw(st.booleans())))
            case 5:
                take(roster.step(now))
        assert view == {e.worker: e for e in roster.entries()}


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


def test_a_flapping_list_costs_no_warm_belief():
    play = EngineHarness()
    start = of_type(play.call(), ports.Start)[0]
    play.end_attempt(start)
    for _ in range(50):
        play.step(ports.Listed(full()))
        play.advance(200_000, 20_000)
        play.step(ports.Listed(full(entry("a"), entry("b"), entry("c"))))
        play.advance(200_000, 20_000)
        if not play.engine.router.workers[start.worker].believed("f", play.now):
            break  # by its idle life, not by the list
    assert play.now - 100_000_000 >= SETTINGS.idle_life_us


def test_ten_thousand_replacements_leave_nothing_behind():
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
    assert max(size["workers"] for size in sizes) < 120 and sizes[-1]["roster"] < 120  # 30 s of them linger
    for name in ("workers", "functions", "roster", "untried", "timers", "calls", "module_calls", "orders"):
        assert sizes[-1][name] <= max(size[name] for size in sizes[:3]) + 5, name


# The keeper and the client of list services.


def test_a_list_that_cannot_be_written_is_told_once_and_survived(tmp_path):
    lines, posts = [], []
    roster = Roster()
    keeper = Keeper(
        tmp_path / "file" / "list", Clock(), roster, lambda *a, **k: lines.append(a), posts.append
    )
    (tmp_path / "file").write_text("")
    roster.listed(Clock.now_us(), full(entry("a")))
    for _ in range(3):
        keeper._saved_us = 0
        keeper.look(Clock.now_us())
        keeper._pool.submit(lambda: None).result()
        while posts:
            posts.pop()()
    keeper.close()
    assert [line[1] for line in lines] == ["saved-list-not-written"]


def test_a_collapsed_list_does_not_replace_the_saved_one(tmp_path):
    posts = []
    roster = Roster()
    keeper = Keeper(tmp_path, Clock(), roster, lambda *a, **k: None, posts.append)

    def save():
        keeper._saved_us = 0
        keeper.look(Clock.now_us())
        keeper._pool.submit(lambda: None).result()
        while posts:
            posts.pop()()
        return len(saved.read(tmp_path).saved.workers)

    roster.listed(Clock.now_us(), full(*(entry(f"w{n}") for n in range(10))))
    assert save() == 10
    roster.listed(Clock.now_us(), full(entry("w0")))
    assert save() == 10
    roster.listed(Clock.now_us(), full())
    assert save() == 10
    roster.size_since = -trust.COLLAPSE_US  # it has held for ten minutes
    assert save() == 10  # empty never does
    roster.listed(Clock.now_us(), full(entry("w0")))
    roster.size_since = -trust.COLLAPSE_US
    assert save() == 1
    keeper.close()


FAULTS = ["down", "hang", "cut", "empty", "half", "back", "malformed", "slow"]


@pytest.mark.parametrize("fault", FAULTS)
def test_the_client_comes_through_every_fault_of_a_list_server(fault):
    async def body():
        listing = Listing(Trace("list"), 0.0)
        port = listing.start()
        for number in range(6):
            listing.put(f"127.0.0.1:{1_000 + number}", now=True, started_ms=0)
        seen, lines = [], []
        service = ListService(
            (f"127.0.0.1:{port}",), "calc", 1, "gw", lambda ms: int(ms), seen.append,
            lambda *a, **k: lines.append((a, k)), random.Random(1),
        )  # fmt: skip
        task = asyncio.ensure_future(service.run())

        async def until(test):
            for _ in range(1_600):
                if seen and test(seen[-1]):
                    return
                await asyncio.sleep(0.005)
            raise AssertionError((fault, seen[-1:], lines[-3:]))

        await until(lambda m: len(m.entries) == 6)
        listing.fault(fault, 0.4)
        listing.put("127.0.0.1:2000", now=True, started_ms=0)
        await until(lambda m: len(m.entries) == 7)
        assert all(m.how is ListKind.FULL for m in seen)
        task.cancel()
        listing.server.stop()

    run(body())


def test_what_is_written_to_a_process_that_is_gone_was_told_to_nobody_and_a_new_one_is_told_all():
    # The checker held a gateway to a `gone` that had gone to the process killed before it was started, and
    # not to a `draining` that the new process was told as the old one had been.
    async def body():
        trace = Trace("list")
        listing = Listing(trace, 0.0)
        port = listing.start()
        one, two = "127.0.0.1:1000", "127.0.0.1:2000"
        listing.put(one, now=True, started_ms=0)
        listing.put(two, "draining", now=True, started_ms=0)

        async def ask(index, read):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            target = f"/v1/health/service/calc?index={index}&wait=5s"
            writer.write(f"GET {target} HTTP/1.1\r\nhost: l\r\nswiftwell-gateway: gw\r\n\r\n".encode())
            if read:
                await reader.readuntil(b"]")
            return writer

        def told():
            return [(e["worker"], e["state"]) for e in trace.kept if e["ev"] == "told"]

        (await ask(0, read=True)).close()
        assert told() == [(one, "running"), (two, "draining")]
        asked = sum(e["ev"] == "list-asked" for e in trace.kept)
        killed = await ask(listing.index, read=False)
        for _ in range(400):  # its question waits there for a change
            if sum(e["ev"] == "list-asked" for e in trace.kept) > asked:
                break
            await asyncio.sleep(0.005)
        killed.close()
        await killed.wait_closed()
        listing.put(one, "gone", now=True)
        for _ in range(400):
            if not listing.server.streams:
                break
            await asyncio.sleep(0.005)
        assert not listing.server.streams and len(told()) == 2
        (await ask(0, read=True)).close()  # the process after it
        assert told()[2:] == [(two, "draining"), (one, "gone")]
        listing.server.stop()

    run(body())


def test_servers_are_tried_in_turn():
    async def body():
        listing = Listing(Trace("list"), 0.0)
        port = listing.start()
        listing.put("127.0.0.1:1000", now=True, started_ms=0)
        seen = []
        service = ListService(
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


def test_a_list_made_by_hand_is_shown_verified_and_aged(tmp_path):
    workers = tmp_path / "w.kdl"
    workers.write_text('worker "127.0.0.1:1" kind="k"\nworker "127.0.0.1:2" state="draining"\n')
    call = lambda *words: CliRunner().invoke(main, ["list", *map(str, words)])  # noqa: E731
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


def test_a_second_gateway_on_one_state_folder_is_refused_plainly(tmp_path):
    site = tmp_path / "s.kdl"
    site.write_text(
        f'state "{tmp_path / "state"}"\nclass "a" wanted-ms=1 deadline-ms=1\nmqtt-listener port=0\n'
        'workers { worker "127.0.0.1:9" }\n'
    )
    words = [sys.executable, "-m", "swiftwell", "serve", str(site), "--ready"]
    first = subprocess.Popen(words, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    try:
        assert "listener" in first.stdout.readline()
        second = subprocess.run(words, capture_output=True, text=True, timeout=20, check=False)
        assert second.returncode == 1 and "another gateway holds this state folder" in second.stderr
    finally:
        first.terminate()
        first.wait()
    assert first.returncode == 0 and os.path.exists(tmp_path / "state" / "lock")


def test_engine_tells_books_made_anew_of_every_worker():
    play = EngineHarness()
    play.engine._rebuild_router()
    play.step()
    assert set(play.engine.router.workers) == {"a", "b", "c"}
    assert isinstance(play.engine.router.workers["a"].entry, io.WorkerEntry)


def test_a_gateway_that_starts_without_a_list_takes_that_of_a_peer(tmp_path):
    from socketbench import Console, gateway, raw_worker, serving

    async def body():
        async with raw_worker(serving) as worker:
            listing = Listing(Trace("list"), 0.0)
            port = listing.start()
            listing.put(worker, now=True, started_ms=0, kind="k")
            block = 'list {{ servers "127.0.0.1:{}"; wait-s 1; peers "127.0.0.1:{}" }}'
            health = "health port=0"
            first = gateway(tmp_path / "a", workers=block.format(port, 9), extra=health)
            async with first as one:
                console = await Console("a").connect(one.listener_port)
                assert (await console.call())[0] == "served"
                second = gateway(tmp_path / "b", workers=block.format(9, one.health_port), extra=health)
                async with second as two:
                    other = await Console("b").connect(two.listener_port)
                    for _ in range(10):
                        kind, _ = await other.call(timeout=900)
                        if kind == "served":
                            break
                    assert kind == "served" and "list-of-peer" in two.lines.getvalue()
            listing.server.stop()

    run(body())
