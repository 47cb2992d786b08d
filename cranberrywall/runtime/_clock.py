"""System implementation of the clock interface."""

import asyncio
import time

from cranberrywall.runtime._interfaces import Clock


def make_clock() -> Clock:
    """Return a clock that reads the system's monotonic and wall clocks."""
    return _SystemClock()


class _SystemClock:
    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
