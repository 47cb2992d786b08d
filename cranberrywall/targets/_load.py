"""Estimate of a target's current load from delayed reports and this host's own requests."""

from collections import deque
from math import exp
from typing import NamedTuple

from cranberrywall.targets.messages import Load

SAMPLE_INTERVAL_S = 0.25
"""Resolution at which this host's own requests in flight are recorded, in seconds."""

MAX_REPORT_AGE_S = 15.0
"""Maximum age that a report is treated as having, in seconds; older ones count as this old."""

OWN_MEAN_TIME_CONSTANT_S = 4.0
"""Time constant of the mean of this host's own requests in flight, in seconds."""

ADDED_REQUESTS = 1.0
"""Number of requests added to this host's own counts when counts of targets are compared."""


class GroupMeans(NamedTuple):
    """Means over the targets of one model or service.

    ``own`` is the number of this host's requests in flight at a target, ``others`` that of other
    hosts. ``unbounded_share`` is the share of ``own`` to which no limit applies. ``hold_s`` is how
    long a request occupies its place at a target, in seconds.
    """

    own: float
    others: float
    unbounded_share: float
    hold_s: float


class LoadEstimate:
    """Estimate of a target's load, as this host's own requests plus those of other hosts.

    This host's own requests are known exactly; those of other hosts come from delayed reports. A
    report counts all requests at the target as of some seconds ago. The estimate subtracts this
    host's own requests of that time and adds its current ones. Otherwise, a host would send a burst
    to a target only because the report about its previous burst is still in flight.
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
        """Count one more request of this host; ``bounded`` if a limit applies to it."""
        self._update_own_mean(now)
        self.in_flight += 1
        self.bounded += bounded
        self._record_sample(now)

    def end(self, bounded: bool, now: float) -> None:
        """Count one request of this host less."""
        self._update_own_mean(now)
        self.in_flight -= 1
        self.bounded -= bounded
        self._record_sample(now)

    def report(self, load: Load, wall: float, now: float) -> int | None:
        """Apply a report and return this host's own bounded requests at the time of the report.

        Return ``None`` if a newer report was applied before. ``wall`` is this host's wall clock
        time at ``now``.
        """
        # Reports arrive by several paths and may overtake each other.
        if self._reported_at is not None and load.at <= self._newest_at:
            return None
        self._newest_at = load.at
        # The age is computed from two clocks, and either may be wrong. A wrong clock must not make
        # the report count for ever, or not at all.
        age = min(max(0.0, wall - load.at), MAX_REPORT_AGE_S)
        self.late_s = age
        own = self._own_sample_at(now - age)
        self._others = float(max(0, load.running + load.waiting - own.in_flight))
        self._reported_at = now - age
        return own.bounded

    def others(self, means: GroupMeans, now: float) -> float:
        """Return the estimated requests of other hosts at the target.

        The weight of a report decays with the time that a request occupies its place, as the
        requests that it counted end. The remaining weight goes to an estimate from this host's own
        recent share: hosts select targets by the same rules, so a target that is popular here is
        popular on other hosts too.
        """
        expected = means.others * (self._own_mean + ADDED_REQUESTS) / (means.own + ADDED_REQUESTS)
        if self._reported_at is None:
            return expected
        weight = exp(-max(0.0, now - self._reported_at) / means.hold_s)
        return expected + (self._others - expected) * weight

    def own_mean(self, now: float) -> float:
        """Return the smoothed number of this host's requests in flight at the target."""
        self._update_own_mean(now)
        return self._own_mean

    @property
    def last_others(self) -> float | None:
        """Return the requests of other hosts as last reported."""
        return None if self._reported_at is None else self._others

    def _update_own_mean(self, now: float) -> None:
        elapsed = max(0.0, now - self._own_mean_at)
        self._own_mean_at = max(now, self._own_mean_at)
        self._own_mean += (self.in_flight - self._own_mean) * (
            1.0 - exp(-elapsed / OWN_MEAN_TIME_CONSTANT_S)
        )

    def _record_sample(self, now: float) -> None:
        history = self._history
        since = now
        if history and now - history[-1].since < SAMPLE_INTERVAL_S:
            since = history.pop().since
        history.append(_Sample(since, self.in_flight, self.bounded))
        while history[0].since < now - MAX_REPORT_AGE_S - SAMPLE_INTERVAL_S:
            history.popleft()

    def _own_sample_at(self, time: float) -> "_Sample":
        for sample in reversed(self._history):
            if sample.since <= time:
                return sample
        return _Sample(time, 0, 0)


class _Sample(NamedTuple):
    """This host's requests at a target from ``since`` on."""

    since: float
    in_flight: int
    bounded: int
