"""An attempt whose client has left has arrived at its worker by then, or never does.

Guards against: attempts written into a path that was cut ran 0.7 s after their clients had left, once the
path was back, as nothing but their own deadlines gave them up (docs/incidents/0014).
"""

import asyncio

import pytest
from cut_path import CutPath
from platformbench import Front, Worker, document, fields, request, until, worker_reply
from socketbench import run
from test_endings import abandon_request
from test_late_attempts import answers_probes, cut_off_workers, cut_settings, restored
from test_platform import RouterProcess, id_
from test_resp import ID, OTHER, LinkHarness

from swiftwell.fronts.trigger import Ran
from swiftwell.gateway import ports
from swiftwell.interface import Status
from swiftwell.workers.resp.connection import ARRIVAL_TIMEOUT_S
from swiftwell.workers.resp.link import PROOF_INTERVAL_S

LEFT_S = 0.5  # after the clients have left; far below the deadline of their attempts
STAYED = 12  # clients that share a connection with one that leaves


@pytest.mark.parametrize("request_class", ["lectura", "consigna", "asiento"])
@pytest.mark.parametrize("how", ["abort", "close", "reset"])
def test_nothing_whose_client_left_runs_though_its_deadline_is_far(tmp_path, how, request_class):
    async def main():
        async with cut_off_workers(tmp_path) as (_, paths, front, late):
            numbers = range(10, 14)
            for number in numbers:
                front.writer.write(request(number, fields(id_(number), request_class, wait="1500")))
            await until(lambda: sum(path.held_bytes for path in paths) > 0)
            for number in numbers if how == "abort" else [10]:
                abandon_request(front, how, number)
            await asyncio.sleep(LEFT_S)
            await restored(paths)
            assert late() == []

    run(main())


def test_nothing_of_a_front_server_that_died_with_many_calls_runs_later(tmp_path):
    async def main():
        async with cut_off_workers(tmp_path) as (router_process, paths, _, late):
            fronts = [Front(router_process.port) for _ in range(8)]
            for index, dying in enumerate(fronts):
                await dying.__aenter__()
                for number in range(1, 33):
                    id_number = 1_000 * index + 100 + number
                    dying.writer.write(request(number, fields(id_(id_number), "consigna", wait="1500")))
            await until(lambda: sum(path.held_bytes for path in paths) > 0)
            for dying in fronts:
                dying.writer.transport.abort()
            await asyncio.sleep(LEFT_S)
            await restored(paths)
            assert late() == []

    run(main())


@pytest.mark.parametrize("cut_s", [0.2, 1.0, 6.0])
def test_who_stays_on_a_shared_connection_is_answered_once_and_nothing_runs_twice(tmp_path, cut_s):
    async def main():
        async with Worker(answers_probes) as worker, CutPath(worker.port) as path:
            configuration = document([path.port], settings=cut_settings(), sockets=64)
            with RouterProcess(tmp_path, configuration) as router_process:
                assert await router_process.up() == 200
                async with Front(router_process.port) as staying, Front(router_process.port) as leaving:
                    for number in range(1, 7):
                        assert (await staying.ask(number, fields(id_(number), wait="1500")))[0] == 200
                    path.cut()
                    leaving.writer.write(request(1, fields(id_(100), "consigna", wait="1500")))
                    stayed = range(200, 200 + STAYED)
                    for number in stayed:
                        request_class = "consigna" if number % 2 else "lectura"
                        staying.writer.write(request(number, fields(id_(number), request_class, wait="1500")))
                    await until(lambda: path.held_bytes)
                    leaving.writer.close()
                    await asyncio.sleep(cut_s)
                    path.restore()
                    statuses = {number: (await staying.answer(number))[0] for number in stayed}
                    await asyncio.sleep(0.3)
            runs = [arguments[1].decode() for arguments in worker.runs()]
            assert set(statuses.values()) <= {200, 429, 502, 503}  # each has its one answer
            for number in (number for number in stayed if number % 2):
                ran = runs.count(id_(number))
                assert ran <= 1 and not (ran and statuses[number] in (429, 503))

    run(main())


def written_harness(worker):
    harness = LinkHarness({"w": worker.port}, connections=1)
    harness.start("c1", id_=ID)
    return harness


def probes(worker):
    return [arguments for arguments in worker.got if arguments[0] == b"HELO"]


def test_a_withdrawn_attempt_that_has_arrived_still_brings_its_answer_and_is_asked_for_once():
    async def main():
        async def play(worker, writer, arguments):
            if arguments[0] == b"HELO":
                writer.write(worker_reply(arguments[1], b"FIT"))

        async with Worker(play) as worker:
            harness = written_harness(worker)
            await until(lambda: worker.runs())
            for _ in range(2):  # its call was answered, and its client left
                harness.link.withdraw(ports.Withdraw("c1", 0))
                await until(lambda: probes(worker))
            await asyncio.sleep(2 * ARRIVAL_TIMEOUT_S)
            (connection,) = harness.link._workers["w"].connections
            assert len(probes(worker)) == 1 and connection.usable and not harness.results
            assert [b"KILL", ID.encode()] not in worker.got
            worker.writers[0].write(worker_reply(ID.encode(), b"DONE", b"-", b"done"))
            assert await harness.ends() == [(Status.OK, Ran.YES)]
            harness.link.close()

    run(main())


def test_a_withdrawn_attempt_without_a_proof_ends_with_its_connection():
    async def main():
        async def says_nothing(worker, writer, arguments):
            pass

        async with Worker(says_nothing) as worker:
            harness = written_harness(worker)
            await until(lambda: worker.runs())
            harness.link.withdraw(ports.Withdraw("c1", 0))
            assert await harness.ends() == [(Status.TIMEOUT, Ran.MAYBE)]
            assert harness.link.counts["silent"] == 1

    run(main())


# Guards against: a worker that stalls after a request has arrived costs the calls that share its connection.
def test_arrivals_on_a_shared_connection_are_proven_before_anybody_leaves():
    async def main():
        stalls = asyncio.Event()

        async def play(worker, writer, arguments):
            if arguments[0] == b"HELO" and not stalls.is_set():
                writer.write(worker_reply(arguments[1], b"FIT"))

        async with Worker(play) as worker:
            harness = written_harness(worker)
            harness.start("c2", id_=OTHER)
            await until(lambda: probes(worker))
            (connection,) = harness.link._workers["w"].connections
            await until(lambda: connection.history.all_arrived)
            stalls.set()
            harness.link.withdraw(ports.Withdraw("c1", 0))
            await asyncio.sleep(2 * ARRIVAL_TIMEOUT_S)
            assert not harness.results and not connection.closed
            await asyncio.sleep(4 * PROOF_INTERVAL_S)
            assert len(probes(worker)) == 1
            harness.link.close()

    run(main())
