"""Foresee how long a demand would wait, and refuse at once what would wait too long."""

from math import exp

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.runtime import Random

SHARE_FADE_S = 10.0
"""Places given and refusals are remembered with this time constant, in seconds."""

SHORTEST_RETRY_S = 0.5
LONGEST_RETRY_S = 120.0

ALWAYS_LEFT = 0.05
"""Share of places that the last rank is taken to get at least."""


class Admission:
    """Predict waits from how fast places become free and who gets them."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._grants_by_rank: dict[int, float] = {}
        self._refusals = 0.0
        self._faded_at = 0.0

    def granted(self, rank: int, now: float) -> None:
        """Note that a demand of ``rank`` got a place."""
        self._fade(now)
        self._grants_by_rank[rank] = self._grants_by_rank.get(rank, 0.0) + 1.0

    def expected_wait(self, rank: int, ahead: int, places_per_s: float, now: float) -> float:
        """Return the seconds until ``ahead`` waiters and one of ``rank`` have places.

        Those of better ranks that come later go first too; they are expected to take as
        many places as lately.
        """
        self._fade(now)
        total = sum(self._grants_by_rank.values())
        better = sum(count for known, count in self._grants_by_rank.items() if known < rank)
        left = max(ALWAYS_LEFT, 1.0 - better / total) if total else 1.0
        return (ahead + 1) / max(places_per_s * left, 1e-3)

    def too_late(self, latest: float, wait_s: float, now: float) -> Refusal | None:
        """Return a refusal of a demand that would get its place after ``latest``."""
        if now + wait_s <= latest:
            return None
        message = f"a place is expected in {wait_s:.1f} s, too late for an answer"
        return Refusal(ErrorKind.OVERLOADED, message, retry_after=self.retry_after(wait_s, now))

    def retry_after(self, wait_s: float, now: float) -> float:
        """Count one refusal and return when to come back, in seconds.

        Those who come back are refused again while more do than there are places for. The
        more are refused for each one that gets a place, the later each is told to come,
        spread over half of that time, so that the same few don't ask over and over.
        """
        self._fade(now)
        self._refusals += 1.0
        ratio = self._refusals / max(1.0, sum(self._grants_by_rank.values()))
        wait_s = max(SHORTEST_RETRY_S, wait_s * max(0.5, ratio))
        return min(LONGEST_RETRY_S, wait_s) * self._random.uniform(0.75, 1.25)

    def _fade(self, now: float) -> None:
        elapsed = now - self._faded_at
        if elapsed < 1.0:
            return
        self._faded_at = now
        share = exp(-elapsed / SHARE_FADE_S)
        self._refusals *= share
        for rank in self._grants_by_rank:
            self._grants_by_rank[rank] *= share
