"""Keep one budget's sums: what came in, what was charged, and who holds the rest.

``credited = charged + outstanding + held + free`` with no negative term, at all times.
Every move between the terms is one method here, and each checks the sums.
"""

import sys
from collections.abc import Callable
from math import ceil
from typing import Any, NamedTuple

from cranberrywall.budgets._ledger_numbers import NumberSet
from cranberrywall.budgets.messages import Holder, WorkspaceCharge


class LedgerInvariantError(Exception):
    """Report sums that cannot be true; the group must stop instead of overspending."""


class PeriodSum(NamedTuple):
    """Sum what one workspace was charged and credited in one period, named by its end."""

    through: float
    workspace: str
    charged: int
    requests: int
    credited: int


class OpenCharge(NamedTuple):
    """Hold what a correction of an open charge needs."""

    amount: int
    workspace: str
    reserved_at: float


class Allotment:
    """Hold what one incarnation of one host may spend of one budget."""

    __slots__ = (
        "active_at",
        "charge_numbers",
        "draw_number",
        "given_numbers",
        "granted",
        "open_by_number",
        "outstanding",
        "recalled",
        "received",
        "received_clock",
        "reported_by_giver",
        "return_number",
        "short_by_number",
        "taken_numbers",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.active_at = 0.0
        self.draw_number = 0
        self.granted = 0
        self.return_number = 0
        self.recalled = 0
        self.charge_numbers = NumberSet()
        # Transfers to the holder that it asked for after it was last heard, and the last of
        # these times by its steady clock.
        self.received = 0
        self.received_clock = float("-inf")
        # Few holders ever take part in a transfer, so these exist only for those.
        self.given_numbers: NumberSet | None = None
        self.taken_numbers: NumberSet | None = None
        self.reported_by_giver: dict[tuple[Holder, int], int] | None = None
        self.short_by_number: dict[int, int] | None = None
        self.open_by_number: dict[int, OpenCharge] | None = None

    def receive(self, amount: int, asked_clock: float, heard_clock: float) -> None:
        """Count a transfer to the holder, which was last heard at ``heard_clock``."""
        if asked_clock <= heard_clock:
            return
        self.received = self.received_since(heard_clock) + amount
        self.received_clock = max(self.received_clock, asked_clock)

    def received_since(self, heard_clock: float) -> int:
        """Return what the holder may have been given after it was last heard.

        Too much where it asked for some of it before: the sum is for all of it.
        """
        return self.received if self.received_clock > heard_clock else 0

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
        has_transfers = self.given_numbers or self.taken_numbers or self.reported_by_giver
        if has_transfers or self.open_by_number:
            plain.append(self._dump_transfers())
        if self.open_by_number:
            plain.append([[number, *one] for number, one in self.open_by_number.items()])
        return plain

    def _dump_transfers(self) -> list[Any]:
        return [
            self.given_numbers.dump() if self.given_numbers else None,
            self.taken_numbers.dump() if self.taken_numbers else None,
            [[*giver, number, moved] for (giver, number), moved in self._reported()],
            list((self.short_by_number or {}).items()),
            self.received,
            self.received_clock,
        ]

    def _reported(self) -> list[tuple[tuple[Holder, int], int]]:
        return list((self.reported_by_giver or {}).items())


def load_allotment(plain: list[Any]) -> Allotment:
    """Return the allotment that ``Allotment.dump`` described."""
    allotment = Allotment()
    allotment.outstanding, allotment.active_at, allotment.draw_number = plain[:3]
    allotment.granted, allotment.return_number, allotment.recalled = plain[3:6]
    allotment.charge_numbers = NumberSet(*plain[6])
    if len(plain) > 7:
        given, taken, reported, short, *received = plain[7]
        if received:
            allotment.received, allotment.received_clock = received
        allotment.given_numbers = NumberSet(*given) if given else None
        allotment.taken_numbers = NumberSet(*taken) if taken else None
        allotment.reported_by_giver = {
            (Holder(host, incarnation), number): moved
            for host, incarnation, number, moved in reported
        } or None
        allotment.short_by_number = dict(short) or None
    if len(plain) > 8:
        allotment.open_by_number = {number: OpenCharge(*one) for number, *one in plain[8]}
    return allotment


class Account:
    """Hold one budget's sums and its holders' allotments."""

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
        # Interned, since the names of a few workspaces stand in very many accounts.
        self.workspace = sys.intern(workspace)
        self.unit = sys.intern(unit)
        self.credited = 0
        self.charged = 0
        self.outstanding = 0
        self.held = 0
        # How many allotments are not empty: each draw is told, and the busiest budget is
        # held by every host of the fleet.
        self.holders = 0
        # What was booked to closed periods; the open ones have their sums in the list.
        self.charged_before = 0
        self.credited_before = 0
        self.period_sums: list[PeriodSum] = []
        self.allotment_by_holder: dict[Holder, Allotment] = {}

    @property
    def free(self) -> int:
        """Return what nobody holds and nothing was charged for."""
        return self.credited - self.charged - self.outstanding - self.held

    def credit(self, amount: int) -> None:
        """Add prepaid money."""
        self.credited += amount
        self._check()

    def allotment(self, holder: Holder) -> Allotment:
        """Return the holder's allotment, made empty where there is none."""
        allotment = self.allotment_by_holder.get(holder)
        if allotment is None:
            allotment = self.allotment_by_holder[holder] = Allotment()
        return allotment

    def grant(self, allotment: Allotment, amount: int, minimum: int) -> int:
        """Move up to ``amount`` from what is free; return what was moved."""
        granted = min(amount, self.free)
        if granted < max(minimum, 1):
            return 0
        self._move(allotment, granted)
        return granted

    def give_back(self, allotment: Allotment, amount: int) -> None:
        """Move ``amount`` from an allotment to what is free."""
        self._move(allotment, -amount)
        allotment.recalled = max(0, allotment.recalled - amount)

    def move(self, giver: Allotment | None, taker: Allotment | None, amount: int) -> int:
        """Move ``amount`` between allotments, from what is free where the giver lacks it.

        ``None`` stands for a holder whose remainder has come back. Return what was moved.
        """
        if giver:
            self._move(giver, -min(amount, giver.outstanding))
        # What the giver had is free by now.
        moved = min(amount, self.free)
        if taker:
            self._move(taker, moved)
        return moved

    def available(self, allotment: Allotment | None) -> int:
        """Return the most that a charge from this allotment can take."""
        return self.free + (allotment.outstanding if allotment else 0)

    def charge(self, allotment: Allotment | None, amount: int) -> None:
        """Move ``amount`` to what was charged; ``available`` must cover it."""
        self._take(allotment, amount)
        self.charged += amount
        self._check()

    def refund(self, allotment: Allotment, amount: int) -> None:
        """Move ``amount`` of what was charged back to the allotment that it came from."""
        self.charged -= amount
        self._move(allotment, amount)

    def hold(self, allotment: Allotment | None, amount: int) -> int:
        """Set aside up to ``amount`` until an operator decides; return what was set aside."""
        held = min(amount, self.available(allotment))
        self._take(allotment, held)
        self.held += held
        self._check()
        return held

    def settle_held(self, held: int, charge: int) -> None:
        """End a hold: charge ``charge`` of it (and of what is free), and free the rest."""
        self.held -= held
        self.charged += charge
        self._check()

    def release(self, holder: Holder) -> int:
        """Drop a holder's allotment; its remainder becomes free. Return the remainder."""
        allotment = self.allotment_by_holder.pop(holder, None)
        if allotment is None:
            return 0
        self.outstanding -= allotment.outstanding
        self.holders -= allotment.outstanding > 0
        self._check()
        return allotment.outstanding

    def release_but_share(
        self, holder: Holder, share: float, heard_clock: float, unseen: int
    ) -> int:
        """Free all but ``share`` of what a holder has, and what it was given since it was heard.

        ``unseen`` was kept elsewhere then, and stays booked too. Return what became free.
        """
        allotment = self.allotment_by_holder.get(holder)
        if allotment is None:
            return 0
        received = allotment.received_since(heard_clock)
        own = max(0, allotment.outstanding - received)
        freed = max(0, own - ceil(own * share) - unseen)
        self._move(allotment, -freed)
        return freed

    def book_charge(self, through: float, workspace: str, amount: int) -> None:
        """Add one request's charge to its period's sums."""
        self._book(PeriodSum(through, workspace, amount, 1, 0))

    def book_refund(self, through: float, workspace: str, amount: int) -> None:
        """Take a part of a request's charge out of its period's sums again."""
        self._book(PeriodSum(through, workspace, -amount, 0, 0))

    def book_credit(self, through: float, workspace: str, amount: int) -> None:
        """Add a top-up to its period's sums."""
        self._book(PeriodSum(through, workspace, 0, 0, amount))

    def _book(self, more: PeriodSum) -> None:
        for index, entry in enumerate(self.period_sums):
            if entry[:2] == more[:2]:
                self.period_sums[index] = entry._replace(
                    charged=entry.charged + more.charged,
                    requests=entry.requests + more.requests,
                    credited=entry.credited + more.credited,
                )
                return
        self.period_sums.append(more._replace(workspace=sys.intern(more.workspace)))

    def rebook(self, old: float, new: float) -> None:
        """Change the end of a period that is open."""
        self.period_sums = [
            entry._replace(through=new) if entry.through == old else entry
            for entry in self.period_sums
        ]

    def charges_through(self, through: float) -> tuple[WorkspaceCharge, ...]:
        """Return the sums booked to periods that end by ``through``, by workspace."""
        return tuple(
            WorkspaceCharge(entry.workspace, entry.charged, entry.requests)
            for entry in sorted(self.period_sums)
            if entry.through <= through and entry.requests
        )

    def credits_through(self, through: float) -> int:
        """Return the top-ups booked to open periods that end by ``through``."""
        return sum(entry.credited for entry in self.period_sums if entry.through <= through)

    def close(self, through: float) -> None:
        """Forget the sums of a period that was closed; only their total stays."""
        self.charged_before += sum(entry.amount for entry in self.charges_through(through))
        self.credited_before += self.credits_through(through)
        self.period_sums = [entry for entry in self.period_sums if entry.through > through]

    def _take(self, allotment: Allotment | None, amount: int) -> None:
        if allotment:
            self._move(allotment, -min(amount, allotment.outstanding))

    def _move(self, allotment: Allotment, amount: int) -> None:
        self.holders -= allotment.outstanding > 0
        allotment.outstanding += amount
        self.outstanding += amount
        self.holders += allotment.outstanding > 0
        if allotment.outstanding < 0:
            raise LedgerInvariantError(f"an allotment fell to {allotment.outstanding}")
        self._check()

    def _check(self) -> None:
        if min(self.free, self.charged, self.outstanding, self.held) < 0:
            raise LedgerInvariantError(
                f"credited={self.credited} charged={self.charged} "
                f"outstanding={self.outstanding} held={self.held} free={self.free}"
            )

    def check_whole(self) -> None:
        """Add up every allotment and every period; raise where a sum is wrong."""
        allotments = sum(one.outstanding for one in self.allotment_by_holder.values())
        charged = self.charged_before + sum(entry.charged for entry in self.period_sums)
        credited = self.credited_before + sum(entry.credited for entry in self.period_sums)
        if (allotments, charged, credited) != (self.outstanding, self.charged, self.credited):
            raise LedgerInvariantError(
                f"outstanding={self.outstanding} charged={self.charged} "
                f"credited={self.credited} but their parts sum to {allotments}, {charged} "
                f"and {credited}"
            )
        self._check()

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
            [[*holder, one.dump()] for holder, one in self.allotment_by_holder.items()],
        ]


def load_account(plain: list[Any], one: Callable[[Holder], Holder]) -> Account:
    """Return the account that ``Account.dump`` described; ``one`` gives shared holders."""
    account = Account(plain[0], plain[1])
    account.credited, account.charged, account.outstanding, account.held = plain[2:6]
    account.charged_before, account.credited_before = plain[6:8]
    account.period_sums = [PeriodSum(*entry) for entry in plain[8]]
    for host, incarnation, allotment in plain[9]:
        holder = one(Holder(host, incarnation))
        account.allotment_by_holder[holder] = load_allotment(allotment)
    account.holders = sum(
        1 for allotment in account.allotment_by_holder.values() if allotment.outstanding
    )
    account.check_whole()
    return account
