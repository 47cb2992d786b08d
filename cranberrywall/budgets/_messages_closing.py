"""Define the messages about periods, closings and reports."""

from typing import NamedTuple


class PlannedPeriod(NamedTuple):
    """Name a period that ends before ``through``."""

    period: str
    through: float


class PlanPeriods(NamedTuple):
    """Replace the plan of the periods to come, oldest first; each group gets the same.

    Without a plan, and after its last period, periods are calendar months in UTC, named
    ``2026-11``. An end that a charge was already booked by cannot change.
    """

    periods: tuple[PlannedPeriod, ...]
    operator: str
    at: float


class ClosePeriod(NamedTuple):
    """Close the period that ends before ``through``; each group gets the same command.

    A charge belongs to the period in which its reservation was made. ``through`` is the
    period's planned end, or any time after the last reservation that was charged. Closing
    the same period again with the same ``through`` gives the first answer.

    Asked as a query it changes nothing: the answer's digest is empty where the period
    could be closed. All groups are asked so before the first one is told to close, or one
    could close with an end that another must refuse.
    """

    period: str
    through: float
    operator: str
    at: float


class ClosePeriodResult(NamedTuple):
    """Give the closing's digest (XXH64, hex), which covers the earlier closing's digest."""

    digest: str


class PeriodsQuery(NamedTuple):
    """Ask for the closed periods that the group keeps, and for those that are open.

    The open ones are those that charges were booked to, and the one of ``now`` (seconds
    since the epoch).
    """

    now: float


class ClosedPeriod(NamedTuple):
    """Describe one closed period."""

    period: str
    through: float
    closed_at: float
    operator: str
    digest: str


class PeriodsResult(NamedTuple):
    """List the closed periods and the open ones, each oldest first."""

    periods: tuple[ClosedPeriod, ...]
    open_periods: tuple[PlannedPeriod, ...]


class WorkspaceCharge(NamedTuple):
    """Give what one workspace was charged on a budget in the period."""

    workspace: str
    amount: int
    requests: int


class ReportQuery(NamedTuple):
    """Ask for a page of the report: the open period, or the closed one named.

    ``workspace`` chooses one workspace; empty gives all. ``after`` is the last page's
    ``next_after``, empty at first. ``limit`` bounds the budgets on a page.
    """

    period: str
    workspace: str
    after: str
    limit: int


class ReportRow(NamedTuple):
    """Give one budget's sums, with what each of its workspaces was charged.

    ``credited = charged_before + charged + charged_after + outstanding + in_doubt + free``,
    where ``charged`` is the period's own, ``charged_before`` that of all earlier periods
    and ``charged_after`` what was already charged for reservations after its end.
    ``credits`` and ``credits_after`` are the parts of ``credited`` that came in this
    period, and after it.
    """

    budget: str
    unit: str
    credited: int
    credits: int
    charged_before: int
    charged: int
    charged_after: int
    outstanding: int
    in_doubt: int
    free: int
    by_workspace: tuple[WorkspaceCharge, ...]
    credits_after: int = 0


class ReportResult(NamedTuple):
    """Give a page of the report; ``next_after`` is empty on the last page.

    ``closed_at`` is 0 for the open period. ``digest`` is the closing's, else empty.
    """

    period: str
    through: float
    closed_at: float
    operator: str
    digest: str
    rows: tuple[ReportRow, ...]
    next_after: str


class SpendQuery(NamedTuple):
    """Ask for the spend by day of one workspace, or of all where it is empty."""

    workspace: str


class DaySpend(NamedTuple):
    """Give a workspace's charges on one day; ``day`` counts days (UTC) since the epoch."""

    workspace: str
    unit: str
    day: int
    amount: int
    requests: int


class SpendResult(NamedTuple):
    """List the spend by day and workspace, by the time of the reservation."""

    days: tuple[DaySpend, ...]
