"""Ledger state machine: applies the commands of a ledger group and answers its queries."""

import sys
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from cranberrywall.budgets import _closing as closing
from cranberrywall.budgets import _ledger_charges as charges
from cranberrywall.budgets import _ledger_movements as movements
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
"""Maximum amount of one command: larger integers lose precision in many JSON parsers."""

UNITS = ("tokens", "answers")


class LedgerSummary(NamedTuple):
    """Size of one ledger group's state on this host, for the state dump and the metrics.

    ``id_floor`` is the latest reservation time among the request ids that were evicted, in seconds
    since the epoch; 0 if none was evicted. ``closed_through`` is the end of the last closed period,
    in seconds since the epoch.
    """

    budgets: int
    hosts: int
    ids: int
    id_floor: float
    intents: int
    open_doubts: int
    closed_through: float


class LedgerMachine(StateMachine, Protocol):
    """Replicated state machine of a ledger group."""

    def summary(self) -> LedgerSummary:
        """Return the sizes of this host's copy, which may lag behind the leader's."""
        ...


def make_ledger_machine(limits: IdLimits | None = None) -> LedgerMachine:
    """Return an empty ledger; ``limits`` bounds the memory used for request ids."""
    return _LedgerMachine(limits or IdLimits())


class _LedgerMachine:
    def __init__(self, limits: IdLimits) -> None:
        self._limits = limits
        self._state = LedgerState(limits)
        self._apply_by_type: dict[type, Callable[[LedgerState, Any], Any]] = {
            messages.Credit: _credit,
            messages.RaiseCredits: _raise_credits,
            messages.Draw: movements.draw,
            messages.Return: movements.give_back,
            messages.ChargeBatch: charges.apply_batch,
            messages.Corrections: charges.apply_corrections,
            messages.RegisterHolder: movements.register,
            messages.DeclareSpendRates: movements.declare_rates,
            messages.TrackStarts: movements.track_starts,
            messages.ConfirmDead: movements.confirm_dead,
            messages.Recall: movements.recall,
            messages.Transfer: movements.transfer,
            messages.TransferBatch: movements.transfer_batch,
            messages.RecordIntent: lambda state, command: state.intents.record_intent(command),
            messages.RecordOutcome: lambda state, command: state.intents.record_outcome(command),
            messages.PlanPeriods: closing.plan_periods,
            messages.ClosePeriod: closing.close_period,
            messages.ResolveDoubt: charges.resolve_doubt,
        }
        self._answer_by_type: dict[type, Callable[[LedgerState, Any], Any]] = {
            messages.BudgetQuery: _budget,
            messages.CreditsQuery: _credits,
            messages.HoldersQuery: _holders,
            messages.ReplicaHoldersQuery: movements.replica_holders,
            messages.RecallsQuery: movements.recalls,
            messages.IntentQuery: lambda state, query: state.intents.find(query),
            messages.ClosePeriod: closing.check_closing,
            messages.ReportQuery: closing.report,
            messages.PeriodsQuery: closing.periods,
            messages.ExceptionsQuery: closing.exceptions,
            messages.SpendQuery: _spend,
        }

    def apply(self, command: bytes) -> bytes:
        """Apply one command; raise ``LedgerInvariantError`` instead of overspending."""
        return self._dispatch(self._apply_by_type, command)

    def query(self, query: bytes) -> bytes:
        """Answer one query without changing the state."""
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
            return LEDGER_CODEC.encode(
                Rejected(ErrorKind.MALFORMED, f"{name} is not accepted here")
            )
        return LEDGER_CODEC.encode(handle(self._state, message))

    def summary(self) -> LedgerSummary:
        """Return the sizes of this host's copy."""
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
        """Return the full state."""
        return self._state.dump()

    def restore(self, snapshot: bytes) -> None:
        """Replace the full state, and check every budget's sums against their parts."""
        state = LedgerState(self._limits)
        state.load(snapshot)
        self._state = state


def _credit(state: LedgerState, command: messages.Credit) -> messages.Accepted | Rejected:
    existing = state.credits.find(command.change_id)
    if existing is not None:
        return _answer_repeated_credit(existing, command)
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
    for target_total in command.totals:
        account = state.account_by_budget.get(target_total.budget)
        credited = account.credited if account else 0
        if target_total.total <= credited:
            continue
        # The change id contains the total, so that the list of top-ups shows which total each
        # credit belongs to.
        credit = messages.Credit(
            target_total.budget,
            target_total.workspace,
            target_total.unit,
            target_total.total - credited,
            f"total {target_total.total} of {target_total.budget}",
            command.operator,
            max(command.at, state.credits.floor),
        )
        answer = _credit(state, credit)
        if isinstance(answer, Rejected):
            return answer
    return messages.Accepted()


def _answer_repeated_credit(
    existing: messages.Credit, command: messages.Credit
) -> messages.Accepted | Rejected:
    if (existing.budget, existing.amount, existing.unit) == (
        command.budget,
        command.amount,
        command.unit,
    ):
        return messages.Accepted()
    message = (
        f"the change id already credited {existing.amount} to {existing.budget}, "
        f"by {existing.operator}"
    )
    remedy = "use a different change id for this top-up"
    return Rejected(ErrorKind.CONFLICT, message, "change_id", remedy)


def _check_credit(state: LedgerState, command: messages.Credit) -> Rejected | None:
    for field in ("budget", "workspace", "change_id", "operator"):
        if not getattr(command, field):
            return Rejected(ErrorKind.BAD_REQUEST, "must not be empty", field, "set this field")
    if not 1 <= command.amount <= MAX_AMOUNT:
        remedy = f"use an amount from 1 to {MAX_AMOUNT}"
        return Rejected(ErrorKind.BAD_REQUEST, "is out of range", "amount", remedy)
    if not state.credits.floor <= command.at < MAX_TIME:
        remedy = "check the closed report for the top-up; if it is new, check the clock"
        message = "older than the retained top-ups; it may already have been credited"
        return Rejected(ErrorKind.PERIOD_CLOSED, message, "at", remedy)
    account = state.account_by_budget.get(command.budget)
    unit = account.unit if account else command.unit
    if command.unit not in UNITS or command.unit != unit:
        allowed = f"set it to {unit}" if unit in UNITS else f"set it to one of {', '.join(UNITS)}"
        return Rejected(ErrorKind.BAD_REQUEST, "is not the budget's unit", "unit", allowed)
    return None


def _budget(state: LedgerState, query: messages.BudgetQuery) -> messages.BudgetResult | Rejected:
    account = state.account_by_budget.get(query.budget)
    if account is None:
        return movements.reject_unknown_budget(query.budget)
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
            holder_sum = sum_by_holder.get(holder)
            if holder_sum is None:
                holder_sum = messages.HolderSum(holder, state.holders.is_current(holder), 0, 0, 0.0)
            sum_by_holder[holder] = holder_sum._replace(
                outstanding=holder_sum.outstanding + allotment.outstanding,
                budgets=holder_sum.budgets + 1,
                active_at=max(holder_sum.active_at, allotment.active_at),
            )
    return messages.HoldersResult(tuple(sum_by_holder[holder] for holder in sorted(sum_by_holder)))
