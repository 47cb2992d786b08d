"""Track whether the ledger is in reach of a holder, and since when it is not."""

from collections.abc import Mapping

from cranberrywall.budgets._announced_replicas import AnnouncedReplicaHolders
from cranberrywall.budgets._charge_replication import ChargeReplicator
from cranberrywall.budgets._declared_rates import DeclaredRates
from cranberrywall.budgets._unreported_bound import UnreportedBound
from cranberrywall.budgets.messages import Contact
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock


class LedgerReach:
    """State of one holder's contact with one ledger group.

    ``in_reach`` states whether the ledger answered the last call. ``last_sent_at`` is when the
    holder last sent the ledger the amounts that it does not have, on the holder's monotonic clock.
    ``last_confirmed_at`` is when it sent the last such command that was answered. The ledger uses
    one of the two, because a command or its answer may be lost.
    """

    def __init__(
        self, group: str, replicator: ChargeReplicator, clock: Clock, is_bounded: bool
    ) -> None:
        """Create the state; ``is_bounded`` if unreported spend may be lost with this host."""
        self._group = group
        self.in_reach = True
        self.last_sent_at = clock.now()
        self.last_confirmed_at = self.last_sent_at
        self._last_unreported_at = float("-inf")
        self.is_bounded = is_bounded
        self._lost_at = float("-inf")
        self._announced = AnnouncedReplicaHolders()
        self._replicator = replicator
        self._clock = clock
        self.declared_rates = DeclaredRates()

    def unreported_bound(self, budget: str, later_s: float = 0.0) -> UnreportedBound | None:
        """Return the bound on the host's unreported spend in ``later_s``; ``None`` if unbounded."""
        if not self.is_bounded:
            return None
        gap_s = self._clock.now() + later_s - self.last_sent_at
        return UnreportedBound(gap_s, self.declared_rates.rate(budget))

    def record_unreported(self) -> None:
        """Record that money is spent or given now without a report to the ledger."""
        self._last_unreported_at = self._clock.now()

    def may_store_at(self, host: str) -> bool:
        """Return whether charges and transfers may be replicated to a peer."""
        return self._announced.allows(host)

    def replica_holders(self) -> list[str]:
        """Return the incarnations that the ledger has as replica holders, for the state dump."""
        return self._announced.state()

    def out_of_reach_s(self, now: float) -> float:
        """Return for how many seconds the ledger has been out of reach; 0 while it is in reach."""
        return 0.0 if self.in_reach else now - self._lost_at

    def contact_due_in_s(self, interval_s: float) -> float:
        """Return in how many seconds the last contact command will be ``interval_s`` old."""
        return max(0.0, self.last_sent_at + interval_s - self._clock.now())

    def mark_out_of_reach(self) -> None:
        """Record that the ledger is out of reach."""
        self.in_reach = False
        self._lost_at = self._clock.now()

    def mark_in_reach(self) -> None:
        """Record that the ledger is in reach again."""
        self.in_reach = True

    def contact(self, unseen: Mapping[str, int]) -> Contact:
        """Return the contact data of a command that is sent now, and record that it is sent.

        ``unseen`` is, for each budget, the amount that the ledger does not have yet.
        """
        now, wall = self._clock.now(), self._clock.wall()
        if not self.in_reach:
            return Contact(now, is_detached=True, wall=wall)
        self.last_sent_at = now
        kept = tuple(sorted(unseen.items()))
        chosen = self._replicator.choose_replica_holders(now)
        named = None if chosen is None else self._announced.announce(chosen, now)
        return Contact(now, is_detached=False, keepers=named, wall=wall, unseen=kept)

    def record_answer(self, contact: Contact) -> None:
        """Record that the ledger has answered a command with this contact."""
        if not contact.is_detached and contact.clock > self._last_unreported_at:
            self.last_confirmed_at = max(self.last_confirmed_at, contact.clock)
        if self._announced.confirm(contact):
            replica_holders = ",".join(self._announced.state())
            log_event("INFO", "keepers_named", group=self._group, keepers=replica_holders)

    def has_new_replica_holders(self) -> bool:
        """Return whether the chosen replica holders differ from those that the ledger has."""
        chosen = self._replicator.choose_replica_holders(self._clock.now())
        return chosen is not None and not self._announced.is_current(chosen)
