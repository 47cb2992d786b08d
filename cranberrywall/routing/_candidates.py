"""Hold what this host knows of each target that it may choose."""

from collections.abc import Sequence
from enum import Enum
from math import ceil, exp, log1p
from typing import NamedTuple

import xxhash

from cranberrywall.routing._limits import ConcurrencyLimit, Own
from cranberrywall.routing._retries import RetryBudget
from cranberrywall.routing._waits import Work
from cranberrywall.targets import (
    TTL_S,
    Announcement,
    GroupMeans,
    Health,
    Load,
    LoadEstimate,
    TargetIncarnation,
)

SLOWNESS_LEARNING = 0.1
"""Weight of one observation in a target's slowness, 0 to 1."""

SLOWNESS_BOUNDS = (0.25, 20.0)

SLOWNESS_FADE_S = 60.0
"""Without new observations slowness fades to 1 with this time constant, in seconds."""

SPREAD_SHARE = 0.1
"""How far the estimate of a target's work is off, as a share of its capacity."""

LATE_COST = 4.0
"""A target whose renewal is overdue seems this many times as long."""

MOST_LISTED = 4
"""Targets that a refusal names."""

FAILURE_COST = 20.0
"""A target that fails each request seems this many times as long, plus one."""


class Claim(Enum):
    """Say what bounds a request at a target.

    ``BOUNDED`` requests keep within this host's limit; the ``FIRST_RANK`` may go over it by
    a share. The ``ONLY`` request of a host may go where none of its own is.
    """

    BOUNDED = "bounded"
    FIRST_RANK = "first_rank"
    ONLY = "only"


class Shared(NamedTuple):
    """Say how a target is shared.

    ``hosts`` is how many hosts are taken to use it, ``reserved`` how many places are to be
    kept free, and ``unbounded_share`` this host's share of requests that no limit holds for.
    """

    hosts: int
    reserved: float
    unbounded_share: float


class Candidate:
    """Estimate one run of a target from reports and this host's own requests."""

    def __init__(
        self,
        announcement: Announcement,
        distance_s: float,
        hosts: int,
        draw: float,
        now: float,
        slow_start: bool,
        retries: RetryBudget | None = None,
    ) -> None:
        self.announcement = announcement
        self.start = TargetIncarnation(announcement.target, announcement.incarnation)
        self.distance_s = distance_s
        self.seed = xxhash.xxh64_intdigest(announcement.target.encode())
        self.load = LoadEstimate()
        self.limit = ConcurrencyLimit(announcement.capacity, hosts, draw)
        self.health = Health(now, slow_start)
        self.retries = retries or RetryBudget(now)
        self.pending_blocks = 0
        self.ask_again_at = now
        self.asked_at = now
        self._renewed_at = now
        self._extra = ceil(announcement.capacity / hosts)
        self._slowness = 1.0
        self._slowness_at = 0.0

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self.announcement.target

    def renew(self, announcement: Announcement, now: float) -> None:
        """Take in a later announcement of the same run."""
        # The cache events went to the prefix index; kept, they would take much memory.
        self.announcement = announcement._replace(cache_events=())
        self._renewed_at = now
        self.limit.resize(announcement.capacity)

    def serves(self, version: str, adapter: str) -> bool:
        """Say whether the target has the version and the adapter; empty asks for none."""
        announcement = self.announcement
        if announcement.models and not announcement.versions:
            # It was ordered to unload its model and awaits the load of another.
            return False
        if version and version not in announcement.versions:
            return False
        return not adapter or adapter in announcement.adapters

    def busy(self, usual: GroupMeans, now: float) -> float:
        """Return the estimated requests in flight there, of all hosts."""
        return self.load.in_flight + self.load.others(usual, now)

    def report(self, load: Load, shared: Shared, wall: float, now: float) -> None:
        """Take in a load report."""
        bounded = self.load.report(load, wall, now)
        if bounded is not None:
            wanted = self.announcement.capacity - shared.reserved
            own = Own(bounded, shared.unbounded_share)
            self.limit.report(load, wanted, own, shared.hosts, now)

    def has_room(self, claim: Claim, now: float) -> bool:
        """Say whether one more request with this claim may go to the target."""
        health = self.health
        if health.is_ejected(now) or health.is_unresponsive(now):
            return False
        if health.is_on_trial(now) or claim is Claim.ONLY:
            return self.load.in_flight == 0
        places = self.limit.places(health.capacity_share(now))
        if claim is Claim.BOUNDED or not places:
            return self.load.bounded < places
        return self.load.in_flight < places + self._extra

    def work(self, missed_blocks: int, busy: float) -> Work:
        """Return what is ahead of a request that must compute ``missed_blocks``."""
        capacity = self.announcement.capacity
        return Work(
            missed_blocks + self.pending_blocks,
            busy / capacity,
            _expected_excess(busy + 1 - capacity, capacity) / capacity,
        )

    def weigh(self, predicted_s: float, now: float) -> float:
        """Return the cost of choosing the target, in seconds, from the predicted wait."""
        cost = self.slowness(now) * predicted_s
        cost *= 1.0 + FAILURE_COST * self.health.failure_share(now)
        if now - self._renewed_at > TTL_S:
            cost *= LATE_COST
        return self.distance_s + cost

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


def listed(candidates: Sequence[Candidate]) -> str:
    """Return the targets' names, of many the first few, for a refusal."""
    names = sorted(candidate.target_id for candidate in candidates)
    more = f" and {len(names) - MOST_LISTED} more" if len(names) > MOST_LISTED else ""
    return ", ".join(names[:MOST_LISTED]) + more


def _expected_excess(excess: float, capacity: int) -> float:
    """Return the mean of the positive part of a number known only about.

    A target that seems just not full is full half of the time: reports are late.
    """
    spread = 1.0 + SPREAD_SHARE * capacity
    return spread * log1p(exp(min(excess / spread, 50.0)))
