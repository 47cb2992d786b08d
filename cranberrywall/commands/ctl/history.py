"""List the revisions of the configuration."""

import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._output import format_time, print_json, print_table
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.errors import Refusal


@click.command("history")
@click.option("--before", type=int, default=0, help="List up to this revision. [default: newest]")
@click.option("--limit", type=click.IntRange(1, 500), default=20, show_default=True)
@pass_ctl
def command(ctl: Ctl, before: int, limit: int) -> None:
    """List revisions, newest first: who, when and which sections."""

    async def work(session: Session) -> Result[None, Refusal]:
        found = await session.configuration.history(before, limit)
        if isinstance(found, Err):
            return Err(found.err_value)
        if ctl.options.is_json:
            print_json(found.ok_value)
            return Ok(None)
        rows = [
            [one.number, format_time(one.at), one.operator, ", ".join(one.sections), one.change_id]
            for one in found.ok_value.revisions
        ]
        print_table(["revision", "at", "operator", "sections", "change id"], rows)
        return Ok(None)

    ctl.run(work)
