"""Decide how much of a budget a host should hold.

Before a partition each side should hold what it will need in it. Nobody knows which
side will keep the ledger, so each host holds its share of all that is left, by its
share of the recent spending, less the part held back at the ledger.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

import xxhash

from cranberrywall.budgets._interfaces import EntryHost
from cranberrywall.budgets.messages import BudgetResult, DrawResult

# Part of the shares that is spread evenly: demand shifts to hosts that had none lately.
EVEN_PART = 0.4
# A host holds no more than it would spend in this time at its rate; the rest stays free.
HORIZON_S = 24 * 3600.0
# In its place a host with a disk holds this many times what one without does.
DISK_WEIGHT = 8.0
# Below this many usual requests' bounds, a part is too small to be worth holding.
WORTH_HOLDING = 2.0
ANY_PARTS = 1_000_000
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


def view_of(sums: BudgetResult | DrawResult, now: float) -> LedgerView:
    """Return the view that the ledger's answer at ``now`` gives."""
    return LedgerView(sums.free, sums.outstanding, sums.credited, sums.charged, now)


class Rates(NamedTuple):
    """Give this host's rate of spending and all hosts', and its part in its place.

    ``in_place`` is the number of hosts that share the place's callers evenly, and
    ``part`` the part of the place's money that this one holds, between 0 and 1.
    """

    own: float
    total: float
    hosts: int
    in_place: int = 1
    part: float = 1.0


def share(rates: Rates) -> float:
    """Return this host's share of all money, between 0 and 1.

    A place's share follows its spending, as its hosts can pass money on in most cuts.

    >>> share(Rates(own=0.0, total=0.0, hosts=4))
    0.25
    >>> round(share(Rates(own=3.0, total=4.0, hosts=4)), 3)
    0.55
    >>> round(share(Rates(own=1.0, total=4.0, hosts=4, in_place=2, part=0.8)), 3)
    0.4
    """
    even = rates.in_place / max(1, rates.hosts)
    own_place = rates.own * rates.in_place
    total = max(rates.total, own_place)
    if total <= 0.0:
        return even * rates.part
    return ((1.0 - EVEN_PART) * own_place / total + EVEN_PART * even) * rates.part


def part_in_place(host: str, place_hosts: Sequence[EntryHost]) -> float:
    """Return the part of its place's money that ``host`` holds.

    A host with a disk goes on spending where it is cut off alone; one without cannot make
    its charges last there, and what it holds is of use to nobody until the cut is mended.

    >>> hosts = [EntryHost("a", "p", True), EntryHost("b", "p", False)]
    >>> round(part_in_place("a", hosts), 3), round(part_in_place("b", hosts), 3)
    (0.889, 0.111)
    """
    weight_by_host = {one.host: DISK_WEIGHT if one.disk else 1.0 for one in place_hosts}
    total = sum(weight_by_host.values())
    return weight_by_host.get(host, total) / total if total > 0.0 else 1.0


def homes(budget: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in the order in which they hold a budget that is too small for all.

    All hosts order them alike, by a hash of host and budget (rendezvous hashing): one that looks
    for the last of a budget finds it at the first hosts, and a host that leaves changes little.

    >>> homes("desk", ["a", "b", "c"]) == homes("desk", ["c", "a", "b"])
    True
    """
    return sorted(hosts, key=lambda host: xxhash.xxh64_intdigest(f"{host}\n{budget}".encode()))


def parts_of(left: float, held_back: float, request: float) -> int:
    """Return in how many parts a budget may lie that are each worth holding, 1 at least.

    ``request`` is the bound of a usual request; 0 where none is known yet.

    >>> parts_of(1000.0, 0.1, 100.0), parts_of(150.0, 0.1, 100.0)
    (4, 1)
    """
    if request <= 0.0:
        return ANY_PARTS
    return max(1, int(left * (1.0 - held_back) / (WORTH_HOLDING * request)))


def target(left: float, rates: Rates, held_back: float) -> int:
    """Return what this host should hold of ``left``.

    >>> target(1000.0, Rates(own=1.0, total=2.0, hosts=2), held_back=0.2)
    400
    """
    by_share = left * share(rates) * (1.0 - held_back)
    if rates.own <= 0.0:
        return int(by_share)
    horizon = rates.own * rates.in_place * rates.part * HORIZON_S
    return int(min(by_share, max(horizon, left * EVEN_PART / max(1, rates.hosts))))
