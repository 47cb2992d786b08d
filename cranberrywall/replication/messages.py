"""Define the entries of a group's log and the calls between its members.

An entry's index is its place in the log, from 1; it is not part of the entry.
"""

from enum import StrEnum
from typing import NamedTuple

from cranberrywall.links import Method


class Member(NamedTuple):
    """Describe one host of a group.

    ``disk`` is the random identity of the host's data folder: the same host with another
    disk is another member. Only a ``voter`` counts in a majority; a learner is sent the
    log and nothing else. Once a member that ``replaces`` another host has become a voter,
    that other host is removed.
    """

    host: str
    address: str
    disk: str
    voter: bool
    replaces: str = ""


class Roster(NamedTuple):
    """List a group's members.

    ``lineage`` is drawn when the group is first formed: members of an earlier group of
    the same name and hosts never mix with those of a later one.
    """

    lineage: str
    members: tuple[Member, ...]


class EntryKind(StrEnum):
    """Say what an entry holds."""

    COMMAND = "c"
    ROSTER = "r"
    TERM_START = "t"


class Entry(NamedTuple):
    """Hold one entry of the log."""

    term: int
    kind: EntryKind
    data: bytes


class Header(NamedTuple):
    """Begin every message between members.

    ``to_disk`` is the disk that the sender believes the receiver to have. It is empty
    only where the sender asks for it.
    """

    lineage: str
    term: int
    sender: str
    to_disk: str


class VoteRequest(NamedTuple):
    """Ask for a vote in ``header.term``, or, in a ``trial``, whether it would be given.

    ``invited`` says that the leader asked the candidate to take over, so that a voter need
    not wait until it has not heard that leader for a while.
    """

    header: Header
    trial: bool
    invited: bool
    last_index: int
    last_term: int


class VoteReply(NamedTuple):
    """Give or refuse a vote."""

    term: int
    granted: bool


class HandOverRequest(NamedTuple):
    """Ask a voter to campaign at once: the leader of ``header.term`` stops."""

    header: Header


class HandOverReply(NamedTuple):
    """Say whether the voter campaigns."""

    accepted: bool


class Outcome(StrEnum):
    """Say what a member did with an append or with a part of a snapshot.

    ``GAP``: the entry before the first one is missing or differs. ``STALE``: the sender's
    term is over. ``OTHER_DISK``: the receiver has another disk or another lineage than
    the sender believes.
    """

    DONE = "done"
    GAP = "gap"
    STALE = "stale"
    OTHER_DISK = "other_disk"


class AppendRequest(NamedTuple):
    """Send the entries after ``previous_index``; without any it is a heartbeat."""

    header: Header
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int


class AppendReply(NamedTuple):
    """Answer an append.

    ``position`` is the last entry that surely agrees (``DONE``), or the next one to try
    (``GAP``). ``disk`` is the receiver's.
    """

    term: int
    outcome: Outcome
    position: int
    disk: str


class SnapshotInfo(NamedTuple):
    """Describe a snapshot: the last entry in it, the members then, its size and checksum."""

    last_index: int
    last_term: int
    roster: Roster
    size: int
    checksum: int


class InstallRequest(NamedTuple):
    """Send the part of a snapshot that starts at ``offset``."""

    header: Header
    info: SnapshotInfo
    offset: int
    data: bytes


class InstallReply(NamedTuple):
    """Answer a part; ``offset`` is the next byte wanted, the whole size once it is installed."""

    term: int
    outcome: Outcome
    offset: int
    disk: str


class IdentifyRequest(NamedTuple):
    """Ask for a host's disk; ``founders`` are the addresses that would form a new group."""

    founders: tuple[str, ...]


class IdentifyReply(NamedTuple):
    """Give a host's name, disk and lineage, and whether it is free to found a new group."""

    disk: str
    lineage: str
    free: bool
    host: str


class GroupMethods(NamedTuple):
    """Hold the calls of one group."""

    vote: Method[VoteRequest, VoteReply]
    append: Method[AppendRequest, AppendReply]
    install: Method[InstallRequest, InstallReply]
    identify: Method[IdentifyRequest, IdentifyReply]
    hand_over: Method[HandOverRequest, HandOverReply]


def make_methods(group: str) -> GroupMethods:
    """Return the calls of ``group``; several groups may share one server."""
    return GroupMethods(
        Method(f"replication.{group}.vote", VoteRequest, VoteReply),
        Method(f"replication.{group}.append", AppendRequest, AppendReply),
        Method(f"replication.{group}.install", InstallRequest, InstallReply),
        Method(f"replication.{group}.identify", IdentifyRequest, IdentifyReply),
        Method(f"replication.{group}.hand_over", HandOverRequest, HandOverReply),
    )
