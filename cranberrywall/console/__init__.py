"""Serve the operators' forms."""

from cranberrywall.console._accounts import Account, Accounts, Role, make_accounts
from cranberrywall.console._program import ConsoleProgram, make_console_program

__all__ = [
    "Account",
    "Accounts",
    "ConsoleProgram",
    "Role",
    "make_accounts",
    "make_console_program",
]
