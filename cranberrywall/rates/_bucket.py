"""Pace the permits for one target.

Times are monotonic seconds; rates are requests a second.
"""

PACED_SHARE = 0.97
"""Share of a named rate at which permits are given. What is left, with the third request of the
bound below, is for permits that are used a tenth of a second later than others. At 0.95 the least
use of a rate of 1 a second in 20 s was 18 requests, at 0.97 it is 19 (`measurements.named_rates`,
8 hosts)."""

SAVED = 2.0
SAVED_S = 0.02
"""Permits that may be saved up while nobody asks: ``SAVED`` and what comes in ``SAVED_S`` seconds,
which is longer than a host takes to ask again. With ``PACED_SHARE``, 4 s bring a target at most
3.9 times its rate and 2 requests, where 4 times and 3 are the bound."""

TRIAL_EVERY_S = 10.0
"""A target that takes less is still asked once in so long, in seconds: it says only in answers that
its need is over. It is half of the shortest span over which a rate's use is looked at."""


class Bucket:
    """Save up permits for one target at its rate; it starts empty."""

    def __init__(self, now: float) -> None:
        # What is under way when the rate is heard counts, so nothing is given at once.
        self._level = 0.0
        self._updated_at = now
        self._per_s = 0.0

    @property
    def per_s(self) -> float:
        """Return the permits a second that are given now."""
        return self._per_s

    def set_rate(self, named_per_s: float, share: float, now: float) -> None:
        """Take in the rate that holds; ``share`` of it is this host's to give."""
        self._refill(now)
        self._per_s = share * max(PACED_SHARE * named_per_s, 1.0 / TRIAL_EVERY_S)

    def seconds_to_next(self, now: float) -> float:
        """Return the seconds until a permit is there; infinite where none will be."""
        self._refill(now)
        if self._level >= 1.0:
            return 0.0
        return (1.0 - self._level) / self._per_s if self._per_s else float("inf")

    def take(self, now: float) -> bool:
        """Take one permit, if there is one."""
        self._refill(now)
        # Half a microsecond of it may be missing where a timer rang just before its time.
        if self._level < 1.0 - 1e-6:
            return False
        self._level -= 1.0
        return True

    def give_back(self, now: float) -> None:
        """Take back a permit that was not used."""
        self._refill(now)
        self._level = min(self._most(), self._level + 1.0)

    def _most(self) -> float:
        return SAVED + SAVED_S * self._per_s

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._level = min(self._most(), self._level + elapsed * self._per_s)
