"""Check the rules of commit and append that a fleet seldom shows, one member at a time."""

import random
from typing import Any

import pytest
from result import Ok

from cranberrywall.links import Peer
from cranberrywall.replication import GroupSettings
from cranberrywall.replication._applier import Applier
from cranberrywall.replication._core import Core, Role
from cranberrywall.replication._files import Vote
from cranberrywall.replication._following import Following
from cranberrywall.replication._leadership import Leadership
from cranberrywall.replication._rosters import encode_roster
from cranberrywall.replication.messages import (
    AppendRequest,
    Entry,
    EntryKind,
    Header,
    Member,
    Outcome,
    Roster,
    make_methods,
)
from tests.fakes.clock import ManualClock
from tests.fakes.storage import FakeStorage
from tests.naive.state_machine import NaiveJournal

LEADER = Peer("b", "place", 1)
ROSTER = Roster("line", tuple(Member(name, f"{name}:1", f"disk-{name}", True) for name in "abc"))


class SilentCaller:
    """Reach nobody, for ever."""

    async def call(self, *arguments: Any) -> Any:
        await ManualClock().sleep(1.0)


async def make_core(*terms: int) -> Core:
    """Return host a's core, with a roster in term 1 and then entries of ``terms``."""
    clock = ManualClock()
    core = Core(
        "g", "a", GroupSettings(), make_methods("g"), SilentCaller(), clock,
        random.Random(1), FakeStorage(),
    )  # fmt: skip
    core.files.open("disk-a")
    core.vote = Vote("disk-a", "line", max(terms, default=1), "")
    entries = [Entry(1, EntryKind.ROSTER, encode_roster(ROSTER))]
    entries += [Entry(term, EntryKind.COMMAND, b"%d" % term) for term in terms]
    core.log.append(1, entries)
    assert isinstance(await core.make_durable(1, entries), Ok)
    return core


async def test_an_older_terms_entry_is_committed_only_behind_one_of_this_term():
    """A leader crashes with an entry on one host, and comes back to lead a later term.

    It sends the old entry to a majority. Before an entry of its own term is there too,
    another host with a newer last entry may still win and overwrite it, so that what was
    acknowledged would be gone.
    """
    core = await make_core(2)
    await core.save_vote(4, "a")
    core.role = Role.LEADER
    leadership = Leadership(core, lambda query: b"", 0.0)
    leadership.follow_roster(0.0)
    leadership.peer_by_host["b"].match_index = 2
    leadership.progressed()
    assert core.commit_index == 0
    entry = Entry(4, EntryKind.TERM_START, b"")
    core.log.append(3, [entry])
    await core.make_durable(3, [entry])
    leadership.progressed()
    assert core.commit_index == 0
    leadership.peer_by_host["b"].match_index = 3
    leadership.progressed()
    assert core.commit_index == 3
    leadership.end("done")
    await core.stop()


def append_from_b(term: int, previous: int, previous_term: int, *terms: int) -> AppendRequest:
    entries = tuple(Entry(each, EntryKind.COMMAND, b"new %d" % each) for each in terms)
    header = Header("line", term, "b", "disk-a")
    return AppendRequest(header, previous, previous_term, entries, 0)


@pytest.mark.parametrize(
    ("own", "previous", "previous_term", "hint"),
    [((2, 2), 5, 4, 4), ((2, 3, 3), 4, 4, 3), ((2, 2, 2), 2, 1, 2)],
)
async def test_an_append_behind_a_missing_or_other_entry_is_refused_with_where_to_go_on(
    own: tuple[int, ...], previous: int, previous_term: int, hint: int
):
    """A new leader's first append does not fit this host's log, which is short or differs.

    Appending there would leave a hole, or a false entry in front of the new ones.
    """
    core = await make_core(*own)
    following = Following(core, Applier(core, NaiveJournal()))
    last = core.log.last_index
    request = append_from_b(5, previous, previous_term, 5)
    reply = (await following.append(request, LEADER)).unwrap()
    assert (reply.outcome, reply.position) == (Outcome.GAP, hint)
    assert core.log.last_index == last


async def test_an_append_overwrites_only_what_differs():
    """An append comes twice, the first time with more entries than the second.

    The second must not cut off the entries behind it, which were acknowledged.
    """
    core = await make_core(2, 2)
    following = Following(core, Applier(core, NaiveJournal()))
    await following.append(append_from_b(5, 2, 2, 4, 5, 5), LEADER)
    assert [core.log.term_at(index) for index in range(1, 6)] == [1, 2, 4, 5, 5]
    reply = (await following.append(append_from_b(5, 2, 2, 4), LEADER)).unwrap()
    assert (reply.outcome, reply.position) == (Outcome.DONE, 3)
    assert core.log.last_index == 5


async def test_a_committed_entry_is_never_overwritten():
    """A message that contradicts a committed entry can only come from damage or a fault.

    The host stops and says so, rather than change what was acknowledged.
    """
    core = await make_core(2, 2)
    core.commit(3)
    following = Following(core, Applier(core, NaiveJournal()))
    refused = await following.append(append_from_b(5, 1, 1, 5), LEADER)
    assert refused.is_err() and core.failure is not None
    assert core.log.term_at(2) == 2
