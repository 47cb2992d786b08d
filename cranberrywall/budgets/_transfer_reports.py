"""Report transfers of money between hosts to the ledger."""

from collections import deque
from collections.abc import Iterable, Sequence
from itertools import islice

from result import Err, Ok, Result

from cranberrywall.budgets._charge_replication import ChargeReplicator, Kept
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._pending import ChargedAllotment
from cranberrywall.budgets.messages import (
    MAX_TRANSFERS_IN_BATCH,
    Holder,
    Transfer,
    TransferBatch,
    TransferOutcome,
)
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

# A transfer that waits for another host's report is tried again after this, in seconds, then ever
# more rarely: hosts that were cut off together report at the same time.
RETRY_FIRST_S = 0.05
# Each pause is longer than the last by this factor: what waits for a host that is back a second
# after this one is tried again within a quarter of that.
RETRY_GROWTH = 1.25
# A transfer whose giver is lost is tried again this often at least, in seconds: one small call.
RETRY_MOST_S = 1.0


_Report = tuple[Transfer, ChargedAllotment | None]


class TransferReports:
    """Hold the transfers that the ledger has not confirmed, in their order."""

    def __init__(
        self,
        group: str,
        ledger: LedgerClient,
        keeper: ChargeReplicator,
        clock: Clock,
        timeout_s: float,
    ) -> None:
        """``timeout_s`` is how long the ledger may take for a batch."""
        self._group = group
        self._ledger = ledger
        self._keeper = keeper
        self._clock = clock
        self._timeout_s = timeout_s
        self._waiting: deque[_Report] = deque()
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

    def add(self, transfer: Transfer, taken_by: ChargedAllotment | None) -> None:
        """Queue a transfer, to be reported at once."""
        self._waiting.append((transfer, taken_by))
        self._due_at = 0.0

    def extend(self, more: Iterable[tuple[Transfer, ChargedAllotment | None]]) -> None:
        """Queue transfers behind those that wait."""
        self._waiting.extend(more)

    async def report_all(self, holder: Holder) -> Result[None, Refusal]:
        """Report all transfers once; those whose money is not reported yet stay in line."""
        if self._clock.now() < self._due_at:
            return Ok(None)
        count = len(self._waiting)
        while count > 0:
            batch = list(islice(self._waiting, min(count, MAX_TRANSFERS_IN_BATCH)))
            count -= len(batch)
            command = TransferBatch(tuple(transfer for transfer, _ in batch))
            answer = await self._ledger.transfer_batch(self._group, command, self._timeout_s)
            if isinstance(answer, Err):
                return Err(answer.err_value)
            # Until now they count as unknown to the ledger; others came behind them at most.
            for _ in batch:
                self._waiting.popleft()
            await self._conclude(holder, batch, answer.ok_value.outcomes)
        self._rest()
        return Ok(None)

    async def _conclude(
        self, holder: Holder, batch: Sequence[_Report], outcomes: Sequence[TransferOutcome]
    ) -> None:
        done = []
        for (transfer, taken_by), outcome in zip(batch, outcomes, strict=True):
            if outcome.kind == ErrorKind.NOT_READY:
                self._waiting.append((transfer, taken_by))
                continue
            if outcome.kind:
                log_event("ERROR", "transfer_refused", kind=outcome.kind, reason=outcome.message)
            if taken_by is not None and outcome.moved < transfer.amount:
                # The giver's remainder had come back and was spent elsewhere.
                taken_by.drop(transfer.amount - outcome.moved)
            done.append(transfer)
        if done:
            await self._keeper.committed(Kept(holder, tuple(done), ()))

    def _rest(self) -> None:
        """Try what is left again later: the host it waits for may be lost for long."""
        if not self._waiting:
            self._pause_s = 0.0
            return
        self._pause_s = min(RETRY_MOST_S, max(RETRY_FIRST_S, RETRY_GROWTH * self._pause_s))
        self._due_at = self._clock.now() + self._pause_s
