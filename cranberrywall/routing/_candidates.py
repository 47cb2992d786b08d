"""State of each target that this host may choose."""

from collections.abc import Sequence
from enum import Enum
from math import ceil, exp, log1p
from typing import NamedTuple

import xxhash

from cranberrywall.routing._limits import ConcurrencyLimit, OwnRequests
from cranberrywall.routing._rejections import RejectionLimit
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

SLOWNESS_SMOOTHING = 0.1
"""Weight of one observation in a target's slowness, 0 to 1."""

SLOWNESS_BOUNDS = (0.25, 20.0)
"""Lowest and highest ratio of observed to predicted time that one observation counts as."""

SLOWNESS_DECAY_S = 60.0
"""Time constant with which slowness decays to 1 without new observations, in seconds."""

LOAD_ERROR_SHARE = 0.1
"""Assumed error of the estimated load of a target, as a share of its capacity."""

OVERDUE_COST_FACTOR = 4.0
"""Factor on the cost of a target whose renewal is overdue."""

MAX_LISTED_NAMES = 4
"""Maximum number of target names in the message of a refusal."""

FAILURE_COST_FACTOR = 20.0
"""A target that fails every request costs this multiple of its wait, plus one."""


class Claim(Enum):
    """Which limit applies to a request at a target.

    A ``BOUNDED`` request keeps within this host's limit; a ``FIRST_RANK`` request may exceed it by
    an even share of the capacity. An ``ONLY`` request may go to a target at which this host has no
    other request.
    """

    BOUNDED = "bounded"
    FIRST_RANK = "first_rank"
    ONLY = "only"


class Sharing(NamedTuple):
    """How a target is shared.

    ``hosts`` is the estimated number of hosts that use it, ``reserved`` the number of slots to keep
    free, and ``unbounded_share`` this host's share of requests that no limit applies to.
    """

    hosts: int
    reserved: float
    unbounded_share: float


class Candidate:
    """Estimate the load and speed of one incarnation of a target.

    The estimate uses the target's reports and this host's own requests.
    """

    def __init__(
        self,
        announcement: Announcement,
        distance_s: float,
        hosts: int,
        rounding_offset: float,
        now: float,
        is_slow_start: bool,
        retries: RetryBudget | None = None,
    ) -> None:
        self.announcement = announcement
        self.target_incarnation = TargetIncarnation(announcement.target, announcement.incarnation)
        self.distance_s = distance_s
        self.seed = xxhash.xxh64_intdigest(announcement.target.encode())
        self.load = LoadEstimate()
        self.limit = ConcurrencyLimit(announcement.capacity, hosts, rounding_offset)
        self.health = Health(now, is_slow_start)
        self.rejections = RejectionLimit()
        self.retries = retries or RetryBudget(now)
        self.pending_blocks = 0
        self.next_permit_request_at = now
        self.permit_requested_at = now
        self._renewed_at = now
        self._first_rank_extra = ceil(announcement.capacity / hosts)
        self._slowness = 1.0
        self._slowness_at = 0.0

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self.announcement.target

    def renew(self, announcement: Announcement, now: float) -> None:
        """Apply a later announcement of the same incarnation."""
        # The prefix index has applied the cache events; storing them here would take much memory.
        self.announcement = announcement._replace(cache_events=())
        self._renewed_at = now
        self.limit.resize(announcement.capacity)

    def serves(self, version: str, adapter: str) -> bool:
        """Return whether the target has the version and the adapter; empty means any."""
        announcement = self.announcement
        if announcement.models and not announcement.versions:
            # The target was ordered to unload its model and waits for the load of another one.
            return False
        if version and version not in announcement.versions:
            return False
        return not adapter or adapter in announcement.adapters

    def estimated_load(self, group_means: GroupMeans, now: float) -> float:
        """Return the estimated number of requests of all hosts in flight at the target."""
        return self.load.in_flight + self.load.others(group_means, now)

    def apply_load(self, load: Load, sharing: Sharing, wall_now: float, now: float) -> None:
        """Apply a load report."""
        bounded = self.load.report(load, wall_now, now)
        if bounded is not None:
            desired = self.announcement.capacity - sharing.reserved
            own = OwnRequests(bounded, sharing.unbounded_share)
            self.limit.report(load, desired, own, sharing.hosts, now)

    def has_capacity(self, claim: Claim, now: float) -> bool:
        """Return whether one more request with this claim may go to the target."""
        if not self.rejections.allows(self.load.in_flight, now):
            return False
        health = self.health
        if health.is_ejected(now) or health.is_unresponsive(now):
            return False
        if health.is_on_trial(now) or claim is Claim.ONLY:
            return self.load.in_flight == 0
        slots = self.limit.slots(health.capacity_share(now))
        if self.rejections.per_s is not None:
            # The shares add up to little more than the capacity, whatever arrives at the hosts.
            slots = min(slots, self.limit.even_slots())
        if claim is Claim.BOUNDED or not slots:
            return self.load.bounded < slots
        if self.rejections.per_s is not None:
            return self.load.in_flight < slots
        return self.load.in_flight < slots + self._first_rank_extra

    def work(self, missed_blocks: int, estimated_load: float) -> Work:
        """Return the work ahead of a request that must compute ``missed_blocks``."""
        capacity = self.announcement.capacity
        return Work(
            missed_blocks + self.pending_blocks,
            estimated_load / capacity,
            _expected_excess(estimated_load + 1 - capacity, capacity) / capacity,
        )

    def cost_s(self, predicted_s: float, now: float) -> float:
        """Return the cost of choosing the target, in seconds, from the predicted wait."""
        cost = self.slowness(now) * predicted_s
        cost *= 1.0 + FAILURE_COST_FACTOR * self.health.failure_share(now)
        if now - self._renewed_at > TTL_S:
            cost *= OVERDUE_COST_FACTOR
        return self.distance_s + cost

    def slowness(self, now: float) -> float:
        """Return the factor by which the target is slower than predicted; 1 is as predicted."""
        age = max(0.0, now - self._slowness_at)
        return 1.0 + (self._slowness - 1.0) * exp(-age / SLOWNESS_DECAY_S)

    def update_slowness(self, predicted_s: float, seconds: float, now: float) -> None:
        """Update the slowness from a time to first token and its prediction, in seconds."""
        low, high = SLOWNESS_BOUNDS
        ratio = min(high, max(low, seconds / max(predicted_s, 1e-6)))
        current = self.slowness(now)
        self._slowness = current + SLOWNESS_SMOOTHING * (ratio - current)
        self._slowness_at = now


def format_names(candidates: Sequence[Candidate]) -> str:
    """Return the targets' names for a refusal; only the first few if there are many."""
    names = sorted(candidate.target_id for candidate in candidates)
    more = f" and {len(names) - MAX_LISTED_NAMES} more" if len(names) > MAX_LISTED_NAMES else ""
    return ", ".join(names[:MAX_LISTED_NAMES]) + more


def _expected_excess(excess: float, capacity: int) -> float:
    """Return the mean of the positive part of an uncertain number.

    Reports are late, so a target that seems just below its capacity is full half of the time.
    """
    error = 1.0 + LOAD_ERROR_SHARE * capacity
    return error * log1p(exp(min(excess / error, 50.0)))
