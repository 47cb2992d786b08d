"""Make a fleet's keys."""

import click

from cranberrywall.commands.ctl._output import print_answer
from cranberrywall.commands.ctl._session import Ctl, pass_ctl
from cranberrywall.settings import make_keys_file


@click.command("make-keys")
@click.argument("file", type=click.Path(dir_okay=False))
@pass_ctl
def command(ctl: Ctl, file: str) -> None:
    """Write new random keys to FILE, which must not exist; copy it to each host."""
    try:
        make_keys_file(file)
    except FileExistsError:
        remedy = "move it away: a fleet whose hosts have different keys cannot talk"
        ctl.fail_input(f"{file} exists", "FILE", remedy)
    except OSError as error:
        ctl.fail_input(f"{file} cannot be written: {error}", "FILE", "give another path")
    text = f"{file} is written; copy it to each host, readable by its owner only"
    print_answer(ctl.options.is_json, {"file": file}, text)
