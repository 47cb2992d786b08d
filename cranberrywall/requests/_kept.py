"""Choose which kept answers to forget: by age, by number and by bytes."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

NameKey = tuple[str, str]


class KeepLimits(NamedTuple):
    """Limit what is kept: seconds, number and bytes."""

    seconds: float = 300.0
    number: int = 4096
    size_bytes: int = 64 * 1024 * 1024


class _Kept(NamedTuple):
    key: NameKey
    size_bytes: int
    kept_at: float


class KeptAnswers:
    """Queue the keys of answers in the order in which they were kept.

    >>> kept = KeptAnswers(KeepLimits(seconds=10.0, number=2))
    >>> for number in range(3):
    ...     kept.add(("desk", str(number)), 100, now=0.0)
    >>> list(kept.take_old(now=0.0))
    [('desk', '0')]
    >>> list(kept.take_old(now=11.0))
    [('desk', '1'), ('desk', '2')]
    """

    def __init__(self, limits: KeepLimits) -> None:
        self._limits = limits
        self._queue: deque[_Kept] = deque()
        self._bytes = 0

    def add(self, key: NameKey, size_bytes: int, now: float) -> None:
        """Keep one more answer; a key is added once."""
        self._queue.append(_Kept(key, size_bytes, now))
        self._bytes += size_bytes

    def take_old(self, now: float) -> Iterator[NameKey]:
        """Yield the keys to forget now."""
        while self._queue and self._is_over(self._queue[0], now):
            oldest = self._queue.popleft()
            self._bytes -= oldest.size_bytes
            yield oldest.key

    def _is_over(self, oldest: _Kept, now: float) -> bool:
        limits = self._limits
        if len(self._queue) > limits.number or self._bytes > limits.size_bytes:
            return True
        return now - oldest.kept_at > limits.seconds
