"""Notify hosts of the targets that leave, and retry until each host has confirmed it."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, NamedTuple

from result import Err

from cranberrywall.links import Caller
from cranberrywall.observability import EventLimiter, Metrics
from cranberrywall.runtime import Clock
from cranberrywall.targets.messages import (
    PASS_ON,
    SHARE_LEAVING,
    Announcement,
    PassOnRequest,
    TargetIncarnation,
)

NOTIFY_TIMEOUT_S = 0.5
NOTIFY_RETRY_DELAY_S = 0.25
"""Time before a host that did not answer is notified again, in seconds."""

HOST_CHECK_INTERVAL_S = 0.25
"""Interval at which hosts that joined or restarted are detected, in seconds."""

LEAVING_RETENTION_S = 600.0
"""Time for which hosts that join are notified of a target that left, in seconds.

A host that was partitioned for longer expires the target by itself, because it receives no renewal
of it.
"""

MAX_TARGETS_PER_MESSAGE = 200
"""Maximum number of targets in one message; each takes about 150 bytes."""

LATE_NOTIFICATION_S = 1.0
"""A notification that took longer than this is logged, in seconds."""


class HostIncarnation(NamedTuple):
    """Incarnation of an entry or control host, with the address of its stream listener."""

    links: str
    incarnation: int
    is_control: bool = False


class _Update(NamedTuple):
    number: int
    announcement: Announcement
    at: float


class LeavingUpdates:
    """Numbered announcements of leaving targets, and the number up to which each host has them.

    Once a target has the acknowledgement that it leaves, every host that may send requests to it
    must receive the announcement. The host that received it first can be lost before it passes it
    on, and a host that is partitioned, or not started yet, has no other source.
    """

    def __init__(
        self, hosts: Callable[[], Sequence[HostIncarnation]], caller: Caller, clock: Clock
    ) -> None:
        """``hosts`` returns the hosts to notify at the time of the call."""
        self._hosts = hosts
        self._caller = caller
        self._clock = clock
        self._late = EventLimiter(clock.now)
        self._updates: deque[_Update] = deque()
        self._tracked_incarnations: set[TargetIncarnation] = set()
        self._number = 0
        self._confirmed_by_host: dict[HostIncarnation, int] = {}
        self._current_hosts: set[HostIncarnation] = set()
        self._notifying: set[HostIncarnation] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_checking_hosts = False
        self._observe_notified: Callable[[float], None] = lambda seconds: None

    def export(self, metrics: Metrics) -> None:
        """Register metrics of the time until hosts are notified, and of hosts still missing."""
        notified = metrics.histogram(
            "leaving_told_seconds", "Seconds until an entry host was notified of leaving targets."
        )
        self._observe_notified = notified.labels().observe
        metrics.gauge_of(
            "leaving_untold_hosts",
            "Entry hosts that are still being notified of leaving targets.",
            lambda: len(self._notifying),
        )

    def add(self, announcement: Announcement, now: float) -> None:
        """Start to notify hosts that a target leaves, once for each incarnation of the target."""
        incarnation = _incarnation_of(announcement)
        if incarnation in self._tracked_incarnations:
            return
        self._number += 1
        self._tracked_incarnations.add(incarnation)
        self._updates.append(_Update(self._number, announcement, now))
        self._notify_all()
        if not self._is_checking_hosts:
            self._is_checking_hosts = True
            self._spawn(self._check_hosts())

    def newest(self) -> tuple[Announcement, ...]:
        """Return the latest announcements, as many as one message holds."""
        return tuple(update.announcement for update in self._updates)[-MAX_TARGETS_PER_MESSAGE:]

    def unnotified(self) -> list[HostIncarnation]:
        """Return the hosts that are being notified now."""
        return sorted(self._notifying)

    def _notify_all(self) -> None:
        self._current_hosts = set(self._hosts())
        for host in self._current_hosts:
            if host not in self._notifying and self._is_behind(host):
                self._notifying.add(host)
                self._spawn(self._notify(host))

    def _is_behind(self, host: HostIncarnation) -> bool:
        return (
            bool(self._updates) and self._confirmed_by_host.get(host, 0) < self._updates[-1].number
        )

    async def _check_hosts(self) -> None:
        while self._updates:
            await self._clock.sleep(HOST_CHECK_INTERVAL_S)
            self._expire(self._clock.now())
            self._notify_all()
        self._is_checking_hosts = False

    def _expire(self, now: float) -> None:
        while self._updates and now - self._updates[0].at >= LEAVING_RETENTION_S:
            self._tracked_incarnations.discard(
                _incarnation_of(self._updates.popleft().announcement)
            )
        self._confirmed_by_host = {
            host: number
            for host, number in self._confirmed_by_host.items()
            if host in self._current_hosts
        }

    async def _notify(self, host: HostIncarnation) -> None:
        started_at = self._clock.now()
        try:
            while self._is_behind(host) and host in self._current_hosts:
                if not await self._notify_next(host):
                    await self._clock.sleep(NOTIFY_RETRY_DELAY_S)
        finally:
            self._notifying.discard(host)
        self._log_late(host, self._clock.now() - started_at)

    async def _notify_next(self, host: HostIncarnation) -> bool:
        confirmed = self._confirmed_by_host.get(host, 0)
        batch = [update for update in self._updates if update.number > confirmed][
            :MAX_TARGETS_PER_MESSAGE
        ]
        request = PassOnRequest(tuple(update.announcement for update in batch))
        method = SHARE_LEAVING if host.is_control else PASS_ON
        answer = await self._caller.call(host.links, method, request, NOTIFY_TIMEOUT_S)
        if isinstance(answer, Err):
            return False
        self._confirmed_by_host[host] = batch[-1].number
        self._observe_notified(self._clock.now() - batch[0].at)
        return True

    def _log_late(self, host: HostIncarnation, seconds: float) -> None:
        if seconds <= LATE_NOTIFICATION_S:
            return
        outcome = "gave_up" if self._is_behind(host) else "told"
        self._late.log("WARNING", "leaving_told_late", outcome, peer=host.links, seconds=seconds)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _incarnation_of(announcement: Announcement) -> TargetIncarnation:
    return TargetIncarnation(announcement.target, announcement.incarnation)
