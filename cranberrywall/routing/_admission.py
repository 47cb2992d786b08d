"""Estimate queue waits, and refuse demands that would wait too long."""

from math import exp

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.runtime import Random

COUNT_DECAY_S = 10.0
"""Time constant with which the counts of grants and refusals decay, in seconds."""

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 120.0

MIN_SHARE_LEFT = 0.05
"""Minimum share of the slots that the worst rank is assumed to get."""


class Admission:
    """Estimate waits from the rate at which slots become free and the ranks that get them."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._grants_by_rank: dict[int, float] = {}
        self._refusals = 0.0
        self._decayed_at = 0.0

    def record_grant(self, rank: int, now: float) -> None:
        """Record that a demand of ``rank`` got a slot."""
        self._decay(now)
        self._grants_by_rank[rank] = self._grants_by_rank.get(rank, 0.0) + 1.0

    def expected_wait(self, rank: int, ahead: int, slots_per_s: float, now: float) -> float:
        """Return the expected seconds until ``ahead`` waiters and one more of ``rank`` have slots.

        Later demands of better ranks go first too; they are assumed to take the same share of the
        slots as recently.
        """
        self._decay(now)
        total = sum(self._grants_by_rank.values())
        better = sum(count for other, count in self._grants_by_rank.items() if other < rank)
        left = max(MIN_SHARE_LEFT, 1.0 - better / total) if total else 1.0
        return (ahead + 1) / max(slots_per_s * left, 1e-3)

    def refusal_if_late(self, latest: float, wait_s: float, now: float) -> Refusal | None:
        """Return a refusal of a demand that would get its slot after ``latest``, else ``None``."""
        if now + wait_s <= latest:
            return None
        message = f"a free slot is expected in {wait_s:.1f} s, too late for an answer"
        return Refusal(ErrorKind.OVERLOADED, message, retry_after=self.retry_after(wait_s, now))

    def retry_after(self, wait_s: float, now: float) -> float:
        """Count one refusal and return the seconds after which the caller should retry.

        Callers that retry are refused again while there are more of them than slots. The delay
        therefore grows with the number of refusals for each granted slot. It is spread over half of
        its length, so that the same few callers do not retry again and again.
        """
        self._decay(now)
        self._refusals += 1.0
        ratio = self._refusals / max(1.0, sum(self._grants_by_rank.values()))
        wait_s = max(MIN_RETRY_AFTER_S, wait_s * max(0.5, ratio))
        return min(MAX_RETRY_AFTER_S, wait_s) * self._random.uniform(0.75, 1.25)

    def _decay(self, now: float) -> None:
        elapsed = now - self._decayed_at
        if elapsed < 1.0:
            return
        self._decayed_at = now
        share = exp(-elapsed / COUNT_DECAY_S)
        self._refusals *= share
        for rank in self._grants_by_rank:
            self._grants_by_rank[rank] *= share
