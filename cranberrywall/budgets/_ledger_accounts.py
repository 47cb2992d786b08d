"""Sums of one budget: credited, charged, and what each holder has outstanding.

``credited = charged + outstanding + held + free`` holds at all times, and no term is negative. Each
method here moves an amount between two of these terms and then checks the sums.
"""

import sys
from collections.abc import Callable
from math import ceil
from typing import Any, NamedTuple

from cranberrywall.budgets._ledger_numbers import NumberSet
from cranberrywall.budgets._unreported_bound import UnreportedBound
from cranberrywall.budgets.messages import Holder, WorkspaceCharge


class LedgerInvariantError(Exception):
    """Raised when a budget's sums are inconsistent; the group must stop, not overspend."""


class PeriodSum(NamedTuple):
    """Charges and credits of one workspace in one period; ``through`` is the period's end."""

    through: float
    workspace: str
    charged: int
    requests: int
    credited: int


class OpenCharge(NamedTuple):
    """What the ledger needs of an open charge to apply a later correction."""

    amount: int
    workspace: str
    reserved_at: float


class Allotment:
    """Part of one budget that one incarnation of one host may spend."""

    __slots__ = (
        "active_at",
        "charge_numbers",
        "donated_numbers",
        "draw_number",
        "granted",
        "open_by_number",
        "outstanding",
        "recalled",
        "received",
        "received_clock",
        "received_numbers",
        "reported_by_donor",
        "return_number",
        "shortfall_by_number",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.active_at = 0.0
        self.draw_number = 0
        self.granted = 0
        self.return_number = 0
        self.recalled = 0
        self.charge_numbers = NumberSet()
        # Sum of the transfers that the holder requested after its last contact with the ledger, and
        # the latest request time by the monotonic clock of the holder's machine.
        self.received = 0
        self.received_clock = float("-inf")
        # These are created on first use, to save memory: few holders take part in transfers or have
        # open charges.
        self.donated_numbers: NumberSet | None = None
        self.received_numbers: NumberSet | None = None
        self.reported_by_donor: dict[tuple[Holder, int], int] | None = None
        self.shortfall_by_number: dict[int, int] | None = None
        self.open_by_number: dict[int, OpenCharge] | None = None

    def add_received(self, amount: int, asked_clock: float, last_contact_clock: float) -> None:
        """Count a transfer to the holder, unless requested before ``last_contact_clock``."""
        if asked_clock <= last_contact_clock:
            return
        self.received = self.received_since(last_contact_clock) + amount
        self.received_clock = max(self.received_clock, asked_clock)

    def received_since(self, last_contact_clock: float) -> int:
        """Return the amount that the holder may have received after its last contact.

        The result is too high if the holder requested some of it before that contact, because only
        one sum is stored for all transfers.
        """
        return self.received if self.received_clock > last_contact_clock else 0

    def dump(self) -> list[Any]:
        """Return the allotment's state, for a snapshot."""
        plain = [
            self.outstanding,
            self.active_at,
            self.draw_number,
            self.granted,
            self.return_number,
            self.recalled,
            self.charge_numbers.dump(),
        ]
        has_transfers = self.donated_numbers or self.received_numbers or self.reported_by_donor
        if has_transfers or self.open_by_number:
            plain.append(self._dump_transfers())
        if self.open_by_number:
            plain.append([[number, *one] for number, one in self.open_by_number.items()])
        return plain

    def _dump_transfers(self) -> list[Any]:
        return [
            self.donated_numbers.dump() if self.donated_numbers else None,
            self.received_numbers.dump() if self.received_numbers else None,
            [[*giver, number, moved] for (giver, number), moved in self._reported()],
            list((self.shortfall_by_number or {}).items()),
            self.received,
            self.received_clock,
        ]

    def _reported(self) -> list[tuple[tuple[Holder, int], int]]:
        return list((self.reported_by_donor or {}).items())


def load_allotment(plain: list[Any]) -> Allotment:
    """Return the allotment that ``Allotment.dump`` described."""
    allotment = Allotment()
    allotment.outstanding, allotment.active_at, allotment.draw_number = plain[:3]
    allotment.granted, allotment.return_number, allotment.recalled = plain[3:6]
    allotment.charge_numbers = NumberSet(*plain[6])
    if len(plain) > 7:
        donated, incoming, reported, shortfalls, *received = plain[7]
        if received:
            allotment.received, allotment.received_clock = received
        allotment.donated_numbers = NumberSet(*donated) if donated else None
        allotment.received_numbers = NumberSet(*incoming) if incoming else None
        allotment.reported_by_donor = {
            (Holder(host, incarnation), number): moved
            for host, incarnation, number, moved in reported
        } or None
        allotment.shortfall_by_number = dict(shortfalls) or None
    if len(plain) > 8:
        allotment.open_by_number = {number: OpenCharge(*one) for number, *one in plain[8]}
    return allotment


class Account:
    """Sums of one budget and the allotments of its holders."""

    __slots__ = (
        "allotment_by_holder",
        "charged",
        "charged_before",
        "credited",
        "credited_before",
        "held",
        "holders",
        "outstanding",
        "period_sums",
        "unit",
        "workspace",
    )

    def __init__(self, workspace: str, unit: str) -> None:
        # Interned to save memory: a few workspace names occur in very many accounts.
        self.workspace = sys.intern(workspace)
        self.unit = sys.intern(unit)
        self.credited = 0
        self.charged = 0
        self.outstanding = 0
        self.held = 0
        # Number of allotments that are not empty. It is counted incrementally, because each draw
        # returns it and every host of the fleet may hold a part of the busiest budget.
        self.holders = 0
        # Totals of the closed periods; ``period_sums`` has the open ones.
        self.charged_before = 0
        self.credited_before = 0
        self.period_sums: list[PeriodSum] = []
        self.allotment_by_holder: dict[Holder, Allotment] = {}

    @property
    def free(self) -> int:
        """Return the amount that is neither charged, outstanding nor held."""
        return self.credited - self.charged - self.outstanding - self.held

    def credit(self, amount: int) -> None:
        """Add a prepaid amount."""
        self.credited += amount
        self._check_sums()

    def allotment(self, holder: Holder) -> Allotment:
        """Return the holder's allotment; create an empty one if there is none."""
        allotment = self.allotment_by_holder.get(holder)
        if allotment is None:
            allotment = self.allotment_by_holder[holder] = Allotment()
        return allotment

    def grant(self, allotment: Allotment, amount: int, minimum: int) -> int:
        """Move up to ``amount`` from the free amount to an allotment; return what was moved.

        Nothing is moved if less than ``minimum`` is free.
        """
        granted = min(amount, self.free)
        if granted < max(minimum, 1):
            return 0
        self._adjust_outstanding(allotment, granted)
        return granted

    def give_back(self, allotment: Allotment, amount: int) -> None:
        """Move ``amount`` from an allotment to the free amount."""
        self._adjust_outstanding(allotment, -amount)
        allotment.recalled = max(0, allotment.recalled - amount)

    def transfer(self, donor: Allotment | None, recipient: Allotment | None, amount: int) -> int:
        """Move ``amount`` from the donor to the recipient; return what was moved.

        If the donor has less, the rest comes from the free amount. ``None`` stands for a holder
        whose allotment was released.
        """
        if donor:
            self._adjust_outstanding(donor, -min(amount, donor.outstanding))
        # The donor's part has already been moved to the free amount.
        moved = min(amount, self.free)
        if recipient:
            self._adjust_outstanding(recipient, moved)
        return moved

    def available(self, allotment: Allotment | None) -> int:
        """Return the maximum amount that can be charged to this allotment."""
        return self.free + (allotment.outstanding if allotment else 0)

    def charge(self, allotment: Allotment | None, amount: int) -> None:
        """Move ``amount`` to the charged amount; ``available`` must cover it."""
        self._deduct(allotment, amount)
        self.charged += amount
        self._check_sums()

    def refund(self, allotment: Allotment, amount: int) -> None:
        """Move ``amount`` of an earlier charge back to the allotment that it came from."""
        self.charged -= amount
        self._adjust_outstanding(allotment, amount)

    def hold(self, allotment: Allotment | None, amount: int) -> int:
        """Withhold up to ``amount`` until an operator decides; return what was withheld."""
        held = min(amount, self.available(allotment))
        self._deduct(allotment, held)
        self.held += held
        self._check_sums()
        return held

    def settle_held(self, held: int, charge: int) -> None:
        """End a hold: charge ``charge``, also from the free amount, and free the rest."""
        self.held -= held
        self.charged += charge
        self._check_sums()

    def release(self, holder: Holder) -> int:
        """Remove a holder's allotment and free its remainder; return the remainder."""
        allotment = self.allotment_by_holder.pop(holder, None)
        if allotment is None:
            return 0
        self.outstanding -= allotment.outstanding
        self.holders -= allotment.outstanding > 0
        self._check_sums()
        return allotment.outstanding

    def release_unspent(
        self, holder: Holder, bound: UnreportedBound, last_contact_clock: float, unreported: int
    ) -> int:
        """Free the part of a lost holder's allotment that it cannot have spent; return the amount.

        What ``bound`` allows of the amount at the last contact stays outstanding, and so does
        everything that the holder received since then. ``unreported`` also stays: at the last
        contact, other hosts stored replicas of charges over this amount that the ledger did not
        have yet.
        """
        allotment = self.allotment_by_holder.get(holder)
        if allotment is None:
            return 0
        received = allotment.received_since(last_contact_clock)
        own = max(0, allotment.outstanding - received)
        freed = max(0, own - ceil(bound.amount(own)) - unreported)
        self._adjust_outstanding(allotment, -freed)
        return freed

    def book_charge(self, through: float, workspace: str, amount: int) -> None:
        """Add one request's charge to its period's sums."""
        self._book(PeriodSum(through, workspace, amount, 1, 0))

    def book_refund(self, through: float, workspace: str, amount: int) -> None:
        """Subtract a refunded part of a request's charge from its period's sums."""
        self._book(PeriodSum(through, workspace, -amount, 0, 0))

    def book_credit(self, through: float, workspace: str, amount: int) -> None:
        """Add a top-up to its period's sums."""
        self._book(PeriodSum(through, workspace, 0, 0, amount))

    def _book(self, addition: PeriodSum) -> None:
        for index, entry in enumerate(self.period_sums):
            if entry[:2] == addition[:2]:
                self.period_sums[index] = entry._replace(
                    charged=entry.charged + addition.charged,
                    requests=entry.requests + addition.requests,
                    credited=entry.credited + addition.credited,
                )
                return
        self.period_sums.append(addition._replace(workspace=sys.intern(addition.workspace)))

    def move_period_end(self, old: float, new: float) -> None:
        """Change the end of an open period."""
        self.period_sums = [
            entry._replace(through=new) if entry.through == old else entry
            for entry in self.period_sums
        ]

    def charges_through(self, through: float) -> tuple[WorkspaceCharge, ...]:
        """Return the charges booked to periods that end by ``through``, by workspace."""
        return tuple(
            WorkspaceCharge(entry.workspace, entry.charged, entry.requests)
            for entry in sorted(self.period_sums)
            if entry.through <= through and entry.requests
        )

    def credits_through(self, through: float) -> int:
        """Return the top-ups booked to open periods that end by ``through``."""
        return sum(entry.credited for entry in self.period_sums if entry.through <= through)

    def close(self, through: float) -> None:
        """Discard the sums of the periods that end by ``through``; keep only their totals."""
        self.charged_before += sum(entry.amount for entry in self.charges_through(through))
        self.credited_before += self.credits_through(through)
        self.period_sums = [entry for entry in self.period_sums if entry.through > through]

    def _deduct(self, allotment: Allotment | None, amount: int) -> None:
        if allotment:
            self._adjust_outstanding(allotment, -min(amount, allotment.outstanding))

    def _adjust_outstanding(self, allotment: Allotment, amount: int) -> None:
        self.holders -= allotment.outstanding > 0
        allotment.outstanding += amount
        self.outstanding += amount
        self.holders += allotment.outstanding > 0
        if allotment.outstanding < 0:
            raise LedgerInvariantError(f"allotment would become negative: {allotment.outstanding}")
        self._check_sums()

    def _check_sums(self) -> None:
        if min(self.free, self.charged, self.outstanding, self.held) < 0:
            raise LedgerInvariantError(
                f"credited={self.credited} charged={self.charged} "
                f"outstanding={self.outstanding} held={self.held} free={self.free}"
            )

    def check_parts(self) -> None:
        """Add up all allotments and periods; raise ``LedgerInvariantError`` on a mismatch."""
        allotments = sum(allotment.outstanding for allotment in self.allotment_by_holder.values())
        charged = self.charged_before + sum(entry.charged for entry in self.period_sums)
        credited = self.credited_before + sum(entry.credited for entry in self.period_sums)
        if (allotments, charged, credited) != (self.outstanding, self.charged, self.credited):
            raise LedgerInvariantError(
                f"outstanding={self.outstanding} charged={self.charged} "
                f"credited={self.credited} but their parts add up to {allotments}, "
                f"{charged} and {credited}"
            )
        self._check_sums()

    def dump(self) -> list[Any]:
        """Return the account's state, for a snapshot."""
        return [
            self.workspace,
            self.unit,
            self.credited,
            self.charged,
            self.outstanding,
            self.held,
            self.charged_before,
            self.credited_before,
            self.period_sums,
            [[*holder, allotment.dump()] for holder, allotment in self.allotment_by_holder.items()],
        ]


def load_account(plain: list[Any], intern_holder: Callable[[Holder], Holder]) -> Account:
    """Return the account that ``Account.dump`` described.

    ``intern_holder`` returns the shared copy of an equal holder.
    """
    account = Account(plain[0], plain[1])
    account.credited, account.charged, account.outstanding, account.held = plain[2:6]
    account.charged_before, account.credited_before = plain[6:8]
    account.period_sums = [PeriodSum(*entry) for entry in plain[8]]
    for host, incarnation, allotment in plain[9]:
        holder = intern_holder(Holder(host, incarnation))
        account.allotment_by_holder[holder] = load_allotment(allotment)
    account.holders = sum(
        1 for allotment in account.allotment_by_holder.values() if allotment.outstanding
    )
    account.check_parts()
    return account
