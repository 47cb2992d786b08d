"""Retry budget: limit retries to a share of first attempts, to avoid retry storms in outages."""

from collections.abc import Callable
from typing import NamedTuple

RETRY_SHARE = 0.1
"""Number of retries that each first attempt adds to the budget."""

MAX_SAVED_RETRIES = 20.0
"""Maximum number of retries that the budget holds."""

RETRY_INTERVAL_S = 5.0
"""Interval at which one retry is allowed in any case, in seconds, so that retries are possible
with little traffic."""


OPTIONAL_RETRY_RESERVE = 1.0
"""Number of retries that an optional one leaves in the budget."""


class RetryLimits(NamedTuple):
    """Retry limits of one host; the limits of the hosts add up to that of the fleet.

    ``share`` is the number of retries that each first attempt adds, ``max_saved`` the maximum
    number of retries in the budget, and ``interval_s`` the interval in seconds at which one retry
    is allowed in any case. If ``min_hosts`` is above 0, ``max_saved`` is a total that the hosts
    divide by their number, which counts as at least ``min_hosts``.
    """

    share: float = RETRY_SHARE
    max_saved: float = MAX_SAVED_RETRIES
    interval_s: float = RETRY_INTERVAL_S
    min_hosts: int = 0


class RetryBudget:
    """Add a fraction of a retry with each first attempt, and spend one with each retry.

    A budget that ``starts_empty`` gives nothing that an earlier process of this host has spent
    already. Others start half full.
    """

    def __init__(
        self,
        now: float,
        limits: RetryLimits | None = None,
        count_hosts: Callable[[], int] = lambda: 1,
        starts_empty: bool = False,
    ) -> None:
        self._limits = limits or RetryLimits()
        self._count_hosts = count_hosts
        self._max_hosts = self._limits.min_hosts
        self._saved = 0.0 if starts_empty else self._max_saved() / 2
        self._updated_at = now

    def record_first_attempt(self, now: float) -> None:
        """Add the share of one first attempt to the budget."""
        self._refill(now)
        self._saved = min(self._max_saved(), self._saved + self._limits.share)

    def allows(self, now: float, reserve: float = 0.0) -> bool:
        """Return whether a retry may be made that leaves ``reserve`` retries in the budget."""
        self._refill(now)
        self._saved = min(self._saved, max(1.0, self._max_saved()))
        return self._saved >= 1.0 + reserve

    def spend(self, now: float) -> None:
        """Spend one retry."""
        self._refill(now)
        self._saved = max(0.0, self._saved - 1.0)

    def seconds_to_next(self, now: float) -> float:
        """Return the seconds until a retry is allowed if there is no first attempt."""
        self._refill(now)
        return max(0.0, 1.0 - self._saved) * self._limits.interval_s

    def _max_saved(self) -> float:
        """Return the maximum number of retries that this host's budget holds.

        This host's part never grows. In a network partition each side sees few hosts, and the parts
        of both sides would add up to more than the limit of the fleet.
        """
        if not self._limits.min_hosts:
            return self._limits.max_saved
        self._max_hosts = max(self._max_hosts, self._count_hosts())
        return self._limits.max_saved / self._max_hosts

    def _refill(self, now: float) -> None:
        # Refill only slowly, and only up to one retry: a budget that fills up while no request runs
        # must not pay for a retry storm.
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        if self._saved < 1.0:
            self._saved = min(1.0, self._saved + elapsed / self._limits.interval_s)
