"""Detection of stalls, and holding of requests until the host has caught up."""

import asyncio

from cranberrywall.entry import StallDetector
from tests.fakes.clock import ManualClock, settle


class CatchUp:
    """Catch up after some time, and record when this starts and ends."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.started: list[float] = []
        self.ended: list[float] = []

    async def __call__(self) -> None:
        self.started.append(self.clock.now())
        await self.clock.sleep(0.2)
        self.ended.append(self.clock.now())


async def test_requests_that_waited_through_a_stall_are_held_until_the_host_caught_up() -> None:
    clock = ManualClock()
    catch_up = CatchUp(clock)
    stall_detector = StallDetector(clock, catch_up)
    await stall_detector.settle(clock.now(), clock.wall())
    assert not catch_up.started
    clock.step(4.0)
    waiting_requests = [stall_detector.settle(clock.now(), clock.wall()) for _ in range(3)]
    tasks = [asyncio.create_task(one) for one in waiting_requests]
    await settle()
    assert len(catch_up.started) == 1
    assert not any(task.done() for task in tasks)
    await clock.advance(0.3)
    assert all(task.done() for task in tasks)
    assert len(catch_up.ended) == 1
    await stall_detector.settle(clock.now(), clock.wall())
    assert len(catch_up.started) == 1


async def test_a_suspended_machine_is_detected_by_the_wall_clock() -> None:
    """The monotonic clock does not count the time for which a machine was suspended."""
    clock = ManualClock()
    catch_up = CatchUp(clock)
    stall_detector = StallDetector(clock, catch_up)
    clock.wall_offset = 5.0
    waiting = asyncio.create_task(stall_detector.settle(clock.now(), clock.wall()))
    await settle()
    assert len(catch_up.started) == 1
    await clock.advance(0.3)
    await waiting


async def test_a_host_that_checks_the_time_on_schedule_holds_nothing() -> None:
    clock = ManualClock()
    catch_up = CatchUp(clock)
    stall_detector = StallDetector(clock, catch_up)
    checking = asyncio.create_task(stall_detector.run())
    await clock.advance(30.0)
    await stall_detector.settle(clock.now(), clock.wall())
    assert not catch_up.started
    checking.cancel()
