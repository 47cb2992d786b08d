"""Bill each request once, and name every charge that could not be billed plainly."""

from cranberrywall.budgets._closing_calendar import MAX_TIME
from cranberrywall.budgets._ledger_accounts import Account, Allotment, OpenCharge
from cranberrywall.budgets._ledger_exceptions import Entry
from cranberrywall.budgets._ledger_ids import charge_fingerprint, id_fingerprint
from cranberrywall.budgets._ledger_state import LedgerState
from cranberrywall.budgets.messages import (
    MAX_CHARGES_IN_BATCH,
    Accepted,
    Charge,
    ChargeBatch,
    ChargeBatchResult,
    ChargeOutcome,
    Corrections,
    ExceptionKind,
    Holder,
    Rejected,
    ResolveDoubt,
)
from cranberrywall.errors import ErrorKind


def apply_batch(state: LedgerState, batch: ChargeBatch) -> ChargeBatchResult | Rejected:
    """Apply a batch; a charge's outcome does not depend on whether others are refused."""
    if len(batch.charges) > MAX_CHARGES_IN_BATCH:
        remedy = f"send at most {MAX_CHARGES_IN_BATCH} charges"
        return Rejected(ErrorKind.TOO_LARGE, "the batch is too large", "charges", remedy)
    state.holders.note(batch.holder)
    state.holders.note_contact(batch.holder, batch.contact)
    ids = [id_fingerprint(charge.workspace, charge.request_id) for charge in batch.charges]
    old = state.ids.find_old(ids)
    outcomes = []
    for id_, charge in zip(ids, batch.charges, strict=True):
        charging = _Charging(state, batch, charge, id_)
        outcomes.append(charging.apply(old.get(id_)))
    state.ids.trim()
    return ChargeBatchResult(tuple(outcomes))


class _Charging:
    """Apply one charge of a batch."""

    def __init__(self, state: LedgerState, batch: ChargeBatch, charge: Charge, id_: int) -> None:
        self._state = state
        self._charge = charge
        self._holder = state.holders.one(batch.holder)
        self._at = batch.at
        self._id = id_
        self._fingerprint = charge_fingerprint(batch.holder, charge)

    def apply(self, billed_by: int | None) -> ChargeOutcome:
        """Return the outcome; ``billed_by`` is the charge that had the id, if it is old."""
        account = self._state.account_by_budget.get(self._charge.budget)
        if account is None or not _is_possible(self._charge):
            return ChargeOutcome.REFUSED
        allotment = account.allotment_by_holder.get(self._holder)
        entry = self._state.exceptions.by_charge(self._fingerprint)
        if entry is not None and entry.kind is not ExceptionKind.LATE_PERIOD:
            return _repeated(entry)
        if billed_by is None:
            billed_by = self._state.ids.find_new(self._id)
        if billed_by is not None:
            return self._compare(allotment, billed_by)
        return self._first_arrival(account, allotment)

    def _compare(self, allotment: Allotment | None, billed_by: int) -> ChargeOutcome:
        if billed_by == self._fingerprint:
            return ChargeOutcome.BILLED
        if allotment is None or allotment.charge_numbers.add(self._charge.number):
            self._record(ExceptionKind.DUPLICATE, held=0)
        return ChargeOutcome.DUPLICATE

    def _first_arrival(self, account: Account, allotment: Allotment | None) -> ChargeOutcome:
        charge = self._charge
        is_old = charge.reserved_at <= self._state.ids.floor
        if allotment is not None and charge.number in allotment.charge_numbers:
            # The id may have been forgotten, but the number tells a resend apart: it is
            # the same charge where ids of its time are no longer kept.
            if is_old:
                return ChargeOutcome.BILLED
            return self._set_aside(account, allotment, ExceptionKind.NUMBER_REUSED)
        if is_old:
            return self._set_aside(account, allotment, ExceptionKind.FORGOTTEN_ID)
        if charge.amount > account.available(allotment):
            return self._set_aside(account, allotment, ExceptionKind.UNFUNDED)
        return self._bill(account, allotment)

    def _bill(self, account: Account, allotment: Allotment | None) -> ChargeOutcome:
        charge = self._charge
        if charge.reserved_at < self._state.calendar.closed_through:
            self._record(ExceptionKind.LATE_PERIOD, held=0)
        account.charge(allotment, charge.amount)
        book(self._state, account, charge.workspace, charge.amount, charge.reserved_at)
        self._mark(allotment)
        if charge.is_open and allotment is not None:
            allotment.open_by_number = allotment.open_by_number or {}
            allotment.open_by_number[charge.number] = OpenCharge(
                charge.amount, charge.workspace, charge.reserved_at
            )
        return ChargeOutcome.BILLED

    def _set_aside(
        self, account: Account, allotment: Allotment | None, kind: ExceptionKind
    ) -> ChargeOutcome:
        held = account.hold(allotment, self._charge.amount)
        self._record(kind, held)
        self._mark(allotment)
        return ChargeOutcome.IN_DOUBT

    def _mark(self, allotment: Allotment | None) -> None:
        self._state.ids.add(self._id, self._fingerprint, self._charge.reserved_at)
        if allotment is not None:
            allotment.charge_numbers.add(self._charge.number)
            allotment.active_at = max(allotment.active_at, self._at)

    def _record(self, kind: ExceptionKind, held: int) -> None:
        charge = self._charge
        self._state.exceptions.record(
            Entry(
                number=0,
                kind=kind,
                fingerprint=self._fingerprint,
                budget=charge.budget,
                workspace=charge.workspace,
                request_id=charge.request_id,
                holder=self._holder,
                amount=charge.amount,
                held=held,
                reserved_at=charge.reserved_at,
                at=self._at,
                state="",
                note="",
            )
        )


def correct(state: LedgerState, command: Corrections) -> Accepted:
    """Give back what open charges were too high by.

    A holder that was released has no allotment any more: its open charges stay as they are,
    since nobody knows what their requests cost.
    """
    state.holders.note_contact(command.holder, command.contact)
    for correction in command.corrections:
        account = state.account_by_budget.get(correction.budget)
        allotment = account.allotment_by_holder.get(command.holder) if account else None
        if account is None or allotment is None or not allotment.open_by_number:
            continue
        charged = allotment.open_by_number.pop(correction.number, None)
        if charged is None:
            continue
        surplus = charged.amount - max(0, min(correction.amount, charged.amount))
        if surplus:
            account.refund(allotment, surplus)
            through = state.calendar.book(charged.reserved_at)
            account.book_refund(through, charged.workspace, surplus)
            state.spend.refund(charged.workspace, account.unit, surplus, charged.reserved_at)
    return Accepted()


def book(
    state: LedgerState, account: Account, workspace: str, amount: int, reserved_at: float
) -> None:
    """Add a billed request to its period and its day."""
    account.book_charge(state.calendar.book(reserved_at), workspace, amount)
    state.spend.add(workspace, account.unit, amount, reserved_at)


def resolve_doubt(state: LedgerState, command: ResolveDoubt) -> Accepted | Rejected:
    """Bill or release an amount in doubt, once, by two persons."""
    entry = state.exceptions.entry_by_number.get(command.number)
    if entry is None:
        remedy = "list them with: cranberrywallctl budgets doubts"
        return Rejected(ErrorKind.NOT_FOUND, "no such amount in doubt", "number", remedy)
    refusal = check_two_persons(command.operator, command.approver)
    if refusal is not None:
        return refusal
    wanted = "billed" if command.bill else "released"
    if entry.state == "recorded":
        return Rejected(ErrorKind.CONFLICT, "it needs no decision", "number")
    if entry.state != "open":
        same = entry.state == wanted
        message = f"it was {entry.state} before"
        return Accepted() if same else Rejected(ErrorKind.CONFLICT, message, "number")
    return _settle(state, entry, command)


def _settle(state: LedgerState, entry: Entry, command: ResolveDoubt) -> Accepted | Rejected:
    account = state.account_by_budget[entry.budget]
    missing = entry.amount - entry.held
    if command.bill and missing > account.free:
        message = f"{missing - account.free} more must be free to bill it"
        return Rejected(ErrorKind.BUDGET_EXHAUSTED, message, "number", "top the budget up")
    account.settle_held(entry.held, entry.amount if command.bill else 0)
    if command.bill:
        book(state, account, entry.workspace, entry.amount, entry.reserved_at)
    verb = "billed" if command.bill else "released"
    note = f"{verb} by {command.operator}, approved by {command.approver}"
    state.exceptions.resolve(entry.number, command.bill, note)
    return Accepted()


def check_two_persons(operator: str, approver: str) -> Rejected | None:
    """Refuse a step that needs two persons where one of them is missing or the same."""
    if operator and approver and operator != approver:
        return None
    remedy = "name an operator, and another person as approver"
    return Rejected(ErrorKind.FORBIDDEN, "this step needs two persons", "approver", remedy)


def _repeated(entry: Entry) -> ChargeOutcome:
    if entry.kind is ExceptionKind.DUPLICATE:
        return ChargeOutcome.DUPLICATE
    return ChargeOutcome.BILLED if entry.state == "billed" else ChargeOutcome.IN_DOUBT


def _is_possible(charge: Charge) -> bool:
    return charge.amount >= 0 and charge.number > 0 and 0 <= charge.reserved_at < MAX_TIME


def holder_text(holder: Holder) -> str:
    """Return a holder as people read it."""
    return f"{holder.host} (incarnation {holder.incarnation})"
