"""Choose targets and let demands wait while targets name the requests a second that they take."""

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
    """Hold one host's router before some targets of one service."""

    def __init__(self, targets: int, concurrent: int = 1000) -> None:
        self.clock = VirtualClock()
        self.targets = make_targets()
        numbers = random.Random(1)
        self.rates = make_standalone_rates(self.targets, self.clock, numbers)
        self.router: TargetRouter = make_router(
            self.targets,
            FixedConfiguration(concurrent),
            self.clock,
            numbers,
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
        asked = demand(kind="service", name="vratar", deadline=now + deadline_s, **fields)
        return await self.router.acquire(asked, now)

    async def answer(self, notice: RateNotice, **fields: Any) -> str:
        """Serve one request, whose answer names a rate; return its target."""
        slot = (await self.acquire(**fields)).unwrap()
        slot.record_rate(notice, True, "id", self.clock.now())
        slot.finish(ANSWERED, self.clock.now())
        return slot.target_id


def test_a_demand_that_tried_the_only_target_waits_without_asking_on_and_on():
    """A call failed at the only target, which is in need; its retry waits for another target.

    Permits for that target would come and go back as fast as the host can ask, and nothing else
    would run on it.
    """

    async def story() -> None:
        world = World(1)
        await world.answer(RateNotice(50.0))
        waiting = asyncio.create_task(
            world.acquire(exclude=frozenset({"vratar-0"}), deadline_s=4.0, workspace="")
        )
        await asyncio.sleep(1.5)
        assert world.rates.permits.counts["asked"] <= 20
        waiting.cancel()

    run_virtual(story())


def test_a_target_that_takes_more_is_asked_for_at_once():
    """A target took one request in ten seconds, and takes fifty a second by now.

    The pause that was told before would keep this host away from it for seconds.
    """

    async def story() -> None:
        world = World(2)
        for _ in range(20):
            slot = (await world.acquire(workspace="")).unwrap()
            in_need = slot.target_id == "vratar-0"
            slot.record_rate(RateNotice(0.05) if in_need else NO_RATE, True, "id", 0.0)
            slot.finish(ANSWERED, world.clock.now())
        for _ in range(40):
            await _target(world)
        start = next(iter(world.rates.known.rate_by_incarnation))
        number = world.rates.known.known(start).number
        await asyncio.sleep(1.0)
        world.rates.known.record_response(
            start, RateNotice(50.0), number, True, "id", world.clock.now()
        )
        await asyncio.sleep(1.0)
        chosen = [await _target(world) for _ in range(40)]
        assert chosen.count(start.target) >= 8

    run_virtual(story())


async def _target(world: World) -> str:
    slot = (await world.acquire(workspace="")).unwrap()
    slot.finish(ANSWERED, world.clock.now())
    await asyncio.sleep(0.02)
    return slot.target_id


def test_the_number_of_a_workspace_holds_while_its_requests_wait_for_permits():
    """A workspace may have two requests at once; four come in the same moment.

    Each asks for a permit first. Counted only after that, all four would be let in.
    """

    async def story() -> None:
        world = World(1, concurrent=2)
        await world.answer(RateNotice(1.0))
        asked = [asyncio.create_task(world.acquire(4.0)) for _ in range(4)]
        answers = await asyncio.gather(*asked)
        kinds = [str(one.err_value.kind) for one in answers if isinstance(one, Err)]
        assert kinds.count("too_many_requests") == 2
        for answer in answers:
            if isinstance(answer, Ok):
                answer.ok_value.finish(ANSWERED, world.clock.now())
        assert (await world.acquire(4.0)).is_ok()

    run_virtual(story())


def test_what_waits_is_served_as_soon_as_the_need_is_over():
    async def story() -> None:
        world = World(1)
        await world.answer(RateNotice(0.2))
        waiting = [asyncio.create_task(world.acquire(60.0)) for _ in range(5)]
        await asyncio.sleep(6.0)
        served = [one for one in waiting if one.done()]
        assert len(served) == 1
        slot = served[0].result().unwrap()
        slot.record_rate(NO_RATE, True, "id", world.clock.now())
        await asyncio.sleep(0.1)
        assert all(one.done() for one in waiting)

    run_virtual(story())


def test_where_all_are_in_need_but_have_permits_left_the_best_one_is_chosen():
    """All four targets take fifty requests a second, far more than come.

    Given out in any order, nearly all requests went to the target that was asked for first.
    """

    async def story() -> None:
        world = World(4)
        while len(world.rates.known.rate_by_incarnation) < 4:
            await world.answer(RateNotice(50.0), workspace="")
            await asyncio.sleep(0.05)
        chosen = [await _target(world) for _ in range(100)]
        assert all(chosen.count(f"vratar-{number}") >= 10 for number in range(4))

    run_virtual(story())


def test_a_permit_does_not_end_the_backoff_of_its_target():
    """A target that named a rate gets requests by permits during its backoff."""

    async def story() -> None:
        world = World(2)
        while len(world.rates.known.rate_by_incarnation) < 2:
            await world.answer(RateNotice(200.0), workspace="")
            await asyncio.sleep(0.05)
        slot = (await world.acquire(workspace="")).unwrap()
        slot.record_backoff(DecimalField(3.0), "id", world.clock.now())
        slot.finish(Outcome(OutcomeKind.FAILED_AFTER), world.clock.now())
        chosen = {await _target(world) for _ in range(100)}
        assert len(chosen) == 1
        assert slot.target_id not in chosen

    run_virtual(story())
