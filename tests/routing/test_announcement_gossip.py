"""Many entry hosts receive the renewals of many targets: only changes are pushed to all of them."""

import random
from typing import Any, NamedTuple

from cranberrywall.hosts import Urgency
from cranberrywall.routing import AnnouncementGossip, make_announcement_gossip
from cranberrywall.targets import Announcement, Targets, make_targets
from tests.fakes.clock import ManualClock
from tests.fakes.spread import MemorySpread

HOSTS = 60
TARGETS = 40
RENEWALS = 20


class _Host(NamedTuple):
    """One entry host's targets, and how it publishes them."""

    targets: Targets
    gossip: AnnouncementGossip
    items: MemorySpread


def make_hosts(count: int) -> list[_Host]:
    clock = ManualClock()
    hosts = []
    for _ in range(count):
        targets, items = make_targets(), MemorySpread()
        hosts.append(_Host(targets, make_announcement_gossip(targets, items, clock), items))
    for host in hosts:
        host.items.join([other.items for other in hosts])
    return hosts


def make_announcement(target: str, counter: int, **changes: Any) -> Announcement:
    url = "http://10.0.0.1:80"
    plain = Announcement(target, 7, counter, "service", "instr-status", "north", url, 6)
    return plain._replace(**changes)


def test_a_renewal_at_a_host_that_never_published_the_target_is_no_change() -> None:
    """Each heartbeat goes to another host, and each host pushed its first one to the fleet."""
    hosts = make_hosts(2)
    hosts[0].gossip.publish(make_announcement("t", 1))
    urgent_version = next(iter(hosts[1].items.item_by_key.values())).version
    hosts[1].gossip.publish(make_announcement("t", 2))
    urgent = [one for one in hosts[0].items.item_by_key.values() if one.urgency is Urgency.URGENT]
    assert [one.version for one in urgent] == [urgent_version]
    assert hosts[0].targets.by_id["t"].announcement.counter == 2


def test_urgent_items_follow_the_number_of_changes_and_not_of_hosts() -> None:
    """Renewals of 40 targets at 60 hosts kept all of them pushing all day."""
    hosts, draws = make_hosts(HOSTS), random.Random(3)
    versions = set()
    for counter in range(1, RENEWALS + 1):
        for number in range(TARGETS):
            host = draws.choice(hosts)
            host.gossip.publish(make_announcement(f"t{number}", counter))
        versions |= {
            (key, item.version)
            for key, item in hosts[0].items.item_by_key.items()
            if item.urgency is Urgency.URGENT
        }
    assert len(versions) == TARGETS


def test_a_change_is_urgent_wherever_it_arrives() -> None:
    """A change at a host that knows the target by gossip only must not pass as a renewal."""
    hosts = make_hosts(3)
    hosts[0].gossip.publish(make_announcement("t", 1))
    hosts[1].gossip.publish(make_announcement("t", 2, capacity=3))
    hosts[2].gossip.publish(make_announcement("t", 3, leaving=True))
    urgent = [one for one in hosts[0].items.item_by_key.values() if one.urgency is Urgency.URGENT]
    assert [one.version for one in urgent] == [(7, 1, 3)]
    assert "t" not in hosts[0].targets.by_id
