"""Move money between what is free and its holders: draws, returns, transfers, recalls.

A holder that was succeeded, or that an operator confirmed dead, gets nothing new. What it
holds comes back only with evidence, see ``RegisterHolder`` and ``ConfirmDead``.
"""

from cranberrywall.budgets._ledger_accounts import Account, Allotment
from cranberrywall.budgets._ledger_charges import check_two_persons, holder_text
from cranberrywall.budgets._ledger_exceptions import Entry
from cranberrywall.budgets._ledger_numbers import MAX_AHEAD, NumberSet
from cranberrywall.budgets._ledger_state import LedgerState
from cranberrywall.budgets.messages import (
    MAX_TRANSFERS_IN_BATCH,
    Accepted,
    ConfirmDead,
    ConfirmDeadResult,
    Draw,
    DrawResult,
    ExceptionKind,
    HeldAmount,
    Holder,
    Recall,
    RecalledAmount,
    RecallResult,
    RecallsQuery,
    RecallsResult,
    RegisterHolder,
    RegisterResult,
    Rejected,
    Return,
    Transfer,
    TransferBatch,
    TransferBatchResult,
    TransferOutcome,
    TransferResult,
)
from cranberrywall.errors import ErrorKind

ACTIVE_WITHIN_S = 60.0
"""A holder that was heard within this time before a recall counts as busy."""


def draw(state: LedgerState, command: Draw) -> DrawResult | Rejected:
    """Grant what is free, up to the amount asked for."""
    account = state.account_by_budget.get(command.budget)
    if account is None:
        return no_budget(command.budget)
    refusal = _check_draw(state, command)
    if refusal is not None:
        return refusal
    state.holders.note(command.holder)
    state.holders.note_contact(command.holder, command.contact)
    allotment = account.allotment(state.holders.one(command.holder))
    if command.number < allotment.draw_number:
        message = f"draw {allotment.draw_number} was answered after it"
        return Rejected(ErrorKind.CONFLICT, message, "number", "draw with the next number")
    if command.number > allotment.draw_number:
        allotment.draw_number = command.number
        allotment.granted = account.grant(allotment, command.amount, command.minimum)
        allotment.active_at = max(allotment.active_at, command.at)
    return _draw_result(account, allotment)


def _check_draw(state: LedgerState, command: Draw) -> Rejected | None:
    if not 0 <= command.minimum <= command.amount or command.amount < 1 or command.number < 1:
        remedy = "ask for at least 1, and for no more than the amount as minimum"
        return Rejected(ErrorKind.BAD_REQUEST, "not a possible draw", "amount", remedy)
    if not state.holders.is_current(command.holder):
        return _superseded(command.holder)
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
    """Free a part of an allotment; all of it has come back where the holder was released."""
    account = state.account_by_budget.get(command.budget)
    if account is None:
        return no_budget(command.budget)
    allotment = account.allotment_by_holder.get(command.holder)
    if allotment is None or command.number <= allotment.return_number:
        return Accepted()
    if not 0 <= command.amount <= allotment.outstanding:
        message = f"the ledger knows of {allotment.outstanding} outstanding"
        remedy = "return no more than is held, after transfers are reported"
        return Rejected(ErrorKind.CONFLICT, message, "amount", remedy)
    allotment.return_number = command.number
    allotment.active_at = max(allotment.active_at, command.at)
    account.give_back(allotment, command.amount)
    if not allotment.recalled:
        state.end_recall(command.budget, command.holder)
    return Accepted()


def transfer(state: LedgerState, command: Transfer) -> TransferResult | Rejected:
    """Move an amount between two holders, once, whoever reports it."""
    account = state.account_by_budget.get(command.budget)
    if account is None:
        return no_budget(command.budget)
    if command.amount < 1 or command.giver_number < 1 or command.taker_number < 0:
        remedy = "give an amount and numbers from 1"
        return Rejected(ErrorKind.BAD_REQUEST, "not a possible transfer", "amount", remedy)
    return _Transferring(state, account, command).apply()


def transfer_batch(state: LedgerState, command: TransferBatch) -> TransferBatchResult | Rejected:
    """Move the amounts of a batch, each once those are moved that fund it."""
    if len(command.transfers) > MAX_TRANSFERS_IN_BATCH:
        remedy = f"report at most {MAX_TRANSFERS_IN_BATCH} together"
        return Rejected(ErrorKind.TOO_LARGE, "the batch is too large", "transfers", remedy)
    outcome_by_index: dict[int, TransferOutcome] = {}
    left = list(enumerate(command.transfers))
    while left:
        waiting = []
        for index, one in left:
            outcome = _outcome(transfer(state, one))
            outcome_by_index[index] = outcome
            if outcome.kind == ErrorKind.NOT_READY:
                waiting.append((index, one))
        if len(waiting) == len(left):
            break
        left = waiting
    outcomes = [outcome_by_index[index] for index in range(len(command.transfers))]
    return TransferBatchResult(tuple(outcomes))


def _outcome(answer: TransferResult | Rejected) -> TransferOutcome:
    if isinstance(answer, Rejected):
        return TransferOutcome(0, str(answer.kind), answer.message)
    return TransferOutcome(answer.moved)


class _Transferring:
    """Apply one report of a transfer."""

    def __init__(self, state: LedgerState, account: Account, command: Transfer) -> None:
        self._state = state
        self._account = account
        self._command = command
        self._giver = account.allotment_by_holder.get(command.giver)
        self._taker = account.allotment_by_holder.get(command.taker)
        self._key = (state.holders.one(command.giver), command.giver_number)

    def apply(self) -> TransferResult | Rejected:
        """Return what was moved, now or at the first report."""
        moved = self._moved_before()
        if moved is None and self._is_too_far_ahead():
            remedy = "report the transfers with the lowest numbers first"
            return Rejected(ErrorKind.CONFLICT, "too many are missing", "giver_number", remedy)
        if moved is None and self._is_ahead_of_its_money():
            remedy = "report it again after the transfer that funded it"
            return Rejected(ErrorKind.NOT_READY, "the giver lacks it yet", "giver", remedy)
        self._find_taker()
        if moved is None:
            moved = self._account.move(self._giver, self._taker, self._command.amount)
        self._note(moved)
        return TransferResult(moved)

    def _find_taker(self) -> None:
        """Have the amount booked to its taker, also to a lost one that may have spent it."""
        holders, taker = self._state.holders, self._command.taker
        if self._taker is None and not holders.is_released(taker):
            holders.note(taker)
            self._taker = self._account.allotment(holders.one(taker))

    def _is_ahead_of_its_money(self) -> bool:
        """Say whether the giver gave what it had been given, and that is not reported yet.

        Hosts on the far side of a cut pass money on, and report in any order once it is
        mended. Were the later transfer applied first, the taker would be told to drop
        money that is truly there, and its charges would be set aside as unfunded.
        """
        if self._giver is None:
            return self._state.holders.is_current(self._command.giver)
        return self._giver.outstanding < self._command.amount

    def _is_too_far_ahead(self) -> bool:
        numbers = self._giver.given_numbers if self._giver else None
        return numbers is not None and self._command.giver_number > numbers.through + MAX_AHEAD

    def _moved_before(self) -> int | None:
        command, giver, taker = self._command, self._giver, self._taker
        taken = taker.taken_numbers if taker is not None else None
        if taker is not None and command.taker_number in (taken or ()):
            short = taker.short_by_number or {}
            return short.get(command.taker_number, command.amount)
        if taker is not None and self._key in (taker.reported_by_giver or ()):
            return (taker.reported_by_giver or {})[self._key]
        if giver is not None and command.giver_number in (giver.given_numbers or ()):
            return command.amount
        return None

    def _note(self, moved: int) -> None:
        command = self._command
        if self._giver is not None:
            self._giver.given_numbers = self._giver.given_numbers or NumberSet()
            self._giver.given_numbers.add(command.giver_number)
            self._giver.active_at = max(self._giver.active_at, command.at)
        if self._taker is not None:
            self._note_taker(self._taker, moved)

    def _note_taker(self, taker: Allotment, moved: int) -> None:
        command = self._command
        taker.active_at = max(taker.active_at, command.at)
        heard_clock = self._state.holders.heard_clock(command.taker)
        taker.receive(moved, command.asked_clock, heard_clock)
        if not command.taker_number:
            # The taker's own report may come after the giver was released and its numbers
            # were dropped: the key keeps that report from moving the amount again.
            taker.reported_by_giver = taker.reported_by_giver or {}
            taker.reported_by_giver[self._key] = moved
            return
        taker.taken_numbers = taker.taken_numbers or NumberSet()
        taker.taken_numbers.add(command.taker_number)
        if taker.reported_by_giver:
            taker.reported_by_giver.pop(self._key, None)
        if moved < command.amount:
            taker.short_by_number = taker.short_by_number or {}
            taker.short_by_number[command.taker_number] = moved


def recall(state: LedgerState, command: Recall) -> RecallResult | Rejected:
    """Ask idle holders first, and of those the ones that hold most."""
    account = state.account_by_budget.get(command.budget)
    if account is None:
        return no_budget(command.budget)
    others = [
        (holder, allotment)
        for holder, allotment in account.allotment_by_holder.items()
        if holder != command.asker and allotment.outstanding and state.holders.is_current(holder)
    ]
    busy_after = command.at - ACTIVE_WITHIN_S
    others.sort(key=lambda one: (one[1].active_at > busy_after, -one[1].outstanding, one[0]))
    asked = _ask(others, command.amount)
    for one in asked:
        state.note_recall(command.budget, one.holder)
    return RecallResult(tuple(asked))


def _ask(others: list[tuple[Holder, Allotment]], amount: int) -> list[HeldAmount]:
    asked = []
    for holder, allotment in others:
        if amount <= 0:
            break
        allotment.recalled = min(amount, allotment.outstanding)
        amount -= allotment.recalled
        asked.append(HeldAmount(holder, allotment.recalled, allotment.active_at))
    return asked


def recalls(state: LedgerState, query: RecallsQuery) -> RecallsResult:
    """List the amounts that a holder was asked to return and has not returned."""
    recalled = []
    for budget in state.recalled_budgets(query.holder):
        allotment = state.account_by_budget[budget].allotment_by_holder.get(query.holder)
        if allotment is not None and allotment.recalled and allotment.outstanding:
            amount = min(allotment.recalled, allotment.outstanding)
            recalled.append(RecalledAmount(budget, amount))
    return RecallsResult(tuple(recalled))


def register(state: LedgerState, command: RegisterHolder) -> RegisterResult | Rejected:
    """Note an incarnation; free what older ones held once all they left is delivered."""
    if not state.holders.is_current(command.holder):
        return _superseded(command.holder)
    state.holders.note(command.holder)
    state.holders.note_contact(command.holder, command.contact)
    host = command.holder.host
    record = state.holders.record_by_host[host]
    if command.delivered and not record.delivered:
        left = _older(state, command.holder)
        proven = {one for one in left if _is_proven(state, one, command)}
        released = record.released + sum(_release(state, one) for one in proven)
        released += sum(_release_in_part(state, one, command) for one in left - proven)
        is_all = proven == left
        record = record._replace(delivered=is_all, released=released)
        state.holders.update(host, record)
        _listen(state, command, is_all)
    left = _older(state, command.holder)
    held = sum(_outstanding(state, older) for older in left)
    return RegisterResult(record.released, held, state.holders.keepers(left))


def _listen(state: LedgerState, command: RegisterHolder, is_all: bool) -> None:
    """Listen to other hosts' clocks for as long as a host's older runs hold anything."""
    if is_all:
        state.holders.listen_no_more(command.holder.host)
    elif command.evidence is not None:
        state.holders.listen(command.holder, command.evidence, command.contact)


def _is_proven(state: LedgerState, older: Holder, command: RegisterHolder) -> bool:
    return command.evidence is None or state.holders.is_proven(older, command.evidence)


def _release_in_part(state: LedgerState, older: Holder, command: RegisterHolder) -> int:
    """Free what a lost run cannot have spent unseen, by how long it had been silent.

    What others gave it after its last word was its own to spend at once, and stays booked whole.
    """
    if command.evidence is None:
        return 0
    share = state.holders.may_have_spent(older, command.holder, command.evidence, command.contact)
    if share is None:
        return 0
    heard_clock = state.holders.heard_clock(older)
    unseen = state.holders.unseen(older)
    return sum(
        account.release_but_share(older, share, heard_clock, unseen.get(budget, 0))
        for budget, account in state.account_by_budget.items()
    )


def confirm_dead(state: LedgerState, command: ConfirmDead) -> ConfirmDeadResult | Rejected:
    """Free what an incarnation held, on the word of two persons."""
    refusal = check_two_persons(command.operator, command.approver)
    if refusal is not None:
        return refusal
    holder = command.holder
    state.holders.note(holder)
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
    state.forget_holder(command.holder)
    state.holders.forget_contact(command.holder)
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


def _older(state: LedgerState, successor: Holder) -> set[Holder]:
    """Return the older runs of a host that may hold anything, or may yet be found to."""
    host, incarnation = successor
    with_money = {
        holder
        for account in state.account_by_budget.values()
        for holder in account.allotment_by_holder
        if holder.host == host and holder.incarnation < incarnation
    }
    return with_money | state.holders.older(successor)


def _release(state: LedgerState, holder: Holder) -> int:
    state.forget_holder(holder)
    state.holders.forget_contact(holder)
    return sum(account.release(holder) for account in state.account_by_budget.values())


def _outstanding(state: LedgerState, holder: Holder) -> int:
    allotments = (
        account.allotment_by_holder.get(holder) for account in state.account_by_budget.values()
    )
    return sum(allotment.outstanding for allotment in allotments if allotment)


def no_budget(budget: str) -> Rejected:
    """Refuse a command for a budget that was never credited."""
    remedy = "credit it with: cranberrywallctl top-up"
    return Rejected(ErrorKind.NOT_FOUND, f"no budget {budget} in the ledger", "budget", remedy)


def _superseded(holder: Holder) -> Rejected:
    message = f"{holder_text(holder)} was succeeded or confirmed dead"
    return Rejected(ErrorKind.CONFLICT, message, "holder", "start the host anew")
