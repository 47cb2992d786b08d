"""Lay out the console's paths."""

from typing import NamedTuple

from aiohttp import web

from cranberrywall.console._accounts import Role
from cranberrywall.console._budgets import BudgetPages
from cranberrywall.console._changes import ChangePages
from cranberrywall.console._decisions import DecisionPages
from cranberrywall.console._fleet import FleetPages
from cranberrywall.console._hosts import HostPages
from cranberrywall.console._login import LoginPages
from cranberrywall.console._pages import STATIC
from cranberrywall.console._report import ReportPages
from cranberrywall.console._visits import Guard

MOST_FORM_BYTES = 256 * 1024


class PageSets(NamedTuple):
    """Hold the handlers of each part."""

    login: LoginPages
    fleet: FleetPages
    changes: ChangePages
    budgets: BudgetPages
    decisions: DecisionPages
    hosts: HostPages
    report: ReportPages


def make_app(guard: Guard, pages: PageSets) -> web.Application:
    """Return the console's application."""
    app = web.Application(client_max_size=MOST_FORM_BYTES)
    router = app.router
    router.add_static("/static", STATIC)
    router.add_get("/login", guard.open_to_all(pages.login.show))
    router.add_post("/login", guard.open_to_all(pages.login.log_in))
    router.add_post("/logout", guard.only(Role.READER, pages.login.log_out))
    reader, operator = Role.READER, Role.OPERATOR
    router.add_get("/", guard.only(reader, pages.fleet.show_home))
    router.add_get("/revisions", guard.only(reader, pages.fleet.show_history))
    router.add_get(r"/revisions/{number:\d+}", guard.only(reader, pages.fleet.show_revision))
    router.add_get("/hosts/{name}", guard.only(reader, pages.hosts.show))
    router.add_post("/hosts/{name}/drain", guard.only(operator, pages.hosts.drain))
    router.add_get("/audit", guard.only(reader, pages.fleet.show_audit))
    router.add_get("/budgets", guard.only(reader, pages.budgets.show_all))
    router.add_get("/budgets/{name}", guard.only(reader, pages.budgets.show))
    router.add_post("/budgets/{name}", guard.only(operator, pages.budgets.top_up))
    router.add_get("/sections/{section}", guard.only(reader, pages.changes.show_section))
    router.add_get("/document.yaml", guard.only(reader, pages.changes.show_document))
    router.add_get("/add/{section}", guard.only(operator, pages.changes.show_add))
    router.add_get("/change/{section}/{name}", guard.only(operator, pages.changes.show_change))
    router.add_post("/submit/{section}", guard.only(operator, pages.changes.submit))
    router.add_get("/decisions", guard.only(reader, pages.decisions.show))
    router.add_post("/decisions", guard.only(operator, pages.decisions.ask))
    router.add_post("/decisions/withdraw", guard.only(operator, pages.decisions.withdraw))
    router.add_post("/decisions/approve", guard.only(Role.APPROVER, pages.decisions.approve))
    router.add_get("/report", guard.only(reader, pages.report.show))
    router.add_get("/report.svg", guard.only(reader, pages.report.plot))
    return app
