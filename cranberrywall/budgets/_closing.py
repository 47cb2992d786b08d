"""Planning, closing and reporting of periods."""

from collections.abc import Iterable, Iterator

from cranberrywall.budgets._ledger_accounts import Account
from cranberrywall.budgets._ledger_exceptions import UnlistedCounts, make_holder_row
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
"""Maximum number of rows on a page of a report or of a list of exceptions."""

UNRESPONSIVE_TIMEOUT_S = 86_400.0
"""A holder that sent nothing for this time, in seconds, is listed with what it holds.

The value is longer than an office is closed at night; otherwise, each morning would begin with a
list of idle hosts.
"""

_NO_END = float("inf")


def plan_periods(state: LedgerState, command: PlanPeriods) -> Accepted | Rejected:
    """Replace the plan of future periods."""
    refusal = state.calendar.check_plan(command.periods)
    if refusal is not None:
        return refusal
    state.apply_moved_end(state.calendar.plan(command.periods))
    return Accepted()


def close_period(state: LedgerState, command: ClosePeriod) -> ClosePeriodResult | Rejected:
    """Store the period's rows and start the next period."""
    answer = check_closing(state, command)
    if isinstance(answer, Rejected) or answer.digest:
        return answer
    return ClosePeriodResult(_close(state, command).digest)


def check_closing(state: LedgerState, command: ClosePeriod) -> ClosePeriodResult | Rejected:
    """Return the answer that closing would give; its digest is empty if it would close."""
    closed = state.closings.find(command.period)
    if closed is not None:
        return _answer_repeated_closing(closed, command)
    if command.through <= state.calendar.closed_through:
        remedy = "list the periods with: cranberrywallctl report --periods"
        return Rejected(
            ErrorKind.PERIOD_CLOSED,
            "a period with this end or a later one is closed",
            "through",
            remedy,
        )
    refusal = _check_command(command) or state.calendar.check_closing(command.through)
    return refusal or ClosePeriodResult("")


def _answer_repeated_closing(
    closed: ClosedPeriod, command: ClosePeriod
) -> ClosePeriodResult | Rejected:
    if closed.through == command.through:
        return ClosePeriodResult(closed.digest)
    message = (
        f"a period of this name was closed with the end {closed.through:.3f} by {closed.operator}"
    )
    return Rejected(ErrorKind.PERIOD_CLOSED, message, "period", "choose a different name")


def _check_command(command: ClosePeriod) -> Rejected | None:
    if not command.period or not command.operator:
        field = "operator" if command.period else "period"
        return Rejected(ErrorKind.BAD_REQUEST, "must not be empty", field, "set this field")
    if command.through > command.at:
        remedy = "close the period after its end"
        return Rejected(ErrorKind.BAD_REQUEST, "the period is not over", "through", remedy)
    return None


def _close(state: LedgerState, command: ClosePeriod) -> ClosedPeriod:
    state.apply_moved_end(state.calendar.close(command.through))
    rows = list(_open_period_rows(state, "", command.through))
    listed = [*state.exceptions.rows(), *_holder_rows(state, command.at)]
    closing = ClosedPeriod(command.period, command.through, command.at, command.operator, "")
    closed = state.closings.add(closing, rows, listed, state.exceptions.unlisted)
    for account in state.account_by_budget.values():
        account.close(command.through)
    for part in (state.credits, state.intents, state.spend):
        part.close(command.through)
    state.exceptions.close()
    return closed


def _open_period_rows(state: LedgerState, after: str, through: float) -> Iterator[ReportRow]:
    for budget in state.sorted_budgets():
        if budget > after:
            yield make_row(budget, state.account_by_budget[budget], through)


def make_row(budget: str, account: Account, through: float) -> ReportRow:
    """Return a budget's row for the open period that ends at ``through``."""
    by_workspace = _sum_by_workspace(account.charges_through(through))
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


def _sum_by_workspace(charges: Iterable[WorkspaceCharge]) -> tuple[WorkspaceCharge, ...]:
    sums_by_workspace: dict[str, WorkspaceCharge] = {}
    for charge in charges:
        total = sums_by_workspace.get(charge.workspace, WorkspaceCharge(charge.workspace, 0, 0))
        sums = (total.amount + charge.amount, total.requests + charge.requests)
        sums_by_workspace[charge.workspace] = WorkspaceCharge(charge.workspace, *sums)
    return tuple(sums_by_workspace[name] for name in sorted(sums_by_workspace))


def report(state: LedgerState, query: ReportQuery) -> ReportResult | Rejected:
    """Return a page of the report of the open period, or of a closed one."""
    if not query.period:
        period = ClosedPeriod("", _NO_END, 0.0, "", "")
        rows: Iterable[ReportRow] = _open_period_rows(state, query.after, _NO_END)
    else:
        closed = state.closings.find(query.period)
        if closed is None:
            return _reject_unknown_period(query.period)
        period = closed
        rows = state.closings.rows_after(query.period, query.after)
    page, next_after = _page(state, rows, query)
    return ReportResult(
        period.period,
        period.through,
        period.closed_at,
        period.operator,
        period.digest,
        page,
        next_after,
    )


def _page(
    state: LedgerState, rows: Iterable[ReportRow], query: ReportQuery
) -> tuple[tuple[ReportRow, ...], str]:
    limit = max(1, min(query.limit, MAX_ROWS))
    page: list[ReportRow] = []
    for row in rows:
        if query.workspace and not _involves_workspace(state, row, query.workspace):
            continue
        if len(page) == limit:
            return tuple(page), page[-1].budget
        page.append(row)
    return tuple(page), ""


def _involves_workspace(state: LedgerState, row: ReportRow, workspace: str) -> bool:
    if any(entry.workspace == workspace for entry in row.by_workspace):
        return True
    return state.account_by_budget[row.budget].workspace == workspace


def periods(state: LedgerState, query: PeriodsQuery) -> PeriodsResult:
    """Return the closed periods and the open ones."""
    return PeriodsResult(state.closings.all(), state.calendar.open_periods(query.now))


def exceptions(state: LedgerState, query: ExceptionsQuery) -> ExceptionsResult | Rejected:
    """Return a page of the current exceptions, or of a closed period's."""
    unlisted = state.exceptions.unlisted
    if not query.period:
        rows = [*_holder_rows(state, query.now), *state.exceptions.rows()]
    elif state.closings.find(query.period) is None:
        return _reject_unknown_period(query.period)
    else:
        rows, unlisted = state.closings.exceptions(query.period)
    return _exceptions_page(rows, query, unlisted)


def _exceptions_page(
    rows: list[ExceptionRow], query: ExceptionsQuery, unlisted: UnlistedCounts
) -> ExceptionsResult:
    matching = [
        row
        for row in rows
        if query.budget in ("", row.budget) and (row.state == "open" or not query.open_only)
    ]
    end = query.after + max(1, min(query.limit, MAX_ROWS))
    next_after = end if end < len(matching) else 0
    page = tuple(matching[query.after : end])
    return ExceptionsResult(page, next_after, unlisted.duplicates, unlisted.late)


def _holder_rows(state: LedgerState, now: float) -> list[ExceptionRow]:
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
            elif now - active_at_by_holder[holder] < UNRESPONSIVE_TIMEOUT_S:
                continue
            amount, at = allotment.outstanding, active_at_by_holder[holder]
            rows.append(make_holder_row(kind, budget, account.workspace, holder, amount, at))
    return rows


def _last_activity(state: LedgerState) -> dict[Holder, float]:
    active_at_by_holder: dict[Holder, float] = {}
    for account in state.account_by_budget.values():
        for holder, allotment in account.allotment_by_holder.items():
            latest = active_at_by_holder.get(holder, 0.0)
            active_at_by_holder[holder] = max(latest, allotment.active_at)
    return active_at_by_holder


def _reject_unknown_period(period: str) -> Rejected:
    remedy = "list the periods with: cranberrywallctl report --periods"
    return Rejected(
        ErrorKind.NOT_FOUND, f"{period} is not closed, or is no longer stored", "", remedy
    )
