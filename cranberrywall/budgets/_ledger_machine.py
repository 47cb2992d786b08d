"""Apply a ledger group's commands, and answer its queries."""

import sys
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from cranberrywall.budgets import _closing as closing
from cranberrywall.budgets import _ledger_charges as charges
from cranberrywall.budgets import _ledger_movements as holding
from cranberrywall.budgets import messages
from cranberrywall.budgets._closing_calendar import MAX_TIME
from cranberrywall.budgets._ledger_accounts import Account
from cranberrywall.budgets._ledger_ids import IdLimits
from cranberrywall.budgets._ledger_state import LedgerState
from cranberrywall.budgets.messages import LEDGER_CODEC, Rejected
from cranberrywall.errors import ErrorKind
from cranberrywall.links import MalformedMessageError
from cranberrywall.replication import StateMachine

MAX_AMOUNT = 2**53
"""The most that one command may move: larger numbers do not survive JSON everywhere."""

UNITS = ("tokens", "answers")


class LedgerSummary(NamedTuple):
    """Count what one ledger group keeps on this host, for the state dump and the metrics.

    ``id_floor`` is the latest reservation among the ids that were forgotten, in seconds
    since the epoch; 0 where none was.
    """

    budgets: int
    hosts: int
    ids: int
    id_floor: float
    intents: int
    open_doubts: int
    closed_through: float


class LedgerMachine(StateMachine, Protocol):
    """Replicate a ledger, and say how much it keeps on this host."""

    def summary(self) -> LedgerSummary:
        """Return counts of this host's copy, which may lag behind the leader's."""
        ...


def make_ledger_machine(limits: IdLimits | None = None) -> LedgerMachine:
    """Return an empty ledger; ``limits`` bounds the memory for request ids."""
    return _LedgerMachine(limits or IdLimits())


class _LedgerMachine:
    def __init__(self, limits: IdLimits) -> None:
        self._limits = limits
        self._state = LedgerState(limits)
        self._apply_by_type: dict[type, Callable[[LedgerState, Any], Any]] = {
            messages.Credit: _credit,
            messages.RaiseCredits: _raise_credits,
            messages.Draw: holding.draw,
            messages.Return: holding.give_back,
            messages.ChargeBatch: charges.apply_batch,
            messages.Corrections: charges.correct,
            messages.RegisterHolder: holding.register,
            messages.ConfirmDead: holding.confirm_dead,
            messages.Recall: holding.recall,
            messages.Transfer: holding.transfer,
            messages.TransferBatch: holding.transfer_batch,
            messages.RecordIntent: lambda state, command: state.intents.record(command),
            messages.RecordOutcome: lambda state, command: state.intents.resend_pending(command),
            messages.PlanPeriods: closing.plan_periods,
            messages.ClosePeriod: closing.close_period,
            messages.ResolveDoubt: charges.resolve_doubt,
        }
        self._answer_by_type: dict[type, Callable[[LedgerState, Any], Any]] = {
            messages.BudgetQuery: _budget,
            messages.CreditsQuery: _credits,
            messages.HoldersQuery: _holders,
            messages.RecallsQuery: holding.recalls,
            messages.IntentQuery: lambda state, query: state.intents.find(query),
            messages.ClosePeriod: closing.check_closing,
            messages.ReportQuery: closing.report,
            messages.PeriodsQuery: closing.periods,
            messages.ExceptionsQuery: closing.exceptions,
            messages.SpendQuery: _spend,
        }

    def apply(self, command: bytes) -> bytes:
        """Apply one command; raise ``LedgerInvariantError`` rather than overspend."""
        return self._dispatch(self._apply_by_type, command)

    def query(self, query: bytes) -> bytes:
        """Answer one query."""
        return self._dispatch(self._answer_by_type, query)

    def _dispatch(
        self, by_type: dict[type, Callable[[LedgerState, Any], Any]], data: bytes
    ) -> bytes:
        try:
            message = LEDGER_CODEC.decode(data)
        except MalformedMessageError as error:
            return LEDGER_CODEC.encode(Rejected(ErrorKind.MALFORMED, str(error)))
        handle = by_type.get(type(message))
        if handle is None:
            name = type(message).__name__
            return LEDGER_CODEC.encode(Rejected(ErrorKind.MALFORMED, f"{name} is not taken here"))
        return LEDGER_CODEC.encode(handle(self._state, message))

    def summary(self) -> LedgerSummary:
        """Return counts of this copy."""
        state = self._state
        return LedgerSummary(
            budgets=len(state.account_by_budget),
            hosts=len(state.holders.record_by_host),
            ids=len(state.ids),
            id_floor=state.ids.floor,
            intents=len(state.intents),
            open_doubts=state.exceptions.count_open(),
            closed_through=state.calendar.closed_through,
        )

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return self._state.dump()

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state; the sums of every budget are added up again."""
        state = LedgerState(self._limits)
        state.load(snapshot)
        self._state = state


def _credit(state: LedgerState, command: messages.Credit) -> messages.Accepted | Rejected:
    known = state.credits.find(command.change_id)
    if known is not None:
        return _credited_before(known, command)
    refusal = _check_credit(state, command)
    if refusal is not None:
        return refusal
    account = state.account_by_budget.get(command.budget)
    if account is None:
        name = sys.intern(command.budget)
        account = state.account_by_budget[name] = Account(command.workspace, command.unit)
    account.credit(command.amount)
    through = state.calendar.book(command.at)
    account.book_credit(through, command.workspace, command.amount)
    state.credits.add(command)
    return messages.Accepted()


def _raise_credits(
    state: LedgerState, command: messages.RaiseCredits
) -> messages.Accepted | Rejected:
    for wanted in command.totals:
        account = state.account_by_budget.get(wanted.budget)
        credited = account.credited if account else 0
        if wanted.total <= credited:
            continue
        # The change id names the total, so that the list of top-ups tells where each part
        # came from.
        credit = messages.Credit(
            wanted.budget,
            wanted.workspace,
            wanted.unit,
            wanted.total - credited,
            f"total {wanted.total} of {wanted.budget}",
            command.operator,
            max(command.at, state.credits.floor),
        )
        credited_now = _credit(state, credit)
        if isinstance(credited_now, Rejected):
            return credited_now
    return messages.Accepted()


def _credited_before(
    known: messages.Credit, command: messages.Credit
) -> messages.Accepted | Rejected:
    if (known.budget, known.amount, known.unit) == (command.budget, command.amount, command.unit):
        return messages.Accepted()
    message = f"it credited {known.amount} to {known.budget}, by {known.operator}"
    remedy = "give this top-up a change id of its own"
    return Rejected(ErrorKind.CONFLICT, message, "change_id", remedy)


def _check_credit(state: LedgerState, command: messages.Credit) -> Rejected | None:
    for field in ("budget", "workspace", "change_id", "operator"):
        if not getattr(command, field):
            return Rejected(ErrorKind.BAD_REQUEST, "must not be empty", field, "name it")
    if not 1 <= command.amount <= MAX_AMOUNT:
        remedy = f"give 1 to {MAX_AMOUNT}"
        return Rejected(ErrorKind.BAD_REQUEST, "is out of range", "amount", remedy)
    if not state.credits.floor <= command.at < MAX_TIME:
        remedy = "look for the top-up in the closed report; if it is new, check the clock"
        message = "it is older than the top-ups that are kept, and may have been credited"
        return Rejected(ErrorKind.PERIOD_CLOSED, message, "at", remedy)
    account = state.account_by_budget.get(command.budget)
    unit = account.unit if account else command.unit
    if command.unit not in UNITS or command.unit != unit:
        allowed = f"give {unit}" if unit in UNITS else f"give one of {', '.join(UNITS)}"
        return Rejected(ErrorKind.BAD_REQUEST, "is not the budget's unit", "unit", allowed)
    return None


def _budget(state: LedgerState, query: messages.BudgetQuery) -> messages.BudgetResult | Rejected:
    account = state.account_by_budget.get(query.budget)
    if account is None:
        return holding.no_budget(query.budget)
    held = tuple(
        messages.HeldAmount(holder, allotment.outstanding, allotment.active_at)
        for holder, allotment in sorted(
            account.allotment_by_holder.items(), key=lambda item: item[0]
        )
    )
    return messages.BudgetResult(
        budget=query.budget,
        unit=account.unit,
        credited=account.credited,
        charged=account.charged,
        outstanding=account.outstanding,
        in_doubt=account.held,
        free=account.free,
        held=held,
    )


def _credits(state: LedgerState, query: messages.CreditsQuery) -> messages.CreditsResult:
    return messages.CreditsResult(state.credits.of_budget(query.budget))


def _spend(state: LedgerState, query: messages.SpendQuery) -> messages.SpendResult:
    return messages.SpendResult(state.spend.days(query.workspace))


def _holders(state: LedgerState, query: messages.HoldersQuery) -> messages.HoldersResult:
    sum_by_holder: dict[messages.Holder, messages.HolderSum] = {}
    for host, record in state.holders.record_by_host.items():
        holder = messages.Holder(host, record.incarnation)
        current = state.holders.is_current(holder)
        sum_by_holder[holder] = messages.HolderSum(holder, current, 0, 0, 0.0)
    for account in state.account_by_budget.values():
        for holder, allotment in account.allotment_by_holder.items():
            known = sum_by_holder.get(holder)
            if known is None:
                known = messages.HolderSum(holder, state.holders.is_current(holder), 0, 0, 0.0)
            sum_by_holder[holder] = known._replace(
                outstanding=known.outstanding + allotment.outstanding,
                budgets=known.budgets + 1,
                active_at=max(known.active_at, allotment.active_at),
            )
    return messages.HoldersResult(tuple(sum_by_holder[holder] for holder in sorted(sum_by_holder)))
