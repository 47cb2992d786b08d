"""Distinguish a target that ended from a target whose connections broke.

A lost connection is no proof that the target ended: it may have been reset, the target may have
truncated an answer and continued, or the target may have left after it announced so. A target has
ended if its address refuses connections, or if a later incarnation or another target announced
itself at the address.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from enum import StrEnum
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from cranberrywall.observability import log_event
from cranberrywall.quarantine._runs import UNANSWERED_RETENTION_S
from cranberrywall.runtime import Clock, Network
from cranberrywall.targets import Announcement, Change, TargetIncarnation, Targets

CHECK_DELAYS_S = (0.0, 0.03, 0.2, 1.0)
"""Delays before the connection attempts to a target that lost connections, in seconds.

Each delay starts after the attempt before. A process that ends closes its connections and its
listener within milliseconds, in any order; the later attempts are for a process that takes longer.
Platforms restart a target within seconds, and then its next announcement shows that it ended.
"""

CONNECT_TIMEOUT_S = 0.6
"""Timeout of a connection attempt, in seconds: an unresponsive address proves nothing."""


class EndingSignal(StrEnum):
    """How the end of a target was detected.

    ``REFUSED``: its address refuses connections. ``RESTARTED``: a later incarnation, or another
    target at the same address, announced itself.
    """

    REFUSED = "refused"
    RESTARTED = "restarted"


class Ending(NamedTuple):
    """End of a target's incarnation; ``at`` is when this host lost its last connection to it."""

    target_incarnation: TargetIncarnation
    at: float
    signal: EndingSignal


class _Lost(NamedTuple):
    url: str
    at: float


OnEnding = Callable[[Ending, float], None]

IsReachedElsewhere = Callable[[TargetIncarnation], Awaitable[bool]]
"""Return whether another host can connect to a target that refuses connections of this host."""


async def never_reached(incarnation: TargetIncarnation) -> bool:
    """Return false: no other host is asked."""
    return False


class EndingDetector:
    """Check the targets that lost connections, and report those that ended."""

    def __init__(
        self,
        targets: Targets,
        network: Network,
        clock: Clock,
        has_open_runs: Callable[[TargetIncarnation], bool],
        on_ending: OnEnding,
        is_reached_elsewhere: IsReachedElsewhere,
    ) -> None:
        """``has_open_runs`` returns whether a run of this host is open at a target."""
        self._is_reached_elsewhere = is_reached_elsewhere
        self._has_open_runs = has_open_runs
        self._targets = targets
        self._network = network
        self._clock = clock
        self._on_ending = on_ending
        self._lost_by_incarnation: dict[TargetIncarnation, _Lost] = {}
        self._checking: set[TargetIncarnation] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        targets.subscribe(self._handle_announcement)

    def record_lost_connection(self, incarnation: TargetIncarnation, url: str, now: float) -> None:
        """Start to check a target that lost a connection, once for all that break together."""
        self._expire(now)
        if not self._is_current(incarnation):
            return
        self._lost_by_incarnation[incarnation] = _Lost(url, now)
        if incarnation not in self._checking:
            self._checking.add(incarnation)
            self._spawn(self._check(incarnation, url))

    def close(self) -> None:
        """Cancel the checks."""
        for task in self._tasks:
            task.cancel()

    async def _check(self, incarnation: TargetIncarnation, url: str) -> None:
        try:
            for delay_s in CHECK_DELAYS_S:
                await self._clock.sleep(delay_s)
                is_refused = await self._is_refused(url)
                if incarnation not in self._lost_by_incarnation:
                    return
                # A target with too many connections may refuse one and serve the others. If a
                # target ended, no run is open there, or only runs whose lost connection is not
                # detected yet.
                if not is_refused or self._has_open_runs(incarnation):
                    continue
                if await self._is_reached_elsewhere(incarnation):
                    log_event("INFO", "target_reached_by_neighbour", url=url)
                    return
                if incarnation in self._lost_by_incarnation:
                    self._report(incarnation, EndingSignal.REFUSED)
                return
        finally:
            self._checking.discard(incarnation)

    async def _is_refused(self, url: str) -> bool:
        try:
            _, writer = await self._network.dial(_address_of(url), CONNECT_TIMEOUT_S)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError) as error:
            log_event("INFO", "target_out_of_reach", url=url, reason=str(error))
            return False
        writer.close()
        return False

    def _handle_announcement(self, announcement: Announcement, change: Change, now: float) -> None:
        """Detect from an announcement that another incarnation or target replaced a target."""
        if announcement.leaving:
            self._lost_by_incarnation.pop(_incarnation_of(announcement), None)
            return
        if change not in (Change.JOINED, Change.CHANGED):
            return
        for incarnation, lost in list(self._lost_by_incarnation.items()):
            is_restarted = (
                incarnation.target == announcement.target
                and incarnation.incarnation < announcement.incarnation
            )
            is_replaced = incarnation.target != announcement.target and lost.url == announcement.url
            if now - lost.at < UNANSWERED_RETENTION_S and (is_restarted or is_replaced):
                self._report(incarnation, EndingSignal.RESTARTED)

    def _report(self, incarnation: TargetIncarnation, signal: EndingSignal) -> None:
        lost = self._lost_by_incarnation.pop(incarnation)
        self._on_ending(Ending(incarnation, lost.at, signal), self._clock.now())

    def _is_current(self, incarnation: TargetIncarnation) -> bool:
        # A target that left, or announced that it will, may break its last connections in doing so.
        target = self._targets.by_id.get(incarnation.target)
        return target is not None and target.announcement.incarnation == incarnation.incarnation

    def _expire(self, now: float) -> None:
        expired = [
            incarnation
            for incarnation, lost in self._lost_by_incarnation.items()
            if now - lost.at > UNANSWERED_RETENTION_S
        ]
        for incarnation in expired:
            del self._lost_by_incarnation[incarnation]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event("ERROR", "target_look_failed", task.exception())


def _incarnation_of(announcement: Announcement) -> TargetIncarnation:
    return TargetIncarnation(announcement.target, announcement.incarnation)


def _address_of(url: str) -> str:
    """Return the address at which a URL's server listens.

    >>> _address_of("http://10.0.0.1:8789"), _address_of("https://10.0.0.1")
    ('10.0.0.1:8789', '10.0.0.1:443')
    """
    parts = urlsplit(url)
    return f"{parts.hostname}:{parts.port or (443 if parts.scheme == 'https' else 80)}"
