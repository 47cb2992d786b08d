"""Form a new group, once, from hosts that never were members of one.

The first of the founders by address asks all others. It writes the first roster only when
every one of them answers, agrees on the list of founders, and holds nothing of this group. So
hosts whose disks were wiped cannot form an empty group beside a host that still has its log.
"""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

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


class InitialMembers(NamedTuple):
    """Name the hosts that form a new group by their stream addresses; ``own`` is this host's.

    ``may_form`` is false where the group is known to exist: a host with an empty disk then
    waits until a leader takes it in, however many of the founders have lost their disks.
    """

    addresses: tuple[str, ...]
    own: str
    may_form: bool = True


def initial_members_of(address_by_host: Mapping[str, str], this_host: str) -> InitialMembers:
    """Return the founders of a group whose hosts are known by name, as settings list them.

    A host that is added later may stand in no list but its own; it founds nothing.
    """
    return InitialMembers(
        tuple(sorted(address_by_host.values())), address_by_host.get(this_host, "")
    )


class Formation:
    """Form the group out of its founders, or answer the founder that does."""

    def __init__(self, core: Core, founders: InitialMembers) -> None:
        self._core = core
        self._own = founders.own
        self._founders = tuple(sorted(founders.addresses))
        self._is_first = founders.may_form and self._founders[:1] == (founders.own,)
        self._may_form = founders.may_form
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
        core = self._core
        agrees = self._may_form and request.founders == self._founders
        return Ok(IdentifyReply(core.vote.disk, core.lineage, self.is_free and agrees, core.host))

    def tick(self, now: float) -> None:
        """Try to form the group, where it is this host's turn."""
        core = self._core
        if not self.is_free or core.failure or not self._is_first:
            return
        if now < self._ask_at or (self._asking and not self._asking.done()):
            return
        self._ask_at = now + core.settings.election_s
        self._asking = core.spawn(self._run())

    async def _run(self) -> None:
        core = self._core
        members = [Member(core.host, self._own, core.vote.disk, True)]
        others = [address for address in self._founders if address != self._own]
        found = await asyncio.gather(*(self._identify(address) for address in others))
        for member in found:
            if member is None:
                return
            members.append(member)
        lineage = f"{core.random.getrandbits(_LINEAGE_BITS):016x}"
        roster = Roster(lineage, tuple(sorted(members)))
        async with core.lock:
            if self.is_free:
                await self._write(roster)

    async def _identify(self, address: str) -> Member | None:
        core = self._core
        timeout = core.settings.election_s
        request = IdentifyRequest(self._founders)
        reply = await core.caller.call(address, core.methods.identify, request, timeout)
        if isinstance(reply, Err) or not reply.ok_value.free:
            return None
        return Member(reply.ok_value.host, address, reply.ok_value.disk, True)

    async def _write(self, roster: Roster) -> None:
        core = self._core
        entry = Entry(_FIRST_TERM, EntryKind.ROSTER, encode_roster(roster))
        core.log.append(1, [entry])
        if isinstance(await core.make_durable(1, [entry]), Err):
            return
        # Nobody leads the first term: the roster is committed by the first leader.
        await core.save_vote(max(core.term, _FIRST_TERM), "", roster.lineage)
        core.event("group_formed", founders=",".join(self._founders))
        core.campaign_at = core.clock.now()
