"""Bound retries to a share of first attempts, so that an outage breeds no storm."""

from collections.abc import Callable
from typing import NamedTuple

RETRY_SHARE = 0.1
"""Retries that each first attempt pays for."""

MOST_SAVED = 20.0
"""Retries that can be saved up."""

EVERY_S = 5.0
"""One retry is allowed this often in any case, in seconds, so that little traffic can retry."""


class RetryLimits(NamedTuple):
    """Bound one host's retries; the hosts' bounds add up to the fleet's.

    ``share`` are the retries that each first attempt pays for, ``max_saved`` those that can be
    saved up, and one is allowed every ``interval_s`` seconds in any case. Where ``min_hosts`` is
    above 0, the hosts share what is ``max_saved`` among them, that many at least.
    """

    share: float = RETRY_SHARE
    max_saved: float = MOST_SAVED
    interval_s: float = EVERY_S
    min_hosts: int = 0


class RetryBudget:
    """Save a part of a retry with each first attempt, and spend one with each retry."""

    def __init__(
        self,
        now: float,
        limits: RetryLimits | None = None,
        count_hosts: Callable[[], int] = lambda: 1,
    ) -> None:
        self._limits = limits or RetryLimits()
        self._count_hosts = count_hosts
        self._most_hosts = self._limits.min_hosts
        self._saved = self._most_saved() / 2
        self._updated_at = now

    def first_attempt(self, now: float) -> None:
        """Pay in for one first attempt."""
        self._refill(now)
        self._saved = min(self._most_saved(), self._saved + self._limits.share)

    def allows(self, now: float) -> bool:
        """Say whether a retry may be made."""
        self._refill(now)
        self._saved = min(self._saved, max(1.0, self._most_saved()))
        return self._saved >= 1.0

    def spend(self, now: float) -> None:
        """Spend one retry."""
        self._refill(now)
        self._saved = max(0.0, self._saved - 1.0)

    def seconds_to_next(self, now: float) -> float:
        """Return the seconds until a retry is allowed without any first attempt."""
        self._refill(now)
        return max(0.0, 1.0 - self._saved) * self._limits.interval_s

    def _most_saved(self) -> float:
        """Return what this host may save up.

        Its part never grows: in a cut, each side sees few hosts, and the parts of both sides
        would add up to more than all may save.
        """
        if not self._limits.min_hosts:
            return self._limits.max_saved
        self._most_hosts = max(self._most_hosts, self._count_hosts())
        return self._limits.max_saved / self._most_hosts

    def _refill(self, now: float) -> None:
        # Only a slow trickle: what is saved while nothing runs must not pay for a storm.
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        if self._saved < 1.0:
            self._saved = min(1.0, self._saved + elapsed / self._limits.interval_s)
