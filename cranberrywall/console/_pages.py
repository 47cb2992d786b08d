"""Render the console's pages."""

from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import jinja2
from aiohttp import web

from cranberrywall.console._accounts import Role
from cranberrywall.console._sessions import Session
from cranberrywall.errors import Refusal, answer_for

TEMPLATES = Path(__file__).parent / "templates"
STATIC = Path(__file__).parent / "static"

# No page has a script, so the browser is told to run none: text that an operator typed
# cannot become one, even where escaping failed.
SECURITY_HEADERS = {
    "Content-Security-Policy": (
        "default-src 'none'; style-src 'self'; img-src 'self'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    "X-Content-Type-Options": "nosniff",
    "Referrer-Policy": "no-referrer",
    "Cache-Control": "no-store",
}


class Pages:
    """Fill templates; every value is escaped."""

    def __init__(self, title: str) -> None:
        self._environment = jinja2.Environment(
            loader=jinja2.FileSystemLoader(TEMPLATES),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )
        self._environment.filters["time"] = format_time
        self._environment.filters["amount"] = format_amount
        self._environment.globals["fleet"] = title

    def page(
        self, session: Session, template: str, status: int = 200, **values: Any
    ) -> web.Response:
        """Return a page for a session."""
        text = self._environment.get_template(template).render(
            session=session,
            may_change=session.role.includes(Role.OPERATOR),
            may_approve=session.role.includes(Role.APPROVER),
            **values,
        )
        return web.Response(
            text=text, status=status, content_type="text/html", headers=SECURITY_HEADERS
        )

    def message(
        self, session: Session, title: str, message: str, status: int = 200, remedy: str = ""
    ) -> web.Response:
        """Return a page that says one thing."""
        return self.page(
            session, "message.html", status, title=title, message=message, remedy=remedy
        )

    def refusal(self, session: Session, refusal: Refusal) -> web.Response:
        """Return a page that says why something could not be done."""
        message = refusal.message or str(refusal.kind)
        remedy = refusal.remedy or "Wait a moment, then load the page again."
        status = answer_for(refusal).status
        return self.message(session, f"Not possible now: {refusal.kind}", message, status, remedy)


def go_to(path: str) -> web.Response:
    """Send the browser on to another page, so that a reload does not send a form again."""
    return web.Response(status=303, headers={"Location": path})


def format_time(at: float) -> str:
    """Return a time as people read it.

    >>> format_time(0)
    '1970-01-01 00:00:00 UTC'
    """
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")


def format_amount(amount: int) -> str:
    """Return an amount with its thousands apart.

    >>> format_amount(1234567)
    '1\xa0234\xa0567'
    """
    return f"{amount:,}".replace(",", "\N{NO-BREAK SPACE}")
