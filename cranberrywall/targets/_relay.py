"""Take targets' announcements in at control hosts, and pass them on to the entry hosts.

Where targets cannot reach entry hosts, they announce themselves to control.
"""

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any, NamedTuple

from result import Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Method, Peer, Server
from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Clock
from cranberrywall.targets._leaving_updates import LEAVING_KEPT_S, HostIncarnation, LeavingUpdates
from cranberrywall.targets._targets import Change, Targets, group_of
from cranberrywall.targets.messages import (
    LEAVING,
    PASS_ON,
    SHARE_LEAVING,
    Announcement,
    LeavingRequest,
    PassOnReply,
    PassOnRequest,
    TargetIncarnation,
)

PASS_ON_TIMEOUT_S = 0.4
"""An entry host has this long to take a change in, in seconds: targets wait a second."""

ASK_TIMEOUT_S = 0.3
"""A control host has this long to say which targets leave, in seconds: requests wait for it."""

MOST_TOLD = 12
"""Entry hosts that are told of a change directly; they push it on to all others."""

HOLDERS = 2
"""Other control hosts that must hold it before it is acknowledged that a target leaves.

With this one, more than may be lost at once; each goes on to tell the entry hosts."""

LEAST_TOLD = 3
"""Entry hosts that must know it where too few control hosts can be reached, to hold it for them."""


def _misfit(message: str) -> Refusal:
    remedy = "announce a service of the configuration, with all fields of its kind"
    return Refusal(ErrorKind.BAD_REQUEST, message, "service", remedy)


def register_relay(server: Server, publish: Callable[[Announcement], None]) -> None:
    """Take in at an entry host what control hosts pass on."""

    async def answer(request: PassOnRequest, peer: Peer) -> Result[PassOnReply, Refusal]:
        for announcement in request.announcements:
            publish(announcement)
        return Ok(PassOnReply())

    server.register(PASS_ON, answer)


async def fetch_leaving_targets(
    controls: Sequence[str], caller: Caller, publish: Callable[[Announcement], None]
) -> None:
    """Ask control hosts which targets leave, all at once, and take in the first answer."""
    calls = [caller.call(links, LEAVING, LeavingRequest(), ASK_TIMEOUT_S) for links in controls]
    for call in asyncio.as_completed(calls):
        answer = await call
        if isinstance(answer, Ok):
            for announcement in answer.ok_value.announcements:
                publish(announcement)
            return


KindByName = Callable[[], Mapping[str, str] | None]
"""Return the kind of each model's or service's targets; ``None`` before any configuration."""


class _Holders(NamedTuple):
    """Count who holds that a target leaves.

    ``needed`` control hosts besides this one are asked for. ``is_over`` says that all that were
    asked have answered or failed.
    """

    controls: int
    entries: int
    needed: int
    asked: int
    is_over: bool

    @property
    def are_enough(self) -> bool:
        """Say whether it may be acknowledged."""
        if self.entries and self.controls >= self.needed:
            return True
        return self.is_over and 0 < min(LEAST_TOLD, self.asked) <= self.entries


class TargetRelay:
    """Hold what targets announced to this control host, and tell the entry hosts."""

    def __init__(
        self,
        entries: Callable[[], Sequence[HostIncarnation]],
        caller: Caller,
        clock: Clock,
        kind_by_name: KindByName = lambda: None,
        others: Callable[[], Sequence[HostIncarnation]] = lambda: (),
        tells: Callable[[str], bool] = lambda links: True,
    ) -> None:
        """``entries`` gives the entry hosts known, ``others`` the other control hosts.

        Those entry hosts fall to this one for whose address ``tells`` says so.
        """
        self._kind_by_name = kind_by_name
        self._targets = Targets()
        self._entries = entries
        self._others = others
        self._tells = tells
        self._caller = caller
        self._clock = clock
        self._turn = 0
        self._acknowledged: dict[TargetIncarnation, float] = {}
        # All that is known here goes to the entry hosts that fall to this one; what targets said
        # to this one goes to the other control hosts.
        self._news = LeavingUpdates(self._entries_of_mine, caller, clock)
        self._own_news = LeavingUpdates(self._holders_to_be, caller, clock)
        self._tasks: set[asyncio.Task[bool]] = set()

    def register(self, server: Server) -> None:
        """Take in what other control hosts were told by targets that leave, and tell of it."""
        server.register(SHARE_LEAVING, self._take_share)
        server.register(LEAVING, self._answer_leaving)

    def export(self, metrics: Metrics) -> None:
        """Let ``metrics`` show how soon entry hosts know which targets leave."""
        self._news.export(metrics)

    def unnotified(self) -> list[str]:
        """Return the addresses of the entry hosts that are still to hear that a target leaves."""
        hosts = {*self._news.unnotified(), *self._own_news.unnotified()}
        return sorted({run.links for run in hosts if not run.is_control})

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

        That a target leaves is acknowledged only once it is held by more hosts than may be lost
        at once: the target goes away some time after the acknowledgement, and requests that were
        still sent to it would be lost. A renewal asks for no such care.
        """
        now = self._clock.now()
        self._targets.expire(now)
        before = self._targets.by_id.get(announcement.target)
        change = self._targets.apply(announcement, now)
        if announcement.leaving and change is not Change.FULL:
            return await self._take_leaving(announcement, change)
        if change is Change.STALE:
            return True
        if change is Change.RENEWED:
            self._start(self._tell_one(announcement))
            return True
        self._note(announcement, change, before is not None)
        await self._tell_some(announcement)
        return True

    async def _take_leaving(self, announcement: Announcement, change: Change) -> bool:
        # A target that got no acknowledgement says it again, as one that is acknowledged does
        # with each of its renewals. Neither is news by its order, and only the first is to be told.
        start = TargetIncarnation(announcement.target, announcement.incarnation)
        if start in self._acknowledged:
            return True
        if change is not Change.STALE:
            self._note(announcement, change, was_known=True)
        began_at = self._clock.now()
        self._news.add(announcement, began_at)
        self._own_news.add(announcement, began_at)
        holders = await self._hand_to_holders(announcement)
        log_event(
            "INFO",
            "leaving_told",
            target=announcement.target,
            counter=announcement.counter,
            acknowledged=holders.are_enough,
            controls=holders.controls,
            hosts=holders.entries,
            seconds=self._clock.now() - began_at,
        )
        if holders.are_enough:
            self._acknowledge(start, self._clock.now())
        return holders.are_enough

    def _acknowledge(self, start: TargetIncarnation, now: float) -> None:
        self._acknowledged[start] = now
        while next(iter(self._acknowledged.values())) < now - LEAVING_KEPT_S:
            del self._acknowledged[next(iter(self._acknowledged))]

    def _note(self, announcement: Announcement, change: Change, was_known: bool) -> None:
        log_event(
            "INFO",
            "target_announced",
            target=announcement.target,
            service=announcement.name,
            change=change,
            counter=announcement.counter,
            was_known=was_known,
        )

    def find(self, target_id: str) -> Announcement | None:
        """Return what a target that is not leaving last said."""
        target = self._targets.by_id.get(target_id)
        return target.announcement if target is not None else None

    async def _take_share(self, request: PassOnRequest, peer: Peer) -> Result[PassOnReply, Refusal]:
        now = self._clock.now()
        for announcement in request.announcements:
            self._targets.apply(announcement, now)
            self._news.add(announcement, now)
        return Ok(PassOnReply())

    async def _answer_leaving(
        self, request: LeavingRequest, peer: Peer
    ) -> Result[PassOnRequest, Refusal]:
        return Ok(PassOnRequest(self._news.newest()))

    def _entries_of_mine(self) -> list[HostIncarnation]:
        return [run for run in self._entries() if self._tells(run.links)]

    def _holders_to_be(self) -> list[HostIncarnation]:
        """Return the other control hosts, and all entry hosts while one of these is not told.

        The control hosts that would tell an entry host may all be cut off from this one, and not
        from the entry host.
        """
        controls = list(self._others())
        if any(run.is_control for run in self._own_news.unnotified()):
            return [*controls, *self._entries()]
        return controls

    async def _hand_to_holders(self, announcement: Announcement) -> _Holders:
        """Let other control hosts hold it, and some entry hosts; return once enough do."""
        request = PassOnRequest((announcement,))
        others = self._others()
        shares = {self._start(self._call(one.links, SHARE_LEAVING, request)) for one in others}
        tellings = {self._start(self._call(links, PASS_ON, request)) for links in self._some()}
        holders = _Holders(0, 0, min(HOLDERS, len(others)), len(tellings), False)
        left = shares | tellings
        while left and not holders.are_enough:
            done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
            holders = holders._replace(
                controls=_count(shares), entries=_count(tellings), is_over=not left
            )
        return holders

    async def _tell_one(self, announcement: Announcement) -> bool:
        entries = self._entries()
        if not entries:
            return False
        self._turn += 1
        links = entries[self._turn % len(entries)].links
        return await self._call(links, PASS_ON, PassOnRequest((announcement,)))

    async def _tell_some(self, announcement: Announcement) -> bool:
        """Tell some entry hosts, and return once one has it, or none answers."""
        request = PassOnRequest((announcement,))
        left = {self._start(self._call(links, PASS_ON, request)) for links in self._some()}
        while left:
            done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
            if any(task.result() for task in done):
                return True
        return False

    def _some(self) -> list[str]:
        entries = [run.links for run in self._entries()]
        self._turn += 1
        start = self._turn % len(entries) if entries else 0
        return [*entries[start:], *entries[:start]][:MOST_TOLD]

    async def _call(
        self, links: str, method: Method[PassOnRequest, PassOnReply], request: PassOnRequest
    ) -> bool:
        answer = await self._caller.call(links, method, request, PASS_ON_TIMEOUT_S)
        return isinstance(answer, Ok)

    def _start(self, work: Coroutine[Any, Any, bool]) -> asyncio.Task[bool]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _count(tasks: set[asyncio.Task[bool]]) -> int:
    return sum(task.done() and not task.cancelled() and task.result() for task in tasks)
