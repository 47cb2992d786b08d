"""Bound what a host without a disk may spend while the ledger has not heard of it."""

from collections import deque

from cranberrywall.budgets._pending import Pending


class Silence:
    """Know how long the ledger has not heard of a holder, and what was spent since.

    The ledger keeps back one grace of a holder that is lost before it counts as cut off, and
    frees the rest: so no more than that may be spent out of its sight until then.
    """

    def __init__(self, detach_after_s: float, now: float) -> None:
        """``detach_after_s`` is the silence after which a holder counts as cut off."""
        self._detach_after_s = detach_after_s
        self._heard_at = now
        self._spent_by_budget: dict[str, int] = {}

    def note_heard(self, now: float) -> None:
        """Note that a command goes out which says that nothing is kept elsewhere."""
        self._heard_at = now

    def since(self, now: float) -> float:
        """Return how long ago that was, in seconds."""
        return now - self._heard_at

    def left_s(self, now: float) -> float:
        """Return the seconds until the holder counts as cut off; 0 or less once it does."""
        return self._heard_at + self._detach_after_s - now

    def forget_spent(self) -> None:
        """Forget what was spent: the ledger has answered for all of it.

        Not before: its answer may be lost, and the host with it.
        """
        self._spent_by_budget.clear()

    def take_graced(self, waiting: deque[Pending]) -> list[Pending]:
        """Take out the charges that the grace of their budgets covers, and count them to it."""
        taken: list[Pending] = []
        for _ in range(len(waiting)):
            pending = waiting.popleft()
            budget = pending.charge.budget
            spent = self._spent_by_budget.get(budget, 0) + pending.charge.amount
            if spent <= pending.allotment.grace:
                self._spent_by_budget[budget] = spent
                taken.append(pending)
            else:
                waiting.append(pending)
        return taken
