"""Simple ways to share a prepaid budget among hosts, to differ from and to beat.

Each decides at once, without messages: what is in reach is given by the sides of a cut.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import NamedTuple, Protocol


class Hold(NamedTuple):
    """Hold ``bound`` of a budget for one request on a host."""

    host: str
    budget: str
    bound: int
    lease: int


class Scheme(Protocol):
    """Admit requests against prepaid budgets."""

    def credit(self, budget: str, amount: int, now: float) -> None: ...

    def reserve(self, host: str, budget: str, bound: int, now: float) -> Hold | None: ...

    def settle(self, hold: Hold, actual: int, now: float) -> None: ...

    def cut(self, with_ledger: frozenset[str], now: float) -> None: ...

    def die(self, host: str, now: float) -> None: ...


class Central:
    """One ledger that every request asks: right by construction, and deaf over a cut."""

    def __init__(self, hosts: Sequence[str]) -> None:
        self.left: dict[str, int] = defaultdict(int)
        self._in_reach = frozenset(hosts)

    def credit(self, budget: str, amount: int, now: float) -> None:
        self.left[budget] += amount

    def reserve(self, host: str, budget: str, bound: int, now: float) -> Hold | None:
        if host not in self._in_reach or bound > self.left[budget]:
            return None
        self.left[budget] -= bound
        return Hold(host, budget, bound, 0)

    def settle(self, hold: Hold, actual: int, now: float) -> None:
        self.left[hold.budget] += hold.bound - actual

    def cut(self, with_ledger: frozenset[str], now: float) -> None:
        self._in_reach = with_ledger

    def die(self, host: str, now: float) -> None:
        pass


class Oracle(Central):
    """The same ledger, in reach of everybody at all times."""

    def cut(self, with_ledger: frozenset[str], now: float) -> None:
        pass


class FixedShares:
    """Split each top-up by fixed weights; a host spends its own part and no other."""

    def __init__(self, weight_by_host: Mapping[str, float]) -> None:
        total = sum(weight_by_host.values())
        self._share_by_host = {host: weight / total for host, weight in weight_by_host.items()}
        self._left: dict[tuple[str, str], int] = defaultdict(int)
        self._with_ledger = frozenset(weight_by_host)
        self._on_the_way: dict[tuple[str, str], int] = defaultdict(int)

    def credit(self, budget: str, amount: int, now: float) -> None:
        rest = amount
        for host, share in sorted(self._share_by_host.items()):
            part = min(rest, round(amount * share))
            rest -= part
            self._on_the_way[host, budget] += part
        self._on_the_way[min(self._share_by_host), budget] += rest
        self._deliver()

    def reserve(self, host: str, budget: str, bound: int, now: float) -> Hold | None:
        if bound > self._left[host, budget]:
            return None
        self._left[host, budget] -= bound
        return Hold(host, budget, bound, 0)

    def settle(self, hold: Hold, actual: int, now: float) -> None:
        self._left[hold.host, hold.budget] += hold.bound - actual

    def cut(self, with_ledger: frozenset[str], now: float) -> None:
        self._with_ledger = with_ledger
        self._deliver()

    def die(self, host: str, now: float) -> None:
        pass

    def _deliver(self) -> None:
        for key in [key for key in self._on_the_way if key[0] in self._with_ledger]:
            self._left[key] += self._on_the_way.pop(key)


class TimedLeases:
    """Lend each host an equal part of what is left until a time; then lend it anew.

    What a host reported as spent by then is charged; the ledger takes the rest back as
    the lease ends, also from a host that it cannot ask. A charge that comes later was
    made against money that may be lent to others by then: that is how it overspends.
    """

    def __init__(self, hosts: Sequence[str], lease_s: float) -> None:
        self._hosts = list(hosts)
        self._lease_s = lease_s
        self._with_ledger = frozenset(hosts)
        self._credited: dict[str, int] = defaultdict(int)
        self._charged: dict[str, int] = defaultdict(int)
        self._left: dict[tuple[str, str], int] = defaultdict(int)
        self._lent: dict[tuple[str, str], int] = {}
        self._unreported: dict[tuple[str, str], int] = defaultdict(int)
        self._ends_at: dict[str, float] = defaultdict(float)
        self._number: dict[str, int] = defaultdict(int)

    def credit(self, budget: str, amount: int, now: float) -> None:
        self._credited[budget] += amount

    def reserve(self, host: str, budget: str, bound: int, now: float) -> Hold | None:
        self._renew(host, now)
        if now >= self._ends_at[host]:
            return None
        if (host, budget) not in self._lent and host in self._with_ledger:
            self._lend(host, budget)
        if bound > self._left[host, budget]:
            return None
        self._left[host, budget] -= bound
        return Hold(host, budget, bound, self._number[host])

    def settle(self, hold: Hold, actual: int, now: float) -> None:
        key = (hold.host, hold.budget)
        if hold.lease == self._number[hold.host]:
            self._left[key] += hold.bound - actual
        if hold.host in self._with_ledger:
            self._charge(key, actual)
        else:
            self._unreported[key] += actual

    def cut(self, with_ledger: frozenset[str], now: float) -> None:
        self._with_ledger = with_ledger
        for key in [key for key in self._unreported if key[0] in with_ledger]:
            self._charge(key, self._unreported.pop(key))

    def die(self, host: str, now: float) -> None:
        self._ends_at[host] = 0.0

    def _charge(self, key: tuple[str, str], amount: int) -> None:
        self._charged[key[1]] += amount
        if key in self._lent:
            self._lent[key] = max(0, self._lent[key] - amount)

    def _renew(self, host: str, now: float) -> None:
        if host not in self._with_ledger or now < self._ends_at[host]:
            return
        for other in self._hosts:
            if now >= self._ends_at[other]:
                self._take_back(other)
        self._ends_at[host] = now + self._lease_s
        self._number[host] += 1

    def _take_back(self, host: str) -> None:
        for key in [key for key in self._lent if key[0] == host]:
            del self._lent[key]
            self._left[key] = 0

    def _lend(self, host: str, budget: str) -> None:
        lent = sum(amount for key, amount in self._lent.items() if key[1] == budget)
        free = self._credited[budget] - self._charged[budget] - lent
        borrowers = sum(1 for key in self._lent if key[1] == budget)
        part = max(0, free) // max(1, len(self._hosts) - borrowers)
        self._lent[host, budget] = part
        self._left[host, budget] = part
