"""Bytes that a host receives from its callers and sends to them."""

from collections.abc import Callable

from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Clock

LOG_INTERVAL_S = 1.0
"""Interval of the log lines about a host with many requests, in seconds."""

MIN_LOGGED_REQUESTS = 10
"""Number of requests in progress from which on the lines are logged."""


class CallerTraffic:
    """Count the bytes of requests and answers, without those of the protocols below HTTP."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._bytes_by_direction = {"received": 0, "sent": 0}

    def record_received(self, size: int) -> None:
        """Record ``size`` bytes of a request."""
        self._bytes_by_direction["received"] += size

    def record_sent(self, size: int) -> None:
        """Record ``size`` bytes of an answer."""
        self._bytes_by_direction["sent"] += size

    def export(self, metrics: Metrics) -> None:
        """Register the bytes of requests and answers with ``metrics``."""
        metrics.counters_of(
            "caller_bytes",
            "Bytes of callers' requests and of the answers to them.",
            "direction",
            lambda: self._bytes_by_direction,
        )

    async def run(self, in_progress: Callable[[], int]) -> None:
        """Log the bytes of each interval in which the host is busy, until cancelled."""
        while True:
            started_at, before = self._clock.now(), dict(self._bytes_by_direction)
            await self._clock.sleep(LOG_INTERVAL_S)
            running = in_progress()
            if running < MIN_LOGGED_REQUESTS:
                continue
            since = {name: now - before[name] for name, now in self._bytes_by_direction.items()}
            log_event(
                "INFO",
                "caller_traffic",
                span_s=self._clock.now() - started_at,
                received_bytes=since["received"],
                sent_bytes=since["sent"],
                in_progress=running,
            )
