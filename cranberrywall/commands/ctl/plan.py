"""Plan the ends of the periods to come."""

from datetime import datetime
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

import click
from result import Err, Ok, Result

from cranberrywall.budgets.messages import PlannedPeriod, PlanPeriods
from cranberrywall.commands.ctl._ledgers import to_each_group
from cranberrywall.commands.ctl._output import format_time, print_json, print_table
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.errors import Refusal


@click.command("plan")
@click.option("--timezone", required=True, help="Where months end at midnight: Asia/Colombo.")
@click.option("--first", metavar="YYYY-MM", help="The first month. [default: the present one]")
@click.option("--months", type=click.IntRange(1, 240), default=24, show_default=True)
@pass_ctl
def command(ctl: Ctl, timezone: str, first: str | None, months: int) -> None:
    """Let periods be calendar months of a time zone; without a plan they are in UTC.

    Plan again before the last month ends. Ends that charges were booked by stay.
    """
    try:
        zone = ZoneInfo(timezone)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        ctl.fail_input(f"no time zone {timezone}", "--timezone", "give one such as Asia/Colombo")
    start = _parse_month(ctl, first) if first else None

    async def work(session: Session) -> Result[None, Refusal]:
        now = session.clock.wall()
        periods = plan_months(zone, start or datetime.fromtimestamp(now, zone), months)
        planning = PlanPeriods(periods, session.options.operator, now)
        ledger = await session.ledger()
        if isinstance(ledger, Err):
            return Err(ledger.err_value)
        client = ledger.ok_value
        planned = await to_each_group(
            client, lambda group: client.plan_periods(group, planning, session.timeout)
        )
        if isinstance(planned, Err):
            return Err(planned.err_value)
        _print(ctl, periods)
        return Ok(None)

    ctl.run(work)


def plan_months(zone: ZoneInfo, first: datetime, months: int) -> tuple[PlannedPeriod, ...]:
    """Return ``months`` months from that of ``first``, each with its end in ``zone``.

    >>> plan_months(ZoneInfo("UTC"), datetime(2026, 11, 5), 1)
    (PlannedPeriod(period='2026-11', through=1796083200.0),)
    """
    periods = []
    count = first.year * 12 + first.month - 1
    for number in range(count, count + months):
        end = datetime((number + 1) // 12, (number + 1) % 12 + 1, 1, tzinfo=zone)
        name = f"{number // 12:04}-{number % 12 + 1:02}"
        periods.append(PlannedPeriod(name, end.timestamp()))
    return tuple(periods)


def _parse_month(ctl: Ctl, text: str) -> datetime:
    try:
        return datetime.strptime(text, "%Y-%m")
    except ValueError:
        ctl.fail_input(f"{text} is no month", "--first", "give a year and month: 2026-11")


def _print(ctl: Ctl, periods: tuple[PlannedPeriod, ...]) -> None:
    if ctl.options.is_json:
        print_json({"periods": periods})
        return
    print_table(["period", "ends"], [[one.period, format_time(one.through)] for one in periods])
