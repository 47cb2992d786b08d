"""Commit, read, elect and restart without anything going wrong, or only once."""

import asyncio

from result import Err, Ok

from cranberrywall.errors import ErrorKind
from tests.replication.fleet import SMALL, Fleet, run_fleet


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


def test_a_member_says_that_it_may_lack_commits_until_it_hears_a_leader():
    """All hosts lose power, and what one has from its snapshot is taken for the newest."""

    async def test(fleet: Fleet) -> None:
        words = [f"word-{number}" for number in range(150)]
        await fleet.write(*words)
        await fleet.until(lambda: all(host.group.has_caught_up for host in fleet.up))
        hosts = fleet.up
        for host in hosts:
            await host.kill()
        assert isinstance(await hosts[0].start(), Ok)
        await fleet.clock.sleep(5.0)
        assert 0 < len(hosts[0].machine.words) < len(words)
        assert not hosts[0].group.has_caught_up
        for host in hosts[1:]:
            assert isinstance(await host.start(), Ok)
        await fleet.until(lambda: all(host.group.has_caught_up for host in hosts))
        assert all(host.machine.words == words for host in hosts)

    run_fleet(test)


def test_the_log_stays_short_behind_snapshots_also_under_load():
    async def test(fleet: Fleet) -> None:
        leader = await fleet.leader()
        words = [b"%d" % (number % 20) for number in range(2000)]
        await asyncio.gather(*(leader.group.propose(word, 9.0) for word in words))
        await fleet.clock.sleep(1.0)
        for host in fleet.up:
            folder = "groups/ledger-0"
            names = [name for name in host.storage.names(folder) if name.startswith("log-")]
            size = sum(len(host.storage.read(f"{folder}/{name}") or b"") for name in names)
            assert size <= SMALL.snapshot_bytes
            assert len(names) == 1

    run_fleet(test, settings=SMALL._replace(batch_bytes=200))


def test_a_leader_that_stops_in_good_order_hands_over_at_once():
    """An operator restarts the hosts one after the other, as for a new version.

    Without a handover callers would wait for an election timeout at each leader's stop.
    A command that is under way is answered before the leader goes.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("before")
        for _ in range(5):
            leader = await fleet.leader()
            under_way = asyncio.ensure_future(leader.group.propose(b"under way", 5.0))
            await asyncio.sleep(0)
            stopped_at = fleet.clock.now()
            await leader.stop()
            assert isinstance(await under_way, Ok)
            await fleet.until(lambda: bool(fleet.leaders()))
            assert fleet.clock.now() - stopped_at < fleet.settings.election_s
            assert isinstance(await leader.start(), Ok)
            await fleet.until(lambda: all(host.machine.words for host in fleet.up))

    run_fleet(test)


def test_a_group_that_was_down_as_a_whole_has_a_leader_soon() -> None:
    """All hosts lose their power and are back at once; callers wait for a leader.

    No member has heard of one since its start. Waiting as long as for a leader that has just
    fallen silent would keep every caller out for one to two more seconds.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("before")
        for host in fleet.up:
            await host.kill()
        started_at = fleet.clock.now()
        for name in ("a", "b", "c"):
            assert isinstance(await fleet[name].restart(), Ok)
        await fleet.until(lambda: bool(fleet.leaders()))
        assert fleet.clock.now() - started_at < fleet.settings.election_s
        assert await fleet.read() == ["before"]

    run_fleet(test)


def test_a_member_that_restarts_alone_deposes_nobody() -> None:
    """A member comes back while the others have a leader: it campaigns early, and in vain."""

    async def test(fleet: Fleet) -> None:
        leader = await fleet.leader()
        term = leader.group.state()["term"]
        other = fleet.others(leader)[0]
        for _ in range(5):
            assert isinstance(await other.restart(), Ok)
            await fleet.write("more")
        assert leader.group.state()["term"] == term

    run_fleet(test)
