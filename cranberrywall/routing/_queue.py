"""Queue of demands that wait for a slot, ordered by rank, by age, and by deadline."""

import asyncio
import heapq
from collections.abc import Callable, Iterator
from itertools import count, islice
from math import inf

from result import Result

from cranberrywall.errors import Refusal
from cranberrywall.routing._interfaces import Demand, Slot

AcquireResult = Result[Slot, Refusal]

MAX_WAIT_SHARE = 0.8
"""Share of the time until the deadline that a request may wait for a slot.

The rest is for the target: an answer that begins at the deadline is useless."""

AGED_SHARE = 0.5
"""A waiter counts as aged when less than this share of its time is left."""

AGED_INTERVAL = 4
"""One of this number of slots goes to an aged waiter first, while others wait."""

MAX_SCANNED = 32
"""Maximum number of waiters of a rank that are examined when a slot becomes free."""


class Waiter:
    """A queued demand, and the future that its task awaits.

    ``on_end`` is called when the slot that it may get is released. A slot granted after
    ``latest_grant_at`` comes too late for it.
    """

    def __init__(
        self,
        demand: Demand,
        future: asyncio.Future[AcquireResult],
        on_end: Callable[[float], None],
        queued_at: float,
        latest_grant_at: float,
    ) -> None:
        self.demand = demand
        self.future = future
        self.on_end = on_end
        self.queued_at = queued_at
        self.latest_grant_at = latest_grant_at
        self.times_passed_over = 0
        self.aged_at = demand.deadline - AGED_SHARE * (demand.deadline - queued_at)

    def resolve(self, result: AcquireResult) -> None:
        """Resolve the future of the waiting task, unless the task was cancelled."""
        if not self.future.done():
            self.future.set_result(result)


class _RankQueue:
    """Waiters of one rank, in order of arrival and by their latest time for a slot."""

    def __init__(self) -> None:
        self.waiters: dict[Waiter, None] = {}
        self._by_latest: list[tuple[float, int, Waiter]] = []
        self._numbers = count()

    def add(self, waiter: Waiter) -> None:
        self.waiters[waiter] = None
        heapq.heappush(self._by_latest, (waiter.latest_grant_at, next(self._numbers), waiter))

    def discard(self, waiter: Waiter) -> bool:
        if waiter not in self.waiters:
            return False
        del self.waiters[waiter]
        # Removed waiters stay in the heap until they reach its top. Rebuild the heap when it has
        # grown too large: otherwise it would grow without bound if callers cancel quickly.
        if len(self._by_latest) > 2 * len(self.waiters) + MAX_SCANNED:
            self._by_latest = [entry for entry in self._by_latest if entry[2] in self.waiters]
            heapq.heapify(self._by_latest)
        return True

    def first_due(self) -> Waiter | None:
        """Return the waiter with the earliest ``latest_grant_at`` time, if there is any."""
        while self._by_latest and self._by_latest[0][2] not in self.waiters:
            heapq.heappop(self._by_latest)
        return self._by_latest[0][2] if self._by_latest else None


class WaitingQueue:
    """Priority queue of at most ``max_size`` waiters."""

    def __init__(self, max_size: int) -> None:
        self._max_size = max_size
        self._queue_by_rank: dict[int, _RankQueue] = {}
        self._size = 0
        self._grants_since_aged = 0

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Return whether a waiter must be removed before another one can be added."""
        return self._size >= self._max_size

    def add(self, waiter: Waiter) -> None:
        """Add a waiter behind those of its rank."""
        self._queue_by_rank.setdefault(waiter.demand.rank, _RankQueue()).add(waiter)
        self._size += 1

    def discard(self, waiter: Waiter) -> None:
        """Remove a waiter; does nothing if it is not in the queue."""
        queue = self._queue_by_rank.get(waiter.demand.rank)
        if queue is None or not queue.discard(waiter):
            return
        self._size -= 1
        if not queue.waiters:
            del self._queue_by_rank[waiter.demand.rank]

    def record_grant(self, waiter: Waiter, now: float) -> None:
        """Remove a waiter that got a slot, and count the grant for aging."""
        is_best = waiter.demand.rank == min(self._queue_by_rank)
        self._grants_since_aged = self._grants_since_aged + 1 if is_best else 0
        self.discard(waiter)

    def count_ahead(self, rank: int) -> int:
        """Return the number of waiters that go before a new one of ``rank``."""
        queues = self._queue_by_rank.items()
        return sum(len(queue.waiters) for other, queue in queues if other <= rank)

    def by_demand(self) -> dict[tuple[int, str], list[Waiter]]:
        """Return all waiters by rank and workspace, in queue order."""
        waiters_by_key: dict[tuple[int, str], list[Waiter]] = {}
        for rank in sorted(self._queue_by_rank):
            for waiter in self._queue_by_rank[rank].waiters:
                waiters_by_key.setdefault((rank, waiter.demand.caller), []).append(waiter)
        return waiters_by_key

    def all(self) -> list[Waiter]:
        """Return all waiters."""
        return [waiter for queue in self._queue_by_rank.values() for waiter in queue.waiters]

    def last_of_worse_rank(self, rank: int) -> Waiter | None:
        """Return the waiter to evict for one of ``rank``: the newest one of the worst rank.

        ``None`` if no waiter has a worse rank.
        """
        worst_rank = max(self._queue_by_rank, default=rank)
        return (
            next(reversed(self._queue_by_rank[worst_rank].waiters)) if worst_rank > rank else None
        )

    def pop_expired(self, now: float) -> Iterator[Waiter]:
        """Remove and return the waiters for which a slot would come too late."""
        for queue in list(self._queue_by_rank.values()):
            waiter = queue.first_due()
            while waiter is not None and waiter.latest_grant_at <= now:
                self.discard(waiter)
                yield waiter
                waiter = queue.first_due()

    def in_order(self, now: float) -> Iterator[Waiter]:
        """Return the first waiters in the order of service; the queue may change meanwhile.

        Ranks are served strictly in order, except that one slot in ``AGED_INTERVAL`` goes to an
        aged waiter of a rank other than the best. Without this exception the worst rank would wait
        past its deadline for as long as the other ranks keep the targets busy.
        """
        ranks = sorted(self._queue_by_rank)
        if self._grants_since_aged >= AGED_INTERVAL - 1:
            yield from self._aged(ranks[1:], now)
        for rank in ranks:
            queue = self._queue_by_rank.get(rank)
            if queue is not None:
                yield from list(islice(queue.waiters, MAX_SCANNED))

    def _aged(self, ranks: list[int], now: float) -> list[Waiter]:
        # The best rank is left out: if its demand alone exceeds the capacity of the targets, it
        # always has waiters with earlier deadlines, and the other ranks would starve after all.
        due = [self._queue_by_rank[rank].first_due() for rank in ranks]
        aged = [waiter for waiter in due if waiter is not None and waiter.aged_at <= now]
        return sorted(aged, key=lambda waiter: waiter.demand.deadline)[:1]


def latest_grant(demand: Demand, queued_at: float, work_s: float = inf) -> float:
    """Return until when a demand that was queued at ``queued_at`` may wait for a slot.

    The time after that is reserved for the target: ``work_s``, or the usual share of the time until
    the deadline if that is less.
    """
    span_s = demand.deadline - queued_at
    return demand.deadline - min((1.0 - MAX_WAIT_SHARE) * span_s, work_s)
