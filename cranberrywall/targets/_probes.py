"""Active probes of ejected and unresponsive targets, which return to use as soon as they answer."""

from collections.abc import Callable, Sequence
from typing import Protocol

import aiohttp

from cranberrywall.runtime import Clock
from cranberrywall.targets._backoffs import Backoffs
from cranberrywall.targets._decimal_field import read_decimal_field
from cranberrywall.targets.messages import Announcement, TargetIncarnation

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 2.0
MAX_PROBES_PER_ROUND = 16
"""Maximum number of probes in one round: the cost must not grow with the size of an outage."""

ENGINE_PROBE_PATH = "/v1/attempts/probe"
SERVICE_PROBE_PATH = "/"
BACKOFF_HEADER = "Retry-After"
PROBE_REQUEST_ID = "probe"
"""Request id that logs show if the answer to a probe requested a backoff."""

_UNAVAILABLE = 503
"""HTTP status of an answer that requests a backoff."""


class Probe(Protocol):
    """Callable that probes one target."""

    async def __call__(self, announcement: Announcement) -> bool:
        """Return whether the target answers in time and without a server error."""
        ...


def make_http_probe(session: aiohttp.ClientSession, backoffs: Backoffs, clock: Clock) -> Probe:
    """Return a probe over HTTP that runs nothing at the target.

    An engine gets a GET for an attempt that it doesn't have; a service gets an OPTIONS request. A
    target may request a backoff in its answer to a probe, too.
    """

    def record_backoff(announcement: Announcement, answer: aiohttp.ClientResponse) -> None:
        if answer.status == _UNAVAILABLE:
            incarnation = TargetIncarnation(announcement.target, announcement.incarnation)
            field = read_decimal_field(answer.headers.getall(BACKOFF_HEADER, []))
            backoffs.record_requested(incarnation, field, PROBE_REQUEST_ID, clock.now())

    async def probe(announcement: Announcement) -> bool:
        engine = announcement.kind == "engine"
        url = announcement.url + (ENGINE_PROBE_PATH if engine else SERVICE_PROBE_PATH)
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        try:
            method = "GET" if engine else "OPTIONS"
            async with session.request(method, url, timeout=timeout) as answer:
                record_backoff(announcement, answer)
                return answer.status < 500
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    return probe


class Prober:
    """Probe the targets that ``targets_to_probe`` returns and pass the results to ``on_result``."""

    def __init__(
        self,
        probe: Probe,
        targets_to_probe: Callable[[float], Sequence[Announcement]],
        on_result: Callable[[Announcement, bool, float], None],
        clock: Clock,
    ) -> None:
        self._probe = probe
        self._targets_to_probe = targets_to_probe
        self._on_result = on_result
        self._clock = clock

    async def run(self) -> None:
        """Probe once a second."""
        while True:
            await self._clock.sleep(PROBE_INTERVAL_S)
            await self.probe_once()

    async def probe_once(self) -> None:
        """Probe each of these targets once, one after another."""
        for announcement in self._targets_to_probe(self._clock.now())[:MAX_PROBES_PER_ROUND]:
            is_healthy = await self._probe(announcement)
            self._on_result(announcement, is_healthy, self._clock.now())
