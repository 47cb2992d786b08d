"""Explain from logs what became of a request."""

from pathlib import Path

import click

from cranberrywall.commands.ctl._exits import Exit
from cranberrywall.commands.ctl._output import print_json
from cranberrywall.commands.ctl._session import Ctl, pass_ctl
from cranberrywall.commands.ctl._story import LogLine, read_lines, tell


@click.command("explain")
@click.argument("request_id", metavar="ID")
@click.argument(
    "files",
    metavar="FILE...",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False),
)
@pass_ctl
def command(ctl: Ctl, request_id: str, files: tuple[str, ...]) -> None:
    """Say what became of the request ID by the logs in FILE..., and print its lines in order.

    Give the logs of all hosts: what other hosts saw of the request's targets is printed too. It
    needs no fleet. It exits 1 where no line names the request.
    """
    lines = [line for file in files for line in _read(file)]
    story = tell(request_id, lines)
    if ctl.options.is_json:
        shown = [{"source": line.source, **line.pairs} for line in story.lines]
        print_json({"request": request_id, "outcome": story.sentence, "lines": shown})
    else:
        click.echo(story.sentence)
        for line in story.lines:
            click.echo(f"{line.source}: {line.text}")
    if not story.lines:
        raise SystemExit(Exit.REFUSED)


def _read(file: str) -> list[LogLine]:
    """Return a file's lines, or end with what is wrong with it, by its line."""
    data = Path(file).read_bytes()
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        number = data.count(b"\n", 0, error.start) + 1
        raise click.BadParameter(
            f"{file}:{number} is not UTF-8; give the logs as the programs wrote them",
            param_hint="FILE",
        ) from error
    read = read_lines(file, text.splitlines())
    if read.others and not read.lines:
        raise click.BadParameter(
            f"{file}:{read.others[0]} is no log line; give files of key=value lines as the "
            "programs write them",
            param_hint="FILE",
        )
    if read.others:
        first, count = read.others[0], len(read.others)
        click.echo(f"{file}:{first}: left out, no log line ({count} such in all)", err=True)
    return list(read.lines)
