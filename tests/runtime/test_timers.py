"""Tests of timers and timeouts on the clock of the runtime."""

import asyncio

import pytest

from cranberrywall.runtime import Timers
from tests.fakes.clock import ManualClock, VirtualClock, run_virtual


async def test_callbacks_run_in_the_order_of_their_times():
    clock = ManualClock()
    timers = Timers(clock)
    ran: list[float] = []
    for after in (3.0, 1.0, 2.0):
        timers.call_at(clock.now() + after, lambda: ran.append(clock.now() - 1000.0))
    timers.call_at(clock.now() + 1.5, lambda: ran.append(-1.0)).cancel()
    await clock.advance(2.0)
    assert ran == [1.0, 2.0]
    timers.call_at(clock.now() + 0.5, lambda: ran.append(clock.now() - 1000.0))
    await clock.advance(5.0)
    assert ran == [1.0, 2.0, 2.5, 3.0]
    timers.call_at(clock.now() + 1.0, lambda: ran.append(-2.0))
    timers.close()
    await clock.advance(5.0)
    assert ran == [1.0, 2.0, 2.5, 3.0]


async def test_a_callback_may_add_a_timer_that_is_due_immediately():
    clock = ManualClock()
    timers = Timers(clock)
    ran: list[str] = []

    def first() -> None:
        timers.call_at(clock.now(), lambda: ran.append("second"))
        ran.append("first")

    timers.call_at(clock.now() + 1.0, first)
    await clock.advance(1.0)
    assert ran == ["first", "second"]


async def test_cancelled_timers_are_removed():
    timers = Timers(ManualClock())
    kept = timers.call_at(1e9, lambda: None)
    for number in range(10_000):
        timers.call_at(1e9 + number, lambda: None).cancel()
    assert len(timers._heap) < 1000
    assert kept.callback is not None
    timers.close()


def test_a_block_is_ended_at_its_limit_and_not_before():
    async def main() -> None:
        clock = VirtualClock()
        timers = Timers(clock)
        async with timers.limit(2.0):
            await clock.sleep(1.0)
        with pytest.raises(TimeoutError):
            async with timers.limit(2.0):
                await clock.sleep(3.0)
        assert clock.now() == 3.0

    run_virtual(main())


def test_a_cancellation_from_outside_is_not_taken_for_the_limit():
    async def main() -> None:
        clock = VirtualClock()
        timers = Timers(clock)

        async def work() -> None:
            async with timers.limit(1.0):
                await clock.sleep(5.0)

        task = asyncio.ensure_future(work())
        # The timeout and the cancellation occur at the same time. The task must end as
        # cancelled, because the caller that cancelled it waits for that.
        timers.call_at(clock.now() + 1.0, task.cancel)
        with pytest.raises(asyncio.CancelledError):
            await task

    run_virtual(main())


def test_time_limits_of_calls_that_ended_wake_nobody():
    """A process woke up once for each call it had made, at the time limit of the call."""

    class CountingClock(VirtualClock):
        sleeps = 0

        async def sleep(self, seconds: float) -> None:
            self.sleeps += 1
            await super().sleep(seconds)

    async def main() -> int:
        clock = CountingClock()
        timers = Timers(clock)
        for _ in range(100):
            async with timers.limit(2.0):
                await asyncio.sleep(0.01)
        await asyncio.sleep(10.0)
        return clock.sleeps

    assert run_virtual(main()) <= 2
