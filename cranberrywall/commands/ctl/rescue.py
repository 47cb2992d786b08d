"""Let the last control host go on alone when the others are lost for good."""

import random
from pathlib import Path

import click
from result import Err

from cranberrywall.commands.ctl._output import print_answer
from cranberrywall.commands.ctl._session import Ctl, pass_ctl
from cranberrywall.replication import Rescue, rescue_group
from cranberrywall.runtime import make_storage


@click.command("rescue")
@click.argument("data", type=click.Path(file_okay=False, exists=True))
@click.argument("host")
@click.argument("address", metavar="IP:PORT")
@click.option("--lost", metavar="HOST", multiple=True, help="Name each other control host.")
@pass_ctl
def command(ctl: Ctl, data: str, host: str, address: str, lost: tuple[str, ...]) -> None:
    """Let HOST go on alone with every group in its data folder DATA.

    Only for a majority of control hosts that is lost for good. Run it on HOST, while its
    process is stopped. What only the lost hosts had is gone.
    """
    storage = make_storage(data)
    rescues: list[Rescue] = []
    for folder in sorted((Path(data) / "groups").glob("*/")):
        result = rescue_group(folder.name, host, address, lost, storage, random.SystemRandom())
        if isinstance(result, Err):
            refusal = result.err_value
            ctl.fail(refusal._replace(message=f"{folder.name}: {refusal.message}"))
        rescues.append(result.ok_value)
    lines = [f"{done.group}: kept up to entry {done.last_index}" for done in rescues]
    lines.append("start the process, then add the other hosts with empty data folders")
    print_answer(ctl.options.is_json, rescues, "\n".join(lines))
