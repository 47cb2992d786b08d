"""Estimate a target's work now from late reports and this host's own requests."""

from collections import deque
from math import exp
from typing import NamedTuple

from cranberrywall.targets.messages import Load

SAMPLE_S = 0.25
"""This host's own requests in flight are remembered at this resolution, in seconds."""

HISTORY_S = 15.0
"""A report that is older than this is taken to be this old, in seconds."""

OWN_MEAN_S = 4.0
"""This host's own requests in flight are smoothed with this time constant, in seconds."""

SHRINK = 1.0
"""Requests added to this host's own counts when they are compared between targets."""


class GroupMeans(NamedTuple):
    """Hold means over the targets of one model or service.

    ``own`` is this host's requests in flight at a target, ``others`` those of other hosts.
    ``unbounded_share`` is the share of ``own`` that no limit holds for.
    ``hold_s`` is the time that a request holds its place, in seconds.
    """

    own: float
    others: float
    unbounded_share: float
    hold_s: float


class LoadEstimate:
    """Split a target's work into this host's own, known now, and others', reported late.

    A report counts all requests at the target as of some seconds ago. This host's own of
    that time are taken out of it and its own of now put in, so that a host doesn't send
    a burst to a target only because the report about the last burst is still on its way.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.bounded = 0
        self.late_s = 0.0
        self._others = 0.0
        self._own_mean = 0.0
        self._own_mean_at = 0.0
        self._reported_at: float | None = None
        self._newest_at = 0.0
        self._history: deque[_Sample] = deque()

    def start(self, bounded: bool, now: float) -> None:
        """Count one more request of this host; ``bounded`` where a limit holds for it."""
        self._move_mean(now)
        self.in_flight += 1
        self.bounded += bounded
        self._remember(now)

    def end(self, bounded: bool, now: float) -> None:
        """Count one request of this host less."""
        self._move_mean(now)
        self.in_flight -= 1
        self.bounded -= bounded
        self._remember(now)

    def report(self, load: Load, wall: float, now: float) -> int | None:
        """Take in a report and return this host's own bounded requests at its time.

        ``None`` is for a report that is older than another. ``wall`` is this host's wall
        time at ``now``.
        """
        # Reports come by several ways and may overtake each other.
        if self._reported_at is not None and load.at <= self._newest_at:
            return None
        self._newest_at = load.at
        # The age is by two clocks, and either may be wrong; a wild one must not make
        # the report count for ever, or not at all.
        age = min(max(0.0, wall - load.at), HISTORY_S)
        self.late_s = age
        own = self._own_at(now - age)
        self._others = float(max(0, load.running + load.waiting - own.in_flight))
        self._reported_at = now - age
        return own.bounded

    def others(self, usual: GroupMeans, now: float) -> float:
        """Return the estimated requests of other hosts at the target.

        A report counts for as long as the requests that it counted last. What it no
        longer tells is filled in by this host's own recent share: hosts choose by the
        same rules, so that a target that is popular here is popular elsewhere.
        """
        likely = usual.others * (self._own_mean + SHRINK) / (usual.own + SHRINK)
        if self._reported_at is None:
            return likely
        weight = exp(-max(0.0, now - self._reported_at) / usual.hold_s)
        return likely + (self._others - likely) * weight

    def own_mean(self, now: float) -> float:
        """Return this host's requests in flight there, smoothed over ``OWN_MEAN_S``."""
        self._move_mean(now)
        return self._own_mean

    @property
    def last_others(self) -> float | None:
        """Return the requests of other hosts as last reported."""
        return None if self._reported_at is None else self._others

    def _move_mean(self, now: float) -> None:
        elapsed = max(0.0, now - self._own_mean_at)
        self._own_mean_at = max(now, self._own_mean_at)
        self._own_mean += (self.in_flight - self._own_mean) * (1.0 - exp(-elapsed / OWN_MEAN_S))

    def _remember(self, now: float) -> None:
        history = self._history
        since = now
        if history and now - history[-1].since < SAMPLE_S:
            since = history.pop().since
        history.append(_Sample(since, self.in_flight, self.bounded))
        while history[0].since < now - HISTORY_S - SAMPLE_S:
            history.popleft()

    def _own_at(self, time: float) -> "_Sample":
        for sample in reversed(self._history):
            if sample.since <= time:
                return sample
        return _Sample(time, 0, 0)


class _Sample(NamedTuple):
    """Hold this host's requests at a target from ``since`` on."""

    since: float
    in_flight: int
    bounded: int
