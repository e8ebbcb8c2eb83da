"""Every decision of a swiftwell router; types in swiftwell/interface.py, tables in swiftwell/router_state.py.

Punica's rule (section 5.1): a request goes to the worker that holds most of our own in-flight requests and
has room, warm workers first; when none has room it is queued, first come, first served.  Everything else here
narrows down which workers have room, or implements a rule of the operators: 1, one final answer in time;
2, no effect twice; 3, nothing new to a draining worker; 4, no overload of a cold worker; 5, a rate limit on
load orders.  Times are in microseconds.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from operator import attrgetter

from swiftwell import interface as io
from swiftwell import router_state as rs
from swiftwell.interface import Effect, ListKind, State, Status
from swiftwell.placement import HASH_MULTIPLIER, MIN_RANKED, Ring

# Concurrency limit of a worker: requests of ours in flight there.
INITIAL_CONCURRENCY, MAX_CONCURRENCY = 4.0, 16.0
CONCURRENCY_STEP = 0.3  # requests: largest rise of the limit by one outcome; it falls by up to twice as much
CONCURRENCY_LATENCY_SHARE = 0.25  # of a class's target latency: slower outcomes lower the limit

# Expected latency, as a share of a class's target latency.
INITIAL_LATENCY_SHARE = 0.25  # before any outcome
MAX_EXPECTED_SHARE = 0.75  # upper bound for a first try, so that a slow fleet still serves
REPEAT_SPENT_SHARE = 0.5  # taken as spent on earlier tries and waits when a client repeats a request

DEFAULT_LOAD_US = 800_000  # us: load time where the request gives none; most small copies load in less
MEAN_WEIGHT = 0.1  # weight of one outcome in the running means of latency and reported calls
# Weight of one outcome in a worker's relative latency: high, as a router with few calls sees few of them.
RELATIVE_LATENCY_WEIGHT = 0.5
RELATIVE_LATENCY_DECAY_US = 10_000_000  # us: time constant of its return to the mean of the worker's kind
LATE_MULTIPLE = 4.0  # times the expected latency: then an attempt is late, and a silent worker has no room

BACKOFF_US = 250_000  # us: back-off of a worker after a failure; doubles with each further one
MAX_BACKOFF_DOUBLINGS = 4  # so that a recovered worker is tried again within 4 s
FULL_PAUSE_US = 100_000  # us: a worker that reported full gets no calls, unless an outcome comes sooner
REJECTION_PAUSE_US = 1_000_000  # us: a worker that rejected a class or tenant gets none of its calls
RECHECK_US = 100_000  # us between checks of all queues; a call queued longer gets one more candidate
RETRY_SHARE, RETRY_BURST = 0.1, 10.0  # retry tokens earned per call, and kept at most

LANE_HEADROOM = 2.0  # lanes wanted for each call in flight, as arrivals are uneven
RATE_SPAN_US = 10_000_000  # us over which arrivals are averaged: long enough for routers with few calls
PRIOR_CALLS = 10.0  # calls: until a router has seen more, it assumes that a function fills about one worker
STANDARD_ERRORS = 3.0  # standard errors added to a function's count of calls, as small counts are uncertain
PREFERRED_MULTIPLE = 3.0  # preferred workers for each worker that a function's share of our calls would fill
FALLBACK_WORKERS = 8  # workers beyond the preferred ones that a call may go to, at most
FUNCTION_KEEP_LIFETIMES = 2  # idle lifetimes after its last call for which a function is remembered

QUERY_WAIT_US = 100_000  # us that calls wait for a query's answer before they go elsewhere: one handshake
MAX_PENDING_LOADS = 6  # copies ordered by this router and not yet loaded
NOTE_LOAD_FAILED = 4  # note in an error or a miss: the load that the call began or waited for has failed
LOAD_TIMEOUT_MULTIPLE = 3.0  # times the expected load time: the copy is no longer waited for
ORDER_SHARE, ORDER_BURST = 0.1, 10.0  # tokens for load orders earned per call, and kept at most: as retries
RAMP_BUDGET_SHARE = 0.75  # of the configured overload multiple that ramp tokens use; the rest is a margin

CLOCK_GAP_US = 50_000  # us: a timer that is later shows that this process itself was stopped
SWEEP_US = 1_000_000  # us between sweeps of the state, and at most between calls to a failing discovery


class Router(rs.RouterState):
    """One router's decisions: `handle` takes a batch of events and returns the actions to carry out."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.ring = Ring()
        self.ready = self.ring.workers
        self.handlers = {io.Request: self._on_request, io.Outcome: self._on_outcome}
        self.handlers |= {io.Loaded: self._on_loaded, io.Members: self._on_members}
        self.handlers |= {io.Restarted: self._on_restarted, io.ListState: self._on_list_state}
        self.retry_tokens = rs.TokenBucket(RETRY_BURST, RETRY_BURST)
        self.order_tokens = rs.TokenBucket(ORDER_BURST, 1.0)
        self.mean_latency_us = INITIAL_LATENCY_SHARE * min(
            (c.target_us for c in settings.classes), default=1_000_000
        )
        self.arrival_rate, self.served_rate = rs.DecayingRate(RATE_SPAN_US), rs.DecayingRate(RATE_SPAN_US)
        self.expected_latency = {c.name: INITIAL_LATENCY_SHARE * c.target_us for c in settings.classes}

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]:
        """Decide on a batch of events that have arrived by `now`."""
        self.now, self.actions = now, []
        self.list_is_current = self.leases is None or self.leases.list_suffices(now)
        if not self.seq:
            self.started_at = now
            self._schedule(SWEEP_US, self._sweep)
            if self.settings.asked_discovery:
                self._watch()
        # A late timer shows that this process was stopped.  Latencies and silences over that gap are no sign
        # of the workers' state: all would look silent and slow at once.  Timers are handled last, as answers
        # may be in the same batch.
        if self.now - min(map(self.due_at, events), default=now) > CLOCK_GAP_US:
            self.resumed_at = now
        for event in sorted(events, key=lambda event: isinstance(event, io.Timer)):
            self.handlers.get(type(event), self._on_other)(event)
        self._dispatch()
        return self.actions

    def _watch(self) -> None:
        """Ask discovery for updates of the worker list."""
        self.actions.append(io.Watch(True))

    def _on_members(self, event: io.Members) -> None:
        if event.kind is ListKind.FAILED:  # keep the old list, and ask again after a delay
            # A router that asks less often than configured is held responsible for changes that it missed.
            self._schedule(min(SWEEP_US, self.settings.ask_within_us or SWEEP_US), self._watch)
            return
        self.ring.update([self._update_worker(entry) for entry in rs.changed_entries(event, self.workers)])
        self.list_version += 1

    def _update_worker(self, entry: io.WorkerEntry) -> rs.Worker:
        worker = self.workers.get(entry.worker)
        warm_at = entry.started_us + self.settings.cold_us if entry.started_us else 0
        if worker is None:
            tie_hash = rs.stable_hash(f"{entry.worker}/{self.settings.position}")
            memory_mb = dict(self.settings.kind_memory_mb).get(entry.kind, math.inf)
            worker = rs.Worker(entry, rs.stable_hash(entry.worker), tie_hash, memory_mb, INITIAL_CONCURRENCY)
            self.workers[entry.worker], worker.warm_at = worker, warm_at
        elif entry.started_us != worker.entry.started_us:  # a new process: estimates of the old one are void
            self._forget_copies(worker)
            worker.backoff_until, worker.relative_latency_at, worker.concurrency_limit, worker.warm_at = (
                0, 0, INITIAL_CONCURRENCY, warm_at,
            )  # fmt: skip
        worker.identified = True
        worker.entry, worker.preference = entry, (entry.zone != self.settings.zone, -worker.tie_hash)
        if entry.state is State.GONE:
            self._forget_copies(worker)
        return worker

    def _on_restarted(self, event: io.Restarted) -> None:
        """While the list is stale: the process may be a cold one (rule 4) or another worker's (rule 2)."""
        if worker := self.workers.get(event.worker):
            self._forget_copies(worker)
            worker.warm_at, worker.identified = self.now + self.settings.cold_us, False

    def _on_list_state(self, event: io.ListState) -> None:
        """Recheck calls that wait for a worker's answer; a list that is current identifies every process."""
        self.recheck_at = self.now
        if not event.stale:
            for worker in self.workers.values():
                worker.identified = True

    def _on_request(self, request: io.Request) -> None:
        request_class, function = (
            self.request_classes[request.request_class], self.functions.get(request.function),
        )  # fmt: skip
        if function is None:
            name, load = request.function, request.load_us or DEFAULT_LOAD_US
            function = rs.Function(name, rs.stable_hash(name), load, rs.DecayingRate(RATE_SPAN_US))
            self.functions[name] = function
        function.memory_mb, function.lanes = request.memory_mb, request.lanes
        function.arrival_rate.add(self.now)
        self.arrival_rate.add(self.now)
        self.retry_tokens.refill(RETRY_SHARE)
        self.order_tokens.refill(ORDER_SHARE)
        self.recent_arrivals.add(self.now)
        rejection_keys = f"class {request_class.name}", f"tenant {request.tenant}"
        call = rs.Call(request, request_class, function, self.seq, self.now, rejection_keys)
        self.calls[request.id] = call
        # Two ticks early: timers fire on the next tick, and the answer must precede the deadline.
        self._schedule(request.left_us - 2 * self.settings.tick_us, self._give_final_answer, call)
        self._schedule(request.left_us // 2 - 2 * self.settings.tick_us, self._check_half_deadline, call)
        self._enqueue(call)

    def _enqueue(self, call: rs.Call) -> None:
        """Queue a call for its function."""
        call.queued = True
        self.dirty_functions.add(call.function.name)
        self.queues.setdefault(self._queue_key(call), deque()).append(call)

    def _expected_latency(self, call: rs.Call) -> float:
        """The class's expected latency, at most half of its target, so that a slow fleet still serves."""
        return min(self.expected_latency[call.request_class.name], call.request_class.target_us / 2)

    def _in_time(self, call: rs.Call) -> bool:
        """Whether a queued call, sent now, would most likely be answered within its target latency.

        A repeat's target counts from its first try, so that a fleet slow as a whole serves first tries first.
        """
        target, capped = call.request_class.target_us, self._expected_latency(call)
        expected, waited = self.expected_latency[call.request_class.name], self.now - call.arrived_at
        if call.request.repeated:
            expected += REPEAT_SPENT_SHARE * target
        else:
            expected = capped if call.attempts else min(expected, MAX_EXPECTED_SHARE * target)
        return waited + expected <= target and waited + capped <= call.request.left_us

    def _next_in_time(self, key: rs.QueueKey) -> rs.Call | None:
        """The first call of a queue that can still be in time; those before it get their final answer now.

        Under overload, and the retries that feed it, a late call would take the room of one that can be in
        time.  A drawback where late answers are worth much, and for calls that wait for a slow load.
        """
        queue = self.queues[key]
        while queue:
            call = queue[0]
            if call.queued and self._in_time(call):
                return call
            queue.popleft()
            if call.queued:
                call.queued = False
                if not call.has_attempts_in_flight():
                    self._give_final_answer(call)
        del self.queues[key]
        return None

    def _check_half_deadline(self, call: rs.Call) -> None:
        """Answer a call that was not sent within half of its time: operators prefer an early answer.

        Only where no copy of its function is loaded: a load would most likely take the other half as well.
        """
        if call.queued and not call.attempts and not (
            call.function.workers_with_copies(self.now) and self._any_known_to_serve()
        ):  # fmt: skip
            call.queued = False
            self._give_final_answer(call)

    def _dispatch(self) -> None:
        """Place queued calls, oldest first; a function that finds no room blocks only itself."""
        recheck = self.now >= self.recheck_at
        keys = [key for key in self.queues if recheck or key[0] in self.dirty_functions]
        heads = [(call.seq, key) for key in keys if (call := self._next_in_time(key))]
        self.dirty_functions.clear()
        heapq.heapify(heads)
        while heads:
            _, key = heapq.heappop(heads)
            call = self._next_in_time(key) if key in self.queues else None
            if call and self._place(call):
                self.queues[key].popleft()
                if call := self._next_in_time(key):
                    heapq.heappush(heads, (call.seq, key))
        if self.queues and recheck:
            self.recheck_at = self.now + RECHECK_US
            self._schedule(RECHECK_US, lambda: None)  # causes a batch, in which queues are rechecked

    def _place(self, call: rs.Call) -> bool:
        """Send a call to the worker chosen for it, or order a copy there and leave the call in its queue."""
        function, candidates = call.function, self._candidates(call)
        worker, warm = self._choose(call, candidates)
        if worker and not warm and self._known_to_serve(worker):
            ordered = self.settings.may_load and (
                function.pending_loads or self._order_copy(worker, function)
            )
            if ordered or self.settings.misses:  # until the copy is loaded, one at another worker may serve
                worker, warm = self._choose(call, function.workers_with_copies(self.now))
        if worker and not self._known_to_serve(worker):  # rule 3 while the list is stale: query it first
            self._query_copies(worker, function)
            return False
        if worker is None or (self.settings.misses and self.settings.may_load and not warm):
            return False
        self._send(call, worker, not warm)
        return True

    def _choose(self, call: rs.Call, workers: list[rs.Worker]) -> tuple[rs.Worker | None, bool]:
        """The best worker with room, by copies, our calls in flight, then tie hash; whether it has a copy."""
        function = call.function
        used = [attempt.worker for attempt in call.attempts if attempt.in_flight]
        best, best_rank = None, (False, -1, -1)
        for worker in workers:
            copies = worker.estimated_copies(function.name, self.now)
            rank = (copies > 0, worker.inflight, worker.tie_hash)
            at_limit = worker.inflight >= int(worker.concurrency_limit)
            if rank < best_rank or worker in used or at_limit or not self._may_have_room(call, worker):
                continue
            free = worker.inflight_by_function.get(function.name, 0) < function.lanes * copies
            if (free if copies else self._may_load_copy(worker, function)) and self._may_send(call, worker):
                best, best_rank = worker, rank
        return best, best_rank[0]

    def _candidates(self, call: rs.Call) -> list[rs.Worker]:
        """Workers that may have room: as many as our own calls need, the preferred ones first.

        All routers share the preferred workers, so that they meet at copies without communicating.
        """
        function, candidates = call.function, []
        needed = self._candidate_count(function, self._expected_latency(call)) + (
            self.now - call.arrived_at > RECHECK_US
        )
        for worker in function.ranked_workers:
            if self._may_have_room(call, worker):
                candidates.append(worker)
            if len(candidates) == needed:
                break
        return candidates

    def _candidate_count(self, function: rs.Function, latency: float) -> int:
        """How many candidates our calls of a function need; also updates the function's ranked workers."""
        lanes = LANE_HEADROOM * function.arrival_rate.per_us(self.now) * latency / function.lanes
        # The call being placed is no evidence of others, hence `total - 1`.  Small counts are uncertain, so
        # the estimate is high: hundreds of routers that each took a few calls for none would all send to the
        # first preferred worker.  This also covers a start, a restart and a function that becomes hot.  The
        # drawback: routers with few calls have more preferred workers for a function, hence more loads.
        others = max(0.0, function.arrival_rate.total - 1)
        calls = others + STANDARD_ERRORS * math.sqrt(others) + PRIOR_CALLS / max(1, len(self.ready))
        share = calls / (self.arrival_rate.per_us(self.now) * RATE_SPAN_US + PRIOR_CALLS)
        count = min(PREFERRED_MULTIPLE * share * len(self.ready), lanes * self.settings.routers)
        count = 1 << math.ceil(math.log2(max(1.0, count, lanes)))  # a power of two, so that it seldom changes
        # A long ranking is renewed once per sweep at most: workers that left have no room, new ones can wait.
        may_renew = min(count, len(self.ready)) <= MIN_RANKED or self.now >= function.ranked_at + SWEEP_US
        if function.preferred_count != count or (function.list_version != self.list_version and may_renew):
            function.list_version, function.preferred_count, function.ranked_at = (
                self.list_version, count, self.now,
            )  # fmt: skip
            shared = self.ring.preferred(function.key, count + FALLBACK_WORKERS)
            function.ranked_workers = sorted(shared[:count], key=attrgetter("preference")) + shared[count:]
        return max(1, math.ceil(lanes))

    def _may_load_copy(self, worker: rs.Worker, function: rs.Function) -> bool:
        """Whether there is memory for one more copy by our estimate, and no load pending or just failed."""
        paused = function.name in worker.pending_loads or self.now < worker.load_backoff.get(function.name, 0)
        if paused or self.pending_load_count >= MAX_PENDING_LOADS:
            return False
        return worker.memory_used_mb(self.now) + function.memory_mb <= worker.memory_mb

    def _record_copies(self, worker: rs.Worker, function: rs.Function, count: int) -> None:
        """Estimate copies after a send or an answer; the estimate expires after the idle lifetime."""
        expires_at = self.now + self.settings.idle_life_us
        worker.copies[function.name] = rs.CopyEstimate(count, function.memory_mb, self.now, expires_at)
        function.holders[worker.entry.worker] = worker

    def _may_have_room(self, call: rs.Call, worker: rs.Worker) -> bool:
        """Whether a worker may have room for a call, apart from what our own calls in flight occupy."""
        if (
            not worker.ready
            or self.now < max(worker.backoff_until, worker.full_until)
            or self._suspect(worker)
        ):
            return False
        if self._unproven(worker):
            return False
        # A 'full' may apply to a class or a tenant: it marks both; a success clears its own class and tenant.
        if worker.rejections and any(self.now < worker.rejections.get(key, 0) for key in call.rejection_keys):
            return False
        return self._admits(call, worker)

    def _known_to_serve(self, worker: rs.Worker) -> bool:
        """Whether a worker is known not to drain: by the list, or by its answers while that may be stale."""
        return self.list_is_current or self.leases.may_send(worker.entry.worker, self.now)

    def _any_known_to_serve(self) -> bool:
        return self.list_is_current or any(map(self._known_to_serve, self.ready))

    def _unproven(self, worker: rs.Worker) -> bool:
        """Whether a worker not known to serve can't be queried, or leaves a query unanswered: it may hang."""
        if self._known_to_serve(worker):
            return False
        return not self.settings.may_load or (
            worker.queried_at > 0 and self.now - worker.queried_at >= QUERY_WAIT_US
        )

    def _suspect(self, worker: rs.Worker) -> bool:
        """Whether it may be hung, paused or cut off: calls, no outcomes.  Wrong if its only call is long."""
        return worker.inflight > 0 and (
            self.now - max(worker.silent_since, self.resumed_at) > LATE_MULTIPLE * self.mean_latency_us
        )

    def _relative_latency(self, worker: rs.Worker) -> float:
        """A worker's latency over the expected one; decays to the mean of its kind as outcomes get old."""
        mean = self.kind_relative_latency.get(worker.entry.kind, 1.0)
        return mean + (worker.relative_latency - mean) * math.exp(
            (worker.relative_latency_at - self.now) / RELATIVE_LATENCY_DECAY_US
        )

    def _admits(self, call: rs.Call, worker: rs.Worker) -> bool:
        """Whether a worker takes this call: a slow or cold one gets only a share of our calls.

        The share is what it can do relative to the others, for slow, crowded and degrading workers and weak
        kinds alike.  All routers cut the same share, which adds up for any number of them.  It is relative to
        the median, so that a fleet slow as a whole serves.  A call gets the same draw at each check.  One
        slow answer lowers the share until the relative latency decays.
        """
        share = min(1.0, self.median_relative_latency / self._relative_latency(worker)) ** 2
        if self.now < worker.warm_at:
            # Retries are not sent here: the calls that other workers turned away would add up.
            return not call.attempts and self._has_ramp_token(call, worker, share)
        draw = (worker.tie_hash ^ call.seq * HASH_MULTIPLIER) * HASH_MULTIPLIER % 2**64
        return draw < share * 2**64 or len(self.ready) == 1  # the only worker takes every call

    def _has_ramp_token(self, call: rs.Call, worker: rs.Worker, share: float) -> bool:
        """Whether a ramp token is left for a cold worker: our share of what the whole fleet may send it.

        Tokens are issued at the rate at which a warm worker serves us, times the share that the cold worker
        can do, and expire after the span of rule 4, so that routers that were quiet can't all send at once.
        What warm workers serve is within their capacity, whatever they are sent, so the sum over any number
        of routers keeps to the configured multiple.  The rate is at least our share of one core's budget, as
        no worker has less.
        """
        cold = min(1.0, (worker.warm_at - self.now) / max(1, self.settings.cold_us))  # share of warm-up left
        capacity = 1 - (1 - self.settings.cold_share) * cold  # share of the full one, at the slowest warm-up
        per_core = self.settings.fall_multiple * capacity / self.mean_latency_us / self.settings.routers
        # With few routers this is also the maximum: each sees little of a worker's random variation.
        if worker.recent_sends.count(self.now - self.settings.fall_us) >= max(
            1, int(per_core * self.settings.fall_us)
        ):
            return False
        # The part of the averaging span that a router that has just started has covered.
        covered = 1 - math.exp((self.started_at - SWEEP_US - self.now) / RATE_SPAN_US)
        # What a warm worker serves us; `warm_count` is 0 until the first sweep.
        warm_rate = self.served_rate.per_us(self.now) / covered / max(1, self.warm_count or len(self.ready))
        per_us = RAMP_BUDGET_SHARE * max(per_core, warm_rate * share * capacity * self.settings.fall_multiple)
        return worker.ramp_tokens.available(self.now, per_us, self.settings.fall_us)

    def _may_send(self, call: rs.Call, worker: rs.Worker) -> bool:
        """Rule 2: whether a call may go to a worker, given what its earlier attempts may have done."""
        bound = call.binding_attempt()
        if bound is None or call.request_class.effect is Effect.SAFE:
            return True
        if call.request_class.effect is Effect.UNSAFE:
            return False
        group = self._known_group(bound)
        if group != worker.repeat_group(call.request_class) or not self._is_certain(worker, group):
            return False
        return self.now < bound.sent_at + call.request_class.memory_us - 2 * self.settings.tick_us

    def _send(self, call: rs.Call, worker: rs.Worker, cold: bool) -> None:
        function = call.function
        call.queued = False
        attempt = self._new_attempt(call, worker, cold)
        worker.ramp_tokens.used += self.now < worker.warm_at
        worker.begin(function.name, self.now)
        if cold:
            self._record_copies(worker, function, 1)
        self.actions.append(io.Send(call.request.id, worker.entry.worker, call.deadline))
        self._schedule(
            LATE_MULTIPLE * self._expected_latency(call) + (function.load_us if cold else 0),
            self._check_late_attempt, attempt,
        )  # fmt: skip

    def _on_outcome(self, event: io.Outcome) -> None:
        call = self.calls.get(event.id)
        if call is None or event.attempt >= len(call.attempts) or not call.attempts[event.attempt].in_flight:
            return
        attempt = call.attempts[event.attempt]
        attempt.ended_at = self.now
        attempt.in_flight, attempt.may_have_run = False, event.status not in io.NEVER_RAN
        attempt.worker.finish(call.function.name)
        self.dirty_functions.add(call.function.name)
        self._learn_from(attempt, event)
        if event.closed or event.status is Status.OK:
            call.ended = True
        elif not call.ended and not call.queued and not call.has_attempts_in_flight():
            self._retry_or_finish(call, event.status)
        if call.ended:
            self._end(call)

    def _learn_from(self, attempt: rs.Attempt, event: io.Outcome) -> None:
        """Update the state of the worker and the expected latencies from an outcome."""
        worker, function, now = attempt.worker, attempt.call.function, self.now
        held = dict(event.report).get("rif")
        if held is not None:
            self.expected_held += MEAN_WEIGHT * (held - self.expected_held)
            self._update_relative_latency(worker, (held + 1) / (self.expected_held + 1))
        elif event.status is Status.FULL:
            self._update_relative_latency(worker, LATE_MULTIPLE)
        if event.status in (Status.OK, Status.FULL, Status.MISS):
            worker.silent_since, worker.last_answered_sent_at = (
                now, max(worker.last_answered_sent_at, attempt.sent_at),
            )  # fmt: skip
        if event.note & 7 == NOTE_LOAD_FAILED:  # no copy is loaded or will be, as after a failed order
            worker.copies.pop(function.name, None)
            worker.load_backoff[function.name] = now + int(function.load_us)
        match event.status:
            case Status.OK:
                if now >= worker.warm_at:
                    self.served_rate.add(now)
                worker.full_until, worker.failures = 0, 0
                for key in attempt.call.rejection_keys:
                    worker.rejections.pop(key, None)
                self._record_copies(worker, function, max(1, worker.estimated_copies(function.name, now)))
                note = event.note & 7  # 0 where answers carry no note, 1 where a copy was loaded already
                if note == 1 or not (attempt.cold or note):
                    self._record_latency(attempt, event.latency_us)
                elif attempt.worker_before_late:  # a new version of a warm copy had to load: no slow worker
                    latency, limit = attempt.worker_before_late
                    worker.relative_latency, worker.concurrency_limit = (
                        min(worker.relative_latency, latency), max(worker.concurrency_limit, limit),
                    )  # fmt: skip
            case Status.FULL:
                worker.full_until = now + FULL_PAUSE_US
                if attempt.cold:  # nothing shows that a copy is loaded or will be
                    worker.copies.pop(function.name, None)
                worker.rejections |= dict.fromkeys(attempt.call.rejection_keys, now + REJECTION_PAUSE_US)
            case Status.MISS:
                worker.copies.pop(function.name, None)
            case Status.RESET | Status.CONNECT_FAILED:
                self._forget_copies(worker)
                worker.warm_at = now + self.settings.cold_us  # it may have restarted before the list shows it
                self._back_off(worker)
            case Status.TIMEOUT if not attempt.call.ended:
                self._back_off(worker)

    def _record_latency(self, attempt: rs.Attempt, latency: int) -> None:
        """Update the class's expected latency, and the worker's relative latency and concurrency limit."""
        worker, request_class = attempt.worker, attempt.call.request_class
        if attempt.sent_at < self.resumed_at:
            return
        expected = self.expected_latency[request_class.name]
        self.expected_latency[request_class.name] += MEAN_WEIGHT * (
            min(latency, 2 * LATE_MULTIPLE * expected) - expected
        )
        self._update_relative_latency(worker, min(latency / expected, 2 * LATE_MULTIPLE))
        self.mean_latency_us += MEAN_WEIGHT * (
            min(latency, LATE_MULTIPLE * self.mean_latency_us) - self.mean_latency_us
        )
        step = CONCURRENCY_STEP * max(
            -2.0, 1 - latency / (CONCURRENCY_LATENCY_SHARE * request_class.target_us)
        )
        if step < 0 or worker.inflight + 2 > worker.concurrency_limit:  # grows only while in full use
            worker.concurrency_limit = min(MAX_CONCURRENCY, max(1.0, worker.concurrency_limit + step))

    def _update_relative_latency(self, worker: rs.Worker, ratio: float) -> None:
        """Update from a ratio of measured to expected: of a latency, or of the calls that a worker holds."""
        mean, relative_latency = (
            self.kind_relative_latency.setdefault(worker.entry.kind, 1.0), self._relative_latency(worker),
        )  # fmt: skip
        self.kind_relative_latency[worker.entry.kind] += MEAN_WEIGHT * (ratio - mean)
        worker.relative_latency, worker.relative_latency_at = (
            relative_latency + RELATIVE_LATENCY_WEIGHT * (ratio - relative_latency), self.now,
        )  # fmt: skip

    def _back_off(self, worker: rs.Worker) -> None:
        worker.backoff_until = self.now + (BACKOFF_US << min(worker.failures, MAX_BACKOFF_DOUBLINGS))
        worker.failures += 1

    def _retry_or_finish(self, call: rs.Call, status: Status) -> None:
        """After a failed attempt: queue the call again within the retry budget, or give the final answer.

        The budget also applies after 'full': where all workers are full, each further attempt costs work and
        may begin a load.  A 'miss' takes no token where copies are ordered before the call is sent again.  A
        drawback where a few of many workers reject much: calls that could be served are refused.
        """
        unsafe = call.binding_attempt() is not None and call.request_class.effect is Effect.UNSAFE
        exhausted = len(call.attempts) >= self.settings.max_attempts
        free = self.settings.misses and status is Status.MISS
        if unsafe or exhausted or not (free or self.retry_tokens.take(1)):
            self._give_final_answer(call)
        else:
            self._enqueue(call)

    def _check_late_attempt(self, attempt: rs.Attempt) -> None:
        """Count a late attempt as a slow one; if its worker is suspect or it seems lost, retry or cancel."""
        call, settings = attempt.call, self.settings
        if not attempt.in_flight or call.ended or call.streaming:
            return
        # If a later attempt has been answered, this one is long or lost and no sign of a slow worker.  Else
        # a few lost answers would leave no worker with room, and raise the latency that counts as late.
        overtaken = attempt.worker.last_answered_sent_at > attempt.sent_at
        if not attempt.cold and not overtaken:
            attempt.worker_before_late = attempt.worker_before_late or (
                self._relative_latency(attempt.worker), attempt.worker.concurrency_limit,
            )  # fmt: skip
            self._record_latency(attempt, self.now - attempt.sent_at)
        if call.queued or call.request_class.effect is Effect.UNSAFE or (
            len(call.attempts) >= settings.max_attempts
        ):  # fmt: skip
            return
        lost = overtaken and self.now - attempt.sent_at >= 2 * LATE_MULTIPLE * self._expected_latency(call)
        if not lost and not self._suspect(attempt.worker):
            self._schedule(LATE_MULTIPLE * self._expected_latency(call), self._check_late_attempt, attempt)
        elif settings.second_copies and self.retry_tokens.take(1):
            self._enqueue(call)
        elif not settings.second_copies and settings.may_cancel and self.retry_tokens.tokens >= 1:
            self.actions.append(io.Cancel(call.request.id, attempt.number))

    def _give_final_answer(self, call: rs.Call) -> None:
        """Rule 1: the one final answer; a refusal only where nothing ran, or a repeat does no harm.

        A refusal may carry a delay before a retry: one tick, or the excess of the expected latency over half
        of the target, whichever is longer.
        """
        if call.ended or call.streaming:
            return
        keyed_by_all = call.request_class.effect is Effect.KEYED and call.request_class.scope == "all"
        harmless = call.binding_attempt() is None or call.request_class.effect is Effect.SAFE or keyed_by_all
        excess_us = self.expected_latency[call.request_class.name] - call.request_class.target_us / 2
        wait_us = min(max(int(excess_us), self.settings.tick_us), self.settings.max_retry_after_us)
        wait_us = wait_us if self.settings.retry_after else 0
        self.actions.append(io.Refuse(call.request.id, wait_us) if harmless else io.Fail(call.request.id))
        self._end(call)

    def _order_copy(self, worker: rs.Worker, function: rs.Function) -> bool:
        """Order a copy within the rate limit (rule 5): every order counts, in a sliding window.

        Where workers load by themselves, orders are also limited to a share of our calls.  Without that limit
        hundreds of routers with a few calls a second each ordered nearly one copy for each call, and most
        orders found a copy that another router had ordered.
        """
        settings, name, since = self.settings, function.name, self.now - self.settings.load_window_us
        allowed = settings.load_free + settings.load_share * self.recent_arrivals.count(since + 1)
        if self.recent_orders.count(since - settings.tick_us) + 1 > allowed and settings.load_window_us:
            return False
        if not self.settings.misses and not self.order_tokens.take(1):
            return False
        self.recent_orders.add(self.now)
        self.actions.append(io.Load(worker.entry.worker, name, 1))
        worker.pending_loads[name] = rs.CopyEstimate(1, function.memory_mb, self.now, 0)
        function.pending_loads, self.pending_load_count = (
            function.pending_loads + 1, self.pending_load_count + 1,
        )  # fmt: skip
        self._schedule(
            LOAD_TIMEOUT_MULTIPLE * function.load_us,
            self._load_failed, worker, function, worker.pending_loads[name],
        )  # fmt: skip
        return True

    def _query_copies(self, worker: rs.Worker, function: rs.Function) -> None:
        """Query how many copies are loaded, one query at a time; an answer proves that the worker serves."""
        if worker.queried_at:
            return
        worker.queried_at = self.now
        self.actions.append(io.Load(worker.entry.worker, function.name, 0))
        self._schedule(QUERY_WAIT_US, self._recheck_now)

    def _recheck_now(self) -> None:
        self.recheck_at = self.now

    def _on_query_answered(self, worker: rs.Worker, event: io.Loaded) -> None:
        """Handle the end of a query; back off from a worker that drains or does not answer."""
        worker.queried_at, self.recheck_at = 0, self.now
        if event.status is Status.OK:
            worker.failures = 0
            if not event.copies:
                worker.copies.pop(event.function, None)
            elif event.function in self.functions and not worker.estimated_copies(event.function, self.now):
                self._record_copies(worker, self.functions[event.function], event.copies)
        elif event.status is Status.MOOT:  # the query ended for a reason on our side
            worker.full_until = self.now + FULL_PAUSE_US
        else:
            self._back_off(worker)

    def _load_failed(self, worker: rs.Worker, function: rs.Function, order: rs.CopyEstimate) -> None:
        """After a load that failed or timed out, order no copy of the function there for one load time."""
        if worker.pending_loads.get(function.name) is order:
            self._clear_pending_load(worker, function)
            worker.load_backoff[function.name] = self.now + int(function.load_us)

    def _on_loaded(self, event: io.Loaded) -> None:
        worker, function = self.workers.get(event.worker), self.functions.get(event.function)
        if worker is None:
            return
        if event.is_query:
            self._on_query_answered(worker, event)
            return
        if function is None:
            return
        order, loaded = worker.pending_loads.get(function.name), event.copies > 0
        self.dirty_functions.add(function.name)
        if loaded:
            self._record_copies(worker, function, event.copies)
        if order and event.status is not Status.OK:
            self._load_failed(worker, function, order)
            if event.status in (Status.RESET, Status.CONNECT_FAILED):
                self._back_off(worker)
        elif order and loaded:
            self._clear_pending_load(worker, function)

    def _sweep(self) -> None:
        """Periodically: update the median relative latency, and drop expired state."""
        self._schedule(SWEEP_US, self._sweep)
        self.warm_count = sum(self.now >= worker.warm_at for worker in self.ready)
        ratios = sorted(map(self._relative_latency, self.ready))
        self.median_relative_latency = max(0.1, ratios[len(ratios) // 2]) if ratios else 1.0
        self.recent_arrivals.count(self.now - self.settings.load_window_us)  # keeps the window short
        for worker in list(self.workers.values()):
            worker.prune(self.now, self.now - self.settings.fall_us)
            if worker.entry.state is State.GONE and not worker.inflight:  # else the table would only grow
                del self.workers[worker.entry.worker]
        for function in list(self.functions.values()):
            if not function.pending_loads and (
                self.now - function.arrival_rate.at > FUNCTION_KEEP_LIFETIMES * self.settings.idle_life_us
            ):
                del self.functions[function.name]
