"""Test that no request is sent to a target during the backoff that it asked for."""

import asyncio
import random

from result import Err, Ok

from cranberrywall.errors import ErrorKind, answer_for
from cranberrywall.routing import Slot, TargetRouter, make_router
from cranberrywall.targets import DecimalField, make_targets
from tests.routing.clocks import ManualClock
from tests.routing.configurations import FixedConfiguration
from tests.routing.demands import demand
from tests.routing.routers import ANSWERED, FAILED, make, settle
from tests.targets.announcements import announce

BACKOFF = DecimalField(3.0)
LATEST_RETURN_S = 3.5
LONG_DEADLINE = 100.0


async def acquire(router: TargetRouter, now: float, **fields: object) -> Slot:
    return (await router.acquire(demand(**{"deadline": LONG_DEADLINE, **fields}), now)).unwrap()


def reject(slot: Slot, now: float, field: DecimalField = BACKOFF) -> None:
    slot.record_backoff(field, "id", now)
    slot.finish(FAILED, now)


async def reject_at(router: TargetRouter, target: str, now: float) -> None:
    """Let ``target`` reject a request."""
    others = frozenset("abc".replace(target, ""))
    reject(await acquire(router, now, exclude=others), now)


async def targets_of(router: TargetRouter, now: float, count: int = 6) -> set[str]:
    """Return the targets of some concurrent requests."""
    slots = [await acquire(router, now) for _ in range(count)]
    for slot in slots:
        slot.finish(ANSWERED, now)
    return {slot.target_id for slot in slots}


async def test_first_attempts_go_elsewhere_until_the_backoff_is_over():
    router, _, clock = make(announce("a", capacity=9), announce("b", capacity=9))
    await reject_at(router, "a", 0.0)
    clock.time = 2.99
    assert await targets_of(router, clock.time) == {"b"}
    clock.time = LATEST_RETURN_S
    assert await targets_of(router, clock.time) == {"a", "b"}


async def test_a_retry_is_not_sent_to_a_target_that_backs_off():
    router, _, _ = make(*(announce(name, capacity=9) for name in "abc"))
    await reject_at(router, "a", 0.0)
    for _ in range(5):
        slot = await acquire(router, 0.1, exclude=frozenset("b"), retry=True)
        assert slot.target_id == "c"
        slot.finish(ANSWERED, 0.1)


async def test_a_request_is_refused_immediately_when_the_backoff_ends_too_late_for_it():
    """A request waits for a target whose backoff ends after the request's deadline."""
    router, _, _ = make(announce("a", capacity=9))
    await reject_at(router, "a", 0.0)
    answer = await asyncio.wait_for(router.acquire(demand(deadline=3.0), 0.5), 0.05)
    assert isinstance(answer, Err)
    assert answer.err_value.kind is ErrorKind.OVERLOADED
    assert (answer_for(answer.err_value).retry_after or 0.0) >= 2.5


async def test_a_request_waits_when_a_backoff_ends_in_time():
    router, _, clock = make(announce("a", capacity=9))
    await reject_at(router, "a", 0.0)
    waiting = asyncio.create_task(router.acquire(demand(deadline=20.0), 0.0))
    await settle()
    router.tick(2.9)
    await settle()
    assert not waiting.done()
    router.tick(LATEST_RETURN_S)
    await settle()
    assert waiting.result().is_ok()


async def test_requests_that_wait_are_refused_as_soon_as_the_last_target_backs_off():
    """Queued requests are kept until their deadlines although no slot will become free in time."""
    router, _, _ = make(announce("a", capacity=1))
    slot = await acquire(router, 0.0)
    early = asyncio.create_task(router.acquire(demand(deadline=3.0), 0.0))
    late = asyncio.create_task(router.acquire(demand(deadline=60.0), 0.0))
    await settle()
    reject(slot, 0.1)
    await settle()
    assert early.result().is_err()
    assert not late.done()
    late.cancel()


async def test_what_was_granted_is_not_sent_after_the_target_asked_for_a_backoff():
    """A request that still waits for its connection reaches a target during its backoff."""
    router, _, _ = make(announce("a", capacity=9))
    first, second = await acquire(router, 0.0), await acquire(router, 0.0)
    assert second.is_offered
    reject(first, 0.0)
    assert not second.is_offered


async def test_an_ejected_target_is_not_tried_during_its_backoff():
    """The trial of an ejected target ignores the backoff that the target asked for later."""
    router, _, clock = make(*(announce(name, capacity=9) for name in "abc"))
    slots = [await acquire(router, 0.0, exclude=frozenset("bc")) for _ in range(4)]
    reject(slots.pop(), 0.0, DecimalField(20.0))
    for slot in slots:
        slot.finish(FAILED, 0.0)
    clock.time = 10.0
    assert "a" not in {announcement.target for announcement in router.targets_to_probe(clock.time)}
    assert await targets_of(router, clock.time) == {"b", "c"}


async def test_the_only_request_of_a_host_waits_for_the_backoff_too():
    router, _, _ = make(announce("a", capacity=1))
    await reject_at(router, "a", 0.0)
    answer = await asyncio.wait_for(router.acquire(demand(deadline=1.0), 0.1), 0.05)
    assert answer.is_err()


async def test_a_stream_is_not_resumed_at_a_target_that_backs_off():
    router, _, _ = make(announce("a", capacity=9))
    slot = await acquire(router, 0.0)
    url = slot.url
    assert await router.may_send_again(url, 5, "desk")
    reject(slot, 0.0)
    assert not await router.may_send_again(url, 5, "desk")


async def test_a_renewal_does_not_end_a_backoff_and_a_new_incarnation_does():
    """A target that is removed and announces itself again gets requests during its backoff."""
    router, targets, clock = make(announce("a", capacity=9))
    await reject_at(router, "a", 0.0)
    targets.discard("a", 0.1)
    targets.apply(announce("a", counter=2, capacity=9), 0.2)
    answer = await asyncio.wait_for(router.acquire(demand(deadline=1.0), 0.2), 0.05)
    assert answer.is_err()
    targets.apply(announce("a", incarnation=2, capacity=9), 0.3)
    assert isinstance(await router.acquire(demand(deadline=1.0), 0.3), Ok)


async def test_a_target_that_asks_for_a_backoff_is_not_ejected():
    """A full target is treated as faulty, and avoided for longer than it asked."""
    router, _, clock = make(*(announce(name, capacity=9) for name in "abc"))
    for _ in range(5):
        await reject_at(router, "a", clock.time)
        assert router.targets_to_probe(clock.time) == []
        clock.time += LATEST_RETURN_S
    assert "a" in await targets_of(router, clock.time)


async def test_the_work_of_a_full_target_does_not_fill_its_neighbours_too():
    """Hosts that one target rejects overload the next target, until all targets reject them."""
    targets = make_targets()
    for name in "ab":
        targets.apply(announce(name, capacity=4), 0.0)
    random_source = random.Random(1)
    router = make_router(
        targets, FixedConfiguration(100), ManualClock(), random_source, count_hosts=lambda: 2
    )
    first = [await acquire(router, 0.0, exclude=frozenset("b")) for _ in range(2)]
    reject(first[0], 0.0)
    waiting = [asyncio.create_task(router.acquire(demand(), 0.0)) for _ in range(4)]
    await settle()
    granted = [task.result().unwrap().target_id for task in waiting if task.done()]
    assert 2 <= granted.count("b") <= 3
    for task in waiting:
        task.cancel()


async def test_one_request_is_sent_as_a_backoff_ends_and_the_others_follow_its_answer():
    router, _, clock = make(announce("a", capacity=9))
    await reject_at(router, "a", 0.0)
    waiting = [asyncio.create_task(router.acquire(demand(deadline=60.0), 0.0)) for _ in range(3)]
    await settle()
    clock.time = LATEST_RETURN_S
    router.tick(clock.time)
    await settle()
    granted = [task for task in waiting if task.done()]
    assert len(granted) == 1
    granted[0].result().unwrap().finish(ANSWERED, clock.time + 0.01)
    await settle()
    assert all(task.done() for task in waiting)


async def test_a_retry_for_which_no_target_is_left_is_refused_immediately():
    """A retry that was tried at every target waits for another target until its deadline."""
    router, _, _ = make(announce("a", capacity=9), announce("b", capacity=9))
    retry = demand(deadline=LONG_DEADLINE, exclude=frozenset("ab"), retry=True)
    answer = await asyncio.wait_for(router.acquire(retry, 0.0), 0.05)
    assert answer.is_err()


async def test_a_retry_that_may_return_to_its_target_waits_for_another_one():
    router, targets, _ = make(announce("a", capacity=9))
    retry = demand(
        deadline=LONG_DEADLINE, exclude=frozenset("a"), retry=True, excluded_may_serve=True
    )
    waiting = asyncio.create_task(router.acquire(retry, 0.0))
    await settle()
    assert not waiting.done()
    targets.apply(announce("b", capacity=9), 0.1)
    await settle()
    assert waiting.result().unwrap().target_id == "b"
