"""Say who is next where more requests want a permit than there are: by rank, then evenly.

Times are monotonic seconds.
"""

from collections.abc import Sequence
from math import exp
from typing import TypeVar

from cranberrywall.rates.messages import PermitDemand

FADE_S = 5.0
"""Permits given are remembered with this time constant, in seconds: a workspace that had more than
its part waits for the others about so long, and one that was quiet saves up no more than that."""

LEAST_LEFT = 0.05
"""Share of the permits that a rank is taken to get at least, whatever goes before it."""

_FORGOTTEN_BELOW = 0.01

K = TypeVar("K")


class Fairness:
    """Remember how many permits each rank and each workspace got lately."""

    def __init__(self, now: float) -> None:
        self._given_by_workspace: dict[str, float] = {}
        self._given_by_rank: dict[int, float] = {}
        self._faded_at = now

    def order(self, want: PermitDemand, now: float) -> tuple[int, float]:
        """Return by what wants are served: the least first."""
        self._fade(now)
        return want.rank, self._given_by_workspace.get(want.workspace, 0.0)

    def gave(self, want: PermitDemand, now: float) -> None:
        """Note that one permit went to ``want``."""
        self._fade(now)
        given = self._given_by_workspace
        given[want.workspace] = given.get(want.workspace, 0.0) + 1.0
        self._given_by_rank[want.rank] = self._given_by_rank.get(want.rank, 0.0) + 1.0

    def ahead(self, want: PermitDemand, waiting: Sequence[PermitDemand]) -> int:
        """Return how many of those ``waiting`` get a permit before one more like ``want``.

        Better ranks all do. Of its own rank each other workspace gets one in turn, so that a
        caller with a thousand waiting delays the others by one each.
        """
        own = 0
        better = 0
        others: dict[str, int] = {}
        for other in waiting:
            if other.rank < want.rank:
                better += other.requests
            elif other.rank == want.rank and other.workspace == want.workspace:
                own += other.requests
            elif other.rank == want.rank:
                others[other.workspace] = others.get(other.workspace, 0) + other.requests
        return better + own + sum(min(count, own + 1) for count in others.values())

    def share_left(self, rank: int, now: float) -> float:
        """Return the share of the permits that better ranks leave, as lately."""
        self._fade(now)
        total = sum(self._given_by_rank.values())
        better = sum(given for known, given in self._given_by_rank.items() if known < rank)
        return max(LEAST_LEFT, 1.0 - better / total) if total else 1.0

    def _fade(self, now: float) -> None:
        elapsed = now - self._faded_at
        if elapsed < 0.1:
            return
        self._faded_at = now
        share = exp(-elapsed / FADE_S)
        self._given_by_workspace = _faded(self._given_by_workspace, share)
        self._given_by_rank = _faded(self._given_by_rank, share)


def _faded(given: dict[K, float], share: float) -> dict[K, float]:
    return {key: count * share for key, count in given.items() if count * share > _FORGOTTEN_BELOW}
