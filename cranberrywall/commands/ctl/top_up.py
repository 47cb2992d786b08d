"""Add prepaid money to a budget."""

import secrets

import click
from result import Err, Ok, Result

from cranberrywall.budgets import LedgerClient
from cranberrywall.budgets.messages import BudgetQuery, Credit
from cranberrywall.commands.ctl._output import print_answer
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.configuration import Document
from cranberrywall.errors import ErrorKind, Refusal


@click.command("top-up")
@click.argument("budget")
@click.argument("amount", type=int)
@click.option("--workspace", help="Who paid. [default: the workspace that spends from BUDGET]")
@click.option("--change-id", help="Give the same one to send a top-up again. [default: random]")
@pass_ctl
def command(
    ctl: Ctl, budget: str, amount: int, workspace: str | None, change_id: str | None
) -> None:
    """Add AMOUNT (tokens or answers, as BUDGET's unit says), once per change id."""
    change = change_id or secrets.token_hex(8)

    async def work(session: Session) -> Result[None, Refusal]:
        document = await session.document()
        if isinstance(document, Err):
            return Err(document.err_value)
        payer = _payer(document.ok_value, budget, workspace)
        if isinstance(payer, Err):
            return Err(payer.err_value)
        unit = document.ok_value["budgets"][budget]["unit"]
        operator, now = session.options.operator, session.clock.wall()
        credit = Credit(budget, payer.ok_value, unit, amount, change, operator, now)
        ledger = await session.ledger()
        if isinstance(ledger, Err):
            return Err(ledger.err_value)
        return await _credit(session, ledger.ok_value, credit)

    ctl.run(work)


def _payer(document: Document, budget: str, workspace: str | None) -> Result[str, Refusal]:
    if budget not in document["budgets"]:
        remedy = f"give one of {', '.join(sorted(document['budgets'])) or 'none yet'}"
        message = f"the configuration has no budget {budget}"
        return Err(Refusal(ErrorKind.NOT_FOUND, message, "BUDGET", remedy))
    spenders = [name for name, entry in document["workspaces"].items() if entry["budget"] == budget]
    if workspace is None and len(spenders) == 1:
        return Ok(spenders[0])
    if workspace in document["workspaces"]:
        return Ok(str(workspace))
    remedy = f"give one of {', '.join(sorted(spenders) or sorted(document['workspaces']))}"
    return Err(Refusal(ErrorKind.BAD_REQUEST, "name who paid", "--workspace", remedy))


async def _credit(session: Session, ledger: LedgerClient, credit: Credit) -> Result[None, Refusal]:
    credited = await ledger.credit(credit, session.timeout)
    if isinstance(credited, Err):
        refusal = credited.err_value
        if refusal.kind is ErrorKind.TIMEOUT:
            refusal = refusal._replace(remedy=f"send it again with --change-id {credit.change_id}")
        return Err(refusal)
    sums = await ledger.budget(BudgetQuery(credit.budget), session.timeout)
    if isinstance(sums, Err):
        return Err(sums.err_value)
    answer = {"change_id": credit.change_id, "budget": sums.ok_value}
    text = (
        f"{credit.budget}: {credit.amount} {credit.unit} credited (change id "
        f"{credit.change_id}); {sums.ok_value.free} free of {sums.ok_value.credited}"
    )
    print_answer(session.options.is_json, answer, text)
    return Ok(None)
