"""Commit charges in batches, and keep them safe while the ledger is out of reach."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from result import Err, Ok, Result

from cranberrywall.budgets._charge_replication import ChargeReplicator, Kept, out_of_reach
from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._corrections import CorrectionQueue
from cranberrywall.budgets._interfaces import SpendPolicy
from cranberrywall.budgets._pending import ChargedAllotment, PendingCharge, note_outcome
from cranberrywall.budgets._reach import Reach
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
    Holder,
    RecallsQuery,
    Transfer,
)
from cranberrywall.errors import Refusal
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

# Batches of one group start at least this far apart; charges in between share one.
BATCH_GAP_S = 0.02
COMMIT_TIMEOUT_S = 1.0
# A commit takes some milliseconds. Where charges can be kept at peers only, requests wait for
# theirs before they are sent: the ledger counts as out of reach after this, in seconds.
QUICK_COMMIT_TIMEOUT_S = 0.25
# Charges that may not be kept yet are looked at this often, in seconds: their bounds rise.
KEEP_POLL_S = 0.05
RETRY_FIRST_S = 0.25
# A cut that is mended is noticed within about this time and a commit's, in seconds, at one small
# call for it. Until then a host counts as silent, and after a loss of power for all of that.
RETRY_MOST_S = 0.3


class ChargeQueue:
    """Commit one holder's charges at one ledger group; at most one batch is under way.

    ``durable`` says whether a charge can be made durable at all. ``on_reach`` is called with
    the new state of ``in_reach`` at each change.
    """

    def __init__(
        self,
        group: str,
        holder: Holder,
        ledger: LedgerClient,
        keeper: ChargeReplicator,
        clock: Clock,
        is_bounded: bool = False,
    ) -> None:
        """``is_bounded`` where charges are kept at peers only, which may be lost with the host.

        Else a journal outlives the process.
        """
        self._commit_timeout_s = QUICK_COMMIT_TIMEOUT_S if is_bounded else COMMIT_TIMEOUT_S
        self.reach = Reach(group, keeper, clock, is_bounded)
        self._open_charges = CorrectionQueue()
        self.group = group
        self.holder = holder
        self.durable = True
        self.on_reach: Callable[[bool], Awaitable[None]] | None = None
        self.successor: Holder | None = None
        self.on_succeed: Callable[[], Sequence[tuple[Transfer, ChargedAllotment]]] | None = None
        self._ledger = ledger
        self._keeper = keeper
        self._clock = clock
        self._waiting: deque[PendingCharge] = deque()
        self._under_way: list[PendingCharge] = []
        self._sends_kept = False
        self._kept: deque[PendingCharge] = deque()
        self._transfers = TransferReports(group, ledger, keeper, clock, self._commit_timeout_s)
        self._to_commit = asyncio.Event()
        self._to_keep = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks: list[asyncio.Task[None]] = []
        self._retry_s = RETRY_FIRST_S

    def accepts(self, policy: SpendPolicy) -> bool:
        """Say whether a new request may be admitted: its charge would last.

        Where one could not be kept, peers may be in reach again: they restart one by one.
        """
        if self.durable or policy.isolated == "spend":
            return True
        return self._keeper.can_keep(self.reach.may_keep_at)

    @property
    def uncommitted(self) -> int:
        """Return the number of charges and transfers that the ledger has not confirmed."""
        charges = len(self._waiting) + len(self._under_way) + len(self._kept)
        return charges + len(self._transfers) + len(self._open_charges)

    @property
    def in_reach(self) -> bool:
        """Say whether the ledger answered last."""
        return self.reach.in_reach

    def state(self) -> dict[str, Any]:
        """Describe the queue, for the state dump."""
        return {
            "holder": self.holder,
            "in_reach": self.in_reach,
            "durable": self.durable,
            "waiting": len(self._waiting) + len(self._under_way),
            "kept": len(self._kept),
            "keepers": self.reach.keepers(),
            "transfers_to_report": len(self._transfers),
        }

    def start(self) -> None:
        """Begin to commit."""
        self._tasks = [
            asyncio.create_task(self._commit_loop()),
            asyncio.create_task(self._keep_loop()),
        ]

    async def stop(self) -> None:
        """End at once; what is not committed stays where it is kept."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    async def add(self, charge: Charge, allotment: ChargedAllotment) -> Result[None, Refusal]:
        """Queue a charge and return once it is durable."""
        done: asyncio.Future[Result[None, Refusal]] = asyncio.get_running_loop().create_future()
        self._waiting.append(PendingCharge(charge, allotment, done))
        if len(self._waiting) == 1:
            self._work_came()
            if not self.in_reach:
                self._to_keep.set()
        return await done

    def correct(self, charge: Charge, amount: int, allotment: ChargedAllotment) -> None:
        """Queue what an open charge, which is durable, came to in the end."""
        self._open_charges.correct(self.holder, charge, amount, allotment)
        self._work_came()

    def report(self, transfer: Transfer, taken_by: ChargedAllotment | None) -> None:
        """Queue the report of a transfer, before every charge that is not committed yet.

        ``taken_by`` is the allotment that took it; the giver's report has none.
        """
        self._transfers.add(transfer, taken_by)
        self._work_came()

    @property
    def unreported(self) -> tuple[Transfer, ...]:
        """Return the transfers that the ledger has not confirmed."""
        return self._transfers.transfers

    def start_out_of_reach(self) -> None:
        """Begin without the ledger, as after a restart that goes on from a checkpoint."""
        self.reach.lose()
        self._work_came()

    def adopt(self, charge: Charge, allotment: ChargedAllotment) -> None:
        """Queue a charge that is already kept, as after a restart."""
        self._kept.append(PendingCharge(charge, allotment, None))
        self._work_came()

    async def lost(self, refusal: Refusal) -> None:
        """Note that the ledger is out of reach: charges are kept here from now on."""
        if not self.in_reach:
            return
        self.reach.lose()
        log_event("WARNING", "ledger_out_of_reach", group=self.group, kind=refusal.kind)
        if self.on_reach is not None:
            await self.on_reach(False)
        self._work_came()
        if self._waiting:
            self._to_keep.set()

    async def drained(self) -> None:
        """Return once every charge and transfer is committed."""
        await self._idle.wait()

    def _work_came(self) -> None:
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
            if self.successor is not None and self._can_succeed():
                self._succeed()
            if self.uncommitted == 0 and self.in_reach:
                self._to_commit.clear()
                self._idle.set()
            pause = BATCH_GAP_S - (self._clock.now() - started_at)
            if pause > 0.0:
                await self._clock.sleep(pause)

    async def _commit_next(self) -> None:
        source = self._kept or self._waiting
        answer: Result[Any, Refusal] = await self._transfers.report_all(self.holder)
        if isinstance(answer, Ok):
            answer = await self._commit_corrections()
        if isinstance(answer, Ok):
            self._sends_kept = source is self._kept
            self._under_way = self._take_funded(source)
            answer = await self._commit(self._under_way)
        self._sends_kept = False
        batch, self._under_way = self._under_way, []
        if isinstance(answer, Err):
            source.extendleft(reversed(batch))
            await self.lost(answer.err_value)
            # A draw may have found the ledger lost while this batch was on its way: nobody
            # would keep it then, and its requests would wait until the cut is mended.
            self._to_keep.set()
            return
        await self._finish(batch, answer.ok_value)

    async def _commit_corrections(self) -> Result[Any, Refusal]:
        """Correct open charges, once all charges that are kept elsewhere are committed."""
        some = [] if self._kept else self._open_charges.take(self._waiting)
        if not some:
            return Ok(None)
        holder = some[0].holder
        corrections = tuple(one.correction for one in some)
        answer = await self._correct(holder, corrections)
        if isinstance(answer, Ok):
            self._open_charges.confirm(some)
        return answer

    async def _correct(
        self, holder: Holder, corrections: tuple[Correction, ...]
    ) -> Result[Any, Refusal]:
        contact = self.contact()
        command = Corrections(holder, corrections, self._clock.wall(), contact)
        answer = await self._ledger.correct(self.group, command, self._commit_timeout_s)
        if isinstance(answer, Ok):
            self.reach.record_answer(contact)
        return answer

    async def keep_in_contact(self, every_s: float) -> None:
        """Tell the ledger that this holder is there, where it had nothing to say for so long."""
        if self.reach.was_silent(every_s):
            await self._make_contact()

    async def announce_keepers(self) -> None:
        """Tell the ledger who keeps charges from now on, where that has changed.

        In a cut, a host may spend what its peers give it, also where it held nothing before.
        """
        if self.reach.has_new_keepers():
            await self._make_contact()

    async def _make_contact(self) -> None:
        if not self.in_reach:
            return
        answer = await self._correct(self.holder, ())
        if isinstance(answer, Err):
            log_event("INFO", "contact_failed", group=self.group, kind=answer.err_value.kind)
            if out_of_reach(answer.err_value):
                # An idle host knows of a cut before peers ask it for what it holds: it would else
                # try to have its gifts booked first, and they give up on it meanwhile.
                await self.lost(answer.err_value)

    def contact(self) -> Contact:
        """Return how the ledger is reached by a command that goes out now."""
        return self.reach.contact(self._unseen_by_budget())

    def _unseen_by_budget(self) -> dict[str, int]:
        """Sum what was spent and given that the ledger has not got.

        Kept charges on their way may be lost with this host: a draw that overtakes them must
        not leave them out, or the ledger would free what they have spent.
        """
        unseen: dict[str, int] = {}
        for pending in (*self._kept, *(self._under_way if self._sends_kept else ())):
            charge = pending.charge
            unseen[charge.budget] = unseen.get(charge.budget, 0) + charge.amount
        for transfer in self._transfers.transfers:
            if transfer.giver.host == self.holder.host:
                unseen[transfer.budget] = unseen.get(transfer.budget, 0) + transfer.amount
        return unseen

    def _can_succeed(self) -> bool:
        return self.in_reach and not self._kept and not self._transfers

    def _succeed(self) -> None:
        """Go on as the successor: all that was spent as the old holder is committed.

        One step without a wait, so that no charge is numbered in between. Charges that
        wait were never sent, and take the successor's numbers.
        """
        assert self.successor is not None
        if self.on_succeed is not None:
            self._transfers.extend(self.on_succeed())
        self._waiting = deque(
            pending._replace(
                charge=pending.charge._replace(number=pending.allotment.take_charge_number())
            )
            for pending in self._waiting
        )
        self.holder = self.successor
        self.successor = None

    async def _probe(self) -> None:
        """Try the ledger again with what is kept, ever more rarely."""
        await self._clock.sleep(self._retry_s)
        self._retry_s = min(RETRY_MOST_S, self._retry_s * 2.0)
        answer: Result[Any, Refusal] = await self._transfers.report_all(self.holder)
        if isinstance(answer, Ok):
            self._under_way = self._take_funded(self._kept)
            answer = await self._commit_or_ask(self._under_way)
        batch, self._under_way = self._under_way, []
        if isinstance(answer, Err):
            self._kept.extendleft(reversed(batch))
            return
        # The listener first: a journal must drop its checkpoint before it forgets charges
        # that are committed, or a restart would count their money as still held.
        if self.on_reach is not None:
            await self.on_reach(True)
        log_event("INFO", "ledger_in_reach", group=self.group, kept=len(self._kept))
        self.reach.find()
        self.durable = True
        self._retry_s = RETRY_FIRST_S
        if batch:
            await self._finish(batch, answer.ok_value)

    async def _commit_or_ask(self, batch: Sequence[PendingCharge]) -> Result[Any, Refusal]:
        if batch:
            return await self._commit(batch)
        return await self._ledger.recalls(
            self.group, RecallsQuery(self.holder), self._commit_timeout_s
        )

    async def _commit(self, batch: Sequence[PendingCharge]) -> Result[Any, Refusal]:
        if not batch:
            return Ok(ChargeBatchResult(()))
        charges = tuple(pending.charge for pending in batch)
        contact = self.contact()
        command = ChargeBatch(self.holder, charges, self._clock.wall(), contact)
        answer = await self._ledger.charge(command, self._commit_timeout_s)
        if isinstance(answer, Ok):
            self.reach.record_answer(contact)
        return answer

    def _take_funded(self, source: deque[PendingCharge]) -> list[PendingCharge]:
        """Take the first charges that the ledger will find covered.

        Money that was given to this host pays for them: while a report of it waits for
        that of its giver's own money, charges of the budget wait too.
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
                note_outcome(pending, outcome)
                self._open_charges.record_unbilled(pending.charge)
            pending.answer(Ok(None))
        charges = tuple(pending.charge for pending in batch)
        await self._keeper.committed(Kept(self.holder, (), charges))

    async def _keep_loop(self) -> None:
        while True:
            await self._to_keep.wait()
            self._to_keep.clear()
            while self._waiting and not self.in_reach:
                batch = self._take_allowed()
                if batch:
                    await self._keep_batch(batch)
                else:
                    await self._clock.sleep(KEEP_POLL_S)

    def _take_allowed(self) -> list[PendingCharge]:
        """Take out the charges that may be kept now, and count them to their budgets' bounds."""
        taken: list[PendingCharge] = []
        # In place: a commit that began before holds this deque, and would send what is kept.
        for _ in range(len(self._waiting)):
            pending = self._waiting.popleft()
            is_allowed = pending.allotment.try_keep_unseen(pending.charge.amount)
            (taken if is_allowed else self._waiting).append(pending)
        return taken

    async def _keep_batch(self, batch: list[PendingCharge]) -> None:
        """Make charges durable here, and hold them until the ledger takes them."""
        charges = tuple(pending.charge for pending in batch)
        self._kept.extend(batch)
        answer = await self._keeper.keep(Kept(self.holder, (), charges), self.reach.may_keep_at)
        self.durable = isinstance(answer, Ok)
        for pending in batch:
            pending.answer(answer)
