"""HTTP client that sends one attempt to a target and reports its exact outcome."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import StrEnum
from typing import NamedTuple

import aiohttp
from aiohttp.client_middlewares import ClientHandlerType
from multidict import CIMultiDict
from yarl import URL

from cranberrywall.forwarding._answer_memory import AnswerMemory
from cranberrywall.forwarding._interfaces import Attempt, Dialect, Headers, TargetHead
from cranberrywall.forwarding._responses import ResetAwareResponse
from cranberrywall.observability import Metrics
from cranberrywall.routing import Slot
from cranberrywall.runtime import Clock
from cranberrywall.targets import (
    ConnectionRequest,
    TargetConnector,
    TargetPaths,
    TargetWithdrawnError,
    connecting_for,
)

CONNECT_TIMEOUT_S = 0.6
"""Timeout for connecting to a target, in seconds.

Targets are a few milliseconds away, and a target that has stopped does not answer at all. TCP
retransmits a lost SYN packet after a second, and callers seldom allow that much time."""

IDLE_CONNECTION_TTL_S = 4.0
"""Time after which idle connections to targets are closed, in seconds.

It is shorter than the time after which targets close them."""

MAX_BUFFERED_BYTES = 64 * 1024 * 1024
"""Maximum size of all answers together that are buffered in memory."""

_HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding"}
    | {"upgrade"}
)
_AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


UNSENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    TargetWithdrawnError,
)
"""Errors that occur before the first byte of the request is sent."""


class FailureKind(StrEnum):
    """Reasons why an attempt has no answer.

    ``UNSENT``: no byte of the request was sent. ``NOT_RUN``: the target reports that it did not
    run the request. ``WRONG_TARGET``: another target has the address and ran nothing.

    With the other kinds, the request may have run. ``BROKEN``: the connection broke.
    ``CROSSED``: the answer belongs to another request. ``LATE``: no complete answer arrived in
    time. ``AMBIGUOUS``: the answer's status reads as if the request had not run, but the target
    does not report that. ``STOPPED``: this host stopped the attempt because the request is now
    quarantined. ``HOST_STOPPED``: this host ended its requests because it stops.
    """

    UNSENT = "unsent"
    NOT_RUN = "not_run"
    WRONG_TARGET = "wrong_target"
    BROKEN = "broken"
    CROSSED = "crossed"
    LATE = "late"
    AMBIGUOUS = "ambiguous"
    STOPPED = "stopped"
    HOST_STOPPED = "host_stopped"


DID_NOT_RUN = frozenset({FailureKind.UNSENT, FailureKind.NOT_RUN, FailureKind.WRONG_TARGET})


class AttemptFailedError(Exception):
    """Raised when an attempt ends without an answer.

    ``answered_s`` is the time since the target started to answer, in seconds; ``None`` if it had
    not started. ``head`` is the head of the target's answer, if it sent one. ``is_connection_lost``
    is true if the connection broke, and not if what the target sent is no answer.
    """

    def __init__(self, kind: FailureKind, message: str, head: TargetHead | None = None) -> None:
        super().__init__(f"{kind}: {message}")
        self.kind = kind
        self.message = message
        self.head = head
        self.answered_s: float | None = None
        self.is_connection_lost = False


class TargetAnswer(NamedTuple):
    """Head of a target's answer; ``headers`` are those that are forwarded to the caller."""

    status: int
    headers: Headers
    head: TargetHead
    response: ResetAwareResponse


class ConnectionLostError(Exception):
    """Raised in place of aiohttp's errors for lost connections.

    If a reused connection turns out to be closed, aiohttp sends requests with idempotent methods
    again by itself, and this second sending is not counted as an attempt. aiohttp does not retry
    after an error of a type that it does not recognize.
    """


async def _report_lost_connections(
    request: aiohttp.ClientRequest, handler: ClientHandlerType
) -> aiohttp.ClientResponse:
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(f"{type(error).__name__}: {error}") from error


def make_connector(
    *, reuses_connections: bool, paths: TargetPaths | None, clock: Clock
) -> TargetConnector:
    """Return a connector for attempts; call it in a running event loop."""
    if reuses_connections:
        return TargetConnector(
            paths=paths, clock=clock, limit=0, keepalive_timeout=IDLE_CONNECTION_TTL_S
        )
    return TargetConnector(paths=paths, clock=clock, limit=0, force_close=True)


def make_session(connector: TargetConnector) -> aiohttp.ClientSession:
    """Return a session for attempts; call it in a running event loop."""
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_AUTOMATIC_HEADERS,
        middlewares=(_report_lost_connections,),
        response_class=ResetAwareResponse,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
    )


class TargetClient:
    """Send attempts, on reused connections only if the request may safely be sent twice.

    A target may close an idle connection at the moment when a request is sent on it. It is then
    unknown whether the request ran, so a request that may run at most once would be lost.
    """

    def __init__(
        self,
        pooled_session: aiohttp.ClientSession,
        unpooled_session: aiohttp.ClientSession,
        dialect: Dialect,
        metrics: Metrics,
    ) -> None:
        self._pooled_session = pooled_session
        self._unpooled_session = unpooled_session
        self._dialect = dialect
        self._answers = metrics.counter(
            "target_answers",
            "Answers of targets by how their end is marked and how they ended.",
            ["framing", "end"],
        )
        self._answer_memory = AnswerMemory(MAX_BUFFERED_BYTES)

    @asynccontextmanager
    async def open(
        self, slot: Slot, attempt: Attempt, connection: ConnectionRequest, may_run_again: bool
    ) -> AsyncIterator[TargetAnswer]:
        """Send an attempt to the slot's target and yield the head of its answer.

        Raise ``AttemptFailedError`` if there is no answer.

        Leaving the block before the body was read closes the connection, which frees the target.
        Errors while the block reads the body are converted to ``AttemptFailedError`` as well.
        """
        session = self._pooled_session if may_run_again else self._unpooled_session
        arrival = attempt.arrival
        try:
            with connecting_for(connection):
                response = await session.request(
                    arrival.method,
                    URL(slot.url + arrival.path, encoded=True),
                    headers=CIMultiDict(self._dialect.request_headers(attempt)),
                    data=arrival.body or None,
                    allow_redirects=False,
                )
            assert isinstance(response, ResetAwareResponse)
            try:
                async with response:
                    yield self._check(arrival.request_id, response)
            finally:
                self._answers.labels(response.framing, response.body_end).inc()
        except UNSENT_ERRORS as error:
            raise AttemptFailedError(FailureKind.UNSENT, str(error)) from error
        except (ConnectionLostError, aiohttp.ClientError, ConnectionError) as error:
            failure = AttemptFailedError(FailureKind.BROKEN, f"{type(error).__name__}: {error}")
            failure.is_connection_lost = not isinstance(error, aiohttp.ClientResponseError)
            raise failure from error

    async def read_full_body(self, answer: TargetAnswer) -> bytes:
        """Return the body of an answer, or raise ``AttemptFailedError`` if it is too large."""
        with self._answer_memory.buffer() as buffer:
            async for chunk in answer.response.chunks():
                reason = buffer.add(chunk)
                if reason:
                    raise AttemptFailedError(FailureKind.BROKEN, reason)
            return bytes(buffer.data)

    def _check(self, request_id: str, response: ResetAwareResponse) -> TargetAnswer:
        """Return the head of the answer if the answer belongs to this request.

        If a target sends an answer twice, the second copy arrives in place of the answer to the
        next request. Only the request id in the answer reveals this.
        """
        headers = tuple((str(name), value) for name, value in response.headers.items())
        head = self._dialect.read_head(response.status, headers)
        reports_not_run = head.is_wrong_target or head.not_run
        if head.request_id != request_id and (head.request_id or not reports_not_run):
            response.close()
            raise AttemptFailedError(
                FailureKind.CROSSED, f"answers {head.request_id!r} instead of this request"
            )
        if head.is_wrong_target:
            raise AttemptFailedError(FailureKind.WRONG_TARGET, "another target has the address")
        if head.not_run:
            raise AttemptFailedError(FailureKind.NOT_RUN, f"answered {response.status}", head)
        forwarded_headers = tuple(
            pair for pair in headers if pair[0].lower() not in _HOP_BY_HOP_HEADERS
        )
        return TargetAnswer(response.status, forwarded_headers, head, response)
