"""Probe doubtful targets actively, so that they come back as soon as they answer."""

from collections.abc import Callable, Sequence
from typing import Protocol

import aiohttp

from cranberrywall.runtime import Clock
from cranberrywall.targets._backoffs import Backoffs
from cranberrywall.targets._decimal_field import read_decimal_field
from cranberrywall.targets.messages import Announcement, TargetIncarnation

PROBE_EVERY_S = 1.0
PROBE_TIMEOUT_S = 2.0
MAX_PROBES = 16
"""Probes in one round at most; the cost must not grow with an outage."""

ENGINE_PROBE_PATH = "/v1/attempts/probe"
SERVICE_PROBE_PATH = "/"
BACKOFF_HEADER = "Retry-After"
PROBE_REQUEST_ID = "probe"
"""What logs name where a probe's answer asked for a backoff."""

_UNAVAILABLE = 503


class Probe(Protocol):
    """Ask one target for a sign of life."""

    async def __call__(self, announcement: Announcement) -> bool:
        """Return whether the target answers in time and without a server error."""
        ...


def make_http_probe(session: aiohttp.ClientSession, backoffs: Backoffs, clock: Clock) -> Probe:
    """Return a probe over HTTP that runs nothing at the target.

    An engine is asked for an attempt that it doesn't know; a service for its options. A target
    may ask for a backoff in its answer to a probe, too.
    """

    def note(announcement: Announcement, answer: aiohttp.ClientResponse) -> None:
        if answer.status == _UNAVAILABLE:
            start = TargetIncarnation(announcement.target, announcement.incarnation)
            field = read_decimal_field(answer.headers.getall(BACKOFF_HEADER, []))
            backoffs.record_requested(start, field, PROBE_REQUEST_ID, clock.now())

    async def probe(announcement: Announcement) -> bool:
        engine = announcement.kind == "engine"
        url = announcement.url + (ENGINE_PROBE_PATH if engine else SERVICE_PROBE_PATH)
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        try:
            method = "GET" if engine else "OPTIONS"
            async with session.request(method, url, timeout=timeout) as answer:
                note(announcement, answer)
                return answer.status < 500
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    return probe


class Prober:
    """Probe what ``doubtful`` returns and tell ``on_result``, until cancelled."""

    def __init__(
        self,
        probe: Probe,
        doubtful: Callable[[float], Sequence[Announcement]],
        on_result: Callable[[Announcement, bool, float], None],
        clock: Clock,
    ) -> None:
        self._probe = probe
        self._doubtful = doubtful
        self._on_result = on_result
        self._clock = clock

    async def run(self) -> None:
        """Probe once a second."""
        while True:
            await self._clock.sleep(PROBE_EVERY_S)
            await self.probe_once()

    async def probe_once(self) -> None:
        """Probe each doubtful target once, one after another."""
        for announcement in self._doubtful(self._clock.now())[:MAX_PROBES]:
            well = await self._probe(announcement)
            self._on_result(announcement, well, self._clock.now())
