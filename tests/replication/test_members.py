"""Change the members of a group, and lose disks while it changes."""

import random

import pytest
from result import Err, Ok

from cranberrywall.errors import ErrorKind
from cranberrywall.replication import rescue_group
from tests.fakes.network import Rule
from tests.replication.fleet import Fleet, FleetHost, run_fleet

WORDS = [f"word-{number}" for number in range(60)]


def voters(fleet: Fleet) -> set[str]:
    """Return the voters as the present leader's roster has them."""
    leaders = fleet.leaders()
    if not leaders:
        return set()
    rows = leaders[0].group.state()["roster"]
    return {row.partition("@")[0] for row in rows if row.endswith("/voter")}


async def is_refused(fleet: Fleet, host: FleetHost) -> bool:
    return isinstance(await host.group.propose(b"lost", 2.0), Err)


def test_a_host_is_added_as_a_learner_and_gets_its_vote_once_it_has_caught_up():
    async def test(fleet: Fleet) -> None:
        await fleet.write(*WORDS)
        leader = await fleet.leader()
        added = fleet.add_host("d")
        assert isinstance(await added.start(), Ok)
        assert isinstance(await leader.group.add("d", added.address, 5.0), Ok)
        again = await leader.group.add("d", added.address, 5.0)
        assert isinstance(again, Err) and again.err_value.kind is ErrorKind.CONFLICT
        await fleet.until(lambda: voters(fleet) == {"a", "b", "c", "d"})
        await fleet.until(lambda: added.machine.words == WORDS)

    run_fleet(test)


def test_a_host_is_replaced_and_the_old_one_cannot_disturb_the_group():
    async def test(fleet: Fleet) -> None:
        await fleet.write(*WORDS)
        leader = await fleet.leader()
        old = next(host for host in fleet.up if host is not leader)
        new = fleet.add_host("d")
        assert isinstance(await new.start(), Ok)
        assert isinstance(await leader.group.replace(old.name, "d", new.address, 5.0), Ok)
        expected = {host.name for host in fleet.up} - {old.name}
        await fleet.until(lambda: voters(fleet) == expected)
        term = leader.group.state()["term"]
        await fleet.clock.sleep(10.0)
        await fleet.write("after")
        assert leader.group.state()["term"] == term

    run_fleet(test)


def test_unsafe_steps_are_refused_with_the_reason_unless_forced():
    async def test(fleet: Fleet) -> None:
        leader = await fleet.leader()
        others = [host for host in fleet.up if host is not leader]
        refused = await leader.group.remove(others[0].name, 5.0)
        assert isinstance(refused, Err)
        assert refused.err_value.kind is ErrorKind.UNSAFE_STEP
        assert refused.err_value.remedy
        await others[1].kill()
        await fleet.until(
            lambda: any(not member.answers for member in leader.group.members().unwrap())
        )
        steps = {(step.action, step.host): step for step in leader.group.steps().unwrap()}
        assert "no majority" in steps["remove", others[0].name].unsafe_because
        assert steps["remove", others[1].name].unsafe_because == ""
        assert isinstance(await leader.group.remove(others[1].name, 5.0, forced=True), Ok)
        await fleet.until(lambda: voters(fleet) == {leader.name, others[0].name})

    run_fleet(test)


def test_a_wiped_disk_does_not_vote_under_its_old_identity():
    """A host comes back with an empty disk while the leader is away.

    The host that is left and the wiped one are two of three, but the wiped one has
    forgotten what it acknowledged: with its vote, an old or empty log could win. Nothing
    is answered until the leader is back; then the wiped host learns the log and votes.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write(*WORDS)
        leader = await fleet.leader()
        wiped, left = [host for host in fleet.up if host is not leader]
        await leader.kill()
        await wiped.wipe()
        await fleet.clock.sleep(30.0)
        assert fleet.leaders() == []
        assert await is_refused(fleet, left) and await is_refused(fleet, wiped)
        assert isinstance(await leader.start(), Ok)
        await fleet.until(lambda: voters(fleet) == {"a", "b", "c"})
        await fleet.until(lambda: wiped.machine.words == WORDS)

    run_fleet(test)


def test_a_second_host_lost_during_the_catch_up_stops_the_group_and_loses_nothing():
    """A disk is exchanged, and before its host has caught up, another host is lost.

    The leader alone is no majority, and the learner has no vote. Callers are refused until
    the second host is back; then all that was acknowledged is there.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write(*WORDS)
        leader = await fleet.leader()
        wiped, second = [host for host in fleet.up if host is not leader]
        fleet.fabric.set_rule(leader.ip, wiped.ip, Rule(delay=0.3))
        await wiped.wipe()
        await fleet.until(lambda: voters(fleet) == {leader.name, second.name})
        assert wiped.machine.words == []
        await second.kill()
        await fleet.until(lambda: not fleet.leaders())
        assert await is_refused(fleet, leader) and await is_refused(fleet, wiped)
        await fleet.clock.sleep(20.0)
        assert fleet.leaders() == []
        assert isinstance(await second.start(), Ok)
        assert await fleet.read() == WORDS
        await fleet.until(lambda: voters(fleet) == {"a", "b", "c"})

    run_fleet(test)


def test_a_second_host_lost_just_after_the_catch_up_is_borne():
    """A disk is exchanged, its host catches up and votes, and then another host is lost.

    The leader dies, so the repaired host and the third one must elect among them. The
    repaired host has the whole log, so nothing that was acknowledged is missing.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write(*WORDS)
        leader = await fleet.leader()
        wiped = next(host for host in fleet.up if host is not leader)
        await wiped.wipe()
        await fleet.until(lambda: len(voters(fleet)) == 2)
        await fleet.until(lambda: len(voters(fleet)) == 3)
        await leader.kill()
        assert await fleet.read() == WORDS
        await fleet.write("after")

    run_fleet(test)


@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 3.0])
def test_the_leader_dies_in_the_middle_of_a_change_of_members(after_s: float):
    """An operator replaces a host, and the leader loses power between the steps.

    Whether the new leader has seen the step or not, exactly one list of members is in
    force, the change ends or can be asked for again, and no acknowledged word is lost.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write(*WORDS)
        first = await fleet.leader()
        old = next(host for host in fleet.up if host is not first)
        new = fleet.add_host("d")
        assert isinstance(await new.start(), Ok)
        fleet.fabric.set_rule(first.ip, new.ip, Rule(delay=0.2))
        assert isinstance(await first.group.replace(old.name, "d", new.address, 5.0), Ok)
        await fleet.clock.sleep(after_s)
        await first.kill()
        await fleet.write("between")
        assert isinstance(await first.start(), Ok)
        expected = {"a", "b", "c", "d"} - {old.name}
        await fleet.until(lambda: voters(fleet) == expected)
        assert await fleet.read() == [*WORDS, "between"]

    run_fleet(test)


def test_the_last_host_is_rescued_and_a_lost_one_cannot_come_back_with_its_old_log():
    """Two of three control hosts burn, and an operator lets the third go on alone.

    It answers with all that it had. One of the lost disks turns up after all: its host
    must not vote or lead with the old members, or two groups would spend the same budgets.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write(*WORDS)
        await fleet.until(lambda: all(host.machine.words == WORDS for host in fleet.up))
        left, burnt, found = fleet.up
        for host in (left, burnt, found):
            await host.kill()
        storage = left.storage

        def rescue(group: str, lost: str) -> ErrorKind | None:
            result = rescue_group(group, "a", left.address, lost, storage, random.Random(1))
            return result.err_value.kind if isinstance(result, Err) else None

        assert rescue("ledger-0", "b") is ErrorKind.UNSAFE_STEP
        assert rescue("ledger-0", "bc") is None
        assert rescue("ledger-0", "bc") is None
        assert rescue("ledger-1", "bc") is ErrorKind.NOT_FOUND
        assert isinstance(await left.start(), Ok)
        await fleet.write("alone")
        assert isinstance(await found.start(), Ok)
        await fleet.clock.sleep(30.0)
        assert fleet.leaders() == [left]
        refused = await left.group.add("c", found.address, 5.0)
        assert isinstance(refused, Err) and refused.err_value.kind is ErrorKind.CONFLICT
        for host in (burnt, found):
            await host.wipe()
            await fleet.until(lambda: len(voters(fleet)) == len(left.group.state()["roster"]))
            assert isinstance(await left.group.add(host.name, host.address, 5.0), Ok)
        await fleet.until(lambda: voters(fleet) == {"a", "b", "c"})
        await fleet.until(lambda: found.machine.words == [*WORDS, "alone"])

    run_fleet(test)
