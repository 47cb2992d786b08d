"""Test the measurement of a process's usage."""

import asyncio
from contextlib import suppress

from cranberrywall.entry import LoadMeter
from cranberrywall.observability import make_metrics
from tests.fakes.clock import VirtualClock, run_virtual


class _LateClock(VirtualClock):
    """Clock whose timers fire late."""

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = 0.0

    async def sleep(self, seconds: float) -> None:
        await super().sleep(seconds + self.delay_s)


def test_late_timers_and_processor_time_are_measured() -> None:
    """Without these, a slow link could not be told from a busy processor."""

    async def main() -> str:
        clock = _LateClock()
        meter = LoadMeter(clock, lambda: 0.5 * clock.now(), lambda: 3)
        metrics = make_metrics()
        meter.export(metrics)
        task = asyncio.create_task(meter.run())
        await asyncio.sleep(1.0)
        clock.delay_s = 0.25
        await asyncio.sleep(9.0)
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
        return metrics.render().decode()

    lines = run_virtual(main()).splitlines()
    value_by_name = dict(line.rsplit(" ", 1) for line in lines if not line.startswith("#"))
    assert abs(float(value_by_name["cranberrywall_processor_share"]) - 0.5) < 0.01
    assert abs(float(value_by_name["cranberrywall_timer_delay_seconds"]) - 0.25) < 0.01
