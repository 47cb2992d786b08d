"""Bound what a host spends of one budget without a report to the ledger.

The ledger frees the money that a lost host cannot have spent, based on the time since its last
contact and on the rates that the host declared. The host therefore observes the same bound: a part
of what it holds, which rises with the time since the last contact, plus everything that other hosts
gave it meanwhile.
"""

from cranberrywall.budgets._ledger_reach import LedgerReach
from cranberrywall.budgets._unreported_bound import UnreportedBound


class UnreportedSpend:
    """Counts of amounts kept, given and received since the ledger had a complete report.

    ``kept`` are replicated charges, ``given`` transfers to peers, and ``received`` transfers from
    peers. Spent amounts count until an answer shows that the ledger has received a report of them.
    Received amounts count only until the next command is sent. Either message may be lost, and the
    bound must hold whether or not the ledger received the command.
    """

    __slots__ = ("_last_confirmed_at", "_last_sent_at", "given", "kept", "received")

    def __init__(self) -> None:
        self._last_confirmed_at = float("-inf")
        self._last_sent_at = float("-inf")
        self.kept = 0
        self.given = 0
        self.received = 0

    def reset_outdated(self, reach: LedgerReach) -> None:
        """Reset the counts that a sent or an answered command made obsolete."""
        if self._last_sent_at != reach.last_sent_at:
            self._last_sent_at = reach.last_sent_at
            self.received = 0
        if self._last_confirmed_at != reach.last_confirmed_at:
            self._last_confirmed_at = reach.last_confirmed_at
            self.kept = self.given = 0

    def initial_amount(self, held: int) -> int:
        """Return what the host held when it lost the ledger; it has ``held`` left of that."""
        return held + self.kept + self.given - self.received

    def remaining(self, held: int, bound: UnreportedBound | None) -> int:
        """Return what may still be spent: ``bound`` of the host's own, plus what peers gave.

        ``None`` allows everything.
        """
        own = self.initial_amount(held)
        allowed = own if bound is None else int(bound.amount(own))
        return allowed + self.received - self.kept - self.given
