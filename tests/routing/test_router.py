"""Test how demands are granted, queued and refused."""

import asyncio

from cranberrywall.errors import ErrorKind
from tests.routing.demands import demand
from tests.routing.routers import ANSWERED, make, settle
from tests.targets.announcements import announce


async def test_load_spreads_over_the_targets():
    router, _, _ = make(announce("a"), announce("b"))
    slots = [(await router.acquire(demand(), 0.0)).unwrap() for _ in range(4)]
    assert sorted(slot.target_id for slot in slots) == ["a", "a", "b", "b"]


async def test_a_waiter_gets_the_slot_that_becomes_free_and_the_first_rank_goes_first():
    router, _, _ = make(announce("a", capacity=1))
    slot = (await router.acquire(demand(), 0.0)).unwrap()
    last_rank = asyncio.create_task(router.acquire(demand(rank=9), 0.0))
    await settle()
    first_rank = asyncio.create_task(router.acquire(demand(rank=0), 0.0))
    await settle()
    slot.finish(ANSWERED, 1.0)
    slot.finish(ANSWERED, 1.0)
    await settle()
    assert first_rank.done() and not last_rank.done()
    first_rank.result().unwrap().finish(ANSWERED, 2.0)
    await settle()
    assert last_rank.result().is_ok()


async def test_a_cancelled_waiter_frees_its_slot_also_when_it_was_just_granted():
    """An engine appears busy forever after callers disconnect.

    A caller disconnects at the moment when its slot is granted. It happens if the slot goes to a
    task that is being cancelled and never finishes it.
    """
    router, _, _ = make(announce("a", capacity=1))
    slot = (await router.acquire(demand(), 0.0)).unwrap()
    first = asyncio.create_task(router.acquire(demand(), 0.0))
    second = asyncio.create_task(router.acquire(demand(), 0.0))
    await settle()
    second.cancel()
    await settle()
    slot.finish(ANSWERED, 1.0)
    first.cancel()
    await settle()
    assert first.cancelled()
    assert (await router.acquire(demand(), 1.0)).is_ok()


async def test_waiters_are_counted_by_model():
    router, _, _ = make(announce("a", capacity=1))
    slot = (await router.acquire(demand(), 0.0)).unwrap()
    assert router.waiting_by_model() == {}
    waiters = [asyncio.create_task(router.acquire(demand(), 0.0)) for _ in range(2)]
    await settle()
    assert router.waiting_by_model() == {demand().name: 2.0}
    slot.finish(ANSWERED, 1.0)
    await settle()
    assert router.waiting_by_model() == {demand().name: 1.0}
    for waiter in waiters:
        waiter.cancel()
    await settle()


async def test_a_waiter_is_refused_at_its_deadline():
    router, _, clock = make(announce("a", capacity=1))
    await router.acquire(demand(), 0.0)
    waiter = asyncio.create_task(router.acquire(demand(deadline=3.0), 0.0))
    await settle()
    clock.time = 3.0
    answer = await waiter
    assert answer.unwrap_err().kind is ErrorKind.DEADLINE_PASSED


async def test_reach_version_and_adapter_are_respected():
    router, _, _ = make(announce("a", versions=("v1",), adapters=("tone",)))
    assert (await router.acquire(demand(version="v1", adapter="tone"), 0.0)).is_ok()
    kinds = [
        (await router.acquire(wrong, 0.0)).unwrap_err().kind
        for wrong in (
            demand(version="v2"),
            demand(adapter="other"),
            demand(name="unknown"),
            demand(workspace="stranger"),
        )
    ]
    assert kinds == [ErrorKind.NO_TARGET] * 2 + [ErrorKind.FORBIDDEN] * 2


async def test_a_waiter_is_refused_while_its_caller_can_still_retry_elsewhere():
    """A request gets its slot just before its deadline, and its answer comes too late."""
    router, _, _ = make(announce("a", capacity=1))
    await router.acquire(demand(), 0.0)
    waiting = asyncio.create_task(router.acquire(demand(deadline=10.0), 0.0))
    await settle()
    router.tick(7.9)
    await settle()
    assert not waiting.done()
    router.tick(8.1)
    await settle()
    refusal = waiting.result().unwrap_err()
    assert refusal.kind is ErrorKind.DEADLINE_PASSED
    assert refusal.retry_after


async def test_a_demand_whose_slot_would_come_at_its_deadline_is_refused_immediately():
    """Requests wait for slots that come too late for an answer."""
    router, _, _ = make(announce("a", capacity=1))
    await router.acquire(demand(), 0.0)
    answer = await asyncio.wait_for(router.acquire(demand(deadline=2.1), 0.0), 0.05)
    assert answer.unwrap_err().kind is ErrorKind.OVERLOADED


async def test_a_burst_at_a_host_that_has_served_few_requests():
    """Guards against refusals from an assumed time of requests that the first answers refute."""
    router, _, _ = make(announce("a", capacity=4))
    slot = (await router.acquire(demand(), 0.0)).unwrap()
    slot.finish(ANSWERED, 0.05)
    burst = [asyncio.create_task(router.acquire(demand(deadline=9.0), 0.05)) for _ in range(80)]
    await settle()
    refused = [one for one in burst if one.done() and one.result().is_err()]
    for waiting in burst:
        waiting.cancel()
    await settle()
    assert refused == []
