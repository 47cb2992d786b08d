"""Test that all hosts send prompts that share a beginning to the same target."""

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
SHARED_PREFIX_HASH = bytes(range(16))
BLOCKS = (b"first-block-hash", b"second-block-hsh", SHARED_PREFIX_HASH)


def make_host_router(number: int, *announcements: Announcement) -> TargetRouter:
    """Return the router of one of several hosts; each host has its own random numbers."""
    targets = make_targets()
    for announcement in announcements:
        targets.apply(announcement, 0.0)
    configuration = FixedConfiguration(1000)
    source = random.Random(number)
    return make_router(
        targets, configuration, ManualClock(), source, f"entry-{number}", "kranj", max_waiting=64
    )


def shared_prompt(exclude: frozenset[str] = frozenset()) -> Demand:
    return demand(prefix_hashes=BLOCKS, affinity_hash=SHARED_PREFIX_HASH, exclude=exclude)


async def test_hosts_without_contact_send_a_shared_prompt_to_one_target():
    """Callers wait while each target processes the same shared prompt again.

    Many hosts each receive the prompt rarely. It happens if a host finds out only from its own
    requests which target has a prompt cached, so that each host chooses another target.
    """
    chosen = Counter[str]()
    for number in range(HOSTS):
        slot = (await make_host_router(number, *TARGETS).acquire(shared_prompt(), 0.0)).unwrap()
        chosen[slot.target_id] += 1
    assert len(chosen) == 1


async def test_hosts_agree_on_the_next_target_when_the_first_was_tried():
    first = (await make_host_router(0, *TARGETS).acquire(shared_prompt(), 0.0)).unwrap().target_id
    others = {
        (await make_host_router(number, *TARGETS).acquire(shared_prompt(frozenset({first})), 0.0))
        .unwrap()
        .target_id
        for number in range(HOSTS)
    }
    assert len(others) == 1 and first not in others


async def test_a_full_affinity_target_passes_its_prompts_on():
    """Requests with a popular prompt queue at one target while the next targets are idle.

    It happens if a shared beginning outweighs the load of a full target.
    """
    router = make_host_router(0, *TARGETS)
    chosen = Counter[str]()
    for _ in range(12):
        chosen[(await router.acquire(shared_prompt(), 0.0)).unwrap().target_id] += 1
    assert len(chosen) > 1 and max(chosen.values()) <= 4


async def test_the_load_that_a_target_reports_keeps_other_prompts_away():
    """A host sends more requests to a target that other hosts have already filled.

    The announcements of the target are a second old. It happens if the load that the target stated
    in an answer is ignored.
    """
    router = make_host_router(0, announce("a", capacity=4), announce("b", capacity=4))
    by_target = {}
    for _ in range(2):
        slot = (await router.acquire(demand(), 0.0)).unwrap()
        by_target[slot.target_id] = slot
    by_target["a"].record_load(running=4, waiting=9, now=0.1)
    chosen = [(await router.acquire(demand(), 0.2)).unwrap().target_id for _ in range(3)]
    assert chosen == ["b"] * 3
