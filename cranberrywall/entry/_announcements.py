"""Pass announcements of targets on to the other entry hosts."""

import asyncio
from typing import NamedTuple

from result import Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.hosts import Membership
from cranberrywall.links import Caller, Method, Peer, Server
from cranberrywall.runtime import Clock
from cranberrywall.targets import Announcement, Targets

PASS_TIMEOUT_S = 1.0
EXPIRE_EVERY_S = 0.5
PEERS_ASKED = 3


class PassedOn(NamedTuple):
    """Answer an announcement that another host passed on."""


class KnownRequest(NamedTuple):
    """Ask which targets a host knows."""


class KnownReply(NamedTuple):
    """List the newest announcement of each known target, without cache events."""

    announcements: tuple[Announcement, ...]


PASS_ON = Method("targets.pass_on", Announcement, PassedOn)
KNOWN = Method("targets.known", KnownRequest, KnownReply)


class AnnouncementSpread:
    """Tell every other entry host at once; each hears of a target at first or second hand."""

    def __init__(
        self, host: str, targets: Targets, membership: Membership, caller: Caller, clock: Clock
    ) -> None:
        self._host = host
        self._targets = targets
        self._membership = membership
        self._caller = caller
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self, server: Server) -> None:
        """Answer the calls at ``server``."""
        server.register(PASS_ON, self._take)
        server.register(KNOWN, self._list)

    def publish(self, announcement: Announcement) -> None:
        """Pass on an announcement that came at first hand."""
        task = asyncio.create_task(self._pass_on(announcement))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def fetch(self) -> int:
        """Learn of the targets from a peer; return how many this host knows then.

        A host that has just started would refuse callers for want of targets until each
        has renewed its announcement.
        """
        for links in self._others()[:PEERS_ASKED]:
            known = await self._caller.call(links, KNOWN, KnownRequest(), PASS_TIMEOUT_S)
            if isinstance(known, Ok) and known.ok_value.announcements:
                for announcement in known.ok_value.announcements:
                    self._targets.apply(announcement, self._clock.now())
                break
        return len(self._targets.by_id)

    async def expire(self) -> None:
        """Forget targets that do not renew, until cancelled."""
        while True:
            await self._clock.sleep(EXPIRE_EVERY_S)
            self._targets.expire(self._clock.now())

    async def _pass_on(self, announcement: Announcement) -> None:
        await asyncio.gather(
            *(
                self._caller.call(links, PASS_ON, announcement, PASS_TIMEOUT_S)
                for links in self._others()
            )
        )

    def _others(self) -> list[str]:
        return [view.links for view in self._membership.alive() if view.host != self._host]

    async def _take(self, announcement: Announcement, peer: Peer) -> Result[PassedOn, Refusal]:
        self._targets.apply(announcement, self._clock.now())
        return Ok(PassedOn())

    async def _list(self, request: KnownRequest, peer: Peer) -> Result[KnownReply, Refusal]:
        return Ok(KnownReply(tuple(t.announcement for t in self._targets.by_id.values())))
