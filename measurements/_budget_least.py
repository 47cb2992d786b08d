"""Bound from below the false refusals that any scheme without overspend must make.

Along the path of a ledger that is in reach of everybody: as a cut begins, what is left is
split between its two sides by someone who knows all demand to come, and top-ups reach the
ledger's side only. Each side then admits its cheapest requests first, at their true cost.
What the path admitted and the best split does not is refused falsely by every scheme.

Nobody knows the demand to come. ``by_past`` is the same for one who splits by what each side
spent in the hour before, known to all at once: a scheme can be expected to come near it.
"""

import heapq
import itertools
from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from measurements._budget_runs import away_hosts
from measurements._budget_trace import HOUR_S, Cut, Request, TopUp, Trace
from tests.naive.budget_schemes import Hold, Oracle

SPLITS = 40
_ANYBODY = "anybody"


class _Path(NamedTuple):
    """Hold what the oracle admitted, and what was left of each budget as each cut began."""

    admitted: list[Request]
    left_by_cut: list[dict[str, int]]


class Least(NamedTuple):
    """Count false refusals of the best split, and of one by what was spent before the cut."""

    best: int
    by_past: int


def least_false_refusals(trace: Trace) -> Least:
    """Return the bounds for a trace; deaths and cuts of single hosts are left out of them."""
    path = _follow(trace)
    best, by_past = 0, 0
    for cut, left in zip(trace.cuts, path.left_by_cut, strict=True):
        places = cut.away & set(trace.deployment.hosts_by_place)
        if not places or len(away_hosts(cut, trace.deployment)) == 0:
            continue
        by_budget: dict[str, list[Request]] = defaultdict(list)
        for request in path.admitted:
            if cut.at <= request.at < cut.ends_at:
                by_budget[request.budget].append(request)
        for budget, requests in by_budget.items():
            added = _added(trace.top_ups, budget, cut)
            sides = _Sides(requests, places, max(0, left.get(budget, 0)), added)
            best += min(sides.refused(part / SPLITS) for part in range(SPLITS + 1))
            by_past += sides.refused(_past_part(path.admitted, budget, cut, places))
    return Least(best, by_past)


def _follow(trace: Trace) -> _Path:
    oracle = Oracle([_ANYBODY])
    order = itertools.count()
    events: list[tuple[float, int, TopUp | Cut | Request | tuple[Hold, int]]] = []
    for top_up in trace.top_ups:
        events.append((top_up.at, next(order), top_up))
    for cut in trace.cuts:
        events.append((cut.at, next(order), cut))
    for request in trace.requests:
        events.append((request.at, next(order), request))
    heapq.heapify(events)
    path = _Path([], [])
    while events:
        now, _, event = heapq.heappop(events)
        if isinstance(event, TopUp):
            oracle.credit(event.budget, event.amount, now)
        elif isinstance(event, Cut):
            path.left_by_cut.append(dict(oracle.left))
        elif isinstance(event, Request):
            hold = oracle.reserve(_ANYBODY, event.budget, event.bound, now)
            if hold is not None:
                path.admitted.append(event)
                ends_at = now + event.takes_s
                heapq.heappush(events, (ends_at, next(order), (hold, event.actual)))
        else:
            oracle.settle(event[0], event[1], now)
    return path


def _added(top_ups: Sequence[TopUp], budget: str, cut: Cut) -> int:
    return sum(
        one.amount for one in top_ups if one.budget == budget and cut.at <= one.at < cut.ends_at
    )


def _past_part(admitted: Sequence[Request], budget: str, cut: Cut, places: frozenset[str]) -> float:
    """Return the part of the last hour's spending that the far side had."""
    past = [one for one in admitted if one.budget == budget and 0 < cut.at - one.at <= HOUR_S]
    total = sum(one.actual for one in past)
    away = sum(one.actual for one in past if one.place in places)
    return away / total if total else 0.5


class _Sides:
    """Serve both sides of one cut from one budget."""

    def __init__(
        self, requests: Sequence[Request], places: frozenset[str], left: int, added: int
    ) -> None:
        self._away = sorted(one.actual for one in requests if one.place in places)
        self._near = sorted(one.actual for one in requests if one.place not in places)
        self._left = left
        self._added = added

    def refused(self, part: float) -> int:
        """Return the refusals where the far side begins with ``part`` of what is left."""
        far = round(self._left * part)
        near = self._left - far + self._added
        return _refused(self._away, far) + _refused(self._near, near)


def _refused(costs: Sequence[int], money: int) -> int:
    """Return how many of ``costs``, cheapest first, the money does not cover."""
    for index, cost in enumerate(costs):
        money -= cost
        if money < 0:
            return len(costs) - index
    return 0
