"""HTTP client for engines: one attempt of one chat completion, as a checked stream."""

import asyncio
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from functools import partial
from typing import NamedTuple
from urllib.parse import quote

import aiohttp
from yarl import URL

from cranberrywall.observability import log_event
from cranberrywall.rates import RateNotice, read_rate
from cranberrywall.requests._frames import (
    Chunk,
    EndMark,
    FrameSplitter,
    MalformedFrameError,
    parse_frame,
)
from cranberrywall.requests._metrics import RequestMetrics
from cranberrywall.runtime import Clock, Timer, Timers
from cranberrywall.targets import ABSENT, DecimalField, TargetWithdrawnError, read_decimal_field

ATTEMPT_HEADER = "X-Attempt-Id"
RATE_HEADER = "X-Rate-Limit"
"""A throttled target announces here the rate that it accepts from all hosts, in requests/s."""

BACKOFF_HEADER = "Retry-After"
"""A target's 503 announces here how many seconds this host must send it no call."""

REJECTIONS_HEADER = "X-Max-Rejections"
"""A brittle target announces here how many requests a second it can reject without falling over."""

LEAVING_HEADER = "X-Leaving"
"""A target announces with the value 1 that it accepts no new requests."""


class TargetNotice(NamedTuple):
    """Announcements of a target in the headers of its answer."""

    rate: RateNotice
    backoff: DecimalField
    rejections: DecimalField
    is_leaving: bool


OnNotice = Callable[[TargetNotice, bool], None]
"""Called with the notice in an answer, and with whether the target served the call."""

# 404 means that the model or the version was unloaded after the target was chosen.
_BUSY_STATUSES = frozenset({404, 408, 409, 425, 429, 500, 502, 503, 504})
# HTTP status of an answer that requests a backoff.
_UNAVAILABLE = 503
_CANCEL_TIMEOUT_S = 2.0
_END_OF_BODY_TIMEOUT_S = 0.5


class FaultKind(StrEnum):
    """Kind of failure of a call to a target.

    ``UNSENT``: no byte was sent. ``UNRUN``: the target reported that it did not run the
    call. ``BUSY``: the status of the answer states that the target did not serve the call.
    ``REFUSED``: the target rejected the call as invalid, or its answer broke a limit.
    ``CROSSED``: the reply belongs to another attempt. ``CUT``: the reply ended before its
    end mark. ``SILENT``: no data was received within the time limit.
    ``UNKNOWN_ATTEMPT``: the target cannot resume the attempt. ``STOPPED``: this host ended
    the call because the request was quarantined.
    """

    UNSENT = "unsent"
    UNRUN = "unrun"
    BUSY = "busy"
    REFUSED = "refused"
    CROSSED = "crossed"
    CUT = "cut"
    SILENT = "silent"
    UNKNOWN_ATTEMPT = "unknown_attempt"
    STOPPED = "stopped"


class Fault(NamedTuple):
    """Failure of a call."""

    kind: FaultKind
    message: str


class EngineLimits(NamedTuple):
    """Time limits of a call to an engine, in seconds.

    ``first_chunk_timeout_s`` ends a call if the engine accepts it and sends no chunk.
    ``chunk_timeout_s`` ends a call if the engine stops sending chunks.
    ``other_target_wait_s`` is how long a retry waits for a target that was not tried yet.
    """

    connect_timeout_s: float = 1.0
    first_chunk_timeout_s: float = 15.0
    chunk_timeout_s: float = 10.0
    other_target_wait_s: float = 2.0


class EngineCall(NamedTuple):
    """One attempt of a chat completion."""

    url: str
    attempt_id: str
    request_id: str
    rank: int
    version: str
    body: bytes


class _ChunkTimeoutError(Exception):
    """The next chunk was not received before its deadline."""


class EngineStream:
    """Read the chunks of one attempt, and check that each is the next one of this attempt."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        call: EngineCall,
        limits: EngineLimits,
        metrics: RequestMetrics,
        clock: Clock,
        timers: Timers,
    ) -> None:
        self._session = session
        self._call = call
        self._limits = limits
        self._metrics = metrics
        self._timers = timers
        self._clock = clock
        self.on_notice: OnNotice = _ignore_notice
        self._timer: Timer | None = None
        self._chunk_deadline = 0.0
        self._response: aiohttp.ClientResponse | None = None
        self._splitter = FrameSplitter()
        self._ready: deque[bytes] = deque()
        self._next_index = 0

    async def open(self) -> Fault | None:
        """Send the call, and check the status and headers of the reply."""
        call = self._call
        headers = {
            ATTEMPT_HEADER: call.attempt_id,
            "X-Request-Id": call.request_id,
            "X-Priority": str(call.rank),
            "X-Model-Version": call.version,
            "Content-Type": "application/json",
        }
        request = self._session.post(
            f"{call.url}/v1/chat/completions",
            data=call.body,
            headers=headers,
            timeout=self._timeout(),
        )
        return await self._receive_head(request)

    async def resume(self) -> Fault | None:
        """Request the same attempt from the engine, starting with the first missing chunk."""
        self.close()
        self._splitter = FrameSplitter()
        self._ready.clear()
        url = URL(f"{_attempt_url(self._call)}?from={self._next_index}", encoded=True)
        return await self._receive_head(self._session.get(url, timeout=self._timeout()))

    async def next(self) -> Chunk | EndMark | Fault:
        """Return the next chunk of the attempt, its end mark, or a fault."""
        while True:
            while self._ready:
                outcome = self._check(self._ready.popleft())
                if outcome is not None:
                    return outcome
            fault = await self._read()
            if fault is not None:
                return fault

    def close(self) -> None:
        """Close the connection without cancelling the attempt at the engine."""
        self._cancel_timer()
        if self._response is not None:
            self._response.close()
            self._response = None

    async def release(self) -> None:
        """Return the connection to the pool after the end mark was read."""
        self._cancel_timer()
        response, self._response = self._response, None
        if response is None:
            return
        try:
            async with asyncio.timeout(_END_OF_BODY_TIMEOUT_S):
                # The end of the body follows the end mark. The connection cannot be reused
                # until it is read.
                await response.content.readany()
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            response.close()
        else:
            response.release()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @property
    def url(self) -> str:
        """Return the engine's base URL."""
        return self._call.url

    @property
    def next_index(self) -> int:
        """Return the index of the next chunk, which is the number of chunks read."""
        return self._next_index

    def expect_chunk(self, index: int) -> None:
        """Set the index of the next chunk; ``resume`` then requests the stream from it."""
        self._next_index = index

    async def _receive_head(self, request: "aiohttp.client._RequestContextManager") -> Fault | None:
        limit = self._limits.first_chunk_timeout_s
        try:
            async with self._timers.limit(limit):
                response = await request
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            TargetWithdrawnError,
        ) as error:
            # Only these errors occur before the first byte is sent.
            return Fault(FaultKind.UNSENT, str(error))
        except TimeoutError:
            return Fault(FaultKind.SILENT, f"no answer within {limit:g} s")
        except (aiohttp.ClientError, ConnectionError) as error:
            return Fault(FaultKind.CUT, f"{type(error).__name__}: {error}")
        self._response = response
        fault = await self._check_head(response)
        if fault is None:
            self._chunk_deadline = self._clock.now() + limit
            self._check_chunk_deadline(response)
        return fault

    async def _check_head(self, response: aiohttp.ClientResponse) -> Fault | None:
        if response.status == 200:
            echoed = response.headers.get(ATTEMPT_HEADER)
            if echoed == self._call.attempt_id:
                self.on_notice(notice_of(response), True)
                return None
            self._record_dropped("head", echoed or "")
            self.close()
            return Fault(FaultKind.CROSSED, "the reply belongs to another attempt")
        message = f"the target answered {response.status}"
        self.on_notice(notice_of(response), False)
        self.close()
        if response.status == 404 and response.method == "GET":
            return Fault(FaultKind.UNKNOWN_ATTEMPT, message)
        kind = FaultKind.BUSY if response.status in _BUSY_STATUSES else FaultKind.REFUSED
        return Fault(kind, message)

    def _check(self, payload: bytes) -> Chunk | EndMark | Fault | None:
        try:
            frame = parse_frame(payload)
        except MalformedFrameError as error:
            return Fault(FaultKind.CUT, f"malformed chunk: {error}")
        if isinstance(frame, EndMark):
            return frame
        if frame.attempt_id != self._call.attempt_id:
            # A target may mix up its replies. One caller would then get another caller's text.
            self._record_dropped("chunk", frame.attempt_id)
            return None
        if frame.number < self._next_index:
            self._metrics.dropped_replies.labels("doubled").inc()
            return None
        if frame.number > self._next_index:
            return Fault(FaultKind.CUT, f"chunk {self._next_index} is missing")
        self._next_index += 1
        return frame

    async def _read(self) -> Fault | None:
        if self._response is None:
            return Fault(FaultKind.CUT, "the stream is closed")
        try:
            data = await self._response.content.readany()
        except _ChunkTimeoutError as error:
            return Fault(FaultKind.SILENT, str(error))
        except (aiohttp.ClientError, ConnectionError) as error:
            return Fault(FaultKind.CUT, f"{type(error).__name__}: {error}")
        if not data:
            return Fault(FaultKind.CUT, "the stream ended without its end mark")
        self._chunk_deadline = self._clock.now() + self._limits.chunk_timeout_s
        try:
            self._ready.extend(self._splitter.feed(data))
        except MalformedFrameError as error:
            return Fault(FaultKind.REFUSED, str(error))
        return None

    def _check_chunk_deadline(self, response: aiohttp.ClientResponse) -> None:
        """Make the pending read fail once the deadline of the next chunk has passed.

        One timer serves the whole stream. Setting and clearing a timeout for each read
        would cost more than the rest of the reading.
        """
        if self._response is not response:
            return
        if self._clock.now() < self._chunk_deadline:
            self._timer = self._timers.call_at(
                self._chunk_deadline, partial(self._check_chunk_deadline, response)
            )
            return
        response.content.set_exception(_ChunkTimeoutError("the target stopped sending chunks"))

    def _record_dropped(self, part: str, attempt_id: str) -> None:
        self._metrics.dropped_replies.labels("crossed").inc()
        log_event(
            "WARNING", "crossed_reply", part=part, attempt=self._call.attempt_id, got=attempt_id
        )

    def _timeout(self) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(total=None, sock_connect=self._limits.connect_timeout_s)


def notice_of(response: aiohttp.ClientResponse) -> TargetNotice:
    """Return what the status and headers of an answer announce about its target."""
    headers = response.headers
    requests_backoff = response.status == _UNAVAILABLE
    return TargetNotice(
        read_rate(headers.getall(RATE_HEADER, [])),
        read_decimal_field(headers.getall(BACKOFF_HEADER, [])) if requests_backoff else ABSENT,
        read_decimal_field(headers.getall(REJECTIONS_HEADER, [])),
        headers.get(LEAVING_HEADER) == "1",
    )


def _ignore_notice(notice: TargetNotice, is_served: bool) -> None:
    """Ignore the notice of a resumed attempt of a failed host.

    Another target may have the same URL now.
    """


async def cancel_attempt(session: aiohttp.ClientSession, call: EngineCall) -> None:
    """Ask the engine to stop an attempt; a failure is only logged."""
    timeout = aiohttp.ClientTimeout(total=_CANCEL_TIMEOUT_S)
    try:
        async with session.delete(URL(_attempt_url(call), encoded=True), timeout=timeout):
            pass
    except (aiohttp.ClientError, ConnectionError, TimeoutError) as error:
        log_event("WARNING", "cancel_failed", error, attempt=call.attempt_id)


def _attempt_url(call: EngineCall) -> str:
    return f"{call.url}/v1/attempts/{quote(call.attempt_id, safe='')}"
