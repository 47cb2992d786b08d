"""Call engines: one attempt of one chat completion, as a stream whose chunks are checked."""

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
"""Where a target in need names the requests a second that it takes, from all hosts together."""

BACKOFF_HEADER = "Retry-After"
"""Where a target's 503 names the seconds for which it wants no call from this host."""


LEAVING_HEADER = "X-Leaving"
"""Where a target says, by 1, that it takes no new work."""


class TargetNotice(NamedTuple):
    """Hold what the head of an answer says of its target."""

    rate: RateNotice
    backoff: DecimalField
    is_leaving: bool


OnNotice = Callable[[TargetNotice, bool], None]
"""Take in what an answer says of its target, and whether the call was served."""

# 404: the model or the version was unloaded after the target was chosen.
_BUSY_STATUSES = frozenset({404, 408, 409, 425, 429, 500, 502, 503, 504})
_UNAVAILABLE = 503
_CANCEL_TIMEOUT_S = 2.0
_END_OF_BODY_S = 0.5


class FaultKind(StrEnum):
    """Say how a call to a target went wrong.

    ``UNSENT``: no byte was sent. ``UNRUN``: the target says itself that it did not run the
    call. ``BUSY``: the target answered that it did not serve the
    call. ``REFUSED``: the target found the call itself at fault. ``CROSSED``: the reply was
    another attempt's. ``CUT``: the reply ended before its end mark. ``SILENT``: nothing
    came within the limit. ``UNKNOWN_ATTEMPT``: the target cannot resume the attempt.
    ``STOPPED``: this host ended the call, as the request is held back from now on.
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
    """Report why a call failed."""

    kind: FaultKind
    message: str


class EngineLimits(NamedTuple):
    """Limit a call to an engine; seconds.

    ``first_chunk_s`` ends a call whose engine accepted it and says nothing;
    ``between_chunks_s`` one that fell silent.
    """

    connect_timeout_s: float = 1.0
    first_chunk_s: float = 15.0
    between_chunks_s: float = 10.0
    elsewhere_s: float = 2.0


class EngineCall(NamedTuple):
    """Describe one attempt."""

    url: str
    attempt_id: str
    request_id: str
    rank: int
    version: str
    body: bytes


class _SilentTargetError(Exception):
    """Report, to the read that waits for it, a chunk that did not come in time."""


class EngineStream:
    """Read one attempt's chunks in order; each is checked to be the attempt's next one."""

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
        self._silent_at = 0.0
        self._response: aiohttp.ClientResponse | None = None
        self._splitter = FrameSplitter()
        self._ready: deque[bytes] = deque()
        self._next_index = 0

    async def open(self) -> Fault | None:
        """Send the call and check the head of the reply."""
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
        return await self._take_head(request)

    async def resume(self) -> Fault | None:
        """Ask the engine for the same attempt, from the first chunk not yet taken."""
        self.close()
        self._splitter = FrameSplitter()
        self._ready.clear()
        url = URL(f"{_attempt_url(self._call)}?from={self._next_index}", encoded=True)
        return await self._take_head(self._session.get(url, timeout=self._timeout()))

    async def next(self) -> Chunk | EndMark | Fault:
        """Return the attempt's next chunk, its end mark, or why there is none."""
        while True:
            while self._ready:
                outcome = self._check(self._ready.popleft())
                if outcome is not None:
                    return outcome
            fault = await self._read()
            if fault is not None:
                return fault

    def close(self) -> None:
        """Close the connection; the engine is not told to stop."""
        self._stop_watching()
        if self._response is not None:
            self._response.close()
            self._response = None

    async def release(self) -> None:
        """Give the connection back for reuse, after the end mark was read."""
        self._stop_watching()
        response, self._response = self._response, None
        if response is None:
            return
        try:
            async with asyncio.timeout(_END_OF_BODY_S):
                # The body's own end follows the end mark; until it is read the
                # connection cannot carry another call.
                await response.content.readany()
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            response.close()
        else:
            response.release()

    def _stop_watching(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @property
    def url(self) -> str:
        """Return the engine's base URL."""
        return self._call.url

    @property
    def next_index(self) -> int:
        """Return how many chunks were taken."""
        return self._next_index

    def start_at(self, index: int) -> None:
        """Expect chunk ``index`` first: ``resume`` then asks for it."""
        self._next_index = index

    async def _take_head(self, request: "aiohttp.client._RequestContextManager") -> Fault | None:
        limit = self._limits.first_chunk_s
        try:
            async with self._timers.limit(limit):
                response = await request
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            TargetWithdrawnError,
        ) as error:
            # Only these come before the first byte.
            return Fault(FaultKind.UNSENT, str(error))
        except TimeoutError:
            return Fault(FaultKind.SILENT, f"no answer within {limit:g} s")
        except (aiohttp.ClientError, ConnectionError) as error:
            return Fault(FaultKind.CUT, f"{type(error).__name__}: {error}")
        self._response = response
        fault = await self._check_head(response)
        if fault is None:
            self._silent_at = self._clock.now() + limit
            self._watch(response)
        return fault

    async def _check_head(self, response: aiohttp.ClientResponse) -> Fault | None:
        if response.status == 200:
            echoed = response.headers.get(ATTEMPT_HEADER)
            if echoed == self._call.attempt_id:
                self.on_notice(notice_of(response), True)
                return None
            self._drop("head", echoed or "")
            self.close()
            return Fault(FaultKind.CROSSED, "the reply is another attempt's")
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
            # A target that mixes up its replies would hand one caller another's text.
            self._drop("chunk", frame.attempt_id)
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
        except _SilentTargetError as error:
            return Fault(FaultKind.SILENT, str(error))
        except (aiohttp.ClientError, ConnectionError) as error:
            return Fault(FaultKind.CUT, f"{type(error).__name__}: {error}")
        if not data:
            return Fault(FaultKind.CUT, "the stream ended without its end mark")
        self._silent_at = self._clock.now() + self._limits.between_chunks_s
        try:
            self._ready.extend(self._splitter.feed(data))
        except MalformedFrameError as error:
            return Fault(FaultKind.REFUSED, str(error))
        return None

    def _watch(self, response: aiohttp.ClientResponse) -> None:
        """End the read that waits for a chunk once the target was silent for too long.

        One timer watches the whole stream: a limit set and cleared for each read cost
        more than the rest of the reading.
        """
        if self._response is not response:
            return
        if self._clock.now() < self._silent_at:
            self._timer = self._timers.call_at(self._silent_at, partial(self._watch, response))
            return
        response.content.set_exception(_SilentTargetError("the target fell silent"))

    def _drop(self, part: str, attempt_id: str) -> None:
        self._metrics.dropped_replies.labels("crossed").inc()
        log_event(
            "WARNING", "crossed_reply", part=part, attempt=self._call.attempt_id, got=attempt_id
        )

    def _timeout(self) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(total=None, sock_connect=self._limits.connect_timeout_s)


def notice_of(response: aiohttp.ClientResponse) -> TargetNotice:
    """Return what the head of an answer says of its target."""
    headers = response.headers
    asks_backoff = response.status == _UNAVAILABLE
    return TargetNotice(
        read_rate(headers.getall(RATE_HEADER, [])),
        read_decimal_field(headers.getall(BACKOFF_HEADER, [])) if asks_backoff else ABSENT,
        headers.get(LEAVING_HEADER) == "1",
    )


def _ignore_notice(notice: TargetNotice, is_served: bool) -> None:
    """Take nothing in: the target of an attempt that was taken over may be another by now."""


async def cancel_attempt(session: aiohttp.ClientSession, call: EngineCall) -> None:
    """Tell the engine to stop an attempt; a failure is logged, and the engine's loss."""
    timeout = aiohttp.ClientTimeout(total=_CANCEL_TIMEOUT_S)
    try:
        async with session.delete(URL(_attempt_url(call), encoded=True), timeout=timeout):
            pass
    except (aiohttp.ClientError, ConnectionError, TimeoutError) as error:
        log_event("WARNING", "cancel_failed", error, attempt=call.attempt_id)


def _attempt_url(call: EngineCall) -> str:
    return f"{call.url}/v1/attempts/{quote(call.attempt_id, safe='')}"
