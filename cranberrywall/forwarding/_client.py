"""Send one attempt to a target over HTTP, and tell truly what became of it."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import StrEnum
from typing import NamedTuple

import aiohttp
from aiohttp.client_middlewares import ClientHandlerType
from multidict import CIMultiDict
from yarl import URL

from cranberrywall.forwarding._endings import EndingResponse
from cranberrywall.forwarding._interfaces import Attempt, Dialect, Headers, TargetHead
from cranberrywall.routing import Slot
from cranberrywall.targets import TargetConnector, TargetWithdrawnError, while_offered

CONNECT_S = 0.6
"""A target that takes no connection within this is left alone, in seconds.

Targets stand a few milliseconds away, and one that is gone does not answer at all. A lost
opening packet is sent again after a second, which a caller's time seldom allows for."""

KEPT_S = 4.0
"""Idle connections to targets are closed after this, before the targets close them, in seconds."""

MOST_BYTES = 16 * 1024 * 1024
"""The most bytes of a whole answer that are held."""

_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding"}
    | {"upgrade"}
)
_ADDED_BY_LIBRARY = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


_UNSENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    TargetWithdrawnError,
)
"""Errors that come before the first byte went out."""


class FailureKind(StrEnum):
    """Say how an attempt came to no answer.

    ``UNSENT``: no byte of the request went out. ``NOT_RUN``: the target says that it did not
    run it. ``WRONG_TARGET``: another target has the address, and ran nothing. After the others the
    request may have run: ``BROKEN`` connections, ``CROSSED`` answers to another request, ``LATE``
    ones that did not come in time, and attempts that this host ``STOPPED``, as the request is held
    back from now on.
    """

    UNSENT = "unsent"
    NOT_RUN = "not_run"
    WRONG_TARGET = "wrong_target"
    BROKEN = "broken"
    CROSSED = "crossed"
    LATE = "late"
    STOPPED = "stopped"


DID_NOT_RUN = frozenset({FailureKind.UNSENT, FailureKind.NOT_RUN, FailureKind.WRONG_TARGET})


class AttemptFailedError(Exception):
    """Report an attempt without an answer.

    ``answered_s`` is for how long the target had begun to answer, in seconds; ``None`` where it
    had not. ``head`` is what the target's answer said of the target, where it gave one.
    """

    def __init__(self, kind: FailureKind, message: str, head: TargetHead | None = None) -> None:
        super().__init__(f"{kind}: {message}")
        self.kind = kind
        self.message = message
        self.head = head
        self.answered_s: float | None = None


class TargetAnswer(NamedTuple):
    """Hold the head of a target's answer; ``headers`` are those that go on to the caller."""

    status: int
    headers: Headers
    head: TargetHead
    response: EndingResponse


class _ConnectionLostError(Exception):
    """Report a lost connection by a type of its own.

    The library sends idempotent methods again by itself where a kept connection turns out to
    be closed. That second sending would be counted by nobody; errors that it does not know
    come through.
    """


async def _report_lost_connections(
    request: aiohttp.ClientRequest, handler: ClientHandlerType
) -> aiohttp.ClientResponse:
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _ConnectionLostError(f"{type(error).__name__}: {error}") from error


def make_session(*, keeps_connections: bool) -> aiohttp.ClientSession:
    """Return a session for attempts; call it in a running event loop."""
    if keeps_connections:
        connector = TargetConnector(limit=0, keepalive_timeout=KEPT_S)
    else:
        connector = TargetConnector(limit=0, force_close=True)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_ADDED_BY_LIBRARY,
        middlewares=(_report_lost_connections,),
        response_class=EndingResponse,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S),
    )


class TargetClient:
    """Send attempts, on kept connections only where a second sending does no harm.

    A kept connection may be closed by the target in the moment in which a request goes out.
    Nobody can tell then whether it ran, so that one which runs at most once would be lost.
    """

    def __init__(
        self, kept: aiohttp.ClientSession, fresh: aiohttp.ClientSession, dialect: Dialect
    ) -> None:
        self._kept = kept
        self._fresh = fresh
        self._dialect = dialect

    @asynccontextmanager
    async def open(
        self, slot: Slot, attempt: Attempt, may_run_again: bool
    ) -> AsyncIterator[TargetAnswer]:
        """Send an attempt to the slot's target and give the head of its answer.

        Raise ``AttemptFailedError`` where there is none.

        Leaving the block before the body was read ends the connection, which frees the target.
        Errors of reading the body in the block become ``AttemptFailedError`` too.
        """
        session = self._kept if may_run_again else self._fresh
        arrival = attempt.arrival
        try:
            with while_offered(lambda: slot.is_offered):
                response = await session.request(
                    arrival.method,
                    URL(slot.url + arrival.path, encoded=True),
                    headers=CIMultiDict(self._dialect.request_headers(attempt)),
                    data=arrival.body or None,
                    allow_redirects=False,
                )
            async with response:
                assert isinstance(response, EndingResponse)
                yield self._check(arrival.request_id, response)
        except _UNSENT_ERRORS as error:
            raise AttemptFailedError(FailureKind.UNSENT, str(error)) from error
        except (_ConnectionLostError, aiohttp.ClientError, ConnectionError) as error:
            message = f"{type(error).__name__}: {error}"
            raise AttemptFailedError(FailureKind.BROKEN, message) from error

    def _check(self, request_id: str, response: EndingResponse) -> TargetAnswer:
        """Return the head of the answer where it is one to this request.

        A target may send an answer twice, and the second then stands where the next one is
        expected. Only the id in it tells.
        """
        headers = tuple((str(name), value) for name, value in response.headers.items())
        head = self._dialect.read_head(response.status, headers)
        reports_not_run = head.is_wrong_target or head.not_run
        if head.request_id != request_id and (head.request_id or not reports_not_run):
            response.close()
            raise AttemptFailedError(FailureKind.CROSSED, f"answers {head.request_id!r}")
        if head.is_wrong_target:
            raise AttemptFailedError(FailureKind.WRONG_TARGET, "another target has the address")
        if head.not_run:
            raise AttemptFailedError(FailureKind.NOT_RUN, f"answered {response.status}", head)
        passed_on = tuple(pair for pair in headers if pair[0].lower() not in _HOP_HEADERS)
        return TargetAnswer(response.status, passed_on, head, response)


async def read_whole(answer: TargetAnswer) -> bytes:
    """Return the body of an answer, or raise ``AttemptFailedError`` where it is too large."""
    body = bytearray()
    async for chunk in answer.response.chunks():
        body += chunk
        if len(body) > MOST_BYTES:
            raise AttemptFailedError(FailureKind.BROKEN, f"an answer of over {MOST_BYTES} bytes")
    return bytes(body)
