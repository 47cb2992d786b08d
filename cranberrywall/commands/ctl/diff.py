"""Show what a file would change in the configuration in force."""

import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._documents import format_edits, read_document_file
from cranberrywall.commands.ctl._output import print_answer
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.configuration import edits_between
from cranberrywall.errors import Refusal


@click.command("diff")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@pass_ctl
def command(ctl: Ctl, file: str) -> None:
    """Show what FILE would change in the configuration in force."""
    wanted = read_document_file(ctl, file)

    async def work(session: Session) -> Result[None, Refusal]:
        found = await session.configuration.document()
        if isinstance(found, Err):
            return Err(found.err_value)
        seen = found.ok_value
        edits = edits_between(seen.document, wanted.document)
        text = format_edits(seen.document, edits) or f"no difference from revision {seen.revision}"
        print_answer(ctl.options.is_json, {"revision": seen.revision, "edits": edits}, text)
        return Ok(None)

    ctl.run(work)
