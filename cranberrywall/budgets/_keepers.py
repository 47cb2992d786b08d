"""Choose how a host keeps charges while the ledger is out of reach."""

from result import Err, Ok, Result

from cranberrywall.budgets._charges import Kept
from cranberrywall.budgets.messages import Holder, Transfer
from cranberrywall.errors import ErrorKind, Refusal

_IN_MEMORY = Refusal(ErrorKind.UNREACHABLE, "the charge is held in this host's memory only")


class MemoryKeeper:
    """Keep nothing: what this process holds in memory is all there is."""

    async def keep(self, kept: Kept) -> Result[None, Refusal]:
        """Say that nothing was made durable."""
        return Err(_IN_MEMORY)

    async def keep_transfer(self, holder: Holder, transfer: Transfer) -> Result[None, Refusal]:
        """Let the taker have it: its copy of the transfer is the second one.

        A giver without a disk that is lost before either reports leaves the transfer with
        the taker alone. Its remainder comes back only once every other host has delivered
        what it knows of the giver, so the amount is not given out a second time.
        """
        return Ok(None)

    def committed(self, kept: Kept) -> None:
        """Do nothing."""
