"""Define what a replicated group gives and what it keeps."""

from typing import Protocol

from result import Result

from cranberrywall.errors import Refusal


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
    """Replicate one state machine; one of these runs on each member host."""

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

    async def start(self) -> Result[None, Refusal]:
        """Open the files and take part; ``Err`` is ``CORRUPT`` or ``STORAGE_FAILED``."""
        ...

    async def stop(self) -> None:
        """Take part no more, and close the files."""
        ...
