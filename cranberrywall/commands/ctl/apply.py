"""Commit a configuration document."""

import secrets

import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._changes import explain_refusal
from cranberrywall.commands.ctl._documents import DocumentFile, read_document_file
from cranberrywall.commands.ctl._output import print_answer
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.configuration import empty_document
from cranberrywall.configuration.messages import DocumentAt
from cranberrywall.errors import Refusal


@click.command("apply")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--based-on", type=int, help="The revision you saw. [default: as FILE notes it]")
@click.option("--change-id", help="Give the same one to send a change again. [default: random]")
@pass_ctl
def command(ctl: Ctl, file: str, based_on: int | None, change_id: str | None) -> None:
    """Commit the configuration document FILE as a new revision.

    Of two operators who saw the same revision, the second is told what the first changed.
    """
    wanted = read_document_file(ctl, file)
    seen = based_on if based_on is not None else wanted.revision
    if seen is None:
        remedy = "give --based-on REVISION, or start from: cranberrywallctl export"
        ctl.fail_input("the file notes no revision", "--based-on", remedy)
    change = change_id or secrets.token_hex(8)

    async def work(session: Session) -> Result[None, Refusal]:
        return await _apply(session, wanted, seen, change)

    ctl.run(work)


async def _apply(
    session: Session, wanted: DocumentFile, seen: int, change: str
) -> Result[None, Refusal]:
    found = await _document_at(session, seen)
    if isinstance(found, Err):
        return Err(found.err_value)
    operator, now = session.options.operator, session.clock.wall()
    applied = await session.configuration.replace_document(
        found.ok_value, wanted.document, change, operator, now
    )
    if isinstance(applied, Err):
        return Err(explain_refusal(applied.err_value, change))
    revision = applied.ok_value
    answer = {"revision": revision, "change_id": change}
    print_answer(session.options.is_json, answer, f"revision {revision.number} is accepted")
    return Ok(None)


async def _document_at(session: Session, revision: int) -> Result[DocumentAt, Refusal]:
    # A query for revision 0 gives the newest one; before the first there was nothing.
    if revision == 0:
        return Ok(DocumentAt(0, dict(empty_document()), 0))
    return await session.configuration.document(revision)
