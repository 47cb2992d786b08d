"""Log operators in and out."""

from aiohttp import web

from cranberrywall.console._accounts import Accounts
from cranberrywall.console._audit import Audit, AuditEntry
from cranberrywall.console._pages import Pages, go_to
from cranberrywall.console._sessions import LoginGuard, Sessions
from cranberrywall.console._visits import LOGIN_PATH, Visit, set_cookie
from cranberrywall.runtime import Clock, Storage

UNKNOWN_NAME = "(unknown name)"


class LoginPages:
    """Serve the page to log in, and the way out."""

    def __init__(
        self,
        accounts: Accounts,
        sessions: Sessions,
        audit: Audit,
        pages: Pages,
        clock: Clock,
        storage: Storage,
    ) -> None:
        self._accounts = accounts
        self._sessions = sessions
        self._audit = audit
        self._pages = pages
        self._clock = clock
        self._storage = storage
        self._guard = LoginGuard()

    async def show(self, visit: Visit) -> web.StreamResponse:
        """Show the form."""
        return self._pages.page(visit.session, "login.html", problem="", name="")

    async def log_in(self, visit: Visit) -> web.StreamResponse:
        """Check the password and begin a new session."""
        name, password = visit.field("name"), visit.field("password")
        now = self._clock.now()
        wait_s = self._guard.wait_s(name, now)
        if wait_s > 0:
            return self._refuse(visit, name, f"Too many tries. Wait {wait_s:.0f} seconds.", 429)
        account = await self._storage.run_blocking(lambda: self._accounts.check(name, password))
        if account is None:
            self._guard.failed(name, now)
            await self._note(await self._known_name(name), "refused")
            return self._refuse(visit, name, "The name or the password is wrong.", 403)
        self._guard.succeeded(name)
        self._sessions.end(visit.session.token)
        session = self._sessions.begin(account.name, account.role, now)
        await self._note(name, "done")
        response = go_to("/")
        set_cookie(visit.request, response, session.token)
        return response

    async def log_out(self, visit: Visit) -> web.StreamResponse:
        """End the session."""
        self._sessions.end(visit.session.token)
        return go_to(LOGIN_PATH)

    async def _known_name(self, name: str) -> str:
        # A password that was typed into the wrong field must not get into the trail.
        by_name = await self._storage.run_blocking(self._accounts.by_name)
        return name if name in by_name else UNKNOWN_NAME

    def _refuse(self, visit: Visit, name: str, problem: str, status: int) -> web.StreamResponse:
        return self._pages.page(visit.session, "login.html", status, problem=problem, name=name)

    async def _note(self, name: str, outcome: str) -> None:
        await self._audit.add(AuditEntry(self._clock.wall(), name, "log in", "", outcome))
