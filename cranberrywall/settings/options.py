"""Give every program the same options for its settings."""

import sys
from collections.abc import Callable
from functools import wraps
from typing import NoReturn

import click
import yaml
from result import Err

from cranberrywall.settings._load import load_settings
from cranberrywall.settings._problem import Problem
from cranberrywall.settings._settings import Settings

_EXIT_BAD_SETTINGS = 2


def settings_options(process: str) -> Callable[[Callable[[Settings], None]], Callable[..., None]]:
    """Decorate a program's ``main``, which gets the checked settings.

    ``--check`` runs the checks alone and ``--print-settings`` shows what is in force; with
    problems the program prints each on a line and exits with 2, having started nothing.
    """

    def decorate(main: Callable[[Settings], None]) -> Callable[..., None]:
        @click.option("--settings", "path", required=True, help="The YAML file of settings.")
        @click.option("--check", is_flag=True, help="Check the settings and exit.")
        @click.option("--print-settings", is_flag=True, help="Print what is in force and exit.")
        @wraps(main)
        def run(path: str, check: bool, print_settings: bool) -> None:
            settings = load_or_exit(path, process)
            if print_settings:
                click.echo(yaml.safe_dump(dict(settings), sort_keys=False), nl=False)
            elif check:
                click.echo(f"{path}: right")
            else:
                main(settings)

        return run

    return decorate


def load_or_exit(path: str, process: str) -> Settings:
    """Return the settings, or print every problem and exit with 2."""
    result = load_settings(path)
    if isinstance(result, Err):
        _exit_with(result.err_value)
    settings = result.ok_value
    if settings["process"] != process:
        message = f"is {settings['process']}, and this is cranberrywall-{process}"
        remedy = f"write `process: {process}` or start cranberrywall-{settings['process']}"
        _exit_with([Problem("S016", "process", message, remedy)])
    return settings


def _exit_with(problems: list[Problem]) -> NoReturn:
    for problem in problems:
        click.echo(str(problem), err=True)
    sys.exit(_EXIT_BAD_SETTINGS)
