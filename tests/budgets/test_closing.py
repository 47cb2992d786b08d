"""Closing periods while charges are in flight, and reports whose sums add up."""

from typing import Any

from cranberrywall.budgets import _ledger_exceptions
from cranberrywall.budgets.messages import (
    Accepted,
    ChargeOutcome,
    ClosePeriod,
    ClosePeriodResult,
    Draw,
    ExceptionKind,
    ExceptionsQuery,
    PeriodsQuery,
    PlannedPeriod,
    PlanPeriods,
    RegisterHolder,
    Rejected,
    ReportQuery,
    ReportResult,
    ReportRow,
    SpendQuery,
    WorkspaceCharge,
)
from cranberrywall.errors import ErrorKind
from tests.budgets.ledgers import A1, B1, Ledger

DAY = 86_400.0
NOVEMBER_END = 1_796_083_200.0
"""Start of 1 December 2026 in UTC, in seconds."""

IN_NOVEMBER = NOVEMBER_END - 3 * DAY
DECEMBER_END = NOVEMBER_END + 31 * DAY


def close(ledger: Ledger, period: str, through: float, at: float = DECEMBER_END) -> Any:
    return ledger.apply(ClosePeriod(period, through, "ann", at))


def report(ledger: Ledger, period: str = "", workspace: str = "", limit: int = 10) -> ReportResult:
    result = ledger.query(ReportQuery(period, workspace, "", limit))
    assert isinstance(result, ReportResult), result
    for row in result.rows:
        spent = row.charged_before + row.charged + row.charged_after
        assert row.credited == spent + row.outstanding + row.in_doubt + row.free
        assert row.charged == sum(one.amount for one in row.by_workspace)
    return result


def spent_in_november(amount: int = 100) -> Ledger:
    ledger = Ledger()
    ledger.credit(amount, at=IN_NOVEMBER)
    ledger.draw(A1, 1, amount // 2)
    assert ledger.charge(A1, "r1", 1, 10, IN_NOVEMBER) is ChargeOutcome.BILLED
    return ledger


def test_a_closed_period_keeps_its_rows_and_the_next_one_goes_on_from_them():
    ledger = spent_in_november()
    assert ledger.charge(A1, "r2", 2, 5, NOVEMBER_END + 1) is ChargeOutcome.BILLED
    closed = close(ledger, "2026-11", NOVEMBER_END)
    assert isinstance(closed, ClosePeriodResult)
    ledger.credit(50, "c2", at=NOVEMBER_END + DAY)
    ledger.restart()
    november = report(ledger, "2026-11")
    assert november.digest == closed.digest
    assert november.rows == (
        ReportRow(
            budget="desk",
            unit="tokens",
            credited=100,
            credits=100,
            charged_before=0,
            charged=10,
            charged_after=5,
            outstanding=35,
            in_doubt=0,
            free=50,
            by_workspace=(WorkspaceCharge("clerks", 10, 1),),
        ),
    )
    (december,) = report(ledger).rows
    assert (december.credits, december.charged_before, december.charged) == (50, 10, 5)


def test_a_top_up_belongs_to_the_period_of_its_time():
    """A top-up is dated on 2 December, and November is closed only after it."""
    ledger = spent_in_november()
    ledger.credit(50, "c2", at=NOVEMBER_END + DAY)
    close(ledger, "2026-11", NOVEMBER_END)
    (november,) = report(ledger, "2026-11").rows
    assert (november.credited, november.credits, november.credits_after) == (150, 100, 50)
    assert report(ledger).rows[0].credits == 50


def test_a_charge_that_comes_after_the_closing_is_billed_in_the_open_period():
    """A charge arrives after the period of its reservation was closed.

    A host is partitioned over the end of the month, with a request that was reserved on the last
    day, and the operator closes the month. The closed report must not change. The charge is billed
    once, in the open period, and is listed with its reason.
    """
    ledger = spent_in_november()
    before = close(ledger, "2026-11", NOVEMBER_END)
    closed = report(ledger, "2026-11")
    for _ in range(2):
        assert ledger.charge(A1, "r2", 2, 7, NOVEMBER_END - 60) is ChargeOutcome.BILLED
        ledger.restart()
    assert report(ledger, "2026-11") == closed
    assert close(ledger, "2026-11", NOVEMBER_END) == before
    assert report(ledger).rows[0].charged == 7
    rows = ledger.query(ExceptionsQuery("", False, NOVEMBER_END, 0, 10)).rows
    late = [(row.kind, row.request_id) for row in rows if row.number]
    assert late == [(ExceptionKind.LATE_PERIOD, "r2")]


def test_a_closed_period_cannot_be_closed_with_another_end_or_reopened():
    ledger = spent_in_november()
    close(ledger, "2026-11", NOVEMBER_END)
    ledger.restart()
    for refused in (
        close(ledger, "2026-11", DECEMBER_END),
        close(ledger, "again", NOVEMBER_END),
        close(ledger, "earlier", NOVEMBER_END - DAY),
    ):
        assert isinstance(refused, Rejected)
        assert refused.kind == ErrorKind.PERIOD_CLOSED


def test_a_closing_must_not_split_charges_that_were_booked_together():
    ledger = spent_in_november()
    refused = close(ledger, "half", IN_NOVEMBER - 1)
    assert (refused.kind, refused.field) == (ErrorKind.CONFLICT, "through")
    assert f"{NOVEMBER_END:.0f}" in refused.remedy
    early = close(ledger, "2026-11", NOVEMBER_END, at=NOVEMBER_END - 1)
    assert early.kind == ErrorKind.BAD_REQUEST
    ledger.charge(A1, "r2", 2, 5, NOVEMBER_END + 1)
    assert "2026-11" in close(ledger, "2026-12", DECEMBER_END).remedy


def test_a_period_may_end_at_any_time_after_the_last_charge():
    ledger = spent_in_november()
    assert isinstance(close(ledger, "first", IN_NOVEMBER + 1), ClosePeriodResult)
    ledger.charge(A1, "r2", 2, 5, IN_NOVEMBER + 2)
    assert report(ledger, "first").rows[0].charged == 10
    assert isinstance(close(ledger, "2026-11", NOVEMBER_END), ClosePeriodResult)
    assert report(ledger, "2026-11").rows[0].charged == 5


def test_planned_ends_decide_where_a_charge_goes():
    """A period ends at midnight in Ljubljana, an hour before the calendar month in UTC."""
    ledger = spent_in_november()
    end = NOVEMBER_END - 3_600.0
    plan = PlanPeriods((PlannedPeriod("november", end), PlannedPeriod("dec", DECEMBER_END)), "a", 0)
    for _ in range(2):
        assert ledger.apply(plan) == Accepted()
        ledger.restart()
    ledger.charge(A1, "r2", 2, 5, end + 60)
    open_periods = ledger.query(PeriodsQuery(end + DAY)).open_periods
    assert [one.period for one in open_periods] == ["november", "dec"]
    assert isinstance(close(ledger, "november", end), ClosePeriodResult)
    assert report(ledger, "november").rows[0].charged == 10
    assert report(ledger).rows[0].charged == 5


def test_a_plan_must_not_move_charges_that_are_booked():
    ledger = spent_in_november()
    ledger.charge(A1, "r2", 2, 5, NOVEMBER_END + 1)
    for ends in ([IN_NOVEMBER - DAY, NOVEMBER_END], [NOVEMBER_END + DAY]):
        periods = tuple(PlannedPeriod(str(end), end) for end in ends)
        assert ledger.apply(PlanPeriods(periods, "ann", 0)).kind == ErrorKind.CONFLICT
    assert report(ledger).rows[0].charged == 15


def test_a_plan_that_is_taken_back_must_not_split_charges_by_the_months():
    """A planned period extends over the end of a month and has charges on both sides of it.

    Without the plan, the end of the month would lie between these charges, but only one sum is
    stored for both.
    """
    ledger = Ledger()
    ledger.credit(100, at=IN_NOVEMBER)
    ledger.draw(A1, 1, 50)
    plan = PlanPeriods((PlannedPeriod("long", NOVEMBER_END + 9 * DAY),), "ann", 0)
    assert ledger.apply(plan) == Accepted()
    ledger.charge(A1, "r1", 1, 10, IN_NOVEMBER)
    ledger.charge(A1, "r2", 2, 5, NOVEMBER_END + 1)
    assert ledger.apply(plan._replace(periods=())).kind == ErrorKind.CONFLICT
    assert isinstance(close(ledger, "long", NOVEMBER_END + 9 * DAY), ClosePeriodResult)
    assert report(ledger, "long").rows[0].charged == 15


def test_the_exceptions_of_a_period_are_closed_with_it_and_open_ones_go_on():
    ledger = spent_in_november()
    ledger.draw(B1, 1, 50)
    ledger.charge(B1, "r1", 1, 10, IN_NOVEMBER)
    assert ledger.charge(B1, "big", 2, 500, IN_NOVEMBER) is ChargeOutcome.IN_DOUBT
    close(ledger, "2026-11", NOVEMBER_END)
    closed = ledger.query(ExceptionsQuery("", False, 0.0, 0, 10, "2026-11")).rows
    kinds = [row.kind for row in closed if row.number]
    assert kinds == [ExceptionKind.DUPLICATE, ExceptionKind.UNFUNDED]
    now_open = ledger.query(ExceptionsQuery("", False, 0.0, 0, 10)).rows
    assert [row.kind for row in now_open if row.number] == [ExceptionKind.UNFUNDED]
    assert report(ledger, "2026-11").rows[0].in_doubt == 50


def test_a_duplicate_that_is_resent_after_the_closing_is_not_named_again():
    ledger = spent_in_november()
    ledger.draw(B1, 1, 50)
    assert ledger.charge(B1, "r1", 1, 10, IN_NOVEMBER) is ChargeOutcome.DUPLICATE
    close(ledger, "2026-11", NOVEMBER_END)
    ledger.restart()
    assert ledger.charge(B1, "r1", 1, 10, IN_NOVEMBER) is ChargeOutcome.DUPLICATE
    rows = ledger.query(ExceptionsQuery("", False, 0.0, 0, 10)).rows
    assert [row for row in rows if row.number] == []


def test_a_report_comes_in_pages_and_by_workspace():
    ledger = Ledger()
    for number in range(25):
        ledger.credit(10, f"c{number}", budget=f"b{number:02}", at=IN_NOVEMBER)
    for period in ("", "2026-11"):
        names, after = [], ""
        while True:
            page = ledger.query(ReportQuery(period, "clerks", after, 10))
            names += [row.budget for row in page.rows]
            after = page.next_after
            if not after:
                break
        assert names == [f"b{number:02}" for number in range(25)]
        assert ledger.query(ReportQuery(period, "nobody", "", 10)).rows == ()
        close(ledger, "2026-11", NOVEMBER_END)


def test_no_exception_is_left_out_between_pages():
    """A host that held a part of every budget dies, and an operator lists the amounts in doubt."""
    ledger = Ledger()
    for number in range(25):
        budget = f"b{number:02}"
        ledger.credit(10, f"c{number}", budget=budget, at=IN_NOVEMBER)
        ledger.apply(Draw(budget, A1, 1, 5, 1, IN_NOVEMBER))
    ledger.apply(RegisterHolder(A1._replace(incarnation=2), False, IN_NOVEMBER))
    listed: list[str] = []
    after = 0
    while True:
        page = ledger.query(ExceptionsQuery("", True, IN_NOVEMBER, after, 10))
        assert len(page.rows) <= 10
        listed += [row.budget for row in page.rows]
        after = page.next_after
        if not after:
            break
    assert listed == [f"b{number:02}" for number in range(25)]


def test_duplicates_and_late_charges_are_named_up_to_a_bound_and_counted_beyond(monkeypatch):
    """After a partition over the end of a month, many late charges arrive, some of them twice."""
    monkeypatch.setattr(_ledger_exceptions, "MAX_LISTED", 2)
    ledger = spent_in_november()
    ledger.draw(B1, 1, 50)
    close(ledger, "2026-11", NOVEMBER_END)
    for number in range(2, 7):
        ledger.charge(A1, f"r{number}", number, 1, IN_NOVEMBER)
        ledger.charge(B1, f"r{number}", number, 1, IN_NOVEMBER)
    ledger.restart()
    result = ledger.query(ExceptionsQuery("", False, 0.0, 0, 100))
    assert len([row for row in result.rows if row.number]) == 4
    assert (result.unnamed, result.unnamed_late) == (3, 3)
    assert report(ledger).rows[0].charged == 5


def test_a_top_up_from_before_the_closing_before_last_is_not_credited_again():
    ledger = spent_in_november()
    close(ledger, "2026-11", NOVEMBER_END)
    assert ledger.credit(100, at=IN_NOVEMBER) == Accepted()
    close(ledger, "2026-12", DECEMBER_END)
    ledger.restart()
    refused = ledger.credit(100, at=IN_NOVEMBER)
    assert (refused.kind, refused.field) == (ErrorKind.PERIOD_CLOSED, "at")
    assert ledger.sums().credited == 100


def test_spend_is_summed_by_day():
    ledger = spent_in_november()
    ledger.charge(A1, "r2", 2, 5, IN_NOVEMBER + 1)
    ledger.charge(A1, "r3", 3, 7, IN_NOVEMBER + DAY)
    days = ledger.query(SpendQuery("clerks")).days
    assert [(day.amount, day.requests) for day in days] == [(15, 2), (7, 1)]
    assert ledger.query(SpendQuery("others")).days == ()
