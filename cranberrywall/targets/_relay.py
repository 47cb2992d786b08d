"""Take targets' announcements in at control hosts, and pass them on to the entry hosts.

Where targets cannot reach entry hosts, they announce themselves to control.
"""

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any, NamedTuple

from result import Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Method, Peer, Server
from cranberrywall.observability import log_event
from cranberrywall.runtime import Clock
from cranberrywall.targets._targets import Change, Targets, group_of
from cranberrywall.targets.messages import Announcement

PASS_ON_TIMEOUT_S = 0.4
"""An entry host has this long to take a change in, in seconds: targets wait a second."""

MOST_TOLD = 12
"""Entry hosts that are told of a change directly; they push it on to all others."""


def _misfit(message: str) -> Refusal:
    remedy = "announce a service of the configuration, with all fields of its kind"
    return Refusal(ErrorKind.BAD_REQUEST, message, "service", remedy)


class PassOnRequest(NamedTuple):
    """Carry what targets said to a control host, each at first hand."""

    announcements: tuple[Announcement, ...]


class PassOnReply(NamedTuple):
    """Say that the announcements hold at the entry host now."""


PASS_ON = Method("targets.pass_on", PassOnRequest, PassOnReply)


def register_relay(server: Server, publish: Callable[[Announcement], None]) -> None:
    """Take in at an entry host what control hosts pass on."""

    async def answer(request: PassOnRequest, peer: Peer) -> Result[PassOnReply, Refusal]:
        for announcement in request.announcements:
            publish(announcement)
        return Ok(PassOnReply())

    server.register(PASS_ON, answer)


KindByName = Callable[[], Mapping[str, str] | None]
"""Return the kind of each model's or service's targets; ``None`` before any configuration."""


class TargetRelay:
    """Hold what targets announced to this control host, and tell the entry hosts."""

    def __init__(
        self,
        entries: Callable[[], Sequence[str]],
        caller: Caller,
        clock: Clock,
        kind_by_name: KindByName = lambda: None,
    ) -> None:
        """``entries`` gives the stream addresses of the entry hosts known."""
        self._kind_by_name = kind_by_name
        self._targets = Targets()
        self._entries = entries
        self._caller = caller
        self._clock = clock
        self._turn = 0
        self._untold_by_id: dict[str, Announcement] = {}
        self._tasks: set[asyncio.Task[bool]] = set()

    def check(self, announcement: Announcement) -> Refusal | None:
        """Return why an announcement names no target to use; ``None`` where it does.

        Others than targets may write announcements, under the id of a target that is well.
        Taken in, one that names another service would take the target away from its own. What
        was known of a target before goes on to hold, also where its service was removed since.
        """
        known = self._targets.by_id.get(announcement.target)
        before = known.announcement if known is not None else None
        if before is not None and group_of(before) == group_of(announcement):
            return None
        kind_by_name = self._kind_by_name()
        if kind_by_name is None:
            return None
        if kind_by_name.get(announcement.name) != announcement.kind:
            return _misfit(f"no {announcement.kind} {announcement.name!r} is configured")
        if before is not None and kind_by_name.get(before.name) == before.kind:
            return _misfit(f"the target announced {before.name} before")
        return None

    async def announce(self, announcement: Announcement) -> bool:
        """Take in an announcement, and return whether it may be acknowledged.

        That a target leaves is acknowledged only once an entry host knows it: the target
        goes away some time after the acknowledgement, and requests that were still sent to
        it would be lost. A renewal asks for no such care.
        """
        now = self._clock.now()
        for gone in self._targets.expire(now):
            self._untold_by_id.pop(gone, None)
        before = self._targets.by_id.get(announcement.target)
        change = self._targets.apply(announcement, now)
        if change is Change.STALE:
            untold = self._untold_by_id.get(announcement.target)
            return untold is None or await self._tell_leaving(untold)
        if change is Change.RENEWED:
            self._start(self._tell_one(announcement))
            return True
        log_event(
            "INFO",
            "target_announced",
            target=announcement.target,
            service=announcement.name,
            change=change,
            counter=announcement.counter,
            was_known=before is not None,
        )
        if announcement.leaving:
            return await self._tell_leaving(announcement)
        await self._tell_all(announcement)
        return True

    def find(self, target_id: str) -> Announcement | None:
        """Return what a target that is not leaving last said."""
        target = self._targets.by_id.get(target_id)
        return target.announcement if target is not None else None

    async def _tell_leaving(self, announcement: Announcement) -> bool:
        # A target that got no acknowledgement says it again. By its order that is no news
        # here, but the entry hosts still have to hear it.
        self._untold_by_id[announcement.target] = announcement
        began_at = self._clock.now()
        told = await self._tell_all(announcement)
        log_event(
            "INFO",
            "leaving_told",
            target=announcement.target,
            counter=announcement.counter,
            told=told,
            hosts=len(self._entries()),
            seconds=self._clock.now() - began_at,
        )
        if told:
            self._untold_by_id.pop(announcement.target, None)
        return told

    async def _tell_one(self, announcement: Announcement) -> bool:
        entries = self._entries()
        if not entries:
            return False
        self._turn += 1
        return await self._tell(entries[self._turn % len(entries)], announcement)

    async def _tell_all(self, announcement: Announcement) -> bool:
        """Tell many entry hosts, and return once one has it, or none answers."""
        entries = self._entries()
        self._turn += 1
        start = self._turn % len(entries) if entries else 0
        chosen = [*entries[start:], *entries[:start]][:MOST_TOLD]
        left = {self._start(self._tell(links, announcement)) for links in chosen}
        while left:
            done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
            if any(task.result() for task in done):
                return True
        return False

    async def _tell(self, links: str, announcement: Announcement) -> bool:
        request = PassOnRequest((announcement,))
        answer = await self._caller.call(links, PASS_ON, request, PASS_ON_TIMEOUT_S)
        return isinstance(answer, Ok)

    def _start(self, work: Coroutine[Any, Any, bool]) -> asyncio.Task[bool]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
