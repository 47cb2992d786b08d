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
from tests.replication.fleet import Fleet, run_fleet

METHODS = make_methods("ledger-0")
HOUR_S = 3600.0
# Slow heartbeats, so that hours of virtual time take little real time.
SLOW = GroupSettings(heartbeat_s=3.0, election_s=20.0, tick_s=1.5)


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
        fleet.heal()
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
        for other in fleet.others(deaf):
            fleet.fabric.cut_one_way(other.ip, deaf.ip)
        await fleet.until(lambda: not deaf.group.is_leader)
        await fleet.until(lambda: bool(fleet.leaders()) and not deaf.group.is_leader)
        await fleet.write("after")
        assert not deaf.group.is_leader

    run_fleet(test)


def test_a_host_far_behind_gets_a_snapshot_in_parts_over_a_bad_link():
    """A host is away for hundreds of changes; its link breaks during the transfer."""

    async def test(fleet: Fleet) -> None:
        away = fleet.others(await fleet.leader())[0]
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


def test_reads_start_no_transfer_to_a_host_that_is_down(monkeypatch: pytest.MonkeyPatch):
    """The leader reads its whole snapshot for each read, as long as a host is down.

    The host is behind the start of the leader's log. Changes wait for the disk meanwhile.
    """

    async def test(fleet: Fleet) -> None:
        away = fleet.others(await fleet.leader())[0]
        await away.kill()
        await fleet.write(*(f"word-{number}" for number in range(300)))
        leader = await fleet.leader()
        read_names: list[str] = []
        read = leader.storage.read

        def note_and_read(name: str) -> bytes | None:
            read_names.append(name)
            return read(name)

        monkeypatch.setattr(leader.storage, "read", note_and_read)
        started_at = fleet.clock.now()
        for _ in range(200):
            assert isinstance(await leader.group.query(b"", 5.0), Ok)
            await fleet.clock.sleep(0.01)
        heartbeats = (fleet.clock.now() - started_at) / GroupSettings().heartbeat_s
        assert 1 <= len(read_names) <= heartbeats + 1
        assert isinstance(await away.start(), Ok)
        await fleet.until(lambda: len(away.machine.words) == 300)

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
        odd = [leader, *fleet.others(leader)][place]
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
        await fleet.until(lambda: any(host.group.is_leader for host in fleet.others(slept)))
        other = next(host for host in fleet.leaders() if host is not slept)
        assert isinstance(await other.group.propose(b"newer", 5.0), Ok)
        assert slept.group.is_leader
        reading = asyncio.ensure_future(slept.group.query(b"", 5.0))
        await fleet.clock.sleep(0.5)
        assert not reading.done()
        fleet.heal()
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
        receiver = fleet.others(leader)[0]
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
