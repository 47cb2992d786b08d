"""Reserve one request's money until it is settled or released."""

from result import Err, Ok, Result

from cranberrywall.budgets._allotment import Allotment
from cranberrywall.budgets._interfaces import ReserveRequest
from cranberrywall.budgets.messages import Charge
from cranberrywall.errors import Refusal
from cranberrywall.observability import log_event


class HeldReservation:
    """Reservation of money from one allotment; counts as spent until ``settle`` or ``release``."""

    __slots__ = ("_allotment", "_charge", "_open", "_request", "_reserved_at", "bound")

    def __init__(
        self,
        allotment: Allotment,
        request: ReserveRequest,
        reserved_at: float,
    ) -> None:
        self.bound = request.bound
        self._allotment = allotment
        self._request = request
        self._reserved_at = reserved_at
        self._open = True
        self._charge: Charge | None = None

    async def begin(self, now: float) -> Result[None, Refusal]:
        """Charge the full bound and return once the charge is durable."""
        request = self._request
        number = self._allotment.open(self.bound)
        self._charge = Charge(
            request.budget,
            request.workspace,
            request.request_id,
            number,
            self.bound,
            self._reserved_at,
            is_open=True,
        )
        return await self._allotment.queue.add(self._charge, self._allotment)

    async def settle(self, actual: int, now: float) -> Result[None, Refusal]:
        """Charge ``actual``, capped at the bound, and return once the charge is durable."""
        if not self._open:
            return Ok(None)
        self._open = False
        if self._charge is not None:
            self._correct(self._charge, actual)
            return Ok(None)
        request = self._request
        amount = actual
        if actual > self.bound:
            # The target exceeded the limit that it was given. The caller's budget must not pay for
            # that: only the reserved amount is guaranteed to be available.
            amount = self.bound
            log_event(
                "WARNING",
                "bound_exceeded",
                budget=request.budget,
                request=request.request_id,
                bound=self.bound,
                actual=actual,
            )
        number = self._allotment.settle(self.bound, amount)
        charge = Charge(
            request.budget,
            request.workspace,
            request.request_id,
            number,
            amount,
            self._reserved_at,
        )
        settled = await self._allotment.queue.add(charge, self._allotment)
        if isinstance(settled, Err) and self._allotment.policy.isolated == "spend":
            # The policy accepts the risk that this host is lost before it reaches the ledger
            # again.
            return Ok(None)
        return settled

    def release(self, now: float) -> None:
        """Free the full amount; a second call does nothing."""
        if not self._open:
            return
        self._open = False
        if self._charge is not None:
            self._correct(self._charge, 0)
        else:
            self._allotment.free(self.bound)

    def _correct(self, charge: Charge, actual: int) -> None:
        amount = min(actual, charge.amount)
        self._allotment.record_cost(charge.amount, amount)
        self._allotment.queue.correct(charge, amount, self._allotment)
