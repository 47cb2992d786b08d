"""Queue of corrections of open charges, until the ledger confirms them."""

from collections import deque
from collections.abc import Iterable
from itertools import islice
from typing import NamedTuple

from cranberrywall.budgets._pending import ChargedAllotment, PendingCharge
from cranberrywall.budgets.messages import MAX_CHARGES_IN_BATCH, Charge, Correction, Holder


class PendingCorrection(NamedTuple):
    """Correction in the queue; ``holder`` made the charge, and ``surplus`` is what it gets back."""

    holder: Holder
    correction: Correction
    surplus: int
    allotment: ChargedAllotment

    @property
    def key(self) -> tuple[str, int]:
        """Return the budget and number of the charge."""
        return self.correction.budget, self.correction.number


class CorrectionQueue:
    """Corrections that the ledger has not confirmed, oldest first."""

    def __init__(self) -> None:
        self._corrections: deque[PendingCorrection] = deque()
        self._unbilled: set[tuple[str, int]] = set()

    def __len__(self) -> int:
        """Return the number of queued corrections."""
        return len(self._corrections)

    def correct(
        self, holder: Holder, charge: Charge, amount: int, allotment: ChargedAllotment
    ) -> None:
        """Queue the final amount of an open charge that is durable."""
        correction = Correction(charge.budget, charge.number, amount)
        self._corrections.append(
            PendingCorrection(holder, correction, charge.amount - amount, allotment)
        )

    def record_unbilled(self, charge: Charge) -> None:
        """Record that the ledger did not bill a charge, or has put it in doubt.

        The ledger refunds nothing for such a charge.
        """
        if charge.is_open:
            self._unbilled.add((charge.budget, charge.number))

    def take(self, queued: Iterable[PendingCharge]) -> list[PendingCorrection]:
        """Return corrections of one holder whose charges the ledger has; they stay in the queue.

        A caller may disconnect while the charge of its request is still queued. If the correction
        were sent first, the ledger would find nothing to correct. The surplus would then be spent
        here and also stay charged at the ledger.
        """
        if not self._corrections:
            return []
        numbers = {(item.charge.budget, item.charge.number) for item in queued}
        holder = self._corrections[0].holder
        oldest = islice(self._corrections, MAX_CHARGES_IN_BATCH)
        return [item for item in oldest if item.holder == holder and item.key not in numbers]

    def confirm(self, corrected: Iterable[PendingCorrection]) -> None:
        """Remove corrections that the ledger has, and add what it refunded to the allotments."""
        for item in corrected:
            self._corrections.remove(item)
            if item.key in self._unbilled:
                self._unbilled.discard(item.key)
            else:
                item.allotment.refunded(item.surplus)
