"""Test that a target that announced in an answer that it leaves gets no new work."""

from tests.routing.demands import demand
from tests.routing.routers import ANSWERED, make
from tests.targets.announcements import announce


async def test_a_target_that_announced_it_in_an_answer_gets_no_new_work():
    """Requests go to a leaving target until it announces to a control host that it leaves."""
    router, targets, _ = make(announce("a", capacity=9), announce("b", capacity=9))
    slots = [(await router.acquire(demand(), 0.0)).unwrap() for _ in range(8)]
    leaving = next(slot for slot in slots if slot.target_id == "a")
    leaving.announced_leaving("id", 0.1)
    later = [(await router.acquire(demand(), 0.1)).unwrap() for _ in range(5)]
    assert {slot.target_id for slot in later} == {"b"}
    assert all(slot.is_offered == (slot.target_id == "b") for slot in slots)


async def test_neither_a_renewal_nor_an_older_answer_restores_it_but_a_new_incarnation_does():
    """A heartbeat that still reports the target as ready undoes what an answer announced."""
    router, targets, _ = make(announce("a", capacity=9), announce("b", capacity=9))
    older = (await router.acquire(demand(exclude=frozenset("b")), 0.0)).unwrap()
    newer = (await router.acquire(demand(exclude=frozenset("b")), 0.0)).unwrap()
    newer.announced_leaving("id", 0.1)
    older.finish(ANSWERED, 0.2)
    targets.apply(announce("a", counter=99, capacity=9), 0.3)
    assert "a" not in targets.by_id
    targets.apply(announce("a", incarnation=2, capacity=9), 0.4)
    assert "a" in targets.by_id
    older.announced_leaving("id", 0.5)
    assert "a" in targets.by_id
