"""Cause the failures of disks that a group must bear, each with its story."""

import asyncio

import pytest
from result import Err, Ok

from cranberrywall.errors import ErrorKind
from cranberrywall.replication.messages import (
    Header,
    VoteRequest,
    make_methods,
)
from tests.fakes.storage import DISK_FULL, SYNC_FAILED
from tests.replication.fleet import Fleet, FleetHost, run_fleet

METHODS = make_methods("ledger-0")


def test_power_is_cut_at_every_operation_of_a_lone_host_and_acknowledged_words_stay():
    """The only host loses power at any write or sync of a commit, a snapshot, a truncation.

    Every word that was acknowledged is there after the restart, once and in its order.
    """
    words = [f"word-{number}" for number in range(40)]
    counted: list[int] = []

    async def commit_until_crash(host: FleetHost) -> list[str]:
        kept = []
        for word in words:
            if not isinstance(await host.group.propose(word.encode(), 1.0), Ok):
                break
            kept.append(word)
        return kept

    async def count(fleet: Fleet) -> None:
        await fleet.leader()
        before = fleet["a"].storage.operations
        assert await commit_until_crash(fleet["a"]) == words
        counted.extend([before, fleet["a"].storage.operations])

    async def crash(fleet: Fleet) -> None:
        host = fleet["a"]
        for operation in range(counted[0] + 1, counted[1] + 1):
            await host.kill()
            host.storage = type(host.storage)(fleet.random)
            await host.start()
            await fleet.leader()
            host.storage.crash_at = operation
            kept = await commit_until_crash(host)
            await host.restart()
            found = await fleet.read()
            assert found[: len(kept)] == kept, operation
            assert found == words[: len(found)] and len(found) <= len(kept) + 1

    run_fleet(count, names=["a"])
    run_fleet(crash, names=["a"])


@pytest.mark.parametrize("error", [DISK_FULL, SYNC_FAILED])
@pytest.mark.parametrize("operations_ahead", [1, 2])
def test_a_failed_write_or_sync_is_never_acknowledged(error: int, operations_ahead: int):
    """The leader's disk is full, or its sync fails, and the next sync would succeed.

    The leader says so, steps down and acknowledges nothing more, not even a word sent
    again; the others go on. The word is committed by them, or not at all.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("before")
        leader = await fleet.leader()
        failing = leader.storage.operations + operations_ahead
        leader.storage.error_by_operation = {failing: error}
        fleet.cut_off(leader.name)
        for _ in range(2):
            answer = await leader.group.propose(b"doubtful", 5.0)
            assert isinstance(answer, Err)
            assert answer.err_value.kind is ErrorKind.STORAGE_FAILED
        assert "storage_failed" in leader.group.state()["failure"]
        fleet.heal()
        await fleet.write("after")
        assert not leader.group.is_leader
        # The followers may have had the word before the write failed.
        words = await fleet.read()
        assert words in (["before", "after"], ["before", "doubtful", "after"])
        assert isinstance(await leader.restart(), Ok)
        await fleet.until(lambda: leader.machine.words == words)

    run_fleet(test)


def test_a_follower_whose_sync_fails_does_not_count_for_a_majority():
    """One of three hosts is down, and the sync of the other follower fails.

    The leader alone is no majority. The caller gets no acknowledgement, for the word may
    be lost with the leader.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("before")
        leader = await fleet.leader()
        down, failing = fleet.others(leader)
        await down.kill()
        failing.storage.error_by_operation = {failing.storage.operations + 2: SYNC_FAILED}
        assert isinstance(await leader.group.propose(b"doubtful", 5.0), Err)
        await fleet.until(lambda: not leader.group.is_leader)

    run_fleet(test)


def test_a_leader_whose_disk_hangs_gives_way():
    """The leader's disk neither writes nor fails; its process goes on sending heartbeats.

    As long as it leads, no change is committed. It must let another host lead, and take
    part again when its disk does.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("before")
        hung = await fleet.leader()
        hung.storage.goes.clear()
        # The followers alone are a majority for the batch that is being written.
        assert isinstance(await hung.group.propose(b"first", 60.0), Ok)
        assert isinstance(await hung.group.propose(b"second", 60.0), Err)
        await fleet.until(lambda: any(host.group.is_leader for host in fleet.others(hung)))
        await fleet.write("after")
        hung.storage.goes.set()
        words = await fleet.read()
        await fleet.until(lambda: hung.machine.words == words)
        assert "after" in words

    run_fleet(test)


def test_restarts_of_all_hosts_after_hundreds_of_changes():
    """All hosts lose power at once after hundreds of changes, some behind snapshots."""

    async def test(fleet: Fleet) -> None:
        words = [f"word-{number}" for number in range(400)]
        leader = await fleet.leader()
        answers = await asyncio.gather(*(leader.group.propose(w.encode(), 9.0) for w in words))
        assert all(isinstance(answer, Ok) for answer in answers)
        await fleet.until(lambda: all(host.machine.words == words for host in fleet.up))
        assert leader.group.state()["snapshot_index"] > 0
        for host in list(fleet.up):
            await host.kill()
        for host in fleet.by_name.values():
            assert isinstance(await host.start(), Ok)
        assert await fleet.read() == words

    run_fleet(test)


def test_a_leader_whose_snapshot_is_damaged_says_so_and_another_sends_its_own():
    """A byte of the leader's snapshot changes on its disk, and a host needs that snapshot.

    Sent as it is, it would make another state of that host. The leader reports the damage
    and gives way; the next leader sends its own snapshot.
    """

    async def test(fleet: Fleet) -> None:
        away = fleet.others(await fleet.leader())[0]
        await away.kill()
        words = [f"word-{number}" for number in range(300)]
        await fleet.write(*words)
        leader = await fleet.leader()
        names = leader.storage.names("groups/ledger-0")
        (name,) = [name for name in names if name.startswith("snapshot-")]
        leader.storage.flip(f"groups/ledger-0/{name}", 7)
        assert isinstance(await away.start(), Ok)
        await fleet.until(lambda: "corrupt" in leader.group.state()["failure"])
        await fleet.until(lambda: away.machine.words == words)
        assert not leader.group.is_leader

    run_fleet(test)


def test_a_vote_is_remembered_over_a_loss_of_power():
    """A host votes, loses power at once, and is asked again in the same term.

    With two votes of one host, two candidates could both win the term, and each commit
    something else at the same place. The first candidate may ask again.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("before")
        voter, *gone = fleet.up
        state = voter.group.state()
        for host in gone:
            await host.kill()
        await fleet.clock.sleep(5.0)
        term = state["term"] + 10

        async def grants(candidate: str) -> bool:
            header = Header(state["lineage"], term, candidate, state["disk"])
            request = VoteRequest(header, False, False, 1000, term)
            reply = await fleet.stranger().call(voter.address, METHODS.vote, request, 1.0)
            return reply.unwrap().granted

        assert await grants("b")
        assert isinstance(await voter.restart(), Ok)
        assert not await grants("c")
        assert await grants("b")

    run_fleet(test)


def test_a_host_with_a_damaged_log_takes_no_part_and_the_others_go_on():
    """A byte in the middle of one host's log has changed while it was off.

    It says so at its start and neither votes nor appends; the others are a majority.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("one", "two", "three")
        damaged = fleet.others(await fleet.leader())[0]
        await damaged.kill()
        (log,) = [name for name in damaged.storage.names("groups/ledger-0") if "log-" in name]
        damaged.storage.flip(f"groups/ledger-0/{log}", 40)
        started = await damaged.start()
        assert isinstance(started, Err) and started.err_value.kind is ErrorKind.CORRUPT
        refused = await damaged.group.propose(b"here", 1.0)
        assert isinstance(refused, Err) and refused.err_value.kind is ErrorKind.CORRUPT
        await fleet.write("four")
        assert damaged.machine.words == []

    run_fleet(test)


def test_wiped_hosts_do_not_form_a_group_beside_the_one_that_has_the_log():
    """Two of three disks are exchanged while the third host is off.

    The two look like hosts that never were members, and are a majority. They must wait for
    the third; an empty group beside it would forget every budget.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("kept")
        await fleet["c"].kill()
        await fleet["a"].wipe()
        await fleet["b"].wipe()
        await fleet.clock.sleep(60.0)
        assert fleet.leaders() == []
        assert isinstance(await fleet["c"].start(), Ok)
        await fleet.clock.sleep(60.0)
        assert fleet.leaders() == []
        assert isinstance(await fleet["a"].group.propose(b"lost", 2.0), Err)

    run_fleet(test)


def test_an_append_that_arrives_while_a_member_stops_is_refused():
    """A control host logs an error and reports a failed group: its files were closed already."""

    async def scenario(fleet: Fleet) -> None:
        leader = await fleet.leader()
        follower = next(fleet[name] for name in "abc" if fleet[name] is not leader)
        await follower.group.stop()
        assert isinstance(await leader.group.propose(b"word", 2.0), Ok)
        await fleet.clock.sleep(1.0)
        assert follower.group.failure is None

    run_fleet(scenario)
