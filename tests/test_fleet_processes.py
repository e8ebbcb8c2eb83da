"""Gateways of one fleet as separate processes, under faults, while calls are served.

Processes are killed, stopped and resumed between the check of a lease and the action, partitioned from each
other, and given a wrong clock rate.
"""

import asyncio
import json
import os
import random
import signal
import sys
import time
import urllib.request
from contextlib import asynccontextmanager

from socketbench import SITE, Console, http, raw_worker

from swiftwell.proof.gateway_fleet import free_ports
from swiftwell.proof.holders import count_holder_breaches
from swiftwell.standins.relay import Relay
from swiftwell.standins.resource import Act, Resource

TERM_MS, ACT_MS = 700, 20
SIZE = 5


async def answer_at_once(number, head, reader, writer):
    writer.write(http(b"%d" % number))


class Fleet:
    """The processes, the relay between them, and the resource that the lease exercise acts on."""

    def __init__(self, folder, worker, checks=True, budgets=True):
        self.folder, self.worker, self.resource = folder, worker, Resource(checks)
        self.ports = free_ports(SIZE)
        self.relay = Relay(self.ports, 1)
        self.processes, self.ready_reports = [None] * SIZE, [None] * SIZE
        self.budgets = 'budgets "cold";' if budgets else ""

    async def open(self):
        await self.resource.start()
        await self.relay.start()
        await asyncio.gather(*map(self.start, range(SIZE)))

    async def start(self, me, **env):
        members = "; ".join(
            f'member "gw-{n}" at="127.0.0.1:{self.relay.ports[n] if n != me else self.ports[me]}"'
            for n in range(SIZE)
        )
        fleet_block = f"""
            health port=0
            log format="json"
            fleet term-ms={TERM_MS} period-ms=200 {{
                {members}; {self.budgets}
                drill "job" resource="127.0.0.1:{self.resource.port}" act-ms={ACT_MS}
            }}"""
        text = SITE.format(
            state=self.folder / f"state-{me}", workers=f'worker "{self.worker}" kind="k"',
            orders="orders false;", more="", listener="", extra=fleet_block,
        )  # fmt: skip
        site = self.folder / f"gw-{me}.kdl"
        site.write_text(text.replace('name "gw"', f'name "gw-{me}"\ngateways {SIZE}\nposition {me}'))
        with open(self.folder / f"gw-{me}.log", "ab") as err:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "swiftwell", "serve", str(site), "--ready",
                stdout=asyncio.subprocess.PIPE, stderr=err, env=os.environ | env,
            )  # fmt: skip
        self.processes[me] = process
        self.ready_reports[me] = json.loads(await process.stdout.readline())

    async def kill(self, me):
        self.processes[me].send_signal(signal.SIGKILL)
        await self.processes[me].wait()

    def signal(self, me, number):
        self.processes[me].send_signal(number)

    def status(self, me):
        with urllib.request.urlopen(
            f"http://127.0.0.1:{self.ready_reports[me]['health']}/fleet", timeout=3
        ) as answer:
            return json.load(answer)

    async def acts(self, count, other_than="", timeout_s=25.0):
        """Wait until `count` more actions have ended; return the holder of the last."""
        acts, start, deadline = self.resource.acts, len(self.resource.acts), time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            ended = [act for act in acts[start:] if act.ended and act.who != other_than]
            if len(ended) >= count:
                return ended[-1].who
            await asyncio.sleep(0.01)
        raise AssertionError(f"no holder: {len(acts) - start} actions, the last one {acts[-1:]}")

    async def wait_for(self, condition, timeout_s=25.0):
        deadline = time.monotonic() + timeout_s
        while not await asyncio.to_thread(condition):
            assert time.monotonic() < deadline, "condition not met in time"
            await asyncio.sleep(0.05)

    async def close(self):
        for process in self.processes:
            if process and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes:
            if process:
                await process.wait()
        self.relay.close()
        self.resource.close()


@asynccontextmanager
async def running_fleet(folder, **options):
    async with raw_worker(answer_at_once) as worker:
        fleet = Fleet(folder, worker, **options)
        try:
            await fleet.open()
            yield fleet
        finally:
            await fleet.close()


def run(main, timeout_s=75):
    async def bounded():
        async with asyncio.timeout(timeout_s):
            await main

    asyncio.run(bounded())


def number(who):
    return int(who.removeprefix("gw-"))


def test_a_holder_that_is_killed_stopped_or_cut_off_is_replaced_by_one_other(tmp_path):
    async def main():
        async with running_fleet(tmp_path) as fleet:
            consoles = [
                await Console(f"c{n}").connect(report["listener"])
                for n, report in enumerate(fleet.ready_reports)
            ]
            first = await fleet.acts(3)
            await fleet.kill(number(first))
            second = await fleet.acts(3, first)
            assert second != first
            await fleet.start(number(first))  # otherwise two of three voters might be down
            await asyncio.sleep(1.2 * TERM_MS / 1e3)  # its silence as a voter
            # Stopped for longer than its term, between check and action or at any other point, then resumed.
            fleet.signal(number(second), signal.SIGSTOP)
            third = await fleet.acts(3, second)
            fleet.signal(number(second), signal.SIGCONT)
            await fleet.acts(5)
            # The holder is cut off from all members in both directions, but reaches the resource.
            holder = fleet.resource.acts[-1].who
            me = number(holder)
            others = set(range(SIZE)) - {me}
            fleet.relay.faults.split({me}, others)
            await fleet.acts(3, holder)
            fleet.relay.faults.cut.clear()
            # One-way: nothing that it sends arrives.
            holder = await fleet.acts(2)
            fleet.relay.faults.cut |= {(number(holder), other) for other in range(SIZE)}
            await fleet.acts(3, holder)
            fleet.relay.faults.cut.clear()
            # Datagrams lost, duplicated, and delayed by more than a term.
            fleet.relay.faults.loss, fleet.relay.faults.twice = 0.3, 0.3
            fleet.relay.faults.delay_s = 1.2 * TERM_MS / 1e3
            await asyncio.sleep(3 * TERM_MS / 1e3)
            fleet.relay.faults.loss = fleet.relay.faults.twice = fleet.relay.faults.delay_s = 0.0
            await fleet.acts(3)
            assert count_holder_breaches(fleet.resource.acts) == (0, 0) and third
            for n in set(range(SIZE)) - {number(first)}:  # its console was connected to the killed process
                assert await consoles[n].call("consigna", f"k{n}") == ("served", "ok")

    run(main())


def test_all_voters_restarted_within_a_term_and_a_fleet_that_cannot_agree(tmp_path):
    async def main():
        async with running_fleet(tmp_path) as fleet:
            holder = await fleet.acts(3)
            voters = [number(name) for name in fleet.status(0)["leases"][0]["voters"]]
            assert len(voters) == 3
            await asyncio.gather(*(fleet.kill(voter) for voter in voters))
            await asyncio.gather(*(fleet.start(voter) for voter in voters))
            await fleet.acts(3)
            # Every member alone: none acts once the last lease has expired, and every call is still served.
            fleet.relay.faults.split(*({n} for n in range(SIZE)))
            await asyncio.sleep(2 * TERM_MS / 1e3)
            before = len(fleet.resource.acts)
            await asyncio.sleep(2 * TERM_MS / 1e3)
            assert len(fleet.resource.acts) == before
            for report in fleet.ready_reports:
                console = await Console(f"c{report['listener']}").connect(report["listener"])
                assert await console.call("consigna", f"k{report['listener']}") == ("served", "ok")
            reserved_ppm = [fleet.status(n)["shares"]["cold"] for n in range(SIZE)]
            assert reserved_ppm == [500_000 // SIZE] * SIZE
            fleet.relay.faults.cut.clear()
            await fleet.acts(3)
            await fleet.wait_for(
                lambda: sum(fleet.status(n)["shares"]["cold"] for n in range(SIZE)) > 900_000
            )
            assert count_holder_breaches(fleet.resource.acts) == (0, 0) and holder

    run(main())


def test_a_clock_beyond_the_bound_is_stopped_by_the_token(tmp_path):
    """The clock of one process runs at a third of the true rate, so it counts a lease as its own too long."""

    async def main():
        async with running_fleet(tmp_path, budgets=False) as fleet:
            await fleet.acts(1)
            generator = random.Random(3)
            slow = generator.randrange(SIZE)
            await fleet.kill(slow)
            await fleet.start(slow, SWIFTWELL_FLEET_CLOCK_RATE="0.33")
            # Other holders are stopped in turn until the process with the slow clock holds; then it is cut
            # off, and goes on acting by its own clock.
            for _ in range(8):
                if fleet.resource.acts[-1].who == f"gw-{slow}":
                    break
                holder = number(await fleet.acts(1))
                if holder != slow:
                    fleet.signal(holder, signal.SIGSTOP)
                    await fleet.acts(1, f"gw-{holder}")
                    fleet.signal(holder, signal.SIGCONT)
            if fleet.resource.acts[-1].who == f"gw-{slow}":
                fleet.relay.faults.split({slow}, set(range(SIZE)) - {slow})
                await fleet.acts(3, f"gw-{slow}")
                await asyncio.sleep(TERM_MS / 1e3)
            assert count_holder_breaches(fleet.resource.acts)[1] == 0
            assert all(token < seen for _, token, seen in fleet.resource.turned_away)

    run(main())


def test_the_check_of_one_holder_finds_overlaps_and_older_tokens():
    good = [Act("a", 1, 0, 10), Act("b", 2, 10, 20), Act("a", 3, 30, 40)]
    assert count_holder_breaches(good) == (0, 0)
    assert count_holder_breaches([*good, Act("c", 4, 35, 50)]) == (1, 0)
    assert count_holder_breaches([*good, Act("c", 2, 45, 50)]) == (0, 1)
    assert count_holder_breaches([Act("a", 1, 0, 0), Act("b", 2, 99, 120)]) == (1, 0)
