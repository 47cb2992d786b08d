"""Grant, queue or refuse the demands for one model or service."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from result import Err, Ok

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.routing._admission import Admission
from cranberrywall.routing._candidates import Candidate, format_names
from cranberrywall.routing._choice import Chosen
from cranberrywall.routing._interfaces import Demand, Outcome, OutcomeKind
from cranberrywall.routing._pool import Pool
from cranberrywall.routing._queue import AcquireResult, Waiter, WaitingQueue, latest_grant
from cranberrywall.routing._retries import OPTIONAL_RETRY_RESERVE
from cranberrywall.routing._slot import PoolSlot
from cranberrywall.runtime import Random

MAX_QUEUED = 1024
"""Maximum number of demands that are queued for one model or service on one host."""

MAX_COMPARED = 16
"""Number of queued demands of a rank that are compared; the one with the best cached prompt is
served first."""

MAX_TIMES_PASSED_OVER = 16
"""A queued demand is served first after it was passed over this number of times."""

MIN_WELL_CACHED_SHARE = 0.8
"""A prompt of which this share is cached is served without comparing it with others."""

MAX_HOLD_FACTOR = 2.0
"""A request is assumed to occupy its slot for at most this multiple of the mean time."""

FirstRank = Callable[[], int]


class _Requirements(NamedTuple):
    version: str
    adapter: str
    is_first_rank: bool


class Dispatcher:
    """Grant the slots of a pool to demands in the order of the queue.

    ``first_rank`` returns the best rank, which is served before all others, or -1 if there is only
    one rank.
    """

    def __init__(self, pool: Pool, random: Random, first_rank: FirstRank, max_waiting: int) -> None:
        self.pool = pool
        self.queue = WaitingQueue(max_waiting)
        self._first_rank = first_rank
        self._admission = Admission(random)

    def admit(
        self, demand: Demand, on_end: Callable[[float], None], now: float
    ) -> "AcquireResult | None":
        """Grant or refuse ``demand`` immediately, or return ``None`` if it may be queued."""
        refusal = self.check_retries(demand, now)
        if refusal is not None:
            return Err(refusal)
        if not self.queue.count_ahead(demand.rank):
            slot = self.grant(demand, on_end, now)
            if slot is not None:
                return Ok(slot)
        return self.refuse_if_late(demand, now)

    def check_retries(self, demand: Demand, now: float) -> Refusal | None:
        """Return the refusal of a retry that the retry budget does not cover, else ``None``."""
        reserve = OPTIONAL_RETRY_RESERVE if demand.is_optional else 0.0
        if not demand.retry or self.pool.retries.allows(now, reserve):
            return None
        if demand.is_optional:
            return _RETRIES_SPENT
        wait_s = self._admission.retry_after(self.pool.retries.seconds_to_next(now), now)
        return _RETRIES_SPENT._replace(retry_after=wait_s)

    def enqueue(self, demand: Demand, on_end: Callable[[float], None], now: float) -> Waiter:
        """Add ``demand`` to the queue."""
        future: asyncio.Future[AcquireResult] = asyncio.get_running_loop().create_future()
        waiter = Waiter(demand, future, on_end, now, self._latest_grant_at(demand, now))
        self.queue.add(waiter)
        self.pool.record_queueing(now)
        return waiter

    def dispatch(self, now: float) -> None:
        """Grant free slots to queued demands in order."""
        while len(self.queue) and self._dispatch_one(now):
            pass
        if len(self.queue):
            self.pool.record_queueing(now)

    def expire(self, now: float) -> None:
        """Refuse the queued demands for which a slot would come too late for an answer."""
        for waiter in self.queue.pop_expired(now):
            wait_s = self.expected_wait(waiter.demand.rank, now)
            waiter.resolve(
                Err(_DEADLINE_PASSED._replace(retry_after=self.retry_after(wait_s, now)))
            )
        self.refuse_late(now)

    def release(self, waiter: Waiter, now: float) -> None:
        """Release what a cancelled waiter occupies: its entry in the queue, or its slot."""
        self.queue.discard(waiter)
        # The slot may have been granted just before the task was cancelled. No other code would
        # finish that slot, and the target would appear busy forever.
        if waiter.future.done() and not waiter.future.cancelled():
            answer = waiter.future.result()
            if isinstance(answer, Ok):
                answer.ok_value.finish(Outcome(OutcomeKind.CANCELLED), now)

    def propose(
        self, demand: Demand, now: float, open_to: frozenset[str] = frozenset()
    ) -> Chosen | None:
        """Return the best target with capacity; see ``Pool.propose``."""
        return self.pool.propose(demand, self._is_first_rank(demand), now, open_to)

    def propose_at(self, candidate: Candidate, demand: Demand, now: float) -> Chosen | None:
        """Return the choice of this one target if it has capacity, else ``None``."""
        return self.pool.propose_at(candidate, demand, self._is_first_rank(demand), now)

    def grant(self, demand: Demand, on_end: Callable[[float], None], now: float) -> PoolSlot | None:
        """Return a slot at the best target with capacity that needs no permit, if there is one."""
        chosen = self.propose(demand, now)
        return None if chosen is None else self.grant_chosen(chosen, demand, on_end, now)

    def grant_chosen(
        self, chosen: Chosen, demand: Demand, on_end: Callable[[float], None], now: float
    ) -> PoolSlot:
        """Return a slot at a target that was just proposed for ``demand``."""
        self._admission.record_grant(demand.rank, now)
        return self.pool.grant(chosen, demand, on_end, now)

    def grant_waiter_at(self, candidate: Candidate, caller: str, now: float) -> bool:
        """Grant a slot at a target to a queued demand; return whether any could use it.

        Better ranks come first: such demands may have arrived since the permit was requested. Among
        demands of one rank those of ``caller``, for which the permit was issued, come before those
        of other workspaces.
        """
        waiters = sorted(
            self.queue.in_order(now),
            key=lambda waiter: (waiter.demand.rank, waiter.demand.caller != caller),
        )
        for waiter in waiters:
            chosen = self.propose_at(candidate, waiter.demand, now)
            if chosen is not None:
                self._grant_waiter(waiter, chosen, now)
                return True
        return False

    def refuse_waiters(self, waiters: Iterable[Waiter], refusal: Refusal) -> None:
        """Remove these waiters from the queue and refuse them."""
        for waiter in waiters:
            self.queue.discard(waiter)
            waiter.resolve(Err(refusal))

    def retry_after(self, wait_s: float, now: float) -> float:
        """Count a refusal and return the seconds after which its caller should retry."""
        return self._admission.retry_after(wait_s, now)

    def expected_wait(self, rank: int, now: float) -> float:
        """Return the expected seconds until a demand of ``rank`` gets a slot without a permit."""
        ahead = self.queue.count_ahead(rank)
        return self._admission.expected_wait(rank, ahead, self._slots_per_s(), now)

    def refuse_late(self, now: float) -> None:
        """Refuse immediately the waiters for which no target ends its backoff in time."""
        if not self.pool.backoffs.has_any():
            return
        available_at_by_requirements: dict[tuple[str, str, frozenset[str]], float | None] = {}
        for waiter in self.queue.all():
            demand = waiter.demand
            requirements = (demand.version, demand.adapter, demand.exclude)
            if requirements not in available_at_by_requirements:
                available_at_by_requirements[requirements] = self.pool.available_at(demand, now)
            available_at = available_at_by_requirements[requirements]
            if available_at is not None and available_at > waiter.latest_grant_at:
                self.refuse_waiters(
                    [waiter], self._backoff_refusal(demand, available_at - now, now)
                )

    def refuse_unserved(self, make_refusal: Callable[[], Refusal], now: float) -> None:
        """Refuse immediately the waiters that no target of the pool serves any more."""
        for waiter in self.queue.all():
            demand = waiter.demand
            if not self.pool.serves(demand):
                self.refuse_waiters([waiter], make_refusal())
            elif not demand.excluded_may_serve and self.pool.available_at(demand, now) is None:
                self.refuse_waiters([waiter], self._all_tried_refusal(demand, now))

    def _dispatch_one(self, now: float) -> bool:
        found = self._find_next(now)
        if found is None:
            return False
        self._grant_waiter(*found, now)
        return True

    def _grant_waiter(self, waiter: Waiter, chosen: Chosen, now: float) -> None:
        self.queue.record_grant(waiter, now)
        slot = self.pool.grant(chosen, waiter.demand, waiter.on_end, now)
        self._admission.record_grant(waiter.demand.rank, now)
        waiter.resolve(Ok(slot))

    def _find_next(self, now: float) -> tuple[Waiter, Chosen] | None:
        """Return the waiter to serve next and its target, or ``None``.

        Among the first few waiters of a rank that a target has capacity for, the one with the best
        cached prompt goes first. Each waiter is passed over a limited number of times.
        """
        unmet: set[_Requirements] = set()
        first: Waiter | None = None
        best: tuple[Waiter, Chosen] | None = None
        compared = 0
        for waiter in self.queue.in_order(now):
            demand = waiter.demand
            if first is not None and demand.rank != first.demand.rank:
                break
            requirements = _Requirements(
                demand.version, demand.adapter, self._is_first_rank(demand)
            )
            # A demand with the same requirements has just found no target, so this one finds none
            # either. Only demands that exclude targets differ.
            if requirements in unmet:
                continue
            chosen = self.pool.propose(demand, requirements.is_first_rank, now)
            if chosen is None:
                if not demand.exclude:
                    unmet.add(requirements)
                continue
            first = first or waiter
            compared += 1
            if best is None or chosen.cached_share > best[1].cached_share:
                best = (waiter, chosen)
            if compared >= MAX_COMPARED or first.times_passed_over >= MAX_TIMES_PASSED_OVER:
                break
            if best[1].cached_share >= MIN_WELL_CACHED_SHARE:
                break
        if best is not None and first is not None and best[0] is not first:
            first.times_passed_over += 1
        return best

    def _is_first_rank(self, demand: Demand) -> bool:
        return demand.rank == self._first_rank()

    def refuse_if_late(self, demand: Demand, now: float) -> "AcquireResult | None":
        """Refuse a demand that would wait too long, or return ``None`` if it may be queued."""
        wait_s = self.expected_wait(demand.rank, now)
        available_at = self.pool.available_at(demand, now)
        if available_at is None and not demand.excluded_may_serve:
            return Err(self._all_tried_refusal(demand, now))
        if available_at is not None and available_at > now:
            wait_s += available_at - now
            if now + wait_s > self._latest_grant_at(demand, now):
                return Err(self._backoff_refusal(demand, wait_s, now))
        refusal = self._admission.refusal_if_late(self._latest_grant_at(demand, now), wait_s, now)
        if refusal is not None:
            return Err(refusal)
        return self.make_queue_space(demand, wait_s, now)

    def _backoff_refusal(self, demand: Demand, wait_s: float, now: float) -> Refusal:
        """Return the refusal of a demand whose remaining targets all asked for a backoff."""
        self.pool.backoffs.refused += 1
        serving = [
            candidate
            for candidate in self.pool.candidates
            if candidate.serves(demand.version, demand.adapter)
        ]
        return Refusal(
            ErrorKind.OVERLOADED,
            f"{format_names(serving)} of {demand.name} asked for a backoff or were tried; the "
            f"first accepts requests in {wait_s:.1f} s, too late for this one",
            retry_after=max(wait_s, self.retry_after(wait_s, now)),
        )

    def _all_tried_refusal(self, demand: Demand, now: float) -> Refusal:
        """Return the refusal of a demand that was already tried at every target."""
        untried = demand._replace(exclude=frozenset())
        available_at = self.pool.available_at(untried, now)
        wait_s = 0.0 if available_at is None else available_at - now
        self.pool.backoffs.refused += wait_s > 0.0
        return Refusal(
            ErrorKind.OVERLOADED,
            f"this request was already tried at every target of {demand.name}",
            retry_after=max(wait_s, self.retry_after(wait_s, now)),
        )

    def make_queue_space(self, demand: Demand, wait_s: float, now: float) -> "AcquireResult | None":
        """If the queue is full, refuse this demand or a waiter of a worse rank."""
        if self.queue.is_full:
            evicted = self.queue.last_of_worse_rank(demand.rank)
            full = _QUEUE_FULL._replace(retry_after=self._admission.retry_after(wait_s, now))
            if evicted is None:
                return Err(full)
            self.queue.discard(evicted)
            evicted.resolve(Err(full))
        return None

    def _latest_grant_at(self, demand: Demand, now: float) -> float:
        """Return until when a demand that arrives now may wait for a slot."""
        return latest_grant(demand, now, MAX_HOLD_FACTOR * self.pool.waits.hold_s)

    def _slots_per_s(self) -> float:
        # By Little's law, slots become free at the rate of requests in flight divided by their mean
        # time in flight. If none is in flight, a slot is free or about to be. The time that
        # is assumed at first is too long for most services: it would refuse callers without need.
        in_flight = max(self.pool.in_flight(), len(self.pool.candidates))
        return in_flight / self.pool.waits.observed_hold_s


_DEADLINE_PASSED = Refusal(
    ErrorKind.DEADLINE_PASSED, "no target had a free slot before the request's deadline"
)
_QUEUE_FULL = Refusal(ErrorKind.OVERLOADED, "the queue for this model or service is full")
_RETRIES_SPENT = Refusal(
    ErrorKind.OVERLOADED, "retry budget exhausted: too many recent requests failed at the targets"
)
