"""Keep logged-in sessions in memory, each with its token against forged forms."""

import hmac
import secrets
from collections import OrderedDict
from typing import NamedTuple

from cranberrywall.console._accounts import Role

IDLE_S = 8 * 3600.0
MOST_SESSIONS = 1000
TOKEN_BYTES = 32
FAILURES_BEFORE_WAIT = 5
WAIT_S = 60.0
MOST_FAILURE_NAMES = 10_000


class Session(NamedTuple):
    """Hold one session; ``name`` is empty before a log-in."""

    token: str
    csrf: str
    name: str
    role: Role
    seen_at: float

    @property
    def is_logged_in(self) -> bool:
        """Say whether somebody logged in."""
        return bool(self.name)


class Sessions:
    """Find sessions by the token that the browser keeps."""

    def __init__(self) -> None:
        # Those who only looked at the log-in page are kept apart: a flood of them must not
        # push out the operators who are logged in.
        self._logged_in: OrderedDict[str, Session] = OrderedDict()
        self._anonymous: OrderedDict[str, Session] = OrderedDict()

    def begin(self, name: str, role: Role, now: float) -> Session:
        """Make a session with fresh tokens, so that an older token cannot be fixed."""
        session = Session(
            secrets.token_urlsafe(TOKEN_BYTES), secrets.token_urlsafe(TOKEN_BYTES), name, role, now
        )
        by_token = self._logged_in if session.is_logged_in else self._anonymous
        by_token[session.token] = session
        if len(by_token) > MOST_SESSIONS:
            by_token.popitem(last=False)
        return session

    def find(self, token: str, now: float) -> Session | None:
        """Return the session, unless it is unknown or was idle for too long."""
        by_token = self._logged_in if token in self._logged_in else self._anonymous
        session = by_token.get(token)
        if session is None:
            return None
        if now - session.seen_at > IDLE_S:
            self.end(token)
            return None
        session = session._replace(seen_at=now)
        by_token[token] = session
        by_token.move_to_end(token)
        return session

    def end(self, token: str) -> None:
        """Forget a session."""
        self._logged_in.pop(token, None)
        self._anonymous.pop(token, None)


def is_own_form(session: Session, token: str) -> bool:
    """Say whether a form was made for this session.

    A page of another site can make a browser send a form here with the session's cookie;
    it shows as a change that the operator never made. It cannot read the token, which
    stands only in pages given to this session.
    """
    return hmac.compare_digest(session.csrf.encode(), token.encode())


class _Failures(NamedTuple):
    tries: int
    last_at: float


class LoginGuard:
    """Slow down the guessing of passwords, by account name."""

    def __init__(self) -> None:
        self._by_name: OrderedDict[str, _Failures] = OrderedDict()

    def wait_s(self, name: str, now: float) -> float:
        """Return how long this name must wait before the next try; 0 for none."""
        failures = self._by_name.get(name)
        if failures is None or failures.tries < FAILURES_BEFORE_WAIT:
            return 0.0
        return max(0.0, failures.last_at + WAIT_S - now)

    def failed(self, name: str, now: float) -> None:
        """Count a wrong password."""
        tries = self._by_name.pop(name, _Failures(0, now)).tries + 1
        self._by_name[name] = _Failures(tries, now)
        if len(self._by_name) > MOST_FAILURE_NAMES:
            self._by_name.popitem(last=False)

    def succeeded(self, name: str) -> None:
        """Forget the wrong passwords of a name."""
        self._by_name.pop(name, None)
