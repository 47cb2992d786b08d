"""Bring an earlier configuration back as a new revision."""

import secrets

import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._changes import explain_refusal
from cranberrywall.commands.ctl._output import print_answer
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.errors import Refusal


@click.command("roll-back")
@click.argument("revision", type=click.IntRange(min=1))
@click.option("--based-on", type=int, required=True, help="The newest revision you saw.")
@click.option("--change-id", help="Give the same one to send it again. [default: random]")
@pass_ctl
def command(ctl: Ctl, revision: int, based_on: int, change_id: str | None) -> None:
    """Commit the configuration as of REVISION as a new revision.

    Refused where another operator changed one of its sections after the revision you saw.
    """
    change = change_id or secrets.token_hex(8)

    async def work(session: Session) -> Result[None, Refusal]:
        operator, now = session.options.operator, session.clock.wall()
        done = await session.configuration.roll_back(revision, based_on, change, operator, now)
        if isinstance(done, Err):
            return Err(explain_refusal(done.err_value, change))
        answer = {"revision": done.ok_value, "change_id": change}
        text = f"revision {done.ok_value.number} is accepted; it is that of {revision}"
        print_answer(ctl.options.is_json, answer, text)
        return Ok(None)

    ctl.run(work)
