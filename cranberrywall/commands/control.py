"""Run a control host: the replicated groups of configuration and ledgers."""

import click

from cranberrywall.commands._control_program import make_control_program
from cranberrywall.commands._running import run_until_signal
from cranberrywall.settings import Settings
from cranberrywall.settings.options import settings_options


@click.command()
@settings_options("control")
def main(settings: Settings) -> None:
    """Run a control host until SIGTERM or SIGINT."""
    run_until_signal("control", settings, make_control_program)


if __name__ == "__main__":
    main()
