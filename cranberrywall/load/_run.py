"""Send a plan's requests at their times, with a bound on those in progress."""

import asyncio
from collections.abc import Callable, Sequence

import aiohttp

from cranberrywall.load._caller import Caller, CallerOptions, make_caller
from cranberrywall.load._outcomes import AnswerCheck, Outcome
from cranberrywall.load._plan import PlannedRequest
from cranberrywall.load._profile import Profile
from cranberrywall.runtime import Clock, Random


async def run_load(
    profile: Profile,
    plan: Sequence[PlannedRequest],
    clock: Clock,
    random: Random,
    check: AnswerCheck | None = None,
    on_outcome: Callable[[Outcome], None] | None = None,
) -> list[Outcome]:
    """Send every planned request and return the outcomes in the order of their ends."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15.0)
    async with aiohttp.ClientSession(connector=connector) as session:
        options = CallerOptions(
            entries=list(profile["entries"]),
            retries=profile["retries"],
            timeout_s=profile["timeout_s"],
            keep_addresses_s=profile.get("keep_addresses_s"),
        )
        callers = [
            make_caller(options, session, clock, random, check) for _ in range(profile["callers"])
        ]
        run = _Run(callers, profile["in_flight"], clock, on_outcome)
        return await run.send_all(plan)


class _Run:
    def __init__(
        self,
        callers: list[Caller],
        in_flight: int,
        clock: Clock,
        on_outcome: Callable[[Outcome], None] | None,
    ) -> None:
        self._callers = callers
        self._slots = asyncio.Semaphore(in_flight)
        self._clock = clock
        self._on_outcome = on_outcome
        self._outcomes: list[Outcome] = []

    async def send_all(self, plan: Sequence[PlannedRequest]) -> list[Outcome]:
        """Send each request at its time; the repeated ones twice at once."""
        started_at = self._clock.now()
        async with asyncio.TaskGroup() as group:
            for planned in plan:
                await self._wait_until(started_at + planned.at)
                for copy in range(2 if planned.repeat else 1):
                    await self._slots.acquire()
                    group.create_task(self._send(planned, copy, started_at + planned.at))
        return self._outcomes

    async def _wait_until(self, at: float) -> None:
        wait_s = at - self._clock.now()
        if wait_s > 0:
            await self._clock.sleep(wait_s)

    async def _send(self, planned: PlannedRequest, copy: int, due_at: float) -> None:
        caller = self._callers[(planned.number + copy) % len(self._callers)]
        try:
            outcome = await caller.send(planned, due_at)
        finally:
            self._slots.release()
        self._outcomes.append(outcome)
        if self._on_outcome is not None:
            self._on_outcome(outcome)
