"""Tell a target that ended from one whose connections broke.

A lost connection says little: it may have been reset, an answer may have been broken off by a
target that lives on, or the target may have left in good order. A target has ended where nobody
takes connections at its address any more, or where a later start announced itself there.
"""

import asyncio
from collections.abc import Callable, Coroutine
from enum import StrEnum
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from cranberrywall.observability import log_event
from cranberrywall.quarantine._runs import REMEMBERED_S
from cranberrywall.runtime import Clock, Network
from cranberrywall.targets import Announcement, Change, TargetIncarnation, Targets

LOOK_AFTER_S = (0.0, 0.03, 0.2, 1.0)
"""When the address of a target that lost connections is tried, in seconds after the one before.

A process that ends closes its connections and its listener within milliseconds, in any order; the
later looks are for one that takes longer. Platforms bring a target back in seconds, and then its
next announcement tells."""

CONNECT_S = 0.6
"""A look gives up after so long, in seconds: a silent address proves nothing."""


class Word(StrEnum):
    """Say by what a target's end is known."""

    REFUSED = "refused"
    RESTARTED = "restarted"


class Ending(NamedTuple):
    """Report that a target ended; ``at`` is when its last connection here was lost."""

    start: TargetIncarnation
    at: float
    word: Word


class _Lost(NamedTuple):
    url: str
    at: float


OnEnding = Callable[[Ending, float], None]


class TargetEndings:
    """Look into the targets that lost connections, and report those that ended."""

    def __init__(
        self,
        targets: Targets,
        network: Network,
        clock: Clock,
        is_at_work: Callable[[TargetIncarnation], bool],
        on_ending: OnEnding,
    ) -> None:
        """``is_at_work`` says whether a run of this host goes on at a target."""
        self._is_at_work = is_at_work
        self._targets = targets
        self._network = network
        self._clock = clock
        self._on_ending = on_ending
        self._lost_by_incarnation: dict[TargetIncarnation, _Lost] = {}
        self._looked_at: set[TargetIncarnation] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        targets.subscribe(self._hear)

    def lost_connection(self, start: TargetIncarnation, url: str, now: float) -> None:
        """Look into a target that lost a connection; once for all that break together."""
        self._forget_old(now)
        if not self._is_in_use(start):
            return
        self._lost_by_incarnation[start] = _Lost(url, now)
        if start not in self._looked_at:
            self._looked_at.add(start)
            self._spawn(self._look(start, url))

    def close(self) -> None:
        """Look no more."""
        for task in self._tasks:
            task.cancel()

    async def _look(self, start: TargetIncarnation, url: str) -> None:
        try:
            for pause_s in LOOK_AFTER_S:
                await self._clock.sleep(pause_s)
                is_refused = await self._is_refused(url)
                if start not in self._lost_by_incarnation:
                    return
                # A target that has too many connections may refuse one and go on with the rest.
                # One that ended leaves no run going on, or only some whose loss is on its way.
                if is_refused and not self._is_at_work(start):
                    self._report(start, Word.REFUSED)
                    return
        finally:
            self._looked_at.discard(start)

    async def _is_refused(self, url: str) -> bool:
        try:
            _, writer = await self._network.dial(_address_of(url), CONNECT_S)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError) as error:
            log_event("INFO", "target_out_of_reach", url=url, reason=str(error))
            return False
        writer.close()
        return False

    def _hear(self, announcement: Announcement, change: Change, now: float) -> None:
        """Learn from an announcement that another start stands where a target was."""
        if announcement.leaving:
            self._lost_by_incarnation.pop(_start_of(announcement), None)
            return
        if change not in (Change.JOINED, Change.CHANGED):
            return
        for start, lost in list(self._lost_by_incarnation.items()):
            is_later_start = (
                start.target == announcement.target and start.incarnation < announcement.incarnation
            )
            takes_address = start.target != announcement.target and lost.url == announcement.url
            if now - lost.at < REMEMBERED_S and (is_later_start or takes_address):
                self._report(start, Word.RESTARTED)

    def _report(self, start: TargetIncarnation, word: Word) -> None:
        lost = self._lost_by_incarnation.pop(start)
        self._on_ending(Ending(start, lost.at, word), self._clock.now())

    def _is_in_use(self, start: TargetIncarnation) -> bool:
        # One that left in good order, or said that it will, ends its last connections so.
        known = self._targets.by_id.get(start.target)
        return known is not None and known.announcement.incarnation == start.incarnation

    def _forget_old(self, now: float) -> None:
        old = [
            start
            for start, lost in self._lost_by_incarnation.items()
            if now - lost.at > REMEMBERED_S
        ]
        for start in old:
            del self._lost_by_incarnation[start]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_done)

    def _note_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event("ERROR", "target_look_failed", task.exception())


def _start_of(announcement: Announcement) -> TargetIncarnation:
    return TargetIncarnation(announcement.target, announcement.incarnation)


def _address_of(url: str) -> str:
    """Return where a URL's server listens.

    >>> _address_of("http://10.0.0.1:8789"), _address_of("https://10.0.0.1")
    ('10.0.0.1:8789', '10.0.0.1:443')
    """
    parts = urlsplit(url)
    return f"{parts.hostname}:{parts.port or (443 if parts.scheme == 'https' else 80)}"
