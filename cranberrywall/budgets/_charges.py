"""Commit charges in batches, and keep them durable while the ledger is out of reach."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Mapping, Sequence
from functools import partial
from typing import Any

from result import Err, Ok, Result

from cranberrywall.budgets._answer_times import AnswerT, AnswerTimes
from cranberrywall.budgets._charge_replication import ChargeReplicator, Kept, out_of_reach
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._corrections import CorrectionQueue
from cranberrywall.budgets._interfaces import SpendPolicy
from cranberrywall.budgets._ledger_reach import LedgerReach
from cranberrywall.budgets._pending import ChargedAllotment, PendingCharge, log_outcome
from cranberrywall.budgets._transfer_reports import TransferReports
from cranberrywall.budgets.messages import (
    MAX_CHARGES_IN_BATCH,
    Charge,
    ChargeBatch,
    ChargeBatchResult,
    ChargeOutcome,
    Contact,
    Correction,
    Corrections,
    DeclareSpendRates,
    Holder,
    RecallsQuery,
    Transfer,
)
from cranberrywall.errors import Refusal
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

# Batches of one group start at least this far apart, in seconds; charges that arrive in between
# share one batch.
MIN_BATCH_INTERVAL_S = 0.02
COMMIT_TIMEOUT_S = 1.0
# A commit takes some milliseconds. If charges can be replicated to peers only, requests wait for
# their charges before they are sent: the ledger then counts as out of reach after this time, in
# seconds, or later if its answers take longer than usual.
QUICK_COMMIT_TIMEOUT_S = 0.25
# Charges that may not be replicated yet are checked at this interval, in seconds, because their
# bounds rise with time.
PERSIST_POLL_INTERVAL_S = 0.05
MIN_RETRY_DELAY_S = 0.25
# The end of a network partition is noticed within about this time plus that of a commit, in
# seconds, at the cost of one small call. Until then the ledger treats the host as unresponsive, and
# after a loss of power it does so for all of that time.
MAX_RETRY_DELAY_S = 0.3


class ChargeQueue:
    """Commit one holder's charges at one ledger group, with at most one batch in flight.

    ``durable`` states whether a charge can be made durable at all. ``on_reach`` is called with the
    new value of ``in_reach`` at each change.
    """

    def __init__(
        self,
        group: str,
        holder: Holder,
        ledger: LedgerClient,
        replicator: ChargeReplicator,
        clock: Clock,
        is_bounded: bool = False,
    ) -> None:
        """Create the queue; ``is_bounded`` if only peers store copies of the charges.

        Such copies may be lost together with the host; a journal outlives the process.
        """
        min_timeout_s = QUICK_COMMIT_TIMEOUT_S if is_bounded else COMMIT_TIMEOUT_S
        self._answer_times = AnswerTimes(min_timeout_s, COMMIT_TIMEOUT_S)
        self.reach = LedgerReach(group, replicator, clock, is_bounded)
        self._open_charges = CorrectionQueue()
        self.group = group
        self.holder = holder
        self.durable = True
        self.on_reach: Callable[[bool], Awaitable[None]] | None = None
        self.successor: Holder | None = None
        self.on_handover: Callable[[], Sequence[tuple[Transfer, ChargedAllotment]]] | None = None
        self._ledger = ledger
        self._replicator = replicator
        self._clock = clock
        self._waiting: deque[PendingCharge] = deque()
        self._in_flight: list[PendingCharge] = []
        self._is_sending_kept = False
        self._kept: deque[PendingCharge] = deque()
        self._transfers = TransferReports(group, ledger, replicator, clock, self._answer_times)
        self._to_commit = asyncio.Event()
        self._to_persist = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks: list[asyncio.Task[None]] = []
        self._retry_s = MIN_RETRY_DELAY_S
        self._measurement: asyncio.Task[None] | None = None

    def accepts(self, policy: SpendPolicy) -> bool:
        """Return whether a new request may be admitted because its charge can be made durable.

        If the last charge could not be replicated, enough peers may be reachable again: they
        restart one by one.
        """
        if self.durable or policy.isolated == "spend":
            return True
        return self._replicator.can_persist(self.reach.may_store_at)

    @property
    def uncommitted(self) -> int:
        """Return the number of charges and transfers that the ledger has not confirmed."""
        charges = len(self._waiting) + len(self._in_flight) + len(self._kept)
        return charges + len(self._transfers) + len(self._open_charges)

    @property
    def in_reach(self) -> bool:
        """Return whether the last call to the ledger was answered."""
        return self.reach.in_reach

    def state(self) -> dict[str, Any]:
        """Return the queue's state for the state dump."""
        return {
            "holder": self.holder,
            "in_reach": self.in_reach,
            "durable": self.durable,
            "answer_limit_s": self._answer_times.limit_s,
            "waiting": len(self._waiting) + len(self._in_flight),
            "kept": len(self._kept),
            "keepers": self.reach.replica_holders(),
            "transfers_to_report": len(self._transfers),
        }

    def start(self) -> None:
        """Start the tasks that commit and replicate charges."""
        self._tasks = [
            asyncio.create_task(self._commit_loop()),
            asyncio.create_task(self._persist_loop()),
        ]

    async def stop(self) -> None:
        """Stop immediately; copies of uncommitted charges remain stored."""
        tasks = [*self._tasks, *([] if self._measurement is None else [self._measurement])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks = []
        self._measurement = None

    async def add(self, charge: Charge, allotment: ChargedAllotment) -> Result[None, Refusal]:
        """Queue a charge and return once it is durable."""
        done: asyncio.Future[Result[None, Refusal]] = asyncio.get_running_loop().create_future()
        self._waiting.append(PendingCharge(charge, allotment, done))
        if len(self._waiting) == 1:
            self._notify_work()
            if not self.in_reach:
                self._to_persist.set()
        return await done

    def correct(self, charge: Charge, amount: int, allotment: ChargedAllotment) -> None:
        """Queue the final amount of an open charge, which is durable already."""
        self._open_charges.correct(self.holder, charge, amount, allotment)
        self._notify_work()

    def report(self, transfer: Transfer, recipient: ChargedAllotment | None) -> None:
        """Queue the report of a transfer, ahead of every charge that is not committed yet.

        ``recipient`` is the allotment that received the amount; ``None`` in the donor's report.
        """
        self._transfers.add(transfer, recipient)
        self._notify_work()

    @property
    def unreported(self) -> tuple[Transfer, ...]:
        """Return the transfers that the ledger has not confirmed."""
        return self._transfers.transfers

    def unreported_receipts(self, budget: str) -> int:
        """Return the amount of the budget that this host received and that is not reported yet."""
        return self._transfers.unreported_receipts(budget)

    def start_out_of_reach(self) -> None:
        """Start without the ledger, after a restart that resumes from a checkpoint."""
        self.reach.mark_out_of_reach()
        self._notify_work()

    def adopt(self, charge: Charge, allotment: ChargedAllotment) -> None:
        """Queue a charge that is already stored, after a restart."""
        self._kept.append(PendingCharge(charge, allotment, None))
        self._notify_work()

    async def mark_out_of_reach(self, refusal: Refusal) -> None:
        """Record that the ledger is out of reach: charges are replicated from now on."""
        if not self.in_reach:
            return
        self.reach.mark_out_of_reach()
        log_event("WARNING", "ledger_out_of_reach", group=self.group, kind=refusal.kind)
        if self.on_reach is not None:
            await self.on_reach(False)
        self._notify_work()
        if self._waiting:
            self._to_persist.set()

    async def drained(self) -> None:
        """Return once every charge and transfer is committed."""
        await self._idle.wait()

    def _notify_work(self) -> None:
        self._idle.clear()
        self._to_commit.set()

    async def _commit_loop(self) -> None:
        while True:
            await self._to_commit.wait()
            started_at = self._clock.now()
            if self.in_reach:
                await self._commit_next()
            else:
                await self._probe()
            if self.successor is not None and self._can_switch():
                self._switch_to_successor()
            if self.uncommitted == 0 and self.in_reach:
                self._to_commit.clear()
                self._idle.set()
            pause = MIN_BATCH_INTERVAL_S - (self._clock.now() - started_at)
            if pause > 0.0:
                await self._clock.sleep(pause)

    async def _commit_next(self) -> None:
        source = self._kept or self._waiting
        answer: Result[Any, Refusal] = await self._transfers.report_all(self.holder)
        if isinstance(answer, Ok):
            answer = await self._commit_corrections()
        if isinstance(answer, Ok):
            self._is_sending_kept = source is self._kept
            self._in_flight = self._pop_funded(source)
            answer = await self._commit(self._in_flight)
        self._is_sending_kept = False
        batch, self._in_flight = self._in_flight, []
        if isinstance(answer, Err):
            source.extendleft(reversed(batch))
            await self.mark_out_of_reach(answer.err_value)
            # A draw may have marked the ledger as out of reach while this batch was in flight.
            # Without this call the batch would not be replicated, and its requests would wait until
            # the ledger is reachable.
            self._to_persist.set()
            return
        await self._finish(batch, answer.ok_value)

    async def _commit_corrections(self) -> Result[Any, Refusal]:
        """Correct open charges, once all replicated charges are committed."""
        queued = [] if self._kept else self._open_charges.take(self._waiting)
        if not queued:
            return Ok(None)
        holder = queued[0].holder
        corrections = tuple(one.correction for one in queued)
        answer = await self._correct(holder, corrections)
        if isinstance(answer, Ok):
            self._open_charges.confirm(queued)
        return answer

    async def _correct(
        self, holder: Holder, corrections: tuple[Correction, ...]
    ) -> Result[Any, Refusal]:
        contact = self.contact()
        command = Corrections(holder, corrections, self._clock.wall(), contact)
        answer = await self.call(partial(self._ledger.correct, self.group, command))
        if isinstance(answer, Ok):
            self.reach.record_answer(contact)
        return answer

    async def call(
        self, send: Callable[[float], Awaitable[Result[AnswerT, Refusal]]]
    ) -> Result[AnswerT, Refusal]:
        """Return the answer to a call to the ledger that ``send`` makes within a time limit.

        The limit follows the times of earlier answers. Callers wait for such calls, and a lost
        ledger must be noticed before their requests are late.
        """
        return await self._answer_times.call(send, self._clock)

    async def maintain_contact(self, interval_s: float) -> None:
        """Send the ledger a contact command if none was sent to it for ``interval_s`` seconds."""
        if self.reach.contact_due_in_s(interval_s) == 0.0:
            await self._send_contact()

    async def announce_replica_holders(self) -> None:
        """Send the ledger the current replica holders if they have changed.

        In a network partition a host may spend what its peers give it, even if it held nothing
        before.
        """
        if self.reach.has_new_replica_holders():
            await self._send_contact()

    async def _send_contact(self) -> None:
        if not self.in_reach:
            return
        answer = await self._correct(self.holder, ())
        if isinstance(answer, Err):
            log_event("INFO", "contact_failed", group=self.group, kind=answer.err_value.kind)
            if out_of_reach(answer.err_value):
                # An idle host must notice a partition before peers ask it for money. Otherwise it
                # would first try to commit its transfers, and the peers' calls would time out.
                await self.mark_out_of_reach(answer.err_value)

    async def supports_declared_rates(self) -> bool:
        """Return whether all members of the ledger group store declared rates."""
        return await self._ledger.supports_declared_rates(self.group, self._answer_times.limit_s)

    async def declare_rates(self, rate_by_budget: Mapping[str, int]) -> Result[Any, Refusal]:
        """Declare maximum rates of unreported spend; they are observed from now on."""
        declared, contact = self.reach.declared_rates, self.contact()
        rates = tuple(sorted(rate_by_budget.items()))
        declared.record_sent(rate_by_budget)
        command = DeclareSpendRates(self.holder, rates, contact)
        answer = await self.call(partial(self._ledger.declare_rates, self.group, command))
        if isinstance(answer, Ok):
            self.reach.record_answer(contact)
            declared.record_answer(rate_by_budget)
        return answer

    def contact(self) -> Contact:
        """Return the contact data of a command that is sent now."""
        return self.reach.contact(self._unreported_by_budget())

    def _unreported_by_budget(self) -> dict[str, int]:
        """Sum the amounts spent and given that the ledger does not have, by budget.

        Replicated charges in flight to the ledger may be lost with this host. If a draw that
        overtakes them left them out, the ledger would free money that they have spent.
        """
        amount_by_budget: dict[str, int] = {}
        for pending in (*self._kept, *(self._in_flight if self._is_sending_kept else ())):
            charge = pending.charge
            amount_by_budget[charge.budget] = amount_by_budget.get(charge.budget, 0) + charge.amount
        for transfer in self._transfers.transfers:
            if transfer.giver.host == self.holder.host:
                amount_by_budget[transfer.budget] = (
                    amount_by_budget.get(transfer.budget, 0) + transfer.amount
                )
        return amount_by_budget

    def _can_switch(self) -> bool:
        return self.in_reach and not self._kept and not self._transfers

    def _switch_to_successor(self) -> None:
        """Continue as the successor, now that everything spent as the old holder is committed.

        The method does not await, so that no charge gets a number in between. Waiting charges were
        never sent, and get the successor's numbers.
        """
        assert self.successor is not None
        if self.on_handover is not None:
            self._transfers.extend(self.on_handover())
        self._waiting = deque(
            pending._replace(
                charge=pending.charge._replace(number=pending.allotment.take_charge_number())
            )
            for pending in self._waiting
        )
        self.holder = self.successor
        self.successor = None

    async def _probe(self) -> None:
        """Try the ledger again with the replicated charges, at growing intervals."""
        self._measure_answer_time()
        await self._clock.sleep(self._retry_s)
        self._retry_s = min(MAX_RETRY_DELAY_S, self._retry_s * 2.0)
        answer: Result[Any, Refusal] = await self._transfers.report_all(self.holder)
        if isinstance(answer, Ok):
            self._in_flight = self._pop_funded(self._kept)
            answer = await self._commit_or_ask(self._in_flight)
        batch, self._in_flight = self._in_flight, []
        if isinstance(answer, Err):
            self._kept.extendleft(reversed(batch))
            return
        # The callback runs first: a journal must drop its checkpoint before it removes committed
        # charges, or a restart would count their money as still held.
        if self.on_reach is not None:
            await self.on_reach(True)
        log_event("INFO", "ledger_in_reach", group=self.group, kept=len(self._kept))
        self.reach.mark_in_reach()
        self.durable = True
        self._retry_s = MIN_RETRY_DELAY_S
        if batch:
            await self._finish(batch, answer.ok_value)

    def _measure_answer_time(self) -> None:
        """Call the ledger with the longest time limit, unless such a call is under way.

        A leader that all hosts reach again after a partition may answer none of them within the
        limit of a probe. A probe with the longest limit would wait too long for a leader that is
        lost, while another one is elected.
        """
        is_under_way = self._measurement is not None and not self._measurement.done()
        if self.reach.is_bounded and not is_under_way:
            work = self._answer_times.measure(self._ask, self._clock)
            self._measurement = asyncio.create_task(work)

    async def _commit_or_ask(self, batch: Sequence[PendingCharge]) -> Result[Any, Refusal]:
        return await (self._commit(batch) if batch else self.call(self._ask))

    async def _ask(self, timeout_s: float) -> Result[Any, Refusal]:
        return await self._ledger.recalls(self.group, RecallsQuery(self.holder), timeout_s)

    async def _commit(self, batch: Sequence[PendingCharge]) -> Result[Any, Refusal]:
        if not batch:
            return Ok(ChargeBatchResult(()))
        charges = tuple(pending.charge for pending in batch)
        contact = self.contact()
        command = ChargeBatch(self.holder, charges, self._clock.wall(), contact)
        answer = await self.call(partial(self._ledger.charge, command))
        if isinstance(answer, Ok):
            self.reach.record_answer(contact)
        return answer

    def _pop_funded(self, source: deque[PendingCharge]) -> list[PendingCharge]:
        """Remove and return the first charges that the ledger will find covered.

        Charges may be paid with money that a peer gave to this host. While a report of such a
        transfer waits for the report that funds the donor, charges of the budget wait as well.
        """
        waiting = self._transfers.unfunded_budgets()
        if not waiting:
            return [source.popleft() for _ in range(min(MAX_CHARGES_IN_BATCH, len(source)))]
        taken: list[PendingCharge] = []
        left: deque[PendingCharge] = deque()
        while source and len(taken) < MAX_CHARGES_IN_BATCH:
            pending = source.popleft()
            (left if pending.charge.budget in waiting else taken).append(pending)
        source.extendleft(reversed(left))
        return taken

    async def _finish(self, batch: Sequence[PendingCharge], answer: ChargeBatchResult) -> None:
        if not batch:
            return
        for pending, outcome in zip(batch, answer.outcomes, strict=True):
            pending.allotment.committed(pending.charge.amount)
            if outcome is not ChargeOutcome.BILLED:
                log_outcome(pending, outcome)
                self._open_charges.record_unbilled(pending.charge)
            pending.answer(Ok(None))
        charges = tuple(pending.charge for pending in batch)
        await self._replicator.committed(Kept(self.holder, (), charges))

    async def _persist_loop(self) -> None:
        while True:
            await self._to_persist.wait()
            self._to_persist.clear()
            while self._waiting and not self.in_reach:
                batch = self._pop_allowed()
                if batch:
                    await self._persist_batch(batch)
                else:
                    await self._clock.sleep(PERSIST_POLL_INTERVAL_S)

    def _pop_allowed(self) -> list[PendingCharge]:
        """Remove and return the charges that may be replicated now; add them to their bounds."""
        taken: list[PendingCharge] = []
        # The deque is changed in place: a commit that started earlier refers to it, and would
        # otherwise send charges that are replicated now.
        for _ in range(len(self._waiting)):
            pending = self._waiting.popleft()
            is_allowed = pending.allotment.try_persist_unreported(pending.charge.amount)
            (taken if is_allowed else self._waiting).append(pending)
        return taken

    async def _persist_batch(self, batch: list[PendingCharge]) -> None:
        """Replicate charges, and hold them until the ledger commits them."""
        charges = tuple(pending.charge for pending in batch)
        self._kept.extend(batch)
        answer = await self._replicator.persist(
            Kept(self.holder, (), charges), self.reach.may_store_at
        )
        self.durable = isinstance(answer, Ok)
        for pending in batch:
            pending.answer(answer)
