"""Form groups by addresses, take in hosts that ask for themselves, give lost seats away."""

import random

import pytest
from result import Ok

from cranberrywall.replication import InitialMembers
from cranberrywall.replication._formation import TURN_S
from tests.fakes.clock import run_virtual
from tests.naive.state_machine import NaiveJournal
from tests.replication.fleet import SMALL, Fleet, FleetHost, run_fleet
from tests.replication.test_members import voters

GIVES_UP = SMALL._replace(give_up_s=10.0)


def test_wiped_founders_form_no_second_group() -> None:
    """All founders come back with empty disks, told that the system is not new.

    An empty group would answer the operator that there never was a configuration.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("one")
        for host in list(fleet.by_name.values()):
            await host.kill()
        for host in fleet.by_name.values():
            host.storage = type(host.storage)(fleet.random)
            founders = InitialMembers(tuple(fleet.addresses.values()), host.address, may_form=False)
            assert isinstance(await host.start(founders=founders), Ok)
        await fleet.clock.sleep(30.0)
        assert fleet.leaders() == []

    run_fleet(test)


@pytest.mark.parametrize("lost", ["a", "b", "c"])
def test_a_group_is_formed_without_a_founder_that_is_lost_before(lost: str) -> None:
    """Guards against a system that never serves: a founder was killed in its first second.

    It comes back with the settings of a system that is not new, and becomes a member later.
    """

    async def test() -> None:
        fleet = Fleet(("a", "b", "c"), 1, SMALL, NaiveJournal)
        for host in fleet.by_name.values():
            if host.name != lost:
                assert isinstance(await host.start(founders=founders_of(fleet, host)), Ok)
        await fleet.clock.sleep(2.0)
        assert isinstance(await fleet[lost].start(founders=returning(fleet, fleet[lost])), Ok)
        await fleet.write("one")
        assert fleet.clock.now() < 3 * TURN_S
        leader = await fleet.leader()
        assert isinstance(await leader.group.enlist(lost, fleet[lost].address, 5.0), Ok)
        await fleet.until(lambda: voters(fleet) == {"a", "b", "c"})
        await fleet.stop()

    run_virtual(test())


@pytest.mark.parametrize("lost", ["a", "b", "c"])
def test_a_founder_that_starts_late_forms_no_second_group(lost: str) -> None:
    """Guards against a system with two groups: two founders formed one before the third started."""

    async def test() -> None:
        fleet = Fleet(("a", "b", "c"), 1, SMALL, NaiveJournal)
        for host in fleet.by_name.values():
            if host.name != lost:
                assert isinstance(await host.start(founders=founders_of(fleet, host)), Ok)
        await fleet.write("one")
        assert isinstance(await fleet[lost].start(founders=founders_of(fleet, fleet[lost])), Ok)
        await fleet.clock.sleep(5 * TURN_S)
        assert [host.name for host in fleet.leaders()] != [lost]
        assert len(fleet.leaders()) == 1
        assert await fleet.read() == ["one"]
        await fleet.stop()

    run_virtual(test())


@pytest.mark.parametrize("seed", range(40))
def test_founders_that_are_cut_off_and_killed_form_one_group(seed: int) -> None:
    """Guards against two groups that both acknowledge, and against none if one founder was lost."""

    async def test() -> None:
        rng = random.Random(seed)
        fleet = Fleet(("a", "b", "c"), seed, SMALL, NaiveJournal)
        for host in fleet.by_name.values():
            assert isinstance(await host.start(founders=founders_of(fleet, host)), Ok)
            await fleet.clock.sleep(rng.uniform(0.0, 0.2))
            if rng.random() < 0.7:
                fleet.cut_off(rng.choice("abc"))
        lineages: set[str] = set()
        lost: set[str] = set()
        for _ in range(8):
            await fleet.clock.sleep(rng.uniform(0.0, 2.0))
            step = rng.choice(("cut", "heal", "kill", "heal"))
            if step == "cut":
                fleet.cut_off(rng.choice("abc"))
            elif step == "heal":
                fleet.heal()
            elif len(fleet.up) == 3:
                killed = rng.choice(fleet.up)
                await killed.kill()
                if not lineages:
                    lost.add(killed.name)
                await fleet.clock.sleep(rng.uniform(0.0, 1.0))
                assert isinstance(await killed.start(founders=returning(fleet, killed)), Ok)
            lineages |= await committing_lineages(fleet)
        fleet.heal()
        await fleet.clock.sleep(5 * TURN_S)
        lineages |= await committing_lineages(fleet)
        assert len(lineages) == 1 or (len(lost) > 1 and not lineages)
        await fleet.stop()

    run_virtual(test())


async def committing_lineages(fleet: Fleet) -> set[str]:
    """Return the lineages of the groups that commit a word now."""
    lineages = set()
    for host in fleet.leaders():
        if isinstance(await host.group.propose(b"word", 0.3), Ok):
            lineages.add(host.group.state()["lineage"])
    return lineages


def founders_of(fleet: Fleet, host: FleetHost) -> InitialMembers:
    """Return the founders as a host knows them at the first start of all."""
    return InitialMembers(tuple(fleet.addresses.values()), host.address, may_join_later=True)


def returning(fleet: Fleet, host: FleetHost) -> InitialMembers:
    """Return the founders as a host knows them at a later start."""
    return founders_of(fleet, host)._replace(may_form=False)


def test_a_host_that_enlists_becomes_a_voter_once() -> None:
    async def test(fleet: Fleet) -> None:
        await fleet.write("one", "two")
        leader = await fleet.leader()
        added = fleet.add_host("d")
        founders = InitialMembers(tuple(fleet.addresses.values()), added.address, may_form=False)
        assert isinstance(await added.start(founders=founders), Ok)
        for _ in range(3):
            assert isinstance(await leader.group.enlist("d", added.address, 5.0), Ok)
        await fleet.until(lambda: voters(fleet) == {"a", "b", "c", "d"})
        await fleet.until(lambda: added.machine.words == ["one", "two"])

    run_fleet(test)


def test_a_newcomer_gets_the_seat_of_a_host_that_is_gone_for_good() -> None:
    """A host is removed for good, and another comes in its place, at another address.

    Were the seat of the first kept, the next two losses would stop a group of four voters.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("one")
        await (await other_than_leader(fleet)).kill()
        leader = await fleet.leader()
        added = fleet.add_host("d")
        assert isinstance(await added.start(), Ok)
        assert isinstance(await leader.group.enlist("d", added.address, 5.0), Ok)
        await fleet.until(lambda: len(voters(fleet)) == 3 and "d" in voters(fleet))

    run_fleet(test, settings=GIVES_UP)


def test_a_host_is_exchanged_and_soon_after_another_loses_its_disk() -> None:
    """The group has no majority any more, for good, and nothing is read back.

    An empty host came in place of one that was gone, and had caught up. The seat of the lost host
    was kept for ten seconds beside its own, so that two of four voters were left.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("one")
        await (await other_than_leader(fleet)).kill()
        leader = await fleet.leader()
        added = fleet.add_host("d")
        assert isinstance(await added.start(), Ok)
        assert isinstance(await leader.group.enlist("d", added.address, 5.0), Ok)
        await fleet.until(lambda: "d" in voters(fleet))
        await fleet.clock.sleep(4.0)
        await fleet.write("two")
        wiped = await other_than_leader(fleet)
        others = fleet.others(wiped)
        await wiped.wipe()
        for host in others:
            assert isinstance(await host.restart(), Ok)
        assert await fleet.read() == ["one", "two"]

    run_fleet(test, settings=GIVES_UP)


def test_one_of_an_odd_number_of_voters_keeps_its_seat_while_it_restarts() -> None:
    """A host that is away for a few seconds has to catch up before it counts again."""

    async def test(fleet: Fleet) -> None:
        await fleet.write("one")
        away = await other_than_leader(fleet)
        await away.kill()
        for _ in range(60):
            await fleet.clock.sleep(0.1)
            assert len(voters(fleet)) == 5
        assert isinstance(await away.start(), Ok)
        await fleet.until(lambda: away.machine.words == ["one"])

    run_fleet(test, "abcde", settings=GIVES_UP)


def test_a_host_that_lost_its_seat_while_cut_off_gets_it_back() -> None:
    """A host is cut off for a minute and loses its seat. It is back, and asks for it.

    Its own log still names it a voter; no leader sends it anything.
    """

    async def test(fleet: Fleet) -> None:
        added = fleet.add_host("d")
        assert isinstance(await added.start(), Ok)
        leader = await fleet.leader()
        assert isinstance(await leader.group.enlist("d", added.address, 5.0), Ok)
        await fleet.until(lambda: len(voters(fleet)) == 4)
        lost = await other_than_leader(fleet)
        fleet.cut_off(lost.name)
        await fleet.until(lambda: lost.name not in voters(fleet))
        fleet.heal()
        await fleet.clock.sleep(5.0)
        assert not lost.group.has_leader_contact
        leader = await fleet.leader()
        assert isinstance(await leader.group.enlist(lost.name, lost.address, 5.0), Ok)
        await fleet.until(lambda: lost.name in voters(fleet) and lost.group.has_leader_contact)

    run_fleet(test, settings=GIVES_UP)


def test_three_voters_are_never_made_two() -> None:
    async def test(fleet: Fleet) -> None:
        await fleet.leader()
        await (await other_than_leader(fleet)).kill()
        await fleet.clock.sleep(60.0)
        assert len(voters(fleet)) == 3

    run_fleet(test, settings=GIVES_UP)


async def other_than_leader(fleet: Fleet) -> FleetHost:
    leader = await fleet.leader()
    return fleet.others(leader)[0]
