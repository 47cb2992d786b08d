"""Confirm that a host's incarnation can no longer spend."""

import click
from result import Err, Ok, Result

from cranberrywall.budgets.messages import ConfirmDead, Holder
from cranberrywall.commands.ctl._dead_hosts import ask_whether_stopped
from cranberrywall.commands.ctl._ledgers import to_each_group
from cranberrywall.commands.ctl._output import print_answer
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.errors import Refusal


@click.command("confirm-dead")
@click.argument("host")
@click.option("--incarnation", type=int, required=True, help="As `hosts` shows it.")
@click.option("--approver", required=True, help="The second person; not the operator.")
@click.option("--yes", is_flag=True, help="Do not ask.")
@pass_ctl
def command(ctl: Ctl, host: str, incarnation: int, approver: str, yes: bool) -> None:
    """Give back what an incarnation of HOST holds, since it can no longer spend.

    Look at the machine first. A host that is only cut off goes on serving, and charges
    that its money no longer covers are set aside as amounts in doubt.
    """
    ask_whether_stopped(host, incarnation, is_sure=yes)

    async def work(session: Session) -> Result[None, Refusal]:
        found = await session.ledger()
        if isinstance(found, Err):
            return Err(found.err_value)
        ledger, operator = found.ok_value, session.options.operator
        confirm = ConfirmDead(Holder(host, incarnation), operator, approver, session.clock.wall())
        confirmed = await to_each_group(
            ledger, lambda group: ledger.confirm_dead(group, confirm, session.timeout)
        )
        if isinstance(confirmed, Err):
            return Err(confirmed.err_value)
        released = sum(answer.released for answer in confirmed.ok_value.values())
        text = f"{host} (incarnation {incarnation}) is confirmed dead; {released} came back"
        print_answer(ctl.options.is_json, {"released": released}, text)
        return Ok(None)

    ctl.run(work)
