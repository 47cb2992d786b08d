"""Tests that items reach the hosts for which they are published, within the byte limits."""

import pytest

from cranberrywall.hosts import Item, MembershipTimings, Urgency
from tests.hosts.fleet import SMALL_FLEET, Fleet, hosts_except, in_fleet


def test_items_reach_all_hosts_of_their_place_and_no_others():
    async def test(fleet: Fleet):
        item = Item("target", "engine-1", (1, 0, 5), b"here", "town-hall", Urgency.NORMAL)
        everywhere = Item("target", "engine-2", (1, 1, 6), b"gone", urgency=Urgency.URGENT)
        source = fleet["town-hall-1"].membership.gossip
        source.publish(item)
        source.publish(everywhere)
        await fleet.clock.sleep(0.2)
        for host in fleet:
            assert everywhere in host.membership.gossip.items("target")
        await fleet.clock.sleep(15)
        for host in fleet:
            held = item in host.membership.gossip.items("target")
            assert held == (host.place == "town-hall")

    in_fleet({"town-hall": 20, "kolonnawa": 20}, test)


def test_hosts_receive_the_loads_of_their_place_and_the_mean_of_others():
    async def test(fleet: Fleet):
        for host in fleet:
            host.membership.set_load(0.8 if host.name == "kranj-1" else 0.4)
        await fleet.clock.sleep(25)

        def load(name: str, seen_by: str) -> float:
            view = fleet[seen_by].membership.by_host(name)
            assert view is not None
            return view.load

        assert load("kranj-1", "kranj-2") == pytest.approx(0.8, abs=0.01)
        assert load("kranj-2", "kranj-1") == pytest.approx(0.4, abs=0.01)
        assert load("kranj-1", "domzale-1") == pytest.approx(0.6, abs=0.01)

    in_fleet(SMALL_FLEET, test)


def test_pushing_is_bounded_and_what_is_held_back_still_comes():
    """Two thousand targets leave at the same time, and pushes would use up the network links."""

    async def test(fleet: Fleet):
        source = fleet["kranj-1"].membership
        for number in range(2000):
            source.gossip.publish(
                Item("target", f"engine-{number}", (1, 1), bytes(60), urgency=Urgency.URGENT)
            )
        await fleet.clock.sleep(2)
        assert source.state()["delayed_pushes"] > 0
        assert source.state()["pushed_bytes"] <= 40_000 + 2.1 * 16_000
        await fleet.clock.sleep(30)
        for host in fleet:
            assert len(host.membership.gossip.items("target")) == 2000

    in_fleet(SMALL_FLEET, test, timings=MembershipTimings(push_burst_bytes=40_000))


def test_removed_items_and_dead_hosts_are_evicted():
    async def test(fleet: Fleet):
        await fleet.crash(fleet["kranj-2"])
        source = fleet["kranj-1"].membership
        source.gossip.publish(Item("target", "engine-1", (1,), b""))
        await fleet.clock.sleep(10)
        before = source.state()["items"]
        await fleet.clock.sleep(40)
        assert fleet.states_of("kranj-2", hosts_except(fleet, "kranj-2")) == {None}
        assert source.state()["items"] == before - 3

    in_fleet(SMALL_FLEET, test, timings=MembershipTimings(dead_retention=30.0))
