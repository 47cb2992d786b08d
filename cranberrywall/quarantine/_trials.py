"""Trials of held patterns: single requests that show whether a pattern still ends targets.

A pattern that was held wrongly may be in most prompts, and a refused prompt is never answered. So
one host sends a single request with the pattern a little later, and another one long after. A whole
answer releases the pattern. Times are monotonic seconds of this host.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from cranberrywall.observability import log_event
from cranberrywall.quarantine._fingerprint import Fingerprint

TRIAL_DELAYS_S = (2.0, 60.0)
"""Delays of the trials after the decision, in seconds. Each costs one target if the pattern was
held rightly."""


class _Trial(NamedTuple):
    at: float
    host: str


class Trials:
    """Grant the trials that are this host's, of those that are due after its start."""

    def __init__(self, host: str, started_at: float) -> None:
        self._host = host
        self._started_at = started_at
        self._planned_by_pattern: dict[Fingerprint, list[_Trial]] = {}
        self._granted_by_pattern: dict[Fingerprint, Fingerprint] = {}

    def plan(self, pattern: Fingerprint, reporters: Iterable[str], now: float) -> None:
        """Plan the trials of a pattern that is held since ``now``.

        All hosts choose the same ones among the ``reporters`` of ended targets.
        """
        if pattern in self._planned_by_pattern:
            return
        ordered = sorted(
            set(reporters), key=lambda host: xxhash.xxh64_digest(host.encode(), seed=pattern[0])
        )
        self._planned_by_pattern[pattern] = [
            _Trial(now + delay_s, ordered[number % len(ordered)])
            for number, delay_s in enumerate(TRIAL_DELAYS_S)
            if ordered and now + delay_s >= self._started_at
        ]

    def drop(self, pattern: Fingerprint) -> None:
        """Drop the trials of a pattern that is no longer held."""
        self._planned_by_pattern.pop(pattern, None)
        self._granted_by_pattern.pop(pattern, None)

    def grants(self, pattern: Fingerprint, request: Fingerprint, now: float) -> bool:
        """Return whether a request may be sent as a trial of a pattern."""
        if self._granted_by_pattern.get(pattern) == request:
            return True
        planned = self._planned_by_pattern.get(pattern, [])
        if not planned or now < planned[0].at:
            return False
        trial = planned.pop(0)
        if trial.host != self._host:
            return False
        self._granted_by_pattern[pattern] = request
        log_event("INFO", "prompt_part_tried", fingerprint=request.hex(), pattern=pattern.hex())
        return True
