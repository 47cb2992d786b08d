"""Load that admitted requests put on the link of this host."""

from collections import deque
from typing import NamedTuple

REQUEST_SHARE = 0.8
"""Share of the link that requests may use; the rest is for messages between hosts."""

MAX_QUEUE_S = 0.25
"""Time that the link may need for admitted requests before no more are admitted, in seconds.

It is the shortest time limit of calls to other hosts: a longer queue makes them all fail."""

RESUME_QUEUE_S = 0.1
"""Time from which on requests are admitted again, in seconds."""

HEAD_BYTES = 1000
"""Assumed size of a request's head and of its connection's packets, in bytes."""

MAX_ANNOUNCED_BYTES = 64 * 1024
"""Bytes of a body that count before they have arrived: its caller may never send it."""

MAX_COUNTED_S = 1.0
"""Longest time that is counted, in seconds: a few large bodies must not shut out all callers."""

FIRST_REQUEST_BYTES = 16_000
"""Assumed size of the request that a new connection brings, until its head has arrived."""

FIRST_REQUEST_S = 0.05
"""Time in which the head of that request is expected, in seconds."""


class LinkLimit(NamedTuple):
    """Bytes a second of the link; ``None`` if they are not known, and nothing is limited."""

    bytes_per_s: float | None


class LinkLoad:
    """Estimate how long the link needs for the requests that were admitted.

    Both directions share a link, and what a host receives it sends on: bytes of requests and of
    answers count twice. They drain at the rate of the link (a leaky bucket). A body counts from
    when its head arrives, which a measured queue would miss; the part of a large one that is beyond
    ``MAX_ANNOUNCED_BYTES`` counts once it has arrived.
    """

    def __init__(self, limit: LinkLimit, now: float) -> None:
        rate = limit.bytes_per_s
        self._bytes_per_s = None if rate is None else REQUEST_SHARE * rate
        self._bytes = 0.0
        self._drained_at = now
        self._accepted_at: deque[float] = deque()

    def record_accepted(self, now: float) -> None:
        """Record that a connection was accepted, which will bring a request."""
        if self._bytes_per_s is not None:
            self._accepted_at.append(now)

    def record_request(self, body_bytes: int, now: float) -> None:
        """Record a request whose head arrived and announces a body of ``body_bytes``."""
        if self._accepted_at:
            self._accepted_at.popleft()
        self._add(2 * (min(body_bytes, MAX_ANNOUNCED_BYTES) + HEAD_BYTES), now)

    def record_body(self, announced_bytes: int, body_bytes: int, now: float) -> None:
        """Record that a body has arrived; ``announced_bytes`` is 0 if its head had no size."""
        counted_bytes = min(announced_bytes, MAX_ANNOUNCED_BYTES)
        self._add(2 * max(0, body_bytes - counted_bytes), now)

    def record_answer(self, size: int, now: float) -> None:
        """Record ``size`` bytes of an answer."""
        self._add(2 * size, now)

    def queue_s(self, now: float) -> float:
        """Return the time that the link needs for what was recorded, in seconds."""
        if self._bytes_per_s is None:
            return 0.0
        while self._accepted_at and now - self._accepted_at[0] > FIRST_REQUEST_S:
            self._accepted_at.popleft()
        expected = 2 * FIRST_REQUEST_BYTES * len(self._accepted_at)
        return self._admitted_s(now) + expected / self._bytes_per_s

    def is_full(self, now: float) -> bool:
        """Return whether no further request should be admitted."""
        return self.queue_s(now) > MAX_QUEUE_S

    def resumes_in_s(self, now: float) -> float:
        """Return the time until requests should be admitted again, in seconds."""
        return max(0.0, self.queue_s(now) - RESUME_QUEUE_S)

    def _add(self, size: int, now: float) -> None:
        if self._bytes_per_s is None:
            return
        added_s = self._admitted_s(now) + size / self._bytes_per_s
        self._bytes = min(MAX_COUNTED_S, added_s) * self._bytes_per_s
        self._drained_at = now

    def _admitted_s(self, now: float) -> float:
        assert self._bytes_per_s is not None
        return max(0.0, self._bytes / self._bytes_per_s - (now - self._drained_at))
