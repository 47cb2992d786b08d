"""Estimate a rate of spending on two time scales.

Times are in monotonic seconds; rates are amounts per second.
"""

from math import exp

SHORT_SCALE_S = 120.0
LONG_SCALE_S = 3600.0


class Demand:
    """Average of a rate over some minutes and over an hour.

    Early on, the average is divided by the time observed so far, so that the first minutes do not
    count as a low rate.
    """

    __slots__ = ("_long", "_long_weight", "_short", "_short_weight", "_updated_at")

    def __init__(self, now: float) -> None:
        self._short = 0.0
        self._long = 0.0
        self._short_weight = 0.0
        self._long_weight = 0.0
        self._updated_at = now

    def add(self, amount: float, now: float) -> None:
        """Count ``amount`` as spent evenly since the last call."""
        elapsed = now - self._updated_at
        if elapsed <= 0.0:
            return
        rate = amount / elapsed
        short_decay = exp(-elapsed / SHORT_SCALE_S)
        long_decay = exp(-elapsed / LONG_SCALE_S)
        self._short = self._short * short_decay + rate * (1.0 - short_decay)
        self._long = self._long * long_decay + rate * (1.0 - long_decay)
        self._short_weight = self._short_weight * short_decay + 1.0 - short_decay
        self._long_weight = self._long_weight * long_decay + 1.0 - long_decay
        self._updated_at = now

    @property
    def updated_at(self) -> float:
        """Return the time of the last call of ``add`` that had an effect."""
        return self._updated_at

    def rate(self) -> float:
        """Return the mean of the rates on both scales; 0 before any observation."""
        if self._short_weight <= 0.0:
            return 0.0
        short = self._short / self._short_weight
        long = self._long / self._long_weight
        return (short + long) / 2.0
