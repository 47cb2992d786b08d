"""Manage the console's accounts, on the host where the console runs."""

import sys

import click
from result import Err

from cranberrywall.console import Accounts, Role, make_accounts
from cranberrywall.runtime import make_storage
from cranberrywall.settings.options import load_or_exit

EXIT_BAD_INPUT = 2


@click.group()
@click.option("--settings", "path", required=True, help="The console's YAML file of settings.")
@click.pass_context
def main(context: click.Context, path: str) -> None:
    """Add, change, list and remove the console's accounts; they count at once."""
    context.obj = make_accounts(make_storage(load_or_exit(path, "console")["data"]))


@main.command()
@click.argument("name")
@click.option("--role", type=click.Choice([role.value for role in Role]), required=True)
@click.password_option(help="Asked for where it is not given.")
@click.pass_obj
def put(accounts: Accounts, name: str, role: str, password: str) -> None:
    """Add the account NAME, or give it a new role and password."""
    result = accounts.put(name, Role(role), password)
    if isinstance(result, Err):
        click.echo(str(result.err_value), err=True)
        sys.exit(EXIT_BAD_INPUT)
    click.echo(f"{name} has the role {role}")


@main.command()
@click.argument("name")
@click.pass_obj
def remove(accounts: Accounts, name: str) -> None:
    """Remove the account NAME; its sessions end at once."""
    accounts.remove(name)
    click.echo(f"{name} is removed")


@main.command("list")
@click.pass_obj
def list_accounts(accounts: Accounts) -> None:
    """List the accounts with their roles."""
    for name, account in sorted(accounts.by_name().items()):
        click.echo(f"{name} {account.role}")


if __name__ == "__main__":
    main()
