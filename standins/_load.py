"""Report load with a lag."""

from collections import deque
from typing import NamedTuple, TypedDict

MOST_SAMPLES = 4096


class LoadReport(TypedDict):
    """Tell the load as it was ``at`` wall seconds."""

    running: int
    waiting: int
    at: float


class _Sample(NamedTuple):
    at: float
    running: int
    waiting: int


class LaggingLoad:
    """Remember samples and report the newest that is at least ``lag_s`` old."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._samples: deque[_Sample] = deque(maxlen=MOST_SAMPLES)

    def record(self, running: int, waiting: int, at: float) -> None:
        """Remember the load at one moment."""
        self._samples.append(_Sample(at, running, waiting))

    def report(self, at: float) -> LoadReport:
        """Return the load as it looked ``lag_s`` before ``at``; idle before any sample."""
        until = at - self._lag_s
        while len(self._samples) > 1 and self._samples[1].at <= until:
            self._samples.popleft()
        if not self._samples or self._samples[0].at > until:
            return {"running": 0, "waiting": 0, "at": until}
        oldest = self._samples[0]
        return {"running": oldest.running, "waiting": oldest.waiting, "at": until}
