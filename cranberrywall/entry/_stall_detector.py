"""Detection of process stalls; requests are held until the host has caught up."""

import asyncio
from collections.abc import Awaitable, Callable

from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

CHECK_INTERVAL_S = 0.25
"""Interval between two checks of the clocks, in seconds."""

STALL_THRESHOLD_S = 1.0
"""Gap between two checks of the clocks from which on the process was stalled, in seconds.

It is well below the time within which a change must be active at all hosts, and above the delay of
the checks on a busy host."""


class StallDetector:
    """Check the clocks periodically; ``settle`` waits if they show a gap.

    When a process resumes after a pause of some seconds, callers' requests are already queued. It
    would serve them with an outdated configuration and outdated targets, because it receives the
    updates only after them. The monotonic clock does not count the time for which a machine was
    suspended, so the wall clock is checked as well. A step of the wall clock alone causes one
    unnecessary catch-up.
    """

    def __init__(self, clock: Clock, catch_up: Callable[[], Awaitable[None]]) -> None:
        """``catch_up`` fetches what changed, and always ends within a bounded time."""
        self._clock = clock
        self._catch_up = catch_up
        self._checked_at = clock.now()
        self._wall_offset = clock.wall() - clock.now()
        self._catch_up_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Check the clocks periodically, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            self._check(self._clock.now(), self._clock.wall())

    async def settle(self, now: float, wall: float) -> None:
        """Return immediately, or once this host has caught up if a stall was detected."""
        self._check(now, wall)
        if self._catch_up_task is not None:
            # If this request is cancelled, the catch-up must continue for the other requests.
            await asyncio.shield(self._catch_up_task)

    def _check(self, now: float, wall: float) -> None:
        gap_s = max(now - self._checked_at, abs(wall - now - self._wall_offset))
        self._checked_at = now
        self._wall_offset = wall - now
        if gap_s <= STALL_THRESHOLD_S or self._catch_up_task is not None:
            return
        log_event("WARNING", "stood_still", seconds=gap_s)
        self._catch_up_task = asyncio.get_running_loop().create_task(self._run_catch_up())

    async def _run_catch_up(self) -> None:
        started_at = self._clock.now()
        try:
            await self._catch_up()
        finally:
            self._catch_up_task = None
        log_event("INFO", "caught_up", seconds=self._clock.now() - started_at)
