"""Draws, returns, transfers and recalls: movements between free amounts and holders.

A holder that was superseded, or confirmed dead by operators, gets nothing new. What it holds is
freed only on evidence; see ``RegisterHolder`` and ``ConfirmDead``.
"""

from cranberrywall.budgets._ledger_accounts import Account, Allotment
from cranberrywall.budgets._ledger_charges import check_two_people, format_holder
from cranberrywall.budgets._ledger_exceptions import Entry
from cranberrywall.budgets._ledger_numbers import MAX_AHEAD, NumberSet
from cranberrywall.budgets._ledger_state import LedgerState
from cranberrywall.budgets._unreported_bound import UnreportedBound, unreported_share
from cranberrywall.budgets.messages import (
    MAX_TRANSFERS_IN_BATCH,
    Accepted,
    ConfirmDead,
    ConfirmDeadResult,
    DeclareSpendRates,
    Draw,
    DrawResult,
    ExceptionKind,
    HeldAmount,
    Holder,
    NamedReplicaHolders,
    Recall,
    RecalledAmount,
    RecallResult,
    RecallsQuery,
    RecallsResult,
    RegisterHolder,
    RegisterResult,
    Rejected,
    ReplicaHoldersQuery,
    ReplicaHoldersResult,
    Return,
    TrackStarts,
    Transfer,
    TransferBatch,
    TransferBatchResult,
    TransferOutcome,
    TransferResult,
)
from cranberrywall.errors import ErrorKind
from cranberrywall.observability import log_event

BUSY_WINDOW_S = 60.0
"""A holder counts as busy if it was active within this time before a recall, in seconds."""


def draw(state: LedgerState, command: Draw) -> DrawResult | Rejected:
    """Grant up to the requested amount from what is free."""
    account = state.account_by_budget.get(command.budget)
    if account is None:
        return reject_unknown_budget(command.budget)
    refusal = _check_draw(state, command)
    if refusal is not None:
        return refusal
    state.holders.record_incarnation(command.holder)
    state.holders.record_contact(command.holder, command.contact)
    allotment = account.allotment(state.holders.intern_holder(command.holder))
    if command.number < allotment.draw_number:
        message = f"draw {allotment.draw_number} has already been answered"
        return Rejected(ErrorKind.CONFLICT, message, "number", "use the next draw number")
    if command.number > allotment.draw_number:
        allotment.draw_number = command.number
        allotment.granted = account.grant(allotment, command.amount, command.minimum)
        allotment.active_at = max(allotment.active_at, command.at)
    return _draw_result(account, allotment)


def _check_draw(state: LedgerState, command: Draw) -> Rejected | None:
    if not 0 <= command.minimum <= command.amount or command.amount < 1 or command.number < 1:
        remedy = "draw at least 1, with a minimum of no more than the amount"
        return Rejected(
            ErrorKind.BAD_REQUEST, "invalid amount, minimum or number of a draw", "amount", remedy
        )
    if not state.holders.is_current(command.holder):
        return _reject_superseded(command.holder)
    return None


def _draw_result(account: Account, allotment: Allotment) -> DrawResult:
    return DrawResult(
        granted=allotment.granted,
        free=account.free,
        outstanding=account.outstanding,
        credited=account.credited,
        charged=account.charged,
        holders=account.holders,
    )


def give_back(state: LedgerState, command: Return) -> Accepted | Rejected:
    """Free a part of an allotment; do nothing if the holder was released already."""
    account = state.account_by_budget.get(command.budget)
    if account is None:
        return reject_unknown_budget(command.budget)
    allotment = account.allotment_by_holder.get(command.holder)
    if allotment is None or command.number <= allotment.return_number:
        return Accepted()
    if not 0 <= command.amount <= allotment.outstanding:
        message = f"the ledger has only {allotment.outstanding} outstanding"
        remedy = "report transfers first, then return no more than is held"
        return Rejected(ErrorKind.CONFLICT, message, "amount", remedy)
    allotment.return_number = command.number
    allotment.active_at = max(allotment.active_at, command.at)
    account.give_back(allotment, command.amount)
    if not allotment.recalled:
        state.end_recall(command.budget, command.holder)
    return Accepted()


def transfer(state: LedgerState, command: Transfer) -> TransferResult | Rejected:
    """Move an amount between two holders, once, whichever of them reports it."""
    account = state.account_by_budget.get(command.budget)
    if account is None:
        return reject_unknown_budget(command.budget)
    if command.amount < 1 or command.giver_number < 1 or command.taker_number < 0:
        remedy = "use an amount and numbers from 1"
        return Rejected(
            ErrorKind.BAD_REQUEST, "invalid amount or number of a transfer", "amount", remedy
        )
    return _TransferProcessor(state, account, command).apply()


def transfer_batch(state: LedgerState, command: TransferBatch) -> TransferBatchResult | Rejected:
    """Apply the transfers of a batch, each after the transfers that fund it."""
    if len(command.transfers) > MAX_TRANSFERS_IN_BATCH:
        remedy = f"report at most {MAX_TRANSFERS_IN_BATCH} together"
        return Rejected(ErrorKind.TOO_LARGE, "too many transfers in the batch", "transfers", remedy)
    outcome_by_index: dict[int, TransferOutcome] = {}
    remaining = list(enumerate(command.transfers))
    while remaining:
        unfunded = []
        for index, report in remaining:
            outcome = _to_outcome(transfer(state, report))
            outcome_by_index[index] = outcome
            if outcome.kind == ErrorKind.NOT_READY:
                unfunded.append((index, report))
        if len(unfunded) == len(remaining):
            break
        remaining = unfunded
    outcomes = [outcome_by_index[index] for index in range(len(command.transfers))]
    return TransferBatchResult(tuple(outcomes))


def _to_outcome(answer: TransferResult | Rejected) -> TransferOutcome:
    if isinstance(answer, Rejected):
        return TransferOutcome(0, str(answer.kind), answer.message)
    return TransferOutcome(answer.moved)


class _TransferProcessor:
    """Application of one report of a transfer."""

    def __init__(self, state: LedgerState, account: Account, command: Transfer) -> None:
        self._state = state
        self._account = account
        self._command = command
        self._donor = account.allotment_by_holder.get(command.giver)
        self._recipient = account.allotment_by_holder.get(command.taker)
        self._key = (state.holders.intern_holder(command.giver), command.giver_number)

    def apply(self) -> TransferResult | Rejected:
        """Return what was moved, now or at the first report."""
        moved = self._find_moved()
        if moved is None and self._is_too_far_ahead():
            remedy = "report the transfers with the lowest numbers first"
            return Rejected(
                ErrorKind.CONFLICT,
                "too many earlier transfers of the giver are missing",
                "giver_number",
                remedy,
            )
        if moved is None and self._is_ahead_of_funding():
            remedy = "report this transfer again after that one"
            return Rejected(
                ErrorKind.NOT_READY,
                "the transfer that funded the giver is not reported yet",
                "giver",
                remedy,
            )
        self._ensure_recipient()
        if moved is None:
            moved = self._account.transfer(self._donor, self._recipient, self._command.amount)
        self._record_report(moved)
        return TransferResult(moved)

    def _ensure_recipient(self) -> None:
        """Create the recipient's allotment if it has none.

        This includes a lost recipient, which may have spent the amount, and one that may have
        started after a higher incarnation of its host.
        """
        holders, recipient = self._state.holders, self._command.taker
        if self._recipient is None and not holders.is_released(recipient):
            holders.record_incarnation(recipient)
            self._recipient = self._account.allotment(holders.intern_holder(recipient))

    def _is_ahead_of_funding(self) -> bool:
        """Return whether the donor passed on an amount that it has not reported as received yet.

        Hosts on the far side of a network partition pass money on, and report the transfers in any
        order once the partition ends. If the later transfer were applied first, the recipient would
        be instructed to drop money that exists, and its charges would be withheld as unfunded.
        """
        if self._donor is None:
            holders, donor = self._state.holders, self._command.giver
            return holders.is_current(donor) or (
                holders.is_unordered(donor) and not holders.is_released(donor)
            )
        return self._donor.outstanding < self._command.amount

    def _is_too_far_ahead(self) -> bool:
        numbers = self._donor.donated_numbers if self._donor else None
        return numbers is not None and self._command.giver_number > numbers.through + MAX_AHEAD

    def _find_moved(self) -> int | None:
        command, donor, recipient = self._command, self._donor, self._recipient
        received = recipient.received_numbers if recipient is not None else None
        if recipient is not None and command.taker_number in (received or ()):
            shortfalls = recipient.shortfall_by_number or {}
            return shortfalls.get(command.taker_number, command.amount)
        if recipient is not None and self._key in (recipient.reported_by_donor or ()):
            return (recipient.reported_by_donor or {})[self._key]
        if donor is not None and command.giver_number in (donor.donated_numbers or ()):
            return command.amount
        return None

    def _record_report(self, moved: int) -> None:
        command = self._command
        if self._donor is not None:
            self._donor.donated_numbers = self._donor.donated_numbers or NumberSet()
            self._donor.donated_numbers.add(command.giver_number)
            self._donor.active_at = max(self._donor.active_at, command.at)
        if self._recipient is not None:
            self._record_recipient(self._recipient, moved)

    def _record_recipient(self, recipient: Allotment, moved: int) -> None:
        command = self._command
        recipient.active_at = max(recipient.active_at, command.at)
        last_contact_clock = self._state.holders.last_contact_clock(command.taker)
        recipient.add_received(moved, command.asked_clock, last_contact_clock)
        if not command.taker_number:
            # The recipient's own report may arrive after the donor was released and its numbers
            # were removed. The key prevents that report from moving the amount again.
            recipient.reported_by_donor = recipient.reported_by_donor or {}
            recipient.reported_by_donor[self._key] = moved
            return
        recipient.received_numbers = recipient.received_numbers or NumberSet()
        recipient.received_numbers.add(command.taker_number)
        if recipient.reported_by_donor:
            recipient.reported_by_donor.pop(self._key, None)
        if moved < command.amount:
            recipient.shortfall_by_number = recipient.shortfall_by_number or {}
            recipient.shortfall_by_number[command.taker_number] = moved


def recall(state: LedgerState, command: Recall) -> RecallResult | Rejected:
    """Ask holders to return a part: idle holders first, then those that hold the most."""
    account = state.account_by_budget.get(command.budget)
    if account is None:
        return reject_unknown_budget(command.budget)
    others = [
        (holder, allotment)
        for holder, allotment in account.allotment_by_holder.items()
        if holder != command.asker and allotment.outstanding and state.holders.is_current(holder)
    ]
    busy_after = command.at - BUSY_WINDOW_S
    others.sort(key=lambda item: (item[1].active_at > busy_after, -item[1].outstanding, item[0]))
    asked = _request_returns(others, command.amount)
    for item in asked:
        state.record_recall(command.budget, item.holder)
    return RecallResult(tuple(asked))


def _request_returns(others: list[tuple[Holder, Allotment]], amount: int) -> list[HeldAmount]:
    asked = []
    for holder, allotment in others:
        if amount <= 0:
            break
        allotment.recalled = min(amount, allotment.outstanding)
        amount -= allotment.recalled
        asked.append(HeldAmount(holder, allotment.recalled, allotment.active_at))
    return asked


def recalls(state: LedgerState, query: RecallsQuery) -> RecallsResult:
    """Return the amounts that a holder was asked to return and has not returned."""
    recalled = []
    for budget in state.recalled_budgets(query.holder):
        allotment = state.account_by_budget[budget].allotment_by_holder.get(query.holder)
        if allotment is not None and allotment.recalled and allotment.outstanding:
            amount = min(allotment.recalled, allotment.outstanding)
            recalled.append(RecalledAmount(budget, amount))
    return RecallsResult(tuple(recalled))


def register(state: LedgerState, command: RegisterHolder) -> RegisterResult | Rejected:
    """Record an incarnation of a host.

    Free what its older incarnations held, once everything that they left is delivered.
    """
    if not state.holders.is_current(command.holder):
        return _reject_superseded(command.holder)
    state.holders.record_incarnation(command.holder)
    state.holders.record_contact(command.holder, command.contact)
    host = command.holder.host
    record = state.holders.record_by_host[host]
    if command.delivered and not record.delivered:
        remaining = _older_incarnations(state, command.holder)
        proven = {ended for ended in remaining if _is_proven_empty(state, ended, command)}
        released = record.released + sum(_release(state, ended) for ended in proven)
        released += sum(_release_in_part(state, ended, command) for ended in remaining - proven)
        is_complete = proven == remaining
        record = record._replace(delivered=is_complete, released=released)
        state.holders.update(host, record)
        _update_clock_recording(state, command, is_complete)
    remaining = _older_incarnations(state, command.holder)
    held = sum(_outstanding(state, older) for older in remaining)
    return RegisterResult(record.released, held, state.holders.replica_hosts(remaining))


def declare_rates(state: LedgerState, command: DeclareSpendRates) -> Accepted | Rejected:
    """Record the maximum rates at which a holder spends while it cannot report to the ledger."""
    if not state.holders.is_current(command.holder):
        return _reject_superseded(command.holder)
    if command.contact.is_detached:
        message = "the contact does not report the unreported amounts"
        remedy = "declare rates while the ledger is in reach"
        return Rejected(ErrorKind.BAD_REQUEST, message, "contact", remedy)
    if any(rate < 0 for _, rate in command.rates):
        return Rejected(
            ErrorKind.BAD_REQUEST, "a rate must not be negative", "rates", "declare at least 0"
        )
    state.holders.record_incarnation(command.holder)
    state.holders.record_rates(command.holder, command.contact, dict(command.rates))
    return Accepted()


def track_starts(state: LedgerState, command: TrackStarts) -> Accepted | Rejected:
    """Record from now on which incarnations of the holder's host the ledger has heard of."""
    holders = state.holders
    if not holders.is_current(command.holder):
        return _reject_superseded(command.holder)
    holders.record_incarnation(command.holder)
    older = _older_incarnations(state, command.holder)
    holders.track_starts(command.holder.host, (one.incarnation for one in older))
    return Accepted()


def _update_clock_recording(state: LedgerState, command: RegisterHolder, is_complete: bool) -> None:
    """Record other hosts' clocks as long as an older incarnation of the host is not released."""
    if is_complete:
        state.holders.stop_recording_clocks(command.holder.host)
    elif command.evidence is not None:
        state.holders.start_recording_clocks(command.holder, command.evidence, command.contact)


def _is_proven_empty(state: LedgerState, older: Holder, command: RegisterHolder) -> bool:
    return command.evidence is None or state.holders.is_proven_empty(older, command.evidence)


def _release_in_part(state: LedgerState, older: Holder, command: RegisterHolder) -> int:
    """Free what a lost incarnation cannot have spent unreported.

    The amount depends on the time since its last contact. What the incarnation received after that
    contact could be spent immediately, and stays outstanding in full.
    """
    if command.evidence is None:
        return 0
    holders = state.holders
    gap_s = holders.bound_unreported_gap(older, command.holder, command.evidence, command.contact)
    if gap_s is None:
        return 0
    last_contact_clock = holders.last_contact_clock(older)
    unreported = holders.unreported(older)
    freed = sum(
        account.release_unspent(
            older,
            UnreportedBound(gap_s, holders.declared_rate(older, budget)),
            last_contact_clock,
            unreported.get(budget, 0),
        )
        for budget, account in state.account_by_budget.items()
    )
    log_event(
        "INFO",
        "lost_run_bounded",
        lost=older.host,
        incarnation=older.incarnation,
        silent_s=gap_s,
        share=unreported_share(gap_s),
        declared_rates=holders.declared_count(older),
        freed=freed,
        withheld=_outstanding(state, older),
    )
    return freed


def replica_holders(state: LedgerState, query: ReplicaHoldersQuery) -> ReplicaHoldersResult:
    """Return the replica holders that a host's older incarnations named last."""
    remaining = sorted(_older_incarnations(state, query.successor))
    return ReplicaHoldersResult(
        tuple(
            NamedReplicaHolders(holder, state.holders.replica_holders(holder))
            for holder in remaining
        )
    )


def confirm_dead(state: LedgerState, command: ConfirmDead) -> ConfirmDeadResult | Rejected:
    """Free what an incarnation held, on the confirmation of two people."""
    refusal = check_two_people(command.operator, command.approver)
    if refusal is not None:
        return refusal
    holder = command.holder
    state.holders.record_incarnation(holder)
    record = state.holders.record_by_host[holder.host]
    if record.confirmed == holder.incarnation:
        return ConfirmDeadResult(record.confirmed_released)
    released = _release_confirmed(state, command)
    dead = record.dead or record.incarnation == holder.incarnation
    state.holders.update(
        holder.host,
        record._replace(dead=dead, confirmed=holder.incarnation, confirmed_released=released),
    )
    return ConfirmDeadResult(released)


def _release_confirmed(state: LedgerState, command: ConfirmDead) -> int:
    state.remove_recalls(command.holder)
    state.holders.remove_contact(command.holder)
    note = f"confirmed dead by {command.operator}, approved by {command.approver}"
    total = 0
    for budget, account in state.account_by_budget.items():
        released = account.release(command.holder)
        if not released:
            continue
        total += released
        state.exceptions.record(
            Entry(
                number=0,
                kind=ExceptionKind.DEAD_HOLDER,
                fingerprint=0,
                budget=budget,
                workspace=account.workspace,
                request_id="",
                holder=command.holder,
                amount=released,
                held=0,
                reserved_at=command.at,
                at=command.at,
                state="released",
                note=note,
            )
        )
    return total


def _older_incarnations(state: LedgerState, successor: Holder) -> set[Holder]:
    """Return a host's older incarnations that hold money, or may still be found to.

    An incarnation that may have started after the successor is not among them.
    """
    host, incarnation = successor
    with_money = {
        holder
        for account in state.account_by_budget.values()
        for holder in account.allotment_by_holder
        if holder.host == host and holder.incarnation < incarnation
    }
    older = with_money | state.holders.older_incarnations(successor)
    return {holder for holder in older if not state.holders.is_unordered(holder)}


def _release(state: LedgerState, holder: Holder) -> int:
    state.remove_recalls(holder)
    state.holders.remove_contact(holder)
    return sum(account.release(holder) for account in state.account_by_budget.values())


def _outstanding(state: LedgerState, holder: Holder) -> int:
    allotments = (
        account.allotment_by_holder.get(holder) for account in state.account_by_budget.values()
    )
    return sum(allotment.outstanding for allotment in allotments if allotment)


def reject_unknown_budget(budget: str) -> Rejected:
    """Reject a command for a budget that was never credited."""
    remedy = "credit the budget with: cranberrywallctl top-up"
    return Rejected(ErrorKind.NOT_FOUND, f"no budget {budget} in the ledger", "budget", remedy)


def _reject_superseded(holder: Holder) -> Rejected:
    message = f"{format_holder(holder)} was superseded or confirmed dead"
    return Rejected(ErrorKind.CONFLICT, message, "holder", "restart the host")
