"""Nothing is fitted to one deployment, and new versions of what is loaded are no fault of anybody's."""

import heapq
import random
from dataclasses import replace

from helpers import KEYED, PLAIN, SAFE, UNSAFE, entry

from swiftwell import interface as io
from swiftwell.fronts.trigger import Kind, Ran, Trigger
from swiftwell.gateway import ports
from swiftwell.gateway.engine import Engine
from swiftwell.interface import Status

WALL = 1_700_000_000_000_000
ONE = replace(PLAIN, classes=(SAFE, UNSAFE), tenants=(io.Tenant("acme", 1.0, 10.0),))
OTHER = replace(
    PLAIN,
    classes=tuple(
        replace(
            request_class,
            name=name,
            target_us=2 * request_class.target_us,
            deadline_us=2 * request_class.deadline_us,
        )
        for name, request_class in (("lectura", SAFE), ("asiento", KEYED))
    ),
    tenants=(io.Tenant("otra", 0.5, 5.0), io.Tenant("tercera", 0.5, 5.0)),
    zone="norte",
    kind_memory_mb=(("grande", 4_000.0),),
    retry_after=True,
    max_retry_after_us=500_000,
    may_cancel=False,
)


class Alone:
    """One router of one deployment, fed by its own seed; `told` is all that it decided and answered."""

    def __init__(self, settings, workers, seed):
        self.engine, self.settings = Engine(settings, None, margin_us=0), settings
        self.chance = random.Random(seed)
        self.now, self.count, self.told, self.out = 100_000_000, 0, [], []
        kind, zone = settings.kind_memory_mb[0][0], settings.zone
        entries = tuple(replace(entry(name), kind=kind, zone=zone) for name in workers)
        self._do(ports.Listed(io.Members(io.ListKind.FULL, entries)))

    def _do(self, *inputs):
        for out in self.engine.step(self.now, WALL + self.now, inputs):
            if isinstance(out, ports.Start):
                self.out.append(out)
                self.told.append((self.now, "start", out.id, out.number, out.worker, out.left_us))
            elif isinstance(out, ports.Reply):
                answer = out.answer
                self.told.append((self.now, answer.kind, answer.reason, answer.wait_us, answer.worker))

    def turn(self):
        """Some time passes; a call comes, or the oldest attempt ends one way or another."""
        self.now += self.chance.randrange(1_000, 40_000)
        self._do()
        if self.out and self.chance.random() < 0.5:
            start = self.out.pop(0)
            status = self.chance.choice([*[Status.OK] * 3, Status.FULL, Status.ERROR, Status.MISS])
            ran = Ran.NEVER if status in io.NEVER_RAN else Ran.YES if status is Status.OK else Ran.MAYBE
            latency = self.chance.randrange(10_000, 400_000)
            self._do(ports.AttemptEnd(start.id, start.number, status, ran, b"x", latency))
        else:
            self.count += 1
            request_class = self.chance.choice(self.settings.classes)
            tenant = self.chance.choice(self.settings.tenants).name
            function = f"{tenant}-{self.chance.randrange(5)}"
            trigger = Trigger(
                f"s{self.count}",
                None,
                request_class.name,
                tenant,
                function,
                "",
                b"",
                request_class.deadline_us,
            )
            self._do(ports.Arrive(replace(trigger, memory_mb=50.0, lanes=2)))


def test_two_deployments_in_one_process_decide_as_each_alone():
    """One after the other, and turn by turn: no state at module or class level, no cache without an owner."""

    def played(make, turns=600):
        one = make()
        for _ in range(turns):
            one.turn()
        return one.told

    makes = (
        lambda: Alone(ONE, ("a", "b", "c"), 7),
        lambda: Alone(OTHER, ("norte-1", "norte-2", "norte-3", "norte-4"), 8),
    )
    alone = [played(make) for make in makes]
    assert all(sum(told[1] is Kind.SERVED for told in one) > 100 for one in alone)  # they do decide something
    names = [{word for told in one for word in map(str, told)} for one in alone]
    assert not {"a", "b", "c"} & names[1] and not any("norte" in word for word in names[0])
    after = [played(make) for make in reversed(makes)][::-1]
    both = [make() for make in makes]
    for _ in range(600):
        for one in both:
            one.turn()
    assert after == alone and [one.told for one in both] == alone


class Quiet:
    """A quiet day of several routers in virtual time; workers load by themselves and tell what they found.

    `versions_at`: when all loaded copies are of an old version at once, so that each next call of a function
    at a worker loads the new one, or, for one in ten, fails to.
    """

    ROUTERS, WORKERS, FUNCTIONS, SECONDS = 4, 8, 16, 40
    PER_S, WORK_US, LOAD_US = 12.0, 60_000, 500_000  # calls of a router a second, us of a call and of a load

    def __init__(self, versions_at=0, seed=1):
        self.chance, self.now, self.start = random.Random(seed), 100_000_000, 100_000_000
        told = replace(
            PLAIN, classes=(SAFE, KEYED, UNSAFE), routers=self.ROUTERS, may_load=True, tells_warm=True,
            load_free=4.0, load_share=0.2, load_window_us=10_000_000, idle_life_us=60_000_000,
        )  # fmt: skip
        self.workers = {f"w{number}": {} for number in range(self.WORKERS)}  # function: stands from
        self.ran, self.loads, self.orders, self.replies = {}, [], [], []
        self.engines = [
            Engine(replace(told, position=at), None, seed=at, margin_us=0) for at in range(self.ROUTERS)
        ]
        self.queue, self.number = [], 0
        members = io.Members(io.ListKind.FULL, tuple(entry(name) for name in self.workers))
        for at in range(self.ROUTERS):
            self._step(at, ports.Listed(members))
            self._later(self.chance.expovariate(self.PER_S), self._call, at)
        if versions_at:
            self._later(versions_at, self._versions)
        self._run()

    def _later(self, seconds, act, *given):
        self.number += 1
        heapq.heappush(self.queue, (self.now + max(1, int(seconds * 1e6)), self.number, act, given))

    def _run(self):
        end = self.start + self.SECONDS * 1_000_000
        while self.now < end:
            due = min((engine.next_us() or end, at) for at, engine in enumerate(self.engines))
            if self.queue and self.queue[0][0] <= due[0]:
                self.now, _, act, given = heapq.heappop(self.queue)
                act(*given)
            else:
                self.now = max(self.now + 1, due[0])
                self._step(due[1])

    def _versions(self):
        self.workers = {name: {} for name in self.workers}

    def _call(self, at):
        self._later(self.chance.expovariate(self.PER_S), self._call, at)
        self.number += 1
        request_class = self.chance.choice(("safe", "keyed", "unsafe"))
        function = f"f{min(self.chance.randrange(self.FUNCTIONS), self.chance.randrange(self.FUNCTIONS))}"
        trigger = Trigger(
            f"s{self.number}", (self.now, request_class), request_class, "", function, f"k{self.number}", b"",
            3_000_000, memory_mb=50.0, lanes=4, load_us=self.LOAD_US,
        )  # fmt: skip
        self._step(at, ports.Arrive(trigger))

    def _step(self, at, *inputs):
        for out in self.engines[at].step(self.now, WALL + self.now, inputs):
            if isinstance(out, ports.Start):
                self._serve(at, out)
            elif isinstance(out, ports.Order):
                self.orders.append(self.now)
                wait = self._stands(out.worker, out.function)[0] - self.now
                self._later(wait / 1e6, self._step, at, ports.OrderEnd(out.number, Status.OK, 1, wait))
            elif isinstance(out, ports.Reply):
                sent, request_class = out.trigger.ref
                self.replies.append((sent, request_class, out.answer.kind, self.now - sent))

    def _stands(self, worker, function):
        """From when a copy stands, and what an answer says of it."""
        copies = self.workers[worker]
        if function not in copies:
            copies[function] = self.now + self.LOAD_US
            self.loads.append((self.now, worker, function))
            return copies[function], 2
        return max(self.now, copies[function]), 3 if copies[function] > self.now else 1

    def _serve(self, at, start):
        worker, function, key = start.worker, start.trigger.function, start.trigger.key
        stands, found = self._stands(worker, function)
        failed = found == 2 and len(self.loads) % 10 == 0
        status, ran = (Status.ERROR, Ran.MAYBE) if failed else (Status.OK, Ran.YES)
        if failed:
            del self.workers[worker][function]
        else:
            self.ran.setdefault((start.trigger.request_class, key), []).append(worker)
        took = (self.LOAD_US if failed else stands - self.now + self.WORK_US) / 1e6
        note = 0 if failed else found
        end = ports.AttemptEnd(start.id, start.number, status, ran, b"", int(took * 1e6), note)
        self._later(took, self._step, at, end)

    def service(self, since=0.0, until=1e9):
        """The share of calls that came in that span, in s, and were served within their wanted time."""
        begin, end = self.start + since * 1e6, self.start + until * 1e6
        found = [reply for reply in self.replies if begin <= reply[0] < end]
        return sum(kind is Kind.SERVED and took <= SAFE.target_us for _, _, kind, took in found) / len(found)


def test_new_versions_of_what_is_loaded_leave_a_quiet_day_quiet():
    for seed in (1, 2, 6):
        without, having = Quiet(0, seed), Quiet(20, seed)
        assert without.service() > 0.9
        # The day as a whole, and from 5 s after the change on: as without it.
        assert having.service() > without.service() - 0.05
        assert having.service(25, 38) > without.service(25, 38) - 0.02
        # A new version is loaded about once where it is needed: nowhere twice but for loads that failed.
        places = [place for at, *place in having.loads if at >= having.start + 20_000_000]
        places = list(map(tuple, places))
        assert len(places) - len(set(places)) <= len(places) / 10 + 1
        # Rule 5: orders of each router keep to the ration; all together to four times it.
        for at in having.orders:
            came = sum(at - 10_000_000 <= sent <= at for sent, *_ in having.replies)
            window = sum(at - 10_000_000 < other <= at for other in having.orders)
            assert window <= Quiet.ROUTERS * (4 + 1) + 0.2 * came
        # Rule 2: what is unsafe ran once at most, what is keyed in one group.
        assert all(
            len(ran) == 1 for (request_class, _), ran in having.ran.items() if request_class == "unsafe"
        )
        for engine in having.engines:
            router = engine.router
            workers = router.workers.values()
            assert all(worker.warm_at <= having.now for worker in workers), "taken for starting"
            assert all(worker.rest_until <= having.now for worker in workers), "taken for bad"
            paces = sorted(map(router._pace, workers))
            # 3.85 on seed 6 where a load counted as slowness: such a worker got 7 calls in 100 of its part.
            assert paces[-1] <= 1.5 * paces[len(paces) // 2], "taken for slow"
