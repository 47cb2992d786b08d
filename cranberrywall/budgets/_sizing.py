"""Decide how much of a budget a host should hold.

Before a network partition each side should hold what it will need during it. No host can know which
side will reach the ledger. Each host therefore holds a share of the unspent money in proportion to
its recent spending, less the part withheld at the ledger.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from cranberrywall.budgets._interfaces import EntryHost
from cranberrywall.budgets.messages import BudgetResult, DrawResult

# Part of the money that is shared evenly, because demand moves to hosts that had none recently.
EVEN_SHARE = 0.4
# A host holds no more than it would spend in this time at its current rate; the rest stays free.
HORIZON_S = 24 * 3600.0
# Within its place, a host with a disk holds this many times what a host without one holds.
DISK_WEIGHT = 8.0
# A host that spends this many times an even part of a budget, or more, is one that most callers of
# a workspace use. Noise in the rates of hosts that share the callers evenly stays below it.
CONCENTRATED_FACTOR = 8.0
# A part smaller than this many bounds of typical requests is too small to be worth holding.
MIN_REQUESTS_PER_PART = 2.0
# Number of parts that a budget is split into, at most, if no request was seen yet. Among more hosts
# a part is likely to be smaller than a request, which then collects from many of them.
MAX_FIRST_PARTS = 48
# A host draws or returns money if its holding is outside this band around its target amount.
# Both limits are ratios of the holding to the target amount.
LOW_BAND = 0.75
HIGH_BAND = 1.5


class LedgerView(NamedTuple):
    """Ledger's sums of one budget as last received, ``at`` monotonic seconds."""

    free: int
    outstanding: int
    credited: int
    charged: int
    at: float

    @property
    def left(self) -> int:
        """Return the credited amount that is not charged yet."""
        return self.credited - self.charged


def view_of(sums: BudgetResult | DrawResult, now: float) -> LedgerView:
    """Return the view of an answer that the ledger gave at ``now``."""
    return LedgerView(sums.free, sums.outstanding, sums.credited, sums.charged, now)


class SpendRates(NamedTuple):
    """Spending rates of this host and of all hosts, and this host's part of its place.

    ``in_place`` is the number of hosts that share the place's callers evenly, and ``part`` the part
    of the place's money that this host holds, between 0 and 1.
    """

    own: float
    total: float
    hosts: int
    in_place: int = 1
    part: float = 1.0


def is_concentrated(own: float, total: float, hosts: int) -> bool:
    """Return whether a host that spends ``own`` of ``total`` spends far more than an even part.

    >>> is_concentrated(own=50.0, total=100.0, hosts=70), is_concentrated(3.0, 100.0, hosts=70)
    (True, False)
    """
    return own > 0.0 and own * hosts >= CONCENTRATED_FACTOR * max(total, own)


def share(rates: SpendRates) -> float:
    """Return this host's share of all money, between 0 and 1.

    A place's share follows its spending, because its hosts can transfer money to each other in most
    network partitions. Its callers are assumed to use its hosts evenly, unless this host spends far
    more than that explains.

    >>> share(SpendRates(own=0.0, total=0.0, hosts=4))
    0.25
    >>> round(share(SpendRates(own=3.0, total=4.0, hosts=4)), 3)
    0.55
    >>> round(share(SpendRates(own=1.0, total=4.0, hosts=4, in_place=2, part=0.8)), 3)
    0.4
    >>> round(share(SpendRates(own=4.0, total=4.0, hosts=20, in_place=4, part=0.25)), 3)
    0.62
    >>> round(share(SpendRates(own=1.0, total=4.0, hosts=20, in_place=4, part=0.25)), 3)
    0.17
    """
    even = rates.in_place / max(1, rates.hosts)
    own_place = rates.own * rates.in_place
    total = max(rates.total, own_place)
    if total <= 0.0:
        return even * rates.part
    by_spending = own_place / total * rates.part
    if rates.total > 0.0 and is_concentrated(rates.own, rates.total, rates.hosts):
        by_spending = max(by_spending, min(1.0, rates.own / rates.total))
    return (1.0 - EVEN_SHARE) * by_spending + EVEN_SHARE * even * rates.part


def share_of_place(host: str, place_hosts: Sequence[EntryHost]) -> float:
    """Return the part of its place's money that ``host`` holds.

    A host with a disk can keep spending while it is isolated. A host without one cannot make its
    charges durable then, and no host can use its money until the partition ends.

    >>> hosts = [EntryHost("a", "p", True), EntryHost("b", "p", False)]
    >>> round(share_of_place("a", hosts), 3), round(share_of_place("b", hosts), 3)
    (0.889, 0.111)
    """
    weight_by_host = {one.host: DISK_WEIGHT if one.disk else 1.0 for one in place_hosts}
    total = sum(weight_by_host.values())
    return weight_by_host.get(host, total) / total if total > 0.0 else 1.0


def preferred_holders(budget: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in the order in which they hold a budget that is too small for all of them.

    All hosts compute the same order, by a hash of host and budget (rendezvous hashing). A host that
    searches for the last of a budget finds it at the first hosts, and a host that leaves changes
    the order little.

    >>> preferred_holders("desk", ["a", "b", "c"]) == preferred_holders("desk", ["c", "a", "b"])
    True
    """
    return sorted(hosts, key=lambda host: xxhash.xxh64_intdigest(f"{host}\n{budget}".encode()))


def max_parts(left: float, held_back: float, request: float) -> int:
    """Return into how many parts a budget can be split that are each worth holding, at least 1.

    ``request`` is the bound of a typical request; 0 if none was seen yet.

    >>> max_parts(1000.0, 0.1, 100.0), max_parts(150.0, 0.1, 100.0)
    (4, 1)
    """
    if request <= 0.0:
        return MAX_FIRST_PARTS
    return max(1, int(left * (1.0 - held_back) / (MIN_REQUESTS_PER_PART * request)))


def target_amount(left: float, rates: SpendRates, held_back: float) -> int:
    """Return the part of ``left`` that this host should hold.

    >>> target_amount(1000.0, SpendRates(own=1.0, total=2.0, hosts=2), held_back=0.2)
    400
    """
    by_share = left * share(rates) * (1.0 - held_back)
    if rates.own <= 0.0:
        return int(by_share)
    horizon = rates.own * rates.in_place * rates.part * HORIZON_S
    return int(min(by_share, max(horizon, left * EVEN_SHARE / max(1, rates.hosts))))
