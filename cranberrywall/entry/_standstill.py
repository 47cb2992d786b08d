"""Notice that this process stood still, and hold requests until it has caught up."""

import asyncio
from collections.abc import Awaitable, Callable

from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

LOOK_EVERY_S = 0.25

STOOD_STILL_S = 1.0
"""A process that did not look at the time for so long more than it meant to stood still.

It is well under the time that a change has until it must be in force everywhere, and over what a
busy host is late by."""


class StallDetector:
    """Compare the clocks again and again; ``settle`` waits where they show a gap.

    A host that is frozen for some seconds finds callers' requests waiting when it wakes, and would
    serve them by the configuration and the targets of before: it hears of what changed only after
    them. A machine that was suspended does not see the gap on its steady clock; the time of day
    shows it. A step of that clock alone costs one needless question.
    """

    def __init__(self, clock: Clock, catch_up: Callable[[], Awaitable[None]]) -> None:
        """``catch_up`` asks what changed, and ends within a bounded time in any case."""
        self._clock = clock
        self._catch_up = catch_up
        self._looked_at = clock.now()
        self._wall_offset = clock.wall() - clock.now()
        self._catching_up: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Look at the clocks, until cancelled."""
        while True:
            await self._clock.sleep(LOOK_EVERY_S)
            self._look(self._clock.now(), self._clock.wall())

    async def settle(self, now: float, wall: float) -> None:
        """Return at once, or, just after a standstill, once this host has caught up."""
        self._look(now, wall)
        if self._catching_up is not None:
            # A caller that leaves must not end it for the others.
            await asyncio.shield(self._catching_up)

    def _look(self, now: float, wall: float) -> None:
        gap_s = max(now - self._looked_at, abs(wall - now - self._wall_offset))
        self._looked_at = now
        self._wall_offset = wall - now
        if gap_s <= STOOD_STILL_S or self._catching_up is not None:
            return
        log_event("WARNING", "stood_still", seconds=gap_s)
        self._catching_up = asyncio.get_running_loop().create_task(self._run_catch_up())

    async def _run_catch_up(self) -> None:
        began_at = self._clock.now()
        try:
            await self._catch_up()
        finally:
            self._catching_up = None
        log_event("INFO", "caught_up", seconds=self._clock.now() - began_at)
