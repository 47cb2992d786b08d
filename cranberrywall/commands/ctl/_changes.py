"""Explain why a change of the configuration did not happen."""

import click

from cranberrywall.commands.ctl._output import format_time
from cranberrywall.configuration import ChangeRefusal
from cranberrywall.errors import ErrorKind, Refusal


def explain_refusal(refused: ChangeRefusal, change: str) -> Refusal:
    """Print others' changes and the document's problems; return the refusal to exit with."""
    for delta in refused.since:
        by = delta.revision
        sections = ", ".join(by.sections)
        click.echo(
            f"since then: revision {by.number} by {by.operator} at {format_time(by.at)} "
            f"changed {sections}",
            err=True,
        )
    for problem in refused.problems:
        click.echo(str(problem), err=True)
    if refused.refusal.kind is ErrorKind.TIMEOUT:
        return refused.refusal._replace(remedy=f"send it again with --change-id {change}")
    return refused.refusal
