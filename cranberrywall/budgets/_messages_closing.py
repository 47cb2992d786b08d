"""Messages about periods, closings and reports."""

from typing import NamedTuple


class PlannedPeriod(NamedTuple):
    """Name of a period and its end, ``through``, which is not part of the period."""

    period: str
    through: float


class PlanPeriods(NamedTuple):
    """Command that replaces the plan of future periods, oldest first; sent to each group.

    Without a plan, and after its last period, periods are calendar months in UTC with names such as
    ``2026-11``. The end of a period cannot change if charges before and after it are booked
    already.
    """

    periods: tuple[PlannedPeriod, ...]
    operator: str
    at: float


class ClosePeriod(NamedTuple):
    """Command that closes the period that ends before ``through``; sent to each group.

    A charge belongs to the period in which its reservation was made. ``through`` is the period's
    planned end, or any time after the last reservation that was charged. If the same period is
    closed again with the same ``through``, the first answer is repeated.

    Sent as a query, the message changes nothing; the answer's digest is empty if the period can be
    closed. All groups are queried before the command is sent to the first one. Otherwise one group
    could close a period with an end that another group must reject.
    """

    period: str
    through: float
    operator: str
    at: float


class ClosePeriodResult(NamedTuple):
    """Digest of a closing (XXH64, hex), which covers the digest of the previous closing."""

    digest: str


class PeriodsQuery(NamedTuple):
    """Query for the closed periods that the group stores, and for the open ones.

    The open periods are those with booked charges and the one that contains ``now``, in seconds
    since the epoch.
    """

    now: float


class ClosedPeriod(NamedTuple):
    """A closed period."""

    period: str
    through: float
    closed_at: float
    operator: str
    digest: str


class PeriodsResult(NamedTuple):
    """Closed periods and open ones, each oldest first."""

    periods: tuple[ClosedPeriod, ...]
    open_periods: tuple[PlannedPeriod, ...]


class WorkspaceCharge(NamedTuple):
    """Charges of one workspace on a budget in the period."""

    workspace: str
    amount: int
    requests: int


class ReportQuery(NamedTuple):
    """Query for a page of the report of the closed ``period``; empty selects the open one.

    ``workspace`` selects one workspace; empty selects all. ``after`` is the ``next_after`` of the
    previous page, and empty for the first page. ``limit`` bounds the number of budgets on a page.
    """

    period: str
    workspace: str
    after: str
    limit: int


class ReportRow(NamedTuple):
    """Sums of one budget, with the charges of each of its workspaces.

    ``credited = charged_before + charged + charged_after + outstanding + in_doubt + free``.
    ``charged`` is the charged amount of the period, ``charged_before`` that of all earlier periods,
    and ``charged_after`` what was already charged for reservations after the period's end.
    ``credits`` and ``credits_after`` are the parts of ``credited`` that belong to this period and
    to later ones.
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
    """Page of the report; ``next_after`` is empty on the last page.

    For the open period, ``closed_at`` is 0 and ``digest`` is empty.
    """

    period: str
    through: float
    closed_at: float
    operator: str
    digest: str
    rows: tuple[ReportRow, ...]
    next_after: str


class SpendQuery(NamedTuple):
    """Query for the daily spend of one workspace, or of all if ``workspace`` is empty."""

    workspace: str


class DaySpend(NamedTuple):
    """Charges of a workspace on one day; ``day`` is the number of days (UTC) since the epoch."""

    workspace: str
    unit: str
    day: int
    amount: int
    requests: int


class SpendResult(NamedTuple):
    """Spend by workspace and day of the reservation."""

    days: tuple[DaySpend, ...]
