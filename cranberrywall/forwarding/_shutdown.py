"""Time limits of requests on a host that stops."""

import asyncio
import math
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock

MAX_SAMPLES = 32
"""Number of recent requests of a route whose times are kept."""

USUAL_SHARE = 0.9
"""Share of a route's recent requests that took no longer than its usual time."""

STOPPING = Refusal(
    ErrorKind.DRAINING,
    "this host stops before the request could end",
    remedy="send the request to another address",
)


class HostStopsError(Exception):
    """Raised in a request that the stop of its host ends."""


class Shutdown:
    """Limit the requests of a host from the start of its stop.

    Requests that were sent to a target may run until the host ends its requests. Others must be
    sent early enough for the usual time of their route.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ends_at: float | None = None
        self._usual = _UsualTimes()
        self._limits: set[RequestLimit] = set()

    def start(self, ends_at: float) -> None:
        """End requests at ``ends_at``, in monotonic seconds."""
        self._ends_at = ends_at
        log_event(
            "INFO",
            "requests_limited_by_stop",
            ends_in_s=round(ends_at - self._clock.now(), 3),
            running=len(self._limits),
        )
        for limit in list(self._limits):
            limit.update()

    def make_limit(self, route: str, goal_s: float) -> "RequestLimit":
        """Return the limit of a request; ``goal_s`` is its usual time if no other is known."""
        return RequestLimit(self, route, goal_s, self._clock)

    def record(self, route: str, seconds: float) -> None:
        """Record the time from the first attempt of a request to its end."""
        self._usual.record(route, seconds)

    def latest_start(self, route: str, goal_s: float) -> float | None:
        """Return when a request of ``route`` must be sent at the latest, if the host stops."""
        if self._ends_at is None:
            return None
        return self._ends_at - self._usual.usual_s(route, goal_s)

    @property
    def ends_at(self) -> float | None:
        """Return when requests are ended, if the host stops."""
        return self._ends_at

    def add(self, limit: "RequestLimit") -> None:
        """Update ``limit`` as the host starts to stop."""
        self._limits.add(limit)

    def discard(self, limit: "RequestLimit") -> None:
        """Stop updating ``limit``."""
        self._limits.discard(limit)


class RequestLimit:
    """Time limit of one request; ``is_sent`` is true while a target may run the request."""

    def __init__(self, shutdown: Shutdown, route: str, goal_s: float, clock: Clock) -> None:
        self.is_sent = False
        self._is_answered = False
        self._shutdown = shutdown
        self._route = route
        self._goal_s = goal_s
        self._clock = clock
        self._timeout: asyncio.Timeout | None = None

    def check(self, now: float) -> Refusal | None:
        """Return the refusal of a request that cannot be sent in time any more."""
        latest_start = self._shutdown.latest_start(self._route, self._goal_s)
        return STOPPING if latest_start is not None and now > latest_start else None

    def begin_wait(self, now: float) -> Refusal | None:
        """Record that the request waits for a target; refuse one that would be sent too late.

        A stream that the caller already receives may be resumed until the host ends it.
        """
        if self._is_answered:
            return None
        self.is_sent = False
        self.update()
        return self.check(now)

    def begin_attempt(self) -> None:
        """Record that the request is sent to a target."""
        self.is_sent = True
        self.update()

    def begin_answer(self) -> None:
        """Record that the caller receives the beginning of an answer."""
        self._is_answered = True

    @asynccontextmanager
    async def applied(self) -> AsyncIterator[None]:
        """Limit the block, or raise ``HostStopsError`` at the limit."""
        timeout = self._timeout = asyncio.timeout(None)
        self._shutdown.add(self)
        try:
            async with timeout:
                self.update()
                yield
        except TimeoutError as error:
            if timeout.expired():
                raise HostStopsError from error
            raise
        finally:
            self._timeout = None
            self._shutdown.discard(self)

    def update(self) -> None:
        """Apply the limit that follows from the host's stop."""
        if self._timeout is None or self._timeout.expired():
            return
        if self.is_sent:
            ends_at = self._shutdown.ends_at
        else:
            ends_at = self._shutdown.latest_start(self._route, self._goal_s)
        if ends_at is not None:
            remaining_s = ends_at - self._clock.now()
            self._timeout.reschedule(asyncio.get_running_loop().time() + remaining_s)


class _UsualTimes:
    """Recent times of each route's requests at targets."""

    def __init__(self) -> None:
        self._seconds_by_route: dict[str, deque[float]] = {}

    def record(self, route: str, seconds: float) -> None:
        """Record the time of one request, in seconds."""
        if route not in self._seconds_by_route:
            self._seconds_by_route[route] = deque(maxlen=MAX_SAMPLES)
        self._seconds_by_route[route].append(seconds)

    def usual_s(self, route: str, default_s: float) -> float:
        """Return the time within which most requests of a route ended, in seconds.

        >>> times = _UsualTimes()
        >>> times.usual_s("letters", 0.5)
        0.5
        >>> for tenths in range(1, 11):
        ...     times.record("letters", tenths / 10)
        >>> times.usual_s("letters", 0.5)
        0.9
        """
        seconds = sorted(self._seconds_by_route.get(route, ()))
        if not seconds:
            return default_s
        return seconds[math.ceil(USUAL_SHARE * len(seconds)) - 1]
