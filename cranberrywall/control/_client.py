"""Find a group's leader and call it."""

from typing import Protocol

from result import Result

from cranberrywall.errors import Refusal


class ControlClient(Protocol):
    """Reach the replicated groups from any process."""

    async def propose(self, group: str, command: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Commit ``command`` in ``group``, following leader hints until ``timeout``.

        A call that timed out is sent again only where the command is idempotent, which
        every command of this system is.
        """
        ...

    async def query(self, group: str, query: bytes, timeout: float) -> Result[bytes, Refusal]:
        """Read from ``group``'s leader; the answer reflects every earlier commit."""
        ...
