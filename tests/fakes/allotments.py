"""Spend from an amount in memory, and remember each charge."""

from result import Err, Ok, Result

from cranberrywall.budgets import ReserveRequest
from cranberrywall.errors import ErrorKind, Refusal


class MemoryLedger:
    """Bill each request id once, for any number of hosts."""

    def __init__(self) -> None:
        self.billed_by_request: dict[tuple[str, str], int] = {}
        self.duplicates: list[tuple[str, str]] = []

    def charge(self, key: tuple[str, str], amount: int) -> None:
        if key in self.billed_by_request:
            self.duplicates.append(key)
            return
        self.billed_by_request[key] = amount


class MemoryAllotments:
    """Hold one host's allotment."""

    def __init__(self, ledger: MemoryLedger, amount: int = 10**9) -> None:
        self.ledger = ledger
        self.free = amount
        self.held = 0
        self.settle_refusal: Refusal | None = None

    async def reserve(
        self, request: ReserveRequest, now: float
    ) -> Result["MemoryReservation", Refusal]:
        if request.bound > self.free:
            return Err(Refusal(ErrorKind.BUDGET_EXHAUSTED, "the allotment is spent"))
        self.free -= request.bound
        self.held += request.bound
        return Ok(MemoryReservation(self, request))


class MemoryReservation:
    def __init__(self, owner: MemoryAllotments, request: ReserveRequest) -> None:
        self._owner = owner
        self._request = request
        self._open = True

    @property
    def bound(self) -> int:
        return self._request.bound

    async def begin(self, now: float) -> Result[None, Refusal]:
        if self._owner.settle_refusal is not None:
            return Err(self._owner.settle_refusal)
        return Ok(None)

    async def settle(self, actual: int, now: float) -> Result[None, Refusal]:
        assert actual <= self.bound
        if self._owner.settle_refusal is not None:
            return Err(self._owner.settle_refusal)
        self._close(actual)
        key = (self._request.workspace, self._request.request_id)
        self._owner.ledger.charge(key, actual)
        return Ok(None)

    def release(self, now: float) -> None:
        self._close(0)

    def _close(self, spent: int) -> None:
        assert self._open, "a reservation ends once"
        self._open = False
        self._owner.held -= self.bound
        self._owner.free += self.bound - spent
