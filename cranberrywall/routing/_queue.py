"""Order the demands that wait for a place: by rank, by age within it, and by deadline."""

import asyncio
import heapq
from collections.abc import Callable, Iterator
from itertools import count, islice
from math import inf

from result import Result

from cranberrywall.errors import Refusal
from cranberrywall.routing._interfaces import Demand, Slot

Answer = Result[Slot, Refusal]

WAITING_SHARE = 0.8
"""Share of a caller's time that a request may wait for a place.

The rest is for the target: an answer that begins at the deadline is none."""

AGED_SHARE = 0.5
"""A waiter is aged when less than this share of its time is left."""

AGED_EVERY = 4
"""While others wait, one place in this many goes to an aged waiter first."""

MAX_SCANNED = 32
"""Waiters of a rank that are looked at most when a place becomes free."""


class Waiter:
    """Hold one demand that waits, and the future that its task awaits.

    ``on_end`` is for the slot that it may get. A place after ``latest`` is of no use to it.
    """

    def __init__(
        self,
        demand: Demand,
        future: asyncio.Future[Answer],
        on_end: Callable[[float], None],
        since: float,
        latest: float,
    ) -> None:
        self.demand = demand
        self.future = future
        self.on_end = on_end
        self.since = since
        self.latest = latest
        self.passed_over = 0
        self.aged_at = demand.deadline - AGED_SHARE * (demand.deadline - since)

    def answer(self, answer: Answer) -> None:
        """Wake the waiting task, unless it was cancelled meanwhile."""
        if not self.future.done():
            self.future.set_result(answer)


class _Lane:
    """Hold the waiters of one rank, by arrival and by when they must have a place."""

    def __init__(self) -> None:
        self.waiters: dict[Waiter, None] = {}
        self._by_latest: list[tuple[float, int, Waiter]] = []
        self._numbers = count()

    def add(self, waiter: Waiter) -> None:
        self.waiters[waiter] = None
        heapq.heappush(self._by_latest, (waiter.latest, next(self._numbers), waiter))

    def discard(self, waiter: Waiter) -> bool:
        if waiter not in self.waiters:
            return False
        del self.waiters[waiter]
        # Those that left stay in the heap until they come up; a queue whose callers give
        # up quickly would grow without bound.
        if len(self._by_latest) > 2 * len(self.waiters) + MAX_SCANNED:
            self._by_latest = [entry for entry in self._by_latest if entry[2] in self.waiters]
            heapq.heapify(self._by_latest)
        return True

    def first_due(self) -> Waiter | None:
        """Return the waiter that must have a place first."""
        while self._by_latest and self._by_latest[0][2] not in self.waiters:
            heapq.heappop(self._by_latest)
        return self._by_latest[0][2] if self._by_latest else None


class WaitingQueue:
    """Keep at most ``bound`` waiters."""

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._lane_by_rank: dict[int, _Lane] = {}
        self._size = 0
        self._grants_since_aged = 0

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Say whether a waiter must go before another comes."""
        return self._size >= self._bound

    def add(self, waiter: Waiter) -> None:
        """Put a waiter behind those of its rank."""
        self._lane_by_rank.setdefault(waiter.demand.rank, _Lane()).add(waiter)
        self._size += 1

    def discard(self, waiter: Waiter) -> None:
        """Take a waiter out; one that is not in the queue is no error."""
        lane = self._lane_by_rank.get(waiter.demand.rank)
        if lane is None or not lane.discard(waiter):
            return
        self._size -= 1
        if not lane.waiters:
            del self._lane_by_rank[waiter.demand.rank]

    def granted(self, waiter: Waiter, now: float) -> None:
        """Take out a waiter that got a place."""
        is_best = waiter.demand.rank == min(self._lane_by_rank)
        self._grants_since_aged = self._grants_since_aged + 1 if is_best else 0
        self.discard(waiter)

    def count_ahead(self, rank: int) -> int:
        """Return how many waiters go before a new one of ``rank``."""
        lanes = self._lane_by_rank.items()
        return sum(len(lane.waiters) for known, lane in lanes if known <= rank)

    def by_demand(self) -> dict[tuple[int, str], list[Waiter]]:
        """Return all waiters by rank and workspace, the first in order first."""
        found: dict[tuple[int, str], list[Waiter]] = {}
        for rank in sorted(self._lane_by_rank):
            for waiter in self._lane_by_rank[rank].waiters:
                found.setdefault((rank, waiter.demand.caller), []).append(waiter)
        return found

    def all(self) -> list[Waiter]:
        """Return all waiters."""
        return [waiter for lane in self._lane_by_rank.values() for waiter in lane.waiters]

    def last_below(self, rank: int) -> Waiter | None:
        """Return the waiter to give up for one of ``rank``: the newest of the last rank."""
        last = max(self._lane_by_rank, default=rank)
        return next(reversed(self._lane_by_rank[last].waiters)) if last > rank else None

    def pop_expired(self, now: float) -> Iterator[Waiter]:
        """Take out the waiters for which a place would come too late, and return them."""
        for lane in list(self._lane_by_rank.values()):
            waiter = lane.first_due()
            while waiter is not None and waiter.latest <= now:
                self.discard(waiter)
                yield waiter
                waiter = lane.first_due()

    def in_order(self, now: float) -> Iterator[Waiter]:
        """Return some waiters, the next one to serve first; the queue may change meanwhile.

        Ranks go strictly, but for one place in ``AGED_EVERY``, which goes to an aged waiter
        of another rank than the best: without it the last rank would wait for as long as
        the others keep the targets busy, past its deadline.
        """
        ranks = sorted(self._lane_by_rank)
        if self._grants_since_aged >= AGED_EVERY - 1:
            yield from self._aged(ranks[1:], now)
        for rank in ranks:
            lane = self._lane_by_rank.get(rank)
            if lane is not None:
                yield from list(islice(lane.waiters, MAX_SCANNED))

    def _aged(self, ranks: list[int], now: float) -> list[Waiter]:
        # The best rank is left out: when it alone is more than the targets can do, it
        # always has waiters with earlier deadlines, and the others would starve after all.
        due = [self._lane_by_rank[rank].first_due() for rank in ranks]
        aged = [waiter for waiter in due if waiter is not None and waiter.aged_at <= now]
        return sorted(aged, key=lambda waiter: waiter.demand.deadline)[:1]


def latest_start(demand: Demand, since: float, work_s: float = inf) -> float:
    """Return until when a demand that came at ``since`` may wait for a place.

    What is left then is for the target: ``work_s`` where that is less than the usual share.
    """
    span_s = demand.deadline - since
    return demand.deadline - min((1.0 - WAITING_SHARE) * span_s, work_s)
