"""Measurement of how busy this process is: its processor time, and how late its timers fire."""

from collections.abc import Callable
from typing import NamedTuple

from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Clock

MEASURE_INTERVAL_S = 0.1
"""Interval at which the delay of timers is measured, in seconds."""

LOG_INTERVAL_S = 5.0
"""Interval of the log lines about usage, in seconds."""


class Usage(NamedTuple):
    """Usage of a process during ``span_s`` seconds.

    ``processor_share`` is the processor time in relation to that span; ``timer_delay_s`` is the
    longest time by which a timer fired late, in seconds.
    """

    span_s: float
    processor_share: float
    timer_delay_s: float


class LoadMeter:
    """Measure the usage of this process while ``run`` runs.

    ``processor_s`` returns the processor time that the process has used, in seconds, and
    ``in_progress`` the number of callers' requests in progress.
    """

    def __init__(
        self, clock: Clock, processor_s: Callable[[], float], in_progress: Callable[[], int]
    ) -> None:
        self._clock = clock
        self._processor_s = processor_s
        self._in_progress = in_progress
        self._usage = Usage(0.0, 0.0, 0.0)

    def export(self, metrics: Metrics) -> None:
        """Register the usage of the last complete interval with ``metrics``."""
        metrics.gauge_of(
            "processor_share",
            "Processor time used, in relation to the time that passed.",
            lambda: self._usage.processor_share,
        )
        metrics.gauge_of(
            "timer_delay_seconds",
            "Longest time by which a timer fired late in the last seconds.",
            lambda: self._usage.timer_delay_s,
        )

    async def run(self) -> None:
        """Measure and log the usage, until cancelled."""
        started_at, started_processor_s = self._clock.now(), self._processor_s()
        delay_s = 0.0
        while True:
            before = self._clock.now()
            await self._clock.sleep(MEASURE_INTERVAL_S)
            now = self._clock.now()
            delay_s = max(delay_s, now - before - MEASURE_INTERVAL_S)
            if now - started_at < LOG_INTERVAL_S:
                continue
            processor_s = self._processor_s()
            span_s = now - started_at
            self._record(Usage(span_s, (processor_s - started_processor_s) / span_s, delay_s))
            started_at, started_processor_s, delay_s = now, processor_s, 0.0

    def _record(self, usage: Usage) -> None:
        self._usage = usage
        log_event(
            "INFO",
            "process_usage",
            span_s=usage.span_s,
            processor_share=usage.processor_share,
            timer_delay_s=usage.timer_delay_s,
            in_progress=self._in_progress(),
        )
