"""Order the demands that wait for a place, by priority and then by age."""

import asyncio
from collections.abc import Iterator

from result import Result

from cranberrywall.errors import Refusal
from cranberrywall.routing._interfaces import Demand, Slot

Answer = Result[Slot, Refusal]


class Waiter:
    """Hold one demand that waits, and the future that its task awaits."""

    def __init__(self, demand: Demand, future: asyncio.Future[Answer], since: float) -> None:
        self.demand = demand
        self.future = future
        self.since = since

    def answer(self, answer: Answer) -> None:
        """Wake the waiting task, unless it was cancelled meanwhile."""
        if not self.future.done():
            self.future.set_result(answer)


class WaitingQueue:
    """Keep at most ``bound`` waiters."""

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._waiters_by_rank: dict[int, dict[int, Waiter]] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def is_full(self) -> bool:
        """Say whether another waiter must be refused."""
        return self._size >= self._bound

    def add(self, waiter: Waiter) -> None:
        """Put a waiter behind those of its rank."""
        self._waiters_by_rank.setdefault(waiter.demand.rank, {})[id(waiter)] = waiter
        self._size += 1

    def discard(self, waiter: Waiter) -> None:
        """Take a waiter out; one that is not in the queue is no error."""
        if self._waiters_by_rank.get(waiter.demand.rank, {}).pop(id(waiter), None):
            self._size -= 1

    def in_order(self) -> Iterator[Waiter]:
        """Return the waiters, the next one to serve first; the queue may change meanwhile."""
        for rank in sorted(self._waiters_by_rank):
            yield from list(self._waiters_by_rank[rank].values())
