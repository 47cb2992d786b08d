"""Take up what the ledger books to this host and this host does not know of.

A peer's transfer whose answer was lost is one such amount, once the peer reported it.
"""

from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets.messages import BudgetResult
from cranberrywall.observability import log_event


class Claim:
    """Compare the ledger's answer with what is held; make one before the ledger is asked."""

    def __init__(self, allotment: Allotment) -> None:
        self._allotment = allotment
        self._was_settled = allotment.is_settled()
        self._version = allotment.version

    def take_up(self, sums: BudgetResult) -> int:
        """Add the difference to the allotment; gives what was added.

        Nothing of this host may have been under way while the ledger answered: then the
        whole difference is its own, and nobody else can spend it.
        """
        allotment = self._allotment
        is_same = self._version == allotment.version
        if not (self._was_settled and is_same and allotment.is_settled()):
            return 0
        holder = allotment.queue.holder
        booked = sum(one.outstanding for one in sums.held if one.holder == holder)
        missed = booked - allotment.booked
        if missed <= 0:
            return 0
        allotment.granted(missed)
        allotment.checked_until = float("-inf")
        log_event("INFO", "claimed", budget=allotment.budget, amount=missed)
        return missed
