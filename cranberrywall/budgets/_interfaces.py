"""Define what requests use of budgets on an entry host."""

from typing import NamedTuple, Protocol

from result import Result

from cranberrywall.errors import Refusal


class ReserveRequest(NamedTuple):
    """Ask for money for one request.

    ``bound`` is the most the request can cost, in the budget's unit (tokens, or 1 for
    answered requests). ``deadline`` is in monotonic seconds: waiting ends there.
    """

    workspace: str
    budget: str
    request_id: str
    bound: int
    deadline: float


class Reservation(Protocol):
    """Hold money for one request until it is settled or released, exactly once."""

    @property
    def bound(self) -> int:
        """Return the amount held."""
        ...

    async def settle(self, actual: int, now: float) -> Result[None, Refusal]:
        """Charge ``actual`` (at most ``bound``) and free the rest.

        It returns once the charge is durable: committed at the ledger, or, where the
        ledger is out of reach, synced to this host's disk or held by two peers.
        """
        ...

    def release(self, now: float) -> None:
        """Free the whole amount: the request did not run."""
        ...


class Allotments(Protocol):
    """Spend from the amounts that this host holds."""

    async def reserve(self, request: ReserveRequest, now: float) -> Result[Reservation, Refusal]:
        """Hold ``request.bound``, without a message where the allotment covers it.

        ``Err`` is ``BUDGET_EXHAUSTED`` where the ledger said so, or
        ``BUDGET_UNREACHABLE`` where it could not be asked.
        """
        ...
