"""Decide how much of a budget a host should hold.

Before a partition each side should hold what it will need in it. Nobody knows which
side will keep the ledger, so each host holds its share of all that is left, by its
share of the recent spending, less the part held back at the ledger.
"""

from typing import NamedTuple

# Part of the shares that is spread evenly: demand shifts to hosts that had none lately.
EVEN_PART = 0.1
# A host holds no more than it would spend in this time at its rate; the rest stays free.
HORIZON_S = 24 * 3600.0
# Outside this band around its target a host draws or returns.
LOW_BAND = 0.75
HIGH_BAND = 1.5


class LedgerView(NamedTuple):
    """Hold the ledger's sums of one budget as last heard, ``at`` monotonic seconds."""

    free: int
    outstanding: int
    credited: int
    charged: int
    at: float

    @property
    def left(self) -> int:
        """Return what is not charged yet."""
        return self.credited - self.charged


class Rates(NamedTuple):
    """Give this host's rate of spending, all hosts', and the number of entry hosts."""

    own: float
    total: float
    hosts: int


def share(rates: Rates) -> float:
    """Return this host's share of the spending, between 0 and 1.

    >>> share(Rates(own=0.0, total=0.0, hosts=4))
    0.25
    >>> round(share(Rates(own=3.0, total=4.0, hosts=4)), 3)
    0.7
    """
    even = 1.0 / max(1, rates.hosts)
    total = max(rates.total, rates.own)
    if total <= 0.0:
        return even
    return (1.0 - EVEN_PART) * rates.own / total + EVEN_PART * even


def target(left: float, rates: Rates, held_back: float) -> int:
    """Return what this host should hold of ``left``.

    >>> target(1000.0, Rates(own=1.0, total=2.0, hosts=2), held_back=0.2)
    400
    """
    by_share = left * share(rates) * (1.0 - held_back)
    if rates.own <= 0.0:
        return int(by_share)
    return int(min(by_share, max(rates.own * HORIZON_S, left * held_back / max(1, rates.hosts))))
