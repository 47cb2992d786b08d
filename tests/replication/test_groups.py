"""Commit, read, elect and restart without anything going wrong, or only once."""

from result import Err, Ok

from cranberrywall.errors import ErrorKind
from tests.replication.fleet import Fleet, run_fleet


def test_one_member_keeps_its_commits_over_a_loss_of_power():
    async def test(fleet: Fleet) -> None:
        await fleet.write("one", "two")
        assert isinstance(await fleet["a"].restart(), Ok)
        await fleet.write("three")
        assert await fleet.read() == ["one", "two", "three"]

    run_fleet(test, names=["a"])


def test_three_members_agree_and_a_follower_names_the_leader():
    async def test(fleet: Fleet) -> None:
        words = [f"word-{number}" for number in range(100)]
        await fleet.write(*words)
        leader = await fleet.leader()
        await fleet.until(lambda: all(host.machine.words == words for host in fleet.up))
        follower = next(host for host in fleet.up if host is not leader)
        refused = await follower.group.propose(b"at a follower", 1.0)
        assert isinstance(refused, Err)
        assert refused.err_value.kind is ErrorKind.NOT_LEADER
        assert refused.err_value.message == leader.address

    run_fleet(test)


def test_another_leads_when_the_leader_loses_power():
    async def test(fleet: Fleet) -> None:
        await fleet.write("before")
        first = await fleet.leader()
        await first.kill()
        await fleet.write("after")
        assert await fleet.read() == ["before", "after"]
        assert isinstance(await first.start(), Ok)
        await fleet.until(lambda: first.machine.words == ["before", "after"])

    run_fleet(test)
