"""Admit the demands for one model or service: grant, let wait, or refuse."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from result import Err, Ok

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.routing._admission import Admission
from cranberrywall.routing._candidates import Candidate, listed
from cranberrywall.routing._choice import Chosen
from cranberrywall.routing._interfaces import Demand, Outcome, OutcomeKind
from cranberrywall.routing._pool import Pool, PoolSlot
from cranberrywall.routing._queue import Answer, Waiter, WaitingQueue, latest_start
from cranberrywall.runtime import Random

MAX_WAITING = 1024
"""Demands that wait for one model or service on one host at most."""

LOOKAHEAD = 16
"""Waiters of a rank among which the one with the best cached prompt goes first."""

MAX_PASSED_OVER = 16
"""A waiter goes first after it was passed over so many times."""

WELL_CACHED = 0.8
"""A prompt of which this share is cached is not compared with others."""

WORK_HOLDS = 2.0
"""A request is taken to need its place for up to so many times as long as they do at the mean."""

FirstRank = Callable[[], int]


class _Wants(NamedTuple):
    version: str
    adapter: str
    is_first_rank: bool


class Dispatcher:
    """Give a pool's places to demands in the order of the queue.

    ``first_rank`` returns the rank that goes before all others, or -1 where there is but
    one rank.
    """

    def __init__(self, pool: Pool, random: Random, first_rank: FirstRank, max_waiting: int) -> None:
        self.pool = pool
        self.queue = WaitingQueue(max_waiting)
        self._first_rank = first_rank
        self._admission = Admission(random)

    def admit(self, demand: Demand, on_end: Callable[[float], None], now: float) -> "Answer | None":
        """Answer ``demand`` at once, or return ``None`` where it may wait."""
        refusal = self.check_retries(demand, now)
        if refusal is not None:
            return Err(refusal)
        if not self.queue.count_ahead(demand.rank):
            slot = self.grant(demand, on_end, now)
            if slot is not None:
                return Ok(slot)
        return self.refuse(demand, now)

    def check_retries(self, demand: Demand, now: float) -> Refusal | None:
        """Return why a retry must not be made now."""
        if not demand.retry or self.pool.retries.allows(now):
            return None
        wait_s = self._admission.retry_after(self.pool.retries.seconds_to_next(now), now)
        return _RETRIES_SPENT._replace(retry_after=wait_s)

    def wait(self, demand: Demand, on_end: Callable[[float], None], now: float) -> Waiter:
        """Put ``demand`` into the queue."""
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        waiter = Waiter(demand, future, on_end, now, self._latest(demand, now))
        self.queue.add(waiter)
        self.pool.note_crowd(now)
        return waiter

    def dispatch(self, now: float) -> None:
        """Give free places to waiters, the first in order first."""
        while len(self.queue) and self._dispatch_one(now):
            pass
        if len(self.queue):
            self.pool.note_crowd(now)

    def expire(self, now: float) -> None:
        """Refuse the waiters for which a place would come too late to be answered."""
        for waiter in self.queue.pop_expired(now):
            wait_s = self.expected_wait(waiter.demand.rank, now)
            waiter.answer(Err(_DEADLINE_PASSED._replace(retry_after=self.retry_after(wait_s, now))))
        self.refuse_hopeless(now)

    def give_back(self, waiter: Waiter, now: float) -> None:
        """Free what a cancelled waiter has: its place in the queue, or its slot."""
        self.queue.discard(waiter)
        # The place may have been granted just before the task was cancelled; nobody else
        # would finish that slot, and the target would seem busy for ever.
        if waiter.future.done() and not waiter.future.cancelled():
            answer = waiter.future.result()
            if isinstance(answer, Ok):
                answer.ok_value.finish(Outcome(OutcomeKind.CANCELLED), now)

    def propose(
        self, demand: Demand, now: float, open_to: frozenset[str] = frozenset()
    ) -> Chosen | None:
        """Return the best target that has room; see ``Pool.propose``."""
        return self.pool.propose(demand, self._is_first(demand), now, open_to)

    def propose_at(self, candidate: Candidate, demand: Demand, now: float) -> Chosen | None:
        """Return the choice of one target, if it has room."""
        return self.pool.propose_at(candidate, demand, self._is_first(demand), now)

    def grant(self, demand: Demand, on_end: Callable[[float], None], now: float) -> PoolSlot | None:
        """Return a place at the best target that has room and needs no permit."""
        chosen = self.propose(demand, now)
        return None if chosen is None else self.grant_chosen(chosen, demand, on_end, now)

    def grant_chosen(
        self, chosen: Chosen, demand: Demand, on_end: Callable[[float], None], now: float
    ) -> PoolSlot:
        """Return a place at a target that was just proposed for ``demand``."""
        self._admission.granted(demand.rank, now)
        return self.pool.grant(chosen, demand, on_end, now)

    def grant_waiter_at(self, candidate: Candidate, caller: str, now: float) -> bool:
        """Give a place at a target to a waiter; return whether there is one for it.

        Better ranks go first: they may have come since the place was asked for. Then it goes to the
        ``caller`` for whom it was meant, and to anyone of its rank after that.
        """
        waiters = sorted(
            self.queue.in_order(now),
            key=lambda waiter: (waiter.demand.rank, waiter.demand.caller != caller),
        )
        for waiter in waiters:
            chosen = self.propose_at(candidate, waiter.demand, now)
            if chosen is not None:
                self._answer(waiter, chosen, now)
                return True
        return False

    def refuse_waiters(self, waiters: Iterable[Waiter], refusal: Refusal) -> None:
        """Refuse some of those that wait."""
        for waiter in waiters:
            self.queue.discard(waiter)
            waiter.answer(Err(refusal))

    def retry_after(self, wait_s: float, now: float) -> float:
        """Count a refusal and return when its caller should come back, in seconds."""
        return self._admission.retry_after(wait_s, now)

    def expected_wait(self, rank: int, now: float) -> float:
        """Return the seconds until a demand of ``rank`` has a place that needs no permit."""
        ahead = self.queue.count_ahead(rank)
        return self._admission.expected_wait(rank, ahead, self._places_per_s(), now)

    def refuse_hopeless(self, now: float) -> None:
        """Refuse at once the waiters for whom no target ends its backoff in time."""
        if not self.pool.backoffs.has_any():
            return
        opens_at_by_wants: dict[tuple[str, str, frozenset[str]], float | None] = {}
        for waiter in self.queue.all():
            demand = waiter.demand
            wants = (demand.version, demand.adapter, demand.exclude)
            if wants not in opens_at_by_wants:
                opens_at_by_wants[wants] = self.pool.opens_at(demand, now)
            opens_at = opens_at_by_wants[wants]
            if opens_at is not None and opens_at > waiter.latest:
                self.refuse_waiters([waiter], self._backing_off(demand, opens_at - now, now))

    def _dispatch_one(self, now: float) -> bool:
        found = self._find(now)
        if found is None:
            return False
        self._answer(*found, now)
        return True

    def _answer(self, waiter: Waiter, chosen: Chosen, now: float) -> None:
        self.queue.granted(waiter, now)
        slot = self.pool.grant(chosen, waiter.demand, waiter.on_end, now)
        self._admission.granted(waiter.demand.rank, now)
        waiter.answer(Ok(slot))

    def _find(self, now: float) -> tuple[Waiter, Chosen] | None:
        """Return the waiter to serve next and its target.

        Among the first few waiters of a rank, the one whose prompt is cached best where
        there is room goes first; each is passed over a few times at most.
        """
        failed: set[_Wants] = set()
        first: Waiter | None = None
        best: tuple[Waiter, Chosen] | None = None
        looked_at = 0
        for waiter in self.queue.in_order(now):
            demand = waiter.demand
            if first is not None and demand.rank != first.demand.rank:
                break
            wants = _Wants(demand.version, demand.adapter, self._is_first(demand))
            # What found no target a moment ago finds none for the next one either; only
            # demands that exclude targets differ.
            if wants in failed:
                continue
            chosen = self.pool.propose(demand, wants.is_first_rank, now)
            if chosen is None:
                if not demand.exclude:
                    failed.add(wants)
                continue
            first = first or waiter
            looked_at += 1
            if best is None or chosen.cached_share > best[1].cached_share:
                best = (waiter, chosen)
            if looked_at >= LOOKAHEAD or first.passed_over >= MAX_PASSED_OVER:
                break
            if best[1].cached_share >= WELL_CACHED:
                break
        if best is not None and first is not None and best[0] is not first:
            first.passed_over += 1
        return best

    def _is_first(self, demand: Demand) -> bool:
        return demand.rank == self._first_rank()

    def refuse(self, demand: Demand, now: float) -> "Answer | None":
        """Refuse a demand that would wait too long, or return ``None`` where it may wait."""
        wait_s = self.expected_wait(demand.rank, now)
        opens_at = self.pool.opens_at(demand, now)
        if opens_at is None and not demand.excluded_may_serve:
            return Err(self._none_left(demand, now))
        if opens_at is not None and opens_at > now:
            wait_s += opens_at - now
            if now + wait_s > self._latest(demand, now):
                return Err(self._backing_off(demand, wait_s, now))
        refusal = self._admission.too_late(self._latest(demand, now), wait_s, now)
        if refusal is not None:
            return Err(refusal)
        return self.make_room(demand, wait_s, now)

    def _backing_off(self, demand: Demand, wait_s: float, now: float) -> Refusal:
        """Return the refusal of a demand whose targets all asked for a backoff."""
        self.pool.backoffs.refused += 1
        serving = [
            one for one in self.pool.candidates if one.serves(demand.version, demand.adapter)
        ]
        return Refusal(
            ErrorKind.OVERLOADED,
            f"{listed(serving)} of {demand.name} asked for a backoff or were tried; one takes a "
            f"request in {wait_s:.1f} s, too late for this one",
            retry_after=max(wait_s, self.retry_after(wait_s, now)),
        )

    def _none_left(self, demand: Demand, now: float) -> Refusal:
        """Return the refusal of a demand that was tried at each target there is."""
        untried = demand._replace(exclude=frozenset())
        opens_at = self.pool.opens_at(untried, now)
        wait_s = 0.0 if opens_at is None else opens_at - now
        self.pool.backoffs.refused += wait_s > 0.0
        return Refusal(
            ErrorKind.OVERLOADED,
            f"no target of {demand.name} is left to try this request at",
            retry_after=max(wait_s, self.retry_after(wait_s, now)),
        )

    def make_room(self, demand: Demand, wait_s: float, now: float) -> "Answer | None":
        """Refuse one of a full queue, this demand or a waiter of a worse rank."""
        if self.queue.is_full:
            loser = self.queue.last_below(demand.rank)
            full = _QUEUE_FULL._replace(retry_after=self._admission.retry_after(wait_s, now))
            if loser is None:
                return Err(full)
            self.queue.discard(loser)
            loser.answer(Err(full))
        return None

    def _latest(self, demand: Demand, now: float) -> float:
        """Return until when a demand that comes now may wait for a place."""
        return latest_start(demand, now, WORK_HOLDS * self.pool.waits.hold_s)

    def _places_per_s(self) -> float:
        # By Little's law places become free at the rate of requests in flight by their
        # time in flight; with none in flight a place is free or about to be.
        in_flight = max(self.pool.in_flight(), len(self.pool.candidates))
        return in_flight / self.pool.waits.hold_s


_DEADLINE_PASSED = Refusal(
    ErrorKind.DEADLINE_PASSED, "no target had a place in time for the request's deadline"
)
_QUEUE_FULL = Refusal(ErrorKind.OVERLOADED, "the queue for this model or service is full")
_RETRIES_SPENT = Refusal(
    ErrorKind.OVERLOADED, "too many requests fail at the targets to try this one again now"
)
