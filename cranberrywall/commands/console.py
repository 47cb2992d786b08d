"""Run the operators' console."""

import click

from cranberrywall.commands._console_program import make_console_program
from cranberrywall.commands._running import run_until_signal
from cranberrywall.settings import Settings
from cranberrywall.settings.options import settings_options


@click.command()
@settings_options("console")
def main(settings: Settings) -> None:
    """Run the console until SIGTERM or SIGINT."""
    run_until_signal("console", settings, make_console_program)


if __name__ == "__main__":
    main()
