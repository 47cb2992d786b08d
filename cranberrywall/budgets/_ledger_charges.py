"""Bills each request once, and records an exception for each charge that needs attention."""

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
    """Apply the charges of a batch; each outcome is independent of the others being refused."""
    if len(batch.charges) > MAX_CHARGES_IN_BATCH:
        remedy = f"send at most {MAX_CHARGES_IN_BATCH} charges"
        return Rejected(ErrorKind.TOO_LARGE, "too many charges in the batch", "charges", remedy)
    state.holders.record_incarnation(batch.holder)
    state.holders.record_contact(batch.holder, batch.contact)
    request_ids = [id_fingerprint(charge.workspace, charge.request_id) for charge in batch.charges]
    charge_by_id = state.ids.find_in_segments(request_ids)
    outcomes = []
    for id_, charge in zip(request_ids, batch.charges, strict=True):
        processor = _ChargeProcessor(state, batch, charge, id_)
        outcomes.append(processor.apply(charge_by_id.get(id_)))
    state.ids.trim()
    return ChargeBatchResult(tuple(outcomes))


class _ChargeProcessor:
    """Application of one charge of a batch."""

    def __init__(self, state: LedgerState, batch: ChargeBatch, charge: Charge, id_: int) -> None:
        self._state = state
        self._charge = charge
        self._holder = state.holders.intern_holder(batch.holder)
        self._at = batch.at
        self._id = id_
        self._fingerprint = charge_fingerprint(batch.holder, charge)

    def apply(self, billed_by: int | None) -> ChargeOutcome:
        """Return the outcome of the charge.

        ``billed_by`` is the fingerprint of the charge that billed the same request id, if the id is
        in a segment of older ids.
        """
        account = self._state.account_by_budget.get(self._charge.budget)
        if account is None or not _is_valid(self._charge):
            return ChargeOutcome.REFUSED
        allotment = account.allotment_by_holder.get(self._holder)
        entry = self._state.exceptions.find_by_charge(self._fingerprint)
        if entry is not None and entry.kind is not ExceptionKind.LATE_PERIOD:
            return _repeated_outcome(entry)
        if billed_by is None:
            billed_by = self._state.ids.find_recent(self._id)
        if billed_by is not None:
            return self._handle_billed_id(allotment, billed_by)
        return self._handle_first_arrival(account, allotment)

    def _handle_billed_id(self, allotment: Allotment | None, billed_by: int) -> ChargeOutcome:
        if billed_by == self._fingerprint:
            return ChargeOutcome.BILLED
        if allotment is None or allotment.charge_numbers.add(self._charge.number):
            self._record_exception(ExceptionKind.DUPLICATE, held=0)
        return ChargeOutcome.DUPLICATE

    def _handle_first_arrival(self, account: Account, allotment: Allotment | None) -> ChargeOutcome:
        charge = self._charge
        is_expired = charge.reserved_at <= self._state.ids.floor
        if allotment is not None and charge.number in allotment.charge_numbers:
            # The holder already used this number. If ids of this reservation time are no longer
            # retained, treat the charge as a resend: the number identifies it.
            if is_expired:
                return ChargeOutcome.BILLED
            return self._withhold(account, allotment, ExceptionKind.NUMBER_REUSED)
        if is_expired:
            return self._withhold(account, allotment, ExceptionKind.FORGOTTEN_ID)
        if charge.amount > account.available(allotment):
            return self._withhold(account, allotment, ExceptionKind.UNFUNDED)
        return self._bill(account, allotment)

    def _bill(self, account: Account, allotment: Allotment | None) -> ChargeOutcome:
        charge = self._charge
        if charge.reserved_at < self._state.calendar.closed_through:
            self._record_exception(ExceptionKind.LATE_PERIOD, held=0)
        account.charge(allotment, charge.amount)
        book(self._state, account, charge.workspace, charge.amount, charge.reserved_at)
        self._mark_processed(allotment)
        if charge.is_open and allotment is not None:
            allotment.open_by_number = allotment.open_by_number or {}
            allotment.open_by_number[charge.number] = OpenCharge(
                charge.amount, charge.workspace, charge.reserved_at
            )
        return ChargeOutcome.BILLED

    def _withhold(
        self, account: Account, allotment: Allotment | None, kind: ExceptionKind
    ) -> ChargeOutcome:
        held = account.hold(allotment, self._charge.amount)
        self._record_exception(kind, held)
        self._mark_processed(allotment)
        return ChargeOutcome.IN_DOUBT

    def _mark_processed(self, allotment: Allotment | None) -> None:
        self._state.ids.add(self._id, self._fingerprint, self._charge.reserved_at)
        if allotment is not None:
            allotment.charge_numbers.add(self._charge.number)
            allotment.active_at = max(allotment.active_at, self._at)

    def _record_exception(self, kind: ExceptionKind, held: int) -> None:
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


def apply_corrections(state: LedgerState, command: Corrections) -> Accepted:
    """Return the surplus of open charges to the allotments that were charged.

    A released holder has no allotment any more. Its open charges stay as they are, because no host
    can report what their requests cost.
    """
    state.holders.record_contact(command.holder, command.contact)
    for correction in command.corrections:
        account = state.account_by_budget.get(correction.budget)
        allotment = account.allotment_by_holder.get(command.holder) if account else None
        if account is None or allotment is None or not allotment.open_by_number:
            continue
        open_charge = allotment.open_by_number.pop(correction.number, None)
        if open_charge is None:
            continue
        surplus = open_charge.amount - max(0, min(correction.amount, open_charge.amount))
        if surplus:
            account.refund(allotment, surplus)
            through = state.calendar.book(open_charge.reserved_at)
            account.book_refund(through, open_charge.workspace, surplus)
            state.spend.refund(
                open_charge.workspace, account.unit, surplus, open_charge.reserved_at
            )
    return Accepted()


def book(
    state: LedgerState, account: Account, workspace: str, amount: int, reserved_at: float
) -> None:
    """Add a billed request to the sums of its period and its day."""
    account.book_charge(state.calendar.book(reserved_at), workspace, amount)
    state.spend.add(workspace, account.unit, amount, reserved_at)


def resolve_doubt(state: LedgerState, command: ResolveDoubt) -> Accepted | Rejected:
    """Bill or release an amount in doubt, once, on the decision of two people."""
    entry = state.exceptions.entry_by_number.get(command.number)
    if entry is None:
        remedy = "list them with: cranberrywallctl budgets doubts"
        return Rejected(ErrorKind.NOT_FOUND, "no amount in doubt has this number", "number", remedy)
    refusal = check_two_people(command.operator, command.approver)
    if refusal is not None:
        return refusal
    decision = "billed" if command.bill else "released"
    if entry.state == "recorded":
        return Rejected(ErrorKind.CONFLICT, "the exception needs no decision", "number")
    if entry.state != "open":
        is_repeated = entry.state == decision
        message = f"the amount in doubt was already {entry.state}"
        return Accepted() if is_repeated else Rejected(ErrorKind.CONFLICT, message, "number")
    return _settle_doubt(state, entry, command)


def _settle_doubt(state: LedgerState, entry: Entry, command: ResolveDoubt) -> Accepted | Rejected:
    account = state.account_by_budget[entry.budget]
    missing = entry.amount - entry.held
    if command.bill and missing > account.free:
        message = f"billing it needs {missing - account.free} more in the free amount"
        return Rejected(ErrorKind.BUDGET_EXHAUSTED, message, "number", "top the budget up")
    account.settle_held(entry.held, entry.amount if command.bill else 0)
    if command.bill:
        book(state, account, entry.workspace, entry.amount, entry.reserved_at)
    verb = "billed" if command.bill else "released"
    note = f"{verb} by {command.operator}, approved by {command.approver}"
    state.exceptions.resolve(entry.number, command.bill, note)
    return Accepted()


def check_two_people(operator: str, approver: str) -> Rejected | None:
    """Reject a command that needs two people if one is missing or both are the same."""
    if operator and approver and operator != approver:
        return None
    remedy = "set an operator, and a different person as approver"
    return Rejected(ErrorKind.FORBIDDEN, "this command needs two people", "approver", remedy)


def _repeated_outcome(entry: Entry) -> ChargeOutcome:
    if entry.kind is ExceptionKind.DUPLICATE:
        return ChargeOutcome.DUPLICATE
    return ChargeOutcome.BILLED if entry.state == "billed" else ChargeOutcome.IN_DOUBT


def _is_valid(charge: Charge) -> bool:
    return charge.amount >= 0 and charge.number > 0 and 0 <= charge.reserved_at < MAX_TIME


def format_holder(holder: Holder) -> str:
    """Return a holder as readable text."""
    return f"{holder.host} (incarnation {holder.incarnation})"
