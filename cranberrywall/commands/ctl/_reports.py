"""Join the groups' reports, and check that their sums add up."""

from collections.abc import Iterable
from typing import NamedTuple

from result import Err, Ok, Result

from cranberrywall.budgets import LedgerClient
from cranberrywall.budgets.messages import (
    ExceptionRow,
    ExceptionsQuery,
    ReportQuery,
    ReportResult,
    ReportRow,
)
from cranberrywall.commands.ctl._ledgers import from_each_group
from cranberrywall.commands.ctl._output import show_progress
from cranberrywall.errors import Refusal

_PAGE_ROWS = 1_000


class GroupException(NamedTuple):
    """Name an exception by its group; ``id`` is what ``budgets resolve`` takes."""

    id: str
    row: ExceptionRow


class FleetExceptions(NamedTuple):
    """Hold every group's exceptions, and counts of those that are not kept by name."""

    exceptions: tuple[GroupException, ...]
    unnamed: int
    unnamed_late: int


class WorkspaceSum(NamedTuple):
    """Sum what a workspace was charged over all budgets of one unit."""

    workspace: str
    unit: str
    charged: int
    requests: int


class FleetReport(NamedTuple):
    """Hold the whole fleet's report; ``faults`` are sums that do not add up.

    ``unnamed`` and ``unnamed_late`` count duplicates and late charges beyond those that
    are named.
    """

    period: str
    through: float
    closed_at: float
    operator: str
    digest_by_group: dict[str, str]
    rows: tuple[ReportRow, ...]
    workspaces: tuple[WorkspaceSum, ...]
    exceptions: tuple[GroupException, ...]
    unnamed: int
    unnamed_late: int
    faults: tuple[str, ...]


async def gather_report(
    ledger: LedgerClient, period: str, workspace: str, now: float, timeout: float
) -> Result[FleetReport, Refusal]:
    """Return the report of a closed period, or of the open one where ``period`` is empty.

    ``now`` is seconds since the epoch; each call to a group takes ``timeout`` seconds at most.
    """
    pages = await from_each_group(
        ledger, lambda group: _read_rows(ledger, group, period, workspace, timeout)
    )
    if isinstance(pages, Err):
        return Err(pages.err_value)
    query = ExceptionsQuery(budget="", open_only=False, now=now, after=0, limit=0, period=period)
    named = await gather_exceptions(ledger, query, timeout)
    if isinstance(named, Err):
        return Err(named.err_value)
    results = pages.ok_value
    first = next(iter(results.values()))
    rows = sorted(row for result in results.values() for row in result.rows)
    return Ok(
        FleetReport(
            period=first.period,
            through=first.through,
            closed_at=first.closed_at,
            operator=first.operator,
            digest_by_group={group: result.digest for group, result in results.items()},
            rows=tuple(rows),
            workspaces=sum_by_workspace(rows, workspace),
            exceptions=tuple(_of_workspace(named.ok_value.exceptions, workspace)),
            unnamed=named.ok_value.unnamed,
            unnamed_late=named.ok_value.unnamed_late,
            faults=tuple(fault for row in rows for fault in check_row(row)),
        )
    )


async def _read_rows(
    ledger: LedgerClient, group: str, period: str, workspace: str, timeout: float
) -> Result[ReportResult, Refusal]:
    rows: list[ReportRow] = []
    after = ""
    while True:
        query = ReportQuery(period, workspace, after, limit=_PAGE_ROWS)
        page = await ledger.report(group, query, timeout)
        if isinstance(page, Err):
            return page
        rows.extend(page.ok_value.rows)
        after = page.ok_value.next_after
        if not after:
            return Ok(page.ok_value._replace(rows=tuple(rows)))
        show_progress(f"{group}: {len(rows)} budgets read ...")


async def gather_exceptions(
    ledger: LedgerClient, query: ExceptionsQuery, timeout: float
) -> Result[FleetExceptions, Refusal]:
    """Return every group's exceptions, and how many more were only counted.

    The pages are asked for one after another, whatever the query's ``after`` and ``limit``;
    each call takes ``timeout`` seconds at most.
    """
    found: list[GroupException] = []
    unnamed = unnamed_late = 0
    for group in ledger.groups():
        after = 0
        while True:
            asked = query._replace(after=after, limit=_PAGE_ROWS)
            page = await ledger.exceptions(group, asked, timeout)
            if isinstance(page, Err):
                return Err(page.err_value)
            found.extend(
                GroupException(f"{group}/{row.number}" if row.number else "-", row)
                for row in page.ok_value.rows
            )
            after = page.ok_value.next_after
            if not after:
                unnamed += page.ok_value.unnamed
                unnamed_late += page.ok_value.unnamed_late
                break
    return Ok(FleetExceptions(tuple(found), unnamed, unnamed_late))


def _of_workspace(exceptions: Iterable[GroupException], workspace: str) -> Iterable[GroupException]:
    return (one for one in exceptions if workspace in ("", one.row.workspace))


def sum_by_workspace(rows: Iterable[ReportRow], workspace: str) -> tuple[WorkspaceSum, ...]:
    """Return what each workspace was charged; one workspace's where it is named."""
    sums: dict[tuple[str, str], tuple[int, int]] = {}
    for row in rows:
        for entry in row.by_workspace:
            if workspace in ("", entry.workspace):
                key = (entry.workspace, row.unit)
                charged, requests = sums.get(key, (0, 0))
                sums[key] = (charged + entry.amount, requests + entry.requests)
    return tuple(WorkspaceSum(*key, *sums[key]) for key in sorted(sums))


def check_row(row: ReportRow) -> list[str]:
    """Return what does not add up in a row; the ledger's own checks are not trusted."""
    faults = []
    charged = row.charged_before + row.charged + row.charged_after
    parts = charged + row.outstanding + row.in_doubt + row.free
    if parts != row.credited:
        faults.append(f"{row.budget}: credited {row.credited} but its parts sum to {parts}")
    by_workspace = sum(entry.amount for entry in row.by_workspace)
    if by_workspace != row.charged:
        faults.append(f"{row.budget}: charged {row.charged} but workspaces sum to {by_workspace}")
    if min(row.free, row.outstanding, row.in_doubt, row.charged) < 0:
        faults.append(f"{row.budget}: a sum is negative")
    return faults
