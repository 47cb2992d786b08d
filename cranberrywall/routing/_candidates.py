"""Hold what this host knows of each target that it may choose."""

from math import exp, log1p

import xxhash

from cranberrywall.routing._waits import Work
from cranberrywall.targets import Announcement, LoadEstimate, Usual

SLOWNESS_LEARNING = 0.1
"""Weight of one observation in a target's slowness, 0 to 1."""

SLOWNESS_BOUNDS = (0.25, 20.0)

SLOWNESS_FADE_S = 60.0
"""Without new observations slowness fades to 1 with this time constant, in seconds."""

SPREAD_SHARE = 0.1
"""How far the estimate of a target's work is off, as a share of its capacity."""


class Candidate:
    """Estimate one target's work and speed from reports and this host's own requests."""

    def __init__(self, announcement: Announcement, distance_s: float) -> None:
        self.announcement = announcement
        self.distance_s = distance_s
        self.seed = xxhash.xxh64_intdigest(announcement.target.encode())
        self.load = LoadEstimate()
        self.pending_blocks = 0
        self._slowness = 1.0
        self._slowness_at = 0.0

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self.announcement.target

    def serves(self, version: str, adapter: str) -> bool:
        """Say whether the target has the version and the adapter; empty asks for none."""
        if version and version not in self.announcement.versions:
            return False
        return not adapter or adapter in self.announcement.adapters

    def busy(self, usual: Usual, now: float) -> float:
        """Return the estimated requests in flight there, of all hosts."""
        return self.load.in_flight + self.load.others(usual, now)

    def has_room(self, busy: float) -> bool:
        """Say whether one more request may go to the target."""
        capacity = self.announcement.capacity
        return self.load.in_flight < capacity and (busy < capacity or not self.load.in_flight)

    def work(self, missed_blocks: int, busy: float) -> Work:
        """Return what is ahead of a request that must compute ``missed_blocks``."""
        capacity = self.announcement.capacity
        return Work(
            missed_blocks + self.pending_blocks,
            busy / capacity,
            _expected_excess(busy + 1 - capacity, capacity) / capacity,
        )

    def slowness(self, now: float) -> float:
        """Return by how much the target is slower than predicted; 1 is as predicted."""
        age = max(0.0, now - self._slowness_at)
        return 1.0 + (self._slowness - 1.0) * exp(-age / SLOWNESS_FADE_S)

    def observe(self, predicted_s: float, seconds: float, now: float) -> None:
        """Take in a time to first token, next to what the model predicted."""
        low, high = SLOWNESS_BOUNDS
        ratio = min(high, max(low, seconds / max(predicted_s, 1e-6)))
        current = self.slowness(now)
        self._slowness = current + SLOWNESS_LEARNING * (ratio - current)
        self._slowness_at = now


def _expected_excess(excess: float, capacity: int) -> float:
    """Return the mean of the positive part of a number known only about.

    A target that seems just not full is full half of the time: reports are late.
    """
    spread = 1.0 + SPREAD_SHARE * capacity
    return spread * log1p(exp(min(excess / spread, 50.0)))
