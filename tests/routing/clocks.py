"""Clock that tests move by hand."""

import asyncio


class ManualClock:
    def __init__(self, now: float = 0.0) -> None:
        self.time = now

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time

    async def sleep(self, seconds: float) -> None:
        until = self.time + seconds
        while self.time < until:
            await asyncio.sleep(0)
