"""Read and answer what engines and services have in common."""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from aiohttp import web
from aiohttp.typedefs import Handler

from standins._counts import Counts
from standins._faults import Draw, FaultChange, Faults, is_in_need

ATTEMPT_HEADER = "X-Attempt-Id"
REQUEST_HEADER = "X-Request-Id"
RATE_HEADER = "X-Rate-Limit"
BACKOFF_HEADER = "Retry-After"
REJECTIONS_HEADER = "X-Max-Rejections"
LEAVING_HEADER = "X-Leaving"
MOST_ARRIVALS = 100_000
_NO_WORK = frozenset({"/counts", "/faults", "/v1/orders"})
UNNAMED_REQUEST = "unnamed"


class FaultSwitch:
    """Hold the faults in force, changed by ``PUT /faults``.

    ``on_death`` ends the whole stand-in; what serves it sets it. ``arrived_at`` has the monotonic
    times at which work arrived, whatever became of it.
    """

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self.arrived_at: deque[float] = deque(maxlen=MOST_ARRIVALS)
        self._rejected_at: deque[float] = deque()
        self.on_death: Callable[[], Awaitable[None]] | None = None
        # The event loop refers to tasks weakly, so a death is kept here until it is over.
        self._deaths: set[asyncio.Future[None]] = set()

    def change(self, change: FaultChange) -> None:
        """Change the named faults; raise ``TypeError`` for an unknown one."""
        self.faults = Faults(**{**self.faults._asdict(), **change})

    def record_rejection(self, request: web.Request, now: float) -> None:
        """Count a rejection; end the target if it had to reject too many in a second."""
        self._rejected_at.append(now)
        while self._rejected_at[0] <= now - 1.0:
            self._rejected_at.popleft()
        if len(self._rejected_at) > self.faults.max_rejections and self.on_death is not None:
            abort(request)
            self._deaths.add(asyncio.ensure_future(self.on_death()))

    def break_connection(self, request: web.Request, draw: Draw) -> None:
        """Cut the connection where ``draw`` says so; a death ends the others as well."""
        if draw.dies and self.on_death is not None:
            abort(request)
            self._deaths.add(asyncio.ensure_future(self.on_death()))
        elif draw.cut:
            abort(request)


def add_common_routes(app: web.Application, counts: Counts, switch: FaultSwitch, seed: int) -> None:
    """Serve ``GET /counts``, ``GET /faults`` and ``PUT /faults``; let all answers say how it is."""

    async def add_notices(request: web.Request, response: web.StreamResponse) -> None:
        faults = switch.faults
        if is_in_need(faults, seed, time.monotonic()):
            response.headers[RATE_HEADER] = f"{faults.limit_per_s:g}"
        if response.status == 503 and faults.backoff_s > 0:
            response.headers[BACKOFF_HEADER] = f"{faults.backoff_s:g}"
        if faults.max_rejections >= 0:
            response.headers[REJECTIONS_HEADER] = f"{faults.max_rejections:g}"
            if response.status == 503:
                switch.record_rejection(request, time.monotonic())
        if faults.says_leaving:
            response.headers[LEAVING_HEADER] = "1"

    @web.middleware
    async def count_arrivals(request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path not in _NO_WORK:
            switch.arrived_at.append(time.monotonic())
        return await handler(request)

    app.on_response_prepare.append(add_notices)
    app.middlewares.append(count_arrivals)

    async def get_counts(request: web.Request) -> web.Response:
        return web.json_response({"requests": counts.by_request, "refused": counts.refused})

    async def get_faults(request: web.Request) -> web.Response:
        return web.json_response(switch.faults._asdict())

    async def put_faults(request: web.Request) -> web.Response:
        try:
            switch.change(await request.json())
        except (TypeError, ValueError) as error:
            return fail(400, f"not a change of faults: {error}")
        return web.json_response(switch.faults._asdict())

    app.router.add_get("/counts", get_counts)
    app.router.add_get("/faults", get_faults)
    app.router.add_put("/faults", put_faults)


def fail(status: int, message: str) -> web.Response:
    """Answer an error in the shape of the chat completions interface."""
    return web.json_response({"error": {"message": message, "code": status}}, status=status)


def abort(request: web.Request) -> None:
    """Cut the connection without an end, as a lost host would."""
    # Not every event loop's transports derive from ``asyncio.Transport``.
    if request.transport is not None:
        request.transport.abort()


def is_open(request: web.Request) -> bool:
    """Say whether the caller's connection still stands."""
    return request.transport is not None and not request.transport.is_closing()


class Identity(NamedTuple):
    """Hold the ids that a request's headers name."""

    request_id: str
    attempt_id: str


def identity(request: web.Request) -> Identity:
    """Return the request id and the attempt id that the headers name."""
    request_id = request.headers.get(REQUEST_HEADER, UNNAMED_REQUEST)
    return Identity(request_id, request.headers.get(ATTEMPT_HEADER, f"{request_id}/0"))


def crossed_id(attempt_id: str) -> str:
    """Return an attempt id that this request did not send."""
    return f"{attempt_id}-crossed"
