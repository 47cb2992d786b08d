"""Account for the money that one host holds of one budget.

Only the event loop's thread uses an allotment, and no method here awaits. Each step therefore
completes before the next one starts: there is one writer, and no lock is needed.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple, Protocol

from cranberrywall.budgets._charges import ChargeQueue
from cranberrywall.budgets._demand import Demand
from cranberrywall.budgets._interfaces import SpendPolicy
from cranberrywall.budgets._sizing import LedgerView, is_concentrated
from cranberrywall.budgets._unreported_spend import UnreportedSpend
from cranberrywall.budgets.messages import Draw, Return

MIN_RATE_SPAN_S = 2.0
"""Minimum time over which the rate since the last review is averaged, in seconds."""


class ReservationQueue(Protocol):
    """Queue of reservations that wait for an allotment with an insufficient balance."""

    def serve(self) -> None:
        """Reserve money for the queued requests that the allotment now covers."""
        ...

    def shortfall(self) -> int:
        """Return the smallest amount that would serve one more queued request; 0 if none waits."""
        ...


class StepNumbers(NamedTuple):
    """Next sequence number of each kind of step that a holder takes for a budget."""

    charge: int = 1
    draw: int = 1
    give_back: int = 1
    give: int = 1
    accept: int = 1


class Allotment:
    """Account of what this host holds of a budget.

    ``spendable`` may be reserved, ``reserved`` is held by requests in progress, and ``charging``
    is settled but not yet committed. The ledger books all three to this host. ``version`` changes
    whenever their sum changes. Until ``checked_until`` the ledger may book more to this host than
    the host has recorded. ``on_surplus`` is set while the host should hold nothing, and is called
    when money becomes spendable.
    """

    __slots__ = (
        "budget",
        "charging",
        "created_at",
        "demand",
        "checked_until",
        "first_settled_at",
        "low_watermark",
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
        "reservation_queue",
        "settled_amount",
        "settled_bounds",
        "settled_count",
        "settled_since_review",
        "spendable",
        "total_demand",
        "transfers_in_flight",
        "unreported_spend",
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
        self.low_watermark = 0
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
        self.created_at = now
        self.first_settled_at: float | None = None
        self.settled_amount = 0
        self.settled_bounds = 0
        self.settled_count = 0
        self.reservation_queue: ReservationQueue | None = None
        self.used_at = now
        self.used_since_view = False
        self.transfers_in_flight = 0
        self.unreported_spend = UnreportedSpend()
        self.checked_until = float("-inf")
        self.version = 0
        self.on_low: Callable[[], None] | None = None
        self.on_surplus: Callable[[], None] | None = None

    @property
    def usable(self) -> int:
        """Return what may be reserved or given now; bounded while the ledger is out of reach."""
        return max(0, min(self.spendable, self._usable(0.0, 0)))

    @property
    def removable(self) -> int:
        """Return what may be given or returned now.

        While the ledger is in reach, money that a peer gave stays here until the ledger has the
        transfer. The ledger would otherwise take the amount out of what covers charges that are
        on their way to it.
        """
        if not self.queue.in_reach:
            return self.usable
        return max(0, self.usable - self.queue.unreported_receipts(self.budget))

    def usable_within(self, seconds: float) -> int:
        """Return the amount usable in ``seconds`` if all that is reserved is released unused."""
        held = self.spendable + self.reserved
        return max(0, min(held, self._usable(seconds, self.reserved)))

    def _usable(self, later_s: float, freed: int) -> int:
        queue = self.queue
        if queue.in_reach:
            return self.spendable + freed
        self.unreported_spend.reset_outdated(queue.reach)
        bound = queue.reach.unreported_bound(self.budget, later_s)
        remaining = self.unreported_spend.remaining(self._held, bound)
        # Charges that wait to be replicated, and reserved amounts, will need their part of the
        # bound.
        return remaining - (self.charging - self.unreported_spend.kept) - self.reserved + freed

    @property
    def _held(self) -> int:
        return self.spendable + self.reserved

    def try_persist_unreported(self, amount: int) -> bool:
        """Count a charge as spent without the ledger, if the bound allows that now."""
        if not self._fits_unreported_bound(amount):
            return False
        self.unreported_spend.kept += amount
        self.queue.reach.record_unreported()
        return True

    def try_give_unreported(self, amount: int) -> bool:
        """Count a transfer as given without the ledger, if the bound allows that now."""
        if not self._fits_unreported_bound(amount):
            return False
        self.unreported_spend.given += amount
        self.queue.reach.record_unreported()
        return True

    def _fits_unreported_bound(self, amount: int) -> bool:
        reach = self.queue.reach
        self.unreported_spend.reset_outdated(reach)
        # The amount has been charged or taken out already; until then it was part of the holding.
        bound = reach.unreported_bound(self.budget)
        return amount <= self.unreported_spend.remaining(self._held + amount, bound)

    def add_unreported_receipt(self, amount: int, asked_clock: float) -> None:
        """Count an amount that a peer gave and that the ledger does not have yet.

        ``asked_clock`` is when this host requested it. The ledger counts it in the same way, by
        the time of the request.
        """
        reach = self.queue.reach
        self.unreported_spend.reset_outdated(reach)
        if asked_clock > reach.last_sent_at:
            self.unreported_spend.received += amount

    @property
    def mean_bound(self) -> float:
        """Return the mean bound of the requests settled here; 0 before the first one."""
        return self.settled_bounds / self.settled_count if self.settled_count else 0.0

    @property
    def bound_ratio(self) -> float:
        """Return the bounds of the requests settled here in relation to their costs; at least 1."""
        return self.settled_bounds / self.settled_amount if self.settled_amount else 1.0

    def spend_rate(self, hosts: int, now: float) -> float:
        """Return this host's rate of spending, in units per second.

        It is the mean rate. If this host spends far more than an even part, a rise since the last
        review counts at once.
        """
        since_s = now - self.demand.updated_at
        mean = self.demand.rate()
        recent = max(mean, self.settled_since_review / max(MIN_RATE_SPAN_S, since_s))
        return recent if is_concentrated(recent, self.total_demand.rate(), hosts) else mean

    def is_concentrated(self, hosts: int, now: float) -> bool:
        """Return whether this host spends far more of the budget than an even part."""
        return is_concentrated(self.spend_rate(hosts, now), self.total_demand.rate(), hosts)

    def numbers(self) -> StepNumbers:
        """Return the next sequence numbers, for a later allotment of the same budget."""
        return StepNumbers(
            self.next_charge,
            self.next_draw,
            self.next_return,
            self.next_give,
            self.next_accept,
        )

    def resume_numbers(self, numbers: StepNumbers) -> None:
        """Continue with the sequence numbers of an earlier allotment of this holder and budget."""
        self.next_charge = numbers.charge
        self.next_draw = numbers.draw
        self.next_return = numbers.give_back
        self.next_give = numbers.give
        self.next_accept = numbers.accept

    @property
    def booked(self) -> int:
        """Return what the ledger books to this host, as far as this host has recorded it."""
        return self.spendable + self.reserved + self.charging

    def state(self) -> dict[str, Any]:
        """Return the allotment's state for the state dump."""
        return {
            "spendable": self.spendable,
            "reserved": self.reserved,
            "charging": self.charging,
            "usable": self.usable,
            "rate": self.queue.reach.declared_rates.rate(self.budget),
            "ledger": self.view,
        }

    def try_hold(self, amount: int) -> bool:
        """Move ``amount`` from spendable to reserved if it is covered; return whether it was."""
        if amount > self.usable:
            return False
        self.spendable -= amount
        self.reserved += amount
        if self.spendable < self.low_watermark and self.on_low is not None:
            self.on_low()
        return True

    def free(self, amount: int) -> None:
        """Move ``amount`` from reserved back to spendable."""
        self.reserved -= amount
        self.spendable += amount
        self._notify_freed()

    def _notify_freed(self) -> None:
        if self.reservation_queue is not None:
            self.reservation_queue.serve()
        elif self.on_surplus is not None:
            self.on_surplus()

    def settle(self, bound: int, actual: int) -> int:
        """Move a reservation of ``bound`` to charging and return the charge's number."""
        self.reserved -= bound
        self.charging += actual
        self._count_settled(bound, actual)
        number = self.take_charge_number()
        if actual < bound:
            self.spendable += bound - actual
            self._notify_freed()
        return number

    def open(self, bound: int) -> int:
        """Move the full reservation of ``bound`` to charging and return the charge's number."""
        self.reserved -= bound
        self.charging += bound
        return self.take_charge_number()

    def record_cost(self, bound: int, actual: int) -> None:
        """Record the cost of a request whose open charge was ``bound``."""
        self._count_settled(bound, actual)

    def _count_settled(self, bound: int, actual: int) -> None:
        self.settled_since_review += actual
        self.settled_amount += actual
        self.settled_bounds += bound
        self.settled_count += 1
        self.used_since_view = True

    def refunded(self, amount: int) -> None:
        """Add what the ledger refunded of an open charge."""
        self.spendable += amount
        self.version += 1
        self._notify_freed()

    def take_charge_number(self) -> int:
        """Return the next charge's number and count it as used."""
        number = self.next_charge
        self.next_charge += 1
        return number

    def committed(self, amount: int) -> None:
        """Remove a charge that the ledger has billed."""
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
        """Remove money that the ledger does not book here; ``spendable`` may fall below 0."""
        self.spendable -= amount
        self.version += 1

    @contextmanager
    def transferring(self) -> Iterator[None]:
        """Count a transfer with a peer as in flight while the block runs.

        The ledger may receive the transfer before or after this host counts it. During that time
        the ledger's figure is not comparable with what this host holds. If the host claimed the
        difference as missing, both hosts of the transfer would spend the amount, or its recipient
        would spend it twice.
        """
        self.transfers_in_flight += 1
        self.version += 1
        try:
            yield
        finally:
            self.transfers_in_flight -= 1
            self.version += 1

    def is_settled(self) -> bool:
        """Return whether the ledger has every step of this budget and none is in flight."""
        has_step = self.pending_draw is not None or self.pending_return is not None
        if has_step or self.transfers_in_flight:
            return False
        return self.queue.in_reach and self.queue.uncommitted == 0

    def update_view(self, view: LedgerView) -> None:
        """Record the ledger's sums and what all hosts spent since the last ones."""
        last = self.view
        if last is not None and view.charged >= last.charged:
            self.total_demand.add(view.charged - last.charged, view.at)
        self.view = view
        self.used_since_view = False
