"""Several gateways of one fleet as processes of their own, with faults between them: killed, stopped and
woken between check and act, cut off from each other, lied to by their clocks; calls flow meanwhile."""

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

from swiftwell.proof.holders import one_holder
from swiftwell.proof.together import free_ports
from swiftwell.standins.relay import Relay
from swiftwell.standins.resource import Act, Resource

TERM_MS, ACT_MS = 700, 20
SIZE = 5


async def quick(number, head, reader, writer):
    writer.write(http(b"%d" % number))


class Fleet:
    """The processes, the relay between them and the resource that a drill acts at."""

    def __init__(self, folder, worker, checks=True, budgets=True):
        self.folder, self.worker, self.resource = folder, worker, Resource(checks)
        self.ports = free_ports(SIZE)
        self.relay = Relay(self.ports, 1)
        self.processes, self.told = [None] * SIZE, [None] * SIZE
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
        fleet = f"""
            health port=0
            log format="json"
            fleet term-ms={TERM_MS} period-ms=200 {{
                {members}; {self.budgets}
                drill "job" resource="127.0.0.1:{self.resource.port}" act-ms={ACT_MS}
            }}"""
        text = SITE.format(
            state=self.folder / f"state-{me}", workers=f'worker "{self.worker}" kind="k"',
            orders="orders false;", more="", listener="", extra=fleet,
        )  # fmt: skip
        site = self.folder / f"gw-{me}.kdl"
        site.write_text(text.replace('name "gw"', f'name "gw-{me}"\ngateways {SIZE}\nposition {me}'))
        with open(self.folder / f"gw-{me}.log", "ab") as err:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "swiftwell", "serve", str(site), "--ready",
                stdout=asyncio.subprocess.PIPE, stderr=err, env=os.environ | env,
            )  # fmt: skip
        self.processes[me] = process
        self.told[me] = json.loads(await process.stdout.readline())

    async def kill(self, me):
        self.processes[me].send_signal(signal.SIGKILL)
        await self.processes[me].wait()

    def signal(self, me, number):
        self.processes[me].send_signal(number)

    def status(self, me):
        with urllib.request.urlopen(f"http://127.0.0.1:{self.told[me]['health']}/fleet", timeout=3) as answer:
            return json.load(answer)

    async def acts(self, count, other_than="", within=25.0):
        """Wait until so many more acts have ended; the holder of the last."""
        acts, start, until = self.resource.acts, len(self.resource.acts), time.monotonic() + within
        while time.monotonic() < until:
            mine = [act for act in acts[start:] if act.ended and act.who != other_than]
            if len(mine) >= count:
                return mine[-1].who
            await asyncio.sleep(0.01)
        raise AssertionError(f"no holder: {len(acts) - start} acts, the last {acts[-1:]}")

    async def seen(self, what, within=25.0):
        until = time.monotonic() + within
        while not await asyncio.to_thread(what):
            assert time.monotonic() < until, "not seen in time"
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
async def fleet(folder, **more):
    async with raw_worker(quick) as worker:
        one = Fleet(folder, worker, **more)
        try:
            await one.open()
            yield one
        finally:
            await one.close()


def run(main, within=75):
    async def bounded():
        async with asyncio.timeout(within):
            await main

    asyncio.run(bounded())


def number(who):
    return int(who.removeprefix("gw-"))


def test_a_holder_killed_stopped_or_cut_off_is_followed_by_one_other(tmp_path):
    async def main():
        async with fleet(tmp_path) as town:
            consoles = [await Console(f"c{n}").connect(told["listener"]) for n, told in enumerate(town.told)]
            first = await town.acts(3)
            await town.kill(number(first))
            second = await town.acts(3, first)
            assert second != first
            await town.start(number(first))  # else two of three voters might be away
            await asyncio.sleep(1.2 * TERM_MS / 1e3)  # its silence
            # Stopped past its term, between check and act or wherever it is, and woken.
            town.signal(number(second), signal.SIGSTOP)
            third = await town.acts(3, second)
            town.signal(number(second), signal.SIGCONT)
            await town.acts(5)
            # The holder hears nobody and is heard by nobody, but reaches the resource.
            holder = town.resource.acts[-1].who
            me = number(holder)
            others = set(range(SIZE)) - {me}
            town.relay.faults.split({me}, others)
            await town.acts(3, holder)
            town.relay.faults.cut.clear()
            # One-way: what it says is not heard.
            holder = await town.acts(2)
            town.relay.faults.cut |= {(number(holder), other) for other in range(SIZE)}
            await town.acts(3, holder)
            town.relay.faults.cut.clear()
            # Losses, doubles, delays of more than a term.
            town.relay.faults.loss, town.relay.faults.twice = 0.3, 0.3
            town.relay.faults.delay_s = 1.2 * TERM_MS / 1e3
            await asyncio.sleep(3 * TERM_MS / 1e3)
            town.relay.faults.loss = town.relay.faults.twice = town.relay.faults.delay_s = 0.0
            await town.acts(3)
            assert one_holder(town.resource.acts) == (0, 0) and third
            for n in set(range(SIZE)) - {number(first)}:  # its console went with the first life
                assert await consoles[n].call("consigna", f"k{n}") == ("served", "ok")

    run(main())


def test_all_voters_restarted_within_a_term_and_a_fleet_that_cannot_agree(tmp_path):
    async def main():
        async with fleet(tmp_path) as town:
            holder = await town.acts(3)
            voters = [number(name) for name in town.status(0)["leases"][0]["voters"]]
            assert len(voters) == 3
            await asyncio.gather(*(town.kill(voter) for voter in voters))
            await asyncio.gather(*(town.start(voter) for voter in voters))
            await town.acts(3)
            # Everybody alone: nobody acts once the last lease is over, and every call is served all the same.
            town.relay.faults.split(*({n} for n in range(SIZE)))
            await asyncio.sleep(2 * TERM_MS / 1e3)
            before = len(town.resource.acts)
            await asyncio.sleep(2 * TERM_MS / 1e3)
            assert len(town.resource.acts) == before
            for told in town.told:
                console = await Console(f"c{told['listener']}").connect(told["listener"])
                assert await console.call("consigna", f"k{told['listener']}") == ("served", "ok")
            own = [town.status(n)["shares"]["cold"] for n in range(SIZE)]
            assert own == [500_000 // SIZE] * SIZE
            town.relay.faults.cut.clear()
            await town.acts(3)
            await town.seen(lambda: sum(town.status(n)["shares"]["cold"] for n in range(SIZE)) > 900_000)
            assert one_holder(town.resource.acts) == (0, 0) and holder

    run(main())


def test_a_clock_beyond_the_bound_is_stopped_by_the_token(tmp_path):
    """One process's clock runs at a third: it thinks that it holds long after another does."""

    async def main():
        async with fleet(tmp_path, budgets=False) as town:
            await town.acts(1)
            chance = random.Random(3)
            liar = chance.randrange(SIZE)
            await town.kill(liar)
            await town.start(liar, SWIFTWELL_FLEET_CLOCK_RATE="0.33")
            # Until it holds, the others are stopped in turn; then it is cut off and acts on its own clock.
            for _ in range(8):
                if town.resource.acts[-1].who == f"gw-{liar}":
                    break
                holder = number(await town.acts(1))
                if holder != liar:
                    town.signal(holder, signal.SIGSTOP)
                    await town.acts(1, f"gw-{holder}")
                    town.signal(holder, signal.SIGCONT)
            if town.resource.acts[-1].who == f"gw-{liar}":
                town.relay.faults.split({liar}, set(range(SIZE)) - {liar})
                await town.acts(3, f"gw-{liar}")
                await asyncio.sleep(TERM_MS / 1e3)
            assert one_holder(town.resource.acts)[1] == 0
            assert all(token < seen for _, token, seen in town.resource.turned_away)

    run(main())


def test_the_rule_finds_overlaps_and_older_tokens():
    good = [Act("a", 1, 0, 10), Act("b", 2, 10, 20), Act("a", 3, 30, 40)]
    assert one_holder(good) == (0, 0)
    assert one_holder([*good, Act("c", 4, 35, 50)]) == (1, 0)
    assert one_holder([*good, Act("c", 2, 45, 50)]) == (0, 1)
    assert one_holder([Act("a", 1, 0, 0), Act("b", 2, 99, 120)]) == (1, 0)
