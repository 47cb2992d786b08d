"""Check that hosts send prompts that share a beginning to the same target."""

import random
from collections import Counter

from cranberrywall.routing import Demand, TargetRouter, make_router
from cranberrywall.targets import Announcement, make_targets
from tests.routing.clocks import ManualClock
from tests.routing.configurations import FixedConfiguration
from tests.routing.demands import demand
from tests.targets.announcements import announce

TARGETS = tuple(announce(f"e{number}", capacity=4) for number in range(8))
HOSTS = 12
LEASE_CLAUSES = bytes(range(16))
BLOCKS = (b"first-block-hash", b"second-block-hsh", LEASE_CLAUSES)


def host(number: int, *announcements: Announcement) -> TargetRouter:
    """Return the router of one of several hosts; each draws in its own order."""
    targets = make_targets()
    for announcement in announcements:
        targets.apply(announcement, 0.0)
    configuration = FixedConfiguration(1000)
    source = random.Random(number)
    return make_router(
        targets, configuration, ManualClock(), source, f"entry-{number}", "kranj", max_waiting=64
    )


def shared_prompt(exclude: frozenset[str] = frozenset()) -> Demand:
    return demand(prefix_hashes=BLOCKS, affinity_hash=LEASE_CLAUSES, exclude=exclude)


async def test_hosts_that_never_met_send_a_shared_prompt_to_one_target():
    """Lessors wait while each target reads the same lease clauses anew.

    Sixty hosts each see a set of clauses a few times in an hour. Cause: a host learns who has
    a prompt only from its own requests, so each host chose another target for it.
    """
    chosen = Counter[str]()
    for number in range(HOSTS):
        slot = (await host(number, *TARGETS).acquire(shared_prompt(), 0.0)).unwrap()
        chosen[slot.target_id] += 1
    assert len(chosen) == 1


async def test_hosts_agree_on_the_next_target_where_the_first_was_tried():
    first = (await host(0, *TARGETS).acquire(shared_prompt(), 0.0)).unwrap().target_id
    others = {
        (await host(number, *TARGETS).acquire(shared_prompt(frozenset({first})), 0.0))
        .unwrap()
        .target_id
        for number in range(HOSTS)
    }
    assert len(others) == 1 and first not in others


async def test_a_full_home_passes_its_prompts_on():
    """A much used set of clauses queues at one target while the next ones idle.

    Cause: a shared beginning weighed more than a full target, which reads nothing sooner.
    """
    router = host(0, *TARGETS)
    chosen = Counter[str]()
    for _ in range(12):
        chosen[(await router.acquire(shared_prompt(), 0.0)).unwrap().target_id] += 1
    assert len(chosen) > 1 and max(chosen.values()) <= 4


async def test_what_a_target_says_of_its_load_keeps_other_prompts_away():
    """A host sends more work to a target that other hosts already filled.

    Its announcements are a second old. Cause: the load that came with the target's own
    answer was not looked at.
    """
    router = host(0, announce("a", capacity=4), announce("b", capacity=4))
    by_target = {}
    for _ in range(2):
        slot = (await router.acquire(demand(), 0.0)).unwrap()
        by_target[slot.target_id] = slot
    by_target["a"].record_load(running=4, waiting=9, now=0.1)
    chosen = [(await router.acquire(demand(), 0.2)).unwrap().target_id for _ in range(3)]
    assert chosen == ["b"] * 3
