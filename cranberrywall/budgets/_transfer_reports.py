"""Report transfers of money between hosts to the ledger."""

from collections import deque
from collections.abc import Iterable, Sequence
from functools import partial
from itertools import islice

from result import Err, Ok, Result

from cranberrywall.budgets._answer_times import AnswerTimes
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

# A transfer that waits for another host's report is retried after this time, in seconds, then at
# growing intervals: hosts that were isolated together report at the same time.
MIN_RETRY_DELAY_S = 0.05
# Factor by which each pause exceeds the last. A transfer that waits for a host that is back a
# second after this one is retried within a quarter of that time.
RETRY_GROWTH = 1.25
# Maximum pause, in seconds, while the donor of a transfer is lost; a retry is one small call.
MAX_RETRY_DELAY_S = 1.0


_Report = tuple[Transfer, ChargedAllotment | None]


class TransferReports:
    """Queue of transfers that the ledger has not confirmed, in their order."""

    def __init__(
        self,
        group: str,
        ledger: LedgerClient,
        replicator: ChargeReplicator,
        clock: Clock,
        answer_times: AnswerTimes,
    ) -> None:
        """Create a queue; ``answer_times`` limits the ledger's time for a batch."""
        self._group = group
        self._ledger = ledger
        self._replicator = replicator
        self._clock = clock
        self._answer_times = answer_times
        self._waiting: deque[_Report] = deque()
        self._pause_s = 0.0
        self._due_at = float("-inf")

    def __len__(self) -> int:
        """Return the number of queued transfers."""
        return len(self._waiting)

    @property
    def transfers(self) -> tuple[Transfer, ...]:
        """Return the queued transfers."""
        return tuple(transfer for transfer, _ in self._waiting)

    def unfunded_budgets(self) -> set[str]:
        """Return the budgets in which this host received money that is not reported yet."""
        return {transfer.budget for transfer, recipient in self._waiting if recipient}

    def unreported_receipts(self, budget: str) -> int:
        """Return the amount of the budget that this host received and that is not reported yet."""
        return sum(
            transfer.amount
            for transfer, recipient in self._waiting
            if recipient and transfer.budget == budget
        )

    def add(self, transfer: Transfer, recipient: ChargedAllotment | None) -> None:
        """Queue a transfer that is to be reported immediately."""
        self._waiting.append((transfer, recipient))
        self._due_at = float("-inf")

    def extend(self, more: Iterable[tuple[Transfer, ChargedAllotment | None]]) -> None:
        """Queue transfers behind those that wait."""
        self._waiting.extend(more)

    async def report_all(self, holder: Holder) -> Result[None, Refusal]:
        """Report all transfers once; those that the ledger cannot fund yet stay queued."""
        if self._clock.now() < self._due_at:
            return Ok(None)
        count = len(self._waiting)
        while count > 0:
            batch = list(islice(self._waiting, min(count, MAX_TRANSFERS_IN_BATCH)))
            count -= len(batch)
            command = TransferBatch(tuple(transfer for transfer, _ in batch))
            answer = await self._answer_times.call(
                partial(self._ledger.transfer_batch, self._group, command), self._clock
            )
            if isinstance(answer, Err):
                return Err(answer.err_value)
            # Until now they count as not received by the ledger. Meanwhile others can only have
            # been added behind them.
            for _ in batch:
                self._waiting.popleft()
            await self._apply_outcomes(holder, batch, answer.ok_value.outcomes)
        self._schedule_retry()
        return Ok(None)

    async def _apply_outcomes(
        self, holder: Holder, batch: Sequence[_Report], outcomes: Sequence[TransferOutcome]
    ) -> None:
        done = []
        for (transfer, recipient), outcome in zip(batch, outcomes, strict=True):
            if outcome.kind == ErrorKind.NOT_READY:
                self._waiting.append((transfer, recipient))
                continue
            if outcome.kind:
                log_event("ERROR", "transfer_refused", kind=outcome.kind, reason=outcome.message)
            if recipient is not None and outcome.moved < transfer.amount:
                # The donor's remainder had been released and spent elsewhere.
                recipient.drop(transfer.amount - outcome.moved)
            done.append(transfer)
        if done:
            await self._replicator.committed(Kept(holder, tuple(done), ()))

    def _schedule_retry(self) -> None:
        """Schedule the next attempt; the host that a transfer waits for may be lost for long."""
        if not self._waiting:
            self._pause_s = 0.0
            return
        self._pause_s = min(MAX_RETRY_DELAY_S, max(MIN_RETRY_DELAY_S, RETRY_GROWTH * self._pause_s))
        self._due_at = self._clock.now() + self._pause_s
