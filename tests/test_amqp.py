"""AMQP over real sockets: stand-in broker, consuming gateways and publishers, in normal and failure cases."""

import asyncio
import json
import subprocess
import sys
import textwrap
import time
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from amqpbench import Publisher, broker, consuming, node, up
from socketbench import SITE, Console, gateway, http, raw_worker, run, serving

from swiftwell.fronts.amqp import codec
from swiftwell.fronts.amqp.client import Client, Refused, trigger
from swiftwell.fronts.amqp.codec import Properties
from swiftwell.standins.amqp import AmqpBroker


async def slow(number, head, reader, writer):
    await asyncio.sleep(0.3)
    writer.write(http(b"%d" % number))


def keyed(calls, answer=serving):
    """A worker that records the key of each call."""

    async def serve(number, head, reader, writer):
        calls.append(next(x[15:] for x in head.split("\r\n") if x.startswith("swiftwell-key")))
        return await answer(number, head, reader, writer)

    return serve


def unacked(server):
    return sum(len(ch.unacked) for connection in server.connections for ch in connection.channels.values())


async def wait_until(check, within=5.0):
    for _ in range(int(within * 100)):
        if check():
            return
        await asyncio.sleep(0.01)
    raise AssertionError(f"the condition did not hold within {within} s")


def test_calls_of_each_class_are_served_and_acknowledged(tmp_path):
    async def main():
        async with broker() as b, raw_worker(serving) as w, consuming(tmp_path, b.port, [w]) as gw:
            publisher = await Publisher().connect(b.port)
            assert await publisher.call("lectura") == ("served", "ok")
            assert await publisher.call("consigna", "k") == ("served", "ok")
            assert await publisher.call("consigna", "k") == (
                "served",
                "ok",
            )  # answered from the ledger, not run again
            assert await publisher.call("nope") == ("refused", "unknown-class")
            assert gw.engine.counts["told"] == 1
            await wait_until(lambda: not unacked(b) and not any(queue.ready for queue in b.queues.values()))

    run(main())


def test_one_key_over_both_fronts_runs_once(tmp_path):
    async def main():
        calls = []
        async with (
            broker() as b,
            raw_worker(keyed(calls, slow)) as w,
            consuming(tmp_path, b.port, [w]) as gw,
        ):
            publisher, console = await Publisher().connect(b.port), await Console().connect(gw.listener_port)
            over_amqp = publisher.publish("consigna", "valve-7")
            over_mqtt = console.publish("consigna", "valve-7")
            assert await publisher.answer(over_amqp) == ("served", "ok")
            assert await console.answer(over_mqtt) == ("served", "ok")
            # Later calls with the key, on either front.
            assert await console.call("consigna", "valve-7") == ("served", "ok")
            assert await publisher.call("consigna", "valve-7") == ("served", "ok")
            assert await publisher.call("consigna", "valve-7", body=b"other") == ("refused", "key-reused")
            assert calls == ["valve-7"]

    run(main())


@pytest.mark.parametrize("gateways", [1, 2])
def test_a_gateway_killed_with_triggers_in_hand_leaves_them_to_the_other(tmp_path, gateways):
    """Simulates process death as the broker sees it: the connection ends without a close method."""

    async def main():
        calls = []
        extra = f"gateways {gateways}\n"
        async with (
            broker() as b,
            raw_worker(keyed(calls, slow)) as w,
            consuming(tmp_path / "one", b.port, [w], extra=extra) as one,
        ):
            publisher = await Publisher().connect(b.port)
            await asyncio.sleep(0.1)
            # The broker delivers, and never receives the acknowledgement of the effect.
            correlations = [publisher.publish("lectura"), publisher.publish("consigna", "unsafe")]
            link = one.amqp[0]
            link._flush = lambda: None  # nothing is sent any more, the acknowledgement included
            await wait_until(lambda: unacked(b) == 2)
            await asyncio.sleep(0.1)
            assert "unsafe" not in calls  # not run before the broker has processed the acknowledgement
            link._closing = True
            link.stream.close()
            async with consuming(tmp_path / "two", b.port, [w], extra=extra):
                # The second gateway now has the trigger that is safe to repeat.
                assert (await publisher.answer(correlations[0]))[0] in ("served", "refused")
                kind = await publisher.answer(correlations[1])
                # Its connection is younger than the trigger, so an acknowledgement may have been lost before.
                assert (kind == ("failed", "may-have-run")) is (gateways == 2), kind
                assert calls.count("unsafe") <= 1

    run(main())


def test_a_trigger_delivered_again_over_a_link_that_stood_all_along_is_run(tmp_path):
    async def main():
        calls = []
        async with broker() as b, raw_worker(keyed(calls)) as w:
            holder = Client("holder")  # simulates a gateway that dies with an unacknowledged trigger
            async with consuming(tmp_path, b.port, [w], extra="gateways 2\n") as gw:
                gw.amqp[0].consumer.connected_at -= 3_600
                publisher = await Publisher().connect(b.port)
                gw.amqp[0].consumer.session.send(1, codec.Cancel("b-0"))
                gw.amqp[0]._flush()
                await holder.connect("127.0.0.1", b.port)
                await holder.request(codec.Consume(0, "calls", "held"))
                correlation = publisher.publish("consigna", "k")
                await wait_until(lambda: unacked(b) == 1)
                gw.amqp[0].consumer.session.send(1, codec.Consume(0, "calls", "b-0"))
                gw.amqp[0]._flush()
                holder.abort()
                assert await publisher.answer(correlation) == ("served", "ok")
                assert calls == ["k"] and gw.amqp[0].consumer.counts.redelivered == 1

    run(main())


def test_a_broker_that_crashes_and_forgets_acknowledgements_doubles_nothing(tmp_path):
    async def main():
        calls = []
        async with (
            broker() as b,
            raw_worker(keyed(calls)) as w,
            consuming(tmp_path / "a", b.port, [w], extra="gateways 2\n"),
            consuming(tmp_path / "b", b.port, [w], extra="gateways 2\nposition 1\n"),
        ):
            publisher = await Publisher().connect(b.port)
            for number in range(20):
                assert await publisher.call("consigna", f"k{number}") == ("served", "ok")
            assert len(calls) == 20
            b.fault("restart", for_s=0.2, lose_s=5.0)
            await wait_until(lambda: len(b.queues["calls"].ready) == 20)
            # All twenty are delivered again, to either gateway; each is answered, none runs.
            await wait_until(
                lambda: not b.queues["calls"].ready and not unacked(b) and len(b.connections) >= 2, 15
            )
            await asyncio.sleep(0.3)
            assert sorted(calls) == sorted(f"k{number}" for number in range(20))

    run(main())


def test_a_channel_error_in_mid_burst_loses_and_doubles_nothing(tmp_path):
    async def main():
        calls = []

        async def busy(number, head, reader, writer):
            await asyncio.sleep(0.05)
            writer.write(http())

        async with AsyncExitStack() as stack:
            b = await stack.enter_async_context(broker())
            workers = [await stack.enter_async_context(raw_worker(keyed(calls, busy))) for _ in range(6)]
            await stack.enter_async_context(
                consuming(tmp_path, b.port, workers, more="prefetch-least=40 prefetch-most=40")
            )
            publisher, correlations = await Publisher().connect(b.port), []
            for number in range(40):
                correlations.append(
                    publisher.publish("consigna" if number % 2 else "lectura", f"k{number}", 2_900)
                )
                await asyncio.sleep(0.015)
                if number == 20:
                    b.fault("channel_error")
            kinds = [(await publisher.answer(correlation, 8))[0] for correlation in correlations]
            unsafe = [key for key in calls if int(key[1:]) % 2]
            assert len(unsafe) == len(set(unsafe))
            assert set(kinds) <= {"served", "refused", "failed"} and kinds.count("served") >= 10
            await asyncio.sleep(0.3)
            assert all(len(answers) == 1 for answers in publisher.answers.values())

    run(main())


def test_a_lost_heartbeat_with_calls_in_flight_ends_the_link_and_the_answers_come_over_the_next(tmp_path):
    async def main():
        async with (
            broker() as b,
            raw_worker(slow) as w,
            consuming(tmp_path, b.port, [w], more="heartbeat-s=1") as gw,
        ):
            publisher = Publisher()
            publisher.client._login = type(publisher.client._login)("publisher", heartbeat_s=0)
            await publisher.connect(b.port)
            first = gw.amqp[0].stream
            correlation = publisher.publish("lectura", timeout=2_900)
            await wait_until(lambda: unacked(b) == 1)
            # The broker goes silent: it sends nothing to the gateway any more.
            for connection in b.connections:
                if connection.name == "gw":
                    connection.write = lambda data: None
            await wait_until(lambda: gw.amqp[0].stream is not first and gw.amqp[0].consumer.up, 8)
            assert "no input for two heartbeat intervals" in gw.lines.getvalue()
            assert await publisher.answer(correlation) == ("served", "ok")
            await wait_until(lambda: not unacked(b))

    run(main())


def test_blocked_publications_hold_answers_and_an_effect_is_kept_in_the_ledger(tmp_path):
    async def main():
        calls = []
        async with (
            broker() as b,
            raw_worker(keyed(calls)) as w,
            consuming(tmp_path, b.port, [w], more="waiting-answers=4") as gw,
        ):
            publisher = await Publisher().connect(b.port)
            assert await publisher.call("consigna", "first") == ("served", "ok")
            b.fault("alarm", for_s=1.5)
            await wait_until(lambda: gw.amqp[0].consumer.blocked)
            # The stand-in still accepts publications of other publishers; a real broker would block them.
            correlations = [publisher.publish("consigna", f"k{n}", 2_900) for n in range(8)]
            await wait_until(lambda: len(gw.amqp[0].consumer.outbox) >= 4)
            assert not publisher.answers.keys() & set(correlations)
            assert "published-blocked" not in {
                event["ev"] for event in b.trace.events if event.get("client") == "gw"
            }
            kinds = [await publisher.answer(correlation, 8) for correlation in correlations]
            assert {kind for kind, _ in kinds} <= {"served", "refused"}
            assert ("refused", "answers-blocked") in kinds or len(calls) == 9
            # Refused calls did not run, so a retry is harmless.
            for number, kind in enumerate(kinds):
                assert (f"k{number}" in calls) is (kind[0] == "served")
            assert await publisher.call("consigna", "first") == ("served", "ok")
            assert calls.count("first") == 1

    run(main())


@pytest.mark.parametrize("prefetch", [1, 65_535])
def test_prefetch_of_one_and_of_all(tmp_path, prefetch):
    async def main():
        async with (
            broker() as b,
            raw_worker(serving) as w,
            consuming(
                tmp_path, b.port, [w], more=f"prefetch-least={prefetch} prefetch-most={prefetch}"
            ) as gw,
        ):
            publisher = await Publisher().connect(b.port)
            correlations = [
                publisher.publish("consigna" if n % 3 == 0 else "lectura", timeout=2_900) for n in range(40)
            ]
            most = 0
            for correlation in correlations:
                await publisher.answer(correlation, 8)
                most = max(most, unacked(b))
            assert most <= prefetch
            assert gw.amqp[0].consumer.prefetch.limit == prefetch

    run(main())


def test_a_storm_of_5000_redeliveries_after_a_broker_restart(tmp_path):
    async def main():
        gate = asyncio.Event()
        calls = []

        async def hold(number, head, reader, writer):
            await gate.wait()
            writer.write(http())

        more = "prefetch-least=5000 prefetch-most=5000"
        async with (
            broker() as b,
            raw_worker(keyed(calls, hold)) as w,
            consuming(tmp_path, b.port, [w], more=more) as gw,
        ):
            publisher = await Publisher().connect(b.port)
            for number in range(5_000):
                publisher.publish("lectura", f"k{number}", timeout=60_000, reply="kept")
            await wait_until(lambda: unacked(b) == 5_000, 20)
            await wait_until(lambda: gw.engine.counts["calls"] == 5_000, 10)
            open_before = gw.engine.counts["calls"]
            b.fault("restart", for_s=0.2)
            await wait_until(lambda: gw.amqp[0].consumer.counts.redelivered >= 4_000, 25)
            # Redeliveries join their open calls; none becomes a new call.
            counts = gw.amqp[0].consumer.counts
            assert counts.duplicates == counts.redelivered and gw.engine.counts["calls"] == open_before
            gate.set()

    run(main())


def test_bodies_in_frames_of_one_byte(tmp_path):
    async def main():
        async def echo(number, head, reader, writer):
            writer.write(http(b"y" * 500))

        async with broker() as b, raw_worker(echo) as w, consuming(tmp_path, b.port, [w]):
            b.max_body_frame_bytes = 1
            publisher = await Publisher().connect(b.port)
            correlation = publisher.publish("consigna", "k", body=b"x" * 2_000)
            assert await publisher.answer(correlation) == ("served", "ok")
            assert publisher.answers[correlation][0]["body"] == b"y" * 500

    run(main())


def test_a_frame_larger_than_agreed_ends_the_connection_and_the_link_comes_back(tmp_path):
    async def main():
        async with (
            broker() as b,
            raw_worker(serving) as w,
            consuming(tmp_path, b.port, [w], more="frame-bytes=4096 body-bytes=100000") as gw,
        ):
            publisher = await Publisher().connect(b.port)
            assert await publisher.call(body=b"x" * 20_000) == ("served", "ok")  # in several frames
            for connection in b.connections:
                if connection.name == "gw":
                    connection.write(codec._frame(codec.BODY, 1, bytes(5_000)))
            await up(gw, False)
            await up(gw)
            assert "frame_error" in gw.lines.getvalue()
            assert await publisher.call() == ("served", "ok")
            correlation = publisher.publish(body=b"x" * 100_001)
            assert await publisher.answer(correlation) == ("refused", "malformed")

    run(main())


def test_a_tag_acknowledged_twice_is_an_error_of_the_channel():
    async def main():
        async with broker() as b:
            client = Client("twice")
            await client.connect("127.0.0.1", b.port)
            await client.request(codec.QueueDeclare(0, "q"))
            await client.request(codec.Consume(0, "q", "c"))
            client.publish("", "q", Properties(), b"x")
            await wait_until(lambda: unacked(b) == 1)
            for _ in range(2):
                client.session.send(1, codec.Ack(1))
            client._flush(client.connection)
            await wait_until(lambda: client.connection is None)
            assert "406" in client._close_reason and "unknown delivery tag 1" in client._close_reason

    run(main())


def test_expired_in_the_queue_and_on_arrival(tmp_path):
    async def main():
        calls = []
        async with broker() as b, raw_worker(keyed(calls)) as w:
            publisher = await Publisher().connect(b.port)
            async with consuming(tmp_path, b.port, [w]):
                pass  # declares the queue, which then has no consumer
            publisher.publish("consigna", "queue", timeout=100)
            late = Properties(
                headers={"key": "late", "timeout-ms": 1_000, "sent-ms": time.time() * 1e3 - 9_000},
                correlation_id="late",
                reply_to=publisher.reply,
            )
            publisher.client.publish("calls", "calls.t.consigna.f", late, b"x")
            await asyncio.sleep(0.4)
            async with consuming(tmp_path, b.port, [w]):
                assert await publisher.answer("late") == ("refused", "no-time-left")
                assert await publisher.call("consigna", "good") == ("served", "ok")
            assert calls == ["good"]
            assert [e["corr"] for e in b.trace.events if e["ev"] == "expired"] == ["q1"]

    run(main())


@pytest.mark.parametrize("hour", [3_600_000, -3_600_000])
def test_a_publishers_clock_an_hour_off_costs_it_nothing(tmp_path, hour):
    async def main():
        async with broker() as b, raw_worker(serving) as w, consuming(tmp_path, b.port, [w]):
            publisher = await Publisher().connect(b.port)
            await asyncio.sleep(
                0.4
            )  # earlier messages may have waited in the queue, so they are not used for skew
            kinds = []
            for _ in range(5):
                kinds.append(await publisher.call(sent_ms=time.time() * 1e3 + hour))
            # One message with an old time may have been queued; three that agree establish the skew.
            assert kinds[-1] == ("served", "ok") and {kind for kind, _ in kinds} <= {"served", "refused"}

    run(main())


def test_what_can_not_be_read_stands_in_the_dead_letters_with_its_reason(tmp_path):
    async def main():
        queue = '"calls" exchange="calls" dead-letter="dropped"; dead-letter "dead"'
        async with broker() as b, raw_worker(serving) as w, consuming(tmp_path, b.port, [w], queue=queue):
            reader, got = Client("reader", on_message=lambda event: got.append(event)), []
            await reader.connect("127.0.0.1", b.port)
            await reader.request(codec.QueueDeclare(0, "letters"))
            await reader.request(codec.QueueBind(0, "letters", "dead", "#"))
            await reader.request(codec.Consume(0, "letters", "c", no_ack=True))
            publisher = await Publisher().connect(b.port)
            correlation = publisher.publish(to="calls.t.lectura")
            assert await publisher.answer(correlation) == ("refused", "malformed")
            await wait_until(lambda: got)
            headers = got[0].properties.headers
            assert "the routing key is not" in headers["x-swiftwell-reason"]
            assert headers["x-swiftwell-routing-key"] == "calls.t.lectura" and got[0].body == b"x"
            await wait_until(lambda: not unacked(b))

    run(main())


def test_an_asker_that_is_gone_is_told_in_the_log_and_its_answer_kept(tmp_path):
    async def main():
        queue = '"calls" exchange="calls"; unroutable "unasked"'
        async with broker() as b, raw_worker(slow) as w, consuming(tmp_path, b.port, [w], queue=queue) as gw:
            publisher = await Publisher().connect(b.port)
            await publisher.client.request(codec.QueueDeclare(0, "unasked", durable=True))
            publisher.publish("consigna", "k")
            await wait_until(lambda: gw.engine.counts["calls"] == 1)
            publisher.client.abort()
            await wait_until(lambda: len(b.queues["unasked"].ready) == 1)
            assert b.queues["unasked"].ready[0].properties.headers["x-swiftwell-reply-to"] == publisher.reply
            assert "answer-unroutable" in gw.lines.getvalue()
            again = await Publisher().connect(b.port)
            assert await again.call("consigna", "k") == ("served", "ok")  # answered from the ledger

    run(main())


def test_queues_that_are_not_there_and_that_are_deleted(tmp_path):
    async def main():
        async with broker() as b, raw_worker(serving) as w:
            queue = '"made" declare=false'
            async with gateway(tmp_path, [w], extra=node(b.port, queue=queue)) as gw:
                await wait_until(lambda: "no queue 'made'" in gw.lines.getvalue())
                publisher = await Publisher().connect(b.port)
                await publisher.client.request(codec.QueueDeclare(0, "made", durable=True))
                await up(gw)
                correlation = publisher.publish(
                    to="made", exchange="", tenant="t", function="f", **{"class": "lectura"}
                )
                assert await publisher.answer(correlation) == ("served", "ok")
                b.fault("delete", queue="made")
                await up(gw, False)
                await publisher.client.request(codec.QueueDeclare(0, "made", durable=True))
                await up(gw)
                correlation = publisher.publish(
                    to="made", exchange="", tenant="t", function="f", **{"class": "lectura"}
                )
                assert await publisher.answer(correlation) == ("served", "ok")

    run(main())


def test_a_broker_that_is_away_wrong_or_refuses(tmp_path):
    async def main():
        async def garbage(reader, writer):
            await reader.read(8)
            writer.write(b"AMQP\0\1\0\0")
            await asyncio.sleep(0.1)
            writer.close()

        async with broker(users={"gw": "secret"}) as b, raw_worker(serving) as w:
            other = await asyncio.start_server(garbage, "127.0.0.1", 0)
            addresses = f'address "127.0.0.1:1" "127.0.0.1:{other.sockets[0].getsockname()[1]}"'
            addresses += f' "127.0.0.1:{b.port}"'
            for password, good in (("wrong", False), ("secret", True)):
                extra = f'amqp-broker "b" username="gw" password="{password}" {{ {addresses}; queue "q" }}'
                async with gateway(tmp_path, [w], extra=extra) as gw:
                    if good:
                        await up(gw)  # the third address, after two that fail
                    else:
                        await wait_until(lambda gw=gw: "the login was refused" in gw.lines.getvalue(), 8)
                    text = gw.lines.getvalue()
                    assert "no connection" in text and "not 0-9-1" in text
                    assert "wrong" not in text and "secret" not in text
            other.close()
            with pytest.raises(Refused, match="login was refused"):
                await Client("x", username="gw", password="no").connect("127.0.0.1", b.port)

    run(main())


def test_priorities_go_first(tmp_path):
    async def main():
        calls = []
        queue = '"calls" exchange="calls" max-priority=9'
        async with broker() as b, raw_worker(keyed(calls)) as w:
            async with consuming(tmp_path, b.port, [w], queue=queue):
                pass
            publisher = await Publisher().connect(b.port)
            for number, priority in enumerate([0, 0, 0, 5, 9, 200]):
                properties = trigger(f"{number}", publisher.reply, f"p{number}", 2_900)
                properties.priority = priority
                publisher.client.publish("calls", "calls.t.lectura.f", properties, b"x")
            await wait_until(lambda: len(b.queues["calls"].ready) == 6)
            async with consuming(tmp_path, b.port, [w], more="prefetch-least=1 prefetch-most=1", queue=queue):
                for number in range(6):
                    await publisher.answer(f"p{number}")
            assert calls == ["4", "5", "3", "0", "1", "2"]

    run(main())


def test_the_command_line_publishes_one_trigger(tmp_path):
    async def call(*arguments):
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "swiftwell", "call", "--amqp", "--json", *arguments, stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )  # fmt: skip
        out, _ = await process.communicate()
        return process.returncode, json.loads(out)

    async def main():
        async with broker() as b, raw_worker(serving) as w, consuming(tmp_path, b.port, [w]):
            at = f"127.0.0.1:{b.port}"
            results = await asyncio.gather(
                call(at, "calls/t/consigna/valve", "on", "--key", "k", "--priority", "3"),
                call(at, "calls/t/nope/valve"),
                call(at, "calls/t/lectura/f", "--exchange", "amq.topic"),
                call("127.0.0.1:1", "calls/t/lectura/f"),
            )
            assert [code for code, _ in results] == [0, 3, 1, 1]
            reasons = [answer["reason"] for _, answer in results]
            assert results[0][1]["body"] == "done" and reasons[1] == "unknown-class"
            assert "no queue takes it" in reasons[2] and "no connection" in reasons[3]

    run(main())


# Handover to a new process, with the connection to the broker.


@asynccontextmanager
async def process(folder, b, worker, more=""):
    """Gateway processes on one state folder; yields a start function and the list of all processes."""
    site, started = folder / "s.kdl", []
    site.write_text(
        SITE.format(
            state=folder / "state", workers=f'worker "{worker}" kind="k"', orders="orders false;",
            more="", listener="", extra=f"{node(b.port, more)}\nlog format=\"json\"",
        )
    )  # fmt: skip

    async def start(*arguments):
        with open(folder / "log", "ab") as err:
            gateway_process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "swiftwell", "serve", str(site), "--ready", *arguments,
                stdout=asyncio.subprocess.PIPE, stderr=err,
            )  # fmt: skip
        started.append(gateway_process)
        assert await gateway_process.stdout.readline(), (folder / "log").read_text()[-2_000:]
        return gateway_process

    try:
        yield start, started
    finally:
        for gateway_process in started:
            if gateway_process.returncode is None:
                gateway_process.terminate()
        for gateway_process in started:
            await gateway_process.wait()


def test_a_new_process_takes_over_with_the_brokers_connection(tmp_path):
    async def main():
        calls = []
        async with (
            broker() as b,
            raw_worker(keyed(calls, slow)) as w,
            process(tmp_path, b, w) as (start, started),
        ):
            await start()
            await wait_until(lambda: b.queues.get("calls") and b.queues["calls"].consumers)
            (link,) = [connection for connection in b.connections if connection.name == "gw"]
            publisher, correlations, stop = await Publisher().connect(b.port), [], asyncio.Event()

            async def steady():
                while not stop.is_set():
                    request_class = "consigna" if len(correlations) % 2 else "lectura"
                    correlations.append(
                        publisher.publish(request_class, f"k{len(correlations)}", 2_900, body=b"x" * 3_000)
                    )
                    await asyncio.sleep(0.12)

            load = asyncio.ensure_future(steady())
            b.max_body_frame_bytes = 100  # small frames, so that handovers happen amid contents
            for _ in range(3):
                await asyncio.sleep(0.4)
                await start("--take-over")
                assert await started[-2].wait() == 0
            stop.set()
            await load
            kinds = [(await publisher.answer(correlation))[0] for correlation in correlations]
            assert "failed" not in kinds and kinds.count("served") >= 5
            assert link in b.connections  # the same connection is still open
            assert not any(event["ev"] == "violation" for event in b.trace.events)
            assert all(len(answers) == 1 for answers in publisher.answers.values())
            unsafe = [key for key in calls if int(key[1:]) % 2]
            assert len(unsafe) == len(set(unsafe)) > 0
            await wait_until(lambda: not unacked(b))

    run(main())


def test_a_new_process_answers_over_a_new_connection_where_the_old_one_was_lost(tmp_path):
    async def main():
        async with (
            broker() as b,
            raw_worker(slow) as w,
            process(tmp_path, b, w) as (start, _),
        ):
            await start()
            await wait_until(lambda: b.queues.get("calls") and b.queues["calls"].consumers)
            publisher = await Publisher().connect(b.port)
            correlation = publisher.publish("consigna", "k", 2_900)
            await wait_until(lambda: not unacked(b) and not b.queues["calls"].ready)
            await asyncio.sleep(0.1)
            b._server.stop()
            for connection in list(b.connections):
                if connection.name == "gw":
                    connection.stream.close()
            await asyncio.sleep(0.05)
            await start("--take-over")
            b._listen_again()
            assert await publisher.answer(correlation) == ("served", "ok")

    run(main())


# An independent AMQP library, in a process of its own.

PIKA = """
import json, sys
import pika

port, name = int(sys.argv[1]), sys.argv[2]
connection = pika.BlockingConnection(pika.ConnectionParameters("127.0.0.1", port, heartbeat=5))
channel = connection.channel()
channel.confirm_delivery()
reply = channel.queue_declare("", exclusive=True).method.queue
got = []
def message(ch, method, properties, body):
    got.append([properties.correlation_id, properties.headers["status"], body.decode()])
channel.basic_consume(reply, message, auto_ack=True)
for n in range(20):
    band = "consigna" if n % 2 else "lectura"
    properties = pika.BasicProperties(
        headers={"key": f"{name}-{n}", "timeout-ms": 2800}, correlation_id=str(n), reply_to=reply,
        delivery_mode=2, expiration="2800",
    )
    channel.basic_publish("calls", f"calls.t.{band}.f", b"in", properties, mandatory=True)
try:
    channel.basic_publish("", "nowhere", b"x", mandatory=True)
    unroutable = False
except pika.exceptions.UnroutableError:
    unroutable = True
for _ in range(500):
    if len(got) >= 20: break
    connection.process_data_events(0.02)
connection.close()
print(json.dumps({"got": sorted(got, key=lambda g: int(g[0])), "unroutable": unroutable}))
"""


async def pika(port, name):
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", textwrap.dedent(PIKA), str(port), name, stdout=subprocess.PIPE
    )
    out, _ = await process.communicate()
    assert process.returncode == 0
    return json.loads(out)


def test_pika_publishes_through_the_whole_path(tmp_path):
    async def main():
        async with broker() as b, raw_worker(serving) as w, consuming(tmp_path, b.port, [w]):
            for result in await asyncio.gather(*(pika(b.port, f"p{n}") for n in range(3))):
                assert [g[0] for g in result["got"]] == [str(n) for n in range(20)]
                kinds = [g[1] for g in result["got"]]
                assert set(kinds) <= {"served", "refused"} and kinds.count("served") >= 10
                assert result["unroutable"] is True

    run(main())


BROKER = """
import json, sys
import pika

connection = pika.BlockingConnection(pika.ConnectionParameters("127.0.0.1", int(sys.argv[1])))
channel = connection.channel()
out = {}
channel.exchange_declare("t", "topic", durable=True)
channel.exchange_declare("f", "fanout")
channel.exchange_bind("f", "t", "a.#")
channel.queue_declare("dead")
channel.exchange_declare("dlx", "fanout")
channel.queue_bind("dead", "dlx")
channel.queue_declare("q", arguments={"x-dead-letter-exchange": "dlx", "x-max-priority": 5})
channel.queue_bind("q", "f")
channel.queue_declare("one")
channel.queue_bind("one", "t", "*.one")
for n in range(3):
    channel.basic_publish("t", "a.one", str(n).encode(), pika.BasicProperties(priority=n))
channel.basic_publish("t", "a.late", b"late", pika.BasicProperties(expiration="1", priority=5))
connection.sleep(0.3)
out["counts"] = [channel.queue_declare(n, passive=True).method.message_count for n in ("q", "one", "dead")]
method, _, body = channel.basic_get("q")
out["first"] = body.decode()
channel.basic_nack(method.delivery_tag, requeue=True)
method, _, body = channel.basic_get("q")
out["again"] = [body.decode(), method.redelivered]
channel.basic_reject(method.delivery_tag, requeue=False)
channel.basic_qos(prefetch_count=1)
got = []
channel.basic_consume("q", lambda ch, m, p, b: got.append(b.decode()))
connection.process_data_events(0.1)
connection.process_data_events(0.1)
out["prefetch"] = list(got)
channel.basic_ack(0, multiple=True)
connection.process_data_events(0.1)
out["after"] = list(got)
channel.basic_recover(requeue=True)
connection.process_data_events(0.2)
out["recovered"] = list(got)
deaths = []
while True:
    method, properties, body = channel.basic_get("dead", auto_ack=True)
    if method is None: break
    deaths.append([body.decode(), properties.headers["x-death"][0]["reason"]])
out["deaths"] = sorted(deaths)
out["purged"] = channel.queue_purge("one").method.message_count
channel.queue_unbind("one", "t", "*.one")
channel.queue_delete("one")
other = connection.channel()
try:
    other.queue_declare("one", passive=True)
except pika.exceptions.ChannelClosedByBroker as error:
    out["missing"] = error.reply_code
other = connection.channel()
try:
    other.queue_declare("q", durable=True)
except pika.exceptions.ChannelClosedByBroker as error:
    out["other"] = error.reply_code
connection.close()
print(json.dumps(out))
"""


def test_the_stand_in_broker_is_one_to_pika():
    async def main():
        async with broker() as b:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", textwrap.dedent(BROKER), str(b.port), stdout=subprocess.PIPE
            )
            out, _ = await process.communicate()
            assert process.returncode == 0
            result = json.loads(out)
            assert result["counts"] == [3, 3, 1]  # one has expired
            assert result["first"] == "2" and result["again"] == [
                "2",
                True,
            ]  # by priority; requeued at its place
            assert result["prefetch"] == ["1"] and result["after"] == ["1", "0"]
            assert result["recovered"][-1] == "0"
            assert result["deaths"] == [["2", "rejected"], ["late", "expired"]]
            assert result["purged"] == 3 and result["missing"] == 404 and result["other"] == 406
            assert isinstance(b, AmqpBroker) and not b.connections

    run(main())
