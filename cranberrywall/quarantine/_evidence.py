"""Hold which requests targets were at as they ended, as reported by all hosts.

Times are monotonic seconds of this host.
"""

from collections.abc import Sequence

from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._judgement import Weights
from cranberrywall.targets import TargetIncarnation

KEPT_S = 3600.0
"""What is known of a target's end is kept so long, in seconds: a request that comes twice an hour
and ends a target each time is found."""

MOST_ENDINGS = 256
"""Ends of targets that are kept at most; the oldest go first."""

MOST_JUDGED = 64
"""The newest ends that are weighed together: they are what a burst leaves, and bound its cost."""


class _Known:
    __slots__ = ("heard_at", "is_told_by_us", "weight_by_fingerprint")

    def __init__(self, now: float) -> None:
        self.heard_at = now
        self.is_told_by_us = False
        self.weight_by_fingerprint: dict[Fingerprint, float] = {}


class Evidence:
    """Hold the ends of targets, oldest first."""

    def __init__(self) -> None:
        self._by_incarnation: dict[TargetIncarnation, _Known] = {}
        self._starts_by_fingerprint: dict[Fingerprint, set[TargetIncarnation]] = {}

    def __len__(self) -> int:
        return len(self._by_incarnation)

    def add(
        self, start: TargetIncarnation, weights: Weights, now: float
    ) -> Sequence[TargetIncarnation]:
        """Take in a host's report; return what this host told of ends forgotten to make room."""
        known = self._by_incarnation.setdefault(start, _Known(now))
        for fingerprint, weight in weights.items():
            held = known.weight_by_fingerprint.get(fingerprint, 0.0)
            known.weight_by_fingerprint[fingerprint] = max(held, weight)
            self._starts_by_fingerprint.setdefault(fingerprint, set()).add(start)
        spare = len(self._by_incarnation) - MOST_ENDINGS
        return self._forget(list(self._by_incarnation)[: max(0, spare)])

    def knows(self, start: TargetIncarnation) -> bool:
        """Say whether the end of this start of a target is known already."""
        return start in self._by_incarnation

    def tell(self, start: TargetIncarnation) -> bool:
        """Say whether this host's own report is due, and take it as told from now on."""
        known = self._by_incarnation.get(start)
        if known is None:
            return True
        was_told, known.is_told_by_us = known.is_told_by_us, True
        return not was_told

    def starts_of(self, fingerprint: Fingerprint) -> Sequence[TargetIncarnation]:
        """Return the targets that ended under a request."""
        return sorted(self._starts_by_fingerprint.get(fingerprint, ()))

    def clear(self, fingerprint: Fingerprint) -> None:
        """Forget what speaks against a request."""
        for start in self._starts_by_fingerprint.pop(fingerprint, ()):
            self._by_incarnation[start].weight_by_fingerprint.pop(fingerprint, None)

    def newest(self) -> Sequence[Weights]:
        """Return the weights of the newest ends."""
        newest = list(self._by_incarnation.values())[-MOST_JUDGED:]
        return [known.weight_by_fingerprint for known in newest]

    def forget_old(self, now: float) -> Sequence[TargetIncarnation]:
        """Forget the ends that are too long ago; return those of which this host told."""
        old = [
            start for start, known in self._by_incarnation.items() if now - known.heard_at > KEPT_S
        ]
        return self._forget(old)

    def _forget(self, starts: Sequence[TargetIncarnation]) -> Sequence[TargetIncarnation]:
        told: list[TargetIncarnation] = []
        for start in starts:
            known = self._by_incarnation.pop(start)
            if known.is_told_by_us:
                told.append(start)
            for fingerprint in known.weight_by_fingerprint:
                others = self._starts_by_fingerprint[fingerprint]
                others.discard(start)
                if not others:
                    del self._starts_by_fingerprint[fingerprint]
        return told
