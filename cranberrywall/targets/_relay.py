"""Relay of targets' announcements, from control hosts to the entry hosts.

Targets that cannot reach entry hosts announce themselves to control hosts.
"""

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from heapq import nsmallest
from typing import Any, NamedTuple

import xxhash
from result import Err, Ok, Result

from cranberrywall.errors import ErrorKind, Refusal
from cranberrywall.links import Caller, Method, Peer, Server
from cranberrywall.observability import Metrics, log_event
from cranberrywall.runtime import Clock
from cranberrywall.targets._leaving_updates import (
    LEAVING_RETENTION_S,
    MAX_TARGETS_PER_MESSAGE,
    HostIncarnation,
    LeavingUpdates,
)
from cranberrywall.targets._targets import TTL_S, Change, Targets, group_of
from cranberrywall.targets.messages import (
    COLD,
    KNOWN,
    LEAVING,
    PASS_ON,
    SHARE_LEAVING,
    Announcement,
    ColdNotice,
    KnownRequest,
    LeavingRequest,
    PassOnReply,
    PassOnRequest,
    TargetIncarnation,
)

PASS_ON_TIMEOUT_S = 0.4
"""Time that an entry host has to apply a change, in seconds: targets wait one second for an
answer."""

FETCH_TIMEOUT_S = 0.3
"""Time that a control host has to return the leaving targets, in seconds: requests wait for it."""

MAX_DIRECT_NOTIFICATIONS = 12
"""Number of entry hosts that are notified of a change directly; they forward it to all others."""

MAX_RENEWAL_CALLS = 4
"""Maximum number of entry hosts to which a renewal is sent until one confirms it."""

MAX_COLD_NOTIFICATIONS = 3
"""Number of entry hosts that are notified of a cold target; they gossip it to all others."""

MIN_CONTROL_CONFIRMATIONS = 2
"""Number of other control hosts that must confirm a leaving target before its acknowledgement.

Together with this host, they are more hosts than may be lost at the same time. Each of them
notifies the entry hosts.
"""

MIN_ENTRY_CONFIRMATIONS = 3
"""Number of entry hosts that must confirm it if too few control hosts can be reached."""


def _mismatch_refusal(message: str) -> Refusal:
    remedy = "announce a service of the configuration, with all fields of its kind"
    return Refusal(ErrorKind.BAD_REQUEST, message, "service", remedy)


def register_relay(server: Server, publish: Callable[[Announcement], None]) -> None:
    """Register the handler by which an entry host receives announcements from control hosts."""

    async def answer(request: PassOnRequest, peer: Peer) -> Result[PassOnReply, Refusal]:
        for announcement in request.announcements:
            publish(announcement)
        return Ok(PassOnReply())

    server.register(PASS_ON, answer)


def register_cold_notices(server: Server, receive: Callable[[ColdNotice], None]) -> None:
    """Register the handler by which an entry host receives cold notices from control hosts."""

    async def answer(notice: ColdNotice, peer: Peer) -> Result[PassOnReply, Refusal]:
        receive(notice)
        return Ok(PassOnReply())

    server.register(COLD, answer)


async def fetch_leaving_targets(
    controls: Sequence[str], caller: Caller, publish: Callable[[Announcement], None]
) -> None:
    """Request the leaving targets from all control hosts and apply the first answer."""
    calls = [
        caller.call(address, LEAVING, LeavingRequest(), FETCH_TIMEOUT_S) for address in controls
    ]
    for call in asyncio.as_completed(calls):
        answer = await call
        if isinstance(answer, Ok):
            for announcement in answer.ok_value.announcements:
                publish(announcement)
            return


async def fetch_known_targets(
    controls: Sequence[str],
    caller: Caller,
    apply: Callable[[Announcement], object],
    timeout_s: float,
) -> None:
    """Request the targets that control hosts know from all of these, and apply the answers.

    Each target renews its announcement at one control host, so each of them knows only some.
    """

    async def fetch_from(address: str) -> None:
        after = ""
        while True:
            answer = await caller.call(address, KNOWN, KnownRequest(after), FETCH_TIMEOUT_S)
            if isinstance(answer, Err):
                return
            for announcement in answer.ok_value.announcements:
                apply(announcement)
            if not answer.ok_value.announcements:
                return
            after = answer.ok_value.announcements[-1].target

    tasks = [asyncio.create_task(fetch_from(address)) for address in controls]
    if not tasks:
        return
    _, pending = await asyncio.wait(tasks, timeout=timeout_s)
    for task in pending:
        task.cancel()


KindByName = Callable[[], Mapping[str, str] | None]
"""Return the kind of each model's or service's targets; ``None`` before the first configuration."""


class _Confirmations(NamedTuple):
    """Number of hosts that confirmed that they have the announcement of a leaving target.

    ``needed`` is the required number of control hosts besides this one, ``asked`` the number of
    entry hosts that were called. ``is_over`` is true once all calls have succeeded or failed.
    """

    controls: int
    entries: int
    needed: int
    asked: int
    is_over: bool

    @property
    def are_enough(self) -> bool:
        """Return whether the target may get its acknowledgement."""
        if self.entries and self.controls >= self.needed:
            return True
        return self.is_over and 0 < min(MIN_ENTRY_CONFIRMATIONS, self.asked) <= self.entries


class TargetRelay:
    """Store announcements that this control host received, and notify the entry hosts of them."""

    def __init__(
        self,
        entries: Callable[[], Sequence[HostIncarnation]],
        caller: Caller,
        clock: Clock,
        kind_by_name: KindByName = lambda: None,
        others: Callable[[], Sequence[HostIncarnation]] = lambda: (),
        is_assigned: Callable[[str], bool] = lambda address: True,
    ) -> None:
        """``entries`` returns the current entry hosts, ``others`` the other current control hosts.

        ``is_assigned`` returns whether this host is responsible for the entry host at an address.
        """
        self._kind_by_name = kind_by_name
        self._targets = Targets()
        self._entries = entries
        self._others = others
        self._is_assigned = is_assigned
        self._caller = caller
        self._clock = clock
        self._rotation = 0
        self._acknowledged: dict[TargetIncarnation, float] = {}
        # All leaving targets that this host has are sent to the entry hosts assigned to it. Those
        # that announced themselves to this host directly are also sent to the other control hosts.
        self._updates = LeavingUpdates(self._assigned_entries, caller, clock)
        self._own_updates = LeavingUpdates(self._control_update_hosts, caller, clock)
        self._tasks: set[asyncio.Task[bool]] = set()

    def register(self, server: Server) -> None:
        """Register the handlers by which control hosts exchange the leaving targets."""
        server.register(SHARE_LEAVING, self._handle_share)
        server.register(LEAVING, self._handle_leaving_request)
        server.register(KNOWN, self._handle_known_request)

    def export(self, metrics: Metrics) -> None:
        """Register metrics of the time until entry hosts are notified of leaving targets."""
        self._updates.export(metrics)

    def unnotified(self) -> list[str]:
        """Return the addresses of entry hosts that are still being notified of leaving targets."""
        hosts = {*self._updates.unnotified(), *self._own_updates.unnotified()}
        return sorted({host.links for host in hosts if not host.is_control})

    def check(self, announcement: Announcement) -> Refusal | None:
        """Return why an announcement names no target to use; ``None`` if it names one.

        A process other than the target may send an announcement under the id of a working target.
        If such an announcement named another service, applying it would remove the target from its
        own service. A target that was accepted before stays valid, even if its service has been
        removed from the configuration since.
        """
        accepted = self._targets.by_id.get(announcement.target)
        before = accepted.announcement if accepted is not None else None
        if before is not None and group_of(before) == group_of(announcement):
            return None
        kind_by_name = self._kind_by_name()
        if kind_by_name is None:
            return None
        if kind_by_name.get(announcement.name) != announcement.kind:
            return _mismatch_refusal(f"no {announcement.kind} {announcement.name!r} is configured")
        if before is not None and kind_by_name.get(before.name) == before.kind:
            return _mismatch_refusal(f"the target already announced the service {before.name}")
        return None

    async def announce(self, announcement: Announcement) -> bool:
        """Apply an announcement, and return whether it may be acknowledged.

        A leaving target gets its acknowledgement only once more hosts have the announcement than
        may be lost at the same time. The target stops some time after the acknowledgement, and
        requests that are still sent to it then would be lost. A renewal needs no confirmation.
        """
        now = self._clock.now()
        self._targets.expire(now)
        before = self._targets.by_id.get(announcement.target)
        change = self._targets.apply(announcement, now)
        if announcement.leaving and change is not Change.FULL:
            return await self._handle_leaving(announcement, change)
        if change is Change.STALE:
            return True
        if change is Change.RENEWED:
            self._spawn(self._notify_one(announcement))
            return True
        self._log_announcement(announcement, change, before is not None)
        await self._notify_some(announcement)
        return True

    def announce_cold(self, announcement: Announcement, left_s: float) -> None:
        """Notify entry hosts that a target is cold for ``left_s`` more seconds."""
        notice = ColdNotice(
            announcement.target,
            announcement.incarnation,
            announcement.counter,
            left_s,
            self._clock.wall(),
        )
        for address in self._next_entries()[:MAX_COLD_NOTIFICATIONS]:
            self._spawn(self._send_cold(address, notice))

    async def _send_cold(self, address: str, notice: ColdNotice) -> bool:
        answer = await self._caller.call(address, COLD, notice, PASS_ON_TIMEOUT_S)
        return isinstance(answer, Ok)

    async def _handle_leaving(self, announcement: Announcement, change: Change) -> bool:
        # A target that got no acknowledgement repeats the announcement; one that got it repeats it
        # with each renewal. By its order, neither is new, and hosts are notified of the first one
        # only.
        incarnation = TargetIncarnation(announcement.target, announcement.incarnation)
        if incarnation in self._acknowledged:
            return True
        if change is not Change.STALE:
            self._log_announcement(announcement, change, was_known=True)
        started_at = self._clock.now()
        self._updates.add(announcement, started_at)
        self._own_updates.add(announcement, started_at)
        confirmations = await self._replicate(announcement)
        log_event(
            "INFO",
            "leaving_told",
            target=announcement.target,
            counter=announcement.counter,
            acknowledged=confirmations.are_enough,
            controls=confirmations.controls,
            hosts=confirmations.entries,
            seconds=self._clock.now() - started_at,
        )
        if confirmations.are_enough:
            self._acknowledge(incarnation, self._clock.now())
        return confirmations.are_enough

    def _acknowledge(self, incarnation: TargetIncarnation, now: float) -> None:
        self._acknowledged[incarnation] = now
        while next(iter(self._acknowledged.values())) < now - LEAVING_RETENTION_S:
            del self._acknowledged[next(iter(self._acknowledged))]

    def _log_announcement(
        self, announcement: Announcement, change: Change, was_known: bool
    ) -> None:
        log_event(
            "INFO",
            "target_announced",
            target=announcement.target,
            service=announcement.name,
            versions=",".join(announcement.versions),
            change=change,
            counter=announcement.counter,
            was_known=was_known,
        )

    def find(self, target_id: str) -> Announcement | None:
        """Return the last announcement of a target that is not leaving."""
        target = self._targets.by_id.get(target_id)
        return target.announcement if target is not None else None

    async def _handle_share(
        self, request: PassOnRequest, peer: Peer
    ) -> Result[PassOnReply, Refusal]:
        now = self._clock.now()
        for announcement in request.announcements:
            self._targets.apply(announcement, now)
            self._updates.add(announcement, now)
        return Ok(PassOnReply())

    async def _handle_leaving_request(
        self, request: LeavingRequest, peer: Peer
    ) -> Result[PassOnRequest, Refusal]:
        return Ok(PassOnRequest(self._updates.newest()))

    async def _handle_known_request(
        self, request: KnownRequest, peer: Peer
    ) -> Result[PassOnRequest, Refusal]:
        now = self._clock.now()
        known = (
            target.announcement
            for name, target in self._targets.by_id.items()
            if name > request.after and now - target.renewed_at <= TTL_S
        )
        page = nsmallest(MAX_TARGETS_PER_MESSAGE, known, key=lambda one: one.target)
        return Ok(PassOnRequest(tuple(page)))

    def _assigned_entries(self) -> list[HostIncarnation]:
        return [host for host in self._entries() if self._is_assigned(host.links)]

    def _control_update_hosts(self) -> list[HostIncarnation]:
        """Return the other control hosts, plus all entry hosts while a control host is missing.

        The control hosts that would notify an entry host may all be partitioned from this one, but
        not from that entry host.
        """
        controls = list(self._others())
        if any(host.is_control for host in self._own_updates.unnotified()):
            return [*controls, *self._entries()]
        return controls

    async def _replicate(self, announcement: Announcement) -> _Confirmations:
        """Send the announcement to control and entry hosts, and wait until enough confirmed it."""
        request = PassOnRequest((announcement,))
        others = self._others()
        control_tasks = {
            self._spawn(self._send(other.links, SHARE_LEAVING, request)) for other in others
        }
        entry_tasks = {
            self._spawn(self._send(address, PASS_ON, request)) for address in self._next_entries()
        }
        confirmations = _Confirmations(
            0, 0, min(MIN_CONTROL_CONFIRMATIONS, len(others)), len(entry_tasks), False
        )
        pending = control_tasks | entry_tasks
        while pending and not confirmations.are_enough:
            finished, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            confirmations = confirmations._replace(
                controls=_count(control_tasks), entries=_count(entry_tasks), is_over=not pending
            )
        return confirmations

    async def _notify_one(self, announcement: Announcement) -> bool:
        """Send a renewal to one entry host, or to the next ones until one confirms it.

        The first one follows from a hash of target and renewal. With turns that all targets share,
        a target would always get the same hosts where the numbers of both have a common divisor.
        """
        entries = self._entries()
        request = PassOnRequest((announcement,))
        first = xxhash.xxh64_intdigest(f"{announcement.target}\n{announcement.counter}".encode())
        for index in range(first, first + min(MAX_RENEWAL_CALLS, len(entries))):
            if await self._send(entries[index % len(entries)].links, PASS_ON, request):
                return True
        return False

    async def _notify_some(self, announcement: Announcement) -> bool:
        """Notify some entry hosts, and return once one has confirmed it, or all have failed."""
        request = PassOnRequest((announcement,))
        pending = {
            self._spawn(self._send(address, PASS_ON, request)) for address in self._next_entries()
        }
        while pending:
            finished, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            if any(task.result() for task in finished):
                return True
        return False

    def _next_entries(self) -> list[str]:
        entries = [host.links for host in self._entries()]
        self._rotation += 1
        first = self._rotation % len(entries) if entries else 0
        return [*entries[first:], *entries[:first]][:MAX_DIRECT_NOTIFICATIONS]

    async def _send(
        self, address: str, method: Method[PassOnRequest, PassOnReply], request: PassOnRequest
    ) -> bool:
        answer = await self._caller.call(address, method, request, PASS_ON_TIMEOUT_S)
        return isinstance(answer, Ok)

    def _spawn(self, work: Coroutine[Any, Any, bool]) -> asyncio.Task[bool]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _count(tasks: set[asyncio.Task[bool]]) -> int:
    return sum(task.done() and not task.cancelled() and task.result() for task in tasks)
