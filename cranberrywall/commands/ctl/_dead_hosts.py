"""Ask an operator whether a host's process is really dead."""

import click


def ask_whether_stopped(host: str, incarnation: int, is_sure: bool) -> None:
    """Abort unless the operator says that the process is stopped, or ``is_sure`` already."""
    if not is_sure:
        click.confirm(
            f"Is the process of {host} with incarnation {incarnation} stopped for good?",
            abort=True,
            err=True,
        )
