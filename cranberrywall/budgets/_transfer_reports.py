"""Report transfers of money between hosts to the ledger."""

from collections import deque
from collections.abc import Iterable

from result import Err, Ok, Result

from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._keepers import Keeper, Kept, out_of_reach
from cranberrywall.budgets._pending import Charged
from cranberrywall.budgets.messages import Holder, Transfer
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

RETRY_FIRST_S = 0.25
# A transfer whose giver is lost is tried again this often at least, in seconds: one small call.
RETRY_MOST_S = 1.0


class TransferReports:
    """Hold the transfers that the ledger has not confirmed, in their order."""

    def __init__(
        self, ledger: LedgerClient, keeper: Keeper, clock: Clock, timeout_s: float
    ) -> None:
        """``timeout_s`` is how long the ledger may take for each."""
        self._ledger = ledger
        self._keeper = keeper
        self._clock = clock
        self._timeout_s = timeout_s
        self._waiting: deque[tuple[Transfer, Charged | None]] = deque()
        self._pause_s = 0.0
        self._due_at = 0.0

    def __len__(self) -> int:
        """Return the number of transfers that wait."""
        return len(self._waiting)

    @property
    def transfers(self) -> tuple[Transfer, ...]:
        """Return the transfers that wait."""
        return tuple(transfer for transfer, _ in self._waiting)

    def unfunded_budgets(self) -> set[str]:
        """Return the budgets in which this host was given money that is not reported yet."""
        return {transfer.budget for transfer, taken_by in self._waiting if taken_by}

    def add(self, transfer: Transfer, taken_by: Charged | None) -> None:
        """Queue a transfer, to be reported at once."""
        self._waiting.append((transfer, taken_by))
        self._due_at = 0.0

    def extend(self, more: Iterable[tuple[Transfer, Charged | None]]) -> None:
        """Queue transfers behind those that wait."""
        self._waiting.extend(more)

    async def report_all(self, holder: Holder) -> Result[None, Refusal]:
        """Report each transfer once; those whose money is not reported yet stay in line."""
        if self._clock.now() < self._due_at:
            return Ok(None)
        for _ in range(len(self._waiting)):
            transfer, taken_by = self._waiting[0]
            answer = await self._ledger.transfer(transfer, self._timeout_s)
            if isinstance(answer, Err):
                refusal = answer.err_value
                if refusal.kind is ErrorKind.NOT_READY:
                    self._waiting.rotate(-1)
                    continue
                if out_of_reach(refusal):
                    return answer
                log_event("ERROR", "transfer_refused", reason=refusal)
            self._waiting.popleft()
            moved = answer.ok_value.moved if isinstance(answer, Ok) else 0
            if taken_by is not None and moved < transfer.amount:
                # The giver's remainder had come back and was spent elsewhere.
                taken_by.drop(transfer.amount - moved)
            await self._keeper.committed(Kept(holder, (transfer,), ()))
        self._rest()
        return Ok(None)

    def _rest(self) -> None:
        """Try what is left again later: the host it waits for may be lost for long."""
        if not self._waiting:
            self._pause_s = 0.0
            return
        self._pause_s = min(RETRY_MOST_S, max(RETRY_FIRST_S, 2.0 * self._pause_s))
        self._due_at = self._clock.now() + self._pause_s
