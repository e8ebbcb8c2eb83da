"""An unexpected error in one stage of one request concerns that request only; each stage is made to raise."""

import pytest
from amqpbench import Publisher, broker, consuming, up
from platformbench import Front, Worker, echo, fields, gated_echo, request, router, until
from socketbench import Console, raw_worker, run, serving
from test_platform import id_
from test_request_deadlines import connect

from swiftwell.discovery.worker_leases import WorkerLeases
from swiftwell.fronts.amqp.consumer import Consumer
from swiftwell.fronts.fastcgi import codec, session
from swiftwell.fronts.fastcgi import connection as fc
from swiftwell.fronts.fastcgi import listener as lis
from swiftwell.fronts.fastcgi import request as rq
from swiftwell.fronts.message_reader import MessageReader
from swiftwell.gateway import engine
from swiftwell.platform.node import Node
from swiftwell.workers.resp import codec as resp_codec
from swiftwell.workers.resp import connection as rc
from swiftwell.workers.resp.link import RespLink

FAILING, OTHERS = 3, (1, 2, 4, 5)  # numbers of the requests on one connection
WAIT = "6000"


def raise_where(owner, name, concerns):
    """Make a function raise where `concerns`, called with its arguments, holds; returns what to patch."""
    original = getattr(owner, name)

    def patched(*arguments, **named):
        if concerns(*arguments, **named):
            raise RuntimeError("planted")
        return original(*arguments, **named)

    return owner, name, patched


def is_failing(text):
    return id_(FAILING) in str(text)


# By stage: what raises, and the statuses that the request may get.  A refusal promises that nothing ran.
STAGES = {
    "read": (lambda: raise_where(rq, "read", lambda fields, *_, **__: is_failing(fields)), {503}),
    "submit": (lambda: raise_where(Node, "submit", lambda node, trigger: is_failing(trigger.key)), {502}),
    "arrive": (
        lambda: raise_where(engine.Engine, "_on_arrive", lambda self, trigger, *_: is_failing(trigger.key)),
        {502},
    ),
    "start": (
        lambda: raise_where(RespLink, "start", lambda link, act: is_failing(act.trigger.key)),
        {502},
    ),
    "worker's answer": (
        lambda: raise_where(resp_codec, "run_verdict", lambda word, note: b"fail" in note),
        {502},
    ),
    "answer": (lambda: raise_where(fc, "_response_content", lambda answer: b"fail" in answer.body), {502}),
}


async def echo_with_marks(worker, writer, arguments):
    """Like `echo`; marks the answers of the failing request."""
    if arguments[0] == b"FN" and arguments[1] == id_(FAILING).encode():
        answer = b"*4\r\n" + b"".join(
            b"$%d\r\n%b\r\n" % (len(part), part)
            for part in (arguments[1], b"DONE", b"why=reused,fail=1", b"fail")
        )
        writer.write(answer)
    else:
        await echo(worker, writer, arguments)


# Guards against: an error in one request ended the connection, and all requests on it without an answer.
@pytest.mark.parametrize("stage", STAGES)
def test_a_failing_stage_concerns_its_request_only(tmp_path, monkeypatch, stage):
    make, expected = STAGES[stage]
    monkeypatch.setattr(*make())

    async def main():
        async with (
            Worker(echo_with_marks) as worker,
            router(tmp_path, [worker.port]) as node,
            Front(node.port) as front,
        ):
            batch = [request(number, fields(id_(number), wait=WAIT)) for number in OTHERS]
            batch.append(request(FAILING, fields(id_(FAILING), "consigna", wait=WAIT)))
            front.writer.write(b"".join(batch))
            assert (await front.answer(FAILING))[0] in expected
            for number in OTHERS:
                assert (await front.answer(number))[0] == 200
            assert (await front.ask(6, fields(id_(6), wait=WAIT)))[0] == 200  # the connection goes on
            await until(lambda: node.engine.open == 0)
            assert not node.front.open_ids and not node.link._jobs
            failed = sum(node.failures.counts.values()) + node.engine.counts["faults"]
            assert failed >= 1 and '"where":' in node.lines.getvalue()

    run(main())


# Guards against: an error while a request is withdrawn ended the connection.
def test_a_failing_withdrawal_concerns_its_request_only(tmp_path, monkeypatch):
    async def main():
        gate, play = gated_echo()
        async with Worker(play) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            for number in (1, 2):
                front.writer.write(request(number, fields(id_(number), wait=WAIT)))
            await until(lambda: len(worker.runs()) == 1 or len(worker.got) >= 1)
            gone = raise_where(Node, "gone", lambda node, source: source.endswith("/1"))
            monkeypatch.setattr(*gone)
            front.writer.write(codec.record(codec.ABORT, 1, b""))
            await front.read(lambda: 1 in front.done)  # its number is free
            gate.set()
            assert (await front.answer(2))[0] == 200

    run(main())


# Guards against: an error in the output of one connection kept the answers of all others back.
@pytest.mark.parametrize("owner", [fc.Connection, rc.Connection])
def test_a_failing_flush_concerns_its_connection_only(tmp_path, monkeypatch, owner):
    async def main():
        async with (
            Worker(echo) as first,
            Worker(echo) as second,
            router(tmp_path, [first.port, second.port]) as node,
            Front(node.port) as one,
            Front(node.port) as other,
        ):
            assert (await one.ask(1, fields(id_(1))))[0] == 200
            failed = []

            def concerns(connection):
                failed.append(connection) if not failed else None
                return connection is failed[0]

            monkeypatch.setattr(*raise_where(owner, "flush", concerns))
            one.writer.write(request(2, fields(id_(2), "consigna", wait=WAIT)))
            await until(lambda: failed)
            for number in range(3, 8):
                assert (await other.ask(number, fields(id_(number), wait=WAIT)))[0] == 200
            await until(lambda: node.engine.open == 0)

    run(main())


# Guards against: an error at the opening or the sweep of one connection stopped those of all others.
@pytest.mark.parametrize("name", ["_opened", "_accepted"])
def test_a_connection_that_can_not_be_opened_is_closed_and_others_are_served(tmp_path, monkeypatch, name):
    planted = []

    def concerns(*_):
        planted.append(1)
        return len(planted) == 1

    monkeypatch.setattr(*raise_where(lis.Listener, name, concerns))

    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node:
            bad, good = connect(node.port), connect(node.port)
            bad.sendall(request(1, fields(id_(1))))
            good.sendall(request(1, fields(id_(2), wait=WAIT)))
            async with Front(sock=good) as front:
                assert (await front.answer(1))[0] == 200
            async with Front(sock=bad) as front:
                assert not await front.read(lambda: False)  # closed
            await until(lambda: len(node.front) == 0)

    run(main())


def test_a_failing_sweep_of_one_connection_leaves_the_others_swept(tmp_path, monkeypatch):
    async def main():
        async with router(tmp_path) as node, Front(node.port) as one, Front(node.port) as other:
            for number, front in enumerate((one, other), 1):
                front.writer.write(codec.begin(1))
                await until(lambda number=number: len(node.front.connections) == number)
            failing = next(iter(node.front.connections)).session
            monkeypatch.setattr(*raise_where(session.Session, "sweep", lambda swept, *_: swept is failing))
            for _ in range(session.MAX_INCOMPLETE_SWEEPS + 1):
                node.front.sweep()
            assert (await other.answer(1))[0] == 408

    run(main())


# Guards against: records that can't be processed for a reason of ours ended the connection without answers.
def test_records_that_fail_end_the_connection_after_an_answer_to_each_request(tmp_path, monkeypatch):
    async def main():
        gate, play = gated_echo()
        async with Worker(play) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            front.writer.write(request(1, fields(id_(1), wait=WAIT)))
            await until(lambda: worker.got)
            monkeypatch.setattr(*raise_where(session.Session, "_record", lambda *_: True))
            front.writer.write(codec.begin(2))
            assert (await front.answer(1))[0] == 502
            assert await front.closed()
            gate.set()

    run(main())


# Guards against: an error in the leases lost all inputs of that step.
def test_a_failing_lease_update_loses_no_input(tmp_path, monkeypatch):
    async def main():
        async with Worker(echo) as worker, router(tmp_path, [worker.port]) as node, Front(node.port) as front:
            monkeypatch.setattr(*raise_where(WorkerLeases, "advance", lambda *_: True))
            assert (await front.ask(1, fields(id_(1), wait=WAIT)))[0] == 200

    run(main())


# Guards against: an error in one message ended its connection or link, and its publisher got no answer.
def test_a_failing_message_is_refused_and_its_connection_and_link_go_on(tmp_path, monkeypatch):
    fails = lambda reader, message, *_: message.key == "fail"  # noqa: E731
    monkeypatch.setattr(*raise_where(MessageReader, "trigger", fails))

    async def main():
        async with (
            broker() as b,
            raw_worker(serving) as worker,
            consuming(tmp_path, b.port, [worker]) as node,
        ):
            publisher = await Publisher().connect(b.port)
            console = await Console().connect(node.listener_port)
            for peer in (publisher, console):
                assert (await peer.call("lectura", "fail"))[0] == "refused"
                assert await peer.call("lectura", "fine") == ("served", "ok")
            assert set(node.failures.counts) == {"amqp-message", "mqtt-message"}

    run(main())


# Guards against: an error in the session of a broker ended its link for ever.
def test_a_broker_link_reconnects_after_an_error_of_its_own(tmp_path, monkeypatch):
    async def main():
        async with (
            broker() as b,
            raw_worker(serving) as worker,
            consuming(tmp_path, b.port, [worker]) as node,
        ):
            publisher, planted = await Publisher().connect(b.port), []

            def once(*_):
                planted.append(1)
                return len(planted) == 1

            monkeypatch.setattr(*raise_where(Consumer, "on_event", once))
            publisher.publish("lectura", "first")
            await until(lambda: planted)
            await up(node)
            assert await publisher.call("lectura", "second") == ("served", "ok")

    run(main())
