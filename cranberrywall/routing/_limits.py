"""Limit this host's concurrent requests at a target by the observed capacity of the target."""

from typing import NamedTuple

from cranberrywall.targets import Load

MIN_REPORTED_LIMIT = 0.1
"""Minimum limit at a target that reports its load. It is below 1 so that the limits of many
hosts add up to the capacity."""

LIMIT_SMOOTHING = 0.5
"""Share of the difference to the new value by which each report moves the limit."""

EVEN_SHARE_WEIGHT = 0.3
"""Weight of the even share in the limit that a report of a full target leads to."""

MAX_GROWTH_FACTOR = 1.5
GROWTH_STEP = 0.1
"""While the target has capacity, a limit in use grows with each report by at most
``MAX_GROWTH_FACTOR`` as a factor, plus this constant."""

MIN_USED_SHARE = 0.5
"""A limit of which less than this share is in use does not grow, and is not shrunk for a queue."""

EVEN_SHARE_FACTOR = 1.2
"""Factor by which a host may exceed its even share of a target that must not be overfilled."""

INITIAL_SHARES = 2.0
"""Initial limit, in even shares of the capacity."""

FAILURE_DECREASE_FACTOR = 0.7
CONGESTION_DECREASE_FACTOR = 0.85

CONGESTION_RATIO = 3.0
"""A first token that takes this multiple of the best recent ratio indicates a queue."""

MIN_CONGESTION_DELAY_S = 1.0
"""Minimum delay of a first token that indicates a queue, in seconds."""

BEST_RATIO_DECAY = 1.01
"""Factor by which the best observed ratio rises with each observation."""


class OwnRequests(NamedTuple):
    """This host's requests at a target.

    ``bounded`` is the number of requests that the limit applies to. ``unbounded_share``, 0 to below
    1, is the mean share of the other requests, which are of the first rank.
    """

    bounded: int
    unbounded_share: float


class ConcurrencyLimit:
    """Limit of this host's concurrent requests at a target.

    Hosts share a target without communicating with each other. A report counts the requests of all
    hosts at the target. Each host scales the number of its own requests at that time by the desired
    total divided by the reported total. Together the hosts then reach the desired total in one
    step, however late the report is. A part of the new limit is the even share, so that the limits
    of the hosts converge.

    The limit, and not the reported load, bounds a host: if hosts acted on a load that is some
    seconds old, all of them would fill and empty a target together. Late first tokens and failures
    shrink the limit too, because a target may report no load or a false one.
    """

    def __init__(self, capacity: int, hosts: int, rounding_offset: float) -> None:
        self._capacity = capacity
        self._hosts = hosts
        self._rounding_offset = rounding_offset
        # A target that reports no load must not lose all its work because it looked slow to every
        # host: then no answer would show that it has recovered.
        self._min_value = min(1.0, capacity / hosts)
        self._is_reported = False
        self._best_ratio = 1.0
        self._shrunk_until = 0.0
        self._ceiling = float(capacity)
        self._ceiling_until = 0.0
        self.value = 0.0
        self._set(INITIAL_SHARES * capacity / hosts, 0.0)

    def slots(self, share: float) -> int:
        """Return the limit as an integer; ``share`` of it may be used now.

        The fraction is rounded by an offset that stays the same for this host and target, so that
        the rounded limits of the hosts add up to about the desired total without oscillating.
        """
        return int(self.value * share + self._rounding_offset)

    def even_slots(self) -> int:
        """Return about this host's even share of the capacity, rounded as in ``slots``."""
        return int(EVEN_SHARE_FACTOR * self._capacity / self._hosts + self._rounding_offset)

    def resize(self, capacity: int) -> None:
        """Apply a changed capacity."""
        if capacity != self._capacity:
            self.value *= capacity / self._capacity
            self._capacity = capacity

    def report(self, load: Load, desired: float, own: OwnRequests, hosts: int, now: float) -> None:
        """Apply a load report of a target that should have ``desired`` requests.

        ``own`` are this host's requests at the time of the report.
        """
        self._is_reported = True
        self._min_value = MIN_REPORTED_LIMIT
        total = max(1.0, float(load.running + load.waiting))
        # Only the bounded requests can be reduced to free capacity.
        factor = max(0.0, (desired / total - own.unbounded_share) / (1.0 - own.unbounded_share))
        if factor < 1.0:
            share = (
                1.0 - EVEN_SHARE_WEIGHT
            ) * own.bounded * factor + EVEN_SHARE_WEIGHT * desired * factor / hosts
            self._move_towards(min(self.value, share), now)
        elif own.bounded >= self.value * MIN_USED_SHARE or self.value < 1.0:
            self._move_towards(self.value * min(MAX_GROWTH_FACTOR, factor) + GROWTH_STEP, now)

    def _move_towards(self, value: float, now: float) -> None:
        self._set(self.value + LIMIT_SMOOTHING * (value - self.value), now)

    def observe_first_token(
        self, predicted_s: float, seconds: float, in_flight: int, now: float
    ) -> bool:
        """Apply a time to first token; return whether it indicates a queue.

        ``predicted_s`` is the predicted time without any queue, in seconds.
        """
        ratio = seconds / max(predicted_s, 1e-6)
        self._best_ratio = min(ratio, self._best_ratio * BEST_RATIO_DECAY)
        late_s = seconds - predicted_s * self._best_ratio
        if ratio <= CONGESTION_RATIO * self._best_ratio or late_s <= MIN_CONGESTION_DELAY_S:
            if not self._is_reported and in_flight + 1 >= self.slots(1.0):
                self._set(self.value + GROWTH_STEP / max(1.0, self.value), now)
            return False
        # A queue caused by other hosts is no reason to limit capacity that this host does not use.
        return in_flight + 1 >= self.value * MIN_USED_SHARE

    def shrink(self, hold_s: float, now: float, failed: bool = False) -> None:
        """Shrink the limit, but only once for all requests sent before the last shrink."""
        if now < self._shrunk_until:
            return
        self._shrunk_until = now + hold_s
        self._set(
            self.value * (FAILURE_DECREASE_FACTOR if failed else CONGESTION_DECREASE_FACTOR), now
        )

    def cap_at_rejection(self, in_flight: int, until: float, now: float) -> None:
        """Record that the target rejected a request while other requests of this host were there.

        ``in_flight`` is the number of those others that the limit applies to. The limit does not
        grow past it before ``until``, in monotonic seconds.
        """
        self._ceiling = float(in_flight)
        self._ceiling_until = until
        self._set(self.value, now)

    def cap_at_even_share(self, in_flight: int, until: float, now: float) -> None:
        """Cap the limit at this host's even share of the target, ``until`` in monotonic seconds.

        If more requests are ``in_flight``, their number is the cap instead. The cap of a target
        that rejected a request takes precedence.
        """
        if now < self._ceiling_until:
            return
        self._ceiling = max(float(in_flight), self._capacity / self._hosts)
        self._ceiling_until = until
        self._set(self.value, now)

    def _set(self, value: float, now: float) -> None:
        max_value = self._ceiling if now < self._ceiling_until else float(self._capacity)
        self.value = max(self._min_value, min(max_value, value))
