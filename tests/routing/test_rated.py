"""Test the choice of targets and the queue while targets state limits of requests per second."""

import asyncio
import random
from typing import Any

from result import Err, Ok

from cranberrywall.rates import NO_RATE, RateNotice, make_standalone_rates
from cranberrywall.routing import Outcome, OutcomeKind, Slot, TargetRouter, make_router
from cranberrywall.targets import Announcement, DecimalField, make_targets
from tests.fakes.clock import VirtualClock, run_virtual
from tests.routing.configurations import FixedConfiguration
from tests.routing.demands import demand

ANSWERED = Outcome(OutcomeKind.ANSWERED, 0.1, 10)


class World:
    """The router of one host, with some targets of one service."""

    def __init__(self, targets: int, concurrent: int = 1000) -> None:
        self.clock = VirtualClock()
        self.targets = make_targets()
        random_source = random.Random(1)
        self.rates = make_standalone_rates(self.targets, self.clock, random_source)
        self.router: TargetRouter = make_router(
            self.targets,
            FixedConfiguration(concurrent),
            self.clock,
            random_source,
            "entry-1",
            "kranj",
            rates=self.rates,
        )
        for number in range(targets):
            url = f"http://10.0.0.1:{8000 + number}"
            name = f"vratar-{number}"
            announcement = Announcement(name, 1, 1, "service", "vratar", "kranj", url, 100)
            self.targets.apply(announcement, self.clock.now())

    async def acquire(self, deadline_s: float = 2.0, **fields: Any) -> Ok[Slot] | Err[Any]:
        now = self.clock.now()
        requests = demand(kind="service", name="vratar", deadline=now + deadline_s, **fields)
        return await self.router.acquire(requests, now)

    async def answer(self, notice: RateNotice, **fields: Any) -> str:
        """Serve one request whose answer states a rate limit; return its target."""
        slot = (await self.acquire(**fields)).unwrap()
        slot.record_rate(notice, True, "id", self.clock.now())
        slot.finish(ANSWERED, self.clock.now())
        return slot.target_id


def test_a_demand_that_tried_the_only_target_waits_without_repeated_permit_requests():
    """A request failed at the only target, which is throttled; its retry waits for another one.

    Permits for that target would be issued and returned as fast as the host can request them, and
    no other task of the host would run.
    """

    async def scenario() -> None:
        world = World(1)
        await world.answer(RateNotice(50.0))
        waiting = asyncio.create_task(
            world.acquire(exclude=frozenset({"vratar-0"}), deadline_s=4.0, workspace="")
        )
        await asyncio.sleep(1.5)
        assert world.rates.permits.counts["asked"] <= 20
        waiting.cancel()

    run_virtual(scenario())


def test_a_target_whose_rate_rises_gets_requests_immediately():
    """A target accepted one request in ten seconds, and now accepts fifty a second.

    A pause from an earlier reply would keep this host away from it for seconds.
    """

    async def scenario() -> None:
        world = World(2)
        for _ in range(20):
            slot = (await world.acquire(workspace="")).unwrap()
            is_throttled = slot.target_id == "vratar-0"
            slot.record_rate(RateNotice(0.05) if is_throttled else NO_RATE, True, "id", 0.0)
            slot.finish(ANSWERED, world.clock.now())
        for _ in range(40):
            await _serve_one(world)
        incarnation = next(iter(world.rates.table.rate_by_incarnation))
        number = world.rates.table.record_of(incarnation).number
        await asyncio.sleep(1.0)
        world.rates.table.apply_notice(
            incarnation, RateNotice(50.0), number, True, "id", world.clock.now()
        )
        await asyncio.sleep(1.0)
        chosen = [await _serve_one(world) for _ in range(40)]
        assert chosen.count(incarnation.target) >= 8

    run_virtual(scenario())


async def _serve_one(world: World) -> str:
    slot = (await world.acquire(workspace="")).unwrap()
    slot.finish(ANSWERED, world.clock.now())
    await asyncio.sleep(0.02)
    return slot.target_id


def test_the_number_of_a_workspace_holds_while_its_requests_wait_for_permits():
    """A workspace may have two concurrent requests; four arrive at the same moment.

    Each of them requests a permit first. If they were counted only after that, all four would be
    admitted.
    """

    async def scenario() -> None:
        world = World(1, concurrent=2)
        await world.answer(RateNotice(1.0))
        requests = [asyncio.create_task(world.acquire(4.0)) for _ in range(4)]
        answers = await asyncio.gather(*requests)
        kinds = [str(answer.err_value.kind) for answer in answers if isinstance(answer, Err)]
        assert kinds.count("too_many_requests") == 2
        for answer in answers:
            if isinstance(answer, Ok):
                answer.ok_value.finish(ANSWERED, world.clock.now())
        assert (await world.acquire(4.0)).is_ok()

    run_virtual(scenario())


def test_queued_requests_are_served_as_soon_as_throttling_ends():
    async def scenario() -> None:
        world = World(1)
        await world.answer(RateNotice(0.2))
        waiting = [asyncio.create_task(world.acquire(60.0)) for _ in range(5)]
        await asyncio.sleep(6.0)
        served = [task for task in waiting if task.done()]
        assert len(served) == 1
        slot = served[0].result().unwrap()
        slot.record_rate(NO_RATE, True, "id", world.clock.now())
        await asyncio.sleep(0.1)
        assert all(task.done() for task in waiting)

    run_virtual(scenario())


def test_the_best_target_is_chosen_when_all_are_throttled_but_have_permits_left():
    """All four targets accept fifty requests a second, far more than arrive.

    If permits are issued in a fixed order, nearly all requests go to the first target of the
    request for permits.
    """

    async def scenario() -> None:
        world = World(4)
        while len(world.rates.table.rate_by_incarnation) < 4:
            await world.answer(RateNotice(50.0), workspace="")
            await asyncio.sleep(0.05)
        chosen = [await _serve_one(world) for _ in range(100)]
        assert all(chosen.count(f"vratar-{number}") >= 10 for number in range(4))

    run_virtual(scenario())


def test_a_permit_does_not_end_the_backoff_of_its_target():
    """A throttled target must get no requests by permits during its backoff."""

    async def scenario() -> None:
        world = World(2)
        while len(world.rates.table.rate_by_incarnation) < 2:
            await world.answer(RateNotice(200.0), workspace="")
            await asyncio.sleep(0.05)
        slot = (await world.acquire(workspace="")).unwrap()
        slot.record_backoff(DecimalField(3.0), "id", world.clock.now())
        slot.finish(Outcome(OutcomeKind.FAILED_AFTER), world.clock.now())
        chosen = {await _serve_one(world) for _ in range(100)}
        assert len(chosen) == 1
        assert slot.target_id not in chosen

    run_virtual(scenario())
