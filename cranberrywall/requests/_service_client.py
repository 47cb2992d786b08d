"""Call plain services: one attempt whose whole answer is read and checked."""

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
    """Hold a whole answer of a service; ``headers`` are those that go to the caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceCall(NamedTuple):
    """Describe one attempt; ``path`` has its query and is sent as it is."""

    url: str
    attempt_id: str
    request_id: str
    rank: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ServiceClient:
    """Send calls, each on a connection of its own where it may not be repeated."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        once_session: aiohttp.ClientSession,
        metrics: RequestMetrics,
        connect_timeout_s: float,
    ) -> None:
        """Take two sessions; ``once_session`` must not reuse connections.

        The library sends a call again by itself where a reused connection turns out to be
        closed. On a fresh connection it never does.
        """
        self._session = session
        self._once_session = once_session
        self._metrics = metrics
        self._connect_s = connect_timeout_s

    async def call(
        self, call: ServiceCall, repeatable: bool, timeout: float, on_notice: OnNotice
    ) -> ServiceAnswer | Fault:
        """Return the service's whole answer, or why there is none.

        ``on_notice`` is called with what the answer says of the target.
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
            return Fault(FaultKind.CROSSED, "the reply is another attempt's")
        on_notice(notice_of(response), True)
        if not _has_end(call.method, response):
            return Fault(FaultKind.CUT, "the reply does not say where it ends")
        body = await response.content.read(MAX_ANSWER_BYTES + 1)
        while len(body) <= MAX_ANSWER_BYTES and not response.content.at_eof():
            body += await response.content.read(MAX_ANSWER_BYTES + 1 - len(body))
        if len(body) > MAX_ANSWER_BYTES:
            return Fault(FaultKind.REFUSED, f"the answer is over {MAX_ANSWER_BYTES} bytes")
        return ServiceAnswer(response.status, _headers_to_return(response), body)


def _has_end(method: str, response: aiohttp.ClientResponse) -> bool:
    # A reply that ends with its connection looks whole when the connection is cut.
    if method == "HEAD" or response.status in _NO_BODY_STATUSES:
        return True
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in response.headers


def _headers_to_send(call: ServiceCall) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict(call.headers)
    headers[ATTEMPT_HEADER] = call.attempt_id
    headers["X-Request-Id"] = call.request_id
    headers["X-Priority"] = str(call.rank)
    return headers


def _headers_to_return(response: aiohttp.ClientResponse) -> tuple[tuple[str, str], ...]:
    return tuple(
        # The library's names are a subtype of str that msgpack does not take.
        (str(name), value)
        for name, value in response.headers.items()
        if name.lower() not in _DROPPED_HEADERS
    )
