"""Check a configuration document without a fleet."""

import click

from cranberrywall.commands.ctl._documents import read_document_file
from cranberrywall.commands.ctl._output import print_answer
from cranberrywall.commands.ctl._session import Ctl, pass_ctl


@click.command("check")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@pass_ctl
def command(ctl: Ctl, file: str) -> None:
    """Check the configuration document FILE; needs no control host."""
    read_document_file(ctl, file)
    print_answer(ctl.options.is_json, {"file": file, "problems": []}, f"{file}: no problem")
