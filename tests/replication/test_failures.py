"""Cause the failures that a group must bear, each with its story."""

import asyncio

import pytest
from result import Err, Ok

from cranberrywall.errors import ErrorKind
from cranberrywall.replication import GroupSettings
from cranberrywall.replication.messages import (
    AppendRequest,
    Entry,
    EntryKind,
    Header,
    Outcome,
    VoteRequest,
    make_methods,
)
from tests.fakes.storage import DISK_FULL, SYNC_FAILED
from tests.replication.fleet import Fleet, FleetHost, run_fleet

METHODS = make_methods("ledger-0")
HOUR_S = 3600.0
# Slow heartbeats, so that hours of virtual time take little real time.
SLOW = GroupSettings(heartbeat_s=3.0, election_s=20.0, tick_s=1.5)


def others(fleet: Fleet, host: FleetHost) -> list[FleetHost]:
    return [other for other in fleet.up if other is not host]


def test_a_leader_silently_cut_off_answers_not_current_and_follows_when_it_is_back():
    """The leader's links to both other hosts go silent for hours; clients reach only it.

    Its clients must not read an old state nor get a change acknowledged; they are told to
    ask another host. The others elect, and commit. When the links come back the old leader
    follows without disturbing them, and its unacknowledged change is gone or whole.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("before")
        cut = await fleet.leader()
        fleet.cut_off(cut.name)
        at_once = await cut.group.query(b"", 60.0)
        assert isinstance(at_once, Err)
        unknown = await cut.group.propose(b"only here", 60.0)
        assert isinstance(unknown, Err)
        await fleet.clock.sleep(3 * HOUR_S)
        for refused in (await cut.group.query(b"", 5.0), await cut.group.propose(b"x", 5.0)):
            assert isinstance(refused, Err)
            assert refused.err_value.kind is ErrorKind.NOT_CURRENT
        await fleet.write("meanwhile")
        term = (await fleet.leader()).group.state()["term"]
        fleet.mend()
        await fleet.until(lambda: cut.machine.words == ["before", "meanwhile"])
        await fleet.clock.sleep(300.0)
        assert (await fleet.leader()).group.state()["term"] == term

    run_fleet(test, settings=SLOW)


def test_one_direction_cut_does_not_leave_two_hosts_answering():
    """The leader hears nobody but is still heard: its heartbeats hold the others back.

    It must step down by itself, for it can commit nothing, so that another is elected.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("before")
        deaf = await fleet.leader()
        for other in others(fleet, deaf):
            fleet.fabric.cut_one_way(other.ip, deaf.ip)
        await fleet.until(lambda: not deaf.group.is_leader)
        await fleet.until(lambda: bool(fleet.leaders()) and not deaf.group.is_leader)
        await fleet.write("after")
        assert not deaf.group.is_leader

    run_fleet(test)


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
        fleet.mend()
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
        down, failing = others(fleet, leader)
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
        await fleet.until(lambda: any(host.group.is_leader for host in others(fleet, hung)))
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


def test_a_host_far_behind_gets_a_snapshot_in_parts_over_a_bad_link():
    """A host is away for hundreds of changes; its link breaks during the transfer."""

    async def test(fleet: Fleet) -> None:
        away = others(fleet, await fleet.leader())[0]
        await away.kill()
        words = [f"word-{number}" for number in range(300)]
        await fleet.write(*words)
        leader = await fleet.leader()
        assert isinstance(await away.start(), Ok)
        await fleet.clock.sleep(0.02)
        fleet.fabric.drop(leader.ip, away.ip)
        await fleet.until(lambda: away.machine.words == words)
        assert isinstance(await away.restart(), Ok)
        await fleet.until(lambda: away.machine.words == words)

    run_fleet(test)


def test_a_leader_whose_snapshot_is_damaged_says_so_and_another_sends_its_own():
    """A byte of the leader's snapshot changes on its disk, and a host needs that snapshot.

    Sent as it is, it would make another state of that host. The leader reports the damage
    and gives way; the next leader sends its own snapshot.
    """

    async def test(fleet: Fleet) -> None:
        away = others(fleet, await fleet.leader())[0]
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


def test_wall_clocks_that_jump_change_nothing():
    """The wall clock of all hosts jumps a day ahead and then two days back."""

    async def test(fleet: Fleet) -> None:
        await fleet.write("before")
        term = (await fleet.leader()).group.state()["term"]
        for jump in (86_400.0, -2 * 86_400.0):
            for host in fleet.up:
                host.clock.wall_jump += jump
            await fleet.clock.sleep(30.0)
            await fleet.write(f"after {jump}")
        assert (await fleet.leader()).group.state()["term"] == term

    run_fleet(test)


@pytest.mark.parametrize("jump", [HOUR_S, -HOUR_S])
@pytest.mark.parametrize("place", [0, 1])
def test_a_monotonic_clock_that_jumps_costs_an_election_at_most(jump: float, place: int):
    """The monotonic clock of the leader, or of a follower, jumps an hour either way.

    Then the leader loses power. A host whose clock went back must not believe for an hour
    that it has just heard a leader: the two hosts left elect, and words can be written.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("before")
        leader = await fleet.leader()
        odd = [leader, *others(fleet, leader)][place]
        odd.clock.jump += jump
        await fleet.clock.sleep(5.0)
        await fleet.write("after")
        await fleet.until(lambda: odd.machine.words == ["before", "after"])
        odd.clock.jump += jump
        await (await fleet.leader()).kill()
        await fleet.write("later")

    run_fleet(test)


def test_a_leader_whose_process_slept_does_not_answer_from_the_past():
    """The leader's process stands still while the others elect and commit.

    When it runs on, it still believes that it leads. A read must not show the old state.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("before")
        slept = await fleet.leader()
        fleet.cut_off(slept.name)
        slept.clock.stand_still()
        await fleet.until(lambda: any(host.group.is_leader for host in others(fleet, slept)))
        other = next(host for host in fleet.leaders() if host is not slept)
        assert isinstance(await other.group.propose(b"newer", 5.0), Ok)
        assert slept.group.is_leader
        reading = asyncio.ensure_future(slept.group.query(b"", 5.0))
        await fleet.clock.sleep(0.5)
        assert not reading.done()
        fleet.mend()
        slept.clock.run_on()
        assert isinstance(await reading, Err)

    run_fleet(test)


def test_messages_that_are_late_by_many_terms_are_refused():
    """An append and a vote request of an old leader arrive many elections later.

    The append must not overwrite what was committed since, nor the vote be granted; and
    neither may make the hosts take over an older term.
    """

    async def test(fleet: Fleet) -> None:
        await fleet.write("first")
        old = (await fleet.leader()).group.state()
        for _ in range(5):
            leader = await fleet.leader()
            await leader.restart()
            await fleet.write(f"in term {(await fleet.leader()).group.state()['term']}")
        leader = await fleet.leader()
        words = await fleet.read()
        receiver = others(fleet, leader)[0]
        state = receiver.group.state()
        assert state["term"] >= old["term"] + 4
        header = Header(old["lineage"], old["term"], old["host"], state["disk"])
        late = Entry(old["term"], EntryKind.COMMAND, b"late")
        append = AppendRequest(header, old["last_index"], old["term"], (late,), 99)
        call = fleet.stranger().call
        reply = (await call(receiver.address, METHODS.append, append, 1.0)).unwrap()
        assert reply.outcome is Outcome.STALE and reply.term == state["term"]
        vote = VoteRequest(header, False, True, 10_000, old["term"])
        assert not (await call(receiver.address, METHODS.vote, vote, 1.0)).unwrap().granted
        foreign = append._replace(header=header._replace(lineage="other", term=10_000))
        reply = (await call(receiver.address, METHODS.append, foreign, 1.0)).unwrap()
        assert reply.outcome is Outcome.OTHER_DISK
        assert receiver.group.state()["term"] == state["term"]
        assert await fleet.read() == words

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
        damaged = others(fleet, await fleet.leader())[0]
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
