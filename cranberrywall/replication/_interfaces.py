"""Define what a replicated group gives and what it keeps."""

from collections.abc import Sequence
from typing import Protocol, TypedDict

from result import Result

from cranberrywall.errors import Refusal
from cranberrywall.replication.checks import MemberView, Step


class GroupState(TypedDict):
    """Show one member for the state dump.

    Indexes count entries of the log from 1; ``failure`` is empty while the member works.
    ``members`` is the leader's view of all members, and empty elsewhere.
    """

    group: str
    host: str
    role: str
    term: int
    leader: str
    disk: str
    lineage: str
    last_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    roster: list[str]
    members: list[dict[str, object]]
    failure: str


class StateMachine(Protocol):
    """Hold the state that a group replicates; every method is deterministic."""

    def apply(self, command: bytes) -> bytes:
        """Apply one committed command and return its result.

        The time, where a command needs it, is in the command: each replica must come to
        the same state. It never raises for a well-formed but refused command; the result
        says so.
        """
        ...

    def query(self, query: bytes) -> bytes:
        """Answer a read from the state; changes nothing."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by an earlier ``snapshot()``."""
        ...


class Group(Protocol):
    """Replicate one state machine; one of these runs on each member host.

    Each ``timeout`` is in seconds.
    """

    @property
    def name(self) -> str:
        """Return the group's name, such as ``configuration`` or ``ledger-0``."""
        ...

    @property
    def is_leader(self) -> bool:
        """Say whether this host believes that it leads the group."""
        ...

    async def propose(self, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Commit a command and return what ``apply`` gave.

        ``Err`` is ``NOT_LEADER`` (nothing done; the message is the leader's address, or
        empty), ``NOT_CURRENT`` or ``STORAGE_FAILED``, or ``TIMEOUT`` (it may be committed
        later: resend with the same change id).
        """
        ...

    async def query(self, query: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Answer a linearizable read from the leader, by read-index."""
        ...


class Replica(Group, Protocol):
    """Run this host's member of a group."""

    @property
    def has_leader_contact(self) -> bool:
        """Say whether this host leads, or heard the leader lately."""
        ...

    @property
    def has_caught_up(self) -> bool:
        """Return whether this copy has all that was committed before it was opened.

        A host that restarts knows what its snapshot holds. Which entries behind it are committed
        it learns from a leader.
        """
        ...

    @property
    def failure(self) -> Refusal | None:
        """Return why this host takes part no more; ``None`` while it does."""
        ...

    def addresses(self) -> Sequence[str]:
        """Return the stream addresses of the members, by this host's log."""
        ...

    async def start(self) -> Result[None, Refusal]:
        """Open the files and take part; ``Err`` is ``CORRUPT`` or ``STORAGE_FAILED``."""
        ...

    async def hand_over(self) -> None:
        """Let another member lead, if this one does: call it before a stop in good order."""
        ...

    async def stop(self) -> None:
        """Take part no more, and close the files."""
        ...

    def members(self) -> Result[Sequence[MemberView], Refusal]:
        """Return the members as the leader sees them; ``Err`` on any other host."""
        ...

    def steps(self) -> Result[Sequence[Step], Refusal]:
        """Say which changes of the members are safe now; ``Err`` but on the leader."""
        ...

    async def add(self, host: str, address: str, timeout: float) -> Result[None, Refusal]:
        """Add a host, which becomes a voter by itself once it has caught up."""
        ...

    async def enlist(self, host: str, address: str, timeout: float) -> Result[None, Refusal]:
        """Take in a host that asks for itself; one that is a member already changes nothing.

        A member that asks from another address has moved, with or without its disk.
        """
        ...

    async def remove(
        self, host: str, timeout: float, forced: bool = False
    ) -> Result[None, Refusal]:
        """Remove a host; ``Err`` is ``UNSAFE_STEP`` for an unsafe step that is not forced."""
        ...

    async def replace(
        self, old: str, new: str, address: str, timeout: float, forced: bool = False
    ) -> Result[None, Refusal]:
        """Add ``new``; once it is a voter, ``old`` is removed."""
        ...

    def state(self) -> GroupState:
        """Return this member's state for the state dump."""
        ...
