"""Serve the operators' forms."""

from cranberrywall.console._accounts import Account, Accounts, Role, make_accounts
from cranberrywall.console._server import ConsoleParts, make_console_server

__all__ = [
    "Account",
    "Accounts",
    "ConsoleParts",
    "Role",
    "make_accounts",
    "make_console_server",
]
