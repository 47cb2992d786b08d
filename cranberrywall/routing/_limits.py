"""Bound this host's requests in flight at a target by what the target is seen to bear."""

from typing import NamedTuple

from cranberrywall.targets import Load

LEAST_REPORTED = 0.1
"""The smallest limit at a target that reports its load; the hosts' fractions add up."""

SMOOTHING = 0.5
"""Part of the way that a limit goes with each report."""

EVENING = 0.3
"""Weight of equal shares in what a report of a full target asks for."""

MOST_GROWTH = 1.5
GROWTH = 0.1
"""A limit in use grows by at most this factor and this constant where there is room."""

USED_SHARE = 0.5
"""A limit of which less than this share is in use neither grows nor causes a queue."""

START_SHARES = 2.0
"""A limit starts at this many equal shares of the capacity."""

FAILURE_DECREASE = 0.7
CONGESTION_DECREASE = 0.85

CONGESTED_RATIO = 3.0
"""A first token that takes this many times as long as the best lately shows a queue."""

CONGESTED_S = 1.0
"""Seconds that a first token must be late before it shows a queue."""

BEST_FORGETS = 1.01
"""The best seen is forgotten by this factor with each observation."""


class Own(NamedTuple):
    """Describe this host's requests at a target.

    ``bounded`` are those that the limit holds for; ``unbounded_share``, 0 to below 1, is
    the usual share of the others, which are of the first rank.
    """

    bounded: int
    unbounded_share: float


class ConcurrencyLimit:
    """Follow this host's share of a target's capacity.

    Hosts share a target without asking each other. A report counts what all of them had
    there; each takes what it had itself at that time, scaled by what was wanted over what
    was reported. Together that makes what was wanted, in one step and however late the
    report is. A part goes to equal shares, so that the limits even out.

    A limit and not the reported load bounds a host: the load of some seconds ago would make
    all hosts fill and empty a target together. First tokens that come late, and failures,
    shrink the limit too, since a target may report nothing, or untruly.
    """

    def __init__(self, capacity: int, hosts: int, draw: float) -> None:
        self._capacity = capacity
        self._hosts = hosts
        self._draw = draw
        # A target that reports nothing must not end without any work because it looked
        # slow to all: nothing would show that it is well again.
        self._least = min(1.0, capacity / hosts)
        self._is_reported = False
        self._best = 1.0
        self._shrunk_until = 0.0
        self._ceiling = float(capacity)
        self._ceiling_until = 0.0
        self.value = 0.0
        self._set(START_SHARES * capacity / hosts, 0.0)

    def places(self, share: float) -> int:
        """Return the limit as a whole number; ``share`` of it is in use for now.

        The fraction is rounded by a draw that stays the same for this host and target, so
        that the hosts' places add up to about what is wanted without swinging.
        """
        return int(self.value * share + self._draw)

    def resize(self, capacity: int) -> None:
        """Take in a changed capacity."""
        if capacity != self._capacity:
            self.value *= capacity / self._capacity
            self._capacity = capacity

    def report(self, load: Load, wanted: float, own: Own, hosts: int, now: float) -> None:
        """Take in a report of a target that should have ``wanted`` requests.

        ``own`` were this host's at the time of the report.
        """
        self._is_reported = True
        self._least = LEAST_REPORTED
        total = max(1.0, float(load.running + load.waiting))
        # Only the bounded requests can make room for the others.
        factor = max(0.0, (wanted / total - own.unbounded_share) / (1.0 - own.unbounded_share))
        if factor < 1.0:
            share = (1.0 - EVENING) * own.bounded * factor + EVENING * wanted * factor / hosts
            self._approach(min(self.value, share), now)
        elif own.bounded >= self.value * USED_SHARE or self.value < 1.0:
            self._approach(self.value * min(MOST_GROWTH, factor) + GROWTH, now)

    def _approach(self, value: float, now: float) -> None:
        self._set(self.value + SMOOTHING * (value - self.value), now)

    def answered(self, predicted_s: float, seconds: float, in_flight: int, now: float) -> bool:
        """Take in a time to first token; return whether it shows a queue.

        ``predicted_s`` is without any queue.
        """
        ratio = seconds / max(predicted_s, 1e-6)
        self._best = min(ratio, self._best * BEST_FORGETS)
        late_s = seconds - predicted_s * self._best
        if ratio <= CONGESTED_RATIO * self._best or late_s <= CONGESTED_S:
            if not self._is_reported and in_flight + 1 >= self.places(1.0):
                self._set(self.value + GROWTH / max(1.0, self.value), now)
            return False
        # A queue that others made is no reason to bound what this host doesn't use.
        return in_flight + 1 >= self.value * USED_SHARE

    def shrink(self, hold_s: float, now: float, failed: bool = False) -> None:
        """Shrink, once for all that was sent before the last time took effect."""
        if now < self._shrunk_until:
            return
        self._shrunk_until = now + hold_s
        self._set(self.value * (FAILURE_DECREASE if failed else CONGESTION_DECREASE), now)

    def filled(self, in_flight: int, until: float, now: float) -> None:
        """Take in that the target turned a request away while this host had others there.

        ``in_flight`` are those others, as far as the limit holds for them. The limit does not grow
        past that ``until`` then, in monotonic seconds.
        """
        self._ceiling = float(in_flight)
        self._ceiling_until = until
        self._set(self.value, now)

    def keep_to_share(self, in_flight: int, until: float, now: float) -> None:
        """Keep to this host's even share of the target ``until`` then, in monotonic seconds.

        Where there are more requests ``in_flight``, that many stay allowed. What is known of a
        full target goes before.
        """
        if now < self._ceiling_until:
            return
        self._ceiling = max(float(in_flight), self._capacity / self._hosts)
        self._ceiling_until = until
        self._set(self.value, now)

    def _set(self, value: float, now: float) -> None:
        highest = self._ceiling if now < self._ceiling_until else float(self._capacity)
        self.value = max(self._least, min(highest, value))
