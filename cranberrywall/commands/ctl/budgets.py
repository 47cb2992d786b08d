"""Show budgets and their top-ups, and decide amounts in doubt."""

import click
from result import Err, Ok, Result

from cranberrywall.budgets.messages import (
    BudgetQuery,
    BudgetResult,
    Credit,
    CreditsQuery,
    ExceptionsQuery,
    ResolveDoubt,
)
from cranberrywall.commands.ctl._output import format_time, print_answer, print_json, print_table
from cranberrywall.commands.ctl._reports import gather_exceptions
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.commands.ctl.report import print_exceptions
from cranberrywall.errors import Refusal


@click.group("budgets")
def command() -> None:
    """Show budgets, and decide amounts in doubt."""


@command.command("show")
@click.argument("budget")
@pass_ctl
def show(ctl: Ctl, budget: str) -> None:
    """Show BUDGET's sums, who holds what, and its top-ups."""

    async def work(session: Session) -> Result[None, Refusal]:
        found = await session.ledger()
        if isinstance(found, Err):
            return Err(found.err_value)
        sums = await found.ok_value.budget(BudgetQuery(budget), session.timeout)
        if isinstance(sums, Err):
            return Err(sums.err_value)
        credits = await found.ok_value.credits(CreditsQuery(budget), session.timeout)
        if isinstance(credits, Err):
            return Err(credits.err_value)
        _print_budget(ctl, sums.ok_value, credits.ok_value.credits)
        return Ok(None)

    ctl.run(work)


def _print_budget(ctl: Ctl, sums: BudgetResult, credits: tuple[Credit, ...]) -> None:
    if ctl.options.is_json:
        print_json({"budget": sums, "credits": credits})
        return
    click.echo(f"{sums.budget}, in {sums.unit}")
    headers = ["credited", "charged", "outstanding", "in doubt", "free"]
    amounts = [sums.credited, sums.charged, sums.outstanding, sums.in_doubt, sums.free]
    print_table(headers, [amounts])
    if sums.held:
        click.echo()
        rows = [
            [one.holder.host, one.holder.incarnation, one.outstanding, format_time(one.active_at)]
            for one in sums.held
        ]
        print_table(["host", "incarnation", "outstanding", "last heard"], rows)
    if credits:
        click.echo()
        rows = [
            [format_time(one.at), one.amount, one.workspace, one.operator, one.change_id]
            for one in credits
        ]
        print_table(["credited at", "amount", "workspace", "operator", "change id"], rows)


@command.command("doubts")
@click.option("--budget", default="", help="One budget only.")
@click.option("--all", "is_all", is_flag=True, help="List what needs no decision as well.")
@pass_ctl
def doubts(ctl: Ctl, budget: str, is_all: bool) -> None:
    """List the amounts in doubt, each with its reason and its way out."""

    async def work(session: Session) -> Result[None, Refusal]:
        found = await session.ledger()
        if isinstance(found, Err):
            return Err(found.err_value)
        query = ExceptionsQuery(
            budget=budget, open_only=not is_all, now=session.clock.wall(), after=0, limit=0
        )
        named = await gather_exceptions(found.ok_value, query, session.timeout)
        if isinstance(named, Err):
            return Err(named.err_value)
        exceptions = named.ok_value.exceptions
        if ctl.options.is_json:
            print_json(named.ok_value)
        elif not exceptions:
            click.echo("nothing is in doubt")
        else:
            print_exceptions(exceptions)
        return Ok(None)

    ctl.run(work)


@command.command("resolve")
@click.argument("doubt", metavar="ID")
@click.option("--bill/--release", "bill", default=None, help="Bill it, or let it come back.")
@click.option("--approver", required=True, help="The second person; not the operator.")
@pass_ctl
def resolve(ctl: Ctl, doubt: str, bill: bool | None, approver: str) -> None:
    """Decide the amount in doubt ID, such as ledger-0/17, once."""
    group, _, number = doubt.partition("/")
    if not number.isdigit():
        remedy = "give the id that `budgets doubts` shows, such as ledger-0/17"
        ctl.fail_input(f"{doubt} is no id", "ID", remedy)
    if bill is None:
        ctl.fail_input("say what is to become of it", "--bill", "give --bill or --release")

    async def work(session: Session) -> Result[None, Refusal]:
        found = await session.ledger()
        if isinstance(found, Err):
            return Err(found.err_value)
        now, operator = session.clock.wall(), session.options.operator
        decision = ResolveDoubt(int(number), bool(bill), operator, approver, now)
        resolved = await found.ok_value.resolve(group, decision, session.timeout)
        if isinstance(resolved, Err):
            return Err(resolved.err_value)
        text = f"{doubt} is {'billed' if bill else 'released'}"
        print_answer(ctl.options.is_json, {"id": doubt, "billed": bill}, text)
        return Ok(None)

    ctl.run(work)
