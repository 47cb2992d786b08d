"""Requests to targets that fall over when they reject too many."""

import random

import pytest

from cranberrywall.routing import RejectionSpread
from cranberrywall.routing._rejections import MIN_HOLD_S, RejectionLimit
from cranberrywall.targets import DecimalField, TargetIncarnation
from measurements._brittle_fleet import BrittleFleet, BrittleOutcome, BrittleSchedule
from tests.fakes.clock import ManualClock, run_virtual
from tests.fakes.spread import MemorySpread

TARGET = TargetIncarnation("target-1", 1)


def brittle(per_s: float = 4.0) -> RejectionLimit:
    limit = RejectionLimit()
    limit.per_s = per_s
    return limit


def test_a_host_keeps_below_what_it_had_when_a_brittle_target_rejected_a_request() -> None:
    """Guards against requests that are rejected again at once."""
    limit = brittle()
    limit.record_rejected(3, hosts=2, random=random.Random(1), now=10.0)
    assert limit.allows(2, 10.5)
    assert not limit.allows(3, 10.5)
    assert limit.allows(3, 10.0 + 2 * MIN_HOLD_S)


def test_hosts_wait_for_longer_if_many_share_few_rejections() -> None:
    """Guards against rejections that add up over the hosts of a fleet."""
    limit = brittle(per_s=2.0)
    limit.record_rejected(0, hosts=8, random=random.Random(1), now=0.0)
    assert not limit.allows(0, 7.9)


def test_a_rejection_of_another_host_stops_further_requests() -> None:
    """Guards against hosts that learn one after the other that a target is full."""
    limit = brittle()
    limit.record_rejected_elsewhere(2, random.Random(1), 5.0)
    assert limit.allows(1, 5.1)
    assert not limit.allows(2, 5.1)


def test_rejections_limit_nothing_at_targets_that_are_not_brittle() -> None:
    """Guards against holding back from targets that reject as they please."""
    limit = RejectionLimit()
    limit.record_rejected(0, hosts=8, random=random.Random(1), now=0.0)
    limit.record_rejected_elsewhere(0, random.Random(1), 0.0)
    assert limit.allows(5, 0.1)


def test_other_hosts_receive_a_rejection_and_this_host_does_not_receive_its_own() -> None:
    """Guards against a host that holds back twice for its own rejection."""
    gossip, clock = MemorySpread(), ManualClock()
    own = RejectionSpread("entry-1", gossip, clock)
    received: list[TargetIncarnation] = []
    own.subscribe(received.append)
    own.publish(TARGET, "id-1", clock.now())
    assert not received
    other_gossip = MemorySpread()
    other = RejectionSpread("entry-2", other_gossip, clock)
    other.subscribe(received.append)
    for item in gossip.items("target-rejections"):
        other_gossip.publish(item)
    assert received == [TARGET]


def test_an_unreadable_number_is_counted_and_changes_nothing() -> None:
    """Guards against a field that is not a number being taken for no limit."""
    spread = RejectionSpread("entry-1", None, ManualClock())
    spread.record_unreadable(TARGET, DecimalField(None, "many"))
    assert spread.unreadable == 1


async def play(schedule: BrittleSchedule) -> BrittleOutcome:
    return await BrittleFleet(schedule).play()


@pytest.mark.parametrize("hosts", [3, 7])
@pytest.mark.parametrize("seed", range(2))
def test_brittle_targets_do_not_fall_over_under_overload(hosts: int, seed: int) -> None:
    """Guards against hosts whose rejections add up to more than a brittle target can take."""
    schedule = BrittleSchedule(seed=seed, hosts=hosts, seconds=8.0)
    outcome = run_virtual(play(schedule))
    ignored = run_virtual(play(schedule._replace(is_told=False)))
    assert outcome.falls <= outcome.max_falls
    assert outcome.served_share > ignored.served_share
