"""Represent a charge until the ledger has answered it."""

import asyncio
from typing import NamedTuple, Protocol

from result import Result

from cranberrywall.budgets.messages import Charge, ChargeOutcome
from cranberrywall.errors import Refusal
from cranberrywall.observability import log_event


class ChargedAllotment(Protocol):
    """Account against which charges are made."""

    def try_persist_unreported(self, amount: int) -> bool:
        """Count a charge as spent without the ledger, if the bound allows that now."""
        ...

    def committed(self, amount: int) -> None:
        """Remove a charge that the ledger has billed."""
        ...

    def granted(self, amount: int) -> None:
        """Add money that may be spent."""
        ...

    def refunded(self, amount: int) -> None:
        """Add what the ledger refunded of an open charge."""
        ...

    def drop(self, amount: int) -> None:
        """Remove money that the ledger does not book to this host."""
        ...

    def take_charge_number(self) -> int:
        """Return the next charge's number and count it as used."""
        ...


class PendingCharge(NamedTuple):
    charge: Charge
    allotment: ChargedAllotment
    done: "asyncio.Future[Result[None, Refusal]] | None"

    def answer(self, result: Result[None, Refusal]) -> None:
        """Answer the waiting request, unless it was cancelled or answered before."""
        if self.done is not None and not self.done.done():
            self.done.set_result(result)


def log_outcome(pending: PendingCharge, outcome: ChargeOutcome) -> None:
    """Log a charge that the ledger did not bill, and free the amount of a duplicate."""
    charge = pending.charge
    if outcome is ChargeOutcome.DUPLICATE:
        # The ledger left the amount in this host's allotment, so it can be spent again.
        pending.allotment.granted(charge.amount)
    log_event(
        "WARNING",
        "charge_not_billed",
        outcome=outcome,
        budget=charge.budget,
        request=charge.request_id,
        amount=charge.amount,
    )
