"""Define ``cranberrywallctl``, its common options and its subcommands."""

import getpass
import importlib
import pkgutil
from pathlib import Path

import click

from cranberrywall.commands.ctl._session import (
    Ctl,
    FleetFile,
    Options,
    connect_to_fleet,
    read_fleet_file,
)


@click.group(context_settings={"auto_envvar_prefix": "CRANBERRYWALL"})
@click.option(
    "--fleet",
    type=click.Path(dir_okay=False),
    show_envvar=True,
    help="A YAML file with `controls` and `fleet_key`, such as a process's settings.",
)
@click.option(
    "--controls",
    multiple=True,
    metavar="HOST=IP:PORT",
    show_envvar=True,
    help="A control host's stream address; give one for each. Goes before --fleet.",
)
@click.option(
    "--key",
    type=click.Path(dir_okay=False),
    show_envvar=True,
    help="The file of the fleet's keys. Goes before --fleet.",
)
@click.option("--operator", show_envvar=True, help="Your name in the records. [default: login]")
@click.option(
    "--timeout",
    type=click.FloatRange(0.1, 600.0),
    default=10.0,
    show_default=True,
    show_envvar=True,
    help="Seconds that one call may take.",
)
@click.option("--json", "is_json", is_flag=True, help="Print JSON for programs.")
@click.pass_context
def main(
    context: click.Context,
    fleet: str | None,
    controls: tuple[str, ...],
    key: str | None,
    operator: str | None,
    timeout: float,
    is_json: bool,
) -> None:
    """Operate a fleet: configuration, budgets, closings and hosts.

    \b
    Exit codes:
      0  done
      1  refused: the fleet's answer is no, and it names the reason
      2  wrong usage, file or value
      3  no current control host was reached; nothing was done
      4  outcome unknown: send the same again, with the same change id
      5  conflict: another change came first
      6  a report's sums do not add up
    """
    found = read_fleet_file(fleet) if fleet else FleetFile()
    options = Options(
        controls=tuple(map(_address_of, controls)) or found.controls,
        key=key or found.key,
        operator=operator or getpass.getuser(),
        timeout=timeout,
        is_json=is_json,
    )
    context.obj = Ctl(options, context.obj or connect_to_fleet)


def _address_of(control: str) -> str:
    host, separator, address = control.partition("=")
    if not (host and separator and address):
        message = f"`{control}` is not HOST=IP:PORT"
        raise click.BadParameter(message, param_hint="--controls")
    return address


def _add_subcommands() -> None:
    """Add ``command`` of each module of this package whose name has no leading underscore."""
    package = "cranberrywall.commands.ctl"
    for found in pkgutil.iter_modules([str(Path(__file__).parent)]):
        if not found.name.startswith("_"):
            main.add_command(importlib.import_module(f"{package}.{found.name}").command)


_add_subcommands()
