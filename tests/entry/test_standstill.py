"""Notice a standstill, and hold requests until the host has caught up."""

import asyncio

from cranberrywall.entry import StallDetector
from tests.fakes.clock import ManualClock, settle


class CatchUp:
    """Take some time to catch up."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.begun: list[float] = []
        self.ended: list[float] = []

    async def __call__(self) -> None:
        self.begun.append(self.clock.now())
        await self.clock.sleep(0.2)
        self.ended.append(self.clock.now())


async def test_requests_that_waited_through_a_freeze_are_held_until_the_host_caught_up() -> None:
    clock = ManualClock()
    catch_up = CatchUp(clock)
    standstill = StallDetector(clock, catch_up)
    await standstill.settle(clock.now(), clock.wall())
    assert not catch_up.begun
    clock.step(4.0)
    held = [standstill.settle(clock.now(), clock.wall()) for _ in range(3)]
    tasks = [asyncio.create_task(one) for one in held]
    await settle()
    assert len(catch_up.begun) == 1
    assert not any(task.done() for task in tasks)
    await clock.advance(0.3)
    assert all(task.done() for task in tasks)
    assert len(catch_up.ended) == 1
    await standstill.settle(clock.now(), clock.wall())
    assert len(catch_up.begun) == 1


async def test_a_suspended_machine_is_noticed_by_the_time_of_day() -> None:
    """The steady clock does not count the time in which a machine was suspended."""
    clock = ManualClock()
    catch_up = CatchUp(clock)
    standstill = StallDetector(clock, catch_up)
    clock.wall_offset = 5.0
    waiting = asyncio.create_task(standstill.settle(clock.now(), clock.wall()))
    await settle()
    assert len(catch_up.begun) == 1
    await clock.advance(0.3)
    await waiting


async def test_a_host_that_looks_at_the_time_as_it_means_to_holds_nothing() -> None:
    clock = ManualClock()
    catch_up = CatchUp(clock)
    standstill = StallDetector(clock, catch_up)
    looking = asyncio.create_task(standstill.run())
    await clock.advance(30.0)
    await standstill.settle(clock.now(), clock.wall())
    assert not catch_up.begun
    looking.cancel()
