"""Commit charges in batches, and keep them safe while the ledger is out of reach."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from itertools import islice
from typing import Any, NamedTuple, Protocol

from result import Err, Ok, Result

from cranberrywall.budgets._client import LedgerClient
from cranberrywall.budgets._interfaces import SpendPolicy
from cranberrywall.budgets._keepers import Keeper, Kept, out_of_reach
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
from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

# Batches of one group start at least this far apart; charges in between share one.
BATCH_GAP_S = 0.02
COMMIT_TIMEOUT_S = 1.0
# A commit takes some milliseconds. Where charges can be kept at peers only, requests wait for
# theirs before they are sent: the ledger counts as out of reach after this, in seconds.
QUICK_COMMIT_TIMEOUT_S = 0.4
# An idle holder is heard by the ledger this often, in seconds: a command for each host.
CONTACT_EVERY_S = 5.0
LEAST_WAIT_S = 0.001
# Charges that came meanwhile are looked at this often while nothing may be kept, in seconds.
GRACE_POLL_S = 0.05
RETRY_FIRST_S = 0.25
# A cut that is mended is noticed within about this time, in seconds, at one small call for it.
RETRY_MOST_S = 1.0


class Charged(Protocol):
    """Hold the money that charges are made against."""

    @property
    def grace(self) -> int:
        """Return what may be spent at once where the ledger falls silent."""
        ...

    def committed(self, amount: int) -> None:
        """Forget a charge that the ledger has billed."""
        ...

    def granted(self, amount: int) -> None:
        """Add money that may be spent."""
        ...

    def refunded(self, amount: int) -> None:
        """Add what the ledger gave back of an open charge."""
        ...

    def drop(self, amount: int) -> None:
        """Remove money that the ledger does not book to this host."""
        ...

    def take_charge_number(self) -> int:
        """Return the next charge's number, and count it as used."""
        ...


class _Pending(NamedTuple):
    charge: Charge
    allotment: Charged
    done: "asyncio.Future[Result[None, Refusal]] | None"

    def answer(self, result: Result[None, Refusal]) -> None:
        """Answer the request that waits, unless it went away or was answered before."""
        if self.done is not None and not self.done.done():
            self.done.set_result(result)


class _Correcting(NamedTuple):
    """Hold a correction until the ledger has it; ``holder`` made the charge."""

    holder: Holder
    correction: Correction
    surplus: int
    allotment: Charged

    @property
    def key(self) -> tuple[str, int]:
        """Return the budget and number of the charge."""
        return self.correction.budget, self.correction.number


class ChargeQueue:
    """Commit one holder's charges at one ledger group; at most one batch is under way.

    ``in_reach`` says whether the ledger answered last; ``durable`` whether a charge can
    be made durable at all. ``on_reach`` is called with the new state at each change.
    """

    def __init__(
        self,
        group: str,
        holder: Holder,
        ledger: LedgerClient,
        keeper: Keeper,
        clock: Clock,
        detach_after_s: float = 0.0,
    ) -> None:
        """``detach_after_s`` is the silence towards the ledger before anything is kept.

        It is 0 where a journal outlives the process.
        """
        self._commit_timeout_s = QUICK_COMMIT_TIMEOUT_S if detach_after_s else COMMIT_TIMEOUT_S
        self._detach_after_s = detach_after_s
        self._contact_at = clock.now()
        self._spent_silently_by_budget: dict[str, int] = {}
        self._corrections: deque[_Correcting] = deque()
        self._unbilled: set[tuple[str, int]] = set()
        self.group = group
        self.holder = holder
        self.in_reach = True
        self.durable = True
        self.on_reach: Callable[[bool], Awaitable[None]] | None = None
        self.successor: Holder | None = None
        self.on_succeed: Callable[[], Sequence[tuple[Transfer, Charged]]] | None = None
        self._ledger = ledger
        self._keeper = keeper
        self._clock = clock
        self._waiting: deque[_Pending] = deque()
        self._under_way: list[_Pending] = []
        self._sends_kept = False
        self._kept: deque[_Pending] = deque()
        self._transfers: deque[tuple[Transfer, Charged | None]] = deque()
        self._to_commit = asyncio.Event()
        self._to_keep = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks: list[asyncio.Task[None]] = []
        self._retry_s = RETRY_FIRST_S
        self._report_pause_s = 0.0
        self._report_at = 0.0

    def accepts(self, policy: SpendPolicy) -> bool:
        """Say whether a new request may be admitted: its charge would last."""
        return self.durable or policy.isolated == "spend"

    @property
    def uncommitted(self) -> int:
        """Return the number of charges and transfers that the ledger has not confirmed."""
        charges = len(self._waiting) + len(self._under_way) + len(self._kept)
        return charges + len(self._transfers) + len(self._corrections)

    @property
    def may_keep(self) -> bool:
        """Say whether charges and transfers may be kept elsewhere than at the ledger now."""
        return not self.in_reach and self._attached_for(self._clock.now()) <= 0.0

    def state(self) -> dict[str, Any]:
        """Describe the queue, for the state dump."""
        return {
            "holder": self.holder,
            "in_reach": self.in_reach,
            "durable": self.durable,
            "waiting": len(self._waiting) + len(self._under_way),
            "kept": len(self._kept),
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

    async def add(self, charge: Charge, allotment: Charged) -> Result[None, Refusal]:
        """Queue a charge and return once it is durable."""
        done: asyncio.Future[Result[None, Refusal]] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Pending(charge, allotment, done))
        if len(self._waiting) == 1:
            self._work_came()
            if not self.in_reach:
                self._to_keep.set()
        return await done

    def correct(self, charge: Charge, amount: int, allotment: Charged) -> None:
        """Queue what an open charge, which is durable, came to in the end."""
        correction = Correction(charge.budget, charge.number, amount)
        surplus = charge.amount - amount
        self._corrections.append(_Correcting(self.holder, correction, surplus, allotment))
        self._work_came()

    def report(self, transfer: Transfer, taken_by: Charged | None) -> None:
        """Queue the report of a transfer, before every charge that is not committed yet.

        ``taken_by`` is the allotment that took it; the giver's report has none.
        """
        self._transfers.append((transfer, taken_by))
        self._report_at = 0.0
        self._work_came()

    @property
    def unreported(self) -> tuple[Transfer, ...]:
        """Return the transfers that the ledger has not confirmed."""
        return tuple(transfer for transfer, _ in self._transfers)

    def start_out_of_reach(self) -> None:
        """Begin without the ledger, as after a restart that goes on from a checkpoint."""
        self.in_reach = False
        self._work_came()

    def adopt(self, charge: Charge, allotment: Charged) -> None:
        """Queue a charge that is already kept, as after a restart."""
        self._kept.append(_Pending(charge, allotment, None))
        self._work_came()

    async def lost(self, refusal: Refusal) -> None:
        """Note that the ledger is out of reach: charges are kept here from now on."""
        if not self.in_reach:
            return
        self.in_reach = False
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
        answer: Result[Any, Refusal] = await self._report_transfers()
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
        if self.in_reach and not self._kept:
            # Not before the ledger has it all: its answer may be lost, and the host with it.
            self._spent_silently_by_budget.clear()

    async def _commit_corrections(self) -> Result[Any, Refusal]:
        """Correct open charges, once all charges that are kept elsewhere are committed."""
        some = self._correctable()
        if not some:
            return Ok(None)
        holder = some[0].holder
        corrections = tuple(one.correction for one in some)
        command = Corrections(holder, corrections, self._clock.wall(), self.contact())
        answer = await self._ledger.correct(self.group, command, self._commit_timeout_s)
        if isinstance(answer, Err):
            return answer
        for one in some:
            self._corrections.remove(one)
            if one.key in self._unbilled:
                # The ledger has no such charge, or set it aside: it gave nothing back.
                self._unbilled.discard(one.key)
            else:
                one.allotment.refunded(one.surplus)
        return answer

    def _correctable(self) -> list[_Correcting]:
        """Return corrections of one holder whose charges the ledger has.

        A caller may leave while its charge waits. Were the correction to go first, it would
        find nothing to correct, and the money would be spent here and charged there.
        """
        if not self._corrections or self._kept:
            return []
        waiting = {(one.charge.budget, one.charge.number) for one in self._waiting}
        holder = self._corrections[0].holder
        first = islice(self._corrections, MAX_CHARGES_IN_BATCH)
        return [one for one in first if one.holder == holder and one.key not in waiting]

    async def keep_in_contact(self) -> None:
        """Tell the ledger that this holder is there, where it had nothing to say for long.

        Should it be lost, its peers can vouch for it only if they came up before that.
        """
        if not self.in_reach or self._clock.now() - self._contact_at < CONTACT_EVERY_S:
            return
        command = Corrections(self.holder, (), self._clock.wall(), self.contact())
        answer = await self._ledger.correct(self.group, command, self._commit_timeout_s)
        if isinstance(answer, Err):
            log_event("INFO", "contact_failed", group=self.group, kind=answer.err_value.kind)

    def contact(self) -> Contact:
        """Return how the ledger is reached by a command that goes out now, and remember it."""
        now = self._clock.now()
        # Kept charges on their way may be lost with this host: a draw that overtakes them must
        # not say that nothing is kept, or the ledger would free what they have spent.
        has_kept = bool(self._kept) or self._sends_kept
        is_attached = self.in_reach and not has_kept and not self._transfers
        if is_attached:
            self._contact_at = now
        return Contact(now, not is_attached)

    def _attached_for(self, now: float) -> float:
        """Return how many seconds must still pass before anything may be kept elsewhere."""
        return self._contact_at + self._detach_after_s - now

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
        answer: Result[Any, Refusal] = await self._report_transfers()
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
        self.in_reach = True
        self.durable = True
        self._retry_s = RETRY_FIRST_S
        if batch:
            await self._finish(batch, answer.ok_value)

    async def _commit_or_ask(self, batch: Sequence[_Pending]) -> Result[Any, Refusal]:
        if batch:
            return await self._commit(batch)
        return await self._ledger.recalls(
            self.group, RecallsQuery(self.holder), self._commit_timeout_s
        )

    async def _commit(self, batch: Sequence[_Pending]) -> Result[Any, Refusal]:
        if not batch:
            return Ok(ChargeBatchResult(()))
        charges = tuple(pending.charge for pending in batch)
        command = ChargeBatch(self.holder, charges, self._clock.wall(), self.contact())
        return await self._ledger.charge(command, self._commit_timeout_s)

    async def _report_transfers(self) -> Result[None, Refusal]:
        """Report each transfer once; those whose money is not reported yet stay in line."""
        if self._clock.now() < self._report_at:
            return Ok(None)
        for _ in range(len(self._transfers)):
            transfer, taken_by = self._transfers[0]
            answer = await self._ledger.transfer(transfer, self._commit_timeout_s)
            if isinstance(answer, Err):
                refusal = answer.err_value
                if refusal.kind is ErrorKind.NOT_READY:
                    self._transfers.rotate(-1)
                    continue
                if out_of_reach(refusal):
                    return answer
                log_event("ERROR", "transfer_refused", reason=refusal)
            self._transfers.popleft()
            moved = answer.ok_value.moved if isinstance(answer, Ok) else 0
            if taken_by is not None and moved < transfer.amount:
                # The giver's remainder had come back and was spent elsewhere.
                taken_by.drop(transfer.amount - moved)
            await self._keeper.committed(Kept(self.holder, (transfer,), ()))
        self._rest_from_reports()
        return Ok(None)

    def _rest_from_reports(self) -> None:
        """Try what is left again later: the host it waits for may be lost for long."""
        if not self._transfers:
            self._report_pause_s = 0.0
            return
        longer = max(RETRY_FIRST_S, 2.0 * self._report_pause_s)
        self._report_pause_s = min(RETRY_MOST_S, longer)
        self._report_at = self._clock.now() + self._report_pause_s

    def _take_funded(self, source: deque[_Pending]) -> list[_Pending]:
        """Take the first charges that the ledger will find covered.

        Money that was given to this host pays for them: while a report of it waits for
        that of its giver's own money, charges of the budget wait too.
        """
        waiting = {transfer.budget for transfer, taken_by in self._transfers if taken_by}
        if not waiting:
            return [source.popleft() for _ in range(min(MAX_CHARGES_IN_BATCH, len(source)))]
        taken: list[_Pending] = []
        left: deque[_Pending] = deque()
        while source and len(taken) < MAX_CHARGES_IN_BATCH:
            pending = source.popleft()
            (left if pending.charge.budget in waiting else taken).append(pending)
        source.extendleft(reversed(left))
        return taken

    async def _finish(self, batch: Sequence[_Pending], answer: ChargeBatchResult) -> None:
        if not batch:
            return
        for pending, outcome in zip(batch, answer.outcomes, strict=True):
            pending.allotment.committed(pending.charge.amount)
            if outcome is not ChargeOutcome.BILLED:
                _note(pending, outcome)
                if pending.charge.is_open:
                    self._unbilled.add((pending.charge.budget, pending.charge.number))
            pending.answer(Ok(None))
        charges = tuple(pending.charge for pending in batch)
        await self._keeper.committed(Kept(self.holder, (), charges))

    async def _keep_loop(self) -> None:
        while True:
            await self._to_keep.wait()
            self._to_keep.clear()
            while self._waiting and not self.in_reach:
                wait_s = self._attached_for(self._clock.now())
                batch = self._take_graced() if wait_s > 0.0 else self._take_waiting()
                if batch:
                    await self._keep_batch(batch)
                else:
                    # A rest so small that it does not move the clock would be a busy loop.
                    await self._clock.sleep(min(GRACE_POLL_S, max(LEAST_WAIT_S, wait_s)))

    def _take_waiting(self) -> list[_Pending]:
        batch = list(self._waiting)
        self._waiting.clear()
        return batch

    def _take_graced(self) -> list[_Pending]:
        """Take the charges that the grace of their budgets covers, and count them to it."""
        taken: list[_Pending] = []
        left: deque[_Pending] = deque()
        for pending in self._waiting:
            budget = pending.charge.budget
            spent = self._spent_silently_by_budget.get(budget, 0) + pending.charge.amount
            if spent <= pending.allotment.grace:
                self._spent_silently_by_budget[budget] = spent
                taken.append(pending)
            else:
                left.append(pending)
        self._waiting = left
        return taken

    async def _keep_batch(self, batch: list[_Pending]) -> None:
        """Make charges durable here, and hold them until the ledger takes them."""
        charges = tuple(pending.charge for pending in batch)
        self._kept.extend(batch)
        answer = await self._keeper.keep(Kept(self.holder, (), charges))
        self.durable = isinstance(answer, Ok)
        for pending in batch:
            pending.answer(answer)


def _note(pending: _Pending, outcome: ChargeOutcome) -> None:
    charge = pending.charge
    if outcome is ChargeOutcome.DUPLICATE:
        # The ledger left the amount in our allotment: it can be spent again.
        pending.allotment.granted(charge.amount)
    log_event(
        "WARNING",
        "charge_not_billed",
        outcome=outcome,
        budget=charge.budget,
        request=charge.request_id,
        amount=charge.amount,
    )
