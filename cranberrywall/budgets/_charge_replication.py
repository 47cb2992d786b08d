"""Define what keeps charges and transfers safe while the ledger is out of reach."""

from collections.abc import Callable, Collection
from typing import NamedTuple, Protocol

from result import Result

from cranberrywall.budgets.messages import Charge, Holder, Transfer
from cranberrywall.errors import ErrorKind, Refusal

# After these a command may yet be applied. Every other kind is the ledger's own answer.
UNCERTAIN = frozenset(
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
    """Say whether the ledger could not be asked, or its answer was lost."""
    return refusal.kind in UNCERTAIN


class Kept(NamedTuple):
    """Hold what must reach the ledger some day: transfers first, then charges."""

    holder: Holder
    transfers: tuple[Transfer, ...]
    charges: tuple[Charge, ...]


Allows = Callable[[str], bool]
"""Say of a host by its name whether something may be kept there."""


class ChargeReplicator(Protocol):
    """Make charges and transfers durable without the ledger."""

    def choose(self, now: float) -> Collection[Holder] | None:
        """Return the runs of peers that should keep from now on; ``None`` to leave it as it is."""
        ...

    async def keep(self, kept: Kept, allows: Allows) -> Result[None, Refusal]:
        """Return once ``kept`` survives the loss of this process.

        Peers may keep it only where ``allows`` says so of the peer's name.
        """
        ...

    def can_keep(self, allows: Allows) -> bool:
        """Say whether ``keep`` is likely to succeed now."""
        ...

    async def committed(self, kept: Kept) -> None:
        """Note that the ledger has ``kept``: nobody need keep it any longer."""
        ...
