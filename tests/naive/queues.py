"""Order waiters naively: strictly by rank, then by arrival."""

from cranberrywall.routing._queue import Waiter


class StrictQueue:
    def __init__(self) -> None:
        self.waiters: list[Waiter] = []

    def add(self, waiter: Waiter) -> None:
        self.waiters.append(waiter)

    def discard(self, waiter: Waiter) -> None:
        self.waiters = [other for other in self.waiters if other is not waiter]

    def next(self) -> Waiter | None:
        return min(self.waiters, key=lambda waiter: waiter.demand.rank, default=None)
