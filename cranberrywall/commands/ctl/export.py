"""Write the configuration in force to a file."""

from pathlib import Path

import click
from result import Err, Ok, Result

from cranberrywall.commands.ctl._documents import revision_line
from cranberrywall.commands.ctl._output import print_json
from cranberrywall.commands.ctl._session import Ctl, Session, pass_ctl
from cranberrywall.configuration import dump_document
from cranberrywall.errors import Refusal


@click.command("export")
@click.option("--revision", type=int, default=0, help="An earlier revision. [default: in force]")
@click.option("--output", type=click.Path(dir_okay=False), help="[default: standard output]")
@pass_ctl
def command(ctl: Ctl, revision: int, output: str | None) -> None:
    """Write the configuration as YAML, noting its revision for `apply`."""

    async def work(session: Session) -> Result[None, Refusal]:
        found = await session.configuration.document(revision)
        if isinstance(found, Err):
            return Err(found.err_value)
        if ctl.options.is_json:
            print_json(found.ok_value)
            return Ok(None)
        text = revision_line(found.ok_value.revision) + dump_document(found.ok_value.checked)
        if output:
            Path(output).write_text(text, encoding="utf-8")
        else:
            click.echo(text, nl=False)
        return Ok(None)

    ctl.run(work)
