"""Compares closings with sums over all charges and top-ups that were accepted."""

from typing import Any, NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrywall.budgets.messages import (
    Accepted,
    ChargeOutcome,
    ClosePeriod,
    ClosePeriodResult,
    PeriodsQuery,
    PlannedPeriod,
    PlanPeriods,
    ReportQuery,
    ReportRow,
)
from tests.budgets.ledgers import A1, Ledger

DAY = 86_400.0
START = 1_793_491_200.0
"""Start of 1 November 2026 in UTC, in seconds."""

LATEST = START + 2_000 * DAY
DAYS = st.integers(0, 100)
STEPS = st.one_of(
    st.tuples(st.just("charge"), DAYS, st.integers(1, 9)),
    st.tuples(st.just("charge"), DAYS, st.integers(1, 9)),
    st.tuples(st.just("credit"), DAYS, st.integers(1, 9)),
    st.tuples(st.just("close"), DAYS),
    st.tuples(st.just("close_first")),
    st.tuples(st.just("plan"), st.lists(DAYS, max_size=4, unique=True)),
    st.tuples(st.just("restart")),
)


class Amount(NamedTuple):
    """A charge or top-up that was accepted; ``at`` determines its period."""

    at: float
    amount: int


class ClosingModel:
    """The ledger, and a model of all amounts that are in no closed period yet."""

    def __init__(self) -> None:
        self.ledger = Ledger()
        self.ledger.credit(10_000, "first", at=START)
        self.ledger.draw(A1, 1, 5_000)
        self.charges: list[Amount] = []
        self.credits = [Amount(START, 10_000)]
        self.closed: dict[str, ReportRow] = {}
        self.count = 0

    def row(self, period: str) -> ReportRow:
        (row,) = self.ledger.query(ReportQuery(period, "", "", 10)).rows
        spent = row.charged_before + row.charged + row.charged_after
        assert row.credited == spent + row.outstanding + row.in_doubt + row.free
        assert isinstance(row, ReportRow)
        return row

    def charge(self, day: int, amount: int) -> None:
        self.count += 1
        at = START + day * DAY + 1.0
        outcome = self.ledger.charge(A1, f"r{self.count}", self.count, amount, at)
        assert outcome is ChargeOutcome.BILLED
        self.charges.append(Amount(at, amount))

    def credit(self, day: int, amount: int) -> None:
        self.count += 1
        at = START + day * DAY + 1.0
        # A top-up from before the closing before the last one is rejected.
        if self.ledger.credit(amount, f"c{self.count}", at=at) == Accepted():
            self.credits.append(Amount(at, amount))

    def close(self, day: int) -> None:
        self._close(START + day * DAY, must=False)

    def close_first(self) -> None:
        """Close the first open period, which must always be possible after its end."""
        first = self.ledger.query(PeriodsQuery(START)).open_periods[0]
        self._close(first.through, must=True)

    def _close(self, through: float, must: bool) -> None:
        self.count += 1
        period = f"p{self.count}"
        answer = self.ledger.apply(ClosePeriod(period, through, "ann", LATEST))
        is_closed = isinstance(answer, ClosePeriodResult)
        assert is_closed or not must, answer
        if not is_closed:
            return
        row = self.row(period)
        assert row.charged == sum(one.amount for one in self.charges if one.at < through)
        assert row.credits == sum(one.amount for one in self.credits if one.at < through)
        self.charges = [one for one in self.charges if one.at >= through]
        self.credits = [one for one in self.credits if one.at >= through]
        assert row.charged_after == sum(one.amount for one in self.charges)
        assert row.credits_after == sum(one.amount for one in self.credits)
        self.closed[period] = row

    def plan(self, days: list[int]) -> None:
        ends = [START + day * DAY for day in sorted(days)]
        periods = tuple(PlannedPeriod(f"until-{end:.0f}", end) for end in ends)
        self.ledger.apply(PlanPeriods(periods, "ann", START))

    def restart(self) -> None:
        self.ledger.restart()


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(STEPS, max_size=30))
def test_each_amount_is_in_one_period_whatever_is_planned_and_closed(
    steps: list[tuple[Any, ...]],
) -> None:
    model = ClosingModel()
    for kind, *values in steps:
        getattr(model, kind)(*values)
        row = model.row("")
        assert row.charged == sum(one.amount for one in model.charges)
        assert row.credits == sum(one.amount for one in model.credits)
    stored = model.ledger.query(PeriodsQuery(START)).periods
    assert {one.period for one in stored} == set(
        list(model.closed)[-len(stored) :] if stored else []
    )
    assert all(model.row(one.period) == model.closed[one.period] for one in stored)
