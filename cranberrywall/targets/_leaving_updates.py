"""Tell hosts which targets leave, until each of them has it."""

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

TELL_TIMEOUT_S = 0.5
TELL_AGAIN_S = 0.25
"""A host that doesn't answer is told again after this, in seconds."""

LOOK_EVERY_S = 0.25
"""Hosts that are new, or came up anew, are looked for this often, in seconds."""

LEAVING_KEPT_S = 600.0
"""What a target said is told to hosts that come for so long, in seconds.

A host that was cut off for longer forgets the target by itself, as it hears no renewal of it."""

MOST_AT_ONCE = 200
"""Targets that are named in one message at most; each takes about 150 bytes."""

LATE_S = 1.0
"""A host that could be told only after this is logged, in seconds."""


class HostIncarnation(NamedTuple):
    """Name one run of an entry or control host by its streams' address and its incarnation."""

    links: str
    incarnation: int
    is_control: bool = False


class _News(NamedTuple):
    number: int
    announcement: Announcement
    at: float


class LeavingUpdates:
    """Hold what targets said, numbered, and up to which number each host has it.

    What was acknowledged to a target must be known at every host that may send to it: the host
    that heard it first can be lost before it passes it on, and one that is cut off, or not there
    yet, has nobody else to ask.
    """

    def __init__(
        self, hosts: Callable[[], Sequence[HostIncarnation]], caller: Caller, clock: Clock
    ) -> None:
        """``hosts`` gives the hosts to tell, as of now."""
        self._hosts = hosts
        self._caller = caller
        self._clock = clock
        self._late = EventLimiter(clock.now)
        self._news: deque[_News] = deque()
        self._known_starts: set[TargetIncarnation] = set()
        self._number = 0
        self._told_by_run: dict[HostIncarnation, int] = {}
        self._listed: set[HostIncarnation] = set()
        self._telling: set[HostIncarnation] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_looking = False
        self._observe_told: Callable[[float], None] = lambda seconds: None

    def export(self, metrics: Metrics) -> None:
        """Let ``metrics`` show how soon hosts know that a target leaves, and how many do not."""
        told = metrics.histogram(
            "leaving_told_seconds", "Time until an entry host was told that targets leave."
        )
        self._observe_told = told.labels().observe
        metrics.gauge_of(
            "leaving_untold_hosts",
            "Entry hosts that are being told that targets leave.",
            lambda: len(self._telling),
        )

    def add(self, announcement: Announcement, now: float) -> None:
        """Begin to tell that a target leaves, once for each of its starts."""
        start = _start_of(announcement)
        if start in self._known_starts:
            return
        self._number += 1
        self._known_starts.add(start)
        self._news.append(_News(self._number, announcement, now))
        self._tell_all()
        if not self._is_looking:
            self._is_looking = True
            self._start(self._look_for_hosts())

    def newest(self) -> tuple[Announcement, ...]:
        """Return what was said last, as much as one message holds."""
        return tuple(one.announcement for one in self._news)[-MOST_AT_ONCE:]

    def unnotified(self) -> list[HostIncarnation]:
        """Return the hosts that are being told now."""
        return sorted(self._telling)

    def _tell_all(self) -> None:
        self._listed = set(self._hosts())
        for run in self._listed:
            if run not in self._telling and self._missing(run):
                self._telling.add(run)
                self._start(self._tell(run))

    def _missing(self, run: HostIncarnation) -> bool:
        return bool(self._news) and self._told_by_run.get(run, 0) < self._news[-1].number

    async def _look_for_hosts(self) -> None:
        while self._news:
            await self._clock.sleep(LOOK_EVERY_S)
            self._forget_old(self._clock.now())
            self._tell_all()
        self._is_looking = False

    def _forget_old(self, now: float) -> None:
        while self._news and now - self._news[0].at >= LEAVING_KEPT_S:
            self._known_starts.discard(_start_of(self._news.popleft().announcement))
        self._told_by_run = {
            run: number for run, number in self._told_by_run.items() if run in self._listed
        }

    async def _tell(self, run: HostIncarnation) -> None:
        began_at = self._clock.now()
        try:
            while self._missing(run) and run in self._listed:
                if not await self._tell_next(run):
                    await self._clock.sleep(TELL_AGAIN_S)
        finally:
            self._telling.discard(run)
        self._note_late(run, self._clock.now() - began_at)

    async def _tell_next(self, run: HostIncarnation) -> bool:
        told = self._told_by_run.get(run, 0)
        batch = [one for one in self._news if one.number > told][:MOST_AT_ONCE]
        request = PassOnRequest(tuple(one.announcement for one in batch))
        method = SHARE_LEAVING if run.is_control else PASS_ON
        answer = await self._caller.call(run.links, method, request, TELL_TIMEOUT_S)
        if isinstance(answer, Err):
            return False
        self._told_by_run[run] = batch[-1].number
        self._observe_told(self._clock.now() - batch[0].at)
        return True

    def _note_late(self, run: HostIncarnation, seconds: float) -> None:
        if seconds <= LATE_S:
            return
        outcome = "gave_up" if self._missing(run) else "told"
        self._late.log("WARNING", "leaving_told_late", outcome, peer=run.links, seconds=seconds)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _start_of(announcement: Announcement) -> TargetIncarnation:
    return TargetIncarnation(announcement.target, announcement.incarnation)
