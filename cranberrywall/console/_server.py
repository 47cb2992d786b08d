"""Assemble the console from its parts."""

from ssl import SSLContext
from typing import NamedTuple

from aiohttp import web

from cranberrywall.configuration import ConfigurationClient
from cranberrywall.console._accounts import make_accounts
from cranberrywall.console._app import PageSets, make_app
from cranberrywall.console._audit import make_audit
from cranberrywall.console._budgets import BudgetPages
from cranberrywall.console._changes import ChangePages
from cranberrywall.console._decisions import DecisionPages
from cranberrywall.console._fleet import FleetPages
from cranberrywall.console._hosts import HostPages
from cranberrywall.console._login import LoginPages
from cranberrywall.console._pages import Pages
from cranberrywall.console._pending import PendingRequests
from cranberrywall.console._report import ReportPages
from cranberrywall.console._sessions import Sessions
from cranberrywall.console._visits import Guard
from cranberrywall.control import ControlClient
from cranberrywall.links import Caller
from cranberrywall.observability import HttpListener
from cranberrywall.runtime import Clock, Storage

CHANGE_TIMEOUT_S = 5.0
SHUTDOWN_S = 2.0


class ConsoleParts(NamedTuple):
    """Hold what the console works with."""

    control: ControlClient
    caller: Caller
    clock: Clock
    storage: Storage
    title: str = "cranberrywall"


def make_application(parts: ConsoleParts) -> web.Application:
    """Return the console's HTTP application."""
    pages = Pages(parts.title)
    sessions = Sessions()
    audit = make_audit(parts.storage)
    configuration = ConfigurationClient(parts.control, CHANGE_TIMEOUT_S)
    accounts = make_accounts(parts.storage)
    sets = PageSets(
        LoginPages(accounts, sessions, audit, pages, parts.clock, parts.storage),
        FleetPages(parts.control, configuration, parts.caller, audit, pages, parts.clock),
        ChangePages(configuration, audit, pages, parts.clock),
        BudgetPages(parts.control, configuration, audit, pages, parts.clock),
        DecisionPages(
            parts.control,
            configuration,
            PendingRequests(parts.storage),
            audit,
            pages,
            parts.clock,
        ),
        HostPages(configuration, parts.caller, audit, pages, parts.clock),
        ReportPages(parts.control, configuration, pages, parts.clock, parts.storage),
    )
    return make_app(Guard(sessions, accounts, pages, parts.clock, parts.storage), sets)


def make_console_server(
    parts: ConsoleParts, address: str, context: SSLContext | None = None
) -> HttpListener:
    """Return a console that will listen at ``address`` once started; ``context`` gives HTTPS."""
    return HttpListener(make_application(parts), address, SHUTDOWN_S, context)
