"""Claim amounts that the ledger books to this host and that the host has not recorded.

One such amount is a peer's transfer whose answer was lost, once the peer has reported it.
"""

from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets.messages import BudgetResult
from cranberrywall.observability import log_event


class Claim:
    """Comparison of the ledger's answer with what is held; create it before asking the ledger."""

    def __init__(self, allotment: Allotment) -> None:
        self._allotment = allotment
        self._was_settled = allotment.is_settled()
        self._version = allotment.version

    def add_missing(self, sums: BudgetResult) -> int:
        """Add the difference to the allotment; return the added amount.

        The claim requires that no step of this host was in flight while the ledger answered. The
        whole difference is then this host's own, and no other host can spend it.
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
