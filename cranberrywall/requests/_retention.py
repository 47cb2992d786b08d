"""Retention of answers, limited by age, number and size."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

NameKey = tuple[str, str]


class RetentionLimits(NamedTuple):
    """Limits on retained answers: age in seconds, number, and total size in bytes."""

    max_age_s: float = 300.0
    max_answers: int = 4096
    max_bytes: int = 64 * 1024 * 1024


class _RetainedAnswer(NamedTuple):
    key: NameKey
    size_bytes: int
    retained_at: float


class AnswerRetention:
    """Track the keys of retained answers, oldest first.

    >>> retained = AnswerRetention(RetentionLimits(max_age_s=10.0, max_answers=2))
    >>> for number in range(3):
    ...     retained.add(("desk", str(number)), 100, now=0.0)
    >>> list(retained.pop_expired(now=0.0))
    [('desk', '0')]
    >>> list(retained.pop_expired(now=11.0))
    [('desk', '1'), ('desk', '2')]
    """

    def __init__(self, limits: RetentionLimits) -> None:
        self._limits = limits
        self._queue: deque[_RetainedAnswer] = deque()
        self._bytes = 0

    def add(self, key: NameKey, size_bytes: int, now: float) -> None:
        """Add the key of an answer; each key may be added only once."""
        self._queue.append(_RetainedAnswer(key, size_bytes, now))
        self._bytes += size_bytes

    def pop_expired(self, now: float) -> Iterator[NameKey]:
        """Remove and yield the keys of the answers that exceed the limits."""
        while self._queue and self._exceeds_limits(self._queue[0], now):
            oldest = self._queue.popleft()
            self._bytes -= oldest.size_bytes
            yield oldest.key

    def _exceeds_limits(self, oldest: _RetainedAnswer, now: float) -> bool:
        limits = self._limits
        if len(self._queue) > limits.max_answers or self._bytes > limits.max_bytes:
            return True
        return now - oldest.retained_at > limits.max_age_s
