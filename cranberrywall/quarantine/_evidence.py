"""Requests that ran at each target when it ended, as reported by all hosts.

Times are monotonic seconds of this host.
"""

from collections.abc import Mapping, Sequence

from cranberrywall.quarantine._fingerprint import Fingerprint
from cranberrywall.quarantine._inference import Weights
from cranberrywall.targets import TargetIncarnation

ENDING_RETENTION_S = 3600.0
"""Retention of the evidence of a target's end, in seconds. It is long enough to detect a request
that arrives twice an hour and ends a target each time."""

MAX_ENDINGS = 256
"""Maximum number of ends of targets; the oldest are evicted first."""

MAX_EVALUATED = 64
"""Maximum number of ends that are evaluated together. The newest ones are what a burst leaves, and
the limit bounds the cost."""


class _EndingRecord:
    __slots__ = ("received_at", "is_reported_by_us", "weight_by_fingerprint")

    def __init__(self, now: float) -> None:
        self.received_at = now
        self.is_reported_by_us = False
        self.weight_by_fingerprint: dict[Fingerprint, float] = {}


class Evidence:
    """Ends of targets with the requests that ran there, oldest first."""

    def __init__(self) -> None:
        self._by_incarnation: dict[TargetIncarnation, _EndingRecord] = {}
        self._incarnations_by_fingerprint: dict[Fingerprint, set[TargetIncarnation]] = {}

    def __len__(self) -> int:
        return len(self._by_incarnation)

    def add(
        self, incarnation: TargetIncarnation, weights: Weights, now: float
    ) -> Sequence[TargetIncarnation]:
        """Add a host's report; return the evicted ends that this host had reported."""
        record = self._by_incarnation.setdefault(incarnation, _EndingRecord(now))
        for fingerprint, weight in weights.items():
            weight_before = record.weight_by_fingerprint.get(fingerprint, 0.0)
            record.weight_by_fingerprint[fingerprint] = max(weight_before, weight)
            self._incarnations_by_fingerprint.setdefault(fingerprint, set()).add(incarnation)
        excess = len(self._by_incarnation) - MAX_ENDINGS
        return self._remove(list(self._by_incarnation)[: max(0, excess)])

    def has_ending(self, incarnation: TargetIncarnation) -> bool:
        """Return whether the end of a target's incarnation is recorded."""
        return incarnation in self._by_incarnation

    def mark_reported(self, incarnation: TargetIncarnation) -> bool:
        """Return whether this host has yet to report an end, and mark it as reported."""
        record = self._by_incarnation.get(incarnation)
        if record is None:
            return True
        was_reported, record.is_reported_by_us = record.is_reported_by_us, True
        return not was_reported

    def incarnations_of(self, fingerprint: Fingerprint) -> Sequence[TargetIncarnation]:
        """Return the incarnations of targets that ended while they ran a request."""
        return sorted(self._incarnations_by_fingerprint.get(fingerprint, ()))

    def clear(self, fingerprint: Fingerprint) -> None:
        """Remove the evidence against a request."""
        for incarnation in self._incarnations_by_fingerprint.pop(fingerprint, ()):
            self._by_incarnation[incarnation].weight_by_fingerprint.pop(fingerprint, None)

    def clear_endings(self, fingerprint: Fingerprint) -> None:
        """Remove the evidence of all ends under a request, which explains them."""
        for incarnation in self.incarnations_of(fingerprint):
            weight_by_fingerprint = self._by_incarnation[incarnation].weight_by_fingerprint
            for beside in weight_by_fingerprint:
                self._unlink(beside, incarnation)
            weight_by_fingerprint.clear()

    def newest(self) -> Mapping[TargetIncarnation, Weights]:
        """Return the weights of the newest ends."""
        newest = list(self._by_incarnation.items())[-MAX_EVALUATED:]
        return {incarnation: record.weight_by_fingerprint for incarnation, record in newest}

    def remove_expired(self, now: float) -> Sequence[TargetIncarnation]:
        """Remove the ends that are too old; return those that this host had reported."""
        old = [
            incarnation
            for incarnation, record in self._by_incarnation.items()
            if now - record.received_at > ENDING_RETENTION_S
        ]
        return self._remove(old)

    def _remove(self, incarnations: Sequence[TargetIncarnation]) -> Sequence[TargetIncarnation]:
        reported: list[TargetIncarnation] = []
        for incarnation in incarnations:
            record = self._by_incarnation.pop(incarnation)
            if record.is_reported_by_us:
                reported.append(incarnation)
            for fingerprint in record.weight_by_fingerprint:
                self._unlink(fingerprint, incarnation)
        return reported

    def _unlink(self, fingerprint: Fingerprint, incarnation: TargetIncarnation) -> None:
        incarnations = self._incarnations_by_fingerprint[fingerprint]
        incarnations.discard(incarnation)
        if not incarnations:
            del self._incarnations_by_fingerprint[fingerprint]
