"""HTTP client for services: one attempt that reads and checks the complete answer."""

import asyncio
from typing import NamedTuple

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from cranberrywall.observability import log_event
from cranberrywall.requests._engine import (
    ATTEMPT_HEADER,
    Fault,
    FaultKind,
    OnNotice,
    notice_of,
)
from cranberrywall.requests._metrics import RequestMetrics
from cranberrywall.targets import TargetWithdrawnError

MAX_ANSWER_BYTES = 8 * 1024 * 1024
_NO_BODY_STATUSES = frozenset({204, 304})
_UNSERVED_STATUSES = frozenset({429, 502, 503, 504})
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-attempt-id",
        "x-ran",
        "x-leaving",
        "x-rate-limit",
        "x-request-id",
    }
)


class ServiceAnswer(NamedTuple):
    """Complete answer of a service; ``headers`` are those that the caller receives."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceCall(NamedTuple):
    """One attempt of a call; ``path`` includes the query and is sent unchanged."""

    url: str
    attempt_id: str
    request_id: str
    rank: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceClient:
    """Send calls; a call that must not be repeated gets a new connection."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        once_session: aiohttp.ClientSession,
        metrics: RequestMetrics,
        connect_timeout_s: float,
    ) -> None:
        """Create a client; ``once_session`` must not reuse connections.

        aiohttp retries a call by itself if a reused connection turns out to be closed. It
        never does so on a new connection. ``connect_timeout_s`` is in seconds.
        """
        self._session = session
        self._once_session = once_session
        self._metrics = metrics
        self._connect_s = connect_timeout_s

    async def call(
        self, call: ServiceCall, repeatable: bool, timeout: float, on_notice: OnNotice
    ) -> ServiceAnswer | Fault:
        """Return the complete answer of the service, or the fault of the attempt.

        ``timeout`` is in seconds. ``on_notice`` is called with what the headers of the
        answer announce about the target.
        """
        session = self._session if repeatable else self._once_session
        try:
            async with asyncio.timeout(timeout):
                async with session.request(
                    call.method,
                    URL(call.url + call.path, encoded=True),
                    headers=_headers_to_send(call),
                    data=call.body or None,
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(total=None, sock_connect=self._connect_s),
                ) as response:
                    return await self._read(call, response, on_notice)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            TargetWithdrawnError,
        ) as error:
            return Fault(FaultKind.UNSENT, str(error))
        except TimeoutError:
            return Fault(FaultKind.SILENT, f"no answer within {timeout:g} s")
        except (aiohttp.ClientError, ConnectionError) as error:
            return Fault(FaultKind.CUT, f"{type(error).__name__}: {error}")

    async def _read(
        self, call: ServiceCall, response: aiohttp.ClientResponse, on_notice: OnNotice
    ) -> ServiceAnswer | Fault:
        echoed = response.headers.get(ATTEMPT_HEADER)
        if echoed is None and response.status in _UNSERVED_STATUSES:
            on_notice(notice_of(response), False)
            return Fault(FaultKind.BUSY, f"the target answered {response.status}")
        reported_not_run = response.headers.get("X-Ran") == "no"
        if echoed == call.attempt_id and response.status in _UNSERVED_STATUSES and reported_not_run:
            on_notice(notice_of(response), False)
            return Fault(FaultKind.UNRUN, f"the target answered {response.status}")
        if echoed != call.attempt_id:
            self._metrics.dropped_replies.labels("crossed").inc()
            log_event(
                "WARNING", "crossed_reply", part="service", attempt=call.attempt_id, got=echoed
            )
            return Fault(FaultKind.CROSSED, "the reply belongs to another attempt")
        on_notice(notice_of(response), True)
        if not _has_explicit_end(call.method, response):
            return Fault(
                FaultKind.CUT, "the reply has neither a Content-Length nor chunked encoding"
            )
        body = await response.content.read(MAX_ANSWER_BYTES + 1)
        while len(body) <= MAX_ANSWER_BYTES and not response.content.at_eof():
            body += await response.content.read(MAX_ANSWER_BYTES + 1 - len(body))
        if len(body) > MAX_ANSWER_BYTES:
            return Fault(FaultKind.REFUSED, f"the answer is over {MAX_ANSWER_BYTES} bytes")
        return ServiceAnswer(response.status, _headers_to_return(response), body)


def _has_explicit_end(method: str, response: aiohttp.ClientResponse) -> bool:
    # If a reply ends when its connection closes, a truncated reply looks the same as a
    # complete one.
    if method == "HEAD" or response.status in _NO_BODY_STATUSES:
        return True
    codings = ",".join(response.headers.getall("Transfer-Encoding", []))
    if codings:
        # Only chunks that are the last coding have an end mark (RFC 9112, section 6.3).
        return codings.rpartition(",")[2].strip().lower() == "chunked"
    return "Content-Length" in response.headers


def _headers_to_send(call: ServiceCall) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict(call.headers)
    headers[ATTEMPT_HEADER] = call.attempt_id
    headers["X-Request-Id"] = call.request_id
    headers["X-Priority"] = str(call.rank)
    return headers


def _headers_to_return(response: aiohttp.ClientResponse) -> tuple[tuple[str, str], ...]:
    return tuple(
        # aiohttp returns names of a subtype of str, which msgpack cannot encode.
        (str(name), value)
        for name, value in response.headers.items()
        if name.lower() not in _DROPPED_HEADERS
    )
