"""Hold what open charges came to in the end, until the ledger knows it."""

from collections import deque
from collections.abc import Iterable
from itertools import islice
from typing import NamedTuple

from cranberrywall.budgets._pending import ChargedAllotment, PendingCharge
from cranberrywall.budgets.messages import MAX_CHARGES_IN_BATCH, Charge, Correction, Holder


class Correcting(NamedTuple):
    """Hold a correction until the ledger has it; ``holder`` made the charge."""

    holder: Holder
    correction: Correction
    surplus: int
    allotment: ChargedAllotment

    @property
    def key(self) -> tuple[str, int]:
        """Return the budget and number of the charge."""
        return self.correction.budget, self.correction.number


class CorrectionQueue:
    """Hold the corrections that the ledger has not confirmed, in their order."""

    def __init__(self) -> None:
        self._corrections: deque[Correcting] = deque()
        self._unbilled: set[tuple[str, int]] = set()

    def __len__(self) -> int:
        """Return the number of corrections that wait."""
        return len(self._corrections)

    def correct(
        self, holder: Holder, charge: Charge, amount: int, allotment: ChargedAllotment
    ) -> None:
        """Queue what a charge, which is durable, came to in the end."""
        correction = Correction(charge.budget, charge.number, amount)
        self._corrections.append(Correcting(holder, correction, charge.amount - amount, allotment))

    def record_unbilled(self, charge: Charge) -> None:
        """Note that the ledger has no such charge, or set it aside: it will give nothing back."""
        if charge.is_open:
            self._unbilled.add((charge.budget, charge.number))

    def take(self, waiting: Iterable[PendingCharge]) -> list[Correcting]:
        """Return corrections of one holder whose charges the ledger has; they stay queued.

        A caller may leave while its charge waits. Were the correction to go first, it would
        find nothing to correct, and the money would be spent here and charged there.
        """
        if not self._corrections:
            return []
        numbers = {(one.charge.budget, one.charge.number) for one in waiting}
        holder = self._corrections[0].holder
        first = islice(self._corrections, MAX_CHARGES_IN_BATCH)
        return [one for one in first if one.holder == holder and one.key not in numbers]

    def confirm(self, corrected: Iterable[Correcting]) -> None:
        """Forget corrections that the ledger has, and free what it gave back."""
        for one in corrected:
            self._corrections.remove(one)
            if one.key in self._unbilled:
                self._unbilled.discard(one.key)
            else:
                one.allotment.refunded(one.surplus)
