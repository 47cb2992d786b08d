"""Order requests for permits by rank, then evenly between workspaces.

Times are monotonic seconds.
"""

from collections.abc import Sequence
from math import exp
from typing import TypeVar

from cranberrywall.rates.messages import PermitDemand

DECAY_S = 5.0
"""Time constant with which the counts of issued permits decay, in seconds. A workspace that had
more than its share waits for the others for about this time, and an idle workspace saves up no
more than the permits of this time."""

MIN_SHARE_LEFT = 0.05
"""Minimum share of the permits that a rank is assumed to get, whatever goes before it."""

_MIN_COUNT = 0.01

K = TypeVar("K")


class Fairness:
    """Track the permits that each rank and each workspace got recently."""

    def __init__(self, now: float) -> None:
        self._count_by_workspace: dict[str, float] = {}
        self._count_by_rank: dict[int, float] = {}
        self._decayed_at = now

    def sort_key(self, demand: PermitDemand, now: float) -> tuple[int, float]:
        """Return the sort key of a demand; the demand with the lowest key is served first."""
        self._decay(now)
        return demand.rank, self._count_by_workspace.get(demand.workspace, 0.0)

    def record_grant(self, demand: PermitDemand, now: float) -> None:
        """Record that one permit was issued for ``demand``."""
        self._decay(now)
        counts = self._count_by_workspace
        counts[demand.workspace] = counts.get(demand.workspace, 0.0) + 1.0
        self._count_by_rank[demand.rank] = self._count_by_rank.get(demand.rank, 0.0) + 1.0

    def count_ahead(self, demand: PermitDemand, waiting: Sequence[PermitDemand]) -> int:
        """Return how many of the ``waiting`` requests get a permit before one more like ``demand``.

        All requests of better ranks do. Within its own rank each other workspace gets one permit in
        turn, so that a workspace with a thousand waiting requests delays the others by one each.
        """
        own = 0
        better = 0
        others: dict[str, int] = {}
        for other in waiting:
            if other.rank < demand.rank:
                better += other.requests
            elif other.rank == demand.rank and other.workspace == demand.workspace:
                own += other.requests
            elif other.rank == demand.rank:
                others[other.workspace] = others.get(other.workspace, 0) + other.requests
        return better + own + sum(min(count, own + 1) for count in others.values())

    def share_left(self, rank: int, now: float) -> float:
        """Return the share of the recent permits that better ranks left."""
        self._decay(now)
        total = sum(self._count_by_rank.values())
        better = sum(count for other, count in self._count_by_rank.items() if other < rank)
        return max(MIN_SHARE_LEFT, 1.0 - better / total) if total else 1.0

    def _decay(self, now: float) -> None:
        elapsed = now - self._decayed_at
        if elapsed < 0.1:
            return
        self._decayed_at = now
        share = exp(-elapsed / DECAY_S)
        self._count_by_workspace = _decayed(self._count_by_workspace, share)
        self._count_by_rank = _decayed(self._count_by_rank, share)


def _decayed(counts: dict[K, float], share: float) -> dict[K, float]:
    return {key: count * share for key, count in counts.items() if count * share > _MIN_COUNT}
