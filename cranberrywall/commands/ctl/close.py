"""Close a period in every ledger group."""

from datetime import datetime

import click
from result import Err, Ok, Result

from cranberrywall.budgets import LedgerClient
from cranberrywall.budgets.messages import ClosePeriod, HolderSum, PeriodsQuery, PeriodsResult
from cranberrywall.commands.ctl._dumps import ask_states
from cranberrywall.commands.ctl._ledgers import from_each_group, to_each_group
from cranberrywall.commands.ctl._output import format_time, print_json
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.errors import ErrorKind, Refusal

MOST_CLOCK_ERROR_S = 60.0
"""How far this machine's clock may be from a control host's, in seconds."""


@click.command("close")
@click.argument("period")
@click.option(
    "--through",
    metavar="TIME",
    help="The period's end, as 2026-12-01T00:00:00+05:30. [default: as planned]",
)
@pass_ctl
def command(ctl: Ctl, period: str, through: str | None) -> None:
    """Close PERIOD, such as 2026-11; it cannot change any more.

    Charges that come later are billed in the open period and named in its report. Given
    again, the command finishes what was left and changes nothing else.
    """
    given = _parse_time(ctl, through) if through else None

    async def work(session: Session) -> Result[None, Refusal]:
        found = await session.ledger()
        if isinstance(found, Err):
            return Err(found.err_value)
        ledger = found.ok_value
        refusal = await _check_clock(session)
        if refusal is not None:
            return Err(refusal)
        end = Ok(given) if given else await _planned_end(session, ledger, period)
        if isinstance(end, Err):
            return Err(end.err_value)
        now = session.clock.wall()
        closing = ClosePeriod(period, end.ok_value, session.options.operator, now)
        return await _close(session, ledger, closing)

    ctl.run(work)


def _parse_time(ctl: Ctl, text: str) -> float:
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        time = None
    if time is None or time.tzinfo is None:
        remedy = "give a time with its offset: 2026-12-01T00:00:00+05:30"
        ctl.fail_input(f"{text} is no such time", "--through", remedy)
    return time.timestamp()


async def _check_clock(session: Session) -> Refusal | None:
    """Refuse to close by a clock that disagrees with those of the control hosts.

    A closing cannot be undone, and the ledger takes the time of it from this machine. With a
    clock that is a month ahead, the present month would be closed at its beginning.
    """
    document = await session.document()
    if isinstance(document, Err):
        return document.err_value
    hosts = document.ok_value["hosts"].items()
    links = {name: host["links"] for name, host in hosts if "control" in host["roles"]}
    asked_at = session.clock.wall()
    answers = await ask_states(session, links, "host")
    for host, answer in answers.items():
        if isinstance(answer, Err) or not answer.ok_value:
            continue
        ahead = asked_at - answer.ok_value["wall"]
        if abs(ahead) > MOST_CLOCK_ERROR_S:
            message = f"this machine's clock is {ahead:.0f} s ahead of {host}'s"
            remedy = "set the clock of the one that is wrong"
            return Refusal(ErrorKind.UNSAFE_STEP, message, "", remedy)
    return None


async def _planned_end(
    session: Session, ledger: LedgerClient, period: str
) -> Result[float, Refusal]:
    query = PeriodsQuery(session.clock.wall())
    answers = await from_each_group(
        ledger, lambda group: ledger.periods(group, query, session.timeout)
    )
    if isinstance(answers, Err):
        return Err(answers.err_value)
    # Groups that closed it already know its end as well: a resend must find it there.
    ends = {end for answer in answers.ok_value.values() for end in _ends_of(answer, period)}
    if len(ends) == 1:
        return Ok(ends.pop())
    message = f"no charge was booked to {period}" if not ends else f"{period} has several ends"
    remedy = "give its end with --through, or see: cranberrywallctl report --periods"
    return Err(Refusal(ErrorKind.NOT_FOUND, message, "PERIOD", remedy))


def _ends_of(answer: PeriodsResult, period: str) -> set[float]:
    closed = {one.through for one in answer.periods if one.period == period}
    return closed | {one.through for one in answer.open_periods if one.period == period}


async def _close(
    session: Session, ledger: LedgerClient, closing: ClosePeriod
) -> Result[None, Refusal]:
    holders = await from_each_group(ledger, lambda group: ledger.holders(group, session.timeout))
    if isinstance(holders, Err):
        return Err(holders.err_value)
    allowed = await from_each_group(
        ledger, lambda group: ledger.check_closing(group, closing, session.timeout)
    )
    if isinstance(allowed, Err):
        refusal = allowed.err_value
        message = f"nothing was closed: {refusal.message}"
        return Err(refusal._replace(message=message))
    closed = await to_each_group(
        ledger, lambda group: ledger.close_period(group, closing, session.timeout)
    )
    if isinstance(closed, Err):
        return Err(closed.err_value)
    unheard = [
        one
        for answer in holders.ok_value.values()
        for one in answer.holders
        if one.outstanding and one.active_at < closing.through
    ]
    digests = {group: answer.digest for group, answer in closed.ok_value.items()}
    _print(session, closing, digests, unheard)
    return Ok(None)


def _print(
    session: Session, closing: ClosePeriod, digests: dict[str, str], unheard: list[HolderSum]
) -> None:
    if session.options.is_json:
        about = {"period": closing.period, "through": closing.through}
        print_json({**about, "digests": digests, "not_heard_since": unheard})
        return
    click.echo(f"{closing.period} is closed, through {format_time(closing.through)}")
    for group, digest in digests.items():
        click.echo(f"  {group}: digest {digest}")
    for one in unheard:
        click.echo(
            f"note: {one.holder.host} (incarnation {one.holder.incarnation}) holds "
            f"{one.outstanding} and was last heard at {format_time(one.active_at)}; charges "
            "that it still has will be billed in the open period and named there"
        )
