"""Put an entry host together for the users' platform, and run it."""

import asyncio

from cranberrywall.commands._entry_program import EntryProgram
from cranberrywall.observability import StateRegistry, log_event
from cranberrywall.platform._boot import Boot, fleet_keys, settings_of
from cranberrywall.platform._front import PlatformFront
from cranberrywall.platform._running import run_program
from cranberrywall.platform._stop_times import stop_times
from cranberrywall.routing import RetryLimits
from cranberrywall.runtime import make_runtime

HAND_BACK_SHARE = 0.1
"""Share of the time to stop in which money is handed back: some round trips to control.

Where the ledger is out of reach the host would be killed in the middle of stopping otherwise."""

RETRIES_KEPT_BACK = 0.8
"""Share of the fleet's bound on retries that hosts use: their clocks and windows differ."""

LEAST_SHARERS = 10
"""Hosts that share what the bound allows beyond its share of requests, at least.

A host that has just started knows of few others."""


class _Program:
    """Run an entry host that drains before it stops, within the time that it is given."""

    def __init__(self, boot: Boot) -> None:
        runtime = make_runtime(boot.data or None)
        self._boot = boot
        self._clock = runtime.clock
        self._stop_times = stop_times(boot.grace_s)
        self._stopping_since: float | None = None
        self._program = EntryProgram(
            settings_of(boot, "entry"),
            runtime,
            fleet_keys(),
            PlatformFront(boot, runtime.clock),
            _retry_limits(boot),
            self._hand_back_s,
        )

    @property
    def state(self) -> StateRegistry:
        return self._program.state

    async def start(self) -> None:
        await self._program.start()

    async def stop(self) -> None:
        self._stopping_since = self._clock.now()
        try:
            async with asyncio.timeout(self._stop_times.listen_s):
                await self._program.drain()
        except TimeoutError:
            log_event("INFO", "callers_still_come")
        await self._program.stop()

    def _hand_back_s(self) -> float:
        now = self._clock.now()
        since = now if self._stopping_since is None else self._stopping_since
        remaining_s = since + self._stop_times.hand_back_s - now
        return max(0.0, min(HAND_BACK_SHARE * self._boot.grace_s, remaining_s))


def _retry_limits(boot: Boot) -> RetryLimits:
    # Each host keeps to its own part, so that the parts add up to the bound however the
    # requests are spread over the hosts.
    return RetryLimits(
        share=RETRIES_KEPT_BACK * boot.retry_share,
        max_saved=RETRIES_KEPT_BACK * boot.retry_slack,
        interval_s=float("inf"),
        min_hosts=LEAST_SHARERS,
    )


def main() -> None:
    """Run an entry host until SIGTERM."""
    run_program("entry", _Program)
