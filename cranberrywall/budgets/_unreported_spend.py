"""Bound what a host spends of one budget while the ledger has not heard of it.

The ledger frees what a lost host cannot have spent, by how long it had been silent. So the host
keeps to that bound: a share of what it has, which rises with its silence, and all that others
gave it meanwhile.
"""

from cranberrywall.budgets._reach import Reach


class UnreportedSpend:
    """Count what is kept, given and got since the ledger last heard of all that was before.

    ``kept`` are charges, ``given`` transfers to peers, and ``received`` those from peers. What is
    spent counts until an answer shows that the ledger was told of it, and what is received only
    until the next command goes out: either message may be lost, and the bound has to hold with the
    ledger that got it as with the one that did not.
    """

    __slots__ = ("_heard_at", "_told_at", "given", "kept", "received")

    def __init__(self) -> None:
        self._heard_at = float("-inf")
        self._told_at = float("-inf")
        self.kept = 0
        self.given = 0
        self.received = 0

    def renew(self, reach: Reach) -> None:
        """Begin anew where the ledger has been told since, or has answered."""
        if self._told_at != reach.told_at:
            self._told_at = reach.told_at
            self.received = 0
        if self._heard_at != reach.heard_at:
            self._heard_at = reach.heard_at
            self.kept = self.given = 0

    def own(self, held: int) -> int:
        """Return what the host had as the ledger fell silent; it has ``held`` left of it."""
        return held + self.kept + self.given - self.received

    def left(self, held: int, share: float) -> int:
        """Return what may still be spent: ``share`` of the host's own, and what it was given."""
        return int(share * self.own(held)) + self.received - self.kept - self.given
