"""Every decision of a swiftwell router; types in swiftwell/interface.py, tables in swiftwell/router_state.py.

Punica's rule (5.1): a request goes to the worker that holds most of our own in-flight requests and has room,
warm workers first; when none has room it is held, first come first served.  Everything else here narrows who
has room, or answers what a rule of the operators asks.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from operator import attrgetter

from swiftwell import interface as io
from swiftwell import router_state as rs
from swiftwell.interface import Effect, ListKind, State, Status
from swiftwell.placement import CANDIDATES, SPLIT, Ring

FIRST_CAP, MOST_CAP = 4.0, 16.0  # requests of ours in flight at a worker: at first, and at most
CAP_STEP = 0.3  # requests: how far one outcome moves a worker's cap
CAP_AIM = 0.25  # of a class's wanted time: outcomes that take longer lower the cap
FIRST_LATENCY = 0.25  # of the class's wanted time: a call's time before any outcome has told one
STRAINED = 0.75  # of the wanted time: a first try reckons with no longer usual time; a slow fleet serves
REPEAT_SPENT = 0.5  # of the wanted time that a client's repeat has spent on earlier tries and waits
LOAD_US = 800_000  # us: a load's time where none is told; most small copies load in less
LEARN = 0.1  # weight of one outcome in the running means of latency and load time
PACE_LEARN = 0.5  # weight of one outcome in a worker's pace: a router with few calls sees few of them
PACE_US = 10_000_000  # us over which a worker's pace goes back to that of its kind
LATE = 4.0  # times the usual latency: an attempt is late; a worker silent so long has no room
REST_US = 250_000  # us a worker rests after a failure; doubles with each further one
REST_DOUBLINGS = 4  # doublings of the rest at most: a worker back again is tried within 4 s
FULL_US = 100_000  # us a worker counts as full when no outcome comes sooner
REFUSED_US = 1_000_000  # us a worker that turned a class or tenant away gets none of it
LOOK_US = 100_000  # us until a function without room is looked at again; a call held longer gets a seat more
RETRY_SHARE, RETRY_BURST = 0.1, 10.0  # further attempts per call taken, and saved up at most
HEADROOM = 2.0  # lanes wanted for each call at work: arrivals are uneven
RATE_US = 10_000_000  # us over which arrivals are averaged: long enough for routers with few calls
DOUBT = 10.0  # calls: until a router has taken more, it takes a function to fill about a worker
ERRORS = 3.0  # standard errors of its count by which a function may be hotter: few calls tell little
SPREAD = 3.0  # homes a function has for each worker that its part of our calls would fill: evens them out
PASSES = 8  # workers beyond its homes that a call passes on to at most
KEEP_LIVES = 2  # idle lives after its last call for which a function is remembered
ANSWER_US = 100_000  # us for which calls wait for a question's answer before they go elsewhere: a handshake
MOST_LOADS = 6  # loads of ours under way at once
LOAD_FAILED = 4  # the wire's word in an error or a miss: the load that the call began or waited for failed
LOAD_STALL = 3.0  # times the usual load: the copy is no longer waited for
ORDERS, MOST_ORDERS = 0.1, 10.0  # orders per call taken, and saved up at most: as further attempts
TURNS = 0.75  # of the told multiple that all turns at a starting worker come to: the rest is for chance
STILL_US = 50_000  # us that a timer may come late before we take it that we stood still ourselves
SWEEP_US = 1_000_000  # us between looks at paces and old records, and between calls to a failing discovery


class Router(rs.RouterState):
    """One router's decisions: `handle` takes a batch of events and gives the actions."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.ring = Ring()
        self.ready = self.ring.workers
        self.takers = {io.Request: self._request, io.Outcome: self._outcome}
        self.takers |= {io.Loaded: self._loaded, io.Members: self._members}
        self.takers |= {io.Restarted: self._restarted, io.ListState: self._list_state}
        self.retries = rs.TokenBucket(RETRY_BURST, RETRY_BURST)
        self.orders_left = rs.TokenBucket(MOST_ORDERS, 1.0)
        self.latency = FIRST_LATENCY * min(
            (request_class.target_us for request_class in settings.classes), default=1_000_000
        )
        self.traffic, self.served = rs.DecayingRate(RATE_US), rs.DecayingRate(RATE_US)
        self.usual = {
            request_class.name: FIRST_LATENCY * request_class.target_us for request_class in settings.classes
        }

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]:
        self.now, self.actions = now, []
        self.list_serves = self.leases is None or self.leases.list_serves(now)
        if not self.seq:
            self.born = now
            self._after(SWEEP_US, self._sweep)
            if self.settings.asked_discovery:
                self._watch()
        # After a gap in our own clock, told by a late timer, what was out meanwhile tells nothing of workers:
        # else all would look silent and slow at once.  Timers go last, as answers may lie beside them.
        if self.now - min(map(self.due, events), default=now) > STILL_US:
            self.woke = now
        for event in sorted(events, key=lambda event: isinstance(event, io.Timer)):
            self.takers.get(type(event), self._note)(event)
        self._dispatch()
        return self.actions

    def _watch(self) -> None:
        self.actions.append(io.Watch(True))

    def _members(self, event: io.Members) -> None:
        if event.how is ListKind.FAILED:  # the old list holds; ask again, but not at once
            # Who asks seldomer than told counts as told of what went unheard.
            self._after(min(SWEEP_US, self.settings.ask_within_us or SWEEP_US), self._watch)
            return
        self.ring.update([self._entry(entry) for entry in rs.listed(event, self.workers)])
        self.listing += 1

    def _entry(self, entry: io.WorkerEntry) -> rs.Worker:
        worker = self.workers.get(entry.worker)
        warm_at = entry.started_us + self.settings.cold_us if entry.started_us else 0
        if worker is None:
            order = rs.stable_hash(f"{entry.worker}/{self.settings.position}")
            memory = dict(self.settings.kind_memory_mb).get(entry.kind, math.inf)
            worker = rs.Worker(entry, rs.stable_hash(entry.worker), order, memory, FIRST_CAP)
            self.workers[entry.worker], worker.warm_at = worker, warm_at
        elif entry.started_us != worker.entry.started_us:  # beliefs die with the process
            self._forget(worker)
            worker.rest_until, worker.pace_at, worker.cap, worker.warm_at = 0, 0, FIRST_CAP, warm_at
        worker.identified = True
        worker.entry, worker.rank = entry, (entry.zone != self.settings.zone, -worker.order)
        if entry.state is State.GONE:
            self._forget(worker)
        return worker

    def _restarted(self, event: io.Restarted) -> None:
        """Rules 2 and 4 while the list is away: it may be a new process, cold, or another worker's."""
        if worker := self.workers.get(event.worker):
            self._forget(worker)
            worker.warm_at, worker.identified = self.now + self.settings.cold_us, False

    def _list_state(self, event: io.ListState) -> None:
        """Who waits for proof is looked at again; a list that is current names every process."""
        self.look_at = self.now
        if not event.stale:
            for worker in self.workers.values():
                worker.identified = True

    def _request(self, request: io.Request) -> None:
        request_class, function = (
            self.request_classes[request.request_class],
            self.functions.get(request.function),
        )
        if function is None:
            name, load = request.function, request.load_us or LOAD_US
            function = rs.Function(name, rs.stable_hash(name), load, rs.DecayingRate(RATE_US))
            self.functions[name] = function
        function.memory, function.lanes = request.memory_mb, request.lanes
        function.rate.add(self.now)
        self.traffic.add(self.now)
        self.retries.earn(RETRY_SHARE)
        self.orders_left.earn(ORDERS)
        self.taken.add(self.now)
        kinds = (
            f"class {request_class.name}",
            f"tenant {request.tenant}",
        )  # what a worker may tell calls apart by
        call = rs.Call(request, request_class, function, self.seq, self.now, kinds)
        self.calls[request.id] = call
        # Two ticks early: timers land on the next tick, and the answer must precede the deadline.
        self._after(request.left_us - 2 * self.settings.tick_us, self._finish, call)
        self._after(request.left_us // 2 - 2 * self.settings.tick_us, self._half, call)
        self._hold(call)

    def _hold(self, call: rs.Call) -> None:
        """Put a call in its function's line; one bound to a group waits apart, so that it blocks nobody."""
        bound = call.bound()
        call.held = True
        self.news.add(call.function.name)
        line = call.function.name, bound.group if bound else ""
        self.lines.setdefault(line, deque()).append(call)

    def _usual(self, call: rs.Call) -> float:
        """The usual time of the call's class; at most half of what is wanted, so that a slow fleet serves."""
        return min(self.usual[call.request_class.name], call.request_class.target_us / 2)

    def _in_time(self, call: rs.Call) -> bool:
        """Whether a held call, sent now, would most likely be answered within its wanted time.

        A repeat's wanted time began with its first try, so a fleet slow as a whole serves first tries first.
        """
        wanted, least = call.request_class.target_us, self._usual(call)
        usual, waited = self.usual[call.request_class.name], self.now - call.arrived
        if call.request.repeated:
            usual += REPEAT_SPENT * wanted
        else:
            usual = least if call.attempts else min(usual, STRAINED * wanted)
        return waited + usual <= wanted and waited + least <= call.request.left_us

    def _head(self, line: rs.QueueKey) -> rs.Call | None:
        """The first call of a line that waits and can still be in time; one that can't is answered now.

        Against overload and retries that feed it, as it would take the room of one in time.  Hurts where late
        answers are worth much, and calls that wait for a slow load.
        """
        queue = self.lines[line]
        while queue:
            call = queue[0]
            if call.held and self._in_time(call):
                return call
            queue.popleft()
            if call.held:
                call.held = False
                if not call.outstanding():
                    self._finish(call)
        del self.lines[line]
        return None

    def _half(self, call: rs.Call) -> None:
        """Half of a call's time is over and nothing was sent: operators want to hear sooner than later.

        Where no copy of its function stands anywhere, the other half is most likely a load's as well.
        """
        if call.held and not call.attempts and not (call.function.holding(self.now) and self._any_serves()):
            call.held = False
            self._finish(call)

    def _dispatch(self) -> None:
        """Place held calls, oldest first; a function that finds no room blocks only itself."""
        look = self.now >= self.look_at
        lines = [line for line in self.lines if look or line[0] in self.news]
        heads = [(call.seq, line) for line in lines if (call := self._head(line))]
        self.news.clear()
        heapq.heapify(heads)
        while heads:
            _, line = heapq.heappop(heads)
            call = self._head(line) if line in self.lines else None
            if call and self._place(call):
                self.lines[line].popleft()
                if call := self._head(line):
                    heapq.heappush(heads, (call.seq, line))
        if self.lines and look:
            self.look_at = self.now + LOOK_US
            self._after(LOOK_US, lambda: None)  # a batch then, to look again

    def _place(self, call: rs.Call) -> bool:
        """Send a call to the worker chosen for it, or order a copy at a seat and go on holding."""
        function, seats = call.function, self._seats(call)
        worker, warm = self._choose(call, seats)
        if worker and not warm and self._serves(worker):
            ordered = self.settings.may_load and (function.coming or self._order(worker, function))
            if ordered or self.settings.misses:  # meanwhile a copy elsewhere may serve
                worker, warm = self._choose(call, function.holding(self.now))
        if worker and not self._serves(worker):  # rule 3 while the list is away: its own word first
            self._ask(worker, function)
            return False
        if worker is None or (self.settings.misses and self.settings.may_load and not warm):
            return False
        self._send(call, worker, not warm)
        return True

    def _choose(self, call: rs.Call, workers: list[rs.Worker]) -> tuple[rs.Worker | None, bool]:
        """The ranking: warm first, then most of our own in flight, then the tie hash."""
        function = call.function
        tried = [a.worker for a in call.attempts if a.out]
        best, best_rank = None, (False, -1, -1)
        for worker in workers:
            copies = worker.believed(function.name, self.now)
            rank = (copies > 0, worker.inflight, worker.order)
            capped = worker.inflight >= int(worker.cap)
            if rank < best_rank or worker in tried or capped or not self._fit(call, worker):
                continue
            free = worker.busy.get(function.name, 0) < function.lanes * copies
            if (free if copies else self._fits(worker, function)) and self._may_send(call, worker):
                best, best_rank = worker, rank
        return best, best_rank[0]

    def _seats(self, call: rs.Call) -> list[rs.Worker]:
        """Where a function may have room: as many of its homes as our own calls need, by the tie hash.

        Homes come first in an order that all routers share, so that they meet at copies without talking.
        """
        function, seats = call.function, []
        need = self._reach(function, self._usual(call)) + (self.now - call.arrived > LOOK_US)
        for worker in function.order:
            if self._fit(call, worker):
                seats.append(worker)
            if len(seats) == need:
                break
        return seats

    def _reach(self, function: rs.Function, usual: float) -> int:
        """How many seats our calls of a function need; its homes come first in its order, ours before all."""
        lanes = HEADROOM * function.rate.per_us(self.now) * usual / function.lanes
        # This call is no sign of others.  Few calls tell little, so in doubt more: hundreds of routers that
        # each took a few for none would all meet on the first home.  Also covers a start, a restart and a
        # function that turns hot.  May hurt as functions get more homes, hence loads, at quiet routers.
        others = max(0.0, function.rate.total - 1)
        calls = others + ERRORS * math.sqrt(others) + DOUBT / max(1, len(self.ready))
        part = calls / (self.traffic.per_us(self.now) * RATE_US + DOUBT)
        homes = min(SPREAD * part * len(self.ready), lanes * self.settings.routers)
        homes = 1 << math.ceil(math.log2(max(1.0, homes, lanes)))  # in steps, so that seats seldom move
        # An order of many is made anew once a period at most: what has gone is not fit, what comes can wait.
        due = min(homes, len(self.ready)) <= CANDIDATES or self.now >= function.ordered_at + SWEEP_US
        if function.homes != homes or (function.listing != self.listing and due):
            function.listing, function.homes, function.ordered_at = self.listing, homes, self.now
            shared = self.ring.preferred(function.key, homes + PASSES)
            function.order = sorted(shared[:homes], key=attrgetter("rank")) + shared[homes:]
        return max(1, math.ceil(lanes))

    def _fits(self, worker: rs.Worker, function: rs.Function) -> bool:
        """Cold room: memory for one more copy in our own account, and none coming or just failed."""
        shut = function.name in worker.coming or self.now < worker.shut.get(function.name, 0)
        if shut or self.loading >= MOST_LOADS:
            return False
        return worker.memory_used(self.now) + function.memory <= worker.memory

    def _believe(self, worker: rs.Worker, function: rs.Function, count: int) -> None:
        """A belief rests on a send or an answer and fades past the told idle life."""
        fades = self.now + self.settings.idle_life_us
        worker.copies[function.name] = rs.CopyEstimate(count, function.memory, self.now, fades)
        function.holders[worker.entry.worker] = worker

    def _fit(self, call: rs.Call, worker: rs.Worker) -> bool:
        """Whether a worker may have room for a call at all, whatever our own calls take of it."""
        if not worker.ready or self.now < max(worker.rest_until, worker.full_until) or self._suspect(worker):
            return False
        if self._unproven(worker):
            return False
        # A 'full' may be meant for a class or tenant: it marks both, and an answer of either clears its mark.
        if worker.refused and any(self.now < worker.refused.get(kind, 0) for kind in call.kinds):
            return False
        return self._admits(call, worker)

    def _serves(self, worker: rs.Worker) -> bool:
        """Whether it is known not to drain: by the list, or by its own word where the list may be stale."""
        return self.list_serves or self.leases.serves(worker.entry.worker, self.now)

    def _any_serves(self) -> bool:
        return self.list_serves or any(map(self._serves, self.ready))

    def _unproven(self, worker: rs.Worker) -> bool:
        """Not known to serve, and not to be asked, or asked and silent: as a worker that hangs."""
        if self._serves(worker):
            return False
        return not self.settings.may_load or (worker.asked > 0 and self.now - worker.asked >= ANSWER_US)

    def _suspect(self, worker: rs.Worker) -> bool:
        """Hung, paused, cut off: old work, no outcomes.  May hurt where one long call is all it has."""
        return worker.inflight > 0 and self.now - max(worker.quiet_since, self.woke) > LATE * self.latency

    def _pace(self, worker: rs.Worker) -> float:
        """How long calls take there against their functions' usual time; old news fade into the kind's."""
        usual = self.kind_pace.get(worker.entry.kind, 1.0)
        return usual + (worker.pace - usual) * math.exp((worker.pace_at - self.now) / PACE_US)

    def _admits(self, call: rs.Call, worker: rs.Worker) -> bool:
        """A slow or starting worker admits only a part of our calls: what it can do of what others can.

        Slow, crowded and ageing workers and weak kinds alike: all routers take away the same part, which adds
        up for any number of them.  Against the median, so a fleet slow as a whole serves.  A call's draw is
        not made again.  One unlucky answer may hurt until it fades.
        """
        part = min(1.0, self.median / self._pace(worker)) ** 2
        if self.now < worker.warm_at:
            return not call.attempts and self._turn(call, worker, part)  # turned away elsewhere adds up here
        draw = (worker.order ^ call.seq * SPLIT) * SPLIT % 2**64
        return draw < part * 2**64 or len(self.ready) == 1  # nobody else to leave the others to

    def _turn(self, call: rs.Call, worker: rs.Worker, part: float) -> bool:
        """Whether we have a turn at a starting worker: our part of what the whole fleet may offer it.

        Turns come at the pace at which warm workers serve us, times the part that it is of one, and lapse
        after the span of rule 4, so that routers that were quiet can't all come at once.  What warm workers
        serve is within what they can do, whatever they are offered, so the sum over any number of routers
        keeps to the told multiple.  Our part of one core's budget in any case: no worker has less.
        """
        left = min(1.0, (worker.warm_at - self.now) / max(1, self.settings.cold_us))
        present = 1 - (1 - self.settings.cold_share) * left  # of its capacity, at the slowest warm-up allowed
        core = self.settings.fall_multiple * present / self.latency / self.settings.routers
        # Among few routers that part is also the most: they see little of each worker's chance.
        if worker.sends.count(self.now - self.settings.fall_us) >= max(1, int(core * self.settings.fall_us)):
            return False
        seen = 1 - math.exp((self.born - SWEEP_US - self.now) / RATE_US)  # of the mean's span, after a start
        even = self.served.per_us(self.now) / seen / max(1, self.warm or len(self.ready))  # 0 until a sweep
        pace = TURNS * max(core, even * part * present * self.settings.fall_multiple)
        return worker.turns.open(self.now, pace, self.settings.fall_us)

    def _may_send(self, call: rs.Call, worker: rs.Worker) -> bool:
        """Rule 2: where this call may go, given what its earlier attempts may have done."""
        bound = call.bound()
        if bound is None or call.request_class.effect is Effect.SAFE:
            return True
        if call.request_class.effect is Effect.UNSAFE or worker.group(call.request_class) != bound.group:
            return False
        return self.now < bound.sent + call.request_class.memory_us - 2 * self.settings.tick_us

    def _send(self, call: rs.Call, worker: rs.Worker, cold: bool) -> None:
        function = call.function
        call.held = False
        attempt = rs.Attempt(call, len(call.attempts), worker, self.now, cold)
        attempt.group = worker.group(call.request_class)
        worker.turns.used += self.now < worker.warm_at
        call.attempts.append(attempt)
        worker.begin(function.name, self.now)
        if cold:
            self._believe(worker, function, 1)
        self.actions.append(io.Send(call.request.id, worker.entry.worker, call.deadline))
        self._after(LATE * self._usual(call) + (function.load_us if cold else 0), self._late, attempt)

    def _outcome(self, event: io.Outcome) -> None:
        call = self.calls.get(event.id)
        if call is None or event.attempt >= len(call.attempts) or not call.attempts[event.attempt].out:
            return
        attempt = call.attempts[event.attempt]
        attempt.out, attempt.maybe_ran = False, event.status not in io.NEVER_RAN
        attempt.worker.finish(call.function.name)
        self.news.add(call.function.name)
        self._learn(attempt, event)
        if event.closed or event.status is Status.OK:
            call.ended = True
        elif not call.ended and not call.held and not call.outstanding():
            self._again(call, event.status)
        if call.ended:
            self._end(call)

    def _learn(self, attempt: rs.Attempt, event: io.Outcome) -> None:
        worker, function, now = attempt.worker, attempt.call.function, self.now
        held = dict(event.report).get("rif")
        if held is not None:
            self.usual_held += LEARN * (held - self.usual_held)
            self._strain(worker, (held + 1) / (self.usual_held + 1))
        elif event.status is Status.FULL:
            self._strain(worker, LATE)
        if event.status in (Status.OK, Status.FULL, Status.MISS):
            worker.quiet_since, worker.answered = now, max(worker.answered, attempt.sent)
        if event.note & 7 == LOAD_FAILED:  # no copy stands or comes: as after an order that failed
            worker.copies.pop(function.name, None)
            worker.shut[function.name] = now + int(function.load_us)
        match event.status:
            case Status.OK:
                if now >= worker.warm_at:
                    self.served.add(now)
                worker.full_until, worker.failures = 0, 0
                for kind in attempt.call.kinds:
                    worker.refused.pop(kind, None)
                self._believe(worker, function, max(1, worker.believed(function.name, now)))
                note = event.note & 7  # 0 where answers don't tell, 1 where a copy stood
                if note == 1 or not (attempt.cold or note):
                    self._timed(attempt, event.latency_us)
                elif attempt.before:  # a new version of what was warm had to load: no sign of a slow worker
                    pace, cap = attempt.before
                    worker.pace, worker.cap = min(worker.pace, pace), max(worker.cap, cap)
            case Status.FULL:
                worker.full_until = now + FULL_US
                if attempt.cold:  # nothing shows that a copy stands or comes
                    worker.copies.pop(function.name, None)
                worker.refused |= dict.fromkeys(attempt.call.kinds, now + REFUSED_US)
            case Status.MISS:
                worker.copies.pop(function.name, None)
            case Status.RESET | Status.CONNECT_FAILED:
                self._forget(worker)
                worker.warm_at = (
                    now + self.settings.cold_us
                )  # it may be starting again before the list says so
                self._rest(worker)
            case Status.TIMEOUT if not attempt.call.ended:
                self._rest(worker)

    def _timed(self, attempt: rs.Attempt, latency: int) -> None:
        """Learn from how long an answer took: the class's time, the worker's pace and its cap."""
        worker, request_class = attempt.worker, attempt.call.request_class
        if attempt.sent < self.woke:
            return
        usual = self.usual[request_class.name]
        self.usual[request_class.name] += LEARN * (min(latency, 2 * LATE * usual) - usual)
        self._strain(worker, min(latency / usual, 2 * LATE))
        self.latency += LEARN * (min(latency, LATE * self.latency) - self.latency)
        step = CAP_STEP * max(-2.0, 1 - latency / (CAP_AIM * request_class.target_us))
        if step < 0 or worker.inflight + 2 > worker.cap:  # only a cap in use grows
            worker.cap = min(MOST_CAP, max(1.0, worker.cap + step))

    def _strain(self, worker: rs.Worker, ratio: float) -> None:
        """One sign of how busy a worker is, against what is usual: a latency, or the calls it holds."""
        usual, pace = self.kind_pace.setdefault(worker.entry.kind, 1.0), self._pace(worker)
        self.kind_pace[worker.entry.kind] += LEARN * (ratio - usual)
        worker.pace, worker.pace_at = pace + PACE_LEARN * (ratio - pace), self.now

    def _rest(self, worker: rs.Worker) -> None:
        worker.rest_until = self.now + (REST_US << min(worker.failures, REST_DOUBLINGS))
        worker.failures += 1

    def _again(self, call: rs.Call, status: Status) -> None:
        """After a failed attempt: another, rationed as attempts feed an overload, or the final answer.

        Also after 'full': where all workers are, each pass takes work and may begin a load.  A 'miss' is free
        where the design asks for an order and a resend.  May hurt where few of many workers turn much away.
        """
        barred = call.bound() is not None and call.request_class.effect is Effect.UNSAFE
        spent = len(call.attempts) >= self.settings.max_attempts
        free = self.settings.misses and status is Status.MISS
        if barred or spent or not (free or self.retries.spend(1)):
            self._finish(call)
        else:
            self._hold(call)

    def _late(self, attempt: rs.Attempt) -> None:
        """An attempt old for its function: the worker looks slower; if suspect, another may start."""
        call, settings = attempt.call, self.settings
        if not attempt.out or call.ended or call.streaming:
            return
        # What was sent later has been answered: this one is long or lost, and tells nothing of its worker.
        # Else a few answers that never come close every worker, and raise the time at which one is late.
        overtaken = attempt.worker.answered > attempt.sent
        if not attempt.cold and not overtaken:
            attempt.before = attempt.before or (self._pace(attempt.worker), attempt.worker.cap)
            self._timed(attempt, self.now - attempt.sent)
        if (
            call.held
            or call.request_class.effect is Effect.UNSAFE
            or len(call.attempts) >= settings.max_attempts
        ):
            return
        lost = overtaken and self.now - attempt.sent >= 2 * LATE * self._usual(call)
        if not lost and not self._suspect(attempt.worker):
            self._after(LATE * self._usual(call), self._late, attempt)
        elif settings.second_copies and self.retries.spend(1):
            self._hold(call)
        elif not settings.second_copies and settings.may_cancel and self.retries.left >= 1:
            self.actions.append(io.Cancel(call.request.id, attempt.number))

    def _finish(self, call: rs.Call) -> None:
        """Rule 1: the one final answer, a refusal where it is true that nothing ran.

        Where it may, a refusal tells when to come back: on the next tick, or where answers usually take over
        half of what is wanted, after what they take beyond it.
        """
        if call.ended or call.streaming:
            return
        keyed_by_all = call.request_class.effect is Effect.KEYED and call.request_class.scope == "all"
        harmless = call.bound() is None or call.request_class.effect is Effect.SAFE or keyed_by_all
        over = self.usual[call.request_class.name] - call.request_class.target_us / 2
        wait = min(max(int(over), self.settings.tick_us), self.settings.max_retry_after_us)
        wait = wait if self.settings.retry_after else 0
        self.actions.append(io.Refuse(call.request.id, wait) if harmless else io.Fail(call.request.id))
        self._end(call)

    def _order(self, worker: rs.Worker, function: rs.Function) -> bool:
        """Order a copy, within the ration (rule 5): every order counts, in a sliding window.

        Where workers load by themselves, also within what our calls earn: hundreds of routers with some calls
        a second each ordered nearly one for each call, and most found a copy that another had ordered.
        """
        settings, name, since = self.settings, function.name, self.now - self.settings.load_window_us
        allowed = settings.load_free + settings.load_share * self.taken.count(since + 1)
        if self.orders.count(since - settings.tick_us) + 1 > allowed and settings.load_window_us:
            return False
        if not self.settings.misses and not self.orders_left.spend(1):
            return False
        self.orders.add(self.now)
        self.actions.append(io.Load(worker.entry.worker, name, 1))
        worker.coming[name] = rs.CopyEstimate(1, function.memory, self.now, 0)
        function.coming, self.loading = function.coming + 1, self.loading + 1
        self._after(LOAD_STALL * function.load_us, self._load_failed, worker, function, worker.coming[name])
        return True

    def _ask(self, worker: rs.Worker, function: rs.Function) -> None:
        """Ask how many copies stand, which proves that it serves; one question to a worker at a time."""
        if worker.asked:
            return
        worker.asked = self.now
        self.actions.append(io.Load(worker.entry.worker, function.name, 0))
        self._after(ANSWER_US, self._look)

    def _look(self) -> None:
        self.look_at = self.now

    def _answered(self, worker: rs.Worker, event: io.Loaded) -> None:
        """A question has ended.  Who drains or says nothing is left alone for a while, as after a failure."""
        worker.asked, self.look_at = 0, self.now
        if event.status is Status.OK:
            worker.failures = 0
            if not event.copies:
                worker.copies.pop(event.function, None)
            elif event.function in self.functions and not worker.believed(event.function, self.now):
                self._believe(worker, self.functions[event.function], event.copies)
        elif event.status is Status.MOOT:  # for a reason of ours
            worker.full_until = self.now + FULL_US
        else:
            self._rest(worker)

    def _load_failed(self, worker: rs.Worker, function: rs.Function, order: rs.CopyEstimate) -> None:
        if worker.coming.get(function.name) is order:  # failed or stalled: not here for a while
            self._arrived(worker, function)
            worker.shut[function.name] = self.now + int(function.load_us)

    def _loaded(self, event: io.Loaded) -> None:
        worker, function = self.workers.get(event.worker), self.functions.get(event.function)
        if worker is None:
            return
        if event.asked:
            self._answered(worker, event)
            return
        if function is None:
            return
        coming, stand = worker.coming.get(function.name), event.copies > 0
        self.news.add(function.name)
        if stand:
            self._believe(worker, function, event.copies)
        if coming and event.status is not Status.OK:
            self._load_failed(worker, function, coming)
            if event.status in (Status.RESET, Status.CONNECT_FAILED):
                self._rest(worker)
        elif coming and stand:
            self._arrived(worker, function)

    def _sweep(self) -> None:
        """Now and then: the fleet's median pace, and what can be forgotten."""
        self._after(SWEEP_US, self._sweep)
        self.warm = sum(self.now >= worker.warm_at for worker in self.ready)
        paces = sorted(map(self._pace, self.ready))
        self.median = max(0.1, paces[len(paces) // 2]) if paces else 1.0
        self.taken.count(self.now - self.settings.load_window_us)  # keeps the window short
        for worker in list(self.workers.values()):
            worker.tidy(self.now, self.now - self.settings.fall_us)
            if worker.entry.state is State.GONE and not worker.inflight:  # else every one that left stays
                del self.workers[worker.entry.worker]
        for function in list(self.functions.values()):
            if not function.coming and self.now - function.rate.at > KEEP_LIVES * self.settings.idle_life_us:
                del self.functions[function.name]
