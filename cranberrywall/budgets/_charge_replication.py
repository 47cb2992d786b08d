"""Define how charges and transfers are kept durable while the ledger is out of reach."""

from collections.abc import Callable, Collection
from typing import NamedTuple, Protocol

from result import Result

from cranberrywall.budgets.messages import Charge, Holder, Transfer
from cranberrywall.errors import ErrorKind, Refusal

# After these errors a command may still be applied. Every other kind is the ledger's own answer.
UNCERTAIN_KINDS = frozenset(
    {
        ErrorKind.UNREACHABLE,
        ErrorKind.TIMEOUT,
        ErrorKind.NOT_CURRENT,
        ErrorKind.NOT_LEADER,
        ErrorKind.STORAGE_FAILED,
        ErrorKind.NOT_READY,
        ErrorKind.OVERLOADED,
    }
)


def out_of_reach(refusal: Refusal) -> bool:
    """Return whether the ledger could not be asked, or its answer was lost."""
    return refusal.kind in UNCERTAIN_KINDS


class Kept(NamedTuple):
    """Records that must still reach the ledger: transfers first, then charges."""

    holder: Holder
    transfers: tuple[Transfer, ...]
    charges: tuple[Charge, ...]


HostFilter = Callable[[str], bool]
"""Return whether records may be stored at the host with the given name."""


class ChargeReplicator(Protocol):
    """Make charges and transfers durable without the ledger."""

    def choose_replica_holders(self, now: float) -> Collection[Holder] | None:
        """Return the incarnations of peers that should store copies; ``None`` to change nothing."""
        ...

    async def persist(self, kept: Kept, is_allowed: HostFilter) -> Result[None, Refusal]:
        """Return once ``kept`` survives the loss of this process.

        A peer may store it only if ``is_allowed`` returns true for the peer's name.
        """
        ...

    def can_persist(self, is_allowed: HostFilter) -> bool:
        """Return whether ``persist`` is likely to succeed now."""
        ...

    async def committed(self, kept: Kept) -> None:
        """Record that the ledger has ``kept``, so that its copies can be discarded."""
        ...
