"""Form a new group, once, from hosts that never were members of one.

The first of the hosts by name asks all others. It writes the first roster only when every
one of them answers, agrees on the list of hosts, and holds nothing of this group. So hosts
whose disks were wiped cannot form an empty group beside a host that still has its log.
"""

import asyncio
from collections.abc import Mapping

from result import Err, Ok, Result

from cranberrywall.errors import Refusal
from cranberrywall.links import Peer
from cranberrywall.replication._core import Core
from cranberrywall.replication._rosters import encode_roster
from cranberrywall.replication.messages import (
    Entry,
    EntryKind,
    IdentifyReply,
    IdentifyRequest,
    Member,
    Roster,
)

_LINEAGE_BITS = 64
_FIRST_TERM = 1


class Formation:
    """Form the group out of ``address_by_host``, or answer the host that does."""

    def __init__(self, core: Core, address_by_host: Mapping[str, str]) -> None:
        self._core = core
        self._address_by_host = dict(address_by_host)
        self._hosts = tuple(sorted(address_by_host))
        self._asking: asyncio.Task[None] | None = None
        self._ask_at = float("-inf")

    @property
    def is_free(self) -> bool:
        """Say whether this host holds nothing of the group."""
        return self._core.log.last_index == 0 and not self._core.lineage

    async def answer(self, request: IdentifyRequest, peer: Peer) -> Result[IdentifyReply, Refusal]:
        """Give this host's disk."""
        if self._core.failure is not None:
            return Err(self._core.failure)
        agrees = request.hosts == self._hosts
        return Ok(IdentifyReply(self._core.vote.disk, self._core.lineage, self.is_free and agrees))

    def tick(self, now: float) -> None:
        """Try to form the group, where it is this host's turn."""
        core = self._core
        if not self.is_free or core.failure or core.host != self._hosts[0]:
            return
        if now < self._ask_at or (self._asking and not self._asking.done()):
            return
        self._ask_at = now + core.settings.election_s
        self._asking = core.spawn(self._run())

    async def _run(self) -> None:
        core = self._core
        members = [Member(core.host, self._address_by_host[core.host], core.vote.disk, True)]
        others = [host for host in self._hosts if host != core.host]
        found = await asyncio.gather(*(self._identify(host) for host in others))
        for member in found:
            if member is None:
                return
            members.append(member)
        lineage = f"{core.random.getrandbits(_LINEAGE_BITS):016x}"
        roster = Roster(lineage, tuple(sorted(members)))
        async with core.lock:
            if self.is_free:
                await self._write(roster)

    async def _identify(self, host: str) -> Member | None:
        core = self._core
        address = self._address_by_host[host]
        timeout = core.settings.election_s
        request = IdentifyRequest(self._hosts)
        reply = await core.caller.call(address, core.methods.identify, request, timeout)
        if isinstance(reply, Err) or not reply.ok_value.free:
            return None
        return Member(host, address, reply.ok_value.disk, True)

    async def _write(self, roster: Roster) -> None:
        core = self._core
        entry = Entry(_FIRST_TERM, EntryKind.ROSTER, encode_roster(roster))
        core.log.append(1, [entry])
        if isinstance(await core.make_durable(1, [entry]), Err):
            return
        # Nobody leads the first term: the roster is committed by the first leader.
        await core.save_vote(max(core.term, _FIRST_TERM), "", roster.lineage)
        core.event("group_formed", hosts=",".join(self._hosts))
        core.campaign_at = core.clock.now()
