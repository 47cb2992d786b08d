"""Let only the right visits through: logged in, of the right role, by an own form."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from aiohttp import web
from multidict import MultiDict, MultiDictProxy

from cranberrywall.console._accounts import Accounts, Role
from cranberrywall.console._pages import Pages, go_to
from cranberrywall.console._sessions import Session, Sessions, is_own_form
from cranberrywall.runtime import Clock, Storage

COOKIE = "console"
CSRF_FIELD = "csrf"
LOGIN_PATH = "/login"


class Visit(NamedTuple):
    """Hold one request with its session; ``form`` is empty for a page that is only read."""

    request: web.Request
    session: Session
    form: MultiDictProxy[str]

    def field(self, name: str) -> str:
        """Return one field of the form, or the empty string."""
        return self.form.get(name, "")

    def part(self, name: str) -> str:
        """Return one part of the path."""
        return self.request.match_info[name]


Handler = Callable[[Visit], Awaitable[web.StreamResponse]]


class Guard:
    """Wrap the console's handlers."""

    def __init__(
        self,
        sessions: Sessions,
        accounts: Accounts,
        pages: Pages,
        clock: Clock,
        storage: Storage,
    ) -> None:
        self._sessions = sessions
        self._accounts = accounts
        self._pages = pages
        self._clock = clock
        self._storage = storage

    def open_to_all(
        self, handler: Handler
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Let anybody in; a form must still be one of this session's own."""

        async def handle(request: web.Request) -> web.StreamResponse:
            session = self._session(request)
            if session is None:
                session = self._sessions.begin("", Role.READER, self._clock.now())
            return await self._visit(request, session, handler)

        return handle

    def only(
        self, role: Role, handler: Handler
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Let only those in who are logged in with ``role``, or one that includes it."""

        async def handle(request: web.Request) -> web.StreamResponse:
            session = self._session(request)
            if session is None or not await self._still_stands(session):
                return go_to(LOGIN_PATH)
            if not session.role.includes(role):
                message = f"This needs the role {role}; {session.name} is a {session.role}."
                return self._pages.message(session, "Not allowed", message, status=403)
            return await self._visit(request, session, handler)

        return handle

    async def _visit(
        self, request: web.Request, session: Session, handler: Handler
    ) -> web.StreamResponse:
        form: MultiDictProxy[str] = MultiDictProxy(MultiDict())
        if request.method == "POST":
            form = await _read_form(request)
            if not is_own_form(session, form.get(CSRF_FIELD, "")):
                message = "The form was not made for this session. Go back, load the page again."
                return self._pages.message(session, "Form refused", message, status=403)
        response = await handler(Visit(request, session, form))
        if request.cookies.get(COOKIE) != session.token and COOKIE not in response.cookies:
            set_cookie(request, response, session.token)
        return response

    async def _still_stands(self, session: Session) -> bool:
        # An account may have been taken away, or given another role, since the log-in:
        # its sessions must not outlive that.
        by_name = await self._storage.run_blocking(self._accounts.by_name)
        account = by_name.get(session.name)
        return account is not None and account.role is session.role

    def _session(self, request: web.Request) -> Session | None:
        return self._sessions.find(request.cookies.get(COOKIE, ""), self._clock.now())


def set_cookie(request: web.Request, response: web.StreamResponse, token: str) -> None:
    """Give the browser its token, out of reach of scripts and of other sites."""
    response.set_cookie(
        COOKIE, token, httponly=True, samesite="Strict", secure=request.secure, path="/"
    )


async def _read_form(request: web.Request) -> MultiDictProxy[str]:
    fields = await request.post()
    texts = [(name, value) for name, value in fields.items() if isinstance(value, str)]
    return MultiDictProxy(MultiDict(texts))
