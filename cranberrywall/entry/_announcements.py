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


class PassedOn(NamedTuple):
    """Answer an announcement that another host passed on."""


PASS_ON = Method("targets.pass_on", Announcement, PassedOn)


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
        """Answer the call at ``server``."""
        server.register(PASS_ON, self._take)

    def publish(self, announcement: Announcement) -> None:
        """Pass on an announcement that came at first hand."""
        task = asyncio.create_task(self._pass_on(announcement))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def expire(self) -> None:
        """Forget targets that do not renew, until cancelled."""
        while True:
            await self._clock.sleep(EXPIRE_EVERY_S)
            self._targets.expire(self._clock.now())

    async def _pass_on(self, announcement: Announcement) -> None:
        others = [view.links for view in self._membership.alive() if view.host != self._host]
        await asyncio.gather(
            *(self._caller.call(links, PASS_ON, announcement, PASS_TIMEOUT_S) for links in others)
        )

    async def _take(self, announcement: Announcement, peer: Peer) -> Result[PassedOn, Refusal]:
        self._targets.apply(announcement, self._clock.now())
        return Ok(PassedOn())
