"""Tests of parts of membership on their own: versions, item table and rings."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrywall.hosts._entries import ALIVE, DEAD, SUSPECT, HostVersion
from cranberrywall.hosts._ring import DELEGATES, Rings
from cranberrywall.hosts._table import BUCKETS, ItemTable
from cranberrywall.hosts.messages import Item, Urgency

IN_RISING_ORDER = [
    HostVersion(incarnation=1, leaving=0, number=1, verdict=ALIVE),
    HostVersion(incarnation=1, leaving=0, number=1, verdict=SUSPECT),
    HostVersion(incarnation=1, leaving=0, number=1, verdict=DEAD),
    HostVersion(incarnation=1, leaving=0, number=2, verdict=ALIVE),
    HostVersion(incarnation=1, leaving=1, number=1, verdict=ALIVE),
    HostVersion(incarnation=1, leaving=1, number=1, verdict=DEAD),
    HostVersion(incarnation=2, leaving=0, number=1, verdict=ALIVE),
]


def test_refuting_overtakes_death_leaving_overtakes_both_and_a_new_start_all():
    assert sorted(IN_RISING_ORDER) == IN_RISING_ORDER


def make_item(key: str, version: int, place: str = "") -> Item:
    return Item("target", key, (version,), b"x", place)


ITEMS = st.builds(
    make_item, st.sampled_from("abcdef"), st.integers(0, 5), st.sampled_from(["", "kranj"])
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(ITEMS, max_size=20), st.randoms(use_true_random=False))
def test_the_table_ends_alike_in_whatever_order_and_number_items_come(
    items: list[Item], random: Random
):
    """The expected table has the highest version of each key in the full list."""
    by_key = {item.key: item for item in items}
    items = [item._replace(place=by_key[item.key].place) for item in items]
    shuffled = [*items, *items[::2]]
    random.shuffle(shuffled)
    one, other = ItemTable("kranj"), ItemTable("kranj")
    for item in items:
        one.put(item, 0.0)
    for item in shuffled:
        other.put(item, 0.0)
    naive = {key: max(item.version for item in items if item.key == key) for key in by_key}
    assert {item.key: item.version for item in one.items_of_topic("target")} == naive
    assert one.digests() == other.digests()
    assert (one.fleet_digest, one.place_digest) == (other.fleet_digest, other.place_digest)


def test_the_table_keeps_out_other_places_items():
    table = ItemTable("kranj")
    assert not table.put(make_item("a", 1, "domzale"), 0.0)
    assert len(table) == 0


def test_differing_buckets_name_what_a_peer_lacks():
    here, there = ItemTable("kranj"), ItemTable("kranj")
    for number in range(50):
        here.put(make_item(f"k{number}", 1), 0.0)
        there.put(make_item(f"k{number}", 1), 0.0)
    here.put(make_item("k7", 2), 0.0)
    here.put(make_item("near", 1, "kranj"), 0.0)
    here.put(Item("load", "k8", (1,), b"x", urgency=Urgency.VOLATILE), 0.0)
    buckets = here.differing_buckets(*there.digests(), is_near=True)
    assert len(buckets) == 2
    assert {"k7", "near"} <= {item.key for item in here.items_in_buckets(buckets, "kranj")}
    assert len(here.differing_buckets(*there.digests(), is_near=False)) == 1
    assert here.differing_buckets((), (), is_near=True) == []
    assert len(here.digests()[0]) == BUCKETS


@pytest.mark.parametrize("size", [1, 2, 5, 12, 13, 50, 400, 1700])
def test_neighbours_are_mutual_few_and_reach_all_in_few_steps(size: int):
    hosts = [f"host-{number}" for number in range(size)]
    rings = Rings(hosts)
    by_host = {host: set(rings.neighbours(host)) for host in hosts[:400]}
    assert max(len(others) for others in by_host.values()) <= 11
    if size <= 400:
        for host, others in by_host.items():
            assert host not in others
            assert all(host in by_host[other] for other in others)
        reached, steps = {hosts[0]}, 0
        while len(reached) < size:
            reached |= {other for host in reached for other in by_host[host]}
            steps += 1
        assert steps <= 5


def test_delegates_stay_when_other_hosts_come_and_go():
    hosts = [f"host-{number}" for number in range(100)]
    rings = Rings(hosts)
    chosen = rings.delegates()
    assert len(chosen) == DELEGATES
    others = [host for host in hosts if host not in chosen]
    for host in others[:50]:
        rings.remove(host)
        rings.remove(host)
    rings.add(chosen[0])
    assert rings.delegates() == chosen
    assert len(rings) == 50
    rings.remove(chosen[0])
    assert rings.delegates()[:2] == chosen[1:]
