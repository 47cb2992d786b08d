"""Token bucket that paces the permits for one target.

Times are monotonic seconds; rates are requests per second.
"""

PACED_SHARE = 0.97
"""Share of the stated rate at which permits are issued. The rest, with the third request of the
bound below, allows for permits that are used a tenth of a second later than others. With 0.95
the lowest use of a rate of 1 a second in 20 s was 18 requests, with 0.97 it is 19
(`measurements.named_rates`, 8 hosts)."""

BURST_PERMITS = 2.0
BURST_S = 0.02
"""Permits that may accumulate while no host requests them: ``BURST_PERMITS``, plus those of
``BURST_S`` seconds, which is longer than a host takes to request again. With ``PACED_SHARE``, a
target gets in 4 s at most 3.9 times its rate plus 2 requests; the bound is 4 times plus 3."""

TRIAL_INTERVAL_S = 10.0
"""A target with a lower rate still gets one request in this interval, in seconds: only its
answers show that it is no longer throttled. The interval is half of the shortest span over which
the use of a rate is measured."""


class TokenBucket:
    """Token bucket of permits for one target at its rate; it starts empty."""

    def __init__(self, now: float) -> None:
        # Requests that are in flight when the rate is received count, so no permit is issued
        # immediately.
        self._level = 0.0
        self._updated_at = now
        self._per_s = 0.0

    @property
    def per_s(self) -> float:
        """Return the permits that are issued per second now."""
        return self._per_s

    def set_rate(self, named_per_s: float, share: float, now: float) -> None:
        """Set the rate that applies; this host may issue permits for ``share`` of it."""
        self._refill(now)
        self._per_s = share * max(PACED_SHARE * named_per_s, 1.0 / TRIAL_INTERVAL_S)

    def seconds_to_next(self, now: float) -> float:
        """Return the seconds until a permit is available; infinite if there will be none."""
        self._refill(now)
        if self._level >= 1.0:
            return 0.0
        return (1.0 - self._level) / self._per_s if self._per_s else float("inf")

    def take(self, now: float) -> bool:
        """Remove one permit and return True, or return False if none is available."""
        self._refill(now)
        # A timer may fire just before its time, so that half a microsecond of the level is missing.
        if self._level < 1.0 - 1e-6:
            return False
        self._level -= 1.0
        return True

    def refund(self, now: float) -> None:
        """Add a permit that was not used."""
        self._refill(now)
        self._level = min(self._max_level(), self._level + 1.0)

    def _max_level(self) -> float:
        return BURST_PERMITS + BURST_S * self._per_s

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._level = min(self._max_level(), self._level + elapsed * self._per_s)
