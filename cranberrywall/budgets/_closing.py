"""Plan periods, close them, and report what they hold."""

from collections.abc import Iterable, Iterator

from cranberrywall.budgets._ledger_accounts import Account
from cranberrywall.budgets._ledger_exceptions import Unnamed, waiting_row
from cranberrywall.budgets._ledger_state import LedgerState
from cranberrywall.budgets.messages import (
    Accepted,
    ClosedPeriod,
    ClosePeriod,
    ClosePeriodResult,
    ExceptionKind,
    ExceptionRow,
    ExceptionsQuery,
    ExceptionsResult,
    Holder,
    PeriodsQuery,
    PeriodsResult,
    PlanPeriods,
    Rejected,
    ReportQuery,
    ReportResult,
    ReportRow,
    WorkspaceCharge,
)
from cranberrywall.errors import ErrorKind

MAX_ROWS = 1_000
"""The most rows on a page of a report or of a list of exceptions."""

SILENT_AFTER_S = 86_400.0
"""A holder that sent nothing for this long is named with what it holds.

It is longer than an office is closed at night, or each morning would begin with a list.
"""

_END_OF_TIME = float("inf")


def plan_periods(state: LedgerState, command: PlanPeriods) -> Accepted | Rejected:
    """Replace the plan of the periods to come."""
    refusal = state.calendar.check_plan(command.periods)
    if refusal is not None:
        return refusal
    state.rebook(state.calendar.plan(command.periods))
    return Accepted()


def close_period(state: LedgerState, command: ClosePeriod) -> ClosePeriodResult | Rejected:
    """Write the period's rows down and begin the next one."""
    answer = check_closing(state, command)
    if isinstance(answer, Rejected) or answer.digest:
        return answer
    return ClosePeriodResult(_close(state, command).digest)


def check_closing(state: LedgerState, command: ClosePeriod) -> ClosePeriodResult | Rejected:
    """Return what closing would answer; the digest is empty where it would close."""
    known = state.closings.find(command.period)
    if known is not None:
        return _closed_before(known, command)
    if command.through <= state.calendar.closed_through:
        remedy = "list the periods with: cranberrywallctl report --periods"
        return Rejected(ErrorKind.PERIOD_CLOSED, "a later end is closed", "through", remedy)
    refusal = _check_command(command) or state.calendar.check_closing(command.through)
    return refusal or ClosePeriodResult("")


def _closed_before(known: ClosedPeriod, command: ClosePeriod) -> ClosePeriodResult | Rejected:
    if known.through == command.through:
        return ClosePeriodResult(known.digest)
    message = f"it was closed with the end {known.through:.3f} by {known.operator}"
    return Rejected(ErrorKind.PERIOD_CLOSED, message, "period", "choose another name")


def _check_command(command: ClosePeriod) -> Rejected | None:
    if not command.period or not command.operator:
        field = "operator" if command.period else "period"
        return Rejected(ErrorKind.BAD_REQUEST, "must not be empty", field, "name it")
    if command.through > command.at:
        remedy = "close it after its end"
        return Rejected(ErrorKind.BAD_REQUEST, "the period is not over", "through", remedy)
    return None


def _close(state: LedgerState, command: ClosePeriod) -> ClosedPeriod:
    state.rebook(state.calendar.close(command.through))
    rows = list(_live_rows(state, "", command.through))
    named = [*state.exceptions.rows(), *_waiting_rows(state, command.at)]
    about = ClosedPeriod(command.period, command.through, command.at, command.operator, "")
    closed = state.closings.add(about, rows, named, state.exceptions.unnamed)
    for account in state.account_by_budget.values():
        account.close(command.through)
    for part in (state.credits, state.intents, state.spend):
        part.close(command.through)
    state.exceptions.close()
    return closed


def _live_rows(state: LedgerState, after: str, through: float) -> Iterator[ReportRow]:
    for budget in state.sorted_budgets():
        if budget > after:
            yield make_row(budget, state.account_by_budget[budget], through)


def make_row(budget: str, account: Account, through: float) -> ReportRow:
    """Return a budget's row for the open period that ends at ``through``."""
    by_workspace = _join(account.charges_through(through))
    charged = sum(entry.amount for entry in by_workspace)
    credits = account.credits_through(through)
    return ReportRow(
        budget=budget,
        unit=account.unit,
        credited=account.credited,
        credits=credits,
        credits_after=account.credited - account.credited_before - credits,
        charged_before=account.charged_before,
        charged=charged,
        charged_after=account.charged - account.charged_before - charged,
        outstanding=account.outstanding,
        in_doubt=account.held,
        free=account.free,
        by_workspace=by_workspace,
    )


def _join(charges: Iterable[WorkspaceCharge]) -> tuple[WorkspaceCharge, ...]:
    sums_by_workspace: dict[str, WorkspaceCharge] = {}
    for one in charges:
        known = sums_by_workspace.get(one.workspace, WorkspaceCharge(one.workspace, 0, 0))
        sums = (known.amount + one.amount, known.requests + one.requests)
        sums_by_workspace[one.workspace] = WorkspaceCharge(one.workspace, *sums)
    return tuple(sums_by_workspace[name] for name in sorted(sums_by_workspace))


def report(state: LedgerState, query: ReportQuery) -> ReportResult | Rejected:
    """Return a page of the open period's report, or of a closed one's."""
    if not query.period:
        about = ClosedPeriod("", _END_OF_TIME, 0.0, "", "")
        rows: Iterable[ReportRow] = _live_rows(state, query.after, _END_OF_TIME)
    else:
        known = state.closings.find(query.period)
        if known is None:
            return _no_period(query.period)
        about = known
        rows = state.closings.rows_after(query.period, query.after)
    page, next_after = _page(state, rows, query)
    return ReportResult(
        about.period,
        about.through,
        about.closed_at,
        about.operator,
        about.digest,
        page,
        next_after,
    )


def _page(
    state: LedgerState, rows: Iterable[ReportRow], query: ReportQuery
) -> tuple[tuple[ReportRow, ...], str]:
    limit = max(1, min(query.limit, MAX_ROWS))
    page: list[ReportRow] = []
    for row in rows:
        if query.workspace and not _concerns(state, row, query.workspace):
            continue
        if len(page) == limit:
            return tuple(page), page[-1].budget
        page.append(row)
    return tuple(page), ""


def _concerns(state: LedgerState, row: ReportRow, workspace: str) -> bool:
    if any(entry.workspace == workspace for entry in row.by_workspace):
        return True
    return state.account_by_budget[row.budget].workspace == workspace


def periods(state: LedgerState, query: PeriodsQuery) -> PeriodsResult:
    """Return the closed periods and the open ones."""
    return PeriodsResult(state.closings.all(), state.calendar.open_periods(query.now))


def exceptions(state: LedgerState, query: ExceptionsQuery) -> ExceptionsResult | Rejected:
    """Return a page of the present exceptions, or of a closed period's."""
    unnamed = state.exceptions.unnamed
    if not query.period:
        rows = [*_waiting_rows(state, query.now), *state.exceptions.rows()]
    elif state.closings.find(query.period) is None:
        return _no_period(query.period)
    else:
        rows, unnamed = state.closings.exceptions(query.period)
    return _exceptions_page(rows, query, unnamed)


def _exceptions_page(
    rows: list[ExceptionRow], query: ExceptionsQuery, unnamed: Unnamed
) -> ExceptionsResult:
    wanted = [
        row
        for row in rows
        if query.budget in ("", row.budget) and (row.state == "open" or not query.open_only)
    ]
    end = query.after + max(1, min(query.limit, MAX_ROWS))
    next_after = end if end < len(wanted) else 0
    page = tuple(wanted[query.after : end])
    return ExceptionsResult(page, next_after, unnamed.duplicates, unnamed.late)


def _waiting_rows(state: LedgerState, now: float) -> list[ExceptionRow]:
    rows = []
    active_at_by_holder = _last_activity(state)
    for budget in state.sorted_budgets():
        account = state.account_by_budget[budget]
        for holder, allotment in account.allotment_by_holder.items():
            if not allotment.outstanding:
                continue
            kind = ExceptionKind.SILENT_HOLDER
            if not state.holders.is_current(holder):
                kind = ExceptionKind.DEAD_HOLDER
            elif now - active_at_by_holder[holder] < SILENT_AFTER_S:
                continue
            amount, at = allotment.outstanding, active_at_by_holder[holder]
            rows.append(waiting_row(kind, budget, account.workspace, holder, amount, at))
    return rows


def _last_activity(state: LedgerState) -> dict[Holder, float]:
    active_at_by_holder: dict[Holder, float] = {}
    for account in state.account_by_budget.values():
        for holder, allotment in account.allotment_by_holder.items():
            known = active_at_by_holder.get(holder, 0.0)
            active_at_by_holder[holder] = max(known, allotment.active_at)
    return active_at_by_holder


def _no_period(period: str) -> Rejected:
    remedy = "list the periods with: cranberrywallctl report --periods"
    return Rejected(ErrorKind.NOT_FOUND, f"{period} is not closed, or no longer kept", "", remedy)
