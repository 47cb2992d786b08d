"""Report a period's sums, by budget and by workspace, with every exception named."""

import csv
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path

import click
from result import Err, Ok, Result

from cranberrywall.budgets import LedgerClient
from cranberrywall.budgets.messages import ClosedPeriod, PeriodsQuery, SpendQuery
from cranberrywall.commands.ctl._exits import Exit
from cranberrywall.commands.ctl._ledgers import from_each_group
from cranberrywall.commands.ctl._output import format_time, print_json, print_table
from cranberrywall.commands.ctl._reports import FleetReport, GroupException, gather_report
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.errors import Refusal

_DAY_S = 86_400

_BUDGET_HEADERS = (
    "budget",
    "unit",
    "credited",
    "credits",
    "credits_after",
    "charged_before",
    "charged",
    "charged_after",
    "outstanding",
    "in_doubt",
    "free",
)
_WORKSPACE_HEADERS = ("workspace", "unit", "charged", "requests")
_EXCEPTION_HEADERS = (
    "id",
    "kind",
    "budget",
    "workspace",
    "request",
    "host",
    "amount",
    "state",
    "reason",
    "remedy",
)


@click.command("report")
@click.option("--period", default="", help="A closed period. [default: the open one]")
@click.option("--workspace", default="", help="One workspace only.")
@click.option("--csv", "folder", type=click.Path(file_okay=False), help="Write CSV files there.")
@click.option("--plot", type=click.Path(dir_okay=False), help="Write a PNG of spend by day.")
@click.option("--periods", is_flag=True, help="List the periods instead.")
@pass_ctl
def command(
    ctl: Ctl, period: str, workspace: str, folder: str | None, plot: str | None, periods: bool
) -> None:
    """Report credits, charges and what is left, by budget and workspace.

    For each budget: credited = charged + outstanding + in doubt + free. The command adds
    everything up again and exits with 6 where a sum is wrong.
    """

    async def work(session: Session) -> Result[None, Refusal]:
        found = await session.ledger()
        if isinstance(found, Err):
            return Err(found.err_value)
        if periods:
            return await _list_periods(session, found.ok_value)
        report = await gather_report(
            found.ok_value, period, workspace, session.clock.wall(), session.timeout
        )
        if isinstance(report, Err):
            return Err(report.err_value)
        if plot:
            drawn = await _plot(session, found.ok_value, period, workspace, plot)
            if isinstance(drawn, Err):
                return drawn
        _print(session, report.ok_value, folder)
        return Ok(None)

    ctl.run(work)


async def _list_periods(session: Session, ledger: LedgerClient) -> Result[None, Refusal]:
    query = PeriodsQuery(session.clock.wall())
    answers = await from_each_group(
        ledger, lambda group: ledger.periods(group, query, session.timeout)
    )
    if isinstance(answers, Err):
        return Err(answers.err_value)
    if session.options.is_json:
        print_json(answers.ok_value)
        return Ok(None)
    rows: list[Sequence[object]] = []
    for group, answer in answers.ok_value.items():
        for closed in answer.periods:
            at = format_time(closed.closed_at)
            end = format_time(closed.through)
            rows.append([group, closed.period, end, at, closed.operator, closed.digest])
        for planned in answer.open_periods:
            rows.append([group, planned.period, format_time(planned.through), "open", "-", "-"])
    print_table(["group", "period", "ends", "closed at", "by", "digest"], rows)
    return Ok(None)


async def _plot(
    session: Session, ledger: LedgerClient, period: str, workspace: str, path: str
) -> Result[None, Refusal]:
    listed = await ledger.periods(
        ledger.groups()[0], PeriodsQuery(session.clock.wall()), session.timeout
    )
    if isinstance(listed, Err):
        return Err(listed.err_value)
    start, end = _span(listed.ok_value.periods, period)
    answers = await from_each_group(
        ledger, lambda group: ledger.spend(group, SpendQuery(workspace), session.timeout)
    )
    if isinstance(answers, Err):
        return Err(answers.err_value)
    # Loading the drawing library takes longer than most commands do.
    from cranberrywall.commands.ctl._plots import write_spend_plot

    days = [
        day
        for answer in answers.ok_value.values()
        for day in answer.days
        if start < (day.day + 1) * _DAY_S and day.day * _DAY_S < end
    ]
    write_spend_plot(path, days)
    return Ok(None)


def _span(closed: Sequence[ClosedPeriod], period: str) -> tuple[float, float]:
    """Return the start and the end of a closed period, or of what is open."""
    start = 0.0
    for one in closed:
        if one.period == period:
            return start, one.through
        start = one.through
    return start, float("inf")


def _print(session: Session, report: FleetReport, folder: str | None) -> None:
    if folder:
        _write_csv(Path(folder), report)
    if session.options.is_json:
        print_json(report)
    else:
        _print_tables(report)
    if report.faults:
        for fault in report.faults:
            click.echo(f"error: {fault}", err=True)
        sys.exit(Exit.DOES_NOT_ADD_UP)


def _print_tables(report: FleetReport) -> None:
    if report.period:
        closed = f"closed {format_time(report.closed_at)} by {report.operator}"
        click.echo(f"period {report.period}, through {format_time(report.through)}, {closed}")
    else:
        click.echo("open: what came since the last closing")
    print_table([header.replace("_", " ") for header in _BUDGET_HEADERS], _budget_rows(report))
    click.echo()
    print_table(_WORKSPACE_HEADERS, report.workspaces)
    if report.exceptions:
        click.echo()
        print_exceptions(report.exceptions)
    if report.unnamed:
        click.echo(f"{report.unnamed} more duplicates were counted and not named")
    if report.unnamed_late:
        click.echo(f"{report.unnamed_late} more late charges were counted and not named")
    click.echo(f"adds up: {'no' if report.faults else 'yes'}")


def print_exceptions(exceptions: Iterable[GroupException]) -> None:
    """Print each exception with its reason and its way out."""
    for one in exceptions:
        row = one.row
        request = f" request {row.request_id}" if row.request_id else ""
        held = f", {row.held} set aside" if row.held else ""
        click.echo(
            f"{row.kind} {one.id}: {row.budget}/{row.workspace}{request}: {row.amount}{held} at "
            f"{row.holder.host} (incarnation {row.holder.incarnation}), {format_time(row.at)}, "
            f"{row.state}"
        )
        click.echo(f"  reason: {row.reason}")
        if row.state == "open":
            click.echo(f"  way out: {row.remedy}")


def _budget_rows(report: FleetReport) -> list[Sequence[object]]:
    return [[getattr(row, header) for header in _BUDGET_HEADERS] for row in report.rows]


def _write_csv(folder: Path, report: FleetReport) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    _write_table(folder / "budgets.csv", _BUDGET_HEADERS, _budget_rows(report))
    _write_table(folder / "workspaces.csv", _WORKSPACE_HEADERS, report.workspaces)
    exceptions = [
        (
            one.id,
            one.row.kind,
            one.row.budget,
            one.row.workspace,
            one.row.request_id,
            one.row.holder.host,
            one.row.amount,
            one.row.state,
            one.row.reason,
            one.row.remedy,
        )
        for one in report.exceptions
    ]
    _write_table(folder / "exceptions.csv", _EXCEPTION_HEADERS, exceptions)


def _write_table(path: Path, headers: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(headers)
        writer.writerows([_harmless(cell) for cell in row] for row in rows)


def _harmless(cell: object) -> object:
    # A spreadsheet runs a text that begins like a formula, and a caller chooses its
    # request ids: a quote before it makes it plain text.
    if isinstance(cell, str) and cell[:1] in ("=", "+", "-", "@") and cell != "-":
        return f"'{cell}"
    return cell
