"""Hold one budget's money on one host.

Only the event loop's thread touches an allotment, and no method here waits: each step
is whole before the next begins, so there is one writer and no lock.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple, Protocol

from cranberrywall.budgets._charges import ChargeQueue
from cranberrywall.budgets._demand import Demand
from cranberrywall.budgets._interfaces import SpendPolicy
from cranberrywall.budgets._sizing import LedgerView
from cranberrywall.budgets._unreported_spend import UnreportedSpend
from cranberrywall.budgets.messages import Draw, Return


class ReservationQueue(Protocol):
    """Wait in line for an allotment that is short."""

    def serve(self) -> None:
        """Hold money for those in line whom the allotment covers now."""
        ...

    def shortfall(self) -> int:
        """Return the least amount that would serve one more of those in line; 0 for nobody."""
        ...


class Numbers(NamedTuple):
    """Hold the next number of each kind of step that a holder takes for a budget."""

    charge: int = 1
    draw: int = 1
    give_back: int = 1
    give: int = 1
    accept: int = 1


class Allotment:
    """Account for what this host holds of a budget.

    ``spendable`` may be reserved, ``reserved`` is held by requests in progress and
    ``charging`` is settled but not yet committed; the ledger books all three to us.
    ``version`` changes whenever their sum does. Until ``checked_until`` the ledger
    may book more to us than we know of. ``on_surplus`` is set while nothing should be
    held, and called as money comes free.
    """

    __slots__ = (
        "budget",
        "charging",
        "demand",
        "checked_until",
        "low",
        "next_accept",
        "next_charge",
        "next_draw",
        "next_give",
        "next_return",
        "on_low",
        "on_surplus",
        "pending_draw",
        "pending_return",
        "policy",
        "queue",
        "reserved",
        "scarce",
        "settled_bounds",
        "settled_count",
        "settled_since_review",
        "spendable",
        "total_demand",
        "transfers_under_way",
        "unseen",
        "used_at",
        "used_since_view",
        "version",
        "view",
        "workspace",
    )

    def __init__(
        self, budget: str, workspace: str, policy: SpendPolicy, queue: ChargeQueue, now: float
    ) -> None:
        self.budget = budget
        self.workspace = workspace
        self.policy = policy
        self.queue = queue
        self.spendable = 0
        self.reserved = 0
        self.charging = 0
        self.low = 0
        self.next_draw = 1
        self.next_return = 1
        self.next_charge = 1
        self.next_give = 1
        self.next_accept = 1
        self.pending_draw: Draw | None = None
        self.pending_return: Return | None = None
        self.view: LedgerView | None = None
        self.demand = Demand(now)
        self.total_demand = Demand(now)
        self.settled_since_review = 0
        self.settled_bounds = 0
        self.settled_count = 0
        self.scarce: ReservationQueue | None = None
        self.used_at = now
        self.used_since_view = False
        self.transfers_under_way = 0
        self.unseen = UnreportedSpend()
        self.checked_until = float("-inf")
        self.version = 0
        self.on_low: Callable[[], None] | None = None
        self.on_surplus: Callable[[], None] | None = None

    @property
    def usable(self) -> int:
        """Return what may be reserved or given now; less than is held where no one sees it."""
        return max(0, min(self.spendable, self._usable(0.0, 0)))

    def usable_within(self, seconds: float) -> int:
        """Return what may be usable by then, if what is reserved comes free unused."""
        held = self.spendable + self.reserved
        return max(0, min(held, self._usable(seconds, self.reserved)))

    def _usable(self, later_s: float, freed: int) -> int:
        queue = self.queue
        if queue.in_reach:
            return self.spendable + freed
        self.unseen.renew(queue.reach)
        left = self.unseen.left(self._held, queue.reach.unreported_share(later_s))
        # Charges that wait to be kept, and what is reserved, will need their part of it.
        return left - (self.charging - self.unseen.kept) - self.reserved + freed

    @property
    def _held(self) -> int:
        return self.spendable + self.reserved

    def try_keep_unseen(self, amount: int) -> bool:
        """Count a charge as kept out of the ledger's sight, where its bound allows that now."""
        if not self._may_be_unseen(amount):
            return False
        self.unseen.kept += amount
        self.queue.reach.note_unseen()
        return True

    def try_give_unseen(self, amount: int) -> bool:
        """Count a transfer as given out of the ledger's sight, where its bound allows that now."""
        if not self._may_be_unseen(amount):
            return False
        self.unseen.given += amount
        self.queue.reach.note_unseen()
        return True

    def _may_be_unseen(self, amount: int) -> bool:
        reach = self.queue.reach
        self.unseen.renew(reach)
        # The amount is charged or taken out already, and was the host's own until then.
        return amount <= self.unseen.left(self._held + amount, reach.unreported_share())

    def got_unseen(self, amount: int, asked_clock: float) -> None:
        """Count what a peer gave and the ledger has not got, asked for at ``asked_clock``.

        The ledger counts it the same way, by when it was asked for.
        """
        reach = self.queue.reach
        self.unseen.renew(reach)
        if asked_clock > reach.told_at:
            self.unseen.received += amount

    @property
    def mean_bound(self) -> float:
        """Return the mean bound of the requests settled here; 0 before any."""
        return self.settled_bounds / self.settled_count if self.settled_count else 0.0

    def numbers(self) -> Numbers:
        """Return the next numbers, to go on from later."""
        return Numbers(
            self.next_charge,
            self.next_draw,
            self.next_return,
            self.next_give,
            self.next_accept,
        )

    def number_from(self, numbers: Numbers) -> None:
        """Go on from the numbers of an earlier allotment of this holder and budget."""
        self.next_charge = numbers.charge
        self.next_draw = numbers.draw
        self.next_return = numbers.give_back
        self.next_give = numbers.give
        self.next_accept = numbers.accept

    @property
    def booked(self) -> int:
        """Return what the ledger books to this host, as far as this host knows."""
        return self.spendable + self.reserved + self.charging

    def state(self) -> dict[str, Any]:
        """Describe the allotment, for the state dump."""
        return {
            "spendable": self.spendable,
            "reserved": self.reserved,
            "charging": self.charging,
            "usable": self.usable,
            "ledger": self.view,
        }

    def try_hold(self, amount: int) -> bool:
        """Move ``amount`` from spendable to reserved where it is covered."""
        if amount > self.usable:
            return False
        self.spendable -= amount
        self.reserved += amount
        if self.spendable < self.low and self.on_low is not None:
            self.on_low()
        return True

    def free(self, amount: int) -> None:
        """Move ``amount`` from reserved back to spendable."""
        self.reserved -= amount
        self.spendable += amount
        self._was_freed()

    def _was_freed(self) -> None:
        if self.scarce is not None:
            self.scarce.serve()
        elif self.on_surplus is not None:
            self.on_surplus()

    def settle(self, bound: int, actual: int) -> int:
        """Move a reservation of ``bound`` to charging and return the charge's number."""
        self.reserved -= bound
        self.charging += actual
        self.settled_since_review += actual
        self.settled_bounds += bound
        self.settled_count += 1
        self.used_since_view = True
        number = self.take_charge_number()
        if actual < bound:
            self.spendable += bound - actual
            self._was_freed()
        return number

    def open(self, bound: int) -> int:
        """Move a reservation of ``bound`` to charging, whole, and return the charge's number."""
        self.reserved -= bound
        self.charging += bound
        return self.take_charge_number()

    def note_cost(self, bound: int, actual: int) -> None:
        """Learn from an open charge of ``bound`` what its request cost."""
        self.settled_since_review += actual
        self.settled_bounds += bound
        self.settled_count += 1
        self.used_since_view = True

    def refunded(self, amount: int) -> None:
        """Add what the ledger gave back of an open charge."""
        self.spendable += amount
        self.version += 1
        self._was_freed()

    def take_charge_number(self) -> int:
        """Return the next charge's number, and count it as used."""
        number = self.next_charge
        self.next_charge += 1
        return number

    def committed(self, amount: int) -> None:
        """Forget a charge that the ledger has billed."""
        self.charging -= amount
        self.version += 1

    def granted(self, amount: int) -> None:
        """Add what the ledger or a peer gave."""
        self.spendable += amount
        self.version += 1

    def take(self, amount: int) -> int:
        """Remove up to ``amount`` of what is spendable and return what was removed."""
        taken = max(0, min(amount, self.spendable))
        self.spendable -= taken
        self.version += 1
        return taken

    def drop(self, amount: int) -> None:
        """Remove money that the ledger does not book to us; what is spendable may go below 0."""
        self.spendable -= amount
        self.version += 1

    @contextmanager
    def transferring(self) -> Iterator[None]:
        """Count a transfer with a peer as under way while the block runs.

        The ledger may have it before or after this host counts it. What the ledger books to
        this host is then no measure of what it holds: claimed as missing, the amount would be
        spent by both hosts of the transfer, or twice by its taker.
        """
        self.transfers_under_way += 1
        self.version += 1
        try:
            yield
        finally:
            self.transfers_under_way -= 1
            self.version += 1

    def is_settled(self) -> bool:
        """Say whether every step of this budget is known to the ledger, and none under way."""
        has_step = self.pending_draw is not None or self.pending_return is not None
        if has_step or self.transfers_under_way:
            return False
        return self.queue.in_reach and self.queue.uncommitted == 0

    def update_view(self, view: LedgerView) -> None:
        """Note the ledger's sums, and what all hosts spent since the last ones."""
        last = self.view
        if last is not None and view.charged >= last.charged:
            self.total_demand.add(view.charged - last.charged, view.at)
        self.view = view
        self.used_since_view = False
