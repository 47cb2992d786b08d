"""Bound what a host spends of one budget while the ledger has not heard of it.

The ledger frees what a lost host cannot have spent, by how long it had been silent. So the host
keeps to that bound: a share of what it has, which rises with its silence, and all that others
gave it meanwhile.
"""

from cranberrywall.budgets._reach import Reach


class Unseen:
    """Count what is kept, given and got since the ledger last heard of all that was before.

    ``kept`` are charges, ``given`` transfers to peers, and ``received`` those from peers.
    """

    __slots__ = ("_since", "given", "kept", "received")

    def __init__(self) -> None:
        self._since = float("-inf")
        self.kept = 0
        self.given = 0
        self.received = 0

    def renew(self, reach: Reach) -> None:
        """Begin anew where the holder has told the ledger since what is kept."""
        if self._since == reach.heard_at:
            return
        self._since = reach.heard_at
        self.kept = self.given = self.received = 0

    def own(self, held: int) -> int:
        """Return what the host had as the ledger fell silent; it has ``held`` left of it."""
        return held + self.kept + self.given - self.received

    def left(self, held: int, share: float) -> int:
        """Return what may still be spent: ``share`` of the host's own, and what it was given."""
        return int(share * self.own(held)) + self.received - self.kept - self.given
