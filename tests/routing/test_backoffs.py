"""Send nothing to a target during the backoff that it asked for, by any path."""

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
LONG = 100.0


async def take(router: TargetRouter, now: float, **fields: object) -> Slot:
    return (await router.acquire(demand(**{"deadline": LONG, **fields}), now)).unwrap()


def turn_away(slot: Slot, now: float, field: DecimalField = BACKOFF) -> None:
    slot.record_backoff(field, "id", now)
    slot.finish(FAILED, now)


async def turn_away_at(router: TargetRouter, target: str, now: float) -> None:
    """Let ``target`` turn a request away."""
    others = frozenset("abc".replace(target, ""))
    turn_away(await take(router, now, exclude=others), now)


async def targets_of(router: TargetRouter, now: float, count: int = 6) -> set[str]:
    """Return where some requests go that run side by side."""
    slots = [await take(router, now) for _ in range(count)]
    for slot in slots:
        slot.finish(ANSWERED, now)
    return {slot.target_id for slot in slots}


async def test_first_attempts_go_elsewhere_until_the_backoff_is_over():
    router, _, clock = make(announce("a", capacity=9), announce("b", capacity=9))
    await turn_away_at(router, "a", 0.0)
    clock.time = 2.99
    assert await targets_of(router, clock.time) == {"b"}
    clock.time = LATEST_RETURN_S
    assert await targets_of(router, clock.time) == {"a", "b"}


async def test_a_retry_is_not_sent_to_a_target_that_backs_off():
    router, _, _ = make(*(announce(name, capacity=9) for name in "abc"))
    await turn_away_at(router, "a", 0.0)
    for _ in range(5):
        slot = await take(router, 0.1, exclude=frozenset("b"), retry=True)
        assert slot.target_id == "c"
        slot.finish(ANSWERED, 0.1)


async def test_a_request_is_refused_at_once_where_the_backoff_ends_too_late_for_it():
    """A request waits for a target that takes none until after its deadline."""
    router, _, _ = make(announce("a", capacity=9))
    await turn_away_at(router, "a", 0.0)
    answer = await asyncio.wait_for(router.acquire(demand(deadline=3.0), 0.5), 0.05)
    assert isinstance(answer, Err)
    assert answer.err_value.kind is ErrorKind.OVERLOADED
    assert (answer_for(answer.err_value).retry_after or 0.0) >= 2.5


async def test_a_request_waits_where_a_backoff_ends_in_time():
    router, _, clock = make(announce("a", capacity=9))
    await turn_away_at(router, "a", 0.0)
    waiting = asyncio.create_task(router.acquire(demand(deadline=20.0), 0.0))
    await settle()
    router.tick(2.9)
    await settle()
    assert not waiting.done()
    router.tick(LATEST_RETURN_S)
    await settle()
    assert waiting.result().is_ok()


async def test_requests_that_wait_are_refused_as_soon_as_the_last_target_backs_off():
    """Requests that wait for a place are held to their deadlines, though none will come."""
    router, _, _ = make(announce("a", capacity=1))
    slot = await take(router, 0.0)
    soon = asyncio.create_task(router.acquire(demand(deadline=3.0), 0.0))
    late = asyncio.create_task(router.acquire(demand(deadline=60.0), 0.0))
    await settle()
    turn_away(slot, 0.1)
    await settle()
    assert soon.result().is_err()
    assert not late.done()
    late.cancel()


async def test_what_was_granted_is_not_sent_after_the_target_asked_for_a_backoff():
    """A request that still waits for its connection reaches a target during its backoff."""
    router, _, _ = make(announce("a", capacity=9))
    first, second = await take(router, 0.0), await take(router, 0.0)
    assert second.is_offered
    turn_away(first, 0.0)
    assert not second.is_offered


async def test_an_ejected_target_is_not_tried_during_its_backoff():
    """The trial of a target that failed before ignores the backoff that it asked for since."""
    router, _, clock = make(*(announce(name, capacity=9) for name in "abc"))
    slots = [await take(router, 0.0, exclude=frozenset("bc")) for _ in range(4)]
    turn_away(slots.pop(), 0.0, DecimalField(20.0))
    for slot in slots:
        slot.finish(FAILED, 0.0)
    clock.time = 10.0
    assert "a" not in {one.target for one in router.targets_to_probe(clock.time)}
    assert await targets_of(router, clock.time) == {"b", "c"}


async def test_the_only_request_of_a_host_waits_for_the_backoff_too():
    router, _, _ = make(announce("a", capacity=1))
    await turn_away_at(router, "a", 0.0)
    answer = await asyncio.wait_for(router.acquire(demand(deadline=1.0), 0.1), 0.05)
    assert answer.is_err()


async def test_a_stream_is_not_resumed_at_a_target_that_backs_off():
    router, _, _ = make(announce("a", capacity=9))
    slot = await take(router, 0.0)
    url = slot.url
    assert await router.may_send_again(url, 5, "desk")
    turn_away(slot, 0.0)
    assert not await router.may_send_again(url, 5, "desk")


async def test_a_renewal_does_not_end_a_backoff_and_a_new_start_does():
    """A target that is forgotten and announces itself again gets requests in its backoff."""
    router, targets, clock = make(announce("a", capacity=9))
    await turn_away_at(router, "a", 0.0)
    targets.discard("a", 0.1)
    targets.apply(announce("a", counter=2, capacity=9), 0.2)
    answer = await asyncio.wait_for(router.acquire(demand(deadline=1.0), 0.2), 0.05)
    assert answer.is_err()
    targets.apply(announce("a", incarnation=2, capacity=9), 0.3)
    assert isinstance(await router.acquire(demand(deadline=1.0), 0.3), Ok)


async def test_a_target_that_asks_for_a_backoff_is_not_ejected():
    """A target that is full is taken for a faulty one, and left alone longer than it asked."""
    router, _, clock = make(*(announce(name, capacity=9) for name in "abc"))
    for _ in range(5):
        await turn_away_at(router, "a", clock.time)
        assert router.targets_to_probe(clock.time) == []
        clock.time += LATEST_RETURN_S
    assert "a" in await targets_of(router, clock.time)


async def test_the_work_of_a_full_target_does_not_fill_its_neighbours_too():
    """Hosts that were turned away by one target overload the next one, until all turn them away."""
    targets = make_targets()
    for name in "ab":
        targets.apply(announce(name, capacity=4), 0.0)
    numbers = random.Random(1)
    router = make_router(
        targets, FixedConfiguration(100), ManualClock(), numbers, count_hosts=lambda: 2
    )
    first = [await take(router, 0.0, exclude=frozenset("b")) for _ in range(2)]
    turn_away(first[0], 0.0)
    waiting = [asyncio.create_task(router.acquire(demand(), 0.0)) for _ in range(4)]
    await settle()
    granted = [one.result().unwrap().target_id for one in waiting if one.done()]
    assert 2 <= granted.count("b") <= 3
    for one in waiting:
        one.cancel()


async def test_one_request_is_sent_as_a_backoff_ends_and_the_others_follow_its_answer():
    router, _, clock = make(announce("a", capacity=9))
    await turn_away_at(router, "a", 0.0)
    waiting = [asyncio.create_task(router.acquire(demand(deadline=60.0), 0.0)) for _ in range(3)]
    await settle()
    clock.time = LATEST_RETURN_S
    router.tick(clock.time)
    await settle()
    granted = [one for one in waiting if one.done()]
    assert len(granted) == 1
    granted[0].result().unwrap().finish(ANSWERED, clock.time + 0.01)
    await settle()
    assert all(one.done() for one in waiting)


async def test_a_retry_for_which_no_target_is_left_is_refused_at_once():
    """A retry that was tried at every target waits for another one until its deadline."""
    router, _, _ = make(announce("a", capacity=9), announce("b", capacity=9))
    retry = demand(deadline=LONG, exclude=frozenset("ab"), retry=True)
    answer = await asyncio.wait_for(router.acquire(retry, 0.0), 0.05)
    assert answer.is_err()


async def test_a_retry_that_may_return_to_its_target_waits_for_another_one():
    router, targets, _ = make(announce("a", capacity=9))
    retry = demand(deadline=LONG, exclude=frozenset("a"), retry=True, excluded_may_serve=True)
    waiting = asyncio.create_task(router.acquire(retry, 0.0))
    await settle()
    assert not waiting.done()
    targets.apply(announce("b", capacity=9), 0.1)
    await settle()
    assert waiting.result().unwrap().target_id == "b"
